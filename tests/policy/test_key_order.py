"""Order among transactions of one key, on the decisions alone; each would be a broken rule on the bench."""

from dataclasses import replace
from random import Random

import pytest
from helpers import FREE, MARKED, MS, S, balancer

from dahliabend.model import Outcome
from dahliabend.policy.balancer import TICK_OBJECTIVES
from dahliabend.policy.key_order import REST_TIMER

T = 100 * S
PAUSE = 100 * MS
ORDERED = replace(MARKED, is_ordered=True)
ALSO = replace(FREE, is_ordered=True)
UNSURE = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


def queue(**changes):
    return balancer(
        **{"request_classes": (ORDERED, ALSO, FREE), "key_rest": PAUSE, "max_attempts": 1} | changes
    )


def took(made, ref, now=T, profile=0, key=9, limit=5 * S):
    return made.admit(now, ref, profile, 0, now + limit, key=key)


def sent(port):
    return [note[1] for note in port.of("send")]


def test_one_of_a_key_runs_at_a_time_as_taken():
    made, port = queue()
    one, two, _ = (took(made, ref) for ref in (1, 2, 3))
    assert sent(port) == [1]
    one.attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert sent(port) == [1, 2] and one.is_finished
    two.attempt_finished(T, 0, Outcome.FAILED, MS, False)
    assert sent(port) == [1, 2, 3]


def test_all_profiles_in_order_share_the_keys_and_others_have_none():
    made, port = queue()
    took(made, 1)
    took(made, 2, profile=1)
    took(made, 3, profile=2)
    took(made, 4, key=8)
    took(made, 5, key=0)
    took(made, 6, key=0)
    assert sent(port) == [1, 3, 4, 5, 6]


@pytest.mark.parametrize("outcome", Outcome)
def test_a_key_rests_after_a_hop_that_may_go_on_and_after_no_other(outcome):
    made, port = queue()
    one = took(made, 1)
    took(made, 2)
    one.attempt_finished(T + MS, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
    assert sent(port) == ([1] if outcome in UNSURE else [1, 2])
    if outcome in UNSURE:
        assert port[-1] == ("set_timer", T + MS + PAUSE, REST_TIMER)
        made.timer_fired(T + PAUSE, REST_TIMER)
        took(made, 3, now=T + PAUSE)
        assert sent(port) == [1]
        made.timer_fired(T + MS + PAUSE, REST_TIMER)
        assert sent(port) == [1, 2]


def test_the_rest_does_not_hold_back_another_try_of_the_one_whose_turn_it_is():
    made, port = queue(max_attempts=2)
    one = took(made, 1)
    took(made, 2)
    one.attempt_finished(T, 0, Outcome.RESET, MS, False)
    assert sent(port) == [1, 1]
    one.attempt_finished(T + PAUSE - 1, 1, Outcome.SUCCEEDED, MS, True)
    assert sent(port) == [1, 1]  # nor does its answer end the rest
    made.timer_fired(T + PAUSE, REST_TIMER)
    assert sent(port) == [1, 1, 2]


def test_a_transaction_that_is_over_but_for_a_hop_keeps_its_turn():
    made, port = queue()
    one = took(made, 1)
    took(made, 2)
    one.client_disconnected(T)
    assert sent(port) == [1] and not one.is_finished
    one.attempt_finished(T + MS, 0, Outcome.CANCELLED, MS, True)
    made.timer_fired(T + MS + PAUSE, REST_TIMER)
    assert sent(port) == [1, 2]


def test_a_second_copy_of_the_one_whose_turn_it_is_may_go_and_the_next_waits_for_both():
    made, port = queue(max_attempts=3)
    one = took(made, 1, profile=1)
    took(made, 2)
    one.hedge_timer_fired(T + MS)
    assert sent(port) == [1, 1]
    one.attempt_finished(T + 2 * MS, 1, Outcome.SUCCEEDED, MS, True)
    assert sent(port) == [1, 1]
    one.attempt_finished(T + 3 * MS, 0, Outcome.CANCELLED, MS, True)
    made.timer_fired(T + 3 * MS + PAUSE, REST_TIMER)
    assert sent(port) == [1, 1, 2]


def test_one_that_leaves_the_line_early_holds_up_nobody():
    made, port = queue()
    one, two, _ = (took(made, ref) for ref in (1, 2, 3))
    two.client_disconnected(T)
    assert two.is_finished
    one.attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert sent(port) == [1, 3]


def test_a_limit_that_comes_in_line_is_answered_before_it():
    made, port = queue()
    took(made, 1)
    two = took(made, 2, limit=S)
    beat = round(FREE.latency_objective * TICK_OBJECTIVES)
    for number in range(1, 4):
        made.timer_fired(T + number * beat, 0)
    assert two.is_finished and port.of("reject")[0][1] == 2 and sent(port) == [1]


def test_a_line_is_no_longer_than_can_be_served_and_tells_when_to_come_back():
    made, port = queue(max_retry_after=60 * S)
    made.usual[0] = S
    line = [took(made, ref) for ref in range(20)]
    waiting = [request for request in line if not request.is_finished]
    assert len(waiting) == 4  # a second each, of five: the last has one left for itself
    assert port.of("reject")[0][1:] == (4, 4 * S)


def test_nobody_is_sent_for_whose_time_is_up_when_its_turn_comes():
    made, port = queue()
    one = took(made, 1)
    two = took(made, 2)
    three = took(made, 3, limit=50 * S)
    one.attempt_finished(T + 6 * S, 0, Outcome.SUCCEEDED, MS, True)
    assert two.is_finished and not three.is_finished and sent(port) == [1, 3]


def test_nothing_is_kept_of_a_key_once_its_line_is_empty_and_its_rest_over():
    made, port = queue()
    chance, now, out = Random(3), T, []
    for ref in range(20_000):
        now += MS
        out.append(took(made, ref, now, key=1 + chance.randrange(1 << 40)))
        if len(out) > 50:
            request = out.pop(chance.randrange(50))
            if not request.is_finished:
                request.attempt_finished(now, 0, chance.choice((Outcome.SUCCEEDED, *UNSURE)), MS, False)
            made.timer_fired(now, REST_TIMER)
        port.clear()
        assert (
            len(made.key_queues.queues) <= 51 + 100 + 1
        )  # those out, and those at rest for as many milliseconds
    for request in out:
        if not request.is_finished:
            request.attempt_finished(now, 0, Outcome.RESET, MS, False)
    made.timer_fired(now + PAUSE, REST_TIMER)
    assert not made.key_queues.queues and not made.key_queues.rests


def test_decisions_that_take_over_stand_behind_what_the_ones_before_have_in_hand():
    made, port = queue()
    one, two = took(made, 1), took(made, 2)
    other = took(made, 3, key=5)
    other.attempt_finished(T, 0, Outcome.RESET, MS, False)  # key 5 rests
    after, port2 = queue()
    after.key_queues.take_over(made.key_queues)
    assert ("set_timer", T + PAUSE, REST_TIMER) in port2
    took(after, 4)
    took(after, 5, key=5)
    assert not sent(port2)
    one.attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    two.attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert sent(port) == [1, 3, 2] and sent(port2) == [4]
    after.timer_fired(T + PAUSE, REST_TIMER)
    assert sent(port2) == [4, 5]
