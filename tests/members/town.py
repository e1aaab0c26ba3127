"""Machines on a network of their own: delays, losses, cuts one way, pauses and ends, on one virtual clock."""

from heapq import heappop, heappush
from random import Random

from dahliabend.members.machine import Machine, Terms

S = 1_000_000


class Town:
    def __init__(self, count, seed=1, loss=0.0, terms=None):
        self.chance, self.now, self.loss, self.number = Random(seed), S, loss, 0
        self.terms = terms or Terms(whole=10)
        self.mail, self.cut, self.away = [], set(), {}
        self.machines = {}
        for n in range(count):
            self.begin(f"b{n}", life=1, seeds=["b0", "b1"])

    def begin(self, name, life, seeds):
        made = self.machines[name] = Machine(name, life, name, self.terms, Random(f"{name} {life}"))
        made.start(self.now, seeds)
        self.carry(name)
        return made

    def carry(self, name):
        out, self.machines[name].out = self.machines[name].out, []
        for address, data in out:
            if (name, address) not in self.cut and self.chance.random() >= self.loss:
                self.number += 1
                at = self.now + self.chance.randrange(200, 20_000)
                heappush(self.mail, (at, self.number, name, address, data))

    def run(self, span):
        end = self.now + span
        while True:
            ready = {n: max(m.due, self.away.get(n, 0)) for n, m in self.machines.items()}
            name = min(ready, key=lambda n: (ready[n], n))
            at = min(ready[name], self.mail[0][0] if self.mail else end)
            if at >= end:
                self.now = end
                return self
            self.now = max(self.now, at)
            if self.mail and self.mail[0][0] == at:
                _, number, source, target, data = heappop(self.mail)
                if self.away.get(target, 0) > self.now:  # it reads once it goes on, after its timers
                    heappush(self.mail, (self.away[target] + 1, number, source, target, data))
                elif target in self.machines:
                    self.machines[target].received(self.now, data, source)
                    self.carry(target)
            else:
                self.machines[name].wake(self.now)
                self.carry(name)

    def pause(self, name, span):
        self.away[name] = self.now + span

    def sees(self, name):
        return {rumour.name for rumour in self.machines[name].view(self.now).members}

    def agree(self, names=None):
        names = set(names or self.machines)
        return all(self.sees(name) == names for name in names)

    def died(self):
        """Who was thought dead, by anybody."""
        return {event.name for m in self.machines.values() for event in m.events if event.what == "died"}
