"""The account of memory: what it counts, when holders have to give up what they hold, and which ones."""

import pytest

from dahliabend.transport import memory_budget
from dahliabend.transport.memory_budget import (
    MAX_ALLOWANCE,
    MIN_ALLOWANCE,
    RELIEF_PAUSE,
    MemoryBudget,
    ReliefRank,
)

CAPACITY = 1_000_000


class Holder:
    def __init__(self, memory, count, rank=0):
        self.memory, self.rank, self.reserved_bytes, self.relieved = memory, rank, 0, False
        memory.set_reserved(self, count)

    def relief_rank(self, now):
        return self.rank

    def relieve(self):
        self.relieved = True
        self.memory.set_reserved(self, 0)


@pytest.fixture
def memory():
    return MemoryBudget(CAPACITY)


def test_what_a_holder_no_longer_holds_is_off_the_account(memory):
    holder = Holder(memory, 500)
    memory.set_reserved(holder, 200)
    assert memory.reserved == 200
    memory.set_reserved(holder, 0)
    assert memory.reserved == 0
    assert not memory.holders


def test_below_the_high_water_mark_nothing_is_given_up(memory):
    holder = Holder(memory, memory.high_water)
    memory.relieve_if_needed()
    assert not holder.relieved


def test_slow_holders_give_up_first_then_the_largest_until_the_low_water_mark(memory):
    small_slow, large, small = Holder(memory, 10, 0), Holder(memory, 400_000, 1), Holder(memory, 250_000, 1)
    unable = Holder(memory, 100_000, None)
    memory.relieve_if_needed()
    assert (small_slow.relieved, large.relieved) == (True, True)
    assert (small.relieved, unable.relieved) == (False, False)
    assert memory.reserved <= memory.low_water


def test_a_relief_that_does_not_free_enough_is_not_repeated_at_once(memory, monkeypatch):
    now = [0]
    monkeypatch.setattr(memory_budget, "clock", lambda: now[0])
    Holder(memory, CAPACITY, None)
    memory.relieve_if_needed()
    late = Holder(memory, 10)
    memory.relieve_if_needed()
    assert not late.relieved
    now[0] = RELIEF_PAUSE
    memory.relieve_if_needed()
    assert late.relieved


@pytest.mark.parametrize("holders", [1, 10, 100, 1000])
def test_many_holders_that_take_all_they_may_leave_some_of_the_capacity_free(holders):
    memory = MemoryBudget(100_000_000)
    for _ in range(holders):
        Holder(memory, memory.allowance())
    assert memory.reserved < 0.95 * memory.capacity
    assert MIN_ALLOWANCE <= memory.allowance() <= MAX_ALLOWANCE


# Guards against review/7: responses that were read were cut off to come below the high-water mark.
def test_peers_that_go_on_reading_give_up_nothing_above_the_high_water_mark(memory):
    reading = Holder(memory, 600_000, ReliefRank.READING)
    slow = Holder(memory, 10, ReliefRank.SLOW)
    memory.relieve_if_needed()
    assert (slow.relieved, reading.relieved) == (True, False)
    memory.relieve(memory.low_water, 0, ReliefRank.READING)
    assert reading.relieved


# Guards against review/7: the allowance was measured against what is never reached, the whole capacity.
@pytest.mark.parametrize("holders", [100, 300, 600])
def test_many_holders_that_take_all_they_may_stay_below_the_high_water_mark(holders):
    memory = MemoryBudget(20_000_000)
    for _ in range(holders):
        Holder(memory, memory.allowance())
    assert memory.reserved < memory.high_water
