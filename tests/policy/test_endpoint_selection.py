"""Endpoint lists, subsets, zones and round robin."""

from dataclasses import replace

from fake_port import DEDUPLICATED, MS, S, admit, make_balancer

from dahliabend.model import DeduplicationScope, EndpointState, Outcome
from dahliabend.policy.concurrency import INITIAL_LIMIT_PER_ENDPOINT
from dahliabend.policy.selection import (
    MIN_SUBSET,
    available_endpoints,
    is_deduplicated_at,
    permitted_endpoints,
)
from dahliabend.policy.throttling import MIN_SAMPLES, VALIDITY_WINDOWS

NOW = 100 * S


def test_draining_and_unlisted_endpoints_get_no_requests():
    balancer, port = make_balancer(endpoints=3)
    balancer.update_endpoints(NOW, [(0, EndpointState.DRAINING, 0, 1.0, 0, 0, b"")], full=False)
    balancer.update_endpoints(
        NOW,
        [(0, EndpointState.DRAINING, 0, 1.0, 0, 0, b""), (2, EndpointState.READY, 0, 1.0, 0, 0, b"")],
        full=True,
    )
    for request_id in range(6):
        admit(balancer, 0, request_id=request_id)
    assert {call[2] for call in port.calls_to("send")} == {2}


def test_removed_endpoint_leaves_no_state_and_late_reports_on_it_are_ignored():
    for full in (False, True):
        balancer, port = make_balancer(endpoints=2)
        request = admit(balancer, 0)
        gone = port[-1][2]
        balancer.outliers.eject(balancer.selection.endpoints[gone], NOW)
        updates = [
            (1 - gone, EndpointState.READY, 0, 1.0, 0, 0, b"1"),
            (gone, EndpointState.REMOVED, 0, 1.0, 0, 0, b"0"),
        ]
        balancer.update_endpoints(NOW, updates[: 1 if full else 2], full)
        assert list(balancer.selection.endpoints) == [1 - gone]
        assert balancer.concurrency.in_flight == 0
        balancer.health_check_finished(NOW + 9 * S, gone, Outcome.SUCCEEDED)
        balancer.update_endpoints(NOW, [(gone, EndpointState.READY, 0, 1.0, 0, 0, b"new")], False)
        assert not balancer.selection.endpoints[gone].is_ejected
        assert not balancer.selection.endpoints[gone].in_flight
        request.attempt_finished(NOW + S, 0, Outcome.TIMED_OUT, S, False)
        assert balancer.selection.endpoints[gone].entries[-1].sampled == 0
        assert request.attempts[-1].endpoint.index == 1 - gone


def test_round_robin_is_even():
    balancer, port = make_balancer(endpoints=4)
    for request_id in range(40):
        admit(balancer, 0, request_id=request_id).attempt_finished(NOW, 0, Outcome.SUCCEEDED, MS, True)
    assert sorted(call[2] for call in port.calls_to("send")) == sorted([0, 1, 2, 3] * 10)


def test_endpoints_above_the_mean_in_flight_are_skipped():
    balancer, port = make_balancer(endpoints=3)
    balancer.selection.endpoints[0].in_flight.update(dict.fromkeys(range(9)))
    for request_id in range(4):
        admit(balancer, 0, request_id=request_id)
    assert 0 not in {call[2] for call in port.calls_to("send")}


def test_slow_endpoint_gets_a_smaller_share():
    balancer, port = make_balancer(endpoints=2)
    balancer.selection.endpoints[0].relative_latency = 4.0
    balancer.concurrency.limit = 1e9
    for request_id in range(50):
        admit(balancer, 2, request_id=request_id).client_disconnected(NOW)
        balancer.selection.endpoints[0].in_flight.clear()
        balancer.selection.endpoints[1].in_flight.clear()
    assert sum(call[2] == 0 for call in port.calls_to("send")) == 10


def test_balancer_with_few_attempts_selects_the_endpoints_of_highest_rank():
    subsets = []
    for number in (0, 1, 0, -1):
        balancer, _ = make_balancer(endpoints=40, instance_index=number)
        balancer.slow_start.sent = 15
        balancer.close_windows(NOW + S)
        subsets.append({endpoint.index for endpoint in balancer.selection.selected})
    size = round(15 * VALIDITY_WINDOWS / MIN_SAMPLES)  # each gets its minimum of samples within a validity
    assert len(subsets[0]) == size
    assert subsets[0] == subsets[2] != subsets[1]
    assert len(subsets[3]) == 40
    balancer, port = make_balancer(endpoints=40)
    balancer.selection.subset_size = MIN_SUBSET
    gone = balancer.selection.ready[0]
    balancer.outliers.eject(gone, NOW)
    assert len(balancer.selection.selected) == MIN_SUBSET
    assert gone not in balancer.selection.selected
    for request_id in range(30):
        admit(balancer, 2, request_id=request_id).client_disconnected(NOW)
    assert {call[2] for call in port.calls_to("send")} == {
        endpoint.index for endpoint in balancer.selection.selected
    }


def test_subsets_cover_all_endpoints():
    counts = [0] * 40
    for number in range(60):
        balancer, _ = make_balancer(endpoints=40, instance_count=60, instance_index=number)
        balancer.selection.subset_size = 5
        balancer.selection.select()
        for endpoint in balancer.selection.selected:
            counts[endpoint.index] += 1
    assert min(counts) > 0
    assert max(counts) < 3 * 60 * 5 / 40


def same_zone_reduction(outcome, duration, attempts=MIN_SAMPLES, cost=0.1):
    """The reduction of the own zone after this number of attempts, and the share that crosses zones."""
    balancer, port = make_balancer(cross_zone_cost=cost)
    for request_id in range(attempts):
        admit(balancer, 2, request_id=request_id).attempt_finished(NOW, 0, outcome, duration, True)
    assert {call[2] % 2 for call in port.calls_to("send")} == {0}
    balancer.close_windows(NOW + S)
    for request_id in range(100, 140):
        admit(balancer, 2, request_id=request_id, now=NOW + S).attempt_finished(
            NOW + S, 0, Outcome.SUCCEEDED, MS, True
        )
    cross_zone_share = sum(call[2] % 2 for call in port.calls_to("send")) / 40
    return balancer.throttling.same_zone.valid_reduction(NOW + S), cross_zone_share


def test_reduction_of_the_own_zone_sends_that_share_across_zones():
    assert same_zone_reduction(Outcome.SUCCEEDED, MS) == (0, 0)
    reduction, cross_zone_share = same_zone_reduction(Outcome.SUCCEEDED, 2 * S)  # late
    assert round(reduction, 3) == 0.475
    assert 0.25 < cross_zone_share < 0.7
    assert same_zone_reduction(Outcome.REJECTED, MS, cost=2.0)[0] == 0


def test_timed_out_attempt_raises_the_relative_latency_of_its_endpoint():
    balancer, _ = make_balancer(endpoints=1)
    balancer.deadlines.mean_latencies[2] = 10 * MS
    admit(balancer, 2).attempt_finished(NOW, 0, Outcome.TIMED_OUT, 80 * MS, True)
    assert balancer.selection.ready[0].relative_latency > 2


def test_one_of_very_many_balancers_starts_with_a_small_subset_and_limit():
    balancer, _ = make_balancer(endpoints=40, instance_count=300)
    assert len(balancer.selection.selected) == MIN_SUBSET
    assert abs(balancer.concurrency.limit - INITIAL_LIMIT_PER_ENDPOINT * (40 / 300) ** 0.5) < 1e-9
    assert (
        make_balancer(endpoints=40, instance_count=20)[0].concurrency.limit == INITIAL_LIMIT_PER_ENDPOINT * 2
    )
    assert len(make_balancer(endpoints=40, instance_count=40)[0].selection.selected) == 40


def test_excluded_endpoint_gets_no_requests_or_health_checks_and_returns_without_reductions():
    balancer, port = make_balancer(endpoints=2, instance_count=1)
    endpoint = balancer.selection.endpoints[0]
    balancer.outliers.eject(endpoint, 100 * S)
    entry = endpoint.entries[-1]
    entry.reduction = 1.0
    entry.valid_until = 900 * S
    port.clear()
    balancer.update_endpoints(101 * S, [(0, EndpointState.EXCLUDED, 0, 1.0, 0, 0, b"0")], full=False)
    for n in range(9):
        balancer.timer_fired(101 * S + n * S, 0)
        admit(balancer, 0, now=101 * S + n * S, request_id=n)
    assert {call[2] for call in port.calls_to("send")} == {1}
    assert not port.calls_to("check_health")
    balancer.update_endpoints(120 * S, [(0, EndpointState.READY, 119 * S, 1.0, 0, 0, b"0")], full=False)
    assert not endpoint.is_ejected
    assert not endpoint.consecutive_failures
    assert not endpoint.entries[-1].reduction


def endpoint_update(index, state=EndpointState.READY):
    return (index, state, 0, 1.0, 0, 0, b"%d" % index)


def test_removed_endpoint_stays_in_use_while_it_answers_if_the_settings_allow_it():
    cases = (
        ([[endpoint_update(1, EndpointState.REMOVED)]], True),
        ([[endpoint_update(1, EndpointState.DRAINING)], [endpoint_update(1, EndpointState.REMOVED)]], False),
        ([[endpoint_update(1, EndpointState.REMOVED)], [endpoint_update(1, EndpointState.DRAINING)]], False),
        (
            [
                [endpoint_update(1, EndpointState.REMOVED)],
                [endpoint_update(1, EndpointState.DRAINING)],
                [endpoint_update(1)],
            ],
            True,
        ),
        ([[endpoint_update(1, EndpointState.EXCLUDED)], [endpoint_update(1, EndpointState.REMOVED)]], False),
    )
    for lists, is_kept in cases:
        balancer, _ = make_balancer(endpoints=2, can_use_removed_endpoints=True)
        for updates in lists:
            balancer.update_endpoints(NOW, updates, full=False)
        assert (balancer.selection.endpoints.get(1) in balancer.selection.ready) is is_kept
    balancer, _ = make_balancer(endpoints=2, can_use_removed_endpoints=True, warmup_time=10 * S)
    balancer.update_endpoints(NOW, [endpoint_update(0)], full=True)  # the list leaves out endpoint 1
    # No list has named endpoint 7 before.
    balancer.update_endpoints(NOW, [endpoint_update(7, EndpointState.REMOVED)], full=False)
    assert [endpoint.index for endpoint in balancer.selection.ready if endpoint.is_listed] == [0]
    assert set(balancer.selection.endpoints) == {0, 1}
    balancer.selection.endpoints[1].answered_at = NOW
    balancer.close_windows(NOW + 10 * S)
    assert 1 in balancer.selection.endpoints
    balancer.close_windows(NOW + 10 * S + 1)
    assert set(balancer.selection.endpoints) == {0}
    default_balancer, _ = make_balancer(endpoints=2)
    default_balancer.update_endpoints(NOW, [endpoint_update(1, EndpointState.REMOVED)], full=False)
    assert set(default_balancer.selection.endpoints) == {0}


def test_available_endpoints_are_not_ejected_and_come_with_their_mean_load():
    balancer, _ = make_balancer(endpoints=3)
    pool = list(balancer.selection.endpoints.values())
    pool[0].is_ejected = True
    pool[0].in_flight.update(dict.fromkeys(range(9)))
    pool[1].in_flight.update(dict.fromkeys(range(3)))
    assert available_endpoints(pool) == (pool[1:], 1.5)
    assert available_endpoints(pool[:1]) == ([], 0.0)


def test_deduplicating_endpoints_follow_the_scope():
    for scope, is_deduplicated in (
        (DeduplicationScope.ALL, [True] * 4),
        (DeduplicationScope.ZONE, [True, False, True, False]),
        (DeduplicationScope.CELL, [True, False, False, False]),
    ):
        balancer, _ = make_balancer(request_classes=(replace(DEDUPLICATED, deduplication_scope=scope),))
        for endpoint in balancer.selection.endpoints.values():
            endpoint.cell = endpoint.index
            endpoint.zone = endpoint.index % 2
        request = admit(balancer, 0)
        first = request.attempts[0]
        first.cell = 0
        first.zone = 0
        endpoints = balancer.selection.endpoints.values()
        assert [is_deduplicated_at(request, endpoint, first) for endpoint in endpoints] == is_deduplicated
        permitted = permitted_endpoints(request, list(endpoints))
        assert [endpoint in permitted for endpoint in endpoints] == is_deduplicated
        first.may_have_executed = False
        assert len(permitted_endpoints(request, list(endpoints))) == 4


def test_initial_subset_is_all_endpoints_unless_balancers_outnumber_them():
    for balancers, size in ((1, 40), (40, 40), (41, MIN_SUBSET)):
        balancer, _ = make_balancer(endpoints=40, instance_count=balancers)
        assert balancer.selection.initial_subset_size() == size
