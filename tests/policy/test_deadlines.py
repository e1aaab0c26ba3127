"""Time left, time-outs, and when a rejected client is told to come back."""

from dataclasses import replace

from fake_port import IDEMPOTENT, MS, NON_IDEMPOTENT, S, admit, make_balancer

from dahliabend.model import DeduplicationScope, Idempotency, Outcome, RequestClass
from dahliabend.policy.deadlines import EARLY_TIMEOUT_LATENCIES, time_left

T = 100 * S


def test_request_past_its_deadline_is_rejected_at_once():
    made, port = make_balancer()
    request = made.admit(T, 1, 0, 0, T)
    assert request.is_finished
    assert port[-1][0] == "reject"
    assert not port.of("send")


def test_no_attempt_outlasts_the_deadline_and_the_last_timeout_is_answered():
    made, port = make_balancer()
    request = admit(made, 2)
    assert port[-1][3] == 5 * S
    request.attempt_finished(T + 5 * S, 0, Outcome.TIMED_OUT, 5 * S, False)
    assert request.is_finished
    assert port[-1] == ("fail", 1)


def test_without_endpoints_requests_are_rejected_with_retry_after():
    made, port = make_balancer(endpoints=0)
    assert admit(made, 0).is_finished
    assert port[-1] == ("reject", 1, S // 2)


def test_attempt_leaves_time_for_a_retry_where_late_answers_are_worthless():
    quote = RequestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 600 * MS, 1_500 * MS, 1.0, 0.0)
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


def test_time_left_is_nothing_at_the_deadline():
    made, _ = make_balancer()
    request = admit(made, 0)
    assert [time_left(request, T + at) for at in (0, 5 * S, 6 * S)] == [5 * S, 0, -S]


def test_useful_deadline_is_the_latency_objective_where_late_answers_are_worthless():
    worthless = replace(IDEMPOTENT, late_weight=0.0)
    for tier, request_class, until in ((0, worthless, 2 * S), (0, IDEMPOTENT, 5 * S), (1, worthless, 5 * S)):
        made, _ = make_balancer(tier=tier)
        assert made.deadlines.useful_deadline(request_class, T, T + 5 * S) == T + until
    assert make_balancer()[0].deadlines.useful_deadline(worthless, T, T + S) == T + S


def test_early_timeout_is_many_mean_latencies_and_half_the_objective_at_the_least():
    made, _ = make_balancer()
    request = admit(made, 0)
    for mean, timeout in ((0, S), (10 * MS, S), (S, EARLY_TIMEOUT_LATENCIES * S)):
        made.deadlines.mean_latencies[0] = mean
        assert made.deadlines.early_timeout(request) == timeout


def test_attempt_timeout_is_early_only_where_a_retry_could_follow_and_the_tier_is_calm():
    def timeout(class_index=0, mean=10 * MS, budget=1.0, reduction=0.0, now=T):
        made, _ = make_balancer()
        request = admit(made, class_index)
        made.deadlines.mean_latencies[class_index] = mean
        made.retries.budget = budget
        made.throttling.tier.reduction = reduction
        return made.deadlines.attempt_timeout(request, now)

    assert timeout() == S
    assert timeout(class_index=2) == 5 * S  # not idempotent
    assert timeout(mean=0) == timeout(budget=0.9) == timeout(reduction=0.1) == 5 * S
    assert timeout(now=T + 9 * S // 2) == S // 2
    assert timeout(now=T + 6 * S) == 1  # a time-out is never nothing


def test_attempt_timeout_is_no_longer_than_the_class_allows():
    made, port = make_balancer(request_classes=(replace(NON_IDEMPOTENT, attempt_timeout=300 * MS),))
    admit(made, 0)
    assert port.of("send")[0][3] == 300 * MS


def test_retry_after_is_the_wait_or_a_quarter_of_the_objective_and_bounded():
    made, _ = make_balancer(max_retry_after=3 * S)
    assert [made.deadlines.retry_after(IDEMPOTENT, wait) for wait in (0, S, 9 * S)] == [S // 2, S, 3 * S]
    silent, _ = make_balancer(sends_retry_after=False)
    assert silent.deadlines.retry_after(IDEMPOTENT, S) == 0


def test_min_time_to_send_is_a_tick_or_a_mean_latency():
    made, _ = make_balancer()
    assert made.deadlines.min_time_to_send(0) == made.tick
    made.deadlines.mean_latencies[0] = 3 * S
    assert made.deadlines.min_time_to_send(0) == 3 * S
    assert made.deadlines.queue_wait(0, 2) == 6 * S


def test_is_early_timeout_over_only_for_what_may_be_sent_again():
    made, _ = make_balancer()
    for class_index, later, over in ((0, S, True), (0, S - 1, False), (2, S, False)):
        request = admit(made, class_index)
        attempt = request.attempts[0]
        assert made.deadlines.is_early_timeout_over(request, attempt, T + later) is over
        request.client_disconnected(T)
        assert not made.deadlines.is_early_timeout_over(request, attempt, T + later)
