"""The messages of health gossip.

Each is encoded as an array of its fields in their order; the names of the fields are not on the wire.
"""

import msgspec

from dahliabend.leases.lease import LeaseAnnouncement

MAX_ENTRIES = 64  # length of each list in one report
MAX_COUNT = 1_000  # attempts that one entry may report
MAX_NAME_LENGTH = 64  # characters of an origin, a pool or an upstream


class UpstreamCounts(msgspec.Struct, array_like=True, frozen=True):
    """Outcomes at one upstream within the sender's window.

    Attributes:
        pool: Name of the upstream's pool.
        upstream: Name of the upstream in its endpoint list.
        attempts: Number of attempts that ended.
        failures: Number of these attempts that failed.
    """

    pool: str
    upstream: str
    attempts: int
    failures: int

    @property
    def is_valid(self) -> bool:
        """Whether the counts are within their bounds and the names are short enough."""
        return (
            0 < self.attempts <= MAX_COUNT
            and 0 <= self.failures <= self.attempts
            and len(self.upstream) <= MAX_NAME_LENGTH
            and len(self.pool) <= MAX_NAME_LENGTH
        )


class QuotaAnnouncement(msgspec.Struct, array_like=True, frozen=True):
    """The sender's share of one shared limit.

    Attributes:
        limit: Name of the limit.
        share: Fraction of the limit that the sender holds.
        demand: Demand of the sender as a fraction of the limit.
    """

    limit: str
    share: float
    demand: float


class HealthReport(msgspec.Struct, array_like=True, frozen=True):
    """The report of one balancer about upstreams, leases and shares of limits.

    Attributes:
        origin: Name of the reporting balancer.
        generation: Start time of the reporting process, raised above earlier ones of the same name; with
            `sequence` it orders the reports of one origin.
        sequence: Number of the report within the generation.
        age_ms: Milliseconds from the creation of the report until it was sent; clocks are not compared
            between balancers.
        relay_count: How often the report has been forwarded on its way, by any balancer.
        counts: Outcomes at upstreams.
        leases: Leases that the origin holds or claims.
        quotas: Shares that the origin holds of shared limits.
    """

    origin: str
    generation: int
    sequence: int
    age_ms: int
    relay_count: int
    counts: list[UpstreamCounts]
    leases: list[LeaseAnnouncement] = []
    quotas: list[QuotaAnnouncement] = []

    @property
    def is_valid(self) -> bool:
        """Whether all fields are within their bounds, and the origin is the holder of all leases."""
        return (
            0 < len(self.origin) <= MAX_NAME_LENGTH
            and min(self.generation, self.sequence, self.age_ms, self.relay_count) >= 0
            and max(len(self.counts), len(self.leases), len(self.quotas)) <= MAX_ENTRIES
            and all(lease.is_valid and lease.holder == self.origin for lease in self.leases)
            and all(entry.is_valid for entry in self.counts)
        )

    @property
    def has_content(self) -> bool:
        """Whether the report has any entries."""
        return bool(self.counts or self.leases or self.quotas)

    def is_newer_than(self, other: "HealthReport") -> bool:
        """Whether this report was created after another report of the same origin."""
        return (self.generation, self.sequence) > (other.generation, other.sequence)
