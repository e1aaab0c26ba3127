"""Deadlines, timeouts and Retry-After."""

from dataclasses import replace

from fake_port import IDEMPOTENT, MS, NON_IDEMPOTENT, S, admit, make_balancer

from dahliabend.model import DeduplicationScope, Idempotency, Outcome, RequestClass
from dahliabend.policy.deadlines import EARLY_TIMEOUT_LATENCIES, time_left

NOW = 100 * S


def test_request_past_its_deadline_is_rejected_at_once():
    balancer, port = make_balancer()
    request = balancer.admit(NOW, 1, 0, 0, NOW)
    assert request.is_finished
    assert port[-1][0] == "reject"
    assert not port.calls_to("send")


def test_attempt_times_out_at_the_deadline_and_its_request_then_fails():
    balancer, port = make_balancer()
    request = admit(balancer, 2)
    assert port[-1][3] == 5 * S
    request.attempt_finished(NOW + 5 * S, 0, Outcome.TIMED_OUT, 5 * S, False)
    assert request.is_finished
    assert port[-1] == ("fail", 1)


def test_without_endpoints_requests_are_rejected_with_retry_after():
    balancer, port = make_balancer(endpoints=0)
    assert admit(balancer, 0).is_finished
    assert port[-1] == ("reject", 1, S // 2)


def test_attempt_leaves_time_for_a_retry_where_late_answers_are_worthless():
    request_class = RequestClass(
        Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 600 * MS, 1_500 * MS, 1.0, 0.0
    )
    balancer, port = make_balancer(request_classes=(request_class,), max_attempts=6)
    balancer.deadlines.mean_latencies[0] = 30 * MS
    request = balancer.admit(NOW, 1, 0, 0, NOW + 1_500 * MS)
    assert port.calls_to("send")[0][3] == 300 * MS  # half of the latency objective
    request.attempt_finished(NOW + 300 * MS, 0, Outcome.TIMED_OUT, 300 * MS, False)
    assert [call[3] for call in port.calls_to("send")] == [300 * MS, 300 * MS]
    assert request.in_flight == 1
    request.attempt_finished(NOW + 600 * MS, 1, Outcome.TIMED_OUT, 300 * MS, False)
    assert request.is_finished
    assert len(port.calls_to("send")) == 2


def test_time_left_is_zero_at_the_deadline():
    balancer, _ = make_balancer()
    request = admit(balancer, 0)
    assert [time_left(request, NOW + at) for at in (0, 5 * S, 6 * S)] == [5 * S, 0, -S]


def test_useful_deadline_is_the_latency_objective_where_late_answers_are_worthless():
    worthless = replace(IDEMPOTENT, late_weight=0.0)
    for tier, request_class, useful_time in (
        (0, worthless, 2 * S),
        (0, IDEMPOTENT, 5 * S),
        (1, worthless, 5 * S),
    ):
        balancer, _ = make_balancer(tier=tier)
        assert balancer.deadlines.useful_deadline(request_class, NOW, NOW + 5 * S) == NOW + useful_time
    assert make_balancer()[0].deadlines.useful_deadline(worthless, NOW, NOW + S) == NOW + S


def test_early_timeout_is_a_multiple_of_the_mean_latency_and_at_least_half_the_objective():
    balancer, _ = make_balancer()
    request = admit(balancer, 0)
    for mean_latency, timeout in ((0, S), (10 * MS, S), (S, EARLY_TIMEOUT_LATENCIES * S)):
        balancer.deadlines.mean_latencies[0] = mean_latency
        assert balancer.deadlines.early_timeout(request) == timeout


def test_attempt_timeout_is_early_only_if_a_retry_may_follow_and_the_tier_holds_no_reduction():
    def timeout(class_index=0, mean_latency=10 * MS, budget=1.0, reduction=0.0, now=NOW):
        balancer, _ = make_balancer()
        request = admit(balancer, class_index)
        balancer.deadlines.mean_latencies[class_index] = mean_latency
        balancer.retries.budget = budget
        balancer.throttling.tier.reduction = reduction
        return balancer.deadlines.attempt_timeout(request, now)

    assert timeout() == S
    assert timeout(class_index=2) == 5 * S  # not idempotent
    assert timeout(mean_latency=0) == timeout(budget=0.9) == timeout(reduction=0.1) == 5 * S
    assert timeout(now=NOW + 9 * S // 2) == S // 2
    assert timeout(now=NOW + 6 * S) == 1  # the shortest timeout


def test_attempt_timeout_is_no_longer_than_the_class_allows():
    balancer, port = make_balancer(request_classes=(replace(NON_IDEMPOTENT, attempt_timeout=300 * MS),))
    admit(balancer, 0)
    assert port.calls_to("send")[0][3] == 300 * MS


def test_retry_after_is_the_wait_or_a_quarter_of_the_objective_up_to_its_maximum():
    balancer, _ = make_balancer(max_retry_after=3 * S)
    assert [balancer.deadlines.retry_after(IDEMPOTENT, wait) for wait in (0, S, 9 * S)] == [S // 2, S, 3 * S]
    balancer_without_retry_after, _ = make_balancer(sends_retry_after=False)
    assert balancer_without_retry_after.deadlines.retry_after(IDEMPOTENT, S) == 0


def test_min_time_to_send_is_the_larger_of_tick_and_mean_latency():
    balancer, _ = make_balancer()
    assert balancer.deadlines.min_time_to_send(0) == balancer.tick
    balancer.deadlines.mean_latencies[0] = 3 * S
    assert balancer.deadlines.min_time_to_send(0) == 3 * S
    assert balancer.deadlines.queue_wait(0, 2) == 6 * S


def test_early_timeout_applies_only_to_retryable_requests_without_an_answer():
    balancer, _ = make_balancer()
    for class_index, elapsed, is_over in ((0, S, True), (0, S - 1, False), (2, S, False)):
        request = admit(balancer, class_index)
        attempt = request.attempts[0]
        assert balancer.deadlines.has_early_timeout_passed(request, attempt, NOW + elapsed) is is_over
        request.client_disconnected(NOW)
        assert not balancer.deadlines.has_early_timeout_passed(request, attempt, NOW + elapsed)
