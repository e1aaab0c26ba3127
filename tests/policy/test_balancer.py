"""Events, deadlines, and what one balancer hands over to the next."""

from fake_port import DEDUPLICATED, IDEMPOTENT, MS, NON_IDEMPOTENT, S, admit, make_balancer

from dahliabend.model import Outcome

T = 100 * S


def test_request_past_its_deadline_is_rejected_at_once():
    made, port = make_balancer()
    request = made.admit(T, 1, 0, 0, T)
    assert request.is_finished
    assert port[-1][0] == "reject"
    assert not port.of("send")


def test_no_attempt_outlasts_the_deadline_and_the_last_timeout_is_answered():
    made, port = make_balancer()
    request = admit(made, 2)
    assert port[-1][3] == 5 * S
    request.attempt_finished(T + 5 * S, 0, Outcome.TIMED_OUT, 5 * S, False)
    assert request.is_finished
    assert port[-1] == ("fail", 1)


def test_without_endpoints_requests_are_rejected_with_retry_after():
    made, port = make_balancer(endpoints=0)
    assert admit(made, 0).is_finished
    assert port[-1] == ("reject", 1, S // 2)


def test_nothing_is_sent_after_the_client_disconnected():
    made, port = make_balancer()
    request = admit(made, 0)
    request.client_disconnected(T)
    assert port[-1] == ("cancel", 1, 0)
    assert not request.is_finished
    request.attempt_finished(T, 0, Outcome.CANCELLED, 0, True)
    assert request.is_finished
    assert len(port.of("send")) == 1


def test_endpoint_list_is_polled_at_start_and_again_after_a_failure():
    made, port = make_balancer(polls_endpoints=True)
    assert len(port.of("poll_endpoints")) == 1
    made.endpoint_poll_failed(T)
    _, at, token = port[-1]
    assert T < at <= T + 10 * S // 8
    made.timer_fired(at, token)
    assert len(port.of("poll_endpoints")) == 2


def test_other_settings_keep_what_is_known_of_endpoints_and_start_the_rest_anew():
    old, _ = make_balancer(endpoints=4, request_classes=(IDEMPOTENT, NON_IDEMPOTENT), can_health_check=False)
    (
        old.deadlines.mean_latencies[:],
        old.concurrency.limit,
        old.retries.budget,
        old.outliers.fatal_idle_time,
    ) = (
        [7 * MS, 9 * MS],
        99.0,
        5.0,
        S,
    )
    (
        old.selection.endpoints[0].relative_latency,
        old.selection.endpoints[2].started_at,
        old.selection.endpoints[2].relative_latency,
    ) = 3.0, T - S, 3.0
    old.outliers.eject(old.selection.endpoints[1], T)
    made, port = make_balancer(
        endpoints=4,
        instance_count=90,
        request_classes=(NON_IDEMPOTENT, DEDUPLICATED, IDEMPOTENT),
        can_health_check=False,
    )
    assert made.restore(old.snapshot(ends=True), [(0, 1), (2, 0)]) == 3
    assert made.deadlines.mean_latencies == [9 * MS, 0, 7 * MS]
    assert made.outliers.fatal_idle_time == S
    assert made.selection.endpoints[0].relative_latency == 3
    assert made.selection.endpoints[2].relative_latency == 1
    assert made.concurrency.limit != 99
    assert made.retries.budget == 1
    made.selection.subset_size = 4
    made.selection.select()
    for ref in range(9):
        admit(made, 0, ref=ref).client_disconnected(T)
    assert 1 not in {note[2] for note in port.of("send")}  # set aside before, no rush now
    assert made.selection.endpoints[1].consecutive_failures == 1


def test_cold_endpoint_has_one_budget_through_a_change_of_settings():
    old, _before = make_balancer(endpoints=1, born=T, instance_count=1, can_health_check=False)
    made, port = make_balancer(endpoints=1, born=T, instance_count=1, can_health_check=False)
    old.selection.endpoints[0].slow_start_budget = made.selection.endpoints[0].slow_start_budget = 1.0
    made.restore(old.snapshot(ends=True), [])
    for ref in range(5):
        assert old.slow_start.warm_share(old.selection.endpoints[0], T + S, 1) == 0
        admit(made, 0, ref=ref)
    assert len(port.of("send")) == 1


def test_same_seed_gives_the_same_actions():
    logs = []
    for _ in range(2):
        made, port = make_balancer()
        made.throttling.tier.reduction, made.throttling.tier.valid_until = 0.5, T + S
        for ref in range(30):
            admit(made, 2, ref=ref)
        logs.append(list(port))
    assert logs[0] == logs[1]


def test_successor_process_takes_half_of_the_slow_start_budget_and_the_limit():
    old, _ = make_balancer(endpoints=1, born=T)
    made, _ = make_balancer(endpoints=1, born=T)
    old.selection.endpoints[0].slow_start_budget, old.concurrency.limit = 1.0, 99.0
    made.restore(old.snapshot(ends=False), [(0, 0)])
    assert old.selection.endpoints[0].slow_start_budget + made.selection.endpoints[0].slow_start_budget == 1
    assert made.concurrency.limit == 99
