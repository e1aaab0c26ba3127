"""Serves sound files of the corpus on real loopback sockets for some minutes, with a trouble every ten
seconds; not in CI.

    python tests/routing_rules/loopback.py --files 0 4 10 --minutes 5

What peers saw is checked: one answer to each request, within its limit; none that has an effect runs twice;
every 200 holds what an upstream made for it.
"""

import argparse
import asyncio
import os
import re
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

for folder in (Path(__file__).parents[1], Path(__file__).parents[1] / "config"):
    sys.path.insert(0, str(folder))

import orjson  # noqa: E402
from corpus import generate_operator_files  # noqa: E402
from helpers import free_addresses  # noqa: E402

from dahliabend.routing_rules.loaded_file import load_file  # noqa: E402
from dahliabend.simulation.peers.client_request import ClientRequest  # noqa: E402
from dahliabend.simulation.peers.clients import Clients  # noqa: E402
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation  # noqa: E402
from dahliabend.simulation.peers.discovery import Agent, Registry  # noqa: E402
from dahliabend.simulation.peers.operators import call  # noqa: E402
from dahliabend.simulation.peers.upstream import Upstream  # noqa: E402
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec  # noqa: E402

S, RATE, LATE = 1_000_000, 8, 50_000
FAULT_KINDS = ("hung", "failing", "garbled", "slower", "reset")


def place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


class Served:
    """One file, its peers and what they saw."""

    def __init__(self, seed: int) -> None:
        self.seed, self.rng, self.seen = seed, Random(seed), []
        self.upstreams: list[Upstream] = []

    def recorder(self, *event) -> None:
        self.seen.append((asyncio.get_running_loop().time(), *event))

    async def upstream(self, name: str, address: str) -> dict:
        host, port = place(address)
        spec = UpstreamSpec(name, host, port, "a", 0, mean_work=4_000, idle_timeout=15 * S)
        made = Upstream(spec, asyncio.get_running_loop(), self.recorder, Random(name), 0, lambda: False)
        await made.open()
        self.upstreams.append(made)
        return {"id": name, "addr": address, "zone": "a", "cell": 0, "state": "up", "started_ms": 0}

    async def build(self, folder: Path) -> None:
        """The file with every address on loopback, and whoever is to be there."""
        text = generate_operator_files(self.seed).files["file.toml"]
        found = sorted(set(re.findall(r"\d+\.\d+\.\d+\.\d+:\d+", text)))
        new = dict(zip(found, free_addresses(len(found)), strict=True))
        for old in sorted(found, key=len, reverse=True):
            text = text.replace(f'"{old}"', f'"{new[old]}"')
        self.path = folder / "file.toml"
        self.path.write_text(text)
        file = self.file = load_file(str(self.path)).file
        for name, pool in file.pools.items():
            if pool.members is not None:
                for member in pool.members:
                    await self.upstream(member.id, member.address)
                continue
            rows = [
                await self.upstream(f"{name}-{n}", address) for n, address in enumerate(free_addresses(2))
            ]
            if pool.discovery is not None:
                registry = Registry()
                for row in rows:
                    registry.put(row)
                agent = Agent(registry, asyncio.get_running_loop(), self.recorder, self.rng, 20_000)
                await agent.open(*place(pool.discovery))
            else:
                (folder / pool.file).write_bytes(orjson.dumps({"servers": rows}))

    async def play(self, folder: Path, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        await self.build(folder)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dahliabend", "serve", str(self.path), stderr=asyncio.subprocess.DEVNULL,
            env={**os.environ},
        )  # fmt: skip
        listen = place(self.file.listeners["callers"].address)
        try:
            for _ in range(500):
                if (await call(loop, listen, "GET", "/-/ready"))[0] == 200:
                    break
                await asyncio.sleep(0.02)
            clients = Clients(loop, self.recorder, self.rng, ConnectionRotation([listen]), f"f{self.seed}-")
            until, number = loop.time() + seconds, 0
            while loop.time() < until:
                self.ask(clients, number)
                number += 1
                if number % (10 * RATE) == 0:
                    self.trouble()
                await asyncio.sleep(self.rng.expovariate(RATE))
            while clients.open_requests:
                await asyncio.sleep(0.05)
        finally:
            process.terminate()
            await process.wait()

    def ask(self, clients: Clients, number: int) -> None:
        route = self.file.routes[number % len(self.file.routes)]
        kind = self.file.classes[route.class_]
        limit = min(kind.hard_limit, route.total_time or kind.hard_limit)
        method = route.methods[0] if route.methods else "GET"
        headers = tuple(route.headers.items())
        ask = ClientRequest(
            clients.next_trace_id(),
            kind.effect,
            limit,
            limit,
            path=route.path,
            method=method,
            headers=headers,
        )
        if ask.method == "POST":
            ask.body = b"x" * 50
        clients.send(ask)

    def trouble(self) -> None:
        upstream, what = self.rng.choice(self.upstreams), self.rng.choice(FAULT_KINDS)
        if what == "reset":
            upstream.reset_all()
            return
        before = getattr(upstream, what)
        setattr(upstream, what, {"hung": True, "failing": 0.9, "garbled": 0.5, "slower": 8.0}[what])
        asyncio.get_running_loop().call_later(3, setattr, upstream, what, before)

    def broken(self) -> list[str]:
        asked = {e[2]: e for e in self.seen if e[1] == "asked"}
        answers, effects = Counter(e[2] for e in self.seen if e[1] == "answer"), Counter()
        made = {(e[2], e[3]) for e in self.seen if e[1] == "made"}
        found = [f"{trace}: {answers[trace]} answers" for trace in asked if answers[trace] != 1]
        for event in self.seen:
            if event[1] == "effect":
                effects[event[2]] += 1
            if event[1] == "answer" and event[3] == 200 and (event[2], event[4]) not in made:
                found.append(f"{event[2]}: 200 with what no upstream made for it")
            if event[1] == "answer" and event[0] - asked[event[2]][0] > (asked[event[2]][5] + LATE) / 1e6:
                found.append(f"{event[2]}: late")
        found += [f"{t}: ran {effects[t]} times" for t, e in asked.items()
                  if e[3] == "non-idempotent" and effects[t] > 1]  # fmt: skip
        return found


async def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--files", type=int, nargs="+", default=[0, 4, 10])
    parser.add_argument("--minutes", type=float, default=5.0)
    given = parser.parse_args()
    served = [Served(seed) for seed in given.files]
    with tempfile.TemporaryDirectory() as folder:
        folders = [Path(folder) / str(made.seed) for made in served]
        for each in folders:
            each.mkdir()
        await asyncio.gather(
            *(made.play(each, given.minutes * 60) for made, each in zip(served, folders, strict=True))
        )
    wrong = 0
    for made in served:
        statuses = Counter(event[3] for event in made.seen if event[1] == "answer")
        broken = made.broken()
        wrong += len(broken)
        print(
            f"file {made.seed}: {sum(statuses.values())} answers {dict(statuses)}; "
            f"{len(broken)} broken {broken[:3]}"
        )
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
