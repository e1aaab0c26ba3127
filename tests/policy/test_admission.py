"""Admission: quotas, priorities, key queues and reductions."""

from dataclasses import replace

from fake_port import IDEMPOTENT, MS, S, admit, make_balancer

from dahliabend.policy.admission import class_priorities

NOW = 100 * S


def test_tenant_beyond_its_quota_loses_priority():
    balancer, _ = make_balancer(tenant_quotas=(2.0, 2.0))
    priorities = [admit(balancer, 0, request_id=n).priority for n in range(4)]
    assert priorities[0] == 1
    assert priorities[-1] == balancer.settings.over_quota_weight


def test_tier_reduction_decides_where_all_endpoints_hold_reductions():
    for is_overloaded, tier_reduction, expects_send in (
        (False, 0.0, True),
        (True, 0.0, True),
        (False, 1.0, False),
    ):
        balancer, port = make_balancer()
        balancer.concurrency.is_overloaded = is_overloaded
        balancer.throttling.tier.reduction = tier_reduction
        balancer.throttling.tier.valid_until = NOW + S
        for endpoint in balancer.selection.ready:
            endpoint.entries[-1].reduction = 1.0
            endpoint.entries[-1].valid_until = NOW + S
        admit(balancer, 2)
        assert bool(port.calls_to("send")) is expects_send


def test_tier_reduction_rejects_requests_at_the_entry_tier_only():
    for tier in (0, 1):
        balancer, port = make_balancer(tier=tier)
        balancer.throttling.tier.reduction = 1.0
        balancer.throttling.tier.valid_until = NOW + S
        admit(balancer, 0)
        assert bool(port.calls_to("send")) == bool(tier)


def test_quota_is_a_token_bucket_that_holds_one_window():
    balancer, _ = make_balancer(tenant_quotas=(4.0,), instance_count=2)  # 2 per second for this balancer
    balancer.throttling.window = S
    balancer.admission.tokens = [(2.0, NOW)]
    assert [balancer.admission.is_within_quota(0, NOW) for _ in range(3)] == [True, True, False]
    assert not balancer.admission.is_within_quota(0, NOW + 499 * MS)
    assert balancer.admission.is_within_quota(0, NOW + 500 * MS)
    assert balancer.admission.is_within_quota(0, NOW + 900 * S)
    assert balancer.admission.is_within_quota(0, NOW + 900 * S)
    assert not balancer.admission.is_within_quota(0, NOW + 900 * S)  # the bucket holds one window


def test_admits_counts_new_requests_and_rejects_at_the_entry_tier_only():
    for tier, is_admitted in ((0, False), (1, True)):
        balancer, _ = make_balancer(tier=tier)
        balancer.concurrency.limit = 4.0
        balancer.concurrency.in_flight = 400
        assert admit(balancer, 0, is_client_retry=True).is_answered is not is_admitted
        assert admit(balancer, 0, request_id=2).is_answered is not is_admitted
        assert balancer.admission.take_new_requests() == 1
        assert balancer.admission.take_new_requests() == 0


def test_may_queue_only_with_time_left_and_without_a_pending_body():
    balancer, _ = make_balancer()
    request = admit(balancer, 0)
    min_time = balancer.deadlines.min_time_to_send(0)
    assert balancer.admission.may_queue(request, NOW, 5 * S - min_time - 1)
    assert not balancer.admission.may_queue(request, NOW, 5 * S - min_time)
    request.body_pending = True
    assert not balancer.admission.may_queue(request, NOW, 0)


def test_class_priorities_depend_less_on_weights_the_more_the_worst_class_counts():
    light, heavy = replace(IDEMPOTENT, priority_weight=1.0), replace(IDEMPOTENT, priority_weight=4.0)
    for worst_class_weight, lowest_priority in ((0.0, 0.25), (1.0, 0.625)):
        balancer, _ = make_balancer(request_classes=(light, heavy), worst_class_weight=worst_class_weight)
        assert class_priorities(balancer.settings) == [lowest_priority, 1.0]
