"""Endpoint lists, subsets, zones, round robin and slow start."""

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

T = 100 * S


def test_draining_and_unlisted_endpoints_get_no_requests():
    made, port = make_balancer(endpoints=3)
    made.update_endpoints(T, [(0, EndpointState.DRAINING, 0, 1.0, 0, 0, b"")], full=False)
    made.update_endpoints(
        T,
        [(0, EndpointState.DRAINING, 0, 1.0, 0, 0, b""), (2, EndpointState.READY, 0, 1.0, 0, 0, b"")],
        full=True,
    )
    for request_id in range(6):
        admit(made, 0, request_id=request_id)
    assert {note[2] for note in port.of("send")} == {2}


def test_removed_endpoint_leaves_no_state_and_late_reports_on_it_are_ignored():
    for full in (False, True):
        made, port = make_balancer(endpoints=2)
        request = admit(made, 0)
        gone = port[-1][2]
        made.outliers.eject(made.selection.endpoints[gone], T)
        rows = [
            (1 - gone, EndpointState.READY, 0, 1.0, 0, 0, b"1"),
            (gone, EndpointState.REMOVED, 0, 1.0, 0, 0, b"0"),
        ]
        made.update_endpoints(T, rows[: 1 if full else 2], full)
        assert list(made.selection.endpoints) == [1 - gone]
        assert made.concurrency.in_flight == 0
        made.health_check_finished(T + 9 * S, gone, Outcome.SUCCEEDED)
        made.update_endpoints(T, [(gone, EndpointState.READY, 0, 1.0, 0, 0, b"new")], False)
        assert not made.selection.endpoints[gone].is_ejected
        assert not made.selection.endpoints[gone].in_flight
        request.attempt_finished(T + S, 0, Outcome.TIMED_OUT, S, False)
        assert made.selection.endpoints[gone].entries[-1].sampled == 0
        assert request.attempts[-1].endpoint.index == 1 - gone


def test_round_robin_is_even():
    made, port = make_balancer(endpoints=4)
    for request_id in range(40):
        admit(made, 0, request_id=request_id).attempt_finished(T, 0, Outcome.SUCCEEDED, MS, True)
    assert sorted(note[2] for note in port.of("send")) == sorted([0, 1, 2, 3] * 10)


def test_endpoints_above_the_mean_in_flight_are_skipped():
    made, port = make_balancer(endpoints=3)
    made.selection.endpoints[0].in_flight.update(dict.fromkeys(range(9)))
    for request_id in range(4):
        admit(made, 0, request_id=request_id)
    assert 0 not in {note[2] for note in port.of("send")}


def test_slow_endpoint_gets_a_smaller_share():
    made, port = make_balancer(endpoints=2)
    made.selection.endpoints[0].relative_latency, made.concurrency.limit = 4.0, 1e9
    for request_id in range(50):
        admit(made, 2, request_id=request_id).client_disconnected(T)
        made.selection.endpoints[0].in_flight.clear()
        made.selection.endpoints[1].in_flight.clear()
    assert sum(note[2] == 0 for note in port.of("send")) == 10


def test_balancer_with_few_attempts_selects_its_highest_ranks():
    used = []
    for number in (0, 1, 0, -1):
        made, _ = make_balancer(endpoints=40, instance_index=number)
        made.slow_start.sent = 15
        made.close_windows(T + S)
        used.append({u.index for u in made.selection.selected})
    size = round(15 * VALIDITY_WINDOWS / MIN_SAMPLES)  # each reaches its floor within a validity
    assert len(used[0]) == size
    assert used[0] == used[2] != used[1]
    assert len(used[3]) == 40
    made, port = make_balancer(endpoints=40)
    made.selection.subset_size = MIN_SUBSET
    gone = made.selection.ready[0]
    made.outliers.eject(gone, T)
    assert len(made.selection.selected) == MIN_SUBSET
    assert gone not in made.selection.selected
    for request_id in range(30):
        admit(made, 2, request_id=request_id).client_disconnected(T)
    assert {note[2] for note in port.of("send")} == {u.index for u in made.selection.selected}


def test_subsets_cover_all_endpoints():
    counts = [0] * 40
    for number in range(60):
        made, _ = make_balancer(endpoints=40, instance_count=60, instance_index=number)
        made.selection.subset_size = 5
        made.selection.select()
        for u in made.selection.selected:
            counts[u.index] += 1
    assert min(counts) > 0
    assert max(counts) < 3 * 60 * 5 / 40


def same_zone_reduction(outcome, duration, attempts=MIN_SAMPLES, cost=0.1):
    """The reduction of the own zone after so many attempts, and the share that crosses zones."""
    made, port = make_balancer(cross_zone_cost=cost)
    for request_id in range(attempts):
        admit(made, 2, request_id=request_id).attempt_finished(T, 0, outcome, duration, True)
    assert {note[2] % 2 for note in port.of("send")} == {0}
    made.close_windows(T + S)
    for request_id in range(100, 140):
        admit(made, 2, request_id=request_id, now=T + S).attempt_finished(
            T + S, 0, Outcome.SUCCEEDED, MS, True
        )
    far = sum(note[2] % 2 for note in port.of("send")) / 40
    return made.throttling.same_zone.valid_reduction(T + S), far


def test_reduction_of_the_own_zone_crosses_zones_and_no_more():
    assert same_zone_reduction(Outcome.SUCCEEDED, MS) == (0, 0)
    reduction, far = same_zone_reduction(Outcome.SUCCEEDED, 2 * S)  # late
    assert round(reduction, 3) == 0.475
    assert 0.25 < far < 0.7
    assert same_zone_reduction(Outcome.REJECTED, MS, cost=2.0)[0] == 0


def test_timed_out_attempt_counts_in_its_endpoints_latency():
    made, _ = make_balancer(endpoints=1)
    made.deadlines.mean_latencies[2] = 10 * MS
    admit(made, 2).attempt_finished(T, 0, Outcome.TIMED_OUT, 80 * MS, True)
    assert made.selection.ready[0].relative_latency > 2


def test_one_of_very_many_balancers_starts_with_a_small_subset_and_limit():
    made, _ = make_balancer(endpoints=40, instance_count=300)
    assert len(made.selection.selected) == MIN_SUBSET
    assert abs(made.concurrency.limit - INITIAL_LIMIT_PER_ENDPOINT * (40 / 300) ** 0.5) < 1e-9
    assert (
        make_balancer(endpoints=40, instance_count=20)[0].concurrency.limit == INITIAL_LIMIT_PER_ENDPOINT * 2
    )
    assert len(make_balancer(endpoints=40, instance_count=40)[0].selection.selected) == 40


def test_excluded_endpoint_gets_no_requests_or_health_checks_and_returns_without_reductions():
    made, port = make_balancer(endpoints=2, instance_count=1)
    u = made.selection.endpoints[0]
    made.outliers.eject(u, 100 * S)
    entry = u.entries[-1]
    entry.reduction, entry.valid_until = 1.0, 900 * S
    port.clear()
    made.update_endpoints(101 * S, [(0, EndpointState.EXCLUDED, 0, 1.0, 0, 0, b"0")], full=False)
    for n in range(9):
        made.timer_fired(101 * S + n * S, 0)
        admit(made, 0, now=101 * S + n * S, request_id=n)
    assert {note[2] for note in port.of("send")} == {1}
    assert not port.of("check_health")
    made.update_endpoints(120 * S, [(0, EndpointState.READY, 119 * S, 1.0, 0, 0, b"0")], full=False)
    assert not u.is_ejected
    assert not u.consecutive_failures
    assert not u.entries[-1].reduction


def row(index, state=EndpointState.READY):
    return (index, state, 0, 1.0, 0, 0, b"%d" % index)


def test_where_only_draining_binds_a_removed_endpoint_stays_while_it_answers():
    cases = (
        ([[row(1, EndpointState.REMOVED)]], True),
        ([[row(1, EndpointState.DRAINING)], [row(1, EndpointState.REMOVED)]], False),
        ([[row(1, EndpointState.REMOVED)], [row(1, EndpointState.DRAINING)]], False),
        ([[row(1, EndpointState.REMOVED)], [row(1, EndpointState.DRAINING)], [row(1)]], True),
        ([[row(1, EndpointState.EXCLUDED)], [row(1, EndpointState.REMOVED)]], False),
    )
    for lists, kept in cases:
        made, _ = make_balancer(endpoints=2, can_use_removed_endpoints=True)
        for rows in lists:
            made.update_endpoints(T, rows, full=False)
        assert (made.selection.endpoints.get(1) in made.selection.ready) is kept
    made, _ = make_balancer(endpoints=2, can_use_removed_endpoints=True, warmup_time=10 * S)
    made.update_endpoints(T, [row(0)], full=True)  # left out
    made.update_endpoints(T, [row(7, EndpointState.REMOVED)], full=False)  # never named by any list
    assert [u.index for u in made.selection.ready if u.is_listed] == [0]
    assert set(made.selection.endpoints) == {0, 1}
    made.selection.endpoints[1].answered_at = T
    made.close_windows(T + 10 * S)
    assert 1 in made.selection.endpoints
    made.close_windows(T + 10 * S + 1)
    assert set(made.selection.endpoints) == {0}
    bound, _ = make_balancer(endpoints=2)
    bound.update_endpoints(T, [row(1, EndpointState.REMOVED)], full=False)
    assert set(bound.selection.endpoints) == {0}


def test_available_endpoints_leave_out_ejected_ones_and_tell_the_mean_load():
    made, _ = make_balancer(endpoints=3)
    pool = list(made.selection.endpoints.values())
    pool[0].is_ejected = True
    pool[0].in_flight.update(dict.fromkeys(range(9)))
    pool[1].in_flight.update(dict.fromkeys(range(3)))
    assert available_endpoints(pool) == (pool[1:], 1.5)
    assert available_endpoints(pool[:1]) == ([], 0.0)


def test_is_deduplicated_at_by_scope():
    for scope, known in (
        (DeduplicationScope.ALL, [True] * 4),
        (DeduplicationScope.ZONE, [True, False, True, False]),
        (DeduplicationScope.CELL, [True, False, False, False]),
    ):
        made, _ = make_balancer(request_classes=(replace(DEDUPLICATED, deduplication_scope=scope),))
        for endpoint in made.selection.endpoints.values():
            endpoint.cell, endpoint.zone = endpoint.index, endpoint.index % 2
        request = admit(made, 0)
        first = request.attempts[0]
        first.cell, first.zone = 0, 0
        endpoints = made.selection.endpoints.values()
        assert [is_deduplicated_at(request, endpoint, first) for endpoint in endpoints] == known
        permitted = permitted_endpoints(request, list(endpoints))
        assert [endpoint in permitted for endpoint in endpoints] == known
        first.may_have_executed = False
        assert len(permitted_endpoints(request, list(endpoints))) == 4


def test_initial_subset_size_is_all_unless_balancers_outnumber_endpoints():
    for balancers, size in ((1, 40), (40, 40), (41, MIN_SUBSET)):
        made, _ = make_balancer(endpoints=40, instance_count=balancers)
        assert made.selection.initial_subset_size() == size
