"""Routes, splits, fallbacks and limits on their own: no I/O, each test calls one thing."""

from collections import Counter
from itertools import pairwise

import pytest
from helpers import MS, balancer

from dahliabend.config.operator_file.schema import RouteSettings
from dahliabend.model import EndpointState, Outcome
from dahliabend.routing_rules import plan as plans
from dahliabend.routing_rules.choice import Choice, choices
from dahliabend.routing_rules.limits import Limit
from dahliabend.routing_rules.split import Split
from dahliabend.routing_rules.table import Table

S = 1_000_000


def route(name, path="/", **more):
    return RouteSettings(**{"name": name, "class_": "query", "path": path, "pool": "a", **more})


def found(routes, method, path, **headers):
    number = Table(routes).find(method, path, headers)
    return None if number is None else routes[number].name


def test_a_part_of_a_limit_lets_in_its_part_and_says_what_was_asked():
    limit = Limit(rate=100.0, concurrency=40)
    limit.take(0.25)
    entered = sum(limit.enter(now) for now in range(0, 2_000_000, 5_000))
    assert entered == 10 and limit.concurrency == 10, "in hand, all at once"
    for _ in range(entered):
        limit.leave()
    assert limit.ask(2_000_000) == 1.0 and limit.ask(1_000_000) == 0.0
    let_in = 0
    for now in range(2_000_000, 6_000_000, 5_000):
        if limit.enter(now):
            let_in += 1
            limit.leave()
    assert 100 <= let_in <= 100 + 10
    limit.become(Limit(rate=200.0))
    assert limit.concurrency is None and limit.rate == 200.0 * 0.25 / 1e6


def test_the_longest_path_goes_first_by_whole_segments():
    routes = [route("all"), route("a", "/a"), route("ab", "/a/b/")]
    assert found(routes, "GET", "/a/b/c?x=/a") == "ab" and found(routes, "GET", "/a/bc") == "a"
    assert found(routes, "GET", "/ab") == "all" and found(routes[1:], "GET", "/x") is None


def test_more_headers_go_before_a_method_and_that_before_none():
    routes = [
        route("plain", "/a"), route("post", "/a", methods=["POST"]),
        route("next", "/a", headers={"X-V": "2"}),
        route("both", "/a", headers={"x-v": "2"}, methods=["POST"]),
    ]  # fmt: skip
    assert found(routes, "GET", "/a") == "plain" and found(routes, "POST", "/a") == "post"
    assert found(routes, "GET", "/a", **{"x-v": "2"}) == "next"
    assert found(routes, "POST", "/a", **{"x-v": "2"}) == "both"
    assert found(routes, "GET", "/a", **{"x-v": "3"}) == "plain"


def test_where_a_deeper_route_asks_for_more_a_shallower_one_takes_the_rest():
    routes = [route("all"), route("deep", "/a/b", methods=["POST"])]
    assert found(routes, "GET", "/a/b") == "all" and found(routes, "POST", "/a/b/c") == "deep"


def test_what_is_never_reached_is_named_with_what_is_before_it():
    routes = [route("one", "/a", methods=["GET", "POST"]), route("two", "/a/", methods=["POST"]),
              route("three", "/a", methods=["POST", "PUT"])]  # fmt: skip
    assert list(Table(routes).shadowed()) == [(1, 0)]


def test_a_key_stays_in_its_pool_and_a_moved_weight_moves_only_its_part():
    keys = [b"customer %d" % n for n in range(20_000)]
    before, after = Split(["main", "canary"], [90, 10]), Split(["main", "canary"], [80, 20])
    part = sum(before.of(key) == "canary" for key in keys) / len(keys)
    moved = sum(before.of(key) != after.of(key) for key in keys) / len(keys)
    assert abs(part - 0.1) < 0.01 and abs(moved - 0.1) < 0.01
    assert all(after.of(key) == "canary" for key in keys if before.of(key) == "canary")


def test_turns_hold_each_part_to_one_over_any_run():
    split = Split(["a", "b", "c"], [7, 2, 1])
    turns = [split.turn() for _ in range(1_000)]
    for start in range(0, 900, 37):
        counts = Counter(turns[start : start + 100])
        assert all(abs(counts[name] - want) <= 2 for name, want in (("a", 70), ("b", 20), ("c", 10)))
    assert "c" not in {one for one, other in pairwise(turns) if one == other}
    with pytest.raises(ValueError, match="sum to nothing"):
        Split(["a"], [0])


def test_a_rate_lets_in_its_burst_then_its_rate_and_says_when_to_come_back():
    limit, let_in = Limit(rate=100.0, burst=20), 0
    for now in range(0, 10 * S, 1_000):
        let_in += limit.enter(now)
    assert 20 + 990 <= let_in <= 20 + 1_001
    assert not limit.enter(10 * S - 1_000) and 0 < limit.wait(10 * S - 1_000) <= 10_000


def test_a_limit_counts_who_is_in_hand_also_over_a_reload():
    old = Limit(concurrency=2)
    assert old.enter(0) and old.enter(0) and not old.enter(0)
    old.become(Limit(concurrency=3))
    assert old.enter(1) and not old.enter(1)
    for _ in range(3):
        old.leave()
    assert old.held == 0


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


def made(text=FILE):
    plan = plans.plan("f", environment={}, read=lambda _: text.encode())
    assert plan.usable, plan.faults
    return plan.file


def test_a_fallback_acts_where_too_little_is_ready_and_not_before():
    file = made()
    choice = Choice(file, file.routes[0], 0)
    key = next(k for n in range(99) if choice.split.of(k := b"%d" % n) == "next")
    for ready, goes in (
        ({"next": 1.0, "main": 1.0, "spare": 1.0}, ["next", "main", "spare"]),
        ({"next": 0.0, "main": 1.0, "spare": 1.0}, ["main", "spare"]),
        ({"next": 0.0, "main": 0.25, "spare": 1.0}, ["spare"]),
        ({"next": 0.0, "main": 0.0, "spare": 0.0}, ["next"]),
    ):
        assert choice.ways(key, ready.__getitem__) == goes
    assert choice.reach == ("main", "spare", "next")


def test_a_reload_keeps_turns_and_those_in_hand_by_the_routes_name():
    file = made(FILE.replace('split-by = "X-Customer"\n', ""))
    before = Choice(file, file.routes[0], 0)
    turns = [before.ways(b"", lambda _: 1.0)[0] for _ in range(2)]
    before.limit.enter(0)
    (after,) = choices(file, {"split": before})
    turns += [after.ways(b"", lambda _: 1.0)[0] for _ in range(2)]
    assert Counter(turns) == {"main": 3, "next": 1} and after.limit.held == 1


def test_the_cost_of_a_look_up_does_not_grow_with_the_routes():
    """Counted in steps of the look-up, not in time: nodes walked and shapes asked for."""

    class Counting(dict):
        asked = 0

        def get(self, *key):
            Counting.asked += 1
            return super().get(*key)

    costs = []
    for count in (10, 10_000):
        table = Table([route(f"r{n}", f"/s{n % 100}/t{n}", headers={"x": str(n % 3)}) for n in range(count)])
        waiting = [table.root]
        while waiting:
            node = waiting.pop()
            waiting.extend(node.below.values())
            node.below = Counting(node.below)
            node.shapes = {shape: Counting(group) for shape, group in node.shapes.items()}
        Counting.asked = 0
        assert table.find("GET", "/s5/t5/more", {"x": "2"}) == 5
        costs.append(Counting.asked)
    assert costs[0] == costs[1]


def test_a_cold_upstream_in_two_pools_gets_no_more_than_one_budget_allows():
    """Each pool has decisions of its own and knows nothing of the other. What both send in any second stays
    under the multiple of what it bears, which grows from a fifth to what a warm one gets of both."""
    now, pools, hops, multiple, cold = 100 * S, [], [], 3.0, 10 * S
    for count, every in ((4, 10 * MS), (2, 20 * MS)):  # 100 and 50 a second
        made, port = balancer(
            upstreams=count,
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
                    sent = port.of("send")
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
    assert len(hops) > 20 and worst < multiple, worst
