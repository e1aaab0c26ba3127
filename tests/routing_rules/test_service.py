"""A balancer with an operator's file, in the simulation and once on loopback sockets."""

import asyncio
import json
import os
import re
import signal
import sys
from collections import Counter
from random import Random

import pytest
from corpus import generate_operator_files
from helpers import free_addresses

from dahliabend.routing_rules.weighted_split import WeightedSplit
from dahliabend.server.operator_file_loading import (
    InvalidOperatorFileError,
    load_usable_file,
    reload_usable_file,
)
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


def pool(name, count=3, settings="", net=1):
    members = ", ".join(
        f'{{ id = "{name}-{n}", address = "10.{net}.{len(name)}.{n + 1}:80" }}' for n in range(count)
    )
    return f"[pools.{name}]\n{settings}\nmembers = [{members}]\n"


def route(name, *settings, class_name="query"):
    return "\n".join(("[[routes]]", f'name = "{name}"', f'class = "{class_name}"', *settings)) + "\n"


def make_simulation(*tables, seed=1):
    return OperatorFileSimulation({"file.toml": TOP + "\n".join(tables)}, seed)


def events_of(simulation, event_name):
    return [event for event in simulation.recorder.events if event[1] == event_name]


def times_and_pools_of_executions(simulation):
    """Return the time (us) and the pool of every execution of a request by an upstream."""
    return [(event[0], event[3].rpartition("-")[0]) for event in events_of(simulation, "effect")]


def executions_by_pool(simulation):
    """Return the number of executed requests by pool."""
    return Counter(pool for _, pool in times_and_pools_of_executions(simulation))


def run_under_load(simulation, rate, duration, schedule_events=lambda simulation: None):
    """Send requests to all routes at a rate per second for a duration (us); no invariant may be violated."""

    def start(simulation):
        simulation.load(simulation.load_file().file, rate, duration)
        schedule_events(simulation)

    simulation.run(start, duration)
    violations = simulation.invariants.violations
    assert not violations, [str(violation) for violation in violations]
    return simulation


def in_time_fraction(simulation, route_name):
    """Return the fraction of a route's requests that were answered in time."""
    tally = simulation.invariants.tally[route_name]
    return tally.in_time / tally.asked


def test_a_canary_gets_its_share_and_a_failing_one_does_not_affect_other_routes():
    """Splits 20,000 requests; then, beside another route, the canary fails nine of ten requests."""

    def schedule_failures(simulation):
        for name in simulation.upstreams_by_pool["next"]:
            simulation.call_later(20 * S, simulation.inject_fault, name, "fail", 60 * S)

    tables = pool("main", 4), pool("next", 2, net=2), route("split", "pools = { main = 90, next = 10 }")
    simulation = run_under_load(make_simulation(*tables), 200, 100 * S)
    attempts_by_pool = Counter(event[4].rpartition("-")[0] for event in events_of(simulation, "hop.head"))
    assert simulation.invariants.counts["asked"] == 20_000
    assert abs(attempts_by_pool["next"] / 20_000 - 0.10) <= 0.01
    tables += (route("own", 'path = "/own"', 'pool = "main"'),)
    fraction_without_fault = in_time_fraction(run_under_load(make_simulation(*tables), 100, 20 * S), "own")
    simulation = run_under_load(make_simulation(*tables), 100, 60 * S, schedule_failures)
    assert abs(in_time_fraction(simulation, "own") - fraction_without_fault) <= 0.01
    assert simulation.invariants.counts["refused"] > 0  # by the reduction percentages of the canary's pool


def test_requests_split_by_a_header_stay_in_one_pool():
    simulation = make_simulation(
        pool("main"), pool("next", net=2),
        route("split", "pools = { main = 1, next = 1 }", 'split-by = "X-Customer"'),
    )  # fmt: skip

    def start(simulation):
        file = simulation.load_file().file
        for number in range(200):
            client_request = simulation.make_request(file, 0, (("X-Customer", f"c{number % 10}"),))
            client_request.query_string = b"?c%d" % (number % 10)
            simulation.scheduler.call_at(
                simulation.scheduler.now + number * 20_000,
                simulation.client_process,
                simulation.clients.send,
                client_request,
            )

    simulation.run(start, 5 * S)
    assert not simulation.invariants.violations
    assert len(executions_by_pool(simulation)) == 2
    pools_by_customer = {}
    for event in events_of(simulation, "effect"):
        customer = (int(event[2][1:]) - 1) % 10
        pools_by_customer.setdefault(customer, set()).add(event[3].rpartition("-")[0])
    assert all(len(pools) == 1 for pools in pools_by_customer.values())
    assert len(pools_by_customer) == 10


def test_pipelined_requests_are_split_by_their_own_headers():
    simulation = make_simulation(
        pool("main"), pool("next", net=2),
        route("split", "pools = { main = 1, next = 1 }", 'split-by = "X-Customer"'),
    )  # fmt: skip
    split = WeightedSplit(["main", "next"], [1, 1], b"split")
    customers = [b"c%d" % n for n in range(8)]

    class PipeliningClient(asyncio.Protocol):
        def connection_made(self, transport):
            for number, name in enumerate(customers):
                transport.write(
                    b"GET / HTTP/1.1\r\nX-Trace-Id: t%d\r\nX-Expires-In-Ms: 900\r\nX-Customer: %b\r\n\r\n"
                    % (number, name)
                )

    def start(simulation):
        for number in range(len(customers)):
            simulation.invariants.clients.request_sent(f"t{number}", "split", 0, S)
        simulation.spawn(
            simulation.client_process,
            simulation.client_process.loop.create_connection(PipeliningClient, *simulation.address),
        )

    simulation.run(start, 5 * S)
    pool_by_trace_id = {event[2]: event[3].rpartition("-")[0] for event in events_of(simulation, "effect")}
    assert pool_by_trace_id == {f"t{n}": split.pool_for_key(name) for n, name in enumerate(customers)}
    assert len(set(pool_by_trace_id.values())) == 2


def test_a_pool_that_is_down_falls_back_and_recovers():
    simulation = make_simulation(
        pool("main", 2, 'fallback = "spare"\nprobes = true'), pool("spare", 2, net=2),
        route("all", 'pool = "main"'), route("submits", 'path = "/s"', 'pool = "main"', class_name="submit"),
    )  # fmt: skip

    def schedule_outage(simulation):
        for name in simulation.upstreams_by_pool["main"]:
            simulation.call_later(5 * S, simulation.kill, name)
            simulation.call_later(15 * S, simulation.restart, name)

    run_under_load(simulation, 30, 50 * S, schedule_outage)
    executions = times_and_pools_of_executions(simulation)
    assert {pool for at, pool in executions if at < 6 * S} == {"main"}
    assert "spare" in {pool for at, pool in executions if 8 * S < at < 16 * S}
    assert {pool for at, pool in executions if at > 45 * S} == {"main"}
    assert simulation.invariants.counts["served"] > 0.9 * simulation.invariants.counts["asked"]


def test_a_mirror_gets_copies_of_idempotent_requests_and_its_responses_are_dropped():
    simulation = make_simulation(
        pool("main"), pool("dark", net=2),
        route("all", 'pool = "main"', 'mirror = "dark"', 'mirror-share = "50%"'),
        route("submits", 'path = "/s"', 'pool = "main"', class_name="submit"),
    )  # fmt: skip

    def schedule_hang(simulation):
        for name in simulation.upstreams_by_pool["dark"]:
            simulation.call_later(5 * S, simulation.inject_fault, name, "hang", 10 * S)

    run_under_load(simulation, 40, 20 * S, schedule_hang)
    executions = executions_by_pool(simulation)
    assert simulation.invariants.counts["served"] == 800 == executions["main"]
    assert 60 < executions["dark"] < 250  # half of the 400 queries, but none while the mirror hangs


def test_a_limit_rejects_excess_requests_and_counts_no_ended_request_as_in_flight():
    simulation = make_simulation(pool("main"), route("all", 'pool = "main"', 'rate = "10/s"', "burst = 5"))
    run_under_load(simulation, 50, 10 * S)
    assert 95 <= simulation.invariants.counts["served"] <= 115
    assert simulation.invariants.counts["refused"] == 500 - simulation.invariants.counts["served"]
    saturated = make_simulation(pool("main"), route("all", 'pool = "main"', "concurrency = 1"))

    def schedule_hang(simulation):
        for name in simulation.upstreams_by_pool["main"]:
            simulation.call_later(1 * S, simulation.inject_fault, name, "hang", 3 * S)

    run_under_load(saturated, 20, 8 * S, schedule_hang)
    assert saturated.invariants.counts["refused"] > 20
    assert saturated.program.dispatcher.routes.compiled_routes[0].limit.in_flight == 0


def test_each_route_has_its_own_attempt_timeout_and_number_of_attempts():
    simulation = make_simulation(
        pool("main", 3, "probes = true"),
        route("quick", 'path = "/q"', 'pool = "main"', 'hop-time = "100ms"'),
        route("once", 'path = "/o"', 'pool = "main"', "attempts = 1"),
    )  # fmt: skip

    def schedule_hangs(simulation):
        for number in range(3):
            simulation.call_later((1 + 3 * number) * S, simulation.inject_fault, f"main-{number}", "hang", S)

    run_under_load(simulation, 40, 10 * S, schedule_hangs)
    attempt_counts = Counter(event[2] for event in events_of(simulation, "hop.head"))
    route_by_trace_id = {event[2]: event[3] for event in events_of(simulation, "asked")}
    max_attempts = {
        name: max(
            attempt_counts[trace_id] for trace_id in attempt_counts if route_by_trace_id[trace_id] == name
        )
        for name in ("quick", "once")
    }
    assert max_attempts == {"quick": 2, "once": 1}
    answered_at = {event[2]: event[0] for event in events_of(simulation, "answer")}
    last_attempt_at = {event[2]: event[0] for event in events_of(simulation, "hop.head")}
    slow_trace_ids = [
        trace_id
        for trace_id in answered_at
        if route_by_trace_id[trace_id] == "quick"
        and answered_at[trace_id] - last_attempt_at[trace_id] > 200 * MS
    ]
    assert not slow_trace_ids
    assert in_time_fraction(simulation, "quick") > 0.98


def test_a_slow_attempt_is_hedged_where_the_route_allows_it():
    simulation = make_simulation(
        pool("main", 3), route("quick", 'path = "/q"', 'pool = "main"', 'second-copy-after = "60ms"'),
        route("plain", 'path = "/p"', 'pool = "main"'),
    )  # fmt: skip

    def schedule_hangs(simulation):
        for number in range(3):
            simulation.call_later((1 + 3 * number) * S, simulation.inject_fault, f"main-{number}", "hang", S)

    run_under_load(simulation, 40, 10 * S, schedule_hangs)
    route_by_trace_id = {event[2]: event[3] for event in events_of(simulation, "asked")}
    attempt_counts = Counter(event[2] for event in events_of(simulation, "hop.head"))
    first_attempt_at = {}
    for event in events_of(simulation, "hop.head"):
        first_attempt_at.setdefault(event[2], event[0])
    answered_at = {event[2]: event[0] for event in events_of(simulation, "answer")}
    max_latency = {
        name: max(
            answered_at[trace_id] - first_attempt_at[trace_id]
            for trace_id in answered_at
            if route_by_trace_id[trace_id] == name
        )
        for name in ("quick", "plain")
    }
    quick_attempts = [
        count for trace_id, count in attempt_counts.items() if route_by_trace_id[trace_id] == "quick"
    ]
    assert max(quick_attempts) == 2
    assert max_latency["quick"] < 150 * MS < max_latency["plain"]


def test_a_reload_changes_a_canary_and_removes_a_pool_with_requests_in_flight():
    tables = pool("main"), pool("old", net=2), route("all", "pools = { main = 1, old = 1 }")
    replacement = TOP + pool("main") + pool("new", net=3) + route("all", "pools = { main = 1, new = 3 }")
    simulation = make_simulation(*tables)
    run_under_load(
        simulation,
        100,
        20 * S,
        lambda simulation: simulation.call_later(10 * S, simulation.reload, {"file.toml": replacement}),
    )
    executions = times_and_pools_of_executions(simulation)
    reloaded_at = 11 * S
    before = Counter(pool for at, pool in executions if at < reloaded_at)
    after = Counter(pool for at, pool in executions if at >= reloaded_at)
    assert before["main"] > 400
    assert before["old"] > 400
    assert not before["new"]
    assert after["old"] <= 3
    assert abs(after["new"] / (after["new"] + after["main"]) - 0.75) < 0.02
    assert simulation.invariants.counts["served"] == 2_000
    assert set(simulation.program.dispatcher.pools_by_name) == {"main", "new"}
    assert len(simulation.program.dispatcher.pools) == 2  # the retired pool has been removed


@pytest.mark.parametrize(
    "text",
    ["", TOP, TOP + route("all", 'pool = "main"'), "x = [", TOP + pool("main") + route("all", "pool = 3")],
)
def test_a_reload_of_a_faulty_file_is_rejected_and_changes_nothing(text):
    simulation = make_simulation(pool("main"), route("all", 'pool = "main"'))
    if text == TOP:
        text += pool("main") + route("all", 'pool = "main"', class_name="submits")
    run_under_load(
        simulation,
        50,
        10 * S,
        lambda simulation: simulation.call_later(3 * S, simulation.reload, {"file.toml": text}),
    )
    assert simulation.invariants.counts["served"] == 500
    assert simulation.program.metrics.configs_rejected == 1
    assert simulation.program.metrics.configs_accepted == 0


DEDUPLICATED_CLASS = """
[classes.book]
effect = "journalled"
service-goal = "400ms"
hard-limit = "1s"
group = "cell"
repeat-window = "8s"
"""
POOL_OF_CELLS = """
[pools.main]
balancers = 4
cold = { share = "25%", time = "20s" }
members = [
  { id = "m-0", address = "10.1.4.1:80", cell = 1 },
  { id = "m-1", address = "10.1.4.2:80", cell = 2 },
]
"""
GUARDED_TABLES = DEDUPLICATED_CLASS + POOL_OF_CELLS + route("all", 'pool = "main"', class_name="book")


# Guards against a default in place of a key that a table or an entry of a list has lost.
@pytest.mark.parametrize(
    ("line", "replacement", "key"),
    [
        ('group = "cell"\n', "", "classes.book.group"),
        ("balancers = 4\n", "", "pools.main.balancers"),
        ('cold = { share = "25%", time = "20s" }\n', "", "pools.main.cold"),
        (', time = "20s"', "", "pools.main.cold.time"),
        (", cell = 2", "", "pools.main.members[1].cell"),
    ],
)
def test_a_file_that_lacks_a_key_in_force_whose_default_would_loosen_a_rule_is_rejected(
    line, replacement, key, tmp_path
):
    path = tmp_path / "file.toml"
    path.write_text(TOP + GUARDED_TABLES)
    in_force = load_usable_file(str(path), {})
    path.write_text((TOP + GUARDED_TABLES).replace(line, replacement))
    with pytest.raises(InvalidOperatorFileError, match=rf"^{path}:\d+: {re.escape(key)}: is missing"):
        reload_usable_file(str(path), {}, in_force)


def test_a_class_or_an_upstream_may_be_removed_as_a_whole(tmp_path):
    path = tmp_path / "file.toml"
    path.write_text(TOP + GUARDED_TABLES)
    in_force = load_usable_file(str(path), {})
    members = 'members = [{ id = "m-1", address = "10.1.4.2:80", cell = 2 }]'
    path.write_text(
        TOP
        + POOL_OF_CELLS.partition("members")[0]
        + members
        + "\n"
        + route("all", 'pool = "main"', class_name="submit")
    )
    assert "book" not in reload_usable_file(str(path), {}, in_force).file.classes


def test_a_reload_of_a_file_whose_class_lacks_its_group_changes_nothing():
    simulation = make_simulation(GUARDED_TABLES)
    text = (TOP + GUARDED_TABLES).replace('group = "cell"', "")
    run_under_load(
        simulation,
        50,
        4 * S,
        lambda simulation: simulation.call_later(2 * S, simulation.reload, {"file.toml": text}),
    )
    metrics = simulation.program.metrics
    assert (metrics.configs_accepted, metrics.configs_rejected) == (0, 1)
    assert simulation.program.configuration.file.classes["book"].group == "cell"


def test_excluding_an_upstream_excludes_it_from_all_its_pools():
    pools_with_same_members = pool("one") + pool("one").replace("[pools.one]", "[pools.two]")
    simulation = make_simulation(
        pools_with_same_members,
        route("a", 'path = "/a"', 'pool = "one"'),
        route("b", 'path = "/b"', 'pool = "two"'),
    )
    run_under_load(
        simulation,
        50,
        20 * S,
        lambda simulation: simulation.call_later(5 * S, lambda: simulation.program.exclude("one-0", True)),
    )
    upstreams_after_exclusion = {event[4] for event in events_of(simulation, "hop.head") if event[0] > 6 * S}
    assert upstreams_after_exclusion == {"one-1", "one-2"}


def test_changes_of_a_members_file_are_applied_and_a_truncated_file_removes_nothing():
    simulation = make_simulation('[pools.filed]\nfile = "members.json"\n', route("all", 'pool = "filed"'))
    path = "/etc/dahliabend/members.json"
    members = json.loads(simulation.host.files[path])["servers"]

    def write_members_file(content):
        simulation.host.files[path] = content

    def schedule_writes(simulation):
        simulation.call_later(4 * S, write_members_file, b'{"servers": [')
        simulation.call_later(8 * S, write_members_file, json.dumps({"servers": members[:1]}).encode())

    run_under_load(simulation, 50, 15 * S, schedule_writes)
    attempts = [(event[0], event[4]) for event in events_of(simulation, "hop.head")]
    assert len({upstream for at, upstream in attempts if 5 * S < at < 8 * S}) == 3
    assert len({upstream for at, upstream in attempts if at > 11 * S}) == 1
    assert simulation.invariants.counts["served"] == 750


@pytest.mark.parametrize("seed", [0, 4, 10, 22, 36, 58])
def test_files_without_faults_are_served_through_upstream_faults_without_a_violation(seed):
    """Some files of the corpus for 30 s each; tests/routing_rules/play.py runs all of them for 5 minutes."""
    rng = Random(seed)
    simulation = OperatorFileSimulation(generate_operator_files(seed).files, seed)

    def schedule_faults(simulation):
        for second in range(0, 30, 5):
            name = rng.choice(sorted(simulation.upstreams))
            simulation.call_later(second * S, simulation.inject_fault, name, rng.choice(FAULT_KINDS), 3 * S)

    run_under_load(simulation, 20, 30 * S, schedule_faults)
    assert simulation.invariants.counts["served"] > 300


async def serve_and_reload(folder):
    """Serve a file with two pools on real sockets, and reload it with the route changed to the other pool.

    Returns the events of clients and upstreams: 40 requests before the reload and 40 after it.
    """
    loop = asyncio.get_running_loop()
    rng = Random(5)
    events = []
    listen_address, *upstream_addresses = free_addresses(5)
    for number, address in enumerate(upstream_addresses):
        host, port = address.split(":")
        spec = UpstreamSpec(f"s-{number}", host, int(port), "a", number, mean_work=2_000)
        await Upstream(spec, loop, lambda *event: events.append(event), rng, 0, lambda: False).open()
    members = [f'{{ id = "s-{n}", address = "{address}" }}' for n, address in enumerate(upstream_addresses)]
    pools = (
        f"[pools.main]\nmembers = [{members[0]}, {members[1]}]\n"
        f"[pools.next]\nmembers = [{members[2]}, {members[3]}]\n"
    )
    path = folder / "file.toml"
    text = TOP.replace("127.0.0.1:8080", listen_address) + pools + route("all", 'pool = "main"')
    path.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "dahliabend", "serve", str(path), stderr=asyncio.subprocess.PIPE,
        env={**os.environ},
    )  # fmt: skip
    listen_host_and_port = listen_address.split(":")[0], int(listen_address.split(":")[1])
    try:
        while (await call(loop, listen_host_and_port, "GET", "/-/ready"))[0] != 200:
            await asyncio.sleep(0.05)
        for run_number in range(2):
            rotation = ConnectionRotation([listen_host_and_port])
            clients = Clients(loop, lambda *event: events.append(event), rng, rotation, f"c{run_number}-")
            for _ in range(40):
                clients.send(ClientRequest(clients.next_trace_id(), "query", S, S))
                await asyncio.sleep(0.004)
            while clients.open_requests:
                await asyncio.sleep(0.01)
            path.write_text(text.replace('pool = "main"', 'pool = "next"'))
            process.send_signal(signal.SIGHUP)
            while b"reload.applied" not in await process.stderr.readline():
                pass
    finally:
        process.terminate()
        await process.wait()
    return events


def test_a_file_is_served_and_reloaded_on_loopback(tmp_path):
    events = asyncio.run(asyncio.wait_for(serve_and_reload(tmp_path), 20))
    answers_by_status = Counter(event[2] for event in events if event[0] == "answer")
    upstreams_by_run = {event[1][:2]: set() for event in events if event[0] == "effect"}
    for event in events:
        if event[0] == "effect":
            upstreams_by_run[event[1][:2]].add(event[2])
    assert answers_by_status == {200: 80}
    assert upstreams_by_run["c0"] <= {"s-0", "s-1"}
    assert upstreams_by_run["c1"] <= {"s-2", "s-3"}
