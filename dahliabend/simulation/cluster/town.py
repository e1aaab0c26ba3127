"""Machines on a modelled network: delays, losses, cuts one way, pauses and ends, on one virtual clock."""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig

S = 1_000_000
SOON = (200, 20_000)  # microseconds of a datagram's way, where nothing else is said


class Town:
    """Names are addresses too, but for one that is begun elsewhere."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        loss: float = 0.0,
        terms: SwimConfig | None = None,
        begin: bool = True,
    ) -> None:
        self.chance, self.now, self.loss, self.number = Random(seed), S, loss, 0
        self.seed, self.terms = seed, terms or SwimConfig(sync_interval=10)
        self.delay, self.twice = SOON, 0.0
        self.mail: list[tuple] = []
        self.cut: set[tuple[str, str]] = set()
        self.away: dict[str, int] = {}  # until when each is stopped
        self.machines: dict[str, MembershipProtocol] = {}
        self.rung: list[tuple[int, str, MembershipProtocol]] = []  # when each wants to be woken
        self.armed: dict[str, int] = {}
        self.bytes = self.datagrams = 0
        self.heard: Callable[[str, MembershipProtocol], None] | None = None  # told after each move
        for n in range(count if begin else 0):
            self.begin(f"b{n}", life=1, seeds=["b0", "b1"])

    def begin(
        self, name: str, life: int, seeds: list[str], state: dict | None = None, zone=""
    ) -> MembershipProtocol:
        chance = Random(f"{self.seed} {name} {life}" if self.seed != 1 else f"{name} {life}")
        made = self.machines[name] = MembershipProtocol(name, life, name, self.terms, chance, zone)
        if state is not None:
            made.restore(self.now, state)
        made.start(self.now, seeds)
        self.carry(name)
        return made

    def end(self, name: str) -> MembershipProtocol | None:
        self.away.pop(name, None)
        self.armed.pop(name, None)
        return self.machines.pop(name, None)

    def carry(self, name: str) -> None:
        machine = self.machines[name]
        if self.armed.get(name) != machine.timer_due:
            self.armed[name] = machine.timer_due
            heappush(self.rung, (machine.timer_due, name, machine))
        if self.heard is not None and machine.events:
            self.heard(name, machine)
        out = machine.take_outgoing()
        for address, data in out:
            self.datagrams += 1
            self.bytes += len(data)
            if (name, address) in self.cut or self.loss and self.chance.random() < self.loss:
                continue
            self.post(name, address, data)
            if self.twice and self.chance.random() < self.twice:
                self.post(name, address, data)

    def post(self, name: str, address: str, data: bytes) -> None:
        self.number += 1
        heappush(self.mail, (self.now + self.chance.randrange(*self.delay), self.number, name, address, data))

    def run(self, span: int) -> "Town":
        end = self.now + span
        mail, rung = self.mail, self.rung
        while True:
            bell = rung[0][0] if rung else end
            at = min(bell, mail[0][0] if mail else end)
            if at >= end:
                self.now = end
                return self
            self.now = max(self.now, at)
            if mail and mail[0][0] == at:
                _, number, source, target, data = heappop(mail)
                if target not in self.machines:
                    continue
                if self.away.get(target, 0) > self.now:  # it reads once it goes on, after its timers
                    heappush(mail, (self.away[target] + 1, number, source, target, data))
                    continue
                self.machines[target].receive_datagram(self.now, data, source)
                self.carry(target)
                continue
            due, name, machine = heappop(rung)
            if self.machines.get(name) is not machine or self.armed.get(name) != due:
                continue  # one before it, or another time by now
            if self.away.get(name, 0) > self.now:
                self.armed[name] = self.away[name]
                heappush(rung, (self.away[name], name, machine))
                continue
            self.armed.pop(name)
            machine.timer_fired(self.now)
            self.carry(name)

    def pause(self, name: str, span: int) -> None:
        self.away[name] = self.now + span

    def sees(self, name: str) -> set[str]:
        return self.machines[name].view(self.now).names()

    def agree(self, names=None) -> bool:
        wanted = set(names or self.machines)
        return all(self.sees(name) == wanted for name in wanted)

    def died(self) -> set[str]:
        """Who was thought dead, by anybody."""
        return {event.name for m in self.machines.values() for event in m.events if event.kind == "died"}
