"""Unit tests of routes, splits, fallbacks and limits, without I/O."""

from collections import Counter
from itertools import pairwise

import pytest
from fake_port import MS, make_balancer

from dahliabend.config.operator_file.schema import RouteSettings
from dahliabend.model import EndpointState, Outcome
from dahliabend.routing_rules.compiled_route import CompiledRoute, compile_routes
from dahliabend.routing_rules.limits import Limit
from dahliabend.routing_rules.loaded_file import load_file
from dahliabend.routing_rules.route_table import RouteTable
from dahliabend.routing_rules.weighted_split import WeightedSplit

S = 1_000_000


def route(name, path="/", **settings):
    return RouteSettings(**{"name": name, "class_": "query", "path": path, "pool": "a", **settings})


def find_route_name(routes, method, path, **headers):
    number = RouteTable(routes).find(method, path, headers)
    return None if number is None else routes[number].name


def test_a_fraction_of_a_limit_admits_that_fraction_and_reports_the_demand():
    limit = Limit(rate=100.0, concurrency=40)
    limit.set_fraction(0.25)
    admitted = sum(limit.try_acquire(now) for now in range(0, 2_000_000, 5_000))
    assert admitted == 10, "limited by the concurrency, as no request has been released"
    assert limit.concurrency == 10
    for _ in range(admitted):
        limit.release()
    assert limit.take_demand(2_000_000) == 1.0
    assert limit.take_demand(1_000_000) == 0.0
    admitted = 0
    for now in range(2_000_000, 6_000_000, 5_000):
        if limit.try_acquire(now):
            admitted += 1
            limit.release()
    assert 100 <= admitted <= 100 + 10
    limit.update(Limit(rate=200.0))
    assert limit.concurrency is None
    assert limit.rate == 200.0 * 0.25 / 1e6


def test_the_longest_path_takes_precedence_and_matches_complete_segments():
    routes = [route("all"), route("a", "/a"), route("ab", "/a/b/")]
    assert find_route_name(routes, "GET", "/a/b/c?x=/a") == "ab"
    assert find_route_name(routes, "GET", "/a/bc") == "a"
    assert find_route_name(routes, "GET", "/ab") == "all"
    assert find_route_name(routes[1:], "GET", "/x") is None


def test_more_headers_take_precedence_over_a_method_and_a_method_over_none():
    routes = [
        route("plain", "/a"), route("post", "/a", methods=["POST"]),
        route("next", "/a", headers={"X-V": "2"}),
        route("both", "/a", headers={"x-v": "2"}, methods=["POST"]),
    ]  # fmt: skip
    assert find_route_name(routes, "GET", "/a") == "plain"
    assert find_route_name(routes, "POST", "/a") == "post"
    assert find_route_name(routes, "GET", "/a", **{"x-v": "2"}) == "next"
    assert find_route_name(routes, "POST", "/a", **{"x-v": "2"}) == "both"
    assert find_route_name(routes, "GET", "/a", **{"x-v": "3"}) == "plain"


def test_requests_that_a_route_with_a_longer_path_does_not_match_take_one_with_a_shorter_path():
    routes = [route("all"), route("deep", "/a/b", methods=["POST"])]
    assert find_route_name(routes, "GET", "/a/b") == "all"
    assert find_route_name(routes, "POST", "/a/b/c") == "deep"


def test_a_shadowed_route_is_reported_with_the_route_that_shadows_it():
    routes = [route("one", "/a", methods=["GET", "POST"]), route("two", "/a/", methods=["POST"]),
              route("three", "/a", methods=["POST", "PUT"])]  # fmt: skip
    assert list(RouteTable(routes).shadowed()) == [(1, 0)]


def test_a_key_stays_in_its_pool_and_a_changed_weight_moves_only_its_share_of_keys():
    keys = [b"customer %d" % n for n in range(20_000)]
    old_split = WeightedSplit(["main", "canary"], [90, 10])
    new_split = WeightedSplit(["main", "canary"], [80, 20])
    old_pools = [old_split.pool_for_key(key) for key in keys]
    new_pools = [new_split.pool_for_key(key) for key in keys]
    canary_fraction = sum(pool == "canary" for pool in old_pools) / len(keys)
    moved_fraction = sum(old != new for old, new in zip(old_pools, new_pools, strict=True)) / len(keys)
    assert abs(canary_fraction - 0.1) < 0.01
    assert abs(moved_fraction - 0.1) < 0.01
    assert all(new == "canary" for old, new in zip(old_pools, new_pools, strict=True) if old == "canary")


def test_round_robin_keeps_the_share_of_each_pool_over_any_sequence_of_calls():
    split = WeightedSplit(["a", "b", "c"], [7, 2, 1])
    selected_pools = [split.next_pool() for _ in range(1_000)]
    for start in range(0, 900, 37):
        counts = Counter(selected_pools[start : start + 100])
        assert all(abs(counts[name] - expected) <= 2 for name, expected in (("a", 70), ("b", 20), ("c", 10)))
    assert "c" not in {first for first, second in pairwise(selected_pools) if first == second}
    with pytest.raises(ValueError, match=r"weights \[0\]: expected no negative weight and a sum above 0"):
        WeightedSplit(["a"], [0])


def test_a_rate_limit_admits_its_burst_then_its_rate_and_returns_the_time_until_a_retry():
    limit = Limit(rate=100.0, burst=20)
    admitted = 0
    for now in range(0, 10 * S, 1_000):
        admitted += limit.try_acquire(now)
    assert 20 + 990 <= admitted <= 20 + 1_001
    assert not limit.try_acquire(10 * S - 1_000)
    assert 0 < limit.time_until_token(10 * S - 1_000) <= 10_000


def test_a_limit_still_counts_requests_in_flight_after_a_reload():
    limit = Limit(concurrency=2)
    assert limit.try_acquire(0)
    assert limit.try_acquire(0)
    assert not limit.try_acquire(0)
    limit.update(Limit(concurrency=3))
    assert limit.try_acquire(1)
    assert not limit.try_acquire(1)
    for _ in range(3):
        limit.release()
    assert limit.in_flight == 0


FILE = """
[pools.main]
discovery = "10.2.0.1:80"
fallback = "spare"
fallback-below = "25%"
[pools.spare]
discovery = "10.2.0.2:80"
[pools.next]
discovery = "10.2.0.3:80"
fallback = "main"
[classes.query]
effect = "idempotent"
service-goal = "1s"
hard-limit = "2s"
[[routes]]
name = "split"
class = "query"
pools = { main = 3, next = 1 }
split-by = "X-Customer"
concurrency = 5
"""


def decoded_file(text=FILE):
    loaded = load_file("f", environment={}, read=lambda _: text.encode())
    assert loaded.has_no_faults, loaded.faults
    return loaded.file


def test_a_pool_with_too_few_ready_endpoints_is_skipped_unless_all_pools_are():
    file = decoded_file()
    compiled_route = CompiledRoute(file, file.routes[0], 0)
    key = next(k for n in range(99) if compiled_route.split.pool_for_key(k := b"%d" % n) == "next")
    for ready_shares, expected in (
        ({"next": 1.0, "main": 1.0, "spare": 1.0}, ["next", "main", "spare"]),
        ({"next": 0.0, "main": 1.0, "spare": 1.0}, ["main", "spare"]),
        ({"next": 0.0, "main": 0.25, "spare": 1.0}, ["spare"]),
        ({"next": 0.0, "main": 0.0, "spare": 0.0}, ["next"]),
    ):
        assert compiled_route.candidate_pools(key, ready_shares.__getitem__) == expected
    assert compiled_route.reachable_pools == ("main", "spare", "next")


def test_a_reload_keeps_round_robin_state_and_requests_in_flight_of_routes_with_the_same_name():
    file = decoded_file(FILE.replace('split-by = "X-Customer"\n', ""))
    previous = CompiledRoute(file, file.routes[0], 0)
    selected_pools = [previous.candidate_pools(b"", lambda _: 1.0)[0] for _ in range(2)]
    previous.limit.try_acquire(0)
    (recompiled,) = compile_routes(file, {"split": previous})
    selected_pools += [recompiled.candidate_pools(b"", lambda _: 1.0)[0] for _ in range(2)]
    assert Counter(selected_pools) == {"main": 3, "next": 1}
    assert recompiled.limit.in_flight == 1


def test_the_cost_of_a_lookup_does_not_grow_with_the_number_of_routes():
    """The cost is the number of dictionary lookups in nodes and in their conditions, not a time."""

    class CountingDict(dict):
        calls = 0

        def get(self, *key):
            CountingDict.calls += 1
            return super().get(*key)

    costs = []
    for count in (10, 10_000):
        table = RouteTable(
            [route(f"r{n}", f"/s{n % 100}/t{n}", headers={"x": str(n % 3)}) for n in range(count)]
        )
        pending_nodes = [table.root]
        while pending_nodes:
            node = pending_nodes.pop()
            pending_nodes.extend(node.children.values())
            node.children = CountingDict(node.children)
            node.conditions = {
                condition: CountingDict(numbers) for condition, numbers in node.conditions.items()
            }
        CountingDict.calls = 0
        assert table.find("GET", "/s5/t5/more", {"x": "2"}) == 5
        costs.append(CountingDict.calls)
    assert costs[0] == costs[1]


def test_an_upstream_in_slow_start_in_two_pools_gets_no_more_than_the_multiple_of_its_capacity():
    """Two pools decide independently about the same new upstream. The attempts that both send in any second
    stay below the warm-up multiple of its capacity, which grows from a fifth to the rate that a warm upstream
    receives from both pools."""
    now = 100 * S
    pools = []
    attempts = []  # times of attempts at the new upstream, from the start of its warm-up
    warmup_multiple = 3.0
    warmup_time = 10 * S
    for endpoint_count, interval in ((4, 10 * MS), (2, 20 * MS)):  # 100 and 50 requests per second
        balancer, port = make_balancer(
            endpoints=endpoint_count,
            instance_count=1,
            warmup_multiple=warmup_multiple,
            warmup_time=warmup_time,
            initial_capacity=0.2,
        )
        pools.append((balancer, port, interval))
    nominal_rate = 100 / 4 + 50 / 2

    def run(until, is_warming_up):
        nonlocal now
        while now < until:
            now += 10 * MS
            for balancer, port, interval in pools:
                if now % S % (200 * MS) == 0:
                    balancer.timer_fired(now, 0)
                if now % interval == 0:
                    request = balancer.admit(now, 1, 0, 0, now + 5 * S)
                    sent = port.calls_to("send")
                    if sent and sent[-1][2] == 0 and is_warming_up:
                        attempts.append(now)
                    port.clear()
                    if request.attempts:
                        request.attempt_finished(now + 5 * MS, 0, Outcome.SUCCEEDED, 5 * MS, True)

    run(now + 20 * S, is_warming_up=False)
    started_at = now
    for balancer, _, _ in pools:
        balancer.update_endpoints(now, [(0, EndpointState.READY, started_at, 1.0, 0, 0, b"0")], full=False)
    run(started_at + warmup_time, is_warming_up=True)
    max_ratio = max(
        sum(window_start <= at < window_start + S for at in attempts)
        / (nominal_rate * (0.2 + 0.8 * (window_start - started_at) / warmup_time))
        for window_start in attempts
    )
    assert len(attempts) > 20
    assert max_ratio < warmup_multiple, max_ratio
