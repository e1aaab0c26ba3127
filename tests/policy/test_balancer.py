"""Events, deadlines, and what one balancer hands over to the next."""

import pytest
from fake_port import DEDUPLICATED, IDEMPOTENT, MS, NON_IDEMPOTENT, S, admit, make_balancer
from msgspec import convert, to_builtins

from dahliabend.model import Outcome, Snapshot

T = 100 * S


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
    for request_id in range(9):
        admit(made, 0, request_id=request_id).client_disconnected(T)
    assert 1 not in {note[2] for note in port.of("send")}  # set aside before, no rush now
    assert made.selection.endpoints[1].consecutive_failures == 1


def test_same_seed_gives_the_same_actions():
    logs = []
    for _ in range(2):
        made, port = make_balancer()
        made.throttling.tier.reduction, made.throttling.tier.valid_until = 0.5, T + S
        for request_id in range(30):
            admit(made, 2, request_id=request_id)
        logs.append(list(port))
    assert logs[0] == logs[1]


def test_snapshot_is_stored_under_its_old_keys_and_one_that_does_not_fit_is_refused():
    made, _ = make_balancer(endpoints=2)
    stored = to_builtins(made.snapshot(ends=False))
    assert list(stored) == ["shape", "usual", "gap", "upstreams", "crowd"]
    assert [len(values) for values in stored["upstreams"].values()] == [10, 10]
    assert len(stored["crowd"]) == 8
    assert to_builtins(convert(stored, Snapshot)) == stored
    for key, value in (("crowd", stored["crowd"][:-1]), ("crowd", [*stored["crowd"], 0]), ("shape", None)):
        with pytest.raises(ValueError, match="Expected"):
            convert({**stored, key: value}, Snapshot)
