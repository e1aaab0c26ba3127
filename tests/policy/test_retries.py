"""Idempotency, deduplication, the retry budget and hedges."""

from fake_port import DEDUPLICATED, MS, S, admit, make_balancer

from dahliabend.model import DeduplicationScope, Idempotency, Outcome, RequestClass
from dahliabend.policy.retries import cancellable_attempts, is_retryable, is_retryable_by_client, may_attempt

NOW = 100 * S


def test_non_idempotent_request_is_retried_only_after_proof_that_it_did_not_execute():
    for outcome in Outcome:
        balancer, port = make_balancer()
        request = admit(balancer, 2)
        request.attempt_finished(NOW, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
        is_retried = outcome in (Outcome.REJECTED, Outcome.UNREACHABLE)
        assert len(port.calls_to("send")) == 1 + is_retried, outcome
        is_rejected = bool(port.calls_to("reject"))
        assert is_rejected == (outcome is Outcome.NOT_SENT), outcome


def test_deduplicated_request_is_retried_in_its_scope_and_window():
    balancer, port = make_balancer()
    request = admit(balancer, 1)
    balancer.retries.budget = 5
    request.attempt_finished(NOW + S, 0, Outcome.FAILED, S, False)
    first, second = (call[2] for call in port.calls_to("send"))
    assert first % 2 == second % 2
    assert first != second
    attempt = request.first_possibly_executed()
    assert attempt.sent_at == NOW
    request.in_flight = 0
    assert may_attempt(request, NOW + DEDUPLICATED.deduplication_window - 1)
    assert not may_attempt(request, NOW + DEDUPLICATED.deduplication_window)


def test_deduplicated_request_that_may_have_executed_fails_unless_all_endpoints_deduplicate():
    deduplicated_everywhere = RequestClass(
        Idempotency.DEDUPLICATED, DeduplicationScope.ALL, 8 * S, 2 * S, 5 * S, 1.0, 0.5
    )
    for request_class, action in ((DEDUPLICATED, "fail"), (deduplicated_everywhere, "reject")):
        balancer, port = make_balancer(request_classes=(request_class,), max_attempts=1)
        admit(balancer, 0).attempt_finished(NOW, 0, Outcome.RESET, MS, False)
        assert port[-1][0] == action


def test_no_attempt_is_allowed_beside_one_in_flight():
    for class_index in range(3):
        balancer, _ = make_balancer()
        assert not may_attempt(admit(balancer, class_index), NOW)


def test_retries_after_possible_execution_need_a_budget():
    balancer, port = make_balancer()
    balancer.retries.budget = 0.5
    admit(balancer, 0).attempt_finished(NOW, 0, Outcome.FAILED, MS, False)
    assert len(port.calls_to("send")) == 1
    assert port.calls_to("reject")


def test_hedge_goes_to_another_endpoint_and_the_first_success_cancels_the_other():
    balancer, port = make_balancer()
    request = admit(balancer, 0)
    first = port.calls_to("send")[-1][2]
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert [len(port.calls_to("send")), request.in_flight] == [2, 2]
    assert port.calls_to("send")[-1][2] != first
    request.hedge_timer_fired(100 * S + 400 * MS)
    assert request.in_flight == 2  # one hedge at most
    request.attempt_finished(100 * S + 500 * MS, 1, Outcome.SUCCEEDED, 200 * MS, True)
    assert port.calls_to("cancel")
    assert {call[2] for call in port.calls_to("cancel")} == {0, 1}
    assert not request.is_finished
    request.attempt_finished(100 * S + 500 * MS, 0, Outcome.CANCELLED, 500 * MS, True)
    assert request.is_finished
    assert balancer.concurrency.in_flight == 0
    assert not port.calls_to("reject")


def test_request_waits_for_its_hedge_after_the_first_attempt_failed():
    balancer, port = make_balancer()
    balancer.retries.budget = 5.0
    request = admit(balancer, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    request.attempt_finished(100 * S + 400 * MS, 0, Outcome.RESET, 400 * MS, False)
    assert request.in_flight == 1
    assert len(port.calls_to("send")) == 2
    assert not port.calls_to("reject")
    request.attempt_finished(100 * S + 500 * MS, 1, Outcome.FAILED, 200 * MS, False)
    assert len(port.calls_to("send")) == 3  # a third attempt is allowed


def test_hedge_costs_a_retry_and_needs_another_endpoint():
    balancer, port = make_balancer()
    balancer.retries.budget = 0.5
    request = admit(balancer, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert request.in_flight == 1
    assert len(port.calls_to("send")) == 1
    single_endpoint_balancer, port = make_balancer(endpoints=1)
    request = admit(single_endpoint_balancer, 0)
    request.hedge_timer_fired(100 * S + 300 * MS)
    assert request.in_flight == 1
    single_endpoint_balancer.give_up(request)
    request.hedge_timer_fired(100 * S + 400 * MS)
    assert request.in_flight == 1


def test_attempts_end_at_max_attempts_and_once_the_body_is_consumed():
    balancer, _ = make_balancer(max_attempts=2)
    request = admit(balancer, 0)
    request.in_flight = 0
    assert may_attempt(request, NOW)
    request.body_consumed()
    assert not may_attempt(request, NOW)
    request.is_body_consumed = False
    request.attempts.append(request.attempts[0])
    assert not may_attempt(request, NOW)


def test_retry_is_free_only_after_proof_that_the_attempt_did_not_execute():
    balancer, _ = make_balancer()
    for budget, retryable_outcomes in (
        (0.9, {Outcome.REJECTED, Outcome.UNREACHABLE}),
        (1.0, set(Outcome) - {Outcome.NOT_SENT}),
    ):
        balancer.retries.budget = budget
        assert {outcome for outcome in Outcome if balancer.retries.may_retry(outcome)} == retryable_outcomes
    balancer.retries.withdraw_for_retry(Outcome.REJECTED)
    assert balancer.retries.budget == 1
    balancer.retries.withdraw_for_retry(Outcome.FAILED)
    assert balancer.retries.budget == 0


def test_first_attempts_fill_the_retry_budget_up_to_its_maximum():
    balancer, _ = make_balancer()
    balancer.retries.budget = 0.0
    for _ in range(5):
        balancer.retries.deposit()
    assert abs(balancer.retries.budget - 0.5) < 1e-9
    for _ in range(200):
        balancer.retries.deposit()
    assert balancer.retries.budget == 10


def test_hedge_needs_an_open_request_time_budget_and_attempts():
    balancer, _ = make_balancer()
    request = admit(balancer, 0)
    assert balancer.retries.may_hedge(request, NOW)
    assert not balancer.retries.may_hedge(request, request.deadline)
    for name, value in (("is_answered", True), ("is_streaming", True), ("in_flight", 2), ("max_attempts", 1)):
        previous_value = getattr(request, name)
        setattr(request, name, value)
        assert not balancer.retries.may_hedge(request, NOW), name
        setattr(request, name, previous_value)
    balancer.retries.budget = 0.9
    assert not balancer.retries.may_hedge(request, NOW)


def test_retries_by_balancer_and_client_follow_the_idempotency():
    balancer, _ = make_balancer()
    requests = [admit(balancer, class_index) for class_index in range(3)]
    assert [is_retryable(request) for request in requests] == [True, True, False]
    assert [is_retryable_by_client(request) for request in requests] == [True, False, False]
    for request in requests:
        request.attempts[0].may_have_executed = False
    assert all(is_retryable_by_client(request) for request in requests)


def test_cancellable_attempts_are_the_newest_and_its_original_unless_streaming():
    balancer, _ = make_balancer()
    request = admit(balancer, 0)
    assert list(cancellable_attempts(request)) == [0]
    request.hedge_timer_fired(NOW + MS)
    assert list(cancellable_attempts(request)) == [0, 1]
    request.response_started(NOW + 2 * MS, 1)
    assert list(cancellable_attempts(request)) == []
