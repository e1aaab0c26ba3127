"""Ejection and recovery of endpoints, and connections that died while idle."""

from fake_port import IDEMPOTENT, MS, NON_IDEMPOTENT, S, admit, make_balancer

from dahliabend.model import Outcome
from dahliabend.policy.throttling import LINGER_VALIDITIES, MIN_SAMPLES, MIN_TIER_SAMPLES, OUTLIER_REDUCTION

T = 100 * S


def test_hung_endpoint_is_ejected_its_attempts_cancelled_and_health_checks_restore_it():
    made, port = make_balancer(endpoints=2)
    made.concurrency.mean_latency = made.deadlines.mean_latencies[0] = 100 * MS
    request = admit(made, 0)
    u = request.attempts[0].endpoint
    made.outliers.last_answer_at = T + S
    made.timer_fired(T + 2 * S, 0)
    assert u.is_ejected
    assert ("cancel", 1, 0) in port
    assert made.concurrency.in_flight == 0
    made.timer_fired(T + 2 * S + 2 * made.tick, 0)
    assert ("check_health", u.index) in port
    request.attempt_finished(T + 2 * S, 0, Outcome.CANCELLED, S, False)
    assert port.of("send")[1][2] != u.index
    made.health_check_finished(T + 3 * S, u.index, Outcome.TIMED_OUT)
    assert u.is_ejected
    port.clear()
    for ticks, checks in ((3, 0), (4, 1)):  # a check that fails doubles the wait for the next
        made.timer_fired(T + 3 * S + ticks * made.tick, 0)
        assert len(port.of("check_health")) == checks
    made.health_check_finished(T + 5 * S, u.index, Outcome.SUCCEEDED)
    made.deadlines.mean_latencies[0] = S
    admit(made, 0, now=T + 5 * S, request_id=9).attempt_finished(T + 6 * S, 0, Outcome.SUCCEEDED, S, True)
    assert not u.is_ejected
    assert u.consecutive_failures == 0


def test_without_health_checks_one_idempotent_request_tries_an_ejected_endpoint():
    made, port = make_balancer(endpoints=2, can_health_check=False)
    made.deadlines.mean_latencies[:] = [10 * MS] * 3
    made.outliers.eject(made.selection.endpoints[0], T)
    wait = max(made.throttling.validity, made.throttling.min_validity << 1)
    made.timer_fired(T + wait - 1, 0)
    assert not made.outliers.awaiting_trial
    assert not port.of("check_health")
    for outcome, back in ((Outcome.TIMED_OUT, False), (Outcome.SUCCEEDED, True)):
        now = T + wait
        made.timer_fired(now, 0)
        port.clear()
        admit(made, 2, now=now).client_disconnected(now)  # what must not run twice tries nothing
        tried, other = admit(made, 0, now=now, request_id=2), admit(made, 0, now=now, request_id=3)
        assert [note[2] for note in port.of("send")] == [1, 0, 1]  # one attempt, no more
        tried.attempt_finished(now, 0, outcome, MS, back)
        other.attempt_finished(now, 0, Outcome.SUCCEEDED, MS, True)
        assert made.selection.endpoints[0].is_ejected is not back
        wait += max(made.throttling.validity, made.throttling.min_validity << 2)
    made.outliers.eject(made.selection.endpoints[1], T)
    made.timer_fired(
        T + LINGER_VALIDITIES * max(made.throttling.validity, made.throttling.min_validity << 1), 0
    )
    assert not made.selection.endpoints[1].is_ejected  # only what must not run twice came by


def test_endpoint_that_fails_far_more_than_the_tier_is_ejected():
    made, _ = make_balancer()
    for u in (made.selection.endpoints[0], made.selection.endpoints[1]):
        u.entries[-1].sampled, u.entries[-1].failed = MIN_SAMPLES, MIN_SAMPLES * (u.index == 0)
    made.close_windows(T + S)
    assert made.selection.endpoints[0].is_ejected
    assert not made.selection.endpoints[1].is_ejected


def test_failed_connect_ejects_only_an_endpoint_that_has_not_answered_lately():
    for answered, ejected in ((T, False), (0, True)):
        made, port = make_balancer()
        request = admit(made, 2)
        request.attempts[0].endpoint.answered_at = answered
        request.attempt_finished(T + MS, 0, Outcome.UNREACHABLE, MS, False)
        assert request.attempts[0].endpoint.is_ejected == ejected
        assert made.throttling.tier.failed == 1
        assert len(port.of("send")) == 2


def test_idle_connections_that_lose_requests_are_closed_before_sending():
    made, port = make_balancer(endpoints=1)
    for n in range(MIN_TIER_SAMPLES):
        made.selection.endpoints[0].last_ended_at = T - 3 * S
        admit(made, 2, request_id=n).attempt_finished(T + S, 0, Outcome.TIMED_OUT, S, False)
    made.close_windows(T + S)
    made.selection.endpoints[0].is_ejected = False
    for entry in (made.throttling.tier, *made.selection.endpoints[0].entries):
        entry.reduction = 0.0
    for idle, closed in ((S, 0), (2 * S, 1)):
        made.selection.endpoints[0].last_ended_at = T + S - idle
        admit(made, 2, now=T + S, request_id=99).attempt_finished(T + S, 0, Outcome.NOT_SENT, 0, False)
        assert len(port.of("close_idle_connections")) == closed


def test_few_resets_on_idle_connections_count_as_many_timeouts():
    for resets, duration, closed in (
        (0, MS, 0),
        (1, MS, 0),
        (2, MS, 1),
        (2, S // 2, 0),
    ):  # the last after an answer
        made, port = make_balancer(endpoints=1)
        made.concurrency.limit, made.deadlines.mean_latencies[:] = 1e9, [S, S, S]
        for n in range(MIN_TIER_SAMPLES):
            outcome = Outcome.RESET if n < resets else Outcome.FAILED
            admit(made, 2, request_id=n).attempt_finished(
                T, 0, outcome, duration, False, S
            )  # the driver tells: it had idled
        made.close_windows(T + S)
        made.outliers.restore(made.selection.endpoints[0], T)
        made.selection.endpoints[0].entries[2].reduction = made.throttling.tier.reduction = 0.0
        for request_id in (98, 99):  # the first finds the endpoint just used, the second with others out
            admit(made, 2, request_id=request_id)
        assert [note[1:] for note in port.of("close_idle_connections")] == [(0, S // 2)] * closed


def test_quick_failures_eject_before_the_window_ends_and_at_once_after_recovery():
    made, _ = make_balancer()
    u, made.deadlines.mean_latencies[2] = made.selection.endpoints[0], 100 * MS

    def fails():
        request = admit(made, 2)
        endpoint = request.attempts[0].endpoint
        endpoint.in_flight.pop(request)
        u.in_flight[request] = request.attempts[0]
        request.attempts[0].endpoint = u
        request.attempt_finished(T, 0, Outcome.FAILED, MS, False)

    for _ in range(MIN_SAMPLES):
        assert not u.is_ejected
        fails()
    assert u.is_ejected
    made.health_check_finished(T + 100 * S, 0, Outcome.SUCCEEDED)
    assert not u.is_ejected
    fails()
    assert u.is_ejected
    assert u.consecutive_failures == 2


def test_endpoint_ejected_again_is_restored_by_a_trial_and_not_by_a_health_check():
    made, port = make_balancer(endpoints=2)
    made.deadlines.mean_latencies[:] = [10 * MS] * 3
    u, now = made.selection.endpoints[0], T
    made.outliers.eject(u, now)
    made.health_check_finished(now, 0, Outcome.SUCCEEDED)
    assert not u.is_ejected  # the first time its check does
    made.outliers.eject(u, now)
    for outcome in (Outcome.TIMED_OUT, Outcome.SUCCEEDED):
        wait = made.tick << u.consecutive_failures
        made.timer_fired(now + wait - 1, 0)
        assert not port.of("check_health")
        now += wait
        made.timer_fired(now, 0)
        made.health_check_finished(now, 0, Outcome.SUCCEEDED)
        assert u.is_ejected
        port.clear()
        admit(made, 2, now=now, request_id=5).client_disconnected(now)
        tried = admit(made, 0, now=now, request_id=6)
        assert [note[2] for note in port.of("send")] == [1, 0]
        tried.attempt_finished(now + MS, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
        port.clear()
    assert not u.is_ejected
    assert u.consecutive_failures == 0


def test_endpoint_that_nothing_tries_is_restored_by_its_second_health_check():
    made, _ = make_balancer(endpoints=2)
    u = made.selection.endpoints[0]
    made.outliers.eject(u, T)
    made.health_check_finished(T, 0, Outcome.TIMED_OUT)
    made.health_check_finished(T + S, 0, Outcome.SUCCEEDED)
    assert u.is_ejected
    made.health_check_finished(T + 2 * S, 0, Outcome.SUCCEEDED)
    assert not u.is_ejected


def test_is_hung_only_when_silent_for_long_while_others_answer():
    made, _ = make_balancer(endpoints=2)
    made.concurrency.mean_latency = 100 * MS
    endpoint = admit(made, 0).attempts[0].endpoint
    allowed = 400 * MS + made.tick
    assert not made.outliers.is_hung(endpoint, T + allowed + 1)  # nobody answers
    made.outliers.last_answer_at = T + 1
    assert not made.outliers.is_hung(endpoint, T + allowed)
    assert made.outliers.is_hung(endpoint, T + allowed + 1)
    made.throttling.class_outliers[0] = True
    assert not made.outliers.is_hung(endpoint, T + allowed + 1)


def test_is_failing_only_beside_a_tier_that_holds_less_than_half():
    made, _ = make_balancer()
    endpoint = made.selection.endpoints[0]
    for own, tier, failing in (
        (OUTLIER_REDUCTION, 0.0, True),
        (OUTLIER_REDUCTION - 0.01, 0.0, False),
        (0.8, 0.39, True),
        (0.8, 0.4, False),
    ):
        endpoint.entries[-1].reduction = own
        made.throttling.tier.reduction = tier
        assert made.outliers.is_failing(endpoint) is failing


def test_is_failing_quickly_by_its_open_window_or_after_an_ejection():
    made, _ = make_balancer()
    endpoint = made.selection.endpoints[0]
    assert not made.outliers.is_failing_quickly(endpoint)
    endpoint.entries[-1].add(MIN_SAMPLES - 1, MIN_SAMPLES - 1)
    assert not made.outliers.is_failing_quickly(endpoint)
    endpoint.entries[-1].add(0, 1)
    assert made.outliers.is_failing_quickly(endpoint)
    made.throttling.tier.reduction = OUTLIER_REDUCTION / 2
    assert not made.outliers.is_failing_quickly(endpoint)
    made.throttling.tier.reduction = 0.0
    fresh = made.selection.endpoints[1]
    fresh.consecutive_failures = 1
    assert made.outliers.is_failing_quickly(fresh)


def test_is_gone_after_a_validity_without_an_answer():
    made, _ = make_balancer()
    endpoint = made.selection.endpoints[0]
    endpoint.answered_at = T
    assert not made.outliers.is_gone(endpoint, T + made.throttling.validity - 1)
    assert made.outliers.is_gone(endpoint, T + made.throttling.validity)


def test_check_wait_and_trial_wait_double_with_each_failure_up_to_a_bound():
    made, _ = make_balancer()
    endpoint = made.selection.endpoints[0]
    checks, trials = [], []
    for failures in (0, 1, 5, 9):
        endpoint.consecutive_failures = failures
        checks.append(made.outliers.health_check_delay(endpoint) // made.tick)
        trials.append(made.outliers.trial_delay(endpoint) // made.throttling.min_validity)
    assert checks == [1, 2, 32, 32]
    assert trials == [1, 2, 32, 64]
    endpoint.consecutive_failures = 0
    made.throttling.validity = 3 * made.throttling.min_validity
    assert made.outliers.trial_delay(endpoint) == 3 * made.throttling.min_validity


def test_needs_trial_once_ejected_again_and_where_any_class_may_try():
    for classes, needed in (((IDEMPOTENT,), True), ((NON_IDEMPOTENT,), False)):
        made, _ = make_balancer(request_classes=classes)
        endpoint = made.selection.endpoints[0]
        endpoint.consecutive_failures = 1
        assert not made.outliers.needs_trial(endpoint)
        endpoint.consecutive_failures = 2
        assert made.outliers.needs_trial(endpoint) is needed
        made.outliers.awaiting_trial[endpoint] = None
        assert not made.outliers.needs_trial(endpoint)


def test_idle_losses_count_a_quick_reset_as_many_and_an_answered_end_as_none():
    made, _ = make_balancer()
    attempt = admit(made, 0).attempts[0]
    for outcome, duration, heard, losses in (
        (Outcome.RESET, MS, T, 8),
        (Outcome.RESET, 5 * MS, T, 0),
        (Outcome.TIMED_OUT, S, T, 1),
        (Outcome.CANCELLED, S, T, 1),
        (Outcome.TIMED_OUT, S, T + 1, 0),
        (Outcome.FAILED, S, T, 0),
    ):
        attempt.endpoint.silent_since = heard
        assert made.outliers.idle_losses(attempt, T + S, outcome, duration, 100 * MS) == losses
