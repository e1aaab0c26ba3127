"""The adaptive concurrency limit, and quotas of tenants."""

from fake_port import IDEMPOTENT, S, admit, make_balancer

from dahliabend.model import DeduplicationScope, Idempotency, RequestClass
from dahliabend.policy.throttling import MIN_TIER_SAMPLES

T = 100 * S


def test_concurrency_is_limited_from_the_start_and_high_priority_is_rejected_last():
    worth = RequestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 2 * S, 5 * S, 10.0, 0.5)
    made, _ = make_balancer(request_classes=(IDEMPOTENT, worth), instance_count=1)
    made.concurrency.in_flight = round(made.concurrency.limit) - 1
    assert admit(made, 0).is_finished
    assert not admit(made, 1).is_finished
    assert admit(made, 1).is_finished


def test_limit_falls_with_latency_but_not_below_its_minimum():
    made, _ = make_balancer(endpoints=10)
    made.concurrency.min_latency_ratio, made.concurrency.latency_ratio, made.concurrency.in_flight = (
        0.2,
        0.8,
        40,
    )
    made.concurrency.adjust(T, len(made.selection.ready) / made.selection.instance_count)
    assert made.concurrency.is_overloaded
    assert made.concurrency.limit == 20
    made.concurrency.in_flight = 4
    made.concurrency.adjust(T, len(made.selection.ready) / made.selection.instance_count)
    assert made.concurrency.limit == 20


def test_limit_grows_faster_in_the_first_validity():
    for ticks, grown in ((1, 15.0), (99, 12.5)):
        made, _ = make_balancer(instance_count=2, endpoints=4)
        (
            made.concurrency.ticks,
            made.concurrency.latency_ratio,
            made.concurrency.min_latency_ratio,
            made.concurrency.has_rejected,
        ) = ticks, 0.1, 0.1, True
        made.concurrency.adjust(T, len(made.selection.ready) / made.selection.instance_count)
        assert made.concurrency.limit == grown


def test_one_of_many_balancers_may_exceed_the_limit_by_chance_while_its_mean_is_below():
    for balancers, mean, over in ((1, 1.0, True), (9, 1.0, False), (9, 9.0, True)):
        made, _ = make_balancer(instance_count=balancers)
        made.concurrency.limit, made.concurrency.mean_in_flight, made.concurrency.in_flight = 4.0, mean, 4
        assert admit(made, 0).is_finished == over


def test_limit_is_adjusted_with_half_the_floor_after_a_validity_but_not_first():
    made, _ = make_balancer()
    made.concurrency.succeeded, made.concurrency.latency_ratio = MIN_TIER_SAMPLES // 2, 0.9
    made.timer_fired(T + S, 0)
    assert not made.concurrency.adjusted_at
    made.concurrency.adjusted_at = T
    made.timer_fired(T + made.throttling.min_validity - 1, 0)
    assert made.concurrency.adjusted_at == T
    made.timer_fired(T + made.throttling.min_validity, 0)
    assert made.concurrency.adjusted_at > T


def test_attempts_in_flight_elsewhere_count_against_the_limit():
    made, port = make_balancer(endpoints=1, instance_count=1)
    made.concurrency.limit, made.concurrency.in_flight_elsewhere = 8.0, 8
    assert admit(made, 0).is_answered
    assert not port.of("send")
    made.concurrency.in_flight_elsewhere = 0
    assert not admit(made, 0, request_id=2).is_answered


def test_latency_target_is_bound_to_the_lowest_latency_seen():
    made, _ = make_balancer()
    for lowest, target in ((0.03, 0.09), (0.2, 1 / 3), (0.6, 0.8)):
        made.concurrency.min_latency_ratio = lowest
        assert abs(made.concurrency.latency_target() - target) < 1e-9


def test_is_adjustment_due_with_enough_successes_and_two_latencies_later():
    made, _ = make_balancer()
    made.concurrency.adjusted_at, made.concurrency.succeeded = T, MIN_TIER_SAMPLES
    pause = made.throttling.window // 2
    assert not made.concurrency.is_adjustment_due(T + pause - 1)
    assert made.concurrency.is_adjustment_due(T + pause)
    made.concurrency.mean_latency = pause
    assert not made.concurrency.is_adjustment_due(T + 2 * pause - 1)
    assert made.concurrency.is_adjustment_due(T + 2 * pause)
    made.concurrency.succeeded = MIN_TIER_SAMPLES - 1
    assert not made.concurrency.is_adjustment_due(T + 2 * pause)


def test_is_nearly_full_at_the_share_open_to_all():
    made, _ = make_balancer()
    made.concurrency.limit = 10.0
    for in_flight, full in ((5, False), (6, True)):
        made.concurrency.in_flight = in_flight
        assert made.concurrency.is_nearly_full() is full
