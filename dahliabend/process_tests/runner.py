"""Plays a fleet's script with real processes, and has the same claims checked as the model.

What the machine under it does badly is part of what was so: a loop of the rig that came late is a time in
which no way was whole.
"""

import asyncio
import secrets
import signal
import tempfile
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

from dahliabend.leases.shared_limits import OVERCOMMIT_LIMIT
from dahliabend.membership.authentication import DatagramAuthenticator
from dahliabend.membership.codec import encode_packet
from dahliabend.membership.messages import Ping
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.process_tests.fault_proxy import Relay
from dahliabend.process_tests.load import CLASSES, Traffic
from dahliabend.process_tests.processes import Instance, free_ports
from dahliabend.routing_rules.limits import MIN_PARTIAL_BURST
from dahliabend.simulation.cluster.invariants import Bounds, Claim, judge
from dahliabend.simulation.cluster.model import LOOK, Player
from dahliabend.simulation.cluster.script import WAYS, Fleet, S, Step
from dahliabend.simulation.world import joined

TICK, LATE = (
    20_000,
    150_000,
)  # microseconds: how often the rig looks at its own clock, and what counts as late
FAR = 4  # a condition's bound is so many times what the terms allow: far off, not to be reached by luck
AT_ONCE = 6  # doors asked at once
BUSY = 0.5  # seconds that a busy machine may add between an instance's look and an upstream's log
LIMITED = 4.0  # seconds over which what a limit let through is counted
EVEN = 21 / 20  # of the mean: the most that an upstream may be used where subsets add up
RECENT = 64  # datagrams kept to be sent again by strangers


class Rig(Player):
    def __init__(
        self,
        fleet: Fleet,
        traffic: float = 0.0,
        upstreams: int = 4,
        told: Callable[[str], None] | None = None,
    ) -> None:
        super().__init__(fleet, SwimConfig(period=fleet.period))
        self.told, self.chance = told or (lambda _: None), Random(f"rig {fleet.seed}")
        self.relay = Relay(Random(f"relay {fleet.seed}"))
        self.instances: list[Instance] = []
        self.undo: list[tuple[int, Step]] = []
        self.recent: list[bytes] = []
        self.rate, self.wanted = traffic, upstreams
        self.traffic: Traffic | None = None
        self.watching: asyncio.Task | None = None
        self.zero = 0.0
        self.upstreams: list[str] = []
        self.agreed: float | None = None  # when all had one view for the first time
        self.shown: dict[str, dict] = {}  # the subset of each, as it was last asked

    @property
    def now(self) -> int:
        return round((asyncio.get_running_loop().time() - self.zero) * S) + S

    # What is heard.

    def heard(self, instance: Instance, said: dict) -> None:
        if said.get("event") == "believed":
            self.outcome.counts["believed"] += 1
            self.line(self.now, f"{instance.name}: {said['upstream']} is bad, {said['origins']} say")
        if said.get("event") != "member":
            return
        about = said["member"]
        number = int(about[1:]) if about[1:].isdigit() else -1
        self.claims.append(Claim(self.now, instance.number, said["change"], number, said["by"]))
        self.line(self.now, f"{instance.name}: {about} {said['change']}, by {said['by']}")

    def line(self, now: int, text: str) -> None:
        super().line(now, text)
        self.told(self.outcome.lines[-1])

    def keep(self, _: int, __: int, data: bytes) -> None:
        if len(self.recent) < RECENT:
            self.recent.append(data)

    async def watch_clock(self) -> None:
        """Whatever stops the rig stops all ways between the instances."""
        loop = asyncio.get_running_loop()
        everyone = range(self.fleet.instances)
        last = loop.time()
        while True:
            await asyncio.sleep(TICK / S)
            late = (loop.time() - last) * S - TICK
            last = loop.time()
            if late > LATE:
                self.outcome.counts["rig late"] += 1
                all_ways = {(a, b) for a in everyone for b in everyone if a != b}
                self.truth.ways(max(self.truth.last_change(), self.now - round(late)), all_ways)
                self.truth.ways(self.now, self.cuts())
                self.line(self.now, f"RIG late by {late / S:.2f} s")

    # The play.

    async def play(self):
        self.zero = asyncio.get_running_loop().time()
        with tempfile.TemporaryDirectory(prefix="dahliabend-rig-") as folder:
            try:
                await self.build(Path(folder))
                self.watching = asyncio.get_running_loop().create_task(self.watch_clock())
                await self.start([n for n in range(self.fleet.instances) if n not in self.fleet.late])
                if self.traffic is not None:
                    self.traffic.begin(self.may_ask)
                if self.fleet.probing and self.traffic is not None:
                    await self.traffic.settle()  # else the decisions ask for probes of their own
                for step in self.fleet.steps:
                    await self.act(step)
                    await self.run(step.wait)
                    await self.until(step)
                end = self.now
                self.check_probes()
                self.check_limit()
                if self.traffic is not None:
                    await self.traffic.end()
            finally:
                await self.close()
        judge(self.truth, self.claims, self.terms, end, self.outcome)
        self.outcome.counts.update(passed=self.relay.passed, dropped=self.relay.dropped)
        for instance in self.instances:
            for error in instance.errors:
                self.outcome.broken("process", end, error)
        if self.traffic is not None:
            self.outcome.counts.update({f"tx {name}": n for name, n in self.traffic.counts.items()})
            for what in self.traffic.broken:
                self.outcome.broken("rule", end, what)
        return self.outcome

    def check_probes(self) -> None:
        """By the upstreams' own logs: about once a period, never more than twice, no gap over two, from two
        periods after the first view in which all agreed."""
        period = self.fleet.probing / S
        if not period or self.agreed is None:
            return
        begin, end = self.agreed + 2 * period, asyncio.get_running_loop().time()
        for name in self.upstreams:
            times = [at for at in self.traffic.probed.get(name, ()) if at >= begin]
            gaps = [b - a for a, b in zip([begin, *times], [*times, end], strict=True)]
            if max(gaps) > 2 * period + BUSY:
                self.outcome.broken("probes", self.now, f"{name}: none for {max(gaps):.1f} s")
            most = max((sum(at <= t < at + period - BUSY for t in times) for at in times), default=0)
            if most > 2:
                self.outcome.broken("probes", self.now, f"{name}: {most} in {period:g} s")
            self.outcome.counts["probes"] += len(times)
        self.outcome.counts["probe periods"] = round(len(self.upstreams) * (end - begin) / period)

    def check_limit(self) -> None:
        """By the upstreams' own logs: no more of what is limited ran in any span than a tenth above the
        limit, and what had been saved up."""
        limit, times = self.fleet.limit, sorted(self.traffic.submits) if self.traffic is not None else []
        if not limit:
            return
        most, first = 0, 0
        for last, at in enumerate(times):
            while times[first] < at - LIMITED:
                first += 1
            most = max(most, last - first + 1)
        allowed = OVERCOMMIT_LIMIT * limit * (LIMITED + BUSY) + MIN_PARTIAL_BURST * len(self.instances)
        self.outcome.counts.update({"limited": len(times), "limited most": most})
        if most > allowed:
            self.outcome.broken("limit", self.now, f"{most} in {LIMITED:g} s, {allowed:.0f} allowed")

    async def even(self) -> bool:
        """Does what all use add up? While upstreams come and go it does not: their troubles end before."""
        self.shown = {}
        for instance in self.instances:
            if instance.alive and not instance.stopped:
                said = await instance.ask("/api/subsets")
                if said is None:
                    return False
                self.shown[instance.name] = said["pools"]["main"]
        load = dict.fromkeys(self.upstreams, 0.0)
        for pool in self.shown.values():
            total = sum(pool["weights"].values())
            for name, weight in pool["weights"].items():
                load[name] += weight / total
        return max(load.values()) <= EVEN * sum(load.values()) / len(load)

    async def build(self, folder: Path) -> None:
        fleet = self.fleet
        self.relay.delay = fleet.delay
        self.relay.tap = self.keep
        places = await self.relay.open(fleet.instances)
        self.key = secrets.token_hex(32)
        (folder / "key").write_text(self.key + "\n")
        ports = free_ports(3 * fleet.instances + self.wanted + 1)
        own, rest = ports[: 3 * fleet.instances], ports[3 * fleet.instances :]
        self.traffic = Traffic(Random(f"traffic {fleet.seed}"), max(self.rate, 0.01), self.wanted, rest)
        await self.traffic.open()
        self.upstreams = [spec.name for spec in self.traffic.specs]
        subset = f'[pools.main.subset]\nleast = {fleet.subset}\ndegree = {fleet.subset}\nhold = "5s"'
        text = CLASSES.format(
            discovery=joined(self.traffic.list_at), balancers=fleet.instances,
            subset=subset if fleet.subset else "",
            limit=f'rate = "{fleet.limit}/s"\nshared = true' if fleet.limit else "",
        )  # fmt: skip
        for number in range(fleet.instances):
            made = Instance(number, folder, tuple(own[3 * number : 3 * number + 3]), self.heard)
            made.write(fleet, places, text)
            self.relay.stands_at(number, made.datagrams)
            self.instances.append(made)
            if self.rate:
                self.traffic.clients(number, made.callers)
        if not self.rate:
            self.traffic = None

    async def close(self) -> None:
        if self.watching is not None:
            self.watching.cancel()
        await asyncio.gather(*(instance.end() for instance in self.instances if instance.alive))
        for instance in self.instances:
            if instance.reading is not None:
                instance.reading.cancel()
        self.relay.close()

    def may_ask(self, number: int) -> bool:
        instance = self.instances[number]
        return instance.alive and not instance.stopped and instance.open.done()

    async def start(self, numbers: list[int]) -> None:
        """All at once. One is there from the moment in which it speaks: until then none can know it."""
        for number in numbers:
            await self.instances[number].start()
        for number in numbers:
            await self.instances[number].opened()
            self.truth.start(self.now, number)

    async def end(self, number: int, how: int) -> None:
        self.truth.end(self.now, number)
        if self.traffic is not None:
            self.traffic.away(number)
        await self.instances[number].end(how)

    async def act(self, step: Step) -> None:
        self.line(self.now, f"STEP {step.what} {step.whom or step.parts or ''}")
        if step.what == "mend":
            undo, self.undo = self.undo, []
            for _, other in undo:
                await self.over(other)
            self.ways.clear()
            self.set_ways()
        elif step.what in WAYS:
            self.ways.append(step)
            self.set_ways()
        elif step.what == "strangers":
            self.strangers()
        elif step.what == "bad":
            self.make_bad(step, 0.9)
        starting = []
        for number in step.whom if step.what not in WAYS else ():
            instance = self.instances[number]
            if step.what == "start" and not instance.alive:
                starting.append(number)
            elif not instance.alive:
                continue
            elif step.what == "kill":
                await self.end(number, signal.SIGKILL)
            elif step.what == "restart":
                await self.end(number, signal.SIGKILL)
                starting.append(number)
            elif step.what in ("stop", "block"):
                instance.stop()
                self.truth.stop(self.now, number)
                if self.traffic is not None:
                    self.traffic.away(number)
            elif step.what == "leave":
                await self.end(number, signal.SIGTERM)
            elif step.what == "hand":
                await self.end(number, signal.SIGUSR2)
                starting.append(number)
        await self.start(starting)
        if step.span and step.what not in ("calm", "mend"):
            self.undo.append((self.now + step.span, step))
            self.undo.sort(key=lambda entry: entry[0])

    async def over(self, step: Step) -> None:
        if step in self.ways:
            self.ways.remove(step)
            self.set_ways()
        if step.what == "bad":
            self.make_bad(step, 0.0)
        starting = []
        for number in step.whom if step.what not in WAYS else ():
            instance = self.instances[number]
            if step.what in ("stop", "block") and instance.stopped and instance.alive:
                instance.go_on()
                self.truth.go_on(self.now, number)
                if self.traffic is not None:
                    self.traffic.away(number)
            elif step.what in ("kill", "leave") and not instance.alive:
                starting.append(number)
        await self.start(starting)

    def make_bad(self, step: Step, failing: float) -> None:
        for upstream in self.traffic.upstreams if self.traffic is not None else ():
            if upstream.spec.cell in step.to:
                upstream.failing = failing

    async def believing(self) -> bool:
        said = [await each.ask("/api/signals") for each in self.instances if each.alive and not each.stopped]
        return all(said) and any(each["told"] for each in said)

    def set_ways(self) -> None:
        self.relay.cut = cuts = self.cuts()
        if cuts != self.truth.cut:
            self.truth.ways(self.now, cuts)
        lose, delay, twice = (self.strongest(what) for what in ("lose", "delay", "double"))
        self.relay.loss = lose.size if lose else 0.0
        self.relay.twice = twice.size if twice else 0.0
        self.relay.more = delay.delay if delay else 0

    def strangers(self) -> None:
        """What no member has said, has said before, or says in another version; sealed by another key."""
        chance, other = self.chance, DatagramAuthenticator([b"x" * 32])
        valid, _ = encode_packet("b0", 1, 1, Ping(1, "b1"), [])
        newer = DatagramAuthenticator([self.key.encode()]).sign(valid[:1] + b"\x07" + valid[2:])
        for number in range(self.fleet.instances):
            for _ in range(20):
                self.relay.throw(number, chance.randbytes(chance.choice((1, 40, 1_400, 9_000))))
            for data in (other.sign(valid), newer, *self.recent[:20]):
                self.relay.throw(number, data)

    async def run(self, span: int) -> None:
        end = self.now + span
        while self.undo and self.undo[0][0] <= end:
            at, step = self.undo.pop(0)
            await asyncio.sleep(max(0, at - self.now) / S)
            await self.over(step)
        await asyncio.sleep(max(0, end - self.now) / S)

    async def until(self, step: Step) -> None:
        if not step.until:
            return
        if step.until == "even" and self.traffic is not None:
            await self.traffic.settle()
        bounds = Bounds(self.terms, self.fleet.instances, self.fleet.instances)
        usual = bounds.detect if step.until == "out" else bounds.agree
        limit = self.now + FAR * (step.within or usual)
        while not await self.holds(step):
            if self.now >= limit:
                return self.outcome.broken(step.until, self.now, f"not within {FAR} times its bound")
            await self.run(self.terms.period // LOOK)
        if step.until == "agree" and self.agreed is None:
            self.agreed = asyncio.get_running_loop().time()

    async def holds(self, step: Step) -> bool:
        if step.until == "believed":
            return await self.believing()
        asked = [each for each in self.instances if each.alive and not each.stopped and each.open.done()]
        shown = {}
        for at in range(0, len(asked), AT_ONCE):
            some = asked[at : at + AT_ONCE]
            for instance, said in zip(
                some, await asyncio.gather(*(each.ask("/api/members") for each in some)), strict=True
            ):
                if said is None:
                    return False
                shown[instance.name] = said
        names = {name: {row["name"] for row in said["here"]} for name, said in shown.items()}
        if step.until == "out":
            gone = {f"b{number}" for number in step.whom}
            return all(not gone & seen for name, seen in names.items() if name not in gone)
        wanted = {each.name for each in self.instances if each.alive}
        stable = all(said["stable"] and names[name] == wanted for name, said in shown.items())
        agreed = stable and len({said["mark"] for said in shown.values()}) <= 1
        return agreed and (step.until != "even" or await self.even())


async def play(fleet: Fleet, traffic: float = 0.0, upstreams: int = 4, told=None):
    with suppress(asyncio.CancelledError):
        return await Rig(fleet, traffic, upstreams, told).play()
