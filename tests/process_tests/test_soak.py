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
