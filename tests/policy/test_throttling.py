"""Reductions: entries and their windows, the narrowest scope, classes that fail at every endpoint."""

from fake_port import MS, S, admit, make_balancer

from dahliabend.model import Outcome
from dahliabend.policy.throttling import LINGER_VALIDITIES, MIN_TIER_SAMPLES, OUTLIER_REDUCTION, ThrottleEntry

NOW = 100 * S


def closed_window(sampled, failed, now, entry=None, min_samples=20):
    entry = entry or ThrottleEntry()
    entry.sampled = sampled
    entry.failed = failed
    entry.close_window(now, min_samples, 5 * S, 5 * S)
    return entry


def test_reduction_has_minimum_samples_steps_decay_and_expiry():
    assert closed_window(19, 19, 6 * S).reduction == 0  # too few samples count as free of failures
    assert closed_window(19, 19, 4 * S).sampled == 19  # the window stays open for a validity
    entry = closed_window(20, 10, 6 * S)
    assert entry.reduction == 0.5
    assert entry.valid_until == 11 * S
    assert closed_window(100, 52, 8 * S, entry).reduction == 0.5
    assert entry.valid_until == 13 * S
    assert closed_window(100, 60, 9 * S, entry).reduction == 0.6  # replaced
    assert closed_window(0, 0, 13 * S, entry).valid_until == 14 * S  # an empty window does not renew
    assert closed_window(100, 0, 13 * S, entry).reduction == 0.3  # decays by half instead of ending
    assert closed_window(0, 0, 20 * S, entry).reduction == 0  # expired


def test_small_remainder_of_a_decayed_reduction_ends():
    entry = closed_window(20, 2, 6 * S)
    for n in range(LINGER_VALIDITIES + 1):
        closed_window(20, 0, (8 + 5 * n) * S, entry)
    assert entry.reduction == 0


def test_small_remainder_ends_as_early_with_little_traffic_and_one_failure_in_twenty_is_ignored():
    entry = ThrottleEntry()
    for now, sampled, failed, reduction in ((0, 100, 8, 0.08), (19, 20, 0, 0.08), (20, 20, 0, 0.0)):
        entry.sampled = sampled
        entry.failed = failed
        entry.close_window(now * S, MIN_TIER_SAMPLES, 20 * S, 5 * S)  # validity 20 s, shortest validity 5 s
        assert abs(entry.reduction - reduction) < 1e-9, now
    assert closed_window(20, 1, 60 * S).reduction == 0


def test_finest_scope_with_a_valid_reduction_governs():
    balancer, _ = make_balancer()
    endpoint = balancer.selection.endpoints[0]
    for entry, reduction in (
        (balancer.throttling.tier, 0.3),
        (endpoint.entries[-1], 0.2),
        (endpoint.entries[1], 0.1),
    ):
        entry.reduction = reduction
        entry.valid_until = NOW + S
    assert balancer.throttling.narrowest_entry(endpoint.entries, 1, NOW) is endpoint.entries[1]
    assert balancer.throttling.narrowest_entry(endpoint.entries, 0, NOW) is endpoint.entries[-1]
    assert (
        balancer.throttling.narrowest_entry(balancer.selection.endpoints[1].entries, 0, NOW)
        is balancer.throttling.tier
    )
    assert balancer.throttling.tier.valid_reduction(NOW) == 0.3
    assert balancer.throttling.narrowest_entry(endpoint.entries, 1, NOW + S) is balancer.throttling.tier
    assert balancer.throttling.tier.valid_reduction(NOW + S) == 0.0


def test_reduced_share_goes_to_an_endpoint_known_to_hold_no_reduction():
    balancer, port = make_balancer(endpoints=3)
    for endpoint, reduction in zip(balancer.selection.endpoints.values(), (1.0, 1.0, 0.0), strict=True):
        endpoint.entries[-1].reduction = reduction
        endpoint.entries[-1].valid_until = NOW + S
    for request_id in range(6):
        admit(balancer, 0, request_id=request_id).attempt_finished(NOW, 0, Outcome.SUCCEEDED, MS, True)
    assert {call[2] for call in port.calls_to("send")} == {2}
    balancer.selection.endpoints[2].entries[-1].valid_until = 0  # not sampled yet
    assert balancer.selection.choose(admit(balancer, 2), NOW, without_reduction=True) is None


def test_same_zone_reduction_accumulates_and_decays_by_half_at_most():
    entry, reductions = ThrottleEntry(), []
    for now, failed in enumerate((5, 5, 2, -1, -5), 1):
        entry.sampled = 5
        entry.failed = failed
        entry.close_window(now * S, 5, 10 * S, 10 * S, accumulates=True)
        reductions.append(round(entry.reduction, 2))
    assert reductions == [0.5, 1.0, 1.0, 0.9, 0.45]


def test_entries_stay_valid_for_the_time_that_the_minimum_samples_take():
    balancer, _ = make_balancer()
    validity = balancer.throttling.validity
    balancer.slow_start.sent = 1
    balancer.close_windows(NOW + S)
    assert balancer.throttling.validity >= MIN_TIER_SAMPLES * balancer.throttling.window > validity


def balancer_with_failing_class(other_outcome):
    """A balancer where class 0 fails at every endpoint and class 1 has `other_outcome`."""
    balancer, port = make_balancer(can_health_check=False)
    balancer.concurrency.limit = 1e9
    for n in range(2 * MIN_TIER_SAMPLES):
        admit(balancer, n % 2, request_id=n).attempt_finished(
            NOW, 0, (Outcome.TIMED_OUT, other_outcome)[n % 2], S, n % 2 > 0
        )
    balancer.close_windows(NOW + S)
    for endpoint in balancer.selection.ready:
        endpoint.is_ejected = False
    balancer.selection.select()
    port.clear()
    return balancer, port


def test_class_that_fails_everywhere_is_rejected_by_its_reduction_and_ejects_no_endpoint():
    balancer, port = balancer_with_failing_class(Outcome.SUCCEEDED)
    assert balancer.throttling.class_outliers == [True, False, False]
    balancer.concurrency.limit = 10.0
    balancer.concurrency.in_flight = 0
    assert not admit(balancer, 0, now=NOW + S).is_finished  # the limit is not nearly reached
    balancer.concurrency.in_flight = 6
    latency_ratio = balancer.concurrency.latency_ratio
    failed = [endpoint.entries[-1].failed for endpoint in balancer.selection.ready]
    port.clear()
    assert admit(balancer, 0, now=NOW + S).is_finished
    assert port[-1][0] == "reject"
    assert not port.calls_to("send")
    balancer.throttling.classes[0].reduction = 1 - OUTLIER_REDUCTION
    balancer.concurrency.mean_latency = MS
    while not port.calls_to("send"):
        request = admit(balancer, 0, now=NOW + S)
    endpoint = request.attempts[0].endpoint
    endpoint.silent_since = NOW
    balancer.outliers.last_answer_at = NOW + S
    balancer.timer_fired(NOW + 2 * S - 1, 0)
    assert not endpoint.is_ejected  # silent, but only attempts of the failing class are in flight
    request.attempt_finished(NOW + 2 * S, 0, Outcome.TIMED_OUT, S, False)
    assert balancer.concurrency.latency_ratio == latency_ratio
    assert [endpoint.entries[-1].failed for endpoint in balancer.selection.ready] == failed
    balancer.throttling.classes[0].valid_until = 0  # the reduction expired
    port.clear()
    assert not admit(balancer, 0, now=NOW + 3 * S).is_finished


def test_where_all_classes_fail_none_is_an_outlier():
    assert balancer_with_failing_class(Outcome.TIMED_OUT)[0].throttling.class_outliers == [False] * 3


def test_min_tier_samples_are_halved_after_a_validity():
    balancer, _ = make_balancer()
    validity = balancer.throttling.min_validity
    assert [balancer.throttling.min_tier_samples(elapsed) for elapsed in (0, validity - 1, validity)] == [
        20,
        20,
        10,
    ]


def test_class_is_an_outlier_only_beside_a_healthy_class():
    balancer, _ = make_balancer()
    classes = balancer.throttling.classes
    for other, valid_until, is_outlier in ((0.0, NOW + 1, True), (0.0, NOW, False), (0.2, NOW + 1, False)):
        classes[0].reduction = 1 - OUTLIER_REDUCTION
        classes[0].valid_until = NOW + 1
        classes[1].reduction = other
        classes[1].valid_until = valid_until
        assert balancer.throttling.find_class_outliers(NOW) == [is_outlier, False, False]
