"""Order among requests of one key, on the decisions alone; each would be a broken rule on the bench."""

from dataclasses import replace
from random import Random

import pytest
from fake_port import DEDUPLICATED, IDEMPOTENT, MS, S, make_balancer

from dahliabend.model import Outcome, TimerToken
from dahliabend.policy.balancer import TICKS_PER_LATENCY_OBJECTIVE

T = 100 * S
PAUSE = 100 * MS
ORDERED = replace(DEDUPLICATED, is_ordered=True)
ALSO = replace(IDEMPOTENT, is_ordered=True)
UNSURE = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


def ordered_balancer(**changes):
    return make_balancer(
        **{"request_classes": (ORDERED, ALSO, IDEMPOTENT), "key_pause": PAUSE, "max_attempts": 1} | changes
    )


def admit(made, request_id, now=T, class_index=0, key=9, limit=5 * S):
    return made.admit(now, request_id, class_index, 0, now + limit, key=key)


def sent_refs(port):
    return [note[1] for note in port.of("send")]


def test_requests_of_one_key_run_one_at_a_time_as_admitted():
    made, port = ordered_balancer()
    one, two, _ = (admit(made, request_id) for request_id in (1, 2, 3))
    assert sent_refs(port) == [1]
    one.attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert sent_refs(port) == [1, 2]
    assert one.is_finished
    two.attempt_finished(T, 0, Outcome.FAILED, MS, False)
    assert sent_refs(port) == [1, 2, 3]


def test_ordered_classes_share_their_keys_and_others_have_none():
    made, port = ordered_balancer()
    admit(made, 1)
    admit(made, 2, class_index=1)
    admit(made, 3, class_index=2)
    admit(made, 4, key=8)
    admit(made, 5, key=0)
    admit(made, 6, key=0)
    assert sent_refs(port) == [1, 3, 4, 5, 6]


@pytest.mark.parametrize("outcome", Outcome)
def test_key_rests_only_after_an_attempt_that_may_go_on(outcome):
    made, port = ordered_balancer()
    one = admit(made, 1)
    admit(made, 2)
    one.attempt_finished(T + MS, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
    assert sent_refs(port) == ([1] if outcome in UNSURE else [1, 2])
    if outcome in UNSURE:
        assert port[-1] == ("set_timer", T + MS + PAUSE, TimerToken.KEY_PAUSE)
        made.timer_fired(T + PAUSE, TimerToken.KEY_PAUSE)
        admit(made, 3, now=T + PAUSE)
        assert sent_refs(port) == [1]
        made.timer_fired(T + MS + PAUSE, TimerToken.KEY_PAUSE)
        assert sent_refs(port) == [1, 2]


def test_rest_does_not_delay_retries_of_the_current_request():
    made, port = ordered_balancer(max_attempts=2)
    one = admit(made, 1)
    admit(made, 2)
    one.attempt_finished(T, 0, Outcome.RESET, MS, False)
    assert sent_refs(port) == [1, 1]
    one.attempt_finished(T + PAUSE - 1, 1, Outcome.SUCCEEDED, MS, True)
    assert sent_refs(port) == [1, 1]  # nor does its answer end the rest
    made.timer_fired(T + PAUSE, TimerToken.KEY_PAUSE)
    assert sent_refs(port) == [1, 1, 2]


def test_answered_request_keeps_its_turn_while_an_attempt_is_in_flight():
    made, port = ordered_balancer()
    one = admit(made, 1)
    admit(made, 2)
    one.client_disconnected(T)
    assert sent_refs(port) == [1]
    assert not one.is_finished
    one.attempt_finished(T + MS, 0, Outcome.CANCELLED, MS, True)
    made.timer_fired(T + MS + PAUSE, TimerToken.KEY_PAUSE)
    assert sent_refs(port) == [1, 2]


def test_hedge_of_the_current_request_is_sent_and_the_next_waits_for_both():
    made, port = ordered_balancer(max_attempts=3)
    one = admit(made, 1, class_index=1)
    admit(made, 2)
    one.hedge_timer_fired(T + MS)
    assert sent_refs(port) == [1, 1]
    one.attempt_finished(T + 2 * MS, 1, Outcome.SUCCEEDED, MS, True)
    assert sent_refs(port) == [1, 1]
    one.attempt_finished(T + 3 * MS, 0, Outcome.CANCELLED, MS, True)
    made.timer_fired(T + 3 * MS + PAUSE, TimerToken.KEY_PAUSE)
    assert sent_refs(port) == [1, 1, 2]


def test_client_that_leaves_the_queue_delays_nobody():
    made, port = ordered_balancer()
    one, two, _ = (admit(made, request_id) for request_id in (1, 2, 3))
    two.client_disconnected(T)
    assert two.is_finished
    one.attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert sent_refs(port) == [1, 3]


def test_request_is_rejected_before_its_deadline_comes_in_the_queue():
    made, port = ordered_balancer()
    admit(made, 1)
    two = admit(made, 2, limit=S)
    tick = round(IDEMPOTENT.latency_objective / TICKS_PER_LATENCY_OBJECTIVE)
    for number in range(1, 4):
        made.timer_fired(T + number * tick, 0)
    assert two.is_finished
    assert port.of("reject")[0][1] == 2
    assert sent_refs(port) == [1]


def test_queue_is_no_longer_than_can_be_served_and_retry_after_tells_its_length():
    made, port = ordered_balancer(max_retry_after=60 * S)
    made.deadlines.mean_latencies[0] = S
    queue = [admit(made, request_id) for request_id in range(20)]
    waiting = [request for request in queue if not request.is_finished]
    assert len(waiting) == 4  # a second each, of five: the last has one left for itself
    assert port.of("reject")[0][1:] == (4, 4 * S)


def test_request_whose_deadline_has_come_at_its_turn_is_not_sent():
    made, port = ordered_balancer()
    one = admit(made, 1)
    two = admit(made, 2)
    three = admit(made, 3, limit=50 * S)
    one.attempt_finished(T + 6 * S, 0, Outcome.SUCCEEDED, MS, True)
    assert two.is_finished
    assert not three.is_finished
    assert sent_refs(port) == [1, 3]


def test_nothing_is_kept_of_a_key_once_its_queue_is_empty_and_its_rest_over():
    made, port = ordered_balancer()
    chance, now, out = Random(3), T, []
    for request_id in range(20_000):
        now += MS
        out.append(admit(made, request_id, now, key=1 + chance.randrange(1 << 40)))
        if len(out) > 50:
            request = out.pop(chance.randrange(50))
            if not request.is_finished:
                request.attempt_finished(now, 0, chance.choice((Outcome.SUCCEEDED, *UNSURE)), MS, False)
            made.timer_fired(now, TimerToken.KEY_PAUSE)
        port.clear()
        assert (
            len(made.key_queues.queues) <= 51 + 100 + 1
        )  # those out, and those at rest for as many milliseconds
    for request in out:
        if not request.is_finished:
            request.attempt_finished(now, 0, Outcome.RESET, MS, False)
    made.timer_fired(now + PAUSE, TimerToken.KEY_PAUSE)
    assert not made.key_queues.queues
    assert not made.key_queues.pauses


def test_requests_of_the_decisions_that_follow_wait_for_those_in_hand():
    made, port = ordered_balancer()
    one, two = admit(made, 1), admit(made, 2)
    other = admit(made, 3, key=5)
    other.attempt_finished(T, 0, Outcome.RESET, MS, False)  # key 5 rests
    after, port2 = ordered_balancer()
    after.key_queues.take_over(made.key_queues)
    assert ("set_timer", T + PAUSE, TimerToken.KEY_PAUSE) in port2
    admit(after, 4)
    admit(after, 5, key=5)
    assert not sent_refs(port2)
    one.attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    two.attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert sent_refs(port) == [1, 3, 2]
    assert sent_refs(port2) == [4]
    after.timer_fired(T + PAUSE, TimerToken.KEY_PAUSE)
    assert sent_refs(port2) == [4, 5]
