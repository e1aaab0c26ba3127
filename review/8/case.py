"""Taking an upstream out of a large fleet: is the ban kept after many others were replaced?"""

import asyncio
import json
import random
import resource

from rig import (
    STATUS_OK,
    Case,
    CaseError,
    Client,
    Discovery,
    Upstream,
    get_status,
    main,
    profile,
    settings,
    trouble,
)

FLEET = 3200  # upstreams, the largest fleet that the pages name
REPLACED = 0.6  # "six in ten upstreams are replaced within 7 s"
REPLACE_TIME = 7.0  # seconds
STEPS = 14
RATE = 100.0  # requests a second
WORK = (0.01, 0.03)  # seconds
BALANCERS = 20
RECENT = 5.0  # seconds before the replacement in which the upstream was used
BEFORE = 14.0  # seconds of traffic before the replacement
BAN_AFTER = 1.0  # seconds after the call, if there was no yes
SLACK = 0.05  # seconds by which each limit is longer on sockets
OWN_LATENESS = 0.2  # seconds that the stand-ins may be late
AFTER = 15.0  # seconds of traffic after the call
EXPIRES_MS = 2000


async def traffic(clients: list[Client], is_over: asyncio.Event) -> None:
    """Send requests at random times."""
    chance = random.Random(12)
    free = list(clients)
    calls = []

    async def call(client: Client) -> None:
        await client.call("GET", "/reading-query", EXPIRES_MS)
        free.append(client)

    while not is_over.is_set():
        await asyncio.sleep(chance.expovariate(RATE))
        if free:
            calls.append(asyncio.ensure_future(call(free.pop(0))))
    await asyncio.gather(*calls)


def fleet_address(number: int) -> str:
    """Return the loopback address of an upstream's machine."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}"


async def replace(case: Case, discovery: Discovery, gone: list[Upstream]) -> None:
    """Replace upstreams step by step: new ids, on the machines of those that have gone.

    Those that have gone end half a second later, when their last requests are over.
    """
    step = len(gone) // STEPS + 1
    ending: list[Upstream] = []
    for index in range(STEPS):
        old = gone[index * step : (index + 1) * step]
        new = [Upstream(case.record, f"t-{index:02d}{number:04d}", work) for number in range(len(old))]
        for before, after in zip(old, new, strict=True):
            await after.open(before.address[0])
        case.servers += new
        if old:
            discovery.put_all(
                [upstream.entry("removed") for upstream in old] + [upstream.entry() for upstream in new]
            )
        for upstream in ending:
            upstream.close()
        ending = old
        await asyncio.sleep(REPLACE_TIME / STEPS)


def work() -> float:
    """Return the seconds that a request takes."""
    return random.uniform(*WORK)


async def play(case: Case) -> list[str]:
    """Return the requests that the upstream got after it was taken out."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    discovery = await case.discovery()
    upstreams = [Upstream(case.record, f"s-{number:04d}", work) for number in range(FLEET)]
    for number, upstream in enumerate(upstreams):
        await upstream.open(fleet_address(number))
    case.servers += upstreams
    discovery.put_all([upstream.entry() for upstream in upstreams])
    balancer = case.balancer("n0")
    classes = [profile("reading-query", "idempotent", 2000.0, 5000.0)]
    balancer.write_config(discovery.address, discovery.listing(), settings(classes, balancers=BALANCERS))
    await balancer.start(discovery.address)
    await balancer.wait_ready()
    is_over = asyncio.Event()
    clients = [case.client(balancer.address, f"c-{number}") for number in range(40)]
    calls = asyncio.ensure_future(traffic(clients, is_over))
    await asyncio.sleep(BEFORE)
    recent = case.record.now() - RECENT
    used = [each for each in upstreams if any(arrival.began_at > recent for arrival in each.arrivals)]
    target = used[0]  # in use, and stays
    others = [upstream for upstream in upstreams if upstream is not target]
    random.Random(12).shuffle(others)
    await replace(case, discovery, others[: int(FLEET * REPLACED)] if trouble() else [])
    body = json.dumps({"target": target.name}).encode()
    status = await get_status(balancer.admin, "PUT", "/api/exclude", body)
    called_at = case.record.now()
    case.record.add(f"operator: take out {target.name}, which is listed as up: answer {status}")
    await asyncio.sleep(AFTER)
    is_over.set()
    await calls
    answers = [answer for client in clients for answer in client.answers]
    served = sum(answer.status == STATUS_OK for answer in answers)
    case.record.add(f"{len(answers)} requests, {served} served")
    if not served:
        raise CaseError("nothing was served")
    latest = called_at + BAN_AFTER + SLACK + OWN_LATENESS
    return [
        f"{arrival.trace_id} began at {target.name} {arrival.began_at - called_at:.2f} s after the call"
        for arrival in target.arrivals
        if arrival.began_at > latest
    ]


main(__file__, play)
