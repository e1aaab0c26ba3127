"""What the end of an attempt counts as, and in which scopes."""

from fake_port import IDEMPOTENT, MS, S, admit, make_balancer

from dahliabend.model import Outcome
from dahliabend.policy.sampling import is_late

T = 100 * S


def test_late_attempts_count_for_the_tier_only_in_an_overload():
    for pressed in (False, True):
        made, _ = make_balancer()
        made.concurrency.is_overloaded = pressed
        admit(made, 0).attempt_finished(T, 0, Outcome.SUCCEEDED, IDEMPOTENT.latency_objective, True)
        assert made.throttling.tier.failed == pressed


def test_only_a_requests_first_endpoint_counts_for_the_tier():
    made, _ = make_balancer()
    request = admit(made, 0)
    for number in range(3):
        request.attempt_finished(T, number, Outcome.REJECTED, MS, False)
    assert made.throttling.tier.sampled == made.throttling.tier.failed == 1


def test_latency_of_slow_endpoints_counts_less_and_of_silent_ones_not():
    for pace, heard, how, seen in (
        (1, T, 1, 1 / 2),
        (4, T, 1, 1 / 3),
        (1, T + 1, 4, 1 / 2),
        (1, T - S, 4, 0),
    ):
        made, _ = make_balancer()
        request = admit(made, 2)
        request.attempts[0].endpoint.relative_latency, request.attempts[0].endpoint.silent_since = pace, heard
        request.attempt_finished(T + S, 0, Outcome(how), S, True)
        assert abs(made.concurrency.latency_ratio - seen) < 1e-6


def test_one_slow_attempt_counts_no_more_than_its_latency_objective():
    made, _ = make_balancer()
    admit(made, 2).attempt_finished(T + S, 0, Outcome.SUCCEEDED, 40 * S, True)
    assert made.concurrency.latency_ratio == 1


def test_is_late_beyond_three_quarters_of_the_objective():
    assert [is_late(IDEMPOTENT, duration) for duration in (0, 3 * S // 2, 3 * S // 2 + 1)] == [
        False,
        False,
        True,
    ]


def test_is_tier_failure_only_a_rejection_unless_in_an_overload():
    made, _ = make_balancer()
    failures = [outcome for outcome in Outcome if made.sampling.is_tier_failure(outcome)]
    assert failures == [Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT]
    made.concurrency.is_overloaded = True
    assert all(made.sampling.is_tier_failure(outcome) for outcome in Outcome)


def test_tells_of_load_only_with_an_answer_of_the_endpoint_since_it_was_sent():
    made, _ = make_balancer()
    endpoint = made.selection.endpoints[0]
    endpoint.silent_since = T - S
    assert made.sampling.indicates_load(endpoint, T, Outcome.TIMED_OUT, 2 * S)
    assert not made.sampling.indicates_load(endpoint, T, Outcome.TIMED_OUT, S)
    assert not made.sampling.indicates_load(endpoint, T, Outcome.RESET, 2 * S)
