"""A limit of the whole fleet, divided among its instances by their demand. Free of I/O.

Every instance announces its share and its demand, both as fractions of the limit, and computes the same
division. A share shrinks at once and grows only into capacity that nobody holds, slowly enough that instances
that do not yet know of each other's growth find room together. An instance that does not hear all others
keeps to an equal share. The share of a member that was lost without leaving stays reserved, but for a tenth
more than the limit: it may be partitioned away and still work.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

STEP_INTERVAL = 500_000  # microseconds between two steps
FRESH_STEPS = 6  # steps that an announcement counts
MIN_SHARE_FRACTION = 1 / 4  # of an equal share: what each instance has whatever its demand
OVERCOMMIT_LIMIT = 11 / 10  # of the limit: never exceeded, also while a partition looks like a death
SHRINK_TOLERANCE = 1 / 50  # of the share: a smaller surplus is not given up
DIVISION_DECIMALS = 12  # rounding, so that all instances come to the same division


@dataclass(slots=True)
class PeerQuota:
    """What another instance announced last.

    Attributes:
        share: Fraction of the limit that it holds or is about to take.
        demand: Fraction of the limit that it is asked for, 1 at most.
        at: When it was announced, microseconds of this instance's clock.
    """

    share: float
    demand: float
    at: int


def divide_limit(demands: Mapping[str, float], budget: float, floor: float) -> dict[str, float]:
    """Divide a budget by water-filling: the smallest demands are met first, the others get equal shares.

    Args:
        demands: Demand of each instance; at least one.
        budget: What there is to divide, in the unit of the demands.
        floor: The least that each instance gets; an equal share if the budget does not suffice.

    Returns:
        A share for each instance. What nobody demands is spread evenly.

    >>> divide_limit({"a": 0.1, "b": 0.9, "c": 0.7}, 1.0, 0.05)
    {'a': 0.1, 'b': 0.45, 'c': 0.45}
    """
    count = len(demands)
    floor = min(floor, budget / count)
    wanted = {name: max(floor, demand) for name, demand in demands.items()}
    if sum(wanted.values()) <= budget:
        spare = (budget - sum(wanted.values())) / count
        return {name: share + spare for name, share in wanted.items()}
    remaining = budget
    shares: dict[str, float] = {}
    by_demand = sorted(wanted.items(), key=lambda item: (item[1], item[0]))
    for position, (name, demand) in enumerate(by_demand):
        equal_share = remaining / (count - position)
        shares[name] = min(demand, max(floor, equal_share))
        remaining -= shares[name]
    return {name: round(shares[name], DIVISION_DECIMALS) for name in demands}


class QuotaShare:
    """One instance's share of one limit.

    Attributes:
        own_name: Name of this instance among the members.
        instance_count: Configured number of instances, which counts until a view is known.
        share: Fraction of the limit that this instance may use.
        demand: Fraction of the limit that it is asked for, 1 at most.
        peers: What the other members announced last.
        members: Names in the last settled view.
        lost_members: Members that went missing without leaving.
        partitioned: Whether the view may be that of one side of a network partition.
    """

    def __init__(self, own_name: str, instance_count: int) -> None:
        self.own_name = own_name
        self.instance_count = instance_count
        self.share = MIN_SHARE_FRACTION / instance_count
        self.demand = 0.0
        self.peers: dict[str, PeerQuota] = {}
        self.members: set[str] = set()
        self.lost_members: set[str] = set()
        self.partitioned = False

    def update_peer(self, now: int, origin: str, share: float, demand: float) -> None:
        """Take what another instance announced; values out of range are ignored.

        Args:
            now: When it was announced, in microseconds.
            origin: Name of the other instance.
            share: Fraction of the limit that it holds or is about to take.
            demand: Fraction of the limit that it is asked for.
        """
        if origin != self.own_name and 0 <= share <= OVERCOMMIT_LIMIT and demand >= 0:
            self.peers[origin] = PeerQuota(share, min(demand, 1.0), now)

    def update_members(self, members: Collection[str], left: Collection[str], partitioned: bool) -> None:
        """Take the settled view; an empty one changes nothing.

        Args:
            members: Names of all members, this instance among them.
            left: Names of those that have left by themselves.
            partitioned: Whether the view may be that of one side of a network partition.
        """
        current = set(members)
        if not current:
            return
        self.lost_members = (self.lost_members | (self.members - current)) - current - set(left)
        self.members = current
        self.partitioned = partitioned
        for name in [name for name in self.peers if name not in current]:
            del self.peers[name]

    def step(self, now: int, demand: float) -> float:
        """Adjust the share; to be called every `STEP_INTERVAL`.

        Args:
            now: Microseconds.
            demand: What this instance is asked for, as a fraction of the limit.

        Returns:
            The share that it may use from now on.
        """
        self.demand = min(max(demand, 0.0), 1.0)
        peer_names = sorted(self.members - {self.own_name})
        if not peer_names:
            # Nobody else is known: an equal share of as many as there are said to be, or as there were.
            self.share = 1.0 / max(self.instance_count, self._fleet_size())
        elif not self._has_heard_all(now, peer_names):
            self.share = min(self.share, 1.0 / self._fleet_size())
        else:
            self._approach_target(peer_names)
        return self.share

    def _fleet_size(self) -> int:
        return len(self.members) + len(self.lost_members)

    def _has_heard_all(self, now: int, peer_names: list[str]) -> bool:
        oldest = now - FRESH_STEPS * STEP_INTERVAL
        return all(name in self.peers and self.peers[name].at >= oldest for name in peer_names)

    def _budget(self) -> float:
        """Fraction of the limit that the members of the view may use together."""
        fleet_size = self._fleet_size()
        budget = min(1.0, OVERCOMMIT_LIMIT - len(self.lost_members) / fleet_size)
        if self.partitioned:
            budget = min(budget, len(self.members) / fleet_size)
        return budget

    def _approach_target(self, peer_names: list[str]) -> None:
        demands = {name: self.peers[name].demand for name in peer_names}
        demands[self.own_name] = self.demand
        budget = self._budget()
        targets = divide_limit(demands, budget, MIN_SHARE_FRACTION / len(demands))
        target = targets[self.own_name]
        if target < self.share * (1 - SHRINK_TOLERANCE):
            self.share = target
        elif target > self.share:
            peer_shares = {name: self.peers[name].share for name in peer_names}
            # Peers that grow too may not know of this growth yet: as long as an announcement counts, all of
            # them find room together.
            growing = 1 + sum(targets[name] > share for name, share in peer_shares.items())
            free = budget - self.share - sum(peer_shares.values())
            self.share += max(0.0, min(target - self.share, free / (growing * FRESH_STEPS)))
