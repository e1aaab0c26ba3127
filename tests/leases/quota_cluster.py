"""Instances that share one limit, on a simulated network with partitions and lost announcements."""

from collections.abc import Collection, Iterable
from random import Random

from dahliabend.leases.shared_limits import STEP_INTERVAL, QuotaShare


class QuotaCluster:
    """Shares that step together, and receive each other's announcements one step later.

    The test sets the views, with the delay after which membership notices partitions and deaths.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.random = Random(seed)
        self.now = STEP_INTERVAL
        self.count = count
        self.names = [f"b{n}" for n in range(count)]
        self.shares = {name: QuotaShare(name, count) for name in self.names}
        self.demands = {name: self.random.uniform(0, 2 / count) for name in self.names}
        self.side = dict.fromkeys(self.names, 0)  # side of the partition on which each instance is
        self.loss = 0.0
        self.highest_total = 0.0
        self.update_views(self.names, self.names, partitioned=False)

    def update_views(
        self,
        names: Iterable[str],
        members: Collection[str],
        *,
        partitioned: bool,
        left: Collection[str] = (),
    ) -> None:
        for name in names:
            if name in self.shares:
                self.shares[name].update_members(members, left, partitioned)

    def run(self, steps: int) -> "QuotaCluster":
        for _ in range(steps):
            self.now += STEP_INTERVAL
            announced = []
            for name in self.random.sample(list(self.shares), len(self.shares)):
                quota = self.shares[name]
                quota.step(self.now, self.demands[name])
                announced.append((name, quota.share, quota.demand))
            self.highest_total = max(self.highest_total, self.total())
            for name, share, demand in announced:
                for receiver, quota in self.shares.items():
                    if self.side[name] == self.side[receiver] and self.random.random() >= self.loss:
                        quota.update_peer(self.now, name, share, demand)
        return self

    def total(self) -> float:
        return sum(quota.share for quota in self.shares.values())
