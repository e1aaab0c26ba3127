"""Held reductions: entries and their windows, the governing scope, classes that fail everywhere."""

from fake_port import MS, S, admit, make_balancer

from dahliabend.model import Outcome
from dahliabend.policy.throttling import LINGER_VALIDITIES, MIN_TIER_SAMPLES, OUTLIER_REDUCTION, ThrottleEntry

T = 100 * S


def closed_window(tried, bad, now, entry=None, min_samples=20):
    entry = entry or ThrottleEntry()
    entry.sampled, entry.failed = tried, bad
    entry.close_window(now, min_samples, 5 * S, 5 * S)
    return entry


def test_reduction_has_floor_step_easing_and_lapse():
    assert closed_window(19, 19, 6 * S).reduction == 0  # below the floor a window counts as zero
    assert closed_window(19, 19, 4 * S).sampled == 19  # but stays open for a quiet balancer until then
    entry = closed_window(20, 10, 6 * S)
    assert entry.reduction == 0.5
    assert entry.valid_until == 11 * S
    assert closed_window(100, 52, 8 * S, entry).reduction == 0.5
    assert entry.valid_until == 13 * S
    assert closed_window(100, 60, 9 * S, entry).reduction == 0.6  # replaced
    assert closed_window(0, 0, 13 * S, entry).valid_until == 14 * S  # an empty window renews nothing
    assert closed_window(100, 0, 13 * S, entry).reduction == 0.3  # eased, not dropped: no wave
    assert closed_window(0, 0, 20 * S, entry).reduction == 0  # lapsed


def test_last_percents_of_an_eased_reduction_end():
    entry = closed_window(20, 2, 6 * S)
    for n in range(LINGER_VALIDITIES + 1):
        closed_window(20, 0, (8 + 5 * n) * S, entry)
    assert entry.reduction == 0


def test_last_percents_end_as_soon_with_little_traffic_and_one_failure_of_a_floor_is_none():
    entry = ThrottleEntry()
    for now, tried, bad, reduction in ((0, 100, 8, 0.08), (19, 20, 0, 0.08), (20, 20, 0, 0.0)):
        entry.sampled, entry.failed = tried, bad
        entry.close_window(
            now * S, MIN_TIER_SAMPLES, 20 * S, 5 * S
        )  # valid for 20 s, the shortest validity is 5 s
        assert abs(entry.reduction - reduction) < 1e-9, now
    assert closed_window(20, 1, 60 * S).reduction == 0


def test_finest_valid_scope_governs():
    made, _ = make_balancer()
    u = made.selection.endpoints[0]
    for entry, reduction in ((made.throttling.tier, 0.3), (u.entries[-1], 0.2), (u.entries[1], 0.1)):
        entry.reduction, entry.valid_until = reduction, T + S
    assert made.throttling.governing_entry(u.entries, 1, T) is u.entries[1]
    assert made.throttling.governing_entry(u.entries, 0, T) is u.entries[-1]
    assert made.throttling.governing_entry(made.selection.endpoints[1].entries, 0, T) is made.throttling.tier
    assert made.throttling.tier.valid_reduction(T) == 0.3
    assert made.throttling.governing_entry(u.entries, 1, T + S) is made.throttling.tier
    assert made.throttling.tier.valid_reduction(T + S) == 0.0


def test_reduced_share_goes_to_an_endpoint_known_to_hold_no_reduction():
    made, port = make_balancer(endpoints=3)
    for u, reduction in zip(made.selection.endpoints.values(), (1.0, 1.0, 0.0), strict=True):
        u.entries[-1].reduction, u.entries[-1].valid_until = reduction, T + S
    for request_id in range(6):
        admit(made, 0, request_id=request_id).attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert {note[2] for note in port.of("send")} == {2}
    made.selection.endpoints[2].entries[-1].valid_until = 0  # not heard yet: counts at the others' mean
    assert made.selection.choose(admit(made, 2), T, unthrottled=True) is None


def test_same_zone_reduction_adds_up_and_eases_by_half_at_most():
    entry, shares = ThrottleEntry(), []
    for now, bad in enumerate((5, 5, 2, -1, -5), 1):
        entry.sampled, entry.failed = 5, bad
        entry.close_window(now * S, 5, 10 * S, 10 * S, accumulates=True)
        shares.append(round(entry.reduction, 2))
    assert shares == [0.5, 1.0, 1.0, 0.9, 0.45]


def test_entries_stay_valid_for_as_long_as_the_floor_takes():
    made, _ = make_balancer()
    span, made.slow_start.sent = made.throttling.validity, 1
    made.close_windows(T + S)
    assert made.throttling.validity >= MIN_TIER_SAMPLES * made.throttling.window > span


def balancer_with_failing_class(others):
    """One class_index fails at every endpoint, the others as told."""
    made, port = make_balancer(can_health_check=False)
    made.concurrency.limit = 1e9
    for n in range(2 * MIN_TIER_SAMPLES):
        admit(made, n % 2, request_id=n).attempt_finished(
            T, 0, (Outcome.TIMED_OUT, others)[n % 2], S, n % 2 > 0
        )
    made.close_windows(T + S)
    for u in made.selection.ready:
        u.is_ejected = False
    made.selection.select()
    port.clear()
    return made, port


def test_class_that_fails_everywhere_is_rejected_by_its_reduction_and_ejects_no_endpoint():
    made, port = balancer_with_failing_class(Outcome.SUCCEEDED)
    assert made.throttling.class_outliers == [True, False, False]
    made.concurrency.limit, made.concurrency.in_flight = 10.0, 0
    assert not admit(made, 0, now=T + S).is_finished  # there are places enough
    made.concurrency.in_flight, stretch, bad = (
        6,
        made.concurrency.latency_ratio,
        [u.entries[-1].failed for u in made.selection.ready],
    )
    port.clear()
    assert admit(made, 0, now=T + S).is_finished
    assert port[-1][0] == "reject"
    assert not port.of("send")
    made.throttling.classes[0].reduction, made.concurrency.mean_latency = 1 - OUTLIER_REDUCTION, MS
    while not port.of("send"):
        request = admit(made, 0, now=T + S)
    u = request.attempts[0].endpoint
    u.silent_since, made.outliers.last_answer_at = T, T + S
    made.timer_fired(T + 2 * S - 1, 0)
    assert not u.is_ejected  # silent, but nothing else is out there
    request.attempt_finished(T + 2 * S, 0, Outcome.TIMED_OUT, S, False)
    assert made.concurrency.latency_ratio == stretch
    assert [u.entries[-1].failed for u in made.selection.ready] == bad
    made.throttling.classes[0].valid_until = 0  # lapsed: tried again
    port.clear()
    assert not admit(made, 0, now=T + 3 * S).is_finished


def test_where_all_classes_fail_none_is_an_outlier():
    assert balancer_with_failing_class(Outcome.TIMED_OUT)[0].throttling.class_outliers == [False] * 3


def test_min_tier_samples_is_halved_after_a_validity():
    made, _ = make_balancer()
    span = made.throttling.min_validity
    assert [made.throttling.min_tier_samples(elapsed) for elapsed in (0, span - 1, span)] == [20, 20, 10]


def test_find_class_outliers_needs_another_class_that_is_clean():
    made, _ = make_balancer()
    classes = made.throttling.classes
    for other, valid_until, outlier in ((0.0, T + 1, True), (0.0, T, False), (0.2, T + 1, False)):
        classes[0].reduction, classes[0].valid_until = 1 - OUTLIER_REDUCTION, T + 1
        classes[1].reduction, classes[1].valid_until = other, valid_until
        assert made.throttling.find_class_outliers(T) == [outlier, False, False]
