"""A balancer process with the limits of its settings, beside clients that hold or waste what it has."""

import asyncio

import pytest

from dahliabend.process_tests.platform_balancer import ProcessLimits
from dahliabend.process_tests.rude_run import run_beside

CROWD = 800
LIMITS = ProcessLimits(memory_mb=48, descriptors=1024)


def assert_unharmed(result):
    assert result.violations() == [], result.summary()


# Guards against issue 60 (a): the process passed the memory limit of its settings and was killed.
@pytest.mark.parametrize("form", ["short_fields", "half_body", "half_upload", "small_chunks", "slow_reader"])
def test_memory_limit_holds_beside_hundreds_of_slow_clients(form):
    assert_unharmed(asyncio.run(run_beside(form, CROWD, LIMITS)))


# Guards against issue 60 (b): one client at full speed kept the others waiting for seconds, or for good.
@pytest.mark.parametrize(("form", "count"), [("endless_chunks", 4), ("short_fields", 200)])
def test_sound_clients_are_served_in_time_beside_clients_at_full_speed(form, count):
    assert_unharmed(asyncio.run(run_beside(form, count, ProcessLimits(memory_mb=192, descriptors=1024))))
