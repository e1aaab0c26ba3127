"""A balancer process with the limits of its settings, beside clients that hold or waste what it has."""

import asyncio

import pytest

from dahliabend.process_tests.platform_balancer import ProcessLimits
from dahliabend.process_tests.rude_run import run_beside

CROWD = 800
LIMITS = ProcessLimits(memory_mb=48, descriptors=1024)


def assert_unharmed(result):
    assert result.violations() == [], result.summary()


CROWD_OF_FEW = ProcessLimits(memory_mb=192, descriptors=1024)


# Guards against issue 60 (a): the process passed the memory limit of its settings and was killed.
@pytest.mark.parametrize(
    "form", ["half_head", "short_fields", "half_body", "half_upload", "small_chunks", "slow_reader"]
)
def test_memory_limit_holds_beside_hundreds_of_slow_clients(form):
    assert_unharmed(asyncio.run(run_beside(form, CROWD, LIMITS)))


# Guards against issue 60 (b): one client at full speed kept the others waiting for seconds, or for good.
@pytest.mark.parametrize(("form", "count"), [("endless_chunks", 4), ("short_fields", 200)])
def test_sound_clients_are_served_in_time_beside_clients_at_full_speed(form, count):
    assert_unharmed(asyncio.run(run_beside(form, count, CROWD_OF_FEW)))


# Guards against issue 60 (c): an id ran twice when it came again after its client had left.
def test_a_request_whose_client_left_does_not_run_again_when_its_id_comes_again():
    result = asyncio.run(run_beside("returner", 20, CROWD_OF_FEW))
    assert_unharmed(result)
    assert result.events["request.repeated_id"] > 0


# Guards against issue 60 (c): requests were sent on after their client had left with much unread.
def test_requests_behind_others_are_not_sent_after_their_client_has_left():
    result = asyncio.run(run_beside("leaver", 20, CROWD_OF_FEW))
    assert_unharmed(result)
    assert result.events.get("request.client_disconnected", 0) < result.events["connection.closed"]
