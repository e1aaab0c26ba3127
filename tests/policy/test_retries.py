"""Idempotency, deduplication, the retry budget and hedges."""

from fake_port import DEDUPLICATED, MS, S, admit, make_balancer

from dahliabend.model import DeduplicationScope, Idempotency, Outcome, RequestClass
from dahliabend.policy.retries import cancellable_attempts, is_retryable, is_retryable_by_client, may_attempt

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
    anywhere = RequestClass(Idempotency.DEDUPLICATED, DeduplicationScope.ALL, 8 * S, 2 * S, 5 * S, 1.0, 0.5)
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


def test_may_attempt_no_more_than_max_attempts_and_never_without_the_body():
    made, _ = make_balancer(max_attempts=2)
    request = admit(made, 0)
    request.in_flight = 0
    assert may_attempt(request, T)
    request.body_consumed()
    assert not may_attempt(request, T)
    request.is_body_consumed = False
    request.attempts.append(request.attempts[0])
    assert not may_attempt(request, T)


def test_may_retry_free_of_cost_only_after_proof_that_it_did_not_execute():
    made, _ = make_balancer()
    for budget, allowed in (
        (0.9, {Outcome.REJECTED, Outcome.UNREACHABLE}),
        (1.0, set(Outcome) - {Outcome.NOT_SENT}),
    ):
        made.retries.budget = budget
        assert {outcome for outcome in Outcome if made.retries.may_retry(outcome)} == allowed
    made.retries.withdraw_for_retry(Outcome.REJECTED)
    assert made.retries.budget == 1
    made.retries.withdraw_for_retry(Outcome.FAILED)
    assert made.retries.budget == 0


def test_budget_is_earned_by_first_attempts_up_to_its_maximum():
    made, _ = make_balancer()
    made.retries.budget = 0.0
    for _ in range(5):
        made.retries.deposit()
    assert abs(made.retries.budget - 0.5) < 1e-9
    for _ in range(200):
        made.retries.deposit()
    assert made.retries.budget == 10


def test_may_hedge_only_while_open_within_the_deadline_with_budget_and_attempts_left():
    made, _ = make_balancer()
    request = admit(made, 0)
    assert made.retries.may_hedge(request, T)
    assert not made.retries.may_hedge(request, request.deadline)
    for name, value in (("is_answered", True), ("is_streaming", True), ("in_flight", 2), ("max_attempts", 1)):
        before = getattr(request, name)
        setattr(request, name, value)
        assert not made.retries.may_hedge(request, T), name
        setattr(request, name, before)
    made.retries.budget = 0.9
    assert not made.retries.may_hedge(request, T)


def test_is_retryable_and_by_the_client_follow_the_effect():
    made, _ = make_balancer()
    requests = [admit(made, class_index) for class_index in range(3)]
    assert [is_retryable(request) for request in requests] == [True, True, False]
    assert [is_retryable_by_client(request) for request in requests] == [True, False, False]
    for request in requests:
        request.attempts[0].may_have_executed = False
    assert all(is_retryable_by_client(request) for request in requests)


def test_cancellable_attempts_are_the_newest_and_the_one_it_hedges_but_none_that_streams():
    made, _ = make_balancer()
    request = admit(made, 0)
    assert list(cancellable_attempts(request)) == [0]
    request.hedge_timer_fired(T + MS)
    assert list(cancellable_attempts(request)) == [0, 1]
    request.response_started(T + 2 * MS, 1)
    assert list(cancellable_attempts(request)) == []
