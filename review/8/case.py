"""The return of discovery: is a drain that it tells then kept within the grace of the settings?"""

import asyncio
import random

from rig import STATUS_OK, Balancer, Case, Client, Upstream, main, profile, settings, trouble

BALANCERS = 6
UPSTREAMS = 16
DRAINING = 4  # a quarter of the upstreams
RATE = 40.0  # requests a second at each balancer
WORK = (0.02, 0.06)  # seconds
GRACE = 0.5  # seconds, `stop-sending-within`
SLACK = 0.05  # seconds by which each limit is longer on sockets
OWN_LATENESS = 0.05  # seconds that the stand-ins may be late
CALM = 3.0  # seconds before the outage
OUTAGE = 8.0  # seconds
DRAIN_BEGINS = 6.0  # seconds after the begin of the outage
AFTER = 4.0  # seconds of traffic after the return
EXPIRES_MS = 1500


async def traffic(case: Case, clients: list[Client], until: float, seed: int) -> None:
    """Send requests to one balancer at random times."""
    chance = random.Random(seed)
    free = list(clients)
    calls = []

    async def call(client: Client) -> None:
        await client.call("POST", "/take-payment", EXPIRES_MS)
        free.append(client)

    while case.record.now() < until:
        await asyncio.sleep(chance.expovariate(RATE))
        if free:
            calls.append(asyncio.ensure_future(call(free.pop(0))))
    await asyncio.gather(*calls)


def late_sends(draining: list[Upstream], told_at: float) -> list[str]:
    """Return the requests that began to arrive at a draining upstream after the grace."""
    latest = told_at + GRACE + SLACK + OWN_LATENESS
    return [
        f"{arrival.trace_id} began at {upstream.name} {arrival.began_at - told_at:.3f} s after it was told"
        for upstream in draining
        for arrival in upstream.arrivals
        if arrival.began_at > latest
    ]


async def play(case: Case) -> list[str]:
    """Return the requests that a draining upstream got too late."""
    discovery = await case.discovery()
    upstreams = await case.upstreams(UPSTREAMS, lambda: random.uniform(*WORK))
    discovery.put_all([upstream.entry() for upstream in upstreams])
    classes = [
        profile("take-payment", "deduplicated", 1500.0, 3000.0, group="zone", **{"dedup-window": 6000.0})
    ]
    balancers: list[Balancer] = []
    for number in range(BALANCERS):
        balancer = case.balancer(f"n{number}")
        table = settings(
            classes,
            caps={"dial-timeout": 120.0, "conn-idle": 15000.0, "most-hops": 4},
            contract={
                "cold": 23000.0, "cold-share": 0.12, "fall-multiple": 3.0,
                "stop-sending-within": 1000 * GRACE,
            },
        )  # fmt: skip
        balancer.write_config(
            discovery.address, discovery.listing(), table | {"balancers": BALANCERS, "self-index": number}
        )
        await balancer.start(discovery.address)
        balancers.append(balancer)
    for balancer in balancers:
        await balancer.wait_ready()
    return_at = case.record.now() + CALM + OUTAGE
    groups = [
        [case.client(balancer.address, f"c-{number}") for number in range(20)] for balancer in balancers
    ]
    calls = [
        asyncio.ensure_future(traffic(case, group, return_at + AFTER, seed))
        for seed, group in enumerate(groups)
    ]
    await asyncio.sleep(CALM)
    if trouble():
        discovery.go_down()
    await asyncio.sleep(DRAIN_BEGINS if trouble() else OUTAGE)
    draining = upstreams[:DRAINING]
    discovery.put_all([upstream.entry("draining") for upstream in draining])
    if trouble():
        await asyncio.sleep(OUTAGE - DRAIN_BEGINS)
        discovery.come_back()
    told_at = case.record.now()
    case.record.add(f"told: {', '.join(upstream.name for upstream in draining)} drain")
    await asyncio.gather(*calls)
    answers = [answer for group in groups for client in group for answer in client.answers]
    served = sum(answer.status == STATUS_OK for answer in answers)
    case.record.add(f"{len(answers)} requests, {served} served")
    return late_sends(draining, told_at)


main(__file__, play)
