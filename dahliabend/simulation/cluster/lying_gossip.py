"""Health gossip with false reports, to test how far other instances trust a faulty one."""

from collections.abc import Collection
from random import Random

from dahliabend.health_gossip.gossip import HealthGossip
from dahliabend.health_gossip.reports import HealthReport, UpstreamCounts

SAMPLED = 3  # attempts that a false report claims for each upstream
MAX_FALSE_COUNTS = 40  # upstreams in a false report
POOL = "main"


class LyingGossip(HealthGossip):
    """Health gossip that replaces its reports by false ones.

    The values of `lie`: with "dead" every upstream is reported as failing, with "well" none; with "old" the
    first report is repeated forever with new sequence numbers.
    """

    def __init__(self, name: str, generation: int, rng: Random, lie: str, upstreams: Collection[str]) -> None:
        """Create the gossip of the instance `name`; `upstreams` is read for each report and may change."""
        super().__init__(name, generation, rng)
        self.lie = lie
        self.upstreams = upstreams
        self.first_counts: list[UpstreamCounts] = []

    def report(self, now: int) -> HealthReport:
        """Return a false report with the header of the true one."""
        true_report = super().report(now)
        self.first_counts = self.first_counts or true_report.counts
        failed = SAMPLED if self.lie == "dead" else 0
        false_counts = [UpstreamCounts(POOL, name, SAMPLED, failed) for name in sorted(self.upstreams)]
        counts = self.first_counts if self.lie == "old" else false_counts[:MAX_FALSE_COUNTS]
        return HealthReport(true_report.origin, true_report.generation, true_report.sequence, 0, 0, counts)
