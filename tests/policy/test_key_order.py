"""Ordering of requests with the same key."""

from dataclasses import replace
from random import Random

import pytest
from fake_port import DEDUPLICATED, IDEMPOTENT, MS, S, make_balancer

from dahliabend.model import Outcome, TimerToken
from dahliabend.policy.balancer import TICKS_PER_LATENCY_OBJECTIVE

NOW = 100 * S
PAUSE = 100 * MS
ORDERED = replace(DEDUPLICATED, is_ordered=True)
ORDERED_IDEMPOTENT = replace(IDEMPOTENT, is_ordered=True)
UNCERTAIN_OUTCOMES = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)


def ordered_balancer(**changes):
    return make_balancer(
        **{
            "request_classes": (ORDERED, ORDERED_IDEMPOTENT, IDEMPOTENT),
            "key_pause": PAUSE,
            "max_attempts": 1,
        }
        | changes
    )


def admit(balancer, request_id, now=NOW, class_index=0, key=9, time_left=5 * S):
    return balancer.admit(now, request_id, class_index, 0, now + time_left, key=key)


def sent_request_ids(port):
    return [call[1] for call in port.calls_to("send")]


def test_requests_of_one_key_run_one_at_a_time_in_admission_order():
    balancer, port = ordered_balancer()
    first, second, _ = (admit(balancer, request_id) for request_id in (1, 2, 3))
    assert sent_request_ids(port) == [1]
    first.attempt_finished(NOW, 0, Outcome.SUCCEEDED, MS, True)
    assert sent_request_ids(port) == [1, 2]
    assert first.is_finished
    second.attempt_finished(NOW, 0, Outcome.FAILED, MS, False)
    assert sent_request_ids(port) == [1, 2, 3]


def test_ordered_classes_share_keys_and_other_classes_ignore_them():
    balancer, port = ordered_balancer()
    admit(balancer, 1)
    admit(balancer, 2, class_index=1)
    admit(balancer, 3, class_index=2)
    admit(balancer, 4, key=8)
    admit(balancer, 5, key=0)
    admit(balancer, 6, key=0)
    assert sent_request_ids(port) == [1, 3, 4, 5, 6]


@pytest.mark.parametrize("outcome", Outcome)
def test_key_is_paused_only_after_an_attempt_that_may_still_run(outcome):
    balancer, port = ordered_balancer()
    first = admit(balancer, 1)
    admit(balancer, 2)
    first.attempt_finished(NOW + MS, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
    assert sent_request_ids(port) == ([1] if outcome in UNCERTAIN_OUTCOMES else [1, 2])
    if outcome in UNCERTAIN_OUTCOMES:
        assert port[-1] == ("set_timer", NOW + MS + PAUSE, TimerToken.KEY_PAUSE)
        balancer.timer_fired(NOW + PAUSE, TimerToken.KEY_PAUSE)
        admit(balancer, 3, now=NOW + PAUSE)
        assert sent_request_ids(port) == [1]
        balancer.timer_fired(NOW + MS + PAUSE, TimerToken.KEY_PAUSE)
        assert sent_request_ids(port) == [1, 2]


def test_pause_does_not_delay_retries_of_the_current_request():
    balancer, port = ordered_balancer(max_attempts=2)
    first = admit(balancer, 1)
    admit(balancer, 2)
    first.attempt_finished(NOW, 0, Outcome.RESET, MS, False)
    assert sent_request_ids(port) == [1, 1]
    first.attempt_finished(NOW + PAUSE - 1, 1, Outcome.SUCCEEDED, MS, True)
    assert sent_request_ids(port) == [1, 1]  # nor does its response end the pause
    balancer.timer_fired(NOW + PAUSE, TimerToken.KEY_PAUSE)
    assert sent_request_ids(port) == [1, 1, 2]


def test_answered_request_keeps_its_turn_while_an_attempt_is_in_flight():
    balancer, port = ordered_balancer()
    first = admit(balancer, 1)
    admit(balancer, 2)
    first.client_disconnected(NOW)
    assert sent_request_ids(port) == [1]
    assert not first.is_finished
    first.attempt_finished(NOW + MS, 0, Outcome.CANCELLED, MS, True)
    balancer.timer_fired(NOW + MS + PAUSE, TimerToken.KEY_PAUSE)
    assert sent_request_ids(port) == [1, 2]


def test_hedge_of_the_current_request_is_sent_and_the_next_waits_for_both():
    balancer, port = ordered_balancer(max_attempts=3)
    first = admit(balancer, 1, class_index=1)
    admit(balancer, 2)
    first.hedge_timer_fired(NOW + MS)
    assert sent_request_ids(port) == [1, 1]
    first.attempt_finished(NOW + 2 * MS, 1, Outcome.SUCCEEDED, MS, True)
    assert sent_request_ids(port) == [1, 1]
    first.attempt_finished(NOW + 3 * MS, 0, Outcome.CANCELLED, MS, True)
    balancer.timer_fired(NOW + 3 * MS + PAUSE, TimerToken.KEY_PAUSE)
    assert sent_request_ids(port) == [1, 1, 2]


def test_disconnected_client_in_the_queue_delays_no_other_request():
    balancer, port = ordered_balancer()
    first, second, _ = (admit(balancer, request_id) for request_id in (1, 2, 3))
    second.client_disconnected(NOW)
    assert second.is_finished
    first.attempt_finished(NOW, 0, Outcome.SUCCEEDED, MS, True)
    assert sent_request_ids(port) == [1, 3]


def test_queued_request_is_rejected_before_its_deadline():
    balancer, port = ordered_balancer()
    admit(balancer, 1)
    second = admit(balancer, 2, time_left=S)
    tick = round(IDEMPOTENT.latency_objective / TICKS_PER_LATENCY_OBJECTIVE)
    for number in range(1, 4):
        balancer.timer_fired(NOW + number * tick, 0)
    assert second.is_finished
    assert port.calls_to("reject")[0][1] == 2
    assert sent_request_ids(port) == [1]


def test_queue_length_is_bounded_by_the_deadline_and_sets_retry_after():
    balancer, port = ordered_balancer(max_retry_after=60 * S)
    balancer.deadlines.mean_latencies[0] = S
    queue = [admit(balancer, request_id) for request_id in range(20)]
    waiting = [request for request in queue if not request.is_finished]
    assert len(waiting) == 4  # one second each out of five, of which the last needs one
    assert port.calls_to("reject")[0][1:] == (4, 4 * S)


def test_request_past_its_deadline_at_its_turn_is_not_sent():
    balancer, port = ordered_balancer()
    first = admit(balancer, 1)
    second = admit(balancer, 2)
    third = admit(balancer, 3, time_left=50 * S)
    first.attempt_finished(NOW + 6 * S, 0, Outcome.SUCCEEDED, MS, True)
    assert second.is_finished
    assert not third.is_finished
    assert sent_request_ids(port) == [1, 3]


def test_key_state_is_dropped_once_its_queue_is_empty_and_its_pause_over():
    balancer, port = ordered_balancer()
    rng, now, in_flight = Random(3), NOW, []
    for request_id in range(20_000):
        now += MS
        in_flight.append(admit(balancer, request_id, now, key=1 + rng.randrange(1 << 40)))
        if len(in_flight) > 50:
            request = in_flight.pop(rng.randrange(50))
            if not request.is_finished:
                request.attempt_finished(
                    now, 0, rng.choice((Outcome.SUCCEEDED, *UNCERTAIN_OUTCOMES)), MS, False
                )
            balancer.timer_fired(now, TimerToken.KEY_PAUSE)
        port.clear()
        assert len(balancer.key_queues.queues) <= 51 + 100 + 1  # keys in flight, and keys paused for 100 ms
    for request in in_flight:
        if not request.is_finished:
            request.attempt_finished(now, 0, Outcome.RESET, MS, False)
    balancer.timer_fired(now + PAUSE, TimerToken.KEY_PAUSE)
    assert not balancer.key_queues.queues
    assert not balancer.key_queues.pauses


def test_requests_of_the_next_policy_wait_for_those_of_the_previous_one():
    balancer, port = ordered_balancer()
    first, second = admit(balancer, 1), admit(balancer, 2)
    other_key_request = admit(balancer, 3, key=5)
    other_key_request.attempt_finished(NOW, 0, Outcome.RESET, MS, False)  # pauses key 5
    successor, successor_port = ordered_balancer()
    successor.key_queues.take_over(balancer.key_queues)
    assert ("set_timer", NOW + PAUSE, TimerToken.KEY_PAUSE) in successor_port
    admit(successor, 4)
    admit(successor, 5, key=5)
    assert not sent_request_ids(successor_port)
    first.attempt_finished(NOW, 0, Outcome.SUCCEEDED, MS, True)
    second.attempt_finished(NOW, 0, Outcome.SUCCEEDED, MS, True)
    assert sent_request_ids(port) == [1, 3, 2]
    assert sent_request_ids(successor_port) == [4]
    successor.timer_fired(NOW + PAUSE, TimerToken.KEY_PAUSE)
    assert sent_request_ids(successor_port) == [4, 5]
