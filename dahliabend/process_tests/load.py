"""Upstreams, clients and the list on real sockets, and the rules held against what they saw.

What no peer on sockets can see (when a hop's first byte was written) is the emulator's to check. Here: one
answer each, within its limit; nothing that may not repeat runs twice; every 200 holds what an upstream made;
nothing new to one that drains after the grace; no cold one pushed over.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from dahliabend.simulation.peers.clients import Ask, Clients, Front
from dahliabend.simulation.peers.discovery import Agent, Registry
from dahliabend.simulation.peers.upstream import Upstream, UpstreamSpec

MS, S = 1_000, 1_000_000
LIMIT, GRACE, SLACK = 2 * S, 1_500 * MS, 400 * MS  # the slack covers a loaded machine
CLASSES = """
[pools.main]
discovery = "{discovery}"
balancers = {balancers}
grace = "1500ms"
cold = {{ share = "20%", time = "4s", multiple = 4.0 }}
{subset}
[classes.query]
effect = "idempotent"
service-goal = "1s"
hard-limit = "2s"
[classes.submit]
effect = "non-idempotent"
service-goal = "1s"
hard-limit = "2s"
[[routes]]
name = "submits"
path = "/submit"
class = "submit"
pool = "main"
{limit}
[[routes]]
name = "rest"
class = "query"
pool = "main"
"""


class Traffic:
    def __init__(self, chance: Random, rate: float, upstreams: int, ports: list[int]) -> None:
        self.chance, self.rate = chance, rate
        self.registry = Registry()
        self.upstreams: list[Upstream] = []
        self.specs = [
            UpstreamSpec(f"u{n}", "127.0.0.1", port, "z0", n, cores=4, work=3_000, cold=4 * S, cold_share=0.2,
                         rest=20 * S)
            for n, port in enumerate(ports[:upstreams])
        ]  # fmt: skip
        self.list_at = ("127.0.0.1", ports[upstreams])
        self.asked: dict[str, tuple[float, str, int]] = {}
        self.served: Counter[str] = Counter()  # by upstream
        self.submits: list[float] = []  # when each ran
        self.probed: dict[str, list[float]] = {}  # and when
        self.answers: Counter[str] = Counter()
        self.effects: Counter[str] = Counter()
        self.made: dict[str, set[bytes]] = {}
        self.draining: dict[str, float] = {}
        self.excused: dict[int, list[float]] = {}  # by instance: when it was killed or stopped
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()
        self.of: dict[str, int] = {}  # the instance that a request went to
        self.fronts: dict[int, Clients] = {}
        self.tasks: list[asyncio.Task] = []
        self.troubled, self.settled = asyncio.Lock(), False  # held by the trouble that there is

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for spec in self.specs:
            await self.bring_up(spec, 0)
        agent = Agent(self.registry, loop, self.witness, Random(1), 20_000)
        await agent.open(*self.list_at)

    async def bring_up(self, spec: UpstreamSpec, born: int) -> Upstream:
        loop = asyncio.get_running_loop()
        made = Upstream(spec, loop, self.witness, Random(f"{spec.name} {born}"), born, lambda: True)
        await made.open()
        self.upstreams = [u for u in self.upstreams if u.spec.name != spec.name] + [made]
        self.put(spec, "up", born)
        return made

    def put(self, spec: UpstreamSpec, state: str, born: int = 0) -> None:
        started = round(time.time() * 1000) if born else 0
        self.registry.put({"id": spec.name, "addr": f"{spec.host}:{spec.port}", "zone": spec.zone,
                           "cell": spec.cell, "state": state, "started_ms": started})  # fmt: skip

    def clients(self, number: int, place: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        front = Front([place])
        self.fronts[number] = Clients(loop, self.witness, Random(f"clients {number}"), front, f"c{number}-")

    def begin(self, ready: Callable[[int], bool]) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.go_on(ready)), loop.create_task(self.trouble())]

    async def trouble(self) -> None:
        """An upstream drains, goes and comes back cold; fails, hangs, or resets all that it has."""
        while True:
            await asyncio.sleep(self.chance.uniform(6, 15))
            async with self.troubled:
                await self.befall(self.chance.choice(self.upstreams))

    async def befall(self, upstream: Upstream) -> None:
        what = self.chance.choice(("replace", "replace", "fail", "hang", "reset"))
        self.counts[f"upstream {what}"] += 1
        if what == "replace":
            await self.replace(upstream)
        elif what == "reset":
            upstream.reset_all()
        else:
            name, bad, well = ("failing", 0.9, 0.0) if what == "fail" else ("hung", True, False)
            setattr(upstream, name, bad)
            await asyncio.sleep(2)
            setattr(upstream, name, well)

    async def settle(self) -> None:
        """No more troubles of upstreams, once the one that there is has ended."""
        if not self.settled:
            self.settled = await self.troubled.acquire()

    async def replace(self, upstream: Upstream) -> None:
        spec = upstream.spec
        self.put(spec, "draining")
        await asyncio.sleep(2 * (GRACE + SLACK) / S)
        self.put(spec, "removed")
        upstream.server.close()
        upstream.reset_all()
        await asyncio.sleep(0.5)
        born = round(asyncio.get_running_loop().time() * S)
        await self.bring_up(spec, born)

    async def go_on(self, ready: Callable[[int], bool]) -> None:
        while True:
            await asyncio.sleep(self.chance.expovariate(self.rate))
            numbers = [number for number in self.fronts if ready(number)]
            if not numbers:
                continue
            number = self.chance.choice(numbers)
            clients = self.fronts[number]
            name = "submit" if self.chance.random() < 0.4 else "query"
            ask = Ask(clients.name(), name, LIMIT, LIMIT, path="/submit" if name == "submit" else "/q",
                      body=b"x" * 50 if name == "submit" else b"")  # fmt: skip
            self.of[ask.trace] = number
            clients.ask(ask)

    async def end(self) -> None:
        for task in self.tasks:
            task.cancel()
        for _ in range(100):
            if not any(clients.out for clients in self.fronts.values()):
                break
            await asyncio.sleep(0.05)
        for trace, (at, _, _) in self.asked.items():
            if not self.answers[trace] and not self.was_away(trace, at):
                self.broken.append(f"one answer: {trace} had none")
        for upstream in self.upstreams:
            upstream.server.close()

    def away(self, number: int) -> None:
        """An instance is killed, stopped or gone on just now: what it held may have no answer in time."""
        self.excused.setdefault(number, []).append(asyncio.get_running_loop().time())

    def was_away(self, trace: str, since: float) -> bool:
        return any(at >= since - 1 for at in self.excused.get(self.of[trace], ()))

    def witness(self, kind: str, *values) -> None:
        now = asyncio.get_running_loop().time()
        if kind == "asked":
            trace, name, _, expires = values
            self.asked.setdefault(trace, (now, name, expires))
            self.counts["asked"] += 1
        elif kind == "made":
            self.made.setdefault(values[0], set()).add(values[1])
        elif kind == "effect":
            trace, upstream = values
            self.effects[trace] += 1
            if self.asked[trace][1] == "submit":
                self.submits.append(now)
            self.served[upstream] += 1
            at = self.draining.get(upstream)
            if at is not None and now > at + (GRACE + SLACK) / S:
                self.broken.append(f"drain: {trace} ran at {upstream} {now - at:.2f} s after it was told")
            if self.asked[trace][1] == "submit" and self.effects[trace] > 1:
                self.broken.append(f"no effect twice: {trace} ran {self.effects[trace]} times")
        elif kind == "answer":
            trace, status, body = values
            self.answers[trace] += 1
            self.counts[str(status)] += 1
            at, _, expires = self.asked[trace]
            if self.answers[trace] > 1:
                self.broken.append(f"one answer: {trace} had {self.answers[trace]}")
            if status == 200 and body not in self.made.get(trace, ()):
                self.broken.append(f"whole answer: {trace} got what no upstream made")
            if now - at > (expires + SLACK) / S and not self.was_away(trace, at):
                self.broken.append(f"one answer: {trace} late by {now - at - expires / S:.2f} s")
        elif kind in ("lost", "left"):
            trace = values[0]
            self.counts[kind] += 1
            if trace in self.asked and self.was_away(trace, self.asked[trace][0]):
                self.answers[trace] += 1  # its balancer was away: no answer is owed
        elif kind == "toppled":
            self.broken.append(f"cold: {values[0]} fell over, sent {values[1]:.1f} times what it bears")
        elif kind == "told" and values[2] == "draining":
            self.draining.setdefault(values[1], now)
        elif kind == "told" and values[2] == "up":
            self.draining.pop(values[1], None)
        elif kind == "probed":
            self.probed.setdefault(values[0], []).append(now)
        elif kind in ("extra", "spoilt"):
            self.broken.append(f"one answer: {kind} {values}"[:200])
