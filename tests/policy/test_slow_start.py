"""What warming endpoints may get, and the rate by which their budgets are filled."""

import pytest
from fake_port import MS, S, admit, make_balancer

from dahliabend.model import EndpointState, Outcome

T = 100 * S


def test_cold_endpoint_has_one_budget_through_a_change_of_settings():
    old, _before = make_balancer(endpoints=1, born=T, instance_count=1, can_health_check=False)
    made, port = make_balancer(endpoints=1, born=T, instance_count=1, can_health_check=False)
    old.selection.endpoints[0].slow_start_budget = made.selection.endpoints[0].slow_start_budget = 1.0
    made.restore(old.snapshot(ends=True), [])
    for request_id in range(5):
        assert old.slow_start.warm_share(old.selection.endpoints[0], T + S, 1) == 0
        admit(made, 0, request_id=request_id)
    assert len(port.of("send")) == 1


def test_successor_process_takes_half_of_the_slow_start_budget_and_the_limit():
    old, _ = make_balancer(endpoints=1, born=T)
    made, _ = make_balancer(endpoints=1, born=T)
    old.selection.endpoints[0].slow_start_budget, old.concurrency.limit = 1.0, 99.0
    made.restore(old.snapshot(ends=False), [(0, 0)])
    assert old.selection.endpoints[0].slow_start_budget + made.selection.endpoints[0].slow_start_budget == 1
    assert made.concurrency.limit == 99


def test_cold_endpoints_get_no_more_than_their_slow_start_budget():
    made, port = make_balancer(endpoints=4, born=0)
    made.update_endpoints(T, [(3, EndpointState.READY, T, 1.0, 1, 1, b"")], full=False)
    made.slow_start.send_rate, made.concurrency.limit = 400 / S, 1e9  # a hundred a second and endpoint
    for step in range(4000):
        now = T + step * S // 4000
        admit(made, 0, now=now, request_id=step).attempt_finished(now, 0, Outcome.SUCCEEDED, MS, True)
    sent = sum(note[2] == 3 for note in port.of("send"))
    assert 10 < sent <= 100 * 0.2 * 1.5 * 1.5  # its share of half the multiple, a little risen


def test_with_all_endpoints_cold_new_requests_set_the_send_rate():
    made, port = make_balancer(endpoints=2, born=T)
    assert admit(made, 0).is_finished  # nothing is known yet
    made.admission.new_requests = 100
    made.close_windows(T + S)
    admit(made, 0, now=T + S)
    admit(made, 0, now=T + 2 * S)
    assert port.of("send")


def test_ejected_cold_endpoint_is_tried_within_its_slow_start_budget():
    for budget, tried in ((0.5, 1), (1.0, 0)):
        made, port = make_balancer(endpoints=2, can_health_check=False)
        made.deadlines.mean_latencies[0], cold = 10 * MS, made.selection.endpoints[0]
        (
            cold.is_ejected,
            cold.started_at,
            cold.slow_start_budget,
            cold.budget_filled_at,
            made.outliers.awaiting_trial,
        ) = True, T - S, budget, T, {cold: None}
        admit(made, 0)
        assert port.of("send")[0][2] == tried


def test_warm_share_rises_with_age_and_is_nothing_without_budget():
    made, _ = make_balancer(endpoints=1, born=T)
    endpoint = made.selection.endpoints[0]
    for age, share in ((0, 0.2), (5 * S, 0.6), (10 * S, 1.0)):
        endpoint.slow_start_budget = 1.0
        assert made.slow_start.warm_share(endpoint, T + age, 1) == pytest.approx(share)
    endpoint.slow_start_budget = 0.9
    assert made.slow_start.warm_share(endpoint, T + S, 1) == 0
    assert made.slow_start.warm_share(endpoint, T + 10 * S, 1) == 1
    endpoint.started_at = 0  # the list does not tell
    assert made.slow_start.warm_share(endpoint, T, 1) == 1


def test_close_window_takes_a_quarter_of_the_newest_rate():
    made, _ = make_balancer()
    slow_start = made.slow_start
    for sent, rate in ((8, 8), (4, 7), (0, 5.25)):
        slow_start.sent = sent
        slow_start.close_window(new_requests=99, has_warm_endpoint=True)
        assert slow_start.send_rate * slow_start.window == pytest.approx(rate)
        assert slow_start.sent == 0
