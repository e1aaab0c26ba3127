"""The adaptive concurrency limit."""

from fake_port import IDEMPOTENT, S, admit, make_balancer

from dahliabend.model import DeduplicationScope, Idempotency, RequestClass
from dahliabend.policy.throttling import MIN_TIER_SAMPLES

NOW = 100 * S


def test_concurrency_is_limited_from_the_start_and_high_priority_is_rejected_last():
    valuable_class = RequestClass(
        Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 2 * S, 5 * S, 10.0, 0.5
    )
    balancer, _ = make_balancer(request_classes=(IDEMPOTENT, valuable_class), instance_count=1)
    balancer.concurrency.in_flight = round(balancer.concurrency.limit) - 1
    assert admit(balancer, 0).is_finished
    assert not admit(balancer, 1).is_finished
    assert admit(balancer, 1).is_finished


def test_limit_falls_with_latency_but_not_below_its_minimum():
    balancer, _ = make_balancer(endpoints=10)
    balancer.concurrency.min_latency_ratio = 0.2
    balancer.concurrency.latency_ratio = 0.8
    balancer.concurrency.in_flight = 40
    balancer.concurrency.adjust(NOW, len(balancer.selection.ready) / balancer.selection.instance_count)
    assert balancer.concurrency.is_overloaded
    assert balancer.concurrency.limit == 20
    balancer.concurrency.in_flight = 4
    balancer.concurrency.adjust(NOW, len(balancer.selection.ready) / balancer.selection.instance_count)
    assert balancer.concurrency.limit == 20


def test_limit_grows_faster_in_the_first_validity():
    for ticks, expected_limit in ((1, 15.0), (99, 12.5)):
        balancer, _ = make_balancer(instance_count=2, endpoints=4)
        balancer.concurrency.ticks = ticks
        balancer.concurrency.latency_ratio = 0.1
        balancer.concurrency.min_latency_ratio = 0.1
        balancer.concurrency.was_limit_reached = True
        balancer.concurrency.adjust(NOW, len(balancer.selection.ready) / balancer.selection.instance_count)
        assert balancer.concurrency.limit == expected_limit


def test_one_of_many_balancers_may_exceed_the_limit_by_chance_while_its_mean_is_below():
    for balancers, mean_in_flight, is_rejected in ((1, 1.0, True), (9, 1.0, False), (9, 9.0, True)):
        balancer, _ = make_balancer(instance_count=balancers)
        balancer.concurrency.limit = 4.0
        balancer.concurrency.mean_in_flight = mean_in_flight
        balancer.concurrency.in_flight = 4
        assert admit(balancer, 0).is_finished == is_rejected


def test_limit_is_adjusted_with_half_the_samples_after_a_validity_but_not_initially():
    balancer, _ = make_balancer()
    balancer.concurrency.succeeded = MIN_TIER_SAMPLES // 2
    balancer.concurrency.latency_ratio = 0.9
    balancer.timer_fired(NOW + S, 0)
    assert not balancer.concurrency.adjusted_at
    balancer.concurrency.adjusted_at = NOW
    balancer.timer_fired(NOW + balancer.throttling.min_validity - 1, 0)
    assert balancer.concurrency.adjusted_at == NOW
    balancer.timer_fired(NOW + balancer.throttling.min_validity, 0)
    assert balancer.concurrency.adjusted_at > NOW


def test_attempts_in_flight_in_other_processes_count_against_the_limit():
    balancer, port = make_balancer(endpoints=1, instance_count=1)
    balancer.concurrency.limit = 8.0
    balancer.concurrency.in_flight_in_other_processes = 8
    assert admit(balancer, 0).is_answered
    assert not port.calls_to("send")
    balancer.concurrency.in_flight_in_other_processes = 0
    assert not admit(balancer, 0, request_id=2).is_answered


def test_latency_target_depends_on_the_lowest_latency_observed():
    balancer, _ = make_balancer()
    for min_latency_ratio, target in ((0.03, 0.09), (0.2, 1 / 3), (0.6, 0.8)):
        balancer.concurrency.min_latency_ratio = min_latency_ratio
        assert abs(balancer.concurrency.latency_target() - target) < 1e-9


def test_adjustment_is_due_with_enough_successes_after_two_latencies():
    balancer, _ = make_balancer()
    balancer.concurrency.adjusted_at = NOW
    balancer.concurrency.succeeded = MIN_TIER_SAMPLES
    min_interval = balancer.throttling.window // 2
    assert not balancer.concurrency.is_adjustment_due(NOW + min_interval - 1)
    assert balancer.concurrency.is_adjustment_due(NOW + min_interval)
    balancer.concurrency.mean_latency = min_interval
    assert not balancer.concurrency.is_adjustment_due(NOW + 2 * min_interval - 1)
    assert balancer.concurrency.is_adjustment_due(NOW + 2 * min_interval)
    balancer.concurrency.succeeded = MIN_TIER_SAMPLES - 1
    assert not balancer.concurrency.is_adjustment_due(NOW + 2 * min_interval)


def test_limit_is_nearly_full_at_the_share_open_to_all_priorities():
    balancer, _ = make_balancer()
    balancer.concurrency.limit = 10.0
    for in_flight, is_full in ((5, False), (6, True)):
        balancer.concurrency.in_flight = in_flight
        assert balancer.concurrency.is_all_priorities_share_full() is is_full
