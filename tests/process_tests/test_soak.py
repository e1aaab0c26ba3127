"""Some seeds of the soak: signals in series, kills at the earliest moment, crowds of rude clients."""

import asyncio

import pytest

from dahliabend.process_tests.soak import SoakRun

ACTIONS = 2


# Guards against issue 60: each seed has a restart, an upgrade or kills under a limit of 32 or 48 MB.
@pytest.mark.parametrize("seed", [1, 2, 3, 12])
def test_no_rule_is_broken_by_signals_and_crowds(seed):
    result = asyncio.run(SoakRun(seed, ACTIONS).run())
    assert result.violations == [], result.line()


# Guards against issue 60: 600 clients at full speed before 256 descriptors and two processes of an upgrade
# keep sound clients waiting to be accepted.
def test_sound_clients_are_accepted_in_time_beside_more_clients_at_full_speed_than_descriptors():
    result = asyncio.run(SoakRun(252, 4).run())
    assert result.violations == [], result.line()
