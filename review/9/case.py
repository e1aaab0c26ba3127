"""Slow discovery: does a drain that it could have told bind at all?"""

import asyncio
import random

from rig import STATUS_OK, Case, Client, main, profile, settings, trouble

UPSTREAMS = 8
RATE = 40.0  # requests a second
WORK = (0.02, 0.06)  # seconds
FIRST_BYTE_DELAY = 2.0  # seconds from a call of discovery to the first byte of its answer
TOLD_AT_LATEST = 6.0  # seconds after discovery had a change and could be reached
GRACE = 2.5  # seconds, `stop-sending-within`
SLACK = 0.05  # seconds by which each limit is longer on sockets
OWN_LATENESS = 0.2  # seconds that the stand-ins may be late
DRAIN_BEGINS = 5.0  # seconds after the begin of the traffic
DURATION = 30.0  # seconds of traffic
EXPIRES_MS = 2000


async def traffic(case: Case, clients: list[Client], until: float) -> None:
    """Send requests at random times."""
    chance = random.Random(8)
    free = list(clients)
    calls = []

    async def call(client: Client) -> None:
        await client.call("GET", "/seat-search", EXPIRES_MS)
        free.append(client)

    while case.record.now() < until:
        await asyncio.sleep(chance.expovariate(RATE))
        if free:
            calls.append(asyncio.ensure_future(call(free.pop(0))))
    await asyncio.gather(*calls)


async def play(case: Case) -> list[str]:
    """Return the requests that the draining upstream got too late."""
    discovery = await case.discovery()
    upstreams = await case.upstreams(UPSTREAMS, lambda: random.uniform(*WORK))
    discovery.put_all([upstream.entry() for upstream in upstreams])
    if trouble():
        discovery.first_byte_delay = FIRST_BYTE_DELAY
        case.record.add(f"discovery: the first byte of each answer comes after {FIRST_BYTE_DELAY} s")
    balancer = case.balancer("n0")
    classes = [
        profile("seat-search", "idempotent", 2000.0, 5000.0),
        profile("refund-payout", "at_most_once", 2500.0, 6000.0),
    ]
    table = settings(
        classes,
        caps={"most-hops": 3},
        contract={
            "cold": 23000.0,
            "cold-share": 0.15,
            "fall-multiple": 3.0,
            "stop-sending-within": 1000 * GRACE,
        },
    )
    table |= {"discovery": "on_request", "balancers": 2}
    balancer.write_config(discovery.address, discovery.listing(), table)
    await balancer.start(discovery.address)
    await balancer.wait_ready()
    clients = [case.client(balancer.address, f"c-{number}") for number in range(20)]
    calls = asyncio.ensure_future(traffic(case, clients, case.record.now() + DURATION))
    await asyncio.sleep(DRAIN_BEGINS)
    draining = upstreams[0]
    discovery.put(**draining.entry("draining"))
    listed_at = case.record.now()
    case.record.add(f"discovery has it: {draining.name} drains")
    await calls
    answers = [answer for client in clients for answer in client.answers]
    served = sum(answer.status == STATUS_OK for answer in answers)
    case.record.add(f"{len(answers)} requests, {served} served; {discovery.calls} calls of discovery")
    latest = listed_at + FIRST_BYTE_DELAY + TOLD_AT_LATEST + GRACE + SLACK + OWN_LATENESS
    return [
        f"{arrival.trace_id} began at {arrival.upstream} {arrival.began_at - listed_at:.2f} s after it"
        for arrival in draining.arrivals
        if arrival.began_at > latest
    ]


main(__file__, play)
