"""Idempotency, deduplication, the retry budget and hedges."""

from fake_port import DEDUPLICATED, MS, S, admit, make_balancer

from dahliabend.model import DeduplicationScope, Effect, Outcome, RequestClass
from dahliabend.policy.retries import may_attempt

T = 100 * S


def test_non_idempotent_request_is_retried_only_after_proof_that_it_did_not_execute():
    for outcome in Outcome:
        made, port = make_balancer()
        request = admit(made, 2)
        request.attempt_finished(T, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
        again = outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        assert len(port.of("send")) == 1 + again, outcome
        rolled_back = bool(port.of("reject"))
        assert rolled_back == (outcome is Outcome.NOT_SENT), outcome


def test_deduplicated_request_is_retried_in_its_scope_and_window():
    made, port = make_balancer()
    request = admit(made, 1)
    made.retries.budget = 5
    request.attempt_finished(T + S, 0, Outcome.FAILED, S, False)
    first, second = (note[2] for note in port.of("send"))
    assert first % 2 == second % 2
    assert first != second
    attempt = request.first_possibly_executed()
    assert attempt.sent_at == T
    request.in_flight = 0
    assert may_attempt(request, T + DEDUPLICATED.deduplication_window - 1)
    assert not may_attempt(request, T + DEDUPLICATED.deduplication_window)


def test_deduplicated_request_that_may_have_executed_fails_unless_every_endpoint_knows_it():
    anywhere = RequestClass(Effect.DEDUPLICATED, DeduplicationScope.ALL, 8 * S, 2 * S, 5 * S, 1.0, 0.5)
    for kind, end in ((DEDUPLICATED, "fail"), (anywhere, "reject")):
        made, port = make_balancer(request_classes=(kind,), max_attempts=1)
        admit(made, 0).attempt_finished(T, 0, Outcome.RESET, MS, False)
        assert port[-1][0] == end


def test_attempt_in_flight_forbids_another():
    for class_index in range(3):
        made, _ = make_balancer()
        assert not may_attempt(admit(made, class_index), T)


def test_retries_after_possible_execution_need_a_budget():
    made, port = make_balancer()
    made.retries.budget = 0.5
    admit(made, 0).attempt_finished(T, 0, Outcome.FAILED, MS, False)
    assert len(port.of("send")) == 1
    assert port.of("reject")


def test_hedge_goes_to_another_endpoint_and_the_first_success_cancels_the_other():
    made, port = make_balancer()
    request = admit(made, 0)
    first = port.of("send")[-1][2]
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert [len(port.of("send")), request.in_flight] == [2, 2]
    assert port.of("send")[-1][2] != first
    request.hedge_timer_fired(100 * S + 400 * MS)
    assert request.in_flight == 2  # never a third
    request.attempt_finished(100 * S + 500 * MS, 1, Outcome.SUCCEEDED, 200 * MS, True)
    assert port.of("cancel")
    assert {note[2] for note in port.of("cancel")} == {0, 1}
    assert not request.is_finished
    request.attempt_finished(100 * S + 500 * MS, 0, Outcome.CANCELLED, 500 * MS, True)
    assert request.is_finished
    assert made.concurrency.in_flight == 0
    assert not port.of("reject")


def test_failed_attempt_leaves_the_hedge_to_answer():
    made, port = make_balancer()
    made.retries.budget = 5.0
    request = admit(made, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    request.attempt_finished(100 * S + 400 * MS, 0, Outcome.RESET, 400 * MS, False)
    assert request.in_flight == 1
    assert len(port.of("send")) == 2
    assert not port.of("reject")
    request.attempt_finished(100 * S + 500 * MS, 1, Outcome.FAILED, 200 * MS, False)
    assert len(port.of("send")) == 3  # its attempts are not spent


def test_hedge_costs_a_retry_and_needs_another_endpoint():
    made, port = make_balancer()
    made.retries.budget = 0.5
    request = admit(made, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert request.in_flight == 1
    assert len(port.of("send")) == 1
    alone, port = make_balancer(endpoints=1)
    request = admit(alone, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert request.in_flight == 1
    alone.give_up(request)
    request.hedge_timer_fired(100 * S + 400 * MS)
    assert request.in_flight == 1


def test_attempt_leaves_time_for_a_retry_where_late_answers_are_worthless():
    quote = RequestClass(Effect.IDEMPOTENT, DeduplicationScope.ALL, 0, 600 * MS, 1_500 * MS, 1.0, 0.0)
    made, port = make_balancer(request_classes=(quote,), max_attempts=6)
    made.deadlines.mean_latencies[0] = 30 * MS
    request = made.admit(T, 1, 0, 0, T + 1_500 * MS)
    assert port.of("send")[0][3] == 300 * MS  # half of what it may take at all
    request.attempt_finished(T + 300 * MS, 0, Outcome.TIMED_OUT, 300 * MS, False)
    assert [note[3] for note in port.of("send")] == [300 * MS, 300 * MS]
    assert request.in_flight == 1
    request.attempt_finished(T + 600 * MS, 1, Outcome.TIMED_OUT, 300 * MS, False)
    assert request.is_finished
    assert len(port.of("send")) == 2
