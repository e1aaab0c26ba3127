"""Runs the simulation's peers on real loopback sockets, with the balancer in a process of its own."""

import asyncio
import json
import os
import sys
from collections import Counter
from random import Random

from helpers import CONF, free_addresses

from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.clients import Clients
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation
from dahliabend.simulation.peers.discovery import Agent, Registry
from dahliabend.simulation.peers.operators import call
from dahliabend.simulation.peers.upstream import Upstream
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec

S = 1_000_000
REQUESTS = 60


def parse_address(address):
    host, port = address.split(":")
    return host, int(port)


async def run_requests(path):
    """Send requests, reset an upstream's connections halfway, and return the events that peers recorded."""
    loop, events, rng = asyncio.get_running_loop(), [], Random(5)

    def recorder(*event):
        events.append(event)

    listen_address, discovery_address, *upstreams = free_addresses(5)
    registry, servers = Registry(), []
    for number, address in enumerate(upstreams):
        spec = UpstreamSpec(
            f"s-{number}", *parse_address(address), "a", number, mean_work=3_000, answers_health_checks=True
        )
        server = Upstream(spec, loop, recorder, rng, 0, lambda: False)
        await server.open()
        servers.append(server)
        registry.put(
            {"id": spec.name, "addr": address, "zone": "a", "cell": number, "state": "up", "started_ms": 0}
        )
    agent = Agent(registry, loop, recorder, rng, 1_000)
    await agent.open(*parse_address(discovery_address))
    path.write_text(json.dumps({"listen": listen_address, "discovery": discovery_address, "settings": CONF}))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "dahliabend", stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PROXY_CONFIG": str(path)},
    )  # fmt: skip
    try:
        while (await call(loop, parse_address(listen_address), "GET", "/-/ready"))[0] != 200:
            await asyncio.sleep(0.02)
        clients = Clients(loop, recorder, rng, ConnectionRotation([parse_address(listen_address)]), "c")
        for number in range(REQUESTS):
            name = "submit" if number % 3 else "query"
            clients.send(
                ClientRequest(
                    clients.next_trace_id(), name, 2 * S, 2 * S, body=b"x" * 100 if number % 3 else b""
                )
            )
            if number == REQUESTS // 2:
                servers[0].reset_all()
            await asyncio.sleep(0.005)
        while clients.open_requests:
            await asyncio.sleep(0.01)
    finally:
        process.terminate()
        await process.wait()
    return events


def test_peers_behave_on_loopback_sockets_as_in_the_simulation(tmp_path):
    events = asyncio.run(asyncio.wait_for(run_requests(tmp_path / "config.json"), 20))
    answers = Counter(event[1] for event in events if event[0] == "answer")
    effects = Counter(event[1] for event in events if event[0] == "effect")
    made = {(event[1], event[2]) for event in events if event[0] == "made"}
    submits = {event[1] for event in events if event[0] == "asked" and event[2] == "submit"}
    assert len(answers) == REQUESTS
    assert set(answers.values()) == {1}
    assert all(effects[trace_id] <= 1 for trace_id in submits)
    served = [event for event in events if event[0] == "answer" and event[2] == 200]
    assert len(served) > REQUESTS // 2
    assert all((event[1], event[3]) in made for event in served)
