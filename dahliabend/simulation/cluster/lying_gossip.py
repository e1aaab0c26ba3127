"""An instance whose health reports are false, to test how much the others believe."""

from collections.abc import Collection
from random import Random

from dahliabend.health_gossip.gossip import HealthGossip
from dahliabend.health_gossip.reports import HealthReport, UpstreamCounts

SAMPLED = 3  # attempts that a false row claims
MAX_FALSE_ROWS = 40
POOL = "main"


class LyingGossip(HealthGossip):
    """Reports what is not so.

    The lies: `dead`, every upstream fails; `well`, none does; `old`, its first report for ever, as new.
    """

    def __init__(self, name: str, generation: int, rng: Random, lie: str, upstreams: Collection[str]) -> None:
        """Create the instance `name`; `upstreams` may change while it runs."""
        super().__init__(name, generation, rng)
        self.lie = lie
        self.upstreams = upstreams
        self.first_counts: list[UpstreamCounts] = []

    def report(self, now: int) -> HealthReport:
        """The false report, in the place of the true one."""
        true = super().report(now)
        self.first_counts = self.first_counts or true.counts
        failed = SAMPLED if self.lie == "dead" else 0
        rows = [UpstreamCounts(POOL, name, SAMPLED, failed) for name in sorted(self.upstreams)]
        counts = self.first_counts if self.lie == "old" else rows[:MAX_FALSE_ROWS]
        return HealthReport(true.origin, true.generation, true.sequence, 0, 0, counts)
