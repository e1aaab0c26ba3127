"""The latest report of each origin: a map of last-writer-wins registers, which is a state-based CRDT.

Merging is commutative, associative and idempotent (Shapiro and others, 2011), so that the order and the
repetition of datagrams do not matter.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from dahliabend.health_gossip.reports import HealthReport, UpstreamCounts

MICROSECONDS_PER_MS = 1_000
DEFAULT_CAPACITY = 10_000  # origins


class UpstreamKey(NamedTuple):
    """Key of an upstream: the name of its pool and its own name."""

    pool: str
    upstream: str


@dataclass(slots=True)
class ReceivedReport:
    """A received report with its local metadata.

    Attributes:
        report: The report as received.
        created_at: Time at which the origin created the report, in microseconds of this balancer's clock.
        forward_count: How often this balancer has forwarded the report.
        counts: Entries of the report by upstream.
    """

    report: HealthReport
    created_at: int
    forward_count: int = 0
    counts: dict[UpstreamKey, UpstreamCounts] = field(default_factory=dict)


class ReportTable:
    """The unexpired reports of other balancers.

    Attributes:
        own_name: Name of this balancer, whose own reports are not stored.
        lifetime: Time in microseconds for which a report counts after its creation.
        capacity: Maximum number of origins.
        origins: Latest report of each origin.
        rejected: Number of invalid reports received.
    """

    def __init__(self, own_name: str, lifetime: int, capacity: int = DEFAULT_CAPACITY) -> None:
        self.own_name = own_name
        self.lifetime = lifetime
        self.capacity = capacity
        self.origins: dict[str, ReceivedReport] = {}
        self.rejected = 0

    def merge(self, now: int, report: HealthReport) -> bool:
        """Store a report if it is newer than the last one of its origin.

        Returns:
            Whether the report was stored. It is not if it is this balancer's own, outdated, expired or
            invalid, or if the table is full.
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
        counts = {UpstreamKey(entry.pool, entry.upstream): entry for entry in report.counts}
        self.origins[report.origin] = ReceivedReport(report, now - age, counts=counts)
        return True

    def fresh(self, now: int, members: set[str] | None = None) -> dict[str, ReceivedReport]:
        """Remove expired reports and return the others by origin.

        Args:
            now: Current time in microseconds.
            members: Names of the members whose reports are returned; None for all.
        """
        for origin in [
            name for name, received in self.origins.items() if now - received.created_at >= self.lifetime
        ]:
            del self.origins[origin]
        if members is None:
            return self.origins
        return {origin: received for origin, received in self.origins.items() if origin in members}
