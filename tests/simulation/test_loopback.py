"""The emulator's peers on real loopback sockets, before the program as it is started in service."""

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


def place(address):
    host, port = address.split(":")
    return host, int(port)


async def play(path):
    """What peers saw of some requests, one upstream reset in the middle of them."""
    loop, seen, rng = asyncio.get_running_loop(), [], Random(5)

    def recorder(*event):
        seen.append(event)

    listen, listing, *upstreams = free_addresses(5)
    registry, servers = Registry(), []
    for number, address in enumerate(upstreams):
        spec = UpstreamSpec(
            f"s-{number}", *place(address), "a", number, mean_work=3_000, answers_health_checks=True
        )
        server = Upstream(spec, loop, recorder, rng, 0, lambda: False)
        await server.open()
        servers.append(server)
        registry.put(
            {"id": spec.name, "addr": address, "zone": "a", "cell": number, "state": "up", "started_ms": 0}
        )
    agent = Agent(registry, loop, recorder, rng, 1_000)
    await agent.open(*place(listing))
    path.write_text(json.dumps({"listen": listen, "discovery": listing, "settings": CONF}))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "dahliabend", stderr=asyncio.subprocess.DEVNULL,
        env={**os.environ, "PROXY_CONFIG": str(path)},
    )  # fmt: skip
    try:
        while (await call(loop, place(listen), "GET", "/-/ready"))[0] != 200:
            await asyncio.sleep(0.02)
        clients = Clients(loop, recorder, rng, ConnectionRotation([place(listen)]), "c")
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
    return seen


def test_peers_behave_on_loopback_sockets_as_in_the_simulation(tmp_path):
    seen = asyncio.run(asyncio.wait_for(play(tmp_path / "config.json"), 20))
    answers = Counter(event[1] for event in seen if event[0] == "answer")
    effects = Counter(event[1] for event in seen if event[0] == "effect")
    made = {(event[1], event[2]) for event in seen if event[0] == "made"}
    submits = {event[1] for event in seen if event[0] == "asked" and event[2] == "submit"}
    assert len(answers) == REQUESTS
    assert set(answers.values()) == {1}
    assert all(effects[trace] <= 1 for trace in submits)
    served = [event for event in seen if event[0] == "answer" and event[2] == 200]
    assert len(served) > REQUESTS // 2
    assert all((event[1], event[3]) in made for event in served)
