"""Quotas, priorities, and the reductions under which a request is admitted."""

from dataclasses import replace

from fake_port import IDEMPOTENT, MS, S, admit, make_balancer

from dahliabend.policy.admission import class_priorities

T = 100 * S


def test_tenant_beyond_its_quota_loses_priority():
    made, _ = make_balancer(tenant_quotas=(2.0, 2.0))
    values = [admit(made, 0, request_id=n).priority for n in range(4)]
    assert values[0] == 1
    assert values[-1] == made.settings.over_quota_weight


def test_where_all_endpoints_hold_reductions_the_tiers_reduction_governs():
    for pressed, share, sent in ((False, 0.0, True), (True, 0.0, True), (False, 1.0, False)):
        made, port = make_balancer()
        made.concurrency.is_overloaded, made.throttling.tier.reduction, made.throttling.tier.valid_until = (
            pressed,
            share,
            T + S,
        )
        for u in made.selection.ready:
            u.entries[-1].reduction, u.entries[-1].valid_until = 1.0, T + S
        admit(made, 2)
        assert bool(port.of("send")) is sent


def test_tier_reduction_is_rejected_at_the_entry_tier_only():
    for tier in (0, 1):
        made, port = make_balancer(tier=tier)
        made.throttling.tier.reduction, made.throttling.tier.valid_until = 1.0, T + S
        admit(made, 0)
        assert bool(port.of("send")) == bool(tier)


def test_is_within_quota_by_a_bucket_of_one_window_that_fills_again():
    made, _ = make_balancer(tenant_quotas=(4.0,), instance_count=2)  # 2 a second here
    made.throttling.window = S
    made.admission.tokens = [(2.0, T)]
    assert [made.admission.is_within_quota(0, T) for _ in range(3)] == [True, True, False]
    assert not made.admission.is_within_quota(0, T + 499 * MS)
    assert made.admission.is_within_quota(0, T + 500 * MS)
    assert made.admission.is_within_quota(0, T + 900 * S)
    assert made.admission.is_within_quota(0, T + 900 * S)
    assert not made.admission.is_within_quota(0, T + 900 * S)  # what is saved up is a window's


def test_admits_counts_new_requests_and_leaves_the_tiers_behind_alone():
    for tier, admitted in ((0, False), (1, True)):
        made, _ = make_balancer(tier=tier)
        made.concurrency.limit, made.concurrency.in_flight = 4.0, 400
        assert admit(made, 0, repeat=True).is_answered is not admitted
        assert admit(made, 0, request_id=2).is_answered is not admitted
        assert made.admission.take_new_requests() == 1
        assert made.admission.take_new_requests() == 0


def test_may_queue_only_with_time_left_and_without_a_pending_body():
    made, _ = make_balancer()
    request = admit(made, 0)
    least = made.deadlines.min_time_to_send(0)
    assert made.admission.may_queue(request, T, 5 * S - least - 1)
    assert not made.admission.may_queue(request, T, 5 * S - least)
    request.body_pending = True
    assert not made.admission.may_queue(request, T, 0)


def test_class_priorities_follow_weights_the_less_the_more_the_worst_class_counts():
    light, heavy = replace(IDEMPOTENT, priority_weight=1.0), replace(IDEMPOTENT, priority_weight=4.0)
    for worst, lowest in ((0.0, 0.25), (1.0, 0.625)):
        made, _ = make_balancer(request_classes=(light, heavy), worst_class_weight=worst)
        assert class_priorities(made.settings) == [lowest, 1.0]
