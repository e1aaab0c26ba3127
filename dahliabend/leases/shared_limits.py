"""Division of a shared limit among the balancers by their demand. The module does no I/O.

Every balancer announces its share and its demand, both as fractions of the limit, and computes the same
division. A share shrinks immediately, and grows only into capacity that no balancer holds, slowly enough that
balancers which do not yet know of each other's growth do not exceed that capacity together. A balancer that
lacks recent announcements of some others uses at most an equal share. The share of a member that was lost
without leaving stays reserved, except that a tenth more than the limit may be used: the member may be on the
other side of a partition and still admit requests.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

STEP_INTERVAL = 500_000  # microseconds between two steps
ANNOUNCEMENT_LIFETIME_STEPS = 6  # number of steps for which an announcement counts
MIN_SHARE_FRACTION = 1 / 4  # minimum share, as a fraction of an equal share, whatever the demand
OVERCOMMIT_LIMIT = 11 / 10  # of the limit; not exceeded even if members that seem dead are behind a partition
SHRINK_TOLERANCE = 1 / 50  # fraction of the share; a smaller surplus is not released
DIVISION_DECIMALS = 12  # shares are rounded, so that all balancers compute the same division


@dataclass(slots=True)
class PeerShare:
    """The last announcement of another balancer.

    Attributes:
        share: Fraction of the limit that the balancer holds or is about to take.
        demand: Demand of the balancer as a fraction of the limit, at most 1.
        at: Time of the announcement, in microseconds of this balancer's clock.
    """

    share: float
    demand: float
    at: int


def divide_limit(demands: Mapping[str, float], budget: float, floor: float) -> dict[str, float]:
    """Divide a budget by water-filling: the smallest demands are met first, the others get equal shares.

    Args:
        demands: Demand of each balancer; at least one entry.
        budget: Amount to divide, in the unit of the demands.
        floor: Minimum share of each balancer; an equal share if the budget is too small for it.

    Returns:
        The share of each balancer. What the budget exceeds the whole demand by is spread evenly.

    >>> divide_limit({"a": 0.1, "b": 0.9, "c": 0.7}, 1.0, 0.05)
    {'a': 0.1, 'b': 0.45, 'c': 0.45}
    """
    count = len(demands)
    floor = min(floor, budget / count)
    raised_demands = {name: max(floor, demand) for name, demand in demands.items()}
    if sum(raised_demands.values()) <= budget:
        spare = (budget - sum(raised_demands.values())) / count
        return {name: share + spare for name, share in raised_demands.items()}
    remaining = budget
    shares: dict[str, float] = {}
    by_demand = sorted(raised_demands.items(), key=lambda item: (item[1], item[0]))
    for position, (name, demand) in enumerate(by_demand):
        equal_share = remaining / (count - position)
        shares[name] = min(demand, max(floor, equal_share))
        remaining -= shares[name]
    return {name: round(shares[name], DIVISION_DECIMALS) for name in demands}


class QuotaShare:
    """One balancer's share of one limit.

    Attributes:
        own_name: Name of this balancer among the members.
        instance_count: Configured number of balancers, used until a view is known.
        share: Fraction of the limit that this balancer may use.
        demand: Demand of this balancer as a fraction of the limit, at most 1.
        peers: Last announcement of each other member, by name.
        members: Names of the members in the last stable view.
        lost_members: Names of members that disappeared from the view without leaving.
        partitioned: Whether the view may be that of one side of a network partition.
    """

    def __init__(self, own_name: str, instance_count: int) -> None:
        self.own_name = own_name
        self.instance_count = instance_count
        self.share = MIN_SHARE_FRACTION / instance_count
        self.demand = 0.0
        self.peers: dict[str, PeerShare] = {}
        self.members: set[str] = set()
        self.lost_members: set[str] = set()
        self.partitioned = False

    def update_peer(self, now: int, origin: str, share: float, demand: float) -> None:
        """Store the announcement of another balancer; values out of range are ignored.

        Args:
            now: Time of the announcement in microseconds.
            origin: Name of the other balancer.
            share: Fraction of the limit that it holds or is about to take.
            demand: Its demand as a fraction of the limit.
        """
        if origin != self.own_name and 0 <= share <= OVERCOMMIT_LIMIT and demand >= 0:
            self.peers[origin] = PeerShare(share, min(demand, 1.0), now)

    def update_members(self, members: Collection[str], left: Collection[str], partitioned: bool) -> None:
        """Set the members from the last stable view; an empty view is ignored.

        Args:
            members: Names of all members, this balancer among them.
            left: Names of the members that have announced that they leave.
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
            now: Current time in microseconds.
            demand: Demand of this balancer as a fraction of the limit.

        Returns:
            The share that this balancer may use from now on.
        """
        self.demand = min(max(demand, 0.0), 1.0)
        peer_names = sorted(self.members - {self.own_name})
        if not peer_names:
            # No other member is known: an equal share by the configured or the last known number of
            # balancers, whichever is larger.
            self.share = 1.0 / max(self.instance_count, self._fleet_size())
        elif not self._has_recent_announcements(now, peer_names):
            self.share = min(self.share, 1.0 / self._fleet_size())
        else:
            self._move_towards_target(peer_names)
        return self.share

    def _fleet_size(self) -> int:
        return len(self.members) + len(self.lost_members)

    def _has_recent_announcements(self, now: int, peer_names: list[str]) -> bool:
        oldest = now - ANNOUNCEMENT_LIFETIME_STEPS * STEP_INTERVAL
        return all(name in self.peers and self.peers[name].at >= oldest for name in peer_names)

    def _budget(self) -> float:
        """Return the fraction of the limit that the members of the view may use together."""
        fleet_size = self._fleet_size()
        budget = min(1.0, OVERCOMMIT_LIMIT - len(self.lost_members) / fleet_size)
        if self.partitioned:
            budget = min(budget, len(self.members) / fleet_size)
        return budget

    def _move_towards_target(self, peer_names: list[str]) -> None:
        demands = {name: self.peers[name].demand for name in peer_names}
        demands[self.own_name] = self.demand
        budget = self._budget()
        targets = divide_limit(demands, budget, MIN_SHARE_FRACTION / len(demands))
        target = targets[self.own_name]
        if target < self.share * (1 - SHRINK_TOLERANCE):
            self.share = target
        elif target > self.share:
            peer_shares = {name: self.peers[name].share for name in peer_names}
            # Other growing balancers may not know of this growth yet. The free capacity is therefore divided
            # by their number and by the steps for which an announcement counts.
            growing = 1 + sum(targets[name] > share for name, share in peer_shares.items())
            free = budget - self.share - sum(peer_shares.values())
            self.share += max(0.0, min(target - self.share, free / (growing * ANNOUNCEMENT_LIFETIME_STEPS)))
