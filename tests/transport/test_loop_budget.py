"""The division of a turn: its time ends, the rest waits, and who has had little goes first."""

import pytest

from dahliabend.transport import loop_budget
from dahliabend.transport.loop_budget import ITERATION_TIME, MAX_WAIT, MIN_GAP, LoopBudget


class Loop:
    def __init__(self):
        self.calls = []

    def call_soon(self, call):
        self.calls.append(call)

    def run_turn(self):
        calls, self.calls = self.calls, []
        for call in calls:
            call()


class Connection:
    """A connection whose input takes some processing time, `share` of it in a turn."""

    def __init__(self, turn, time, needs, name, served):
        self.loop_budget, self.time, self.needs, self.name, self.served = turn, time, needs, name, served
        self.attained_time = 0

    def process_input(self):
        self.time[0] += 1_000
        self.attained_time += 1_000
        self.needs -= 1_000
        if self.needs > 0:
            self.loop_budget.defer(self)
        else:
            self.served.append(self.name)


def read_for(turn, time, duration):
    """Process input for some microseconds, a read after the other."""
    end = time[0] + duration
    while time[0] < end:
        turn.has_time(time[0])
        time[0] += 500


@pytest.fixture
def time(monkeypatch):
    now = [1_000_000]
    monkeypatch.setattr(loop_budget, "clock", lambda: now[0])
    return now


def test_a_turn_has_time_until_it_is_used_up_and_the_next_one_has_time_again(time):
    loop = Loop()
    turn = LoopBudget(loop)
    read_for(turn, time, 3 * ITERATION_TIME)
    assert loop.calls
    assert not turn.has_time(time[0])
    loop.run_turn()
    assert turn.has_time(time[0])
    assert turn.take_longest() >= ITERATION_TIME


def test_input_with_gaps_costs_the_event_loop_no_further_turn(time):
    loop = Loop()
    turn = LoopBudget(loop)
    for _ in range(100):
        assert turn.has_time(time[0])
        time[0] += MIN_GAP + 1
    assert not loop.calls


# Guards against issue 60 (b): what one client sent at full speed was processed before all else.
def test_small_input_is_processed_before_input_that_has_had_much_time(time):
    loop, served = Loop(), []
    turn = LoopBudget(loop)
    for number in range(20):
        turn.defer(Connection(turn, time, 50_000, f"large {number}", served))
    for _ in range(10):
        loop.run_turn()
    turn.defer(Connection(turn, time, 1_000, "small", served))
    loop.run_turn()
    loop.run_turn()
    assert served == ["small"]


# Guards against a fault of the first form of the fix: ever new small input put a large one off for good.
def test_large_input_is_processed_although_new_small_input_comes_all_the_time(time):
    loop, served = Loop(), []
    turn = LoopBudget(loop)
    large = Connection(turn, time, 8_000, "large", served)
    large.process_input()
    for number in range(1_000):
        if "large" in served:
            break
        for each in range(5):
            turn.defer(Connection(turn, time, 1_000, f"{number}.{each}", served))
        loop.run_turn()
    assert "large" in served
    assert time[0] < 1_000_000 + 8 * 2 * MAX_WAIT


def test_a_connection_that_was_closed_is_not_processed(time):
    loop, served = Loop(), []
    turn = LoopBudget(loop)
    connection = Connection(turn, time, 1_000, "closed", served)
    turn.defer(connection)
    turn.forget(connection)
    loop.run_turn()
    assert served == []
