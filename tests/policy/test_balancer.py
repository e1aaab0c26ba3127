"""Events of the balancer, and the snapshot that one policy hands over to the next."""

import pytest
from fake_port import DEDUPLICATED, IDEMPOTENT, MS, NON_IDEMPOTENT, S, admit, make_balancer
from msgspec import convert, to_builtins

from dahliabend.model import Outcome, Snapshot

NOW = 100 * S


def test_nothing_is_sent_after_the_client_disconnected():
    balancer, port = make_balancer()
    request = admit(balancer, 0)
    request.client_disconnected(NOW)
    assert port[-1] == ("cancel", 1, 0)
    assert not request.is_finished
    request.attempt_finished(NOW, 0, Outcome.CANCELLED, 0, True)
    assert request.is_finished
    assert len(port.calls_to("send")) == 1


def test_endpoint_list_is_polled_at_start_and_again_after_a_failure():
    balancer, port = make_balancer(polls_endpoints=True)
    assert len(port.calls_to("poll_endpoints")) == 1
    balancer.endpoint_poll_failed(NOW)
    _, at, token = port[-1]
    assert NOW < at <= NOW + 10 * S // 8
    balancer.timer_fired(at, token)
    assert len(port.calls_to("poll_endpoints")) == 2


def test_restore_under_other_settings_keeps_endpoint_state_and_resets_the_limit():
    old, _ = make_balancer(endpoints=4, request_classes=(IDEMPOTENT, NON_IDEMPOTENT), can_health_check=False)
    old.deadlines.mean_latencies[:] = [7 * MS, 9 * MS]
    old.concurrency.limit = 99.0
    old.retries.budget = 5.0
    old.outliers.fatal_idle_time = S
    old.selection.endpoints[0].relative_latency = 3.0
    old.selection.endpoints[2].started_at = NOW - S
    old.selection.endpoints[2].relative_latency = 3.0
    old.outliers.eject(old.selection.endpoints[1], NOW)
    balancer, port = make_balancer(
        endpoints=4,
        instance_count=90,
        request_classes=(NON_IDEMPOTENT, DEDUPLICATED, IDEMPOTENT),
        can_health_check=False,
    )
    assert balancer.restore(old.snapshot(is_final=True), [(0, 1), (2, 0)]) == 3
    assert balancer.deadlines.mean_latencies == [9 * MS, 0, 7 * MS]
    assert balancer.outliers.fatal_idle_time == S
    assert balancer.selection.endpoints[0].relative_latency == 3
    assert balancer.selection.endpoints[2].relative_latency == 1
    assert balancer.concurrency.limit != 99
    assert balancer.retries.budget == 1
    balancer.selection.subset_size = 4
    balancer.selection.select()
    for request_id in range(9):
        admit(balancer, 0, request_id=request_id).client_disconnected(NOW)
    assert 1 not in {call[2] for call in port.calls_to("send")}  # its ejection was handed over
    assert balancer.selection.endpoints[1].consecutive_failures == 1


def test_same_seed_gives_the_same_actions():
    action_lists = []
    for _ in range(2):
        balancer, port = make_balancer()
        balancer.throttling.tier.reduction = 0.5
        balancer.throttling.tier.valid_until = NOW + S
        for request_id in range(30):
            admit(balancer, 2, request_id=request_id)
        action_lists.append(list(port))
    assert action_lists[0] == action_lists[1]


def test_snapshot_keeps_its_stored_keys_and_malformed_ones_are_rejected():
    balancer, _ = make_balancer(endpoints=2)
    stored = to_builtins(balancer.snapshot(is_final=False))
    assert list(stored) == ["shape", "usual", "gap", "upstreams", "crowd"]
    assert [len(values) for values in stored["upstreams"].values()] == [10, 10]
    assert len(stored["crowd"]) == 8
    assert to_builtins(convert(stored, Snapshot)) == stored
    for key, value in (("crowd", stored["crowd"][:-1]), ("crowd", [*stored["crowd"], 0]), ("shape", None)):
        with pytest.raises(ValueError, match="Expected"):
            convert({**stored, key: value}, Snapshot)
