"""Ejection and recovery of endpoints, and stale idle connections."""

from fake_port import IDEMPOTENT, MS, NON_IDEMPOTENT, S, admit, make_balancer

from dahliabend.model import Outcome
from dahliabend.policy.throttling import LINGER_VALIDITIES, MIN_SAMPLES, MIN_TIER_SAMPLES, OUTLIER_REDUCTION

NOW = 100 * S


def test_hung_endpoint_is_ejected_its_attempts_cancelled_and_health_checks_restore_it():
    balancer, port = make_balancer(endpoints=2)
    balancer.concurrency.mean_latency = balancer.deadlines.mean_latencies[0] = 100 * MS
    request = admit(balancer, 0)
    endpoint = request.attempts[0].endpoint
    balancer.outliers.last_answer_at = NOW + S
    balancer.timer_fired(NOW + 2 * S, 0)
    assert endpoint.is_ejected
    assert ("cancel", 1, 0) in port
    assert balancer.concurrency.in_flight == 0
    balancer.timer_fired(NOW + 2 * S + 2 * balancer.tick, 0)
    assert ("check_health", endpoint.index) in port
    request.attempt_finished(NOW + 2 * S, 0, Outcome.CANCELLED, S, False)
    assert port.calls_to("send")[1][2] != endpoint.index
    balancer.health_check_finished(NOW + 3 * S, endpoint.index, Outcome.TIMED_OUT)
    assert endpoint.is_ejected
    port.clear()
    for ticks, check_count in ((3, 0), (4, 1)):  # a failed check doubles the delay of the next
        balancer.timer_fired(NOW + 3 * S + ticks * balancer.tick, 0)
        assert len(port.calls_to("check_health")) == check_count
    balancer.health_check_finished(NOW + 5 * S, endpoint.index, Outcome.SUCCEEDED)
    balancer.deadlines.mean_latencies[0] = S
    admit(balancer, 0, now=NOW + 5 * S, request_id=9).attempt_finished(
        NOW + 6 * S, 0, Outcome.SUCCEEDED, S, True
    )
    assert not endpoint.is_ejected
    assert endpoint.consecutive_failures == 0


def test_without_health_checks_an_ejected_endpoint_gets_one_idempotent_trial_request():
    balancer, port = make_balancer(endpoints=2, can_health_check=False)
    balancer.deadlines.mean_latencies[:] = [10 * MS] * 3
    balancer.outliers.eject(balancer.selection.endpoints[0], NOW)
    wait = max(balancer.throttling.validity, balancer.throttling.min_validity << 1)
    balancer.timer_fired(NOW + wait - 1, 0)
    assert not balancer.outliers.awaiting_trial
    assert not port.calls_to("check_health")
    for outcome, is_restored in ((Outcome.TIMED_OUT, False), (Outcome.SUCCEEDED, True)):
        now = NOW + wait
        balancer.timer_fired(now, 0)
        port.clear()
        admit(balancer, 2, now=now).client_disconnected(now)  # a non-idempotent request is no trial
        trial, other = admit(balancer, 0, now=now, request_id=2), admit(balancer, 0, now=now, request_id=3)
        assert [call[2] for call in port.calls_to("send")] == [1, 0, 1]  # one trial request
        trial.attempt_finished(now, 0, outcome, MS, is_restored)
        other.attempt_finished(now, 0, Outcome.SUCCEEDED, MS, True)
        assert balancer.selection.endpoints[0].is_ejected is not is_restored
        wait += max(balancer.throttling.validity, balancer.throttling.min_validity << 2)
    balancer.outliers.eject(balancer.selection.endpoints[1], NOW)
    balancer.timer_fired(
        NOW + LINGER_VALIDITIES * max(balancer.throttling.validity, balancer.throttling.min_validity << 1), 0
    )
    assert not balancer.selection.endpoints[1].is_ejected  # only non-idempotent requests came


def test_endpoint_that_fails_far_more_than_the_tier_is_ejected():
    balancer, _ = make_balancer()
    for endpoint in (balancer.selection.endpoints[0], balancer.selection.endpoints[1]):
        endpoint.entries[-1].sampled = MIN_SAMPLES
        endpoint.entries[-1].failed = MIN_SAMPLES * (endpoint.index == 0)
    balancer.close_windows(NOW + S)
    assert balancer.selection.endpoints[0].is_ejected
    assert not balancer.selection.endpoints[1].is_ejected


def test_failed_connect_ejects_only_an_endpoint_without_a_recent_answer():
    for answered_at, is_ejected in ((NOW, False), (0, True)):
        balancer, port = make_balancer()
        request = admit(balancer, 2)
        request.attempts[0].endpoint.answered_at = answered_at
        request.attempt_finished(NOW + MS, 0, Outcome.UNREACHABLE, MS, False)
        assert request.attempts[0].endpoint.is_ejected == is_ejected
        assert balancer.throttling.tier.failed == 1
        assert len(port.calls_to("send")) == 2


def test_idle_connections_that_lose_requests_are_closed_before_sending():
    balancer, port = make_balancer(endpoints=1)
    for n in range(MIN_TIER_SAMPLES):
        balancer.selection.endpoints[0].last_ended_at = NOW - 3 * S
        admit(balancer, 2, request_id=n).attempt_finished(NOW + S, 0, Outcome.TIMED_OUT, S, False)
    balancer.close_windows(NOW + S)
    balancer.selection.endpoints[0].is_ejected = False
    for entry in (balancer.throttling.tier, *balancer.selection.endpoints[0].entries):
        entry.reduction = 0.0
    for idle, close_count in ((S, 0), (2 * S, 1)):
        balancer.selection.endpoints[0].last_ended_at = NOW + S - idle
        admit(balancer, 2, now=NOW + S, request_id=99).attempt_finished(
            NOW + S, 0, Outcome.NOT_SENT, 0, False
        )
        assert len(port.calls_to("close_idle_connections")) == close_count


def test_few_resets_on_idle_connections_count_as_many_timeouts():
    for resets, duration, close_count in (
        (0, MS, 0),
        (1, MS, 0),
        (2, MS, 1),
        (2, S // 2, 0),  # resets, but not quick ones
    ):
        balancer, port = make_balancer(endpoints=1)
        balancer.concurrency.limit = 1e9
        balancer.deadlines.mean_latencies[:] = [S, S, S]
        for n in range(MIN_TIER_SAMPLES):
            outcome = Outcome.RESET if n < resets else Outcome.FAILED
            # The last argument is the idle time that the driver reports.
            admit(balancer, 2, request_id=n).attempt_finished(NOW, 0, outcome, duration, False, S)
        balancer.close_windows(NOW + S)
        balancer.outliers.restore(balancer.selection.endpoints[0], NOW)
        balancer.selection.endpoints[0].entries[2].reduction = balancer.throttling.tier.reduction = 0.0
        for request_id in (98, 99):  # first an endpoint just used, then one with attempts in flight
            admit(balancer, 2, request_id=request_id)
        assert [call[1:] for call in port.calls_to("close_idle_connections")] == [(0, S // 2)] * close_count


def test_quick_failures_eject_before_the_window_ends_and_at_once_after_recovery():
    balancer, _ = make_balancer()
    endpoint = balancer.selection.endpoints[0]
    balancer.deadlines.mean_latencies[2] = 100 * MS

    def fails():
        request = admit(balancer, 2)
        chosen = request.attempts[0].endpoint
        chosen.in_flight.pop(request)
        endpoint.in_flight[request] = request.attempts[0]
        request.attempts[0].endpoint = endpoint
        request.attempt_finished(NOW, 0, Outcome.FAILED, MS, False)

    for _ in range(MIN_SAMPLES):
        assert not endpoint.is_ejected
        fails()
    assert endpoint.is_ejected
    balancer.health_check_finished(NOW + 100 * S, 0, Outcome.SUCCEEDED)
    assert not endpoint.is_ejected
    fails()
    assert endpoint.is_ejected
    assert endpoint.consecutive_failures == 2


def test_endpoint_ejected_twice_is_restored_by_a_trial_and_not_by_a_health_check():
    balancer, port = make_balancer(endpoints=2)
    balancer.deadlines.mean_latencies[:] = [10 * MS] * 3
    endpoint, now = balancer.selection.endpoints[0], NOW
    balancer.outliers.eject(endpoint, now)
    balancer.health_check_finished(now, 0, Outcome.SUCCEEDED)
    assert not endpoint.is_ejected  # the first time, a health check suffices
    balancer.outliers.eject(endpoint, now)
    for outcome in (Outcome.TIMED_OUT, Outcome.SUCCEEDED):
        wait = balancer.tick << endpoint.consecutive_failures
        balancer.timer_fired(now + wait - 1, 0)
        assert not port.calls_to("check_health")
        now += wait
        balancer.timer_fired(now, 0)
        balancer.health_check_finished(now, 0, Outcome.SUCCEEDED)
        assert endpoint.is_ejected
        port.clear()
        admit(balancer, 2, now=now, request_id=5).client_disconnected(now)
        trial = admit(balancer, 0, now=now, request_id=6)
        assert [call[2] for call in port.calls_to("send")] == [1, 0]
        trial.attempt_finished(now + MS, 0, outcome, MS, outcome is Outcome.SUCCEEDED)
        port.clear()
    assert not endpoint.is_ejected
    assert endpoint.consecutive_failures == 0


def test_endpoint_without_a_trial_request_is_restored_by_its_second_health_check():
    balancer, _ = make_balancer(endpoints=2)
    endpoint = balancer.selection.endpoints[0]
    balancer.outliers.eject(endpoint, NOW)
    balancer.health_check_finished(NOW, 0, Outcome.TIMED_OUT)
    balancer.health_check_finished(NOW + S, 0, Outcome.SUCCEEDED)
    assert endpoint.is_ejected
    balancer.health_check_finished(NOW + 2 * S, 0, Outcome.SUCCEEDED)
    assert not endpoint.is_ejected


def test_endpoint_is_hung_only_if_it_is_silent_while_others_answer():
    balancer, _ = make_balancer(endpoints=2)
    balancer.concurrency.mean_latency = 100 * MS
    endpoint = admit(balancer, 0).attempts[0].endpoint
    max_silence = 400 * MS + balancer.tick
    assert not balancer.outliers.is_hung(endpoint, NOW + max_silence + 1)  # no endpoint answers
    balancer.outliers.last_answer_at = NOW + 1
    assert not balancer.outliers.is_hung(endpoint, NOW + max_silence)
    assert balancer.outliers.is_hung(endpoint, NOW + max_silence + 1)
    balancer.throttling.class_outliers[0] = True
    assert not balancer.outliers.is_hung(endpoint, NOW + max_silence + 1)


def test_endpoint_is_failing_only_if_the_tier_holds_less_than_half_its_reduction():
    balancer, _ = make_balancer()
    endpoint = balancer.selection.endpoints[0]
    for reduction, tier, is_failing in (
        (OUTLIER_REDUCTION, 0.0, True),
        (OUTLIER_REDUCTION - 0.01, 0.0, False),
        (0.8, 0.39, True),
        (0.8, 0.4, False),
    ):
        endpoint.entries[-1].reduction = reduction
        balancer.throttling.tier.reduction = tier
        assert balancer.outliers.is_failing(endpoint) is is_failing


def test_endpoint_is_failing_quickly_by_its_open_window_or_after_an_ejection():
    balancer, _ = make_balancer()
    endpoint = balancer.selection.endpoints[0]
    assert not balancer.outliers.is_quickly_failing_outlier(endpoint)
    endpoint.entries[-1].add(MIN_SAMPLES - 1, MIN_SAMPLES - 1)
    assert not balancer.outliers.is_quickly_failing_outlier(endpoint)
    endpoint.entries[-1].add(0, 1)
    assert balancer.outliers.is_quickly_failing_outlier(endpoint)
    balancer.throttling.tier.reduction = OUTLIER_REDUCTION / 2
    assert not balancer.outliers.is_quickly_failing_outlier(endpoint)
    balancer.throttling.tier.reduction = 0.0
    ejected_endpoint = balancer.selection.endpoints[1]
    ejected_endpoint.consecutive_failures = 1
    assert balancer.outliers.is_quickly_failing_outlier(ejected_endpoint)


def test_endpoint_is_gone_after_a_validity_without_an_answer():
    balancer, _ = make_balancer()
    endpoint = balancer.selection.endpoints[0]
    endpoint.answered_at = NOW
    assert not balancer.outliers.is_gone(endpoint, NOW + balancer.throttling.validity - 1)
    assert balancer.outliers.is_gone(endpoint, NOW + balancer.throttling.validity)


def test_health_check_and_trial_delays_double_with_each_failure_up_to_a_maximum():
    balancer, _ = make_balancer()
    endpoint = balancer.selection.endpoints[0]
    check_count, trials = [], []
    for failures in (0, 1, 5, 9):
        endpoint.consecutive_failures = failures
        check_count.append(balancer.outliers.health_check_delay(endpoint) // balancer.tick)
        trials.append(balancer.outliers.trial_delay(endpoint) // balancer.throttling.min_validity)
    assert check_count == [1, 2, 32, 32]
    assert trials == [1, 2, 32, 64]
    endpoint.consecutive_failures = 0
    balancer.throttling.validity = 3 * balancer.throttling.min_validity
    assert balancer.outliers.trial_delay(endpoint) == 3 * balancer.throttling.min_validity


def test_endpoint_ejected_twice_needs_a_trial_if_any_class_is_idempotent():
    for classes, is_needed in (((IDEMPOTENT,), True), ((NON_IDEMPOTENT,), False)):
        balancer, _ = make_balancer(request_classes=classes)
        endpoint = balancer.selection.endpoints[0]
        endpoint.consecutive_failures = 1
        assert not balancer.outliers.needs_trial(endpoint)
        endpoint.consecutive_failures = 2
        assert balancer.outliers.needs_trial(endpoint) is is_needed
        balancer.outliers.awaiting_trial[endpoint] = None
        assert not balancer.outliers.needs_trial(endpoint)


def test_idle_losses_are_many_for_a_quick_reset_and_none_after_an_answer():
    balancer, _ = make_balancer()
    attempt = admit(balancer, 0).attempts[0]
    for outcome, duration, silent_since, losses in (
        (Outcome.RESET, MS, NOW, 8),
        (Outcome.RESET, 5 * MS, NOW, 0),
        (Outcome.TIMED_OUT, S, NOW, 1),
        (Outcome.CANCELLED, S, NOW, 1),
        (Outcome.TIMED_OUT, S, NOW + 1, 0),
        (Outcome.FAILED, S, NOW, 0),
    ):
        attempt.endpoint.silent_since = silent_since
        assert balancer.outliers.idle_losses(attempt, NOW + S, outcome, duration, 100 * MS) == losses
