"""Routes, splits, fallbacks and limits on their own: no I/O, each test calls one thing."""

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


def route(name, path="/", **more):
    return RouteSettings(**{"name": name, "class_": "query", "path": path, "pool": "a", **more})


def found(routes, method, path, **headers):
    number = RouteTable(routes).find(method, path, headers)
    return None if number is None else routes[number].name


def test_a_fraction_of_a_limit_admits_that_fraction_and_reports_the_demand():
    limit = Limit(rate=100.0, concurrency=40)
    limit.set_fraction(0.25)
    admitted = sum(limit.try_acquire(now) for now in range(0, 2_000_000, 5_000))
    assert admitted == 10, "in flight, all at once"
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


def test_the_longest_path_matches_first_by_complete_segments():
    routes = [route("all"), route("a", "/a"), route("ab", "/a/b/")]
    assert found(routes, "GET", "/a/b/c?x=/a") == "ab"
    assert found(routes, "GET", "/a/bc") == "a"
    assert found(routes, "GET", "/ab") == "all"
    assert found(routes[1:], "GET", "/x") is None


def test_more_headers_go_before_a_method_and_that_before_none():
    routes = [
        route("plain", "/a"), route("post", "/a", methods=["POST"]),
        route("next", "/a", headers={"X-V": "2"}),
        route("both", "/a", headers={"x-v": "2"}, methods=["POST"]),
    ]  # fmt: skip
    assert found(routes, "GET", "/a") == "plain"
    assert found(routes, "POST", "/a") == "post"
    assert found(routes, "GET", "/a", **{"x-v": "2"}) == "next"
    assert found(routes, "POST", "/a", **{"x-v": "2"}) == "both"
    assert found(routes, "GET", "/a", **{"x-v": "3"}) == "plain"


def test_requests_that_a_deeper_route_does_not_match_go_to_a_shallower_one():
    routes = [route("all"), route("deep", "/a/b", methods=["POST"])]
    assert found(routes, "GET", "/a/b") == "all"
    assert found(routes, "POST", "/a/b/c") == "deep"


def test_a_shadowed_route_is_reported_with_the_route_that_shadows_it():
    routes = [route("one", "/a", methods=["GET", "POST"]), route("two", "/a/", methods=["POST"]),
              route("three", "/a", methods=["POST", "PUT"])]  # fmt: skip
    assert list(RouteTable(routes).shadowed()) == [(1, 0)]


def test_a_key_stays_in_its_pool_and_a_changed_weight_moves_only_its_share_of_keys():
    keys = [b"customer %d" % n for n in range(20_000)]
    before, after = WeightedSplit(["main", "canary"], [90, 10]), WeightedSplit(["main", "canary"], [80, 20])
    part = sum(before.pool_for_key(key) == "canary" for key in keys) / len(keys)
    moved = sum(before.pool_for_key(key) != after.pool_for_key(key) for key in keys) / len(keys)
    assert abs(part - 0.1) < 0.01
    assert abs(moved - 0.1) < 0.01
    assert all(after.pool_for_key(key) == "canary" for key in keys if before.pool_for_key(key) == "canary")


def test_round_robin_holds_each_share_over_any_run():
    split = WeightedSplit(["a", "b", "c"], [7, 2, 1])
    turns = [split.next_pool() for _ in range(1_000)]
    for start in range(0, 900, 37):
        counts = Counter(turns[start : start + 100])
        assert all(abs(counts[name] - want) <= 2 for name, want in (("a", 70), ("b", 20), ("c", 10)))
    assert "c" not in {one for one, other in pairwise(turns) if one == other}
    with pytest.raises(ValueError, match="sum to nothing"):
        WeightedSplit(["a"], [0])


def test_a_rate_admits_its_burst_then_its_rate_and_reports_when_to_retry():
    limit = Limit(rate=100.0, burst=20)
    admitted = 0
    for now in range(0, 10 * S, 1_000):
        admitted += limit.try_acquire(now)
    assert 20 + 990 <= admitted <= 20 + 1_001
    assert not limit.try_acquire(10 * S - 1_000)
    assert 0 < limit.time_until_token(10 * S - 1_000) <= 10_000


def test_a_limit_counts_requests_in_flight_over_a_reload():
    old = Limit(concurrency=2)
    assert old.try_acquire(0)
    assert old.try_acquire(0)
    assert not old.try_acquire(0)
    old.update(Limit(concurrency=3))
    assert old.try_acquire(1)
    assert not old.try_acquire(1)
    for _ in range(3):
        old.release()
    assert old.in_flight == 0


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


def usable_file(text=FILE):
    loaded = load_file("f", environment={}, read=lambda _: text.encode())
    assert loaded.is_usable, loaded.faults
    return loaded.file


def test_a_fallback_is_used_only_where_too_little_of_a_pool_is_ready():
    file = usable_file()
    compiled = CompiledRoute(file, file.routes[0], 0)
    key = next(k for n in range(99) if compiled.split.pool_for_key(k := b"%d" % n) == "next")
    for ready, goes in (
        ({"next": 1.0, "main": 1.0, "spare": 1.0}, ["next", "main", "spare"]),
        ({"next": 0.0, "main": 1.0, "spare": 1.0}, ["main", "spare"]),
        ({"next": 0.0, "main": 0.25, "spare": 1.0}, ["spare"]),
        ({"next": 0.0, "main": 0.0, "spare": 0.0}, ["next"]),
    ):
        assert compiled.candidate_pools(key, ready.__getitem__) == goes
    assert compiled.reachable_pools == ("main", "spare", "next")


def test_a_reload_keeps_round_robin_state_and_requests_in_flight_by_the_routes_name():
    file = usable_file(FILE.replace('split-by = "X-Customer"\n', ""))
    before = CompiledRoute(file, file.routes[0], 0)
    turns = [before.candidate_pools(b"", lambda _: 1.0)[0] for _ in range(2)]
    before.limit.try_acquire(0)
    (after,) = compile_routes(file, {"split": before})
    turns += [after.candidate_pools(b"", lambda _: 1.0)[0] for _ in range(2)]
    assert Counter(turns) == {"main": 3, "next": 1}
    assert after.limit.in_flight == 1


def test_the_cost_of_a_look_up_does_not_grow_with_the_number_of_routes():
    """Counted in steps of the look-up, not in time: nodes walked and conditions looked up."""

    class Counting(dict):
        calls = 0

        def get(self, *key):
            Counting.calls += 1
            return super().get(*key)

    costs = []
    for count in (10, 10_000):
        table = RouteTable(
            [route(f"r{n}", f"/s{n % 100}/t{n}", headers={"x": str(n % 3)}) for n in range(count)]
        )
        waiting = [table.root]
        while waiting:
            node = waiting.pop()
            waiting.extend(node.children.values())
            node.children = Counting(node.children)
            node.conditions = {condition: Counting(numbers) for condition, numbers in node.conditions.items()}
        Counting.calls = 0
        assert table.find("GET", "/s5/t5/more", {"x": "2"}) == 5
        costs.append(Counting.calls)
    assert costs[0] == costs[1]


def test_an_upstream_in_slow_start_in_two_pools_gets_no_more_than_one_budget_allows():
    """Each pool has decisions of its own and knows nothing of the other. What both send in any second stays
    under the multiple of what it bears, which grows from a fifth to what a warm one gets of both."""
    now, pools, hops, multiple, cold = 100 * S, [], [], 3.0, 10 * S
    for count, every in ((4, 10 * MS), (2, 20 * MS)):  # 100 and 50 a second
        made, port = make_balancer(
            endpoints=count,
            instance_count=1,
            warmup_multiple=multiple,
            warmup_time=cold,
            initial_capacity=0.2,
        )
        pools.append((made, port, every))
    bears = 100 / 4 + 50 / 2

    def run(until, started):
        nonlocal now
        while now < until:
            now += 10 * MS
            for made, port, every in pools:
                if now % S % (200 * MS) == 0:
                    made.timer_fired(now, 0)
                if now % every == 0:
                    request = made.admit(now, 1, 0, 0, now + 5 * S)
                    sent = port.calls_to("send")
                    if sent and sent[-1][2] == 0 and started:
                        hops.append(now)
                    port.clear()
                    if request.attempts:
                        request.attempt_finished(now + 5 * MS, 0, Outcome.SUCCEEDED, 5 * MS, True)

    run(now + 20 * S, started=0)
    start = now
    for made, _, _ in pools:
        made.update_endpoints(now, [(0, EndpointState.READY, start, 1.0, 0, 0, b"0")], full=False)
    run(start + cold, started=start)
    worst = max(
        sum(at <= other < at + S for other in hops) / (bears * (0.2 + 0.8 * (at - start) / cold))
        for at in hops
    )
    assert len(hops) > 20
    assert worst < multiple, worst
