"""A limit of the whole fleet, divided among its members by what each is asked. Free of I/O.

Each tells its part and what it asks, both of the whole. Parts shrink at once and grow only into room that
nobody holds, so slowly that all who don't know of each other yet find room together. Who does not hear all
others keeps to an equal part of the whole; of one that was lost without leaving that part stays reserved, but
for a tenth more than the limit: it may be cut off and go on.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

STEP_INTERVAL = 500_000  # microseconds between two steps
FRESH_STEPS = 6  # beats that what another told counts as now
MIN_SHARE_FRACTION = 1 / 4  # of an equal part: what each has whatever it asks
OVERCOMMIT_LIMIT = 11 / 10  # of the limit: never more, also where a cut can't be told from a death
SHRINK_TOLERANCE = 1 / 50  # of its part: less than that is not given up


@dataclass(slots=True)
class PeerQuota:
    share: float
    demand: float
    at: int


def divide_limit(asks: Mapping[str, float], budget: float, floor: float) -> dict[str, float]:
    """Water-filling: everybody what it asks as far as it goes round, nobody less than the floor, and what
    nobody asks in equal parts.

    >>> divide_limit({"a": 0.1, "b": 0.9, "c": 0.7}, 1.0, 0.05)
    {'a': 0.1, 'b': 0.45, 'c': 0.45}
    """
    count = len(asks)
    floor = min(floor, budget / count)
    wanted = {name: max(floor, demand) for name, demand in asks.items()}
    if sum(wanted.values()) <= budget:
        spare = (budget - sum(wanted.values())) / count
        return {name: share + spare for name, share in wanted.items()}
    left, made = budget, {}
    for place, (name, demand) in enumerate(sorted(wanted.items(), key=lambda each: (each[1], each[0]))):
        made[name] = min(demand, max(floor, left / (count - place)))
        left -= made[name]
    return {name: round(made[name], 12) for name in asks}


class QuotaShare:
    """One instance's part of one limit. `balancers`: how many there are said to be, until a view tells."""

    def __init__(self, own_name: str, instance_count: int) -> None:
        self.own_name, self.instance_count = own_name, instance_count
        self.share = MIN_SHARE_FRACTION / instance_count
        self.demand = 0.0
        self.peers: dict[str, PeerQuota] = {}
        self.members: set[str] = set()
        self.lost_members: set[str] = set()
        self.partitioned = False

    def update_peer(self, now: int, origin: str, share: float, demand: float) -> None:
        """The newest that another told: its part, also one that it is about to take, and what it asks."""
        if origin != self.own_name and 0 <= share <= OVERCOMMIT_LIMIT and demand >= 0:
            self.peers[origin] = PeerQuota(share, min(demand, 1.0), now)

    def update_members(self, members: Collection[str], left: Collection[str], partitioned: bool) -> None:
        """The settled view; who has left of its own; whether this may be a part cut off."""
        members = set(members)
        if not members:
            return
        self.lost_members = (self.lost_members | (self.members - members)) - members - set(left)
        self.members, self.partitioned = members, partitioned
        for name in [name for name in self.peers if name not in members]:
            del self.peers[name]

    def step(self, now: int, demand: float) -> float:
        """Once a beat: what is asked here, of the whole. The part that it may let in from now on."""
        self.demand = min(max(demand, 0.0), 1.0)
        peers = sorted(self.members - {self.own_name})
        if not peers:
            # Nobody is known: an equal part of those there are said to be, or that there were.
            count = max(self.instance_count, len(self.members) + len(self.lost_members))
            self.share = 1.0 / count
            return self.share
        whole = len(self.members) + len(self.lost_members)
        if any(
            name not in self.peers or now - self.peers[name].at > FRESH_STEPS * STEP_INTERVAL
            for name in peers
        ):
            self.share = min(self.share, 1.0 / whole)
            return self.share
        budget = min(1.0, OVERCOMMIT_LIMIT - len(self.lost_members) / whole)
        if self.partitioned:
            budget = min(budget, len(self.members) / whole)
        asks = {name: self.peers[name].demand for name in peers} | {self.own_name: self.demand}
        targets = divide_limit(asks, budget, MIN_SHARE_FRACTION / len(asks))
        target, held = targets[self.own_name], {name: self.peers[name].share for name in peers}
        if target < self.share * (1 - SHRINK_TOLERANCE):
            self.share = target
        elif target > self.share:
            # Others that grow too may not know of it yet: while a word counts all find room together.
            growing = 1 + sum(targets[name] > share for name, share in held.items())
            free = budget - self.share - sum(held.values())
            self.share += max(0.0, min(target - self.share, free / (growing * FRESH_STEPS)))
        return self.share
