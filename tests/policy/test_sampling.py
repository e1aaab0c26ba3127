"""Attribution of outcomes: whether an attempt counts as failed, and in which scopes."""

from fake_port import IDEMPOTENT, MS, S, admit, make_balancer

from dahliabend.model import Outcome
from dahliabend.policy.sampling import is_slow

NOW = 100 * S


def test_late_attempts_count_against_the_tier_only_in_an_overload():
    for is_overloaded in (False, True):
        balancer, _ = make_balancer()
        balancer.concurrency.is_overloaded = is_overloaded
        admit(balancer, 0).attempt_finished(NOW, 0, Outcome.SUCCEEDED, IDEMPOTENT.latency_objective, True)
        assert balancer.throttling.tier.failed == is_overloaded


def test_only_the_first_endpoint_of_a_request_counts_against_the_tier():
    balancer, _ = make_balancer()
    request = admit(balancer, 0)
    for number in range(3):
        request.attempt_finished(NOW, number, Outcome.REJECTED, MS, False)
    assert balancer.throttling.tier.sampled == balancer.throttling.tier.failed == 1


def test_latency_of_slow_endpoints_is_discounted_and_of_silent_ones_ignored():
    for relative_latency, silent_since, outcome, latency_ratio in (
        (1, NOW, 1, 1 / 2),
        (4, NOW, 1, 1 / 3),
        (1, NOW + 1, 4, 1 / 2),
        (1, NOW - S, 4, 0),
    ):
        balancer, _ = make_balancer()
        request = admit(balancer, 2)
        request.attempts[0].endpoint.relative_latency = relative_latency
        request.attempts[0].endpoint.silent_since = silent_since
        request.attempt_finished(NOW + S, 0, Outcome(outcome), S, True)
        assert abs(balancer.concurrency.latency_ratio - latency_ratio) < 1e-6


def test_one_slow_attempt_counts_no_more_than_its_latency_objective():
    balancer, _ = make_balancer()
    admit(balancer, 2).attempt_finished(NOW + S, 0, Outcome.SUCCEEDED, 40 * S, True)
    assert balancer.concurrency.latency_ratio == 1


def test_attempt_is_late_beyond_three_quarters_of_the_objective():
    assert [is_slow(IDEMPOTENT, duration) for duration in (0, 3 * S // 2, 3 * S // 2 + 1)] == [
        False,
        False,
        True,
    ]


def test_only_rejections_are_tier_failures_unless_in_an_overload():
    balancer, _ = make_balancer()
    failures = [outcome for outcome in Outcome if balancer.sampling.is_tier_failure(outcome)]
    assert failures == [Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT]
    balancer.concurrency.is_overloaded = True
    assert all(balancer.sampling.is_tier_failure(outcome) for outcome in Outcome)


def test_duration_indicates_load_only_if_the_endpoint_has_answered_since_the_send():
    balancer, _ = make_balancer()
    endpoint = balancer.selection.endpoints[0]
    endpoint.silent_since = NOW - S
    assert balancer.sampling.indicates_load(endpoint, NOW, Outcome.TIMED_OUT, 2 * S)
    assert not balancer.sampling.indicates_load(endpoint, NOW, Outcome.TIMED_OUT, S)
    assert not balancer.sampling.indicates_load(endpoint, NOW, Outcome.RESET, 2 * S)
