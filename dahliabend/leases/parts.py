"""A limit of the whole fleet, divided among its members by what each is asked. Free of I/O.

Each tells its part and what it asks, both of the whole. Parts shrink at once and grow only into room that
nobody holds, so slowly that all who don't know of each other yet find room together. Who does not hear all
others keeps to an equal part of the whole; of one that was lost without leaving that part stays reserved, but
for a tenth more than the limit: it may be cut off and go on.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

BEAT = 500_000  # microseconds between two steps
FRESH = 6  # beats that what another told counts as now
FLOOR = 1 / 4  # of an equal part: what each has whatever it asks
OVER = 11 / 10  # of the limit: never more, also where a cut can't be told from a death
CLOSE = 1 / 50  # of its part: less than that is not given up


@dataclass(slots=True)
class Told:
    part: float
    ask: float
    at: int


def divide(asks: Mapping[str, float], budget: float, floor: float) -> dict[str, float]:
    """Water-filling: everybody what it asks as far as it goes round, nobody less than the floor, and what
    nobody asks in equal parts.

    >>> divide({"a": 0.1, "b": 0.9, "c": 0.7}, 1.0, 0.05)
    {'a': 0.1, 'b': 0.45, 'c': 0.45}
    """
    count = len(asks)
    floor = min(floor, budget / count)
    wanted = {name: max(floor, ask) for name, ask in asks.items()}
    if sum(wanted.values()) <= budget:
        spare = (budget - sum(wanted.values())) / count
        return {name: part + spare for name, part in wanted.items()}
    left, made = budget, {}
    for place, (name, ask) in enumerate(sorted(wanted.items(), key=lambda each: (each[1], each[0]))):
        made[name] = min(ask, max(floor, left / (count - place)))
        left -= made[name]
    return {name: round(made[name], 12) for name in asks}


class Share:
    """One instance's part of one limit. `balancers`: how many there are said to be, until a view tells."""

    def __init__(self, me: str, balancers: int) -> None:
        self.me, self.balancers = me, balancers
        self.part = FLOOR / balancers
        self.ask = 0.0
        self.others: dict[str, Told] = {}
        self.members: set[str] = set()
        self.lost: set[str] = set()
        self.cut = False

    def heard(self, now: int, origin: str, part: float, ask: float) -> None:
        """The newest that another told: its part, also one that it is about to take, and what it asks."""
        if origin != self.me and 0 <= part <= OVER and ask >= 0:
            self.others[origin] = Told(part, min(ask, 1.0), now)

    def follow(self, members: Collection[str], left: Collection[str], cut: bool) -> None:
        """The settled view; who has left of its own; whether this may be a part cut off."""
        members = set(members)
        if not members:
            return
        self.lost = (self.lost | (self.members - members)) - members - set(left)
        self.members, self.cut = members, cut
        for name in [name for name in self.others if name not in members]:
            del self.others[name]

    def step(self, now: int, ask: float) -> float:
        """Once a beat: what is asked here, of the whole. The part that it may let in from now on."""
        self.ask = min(max(ask, 0.0), 1.0)
        others = sorted(self.members - {self.me})
        if not others:
            # Nobody is known: an equal part of those there are said to be, or that there were.
            count = max(self.balancers, len(self.members) + len(self.lost))
            self.part = 1.0 / count
            return self.part
        whole = len(self.members) + len(self.lost)
        if any(name not in self.others or now - self.others[name].at > FRESH * BEAT for name in others):
            self.part = min(self.part, 1.0 / whole)
            return self.part
        budget = min(1.0, OVER - len(self.lost) / whole)
        if self.cut:
            budget = min(budget, len(self.members) / whole)
        asks = {name: self.others[name].ask for name in others} | {self.me: self.ask}
        targets = divide(asks, budget, FLOOR / len(asks))
        target, held = targets[self.me], {name: self.others[name].part for name in others}
        if target < self.part * (1 - CLOSE):
            self.part = target
        elif target > self.part:
            # Others that grow too may not know of it yet: while a word counts all find room together.
            growing = 1 + sum(targets[name] > part for name, part in held.items())
            free = budget - self.part - sum(held.values())
            self.part += max(0.0, min(target - self.part, free / (growing * FRESH)))
        return self.part
