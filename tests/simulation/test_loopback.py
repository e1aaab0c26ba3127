"""The peers of the simulation on real loopback sockets, with the balancer as a separate process."""

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

MICROSECONDS_PER_SECOND = 1_000_000
REQUESTS = 60


def parse_address(address):
    host, port = address.split(":")
    return host, int(port)


async def record_events(path):
    """Return the events of the peers for REQUESTS requests; one upstream resets its connections midway."""
    loop, events, rng = asyncio.get_running_loop(), [], Random(5)

    def recorder(*event):
        events.append(event)

    listen_address, discovery_address, *upstream_addresses = free_addresses(5)
    registry, upstreams = Registry(), []
    for number, address in enumerate(upstream_addresses):
        spec = UpstreamSpec(
            f"s-{number}", *parse_address(address), "a", number, mean_work=3_000, answers_health_checks=True
        )
        upstream = Upstream(spec, loop, recorder, rng, 0, lambda: False)
        await upstream.open()
        upstreams.append(upstream)
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
            class_name = "submit" if number % 3 else "query"
            clients.send(
                ClientRequest(
                    clients.next_trace_id(),
                    class_name,
                    2 * MICROSECONDS_PER_SECOND,
                    2 * MICROSECONDS_PER_SECOND,
                    body=b"x" * 100 if number % 3 else b"",
                )
            )
            if number == REQUESTS // 2:
                upstreams[0].reset_all()
            await asyncio.sleep(0.005)
        while clients.open_requests:
            await asyncio.sleep(0.01)
    finally:
        process.terminate()
        await process.wait()
    return events


def test_peers_behave_on_loopback_sockets_as_in_the_simulation(tmp_path):
    events = asyncio.run(asyncio.wait_for(record_events(tmp_path / "config.json"), 20))
    answers = Counter(event[1] for event in events if event[0] == "answer")
    effects = Counter(event[1] for event in events if event[0] == "effect")
    made_responses = {(event[1], event[2]) for event in events if event[0] == "made"}
    submit_trace_ids = {event[1] for event in events if event[0] == "asked" and event[2] == "submit"}
    assert len(answers) == REQUESTS
    assert set(answers.values()) == {1}
    assert all(effects[trace_id] <= 1 for trace_id in submit_trace_ids)
    successes = [event for event in events if event[0] == "answer" and event[2] == 200]
    assert len(successes) > REQUESTS // 2
    assert all((event[1], event[3]) in made_responses for event in successes)
