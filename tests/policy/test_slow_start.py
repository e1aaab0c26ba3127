"""Slow start: the budgets of recently started endpoints, and the send rate that fills them."""

import pytest
from fake_port import MS, S, admit, make_balancer

from dahliabend.model import EndpointState, Outcome

NOW = 100 * S


def test_endpoint_in_slow_start_has_one_budget_across_a_change_of_settings():
    old, _ = make_balancer(endpoints=1, process_started_at=NOW, instance_count=1, can_health_check=False)
    balancer, port = make_balancer(
        endpoints=1, process_started_at=NOW, instance_count=1, can_health_check=False
    )
    old.selection.endpoints[0].slow_start_budget = balancer.selection.endpoints[0].slow_start_budget = 1.0
    balancer.restore(old.snapshot(is_final=True), [])
    for request_id in range(5):
        assert old.slow_start.slow_start_share(old.selection.endpoints[0], NOW + S, 1) == 0
        admit(balancer, 0, request_id=request_id)
    assert len(port.calls_to("send")) == 1


def test_successor_process_takes_half_of_the_slow_start_budget_and_the_limit():
    old, _ = make_balancer(endpoints=1, process_started_at=NOW)
    balancer, _ = make_balancer(endpoints=1, process_started_at=NOW)
    old.selection.endpoints[0].slow_start_budget = 1.0
    old.concurrency.limit = 99.0
    balancer.restore(old.snapshot(is_final=False), [(0, 0)])
    assert (
        old.selection.endpoints[0].slow_start_budget + balancer.selection.endpoints[0].slow_start_budget == 1
    )
    assert balancer.concurrency.limit == 99


def test_endpoints_in_slow_start_get_no_more_than_their_slow_start_budget():
    balancer, port = make_balancer(endpoints=4, process_started_at=0)
    balancer.update_endpoints(NOW, [(3, EndpointState.READY, NOW, 1.0, 1, 1, b"")], full=False)
    balancer.slow_start.send_rate = 400 / S  # 100 per second and endpoint
    balancer.concurrency.limit = 1e9
    for step in range(4000):
        now = NOW + step * S // 4000
        admit(balancer, 0, now=now, request_id=step).attempt_finished(now, 0, Outcome.SUCCEEDED, MS, True)
    sent = sum(call[2] == 3 for call in port.calls_to("send"))
    # Rate, initial capacity, half the multiple, and 1.5 as the share rises a little during the test.
    assert 10 < sent <= 100 * 0.2 * 1.5 * 1.5


def test_new_requests_set_the_send_rate_while_all_endpoints_are_in_slow_start():
    balancer, port = make_balancer(endpoints=2, process_started_at=NOW)
    assert admit(balancer, 0).is_finished  # no send rate yet
    balancer.admission.new_requests = 100
    balancer.close_windows(NOW + S)
    admit(balancer, 0, now=NOW + S)
    admit(balancer, 0, now=NOW + 2 * S)
    assert port.calls_to("send")


def test_ejected_endpoint_in_slow_start_gets_a_trial_within_its_budget():
    for budget, tried in ((0.5, 1), (1.0, 0)):
        balancer, port = make_balancer(endpoints=2, can_health_check=False)
        balancer.deadlines.mean_latencies[0] = 10 * MS
        starting = balancer.selection.endpoints[0]
        starting.is_ejected = True
        starting.started_at = NOW - S
        starting.slow_start_budget = budget
        starting.budget_filled_at = NOW
        balancer.outliers.awaiting_trial = {starting: None}
        admit(balancer, 0)
        assert port.calls_to("send")[0][2] == tried


def test_slow_start_share_rises_with_age_and_is_zero_without_budget():
    balancer, _ = make_balancer(endpoints=1, process_started_at=NOW)
    endpoint = balancer.selection.endpoints[0]
    for age, share in ((0, 0.2), (5 * S, 0.6), (10 * S, 1.0)):
        endpoint.slow_start_budget = 1.0
        assert balancer.slow_start.slow_start_share(endpoint, NOW + age, 1) == pytest.approx(share)
    endpoint.slow_start_budget = 0.9
    assert balancer.slow_start.slow_start_share(endpoint, NOW + S, 1) == 0
    assert balancer.slow_start.slow_start_share(endpoint, NOW + 10 * S, 1) == 1
    endpoint.started_at = 0  # unknown start
    assert balancer.slow_start.slow_start_share(endpoint, NOW, 1) == 1


def test_close_window_weights_the_newest_rate_by_a_quarter():
    balancer, _ = make_balancer()
    slow_start = balancer.slow_start
    for sent, rate in ((8, 8), (4, 7), (0, 5.25)):
        slow_start.sent = sent
        slow_start.close_window(new_requests=99, has_endpoint_past_slow_start=True)
        assert slow_start.send_rate * slow_start.window == pytest.approx(rate)
        assert slow_start.sent == 0
