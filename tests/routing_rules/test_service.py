"""A balancer by an operator's file, in the modelled world and once on loopback."""

import asyncio
import json
import os
import sys
from collections import Counter
from random import Random

import pytest
from corpus import generate_operator_files
from helpers import free_addresses

from dahliabend.routing_rules.weighted_split import WeightedSplit
from dahliabend.simulation.operator_file_simulation import FAULT_KINDS, OperatorFileSimulation
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.clients import Clients
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation
from dahliabend.simulation.peers.operators import call
from dahliabend.simulation.peers.upstream import Upstream
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec

MS, S = 1_000, 1_000_000
TOP = """
[listeners.callers]
address = "127.0.0.1:8080"
[defaults]
attempts = 3
[classes.query]
effect = "idempotent"
service-goal = "400ms"
hard-limit = "1s"
[classes.submit]
effect = "non-idempotent"
service-goal = "400ms"
hard-limit = "1s"
revenue = 10
"""


def pool(name, count=3, more="", net=1):
    rows = ", ".join(
        f'{{ id = "{name}-{n}", address = "10.{net}.{len(name)}.{n + 1}:80" }}' for n in range(count)
    )
    return f"[pools.{name}]\n{more}\nmembers = [{rows}]\n"


def route(name, *lines, kind="query"):
    return "\n".join(("[[routes]]", f'name = "{name}"', f'class = "{kind}"', *lines)) + "\n"


def world(*parts, seed=1):
    return OperatorFileSimulation({"file.toml": TOP + "\n".join(parts)}, seed)


def went(made, kind="effect"):
    """How many ran in each pool."""
    return Counter(line[3].rpartition("-")[0] for line in made.recorder.events if line[1] == kind)


def loaded(made, rate, span, act=lambda world: None):
    def begin(world):
        world.load(world.load_file().file, rate, span)
        act(world)

    made.run(begin, span)
    assert not made.invariants.violations, [str(violation) for violation in made.invariants.violations]
    return made


def part(made, name):
    tally = made.invariants.tally[name]
    asked, within = tally.asked, tally.in_time
    return within / asked


def test_a_canary_gets_its_share_and_a_failing_one_does_not_affect_other_routes():
    """20,000 transactions to split; then, beside another route, a canary that fails nine of ten."""

    def fails(made):
        for name in made.upstreams_by_pool["next"]:
            made.call_later(20 * S, made.inject_fault, name, "fail", 60 * S)

    parts = pool("main", 4), pool("next", 2, net=2), route("split", "pools = { main = 90, next = 10 }")
    made = loaded(world(*parts), 200, 100 * S)
    split = Counter(line[4].rpartition("-")[0] for line in made.recorder.events if line[1] == "hop.head")
    assert made.invariants.counts["asked"] == 20_000
    assert abs(split["next"] / 20_000 - 0.10) <= 0.01
    parts += (route("own", 'path = "/own"', 'pool = "main"'),)
    calm = part(loaded(world(*parts), 100, 20 * S), "own")
    made = loaded(world(*parts), 100, 60 * S, fails)
    assert abs(part(made, "own") - calm) <= 0.01
    assert made.invariants.counts["refused"] > 0  # by the held percentages of its own pool


def test_requests_split_by_a_header_stay_in_one_pool():
    made = world(
        pool("main"), pool("next", net=2),
        route("split", "pools = { main = 1, next = 1 }", 'split-by = "X-Customer"'),
    )  # fmt: skip

    def begin(world):
        file = world.load_file().file
        for number in range(200):
            ask = world.make_request(file, 0, (("X-Customer", f"c{number % 10}"),))
            ask.query_string = b"?c%d" % (number % 10)
            world.scheduler.call_at(
                world.scheduler.now + number * 20_000, world.client_process, world.clients.send, ask
            )

    made.run(begin, 5 * S)
    assert not made.invariants.violations
    assert len(went(made)) == 2
    turns = {}
    for line in made.recorder.events:
        if line[1] == "effect":
            customer = (int(line[2][1:]) - 1) % 10
            turns.setdefault(customer, set()).add(line[3].rpartition("-")[0])
    assert all(len(pools) == 1 for pools in turns.values())
    assert len(turns) == 10


def test_pipelined_requests_are_split_by_their_own_headers():
    made = world(
        pool("main"), pool("next", net=2),
        route("split", "pools = { main = 1, next = 1 }", 'split-by = "X-Customer"'),
    )  # fmt: skip
    split = WeightedSplit(["main", "next"], [1, 1], b"split")
    names = [b"c%d" % n for n in range(8)]

    class Ahead(asyncio.Protocol):
        def connection_made(self, transport):
            for number, name in enumerate(names):
                transport.write(
                    b"GET / HTTP/1.1\r\nX-Trace-Id: t%d\r\nX-Expires-In-Ms: 900\r\nX-Customer: %b\r\n\r\n"
                    % (number, name)
                )

    def begin(world):
        for number in range(len(names)):
            world.invariants.clients.request_sent(f"t{number}", "split", 0, S)
        world.spawn(world.client_process, world.client_process.loop.create_connection(Ahead, *world.address))

    made.run(begin, 5 * S)
    ran = {line[2]: line[3].rpartition("-")[0] for line in made.recorder.events if line[1] == "effect"}
    assert ran == {f"t{n}": split.pool_for_key(name) for n, name in enumerate(names)}
    assert len(set(ran.values())) == 2


def test_a_pool_that_is_down_falls_back_and_recovers():
    made = world(
        pool("main", 2, 'fallback = "spare"\nprobes = true'), pool("spare", 2, net=2),
        route("all", 'pool = "main"'), route("submits", 'path = "/s"', 'pool = "main"', kind="submit"),
    )  # fmt: skip

    def die(made):
        for name in made.upstreams_by_pool["main"]:
            made.call_later(5 * S, made.kill, name)
            made.call_later(15 * S, made.restart, name)

    loaded(made, 30, 50 * S, die)
    runs = [(line[0], line[3].rpartition("-")[0]) for line in made.recorder.events if line[1] == "effect"]
    assert {pool for at, pool in runs if at < 6 * S} == {"main"}
    assert "spare" in {pool for at, pool in runs if 8 * S < at < 16 * S}
    assert {pool for at, pool in runs if at > 45 * S} == {"main"}
    assert made.invariants.counts["served"] > 0.9 * made.invariants.counts["asked"]


def test_a_mirror_gets_copies_of_idempotent_requests_and_its_responses_are_dropped():
    made = world(
        pool("main"), pool("dark", net=2),
        route("all", 'pool = "main"', 'mirror = "dark"', 'mirror-share = "50%"'),
        route("submits", 'path = "/s"', 'pool = "main"', kind="submit"),
    )  # fmt: skip

    def hang(made):
        for name in made.upstreams_by_pool["dark"]:
            made.call_later(5 * S, made.inject_fault, name, "hang", 10 * S)

    loaded(made, 40, 20 * S, hang)
    runs = went(made)
    assert made.invariants.counts["served"] == 800 == runs["main"]
    assert 60 < runs["dark"] < 250  # of 400 queries half, and none while it hung


def test_a_limit_rejects_at_once_with_the_time_to_retry():
    made = world(pool("main"), route("all", 'pool = "main"', 'rate = "10/s"', "burst = 5"))
    loaded(made, 50, 10 * S)
    assert 95 <= made.invariants.counts["served"] <= 115
    assert made.invariants.counts["refused"] == 500 - made.invariants.counts["served"]
    held = world(pool("main"), route("all", 'pool = "main"', "concurrency = 1"))

    def hang(made):
        for name in made.upstreams_by_pool["main"]:
            made.call_later(1 * S, made.inject_fault, name, "hang", 3 * S)

    loaded(held, 20, 8 * S, hang)
    assert held.invariants.counts["refused"] > 20
    assert held.program.dispatcher.routes.compiled_routes[0].limit.in_flight == 0


def test_times_and_attempts_are_a_routes_own():
    made = world(
        pool("main", 3, "probes = true"),
        route("quick", 'path = "/q"', 'pool = "main"', 'hop-time = "100ms"'),
        route("once", 'path = "/o"', 'pool = "main"', "attempts = 1"),
    )  # fmt: skip

    def hang(made):
        for number in range(3):
            made.call_later((1 + 3 * number) * S, made.inject_fault, f"main-{number}", "hang", S)

    loaded(made, 40, 10 * S, hang)
    hops = Counter(line[2] for line in made.recorder.events if line[1] == "hop.head")
    named = {line[2]: line[3] for line in made.recorder.events if line[1] == "asked"}
    most = {name: max(hops[trace] for trace in hops if named[trace] == name) for name in ("quick", "once")}
    assert most == {"quick": 2, "once": 1}
    ends = {line[2]: line[0] for line in made.recorder.events if line[1] == "answer"}
    begins = {line[2]: line[0] for line in made.recorder.events if line[1] == "hop.head"}
    slow = [t for t in ends if named[t] == "quick" and ends[t] - begins[t] > 200 * MS]
    assert not slow
    assert part(made, "quick") > 0.98


def test_a_slow_attempt_is_hedged_where_the_route_allows_it():
    made = world(
        pool("main", 3), route("quick", 'path = "/q"', 'pool = "main"', 'second-copy-after = "60ms"'),
        route("plain", 'path = "/p"', 'pool = "main"'),
    )  # fmt: skip

    def slow(made):
        for number in range(3):
            made.call_later((1 + 3 * number) * S, made.inject_fault, f"main-{number}", "hang", S)

    loaded(made, 40, 10 * S, slow)
    named = {line[2]: line[3] for line in made.recorder.events if line[1] == "asked"}
    begins, ends, hops = {}, {}, Counter(line[2] for line in made.recorder.events if line[1] == "hop.head")
    for line in made.recorder.events:
        if line[1] == "hop.head":
            begins.setdefault(line[2], line[0])
        if line[1] == "answer":
            ends[line[2]] = line[0]
    took = {name: max(ends[t] - begins[t] for t in ends if named[t] == name) for name in ("quick", "plain")}
    assert max(hops[t] for t in hops if named[t] == "quick") == 2
    assert took["quick"] < 150 * MS < took["plain"]


def test_a_reload_changes_a_canary_and_removes_a_pool_with_requests_in_flight():
    first = pool("main"), pool("old", net=2), route("all", "pools = { main = 1, old = 1 }")
    then = TOP + pool("main") + pool("new", net=3) + route("all", "pools = { main = 1, new = 3 }")
    made = world(*first)
    loaded(made, 100, 20 * S, lambda made: made.call_later(10 * S, made.reload, {"file.toml": then}))
    runs = [(line[0], line[3].rpartition("-")[0]) for line in made.recorder.events if line[1] == "effect"]
    zero = 11 * S
    before, after = (Counter(p for at, p in runs if (at < zero) is early) for early in (True, False))
    assert before["main"] > 400
    assert before["old"] > 400
    assert not before["new"]
    assert after["old"] <= 3
    assert abs(after["new"] / (after["new"] + after["main"]) - 0.75) < 0.02
    assert made.invariants.counts["served"] == 2_000
    assert set(made.program.dispatcher.pools_by_name) == {
        "main",
        "new",
    }
    assert len(made.program.dispatcher.pools) == 2  # the old one is forgotten


@pytest.mark.parametrize(
    "text",
    ["", TOP, TOP + route("all", 'pool = "main"'), "x = [", TOP + pool("main") + route("all", "pool = 3")],
)
def test_a_faulty_file_changes_nothing(text):
    made = world(pool("main"), route("all", 'pool = "main"'))
    if text == TOP:
        text += pool("main") + route("all", 'pool = "main"', kind="submits")
    loaded(made, 50, 10 * S, lambda made: made.call_later(3 * S, made.reload, {"file.toml": text}))
    assert made.invariants.counts["served"] == 500
    assert made.program.metrics.configs_rejected == 1
    assert made.program.metrics.configs_accepted == 0


def test_an_upstream_in_two_pools_is_excluded_once_for_both():
    twin = pool("one") + pool("one").replace("[pools.one]", "[pools.two]")
    made = world(twin, route("a", 'path = "/a"', 'pool = "one"'), route("b", 'path = "/b"', 'pool = "two"'))
    loaded(made, 50, 20 * S, lambda made: made.call_later(5 * S, lambda: made.program.exclude("one-0", True)))
    late = {line[4] for line in made.recorder.events if line[1] == "hop.head" and line[0] > 6 * S}
    assert late == {"one-1", "one-2"}


def test_a_members_file_is_watched_and_a_partly_written_one_removes_nothing():
    made = world('[pools.filed]\nfile = "members.json"\n', route("all", 'pool = "filed"'))
    path = "/etc/dahliabend/members.json"
    whole = json.loads(made.host.files[path])

    def write(text):
        made.host.files[path] = text

    def act(made):
        made.call_later(4 * S, write, b'{"servers": [')
        made.call_later(8 * S, write, json.dumps({"servers": whole["servers"][:1]}).encode())

    loaded(made, 50, 15 * S, act)
    used = [(line[0], line[4]) for line in made.recorder.events if line[1] == "hop.head"]
    assert len({name for at, name in used if 5 * S < at < 8 * S}) == 3
    assert len({name for at, name in used if at > 11 * S}) == 1
    assert made.invariants.counts["served"] == 750


@pytest.mark.parametrize("seed", [0, 4, 10, 22, 36, 58])
def test_sound_files_are_served_through_faults_without_a_violation(seed):
    """Some of the corpus, for half a minute each; tests/routing_rules/play.py plays all for five."""
    drawn = Random(seed)
    made = OperatorFileSimulation(generate_operator_files(seed).files, seed)

    def troubles(made):
        for second in range(0, 30, 5):
            name = drawn.choice(sorted(made.upstreams))
            made.call_later(second * S, made.inject_fault, name, drawn.choice(FAULT_KINDS), 3 * S)

    loaded(made, 20, 30 * S, troubles)
    assert made.invariants.counts["served"] > 300


async def serve(folder):
    """A file with two pools on real sockets, asked, reloaded and ended."""
    loop, seen, rng = asyncio.get_running_loop(), [], Random(5)
    listen, *rest = free_addresses(5)
    for number, text in enumerate(rest):
        host, port = text.split(":")
        spec = UpstreamSpec(f"s-{number}", host, int(port), "a", number, mean_work=2_000)
        await Upstream(spec, loop, lambda *event: seen.append(event), rng, 0, lambda: False).open()
    rows = [f'{{ id = "s-{n}", address = "{address}" }}' for n, address in enumerate(rest)]
    pools = (
        f"[pools.main]\nmembers = [{rows[0]}, {rows[1]}]\n[pools.next]\nmembers = [{rows[2]}, {rows[3]}]\n"
    )
    path = folder / "file.toml"
    text = TOP.replace("127.0.0.1:8080", listen) + pools + route("all", 'pool = "main"')
    path.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "dahliabend", "serve", str(path), stderr=asyncio.subprocess.PIPE,
        env={**os.environ},
    )  # fmt: skip
    place = listen.split(":")[0], int(listen.split(":")[1])
    try:
        while (await call(loop, place, "GET", "/-/ready"))[0] != 200:
            await asyncio.sleep(0.05)
        for turn in range(2):
            clients = Clients(
                loop, lambda *event: seen.append(event), rng, ConnectionRotation([place]), f"c{turn}-"
            )
            for _ in range(40):
                clients.send(ClientRequest(clients.next_trace_id(), "query", S, S))
                await asyncio.sleep(0.004)
            while clients.open_requests:
                await asyncio.sleep(0.01)
            path.write_text(text.replace('pool = "main"', 'pool = "next"'))
            process.send_signal(1)
            while b"reload.applied" not in await process.stderr.readline():
                pass
    finally:
        process.terminate()
        await process.wait()
    return seen


def test_a_file_is_served_and_reloaded_on_loopback(tmp_path):
    seen = asyncio.run(asyncio.wait_for(serve(tmp_path), 20))
    answers = Counter(event[2] for event in seen if event[0] == "answer")
    pools = {event[1][:2]: set() for event in seen if event[0] == "effect"}
    for event in seen:
        if event[0] == "effect":
            pools[event[1][:2]].add(event[2])
    assert answers == {200: 80}
    assert pools["c0"] <= {"s-0", "s-1"}
    assert pools["c1"] <= {"s-2", "s-3"}
