"""The latest report of each origin: a map of last-writer-wins registers, a state-based CRDT.

Merging is commutative, associative and idempotent (Shapiro and others, 2011), so that the order and the
repetition of datagrams do not matter.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from dahliabend.health_gossip.reports import HealthReport, UpstreamCounts

MICROSECONDS_PER_MS = 1_000
DEFAULT_CAPACITY = 10_000  # origins


class UpstreamKey(NamedTuple):
    """An upstream of a pool, by their names."""

    pool: str
    upstream: str


@dataclass(slots=True)
class ReceivedReport:
    """A report with what this instance knows of it.

    Attributes:
        report: The report as it was received.
        created_at: When its origin made it, in microseconds of this instance's clock.
        forward_count: How often this instance has passed it on.
        counts: Its entries by upstream.
    """

    report: HealthReport
    created_at: int
    forward_count: int = 0
    counts: dict[UpstreamKey, UpstreamCounts] = field(default_factory=dict)


class ReportTable:
    """Reports of other instances that still count.

    Attributes:
        own_name: Name of this instance; its own reports are not kept.
        lifetime: Microseconds that a report counts after it was made.
        capacity: Most origins that are kept.
        origins: Latest report of each origin.
        rejected: Reports that were not valid.
    """

    def __init__(self, own_name: str, lifetime: int, capacity: int = DEFAULT_CAPACITY) -> None:
        self.own_name = own_name
        self.lifetime = lifetime
        self.capacity = capacity
        self.origins: dict[str, ReceivedReport] = {}
        self.rejected = 0

    def merge(self, now: int, report: HealthReport) -> bool:
        """Keep a report that is newer than the last one of its origin.

        Returns:
            Whether it was news; not if it is this instance's own, outdated, expired or not valid.
        """
        if report.origin == self.own_name:
            return False
        if not report.is_valid:
            self.rejected += 1
            return False
        received = self.origins.get(report.origin)
        if received is not None and not report.is_newer_than(received.report):
            return False
        age = report.age_ms * MICROSECONDS_PER_MS
        is_full = received is None and len(self.origins) >= self.capacity
        if age >= self.lifetime or is_full:
            return False
        counts = {UpstreamKey(row.pool, row.upstream): row for row in report.counts}
        self.origins[report.origin] = ReceivedReport(report, now - age, counts=counts)
        return True

    def fresh(self, now: int, members: set[str] | None = None) -> dict[str, ReceivedReport]:
        """Forget expired reports and return the others by origin.

        Args:
            now: Microseconds.
            members: Only reports of these are returned; None for all.
        """
        for origin in [
            name for name, received in self.origins.items() if now - received.created_at >= self.lifetime
        ]:
            del self.origins[origin]
        if members is None:
            return self.origins
        return {origin: received for origin, received in self.origins.items() if origin in members}
