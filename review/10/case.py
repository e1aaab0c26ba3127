"""Replacing the process: do requests of one key still run one at a time?"""

import asyncio
import itertools
import random
import signal
import socket
from pathlib import Path

from rig import STATUS_OK, Arrival, Case, CaseError, Client, main, profile, settings, trouble

UPSTREAMS = 6
CLIENTS = 8
KEYS = ("hive-17", "hive-42")
WORK = (0.08, 0.15)  # seconds
PAUSE = (0.1, 0.4)  # seconds between two requests of a client
BEFORE = 3.0  # seconds of traffic before the replacement
OVERLAP = 2.0  # seconds from the new process's yes to SIGTERM to the old one
AFTER = 5.0  # seconds of traffic after SIGTERM
EXPIRES_MS = 2500
STATE_TIME = 6.0  # seconds within which the new process has to say yes


async def traffic(case: Case, client: Client, is_over: asyncio.Event, seed: int) -> None:
    """Send readings one after another, each on a connection of its own, as the front deals them out."""
    chance = random.Random(seed)
    while not is_over.is_set():
        key = chance.choice(KEYS)
        # `X-Item` is what the project reads; `X-Object` is the name of the operators' file of names.
        await client.call("GET", "/scale-reading", EXPIRES_MS, {"X-Item": key, "X-Object": key})
        client.close()
        await asyncio.sleep(chance.uniform(*PAUSE))
    case.record.add(f"{client.name}: done")


def overlaps(arrivals: list[Arrival]) -> list[str]:
    """Return the requests that were sent while another one of their key was out."""
    breaks = []
    for key in KEYS:
        ordered = sorted(
            (each for each in arrivals if each.headers.get("x-item") == key), key=lambda each: each.began_at
        )
        for earlier, later in itertools.pairwise(ordered):
            ended_at = earlier.answered_at or float("inf")
            if later.began_at < ended_at and later.trace_id != earlier.trace_id:
                breaks.append(
                    f"{key}: {later.trace_id} began at {later.upstream} at {later.began_at:.3f}, while "
                    f"{earlier.trace_id} was out at {earlier.upstream} until {ended_at:.3f}"
                )
    return breaks


async def replace_process(case: Case, discovery: tuple[str, int], listener: socket.socket) -> None:
    """Start the new process beside the old one, and end that one once the new one has said yes."""
    new = case.balancer("n0-new")
    new.name = "n0"
    new.address = listener.getsockname()
    new.config_path = case.folder / "n0.json"
    await new.start(discovery, case.folder / "shared", listener)
    async with asyncio.timeout(STATE_TIME):
        await new.wait_ready(new.admin, "/api/ready")
    await asyncio.sleep(OVERLAP)


async def play(case: Case) -> list[str]:
    """Return the requests that did not wait for their turn."""
    discovery = await case.discovery()
    upstreams = await case.upstreams(UPSTREAMS, lambda: random.uniform(*WORK))
    discovery.put_all([upstream.entry() for upstream in upstreams])
    Path(case.folder / "shared").mkdir()
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    old = case.balancer("n0")
    old.address = listener.getsockname()
    classes = [
        profile("scale-reading", "idempotent", 1200.0, 2500.0, **{"in-order": True}),
        profile("hive-history", "idempotent", 2500.0, 6000.0),
    ]
    table = settings(classes, balancers=1, contract={"order-pause": 100.0}, caps={"most-hops": 4})
    old.write_config(discovery.address, discovery.listing(), table)
    await old.start(discovery.address, case.folder / "shared", listener)
    await old.wait_ready(old.admin, "/api/ready")
    is_over = asyncio.Event()
    clients = [case.client(old.address, f"c-{number}") for number in range(CLIENTS)]
    calls = [
        asyncio.ensure_future(traffic(case, client, is_over, seed)) for seed, client in enumerate(clients)
    ]
    await asyncio.sleep(BEFORE)
    if trouble():
        await replace_process(case, discovery.address, listener)
        old.send_signal(signal.SIGTERM)
    await asyncio.sleep(AFTER)
    is_over.set()
    await asyncio.gather(*calls)
    listener.close()
    answers = [answer for client in clients for answer in client.answers]
    served = sum(answer.status == STATUS_OK for answer in answers)
    case.record.add(f"{len(answers)} requests, {served} served")
    if not served:
        raise CaseError("nothing was served")
    return overlaps([arrival for upstream in upstreams for arrival in upstream.arrivals])


main(__file__, play)
