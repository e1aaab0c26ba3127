"""The messages of health gossip.

Each is encoded as an array of its fields in their order; the names of the fields are not on the wire.
"""

import msgspec

from dahliabend.leases.lease import LeaseAnnouncement

MAX_ROWS = 64  # entries of each kind in one report
MAX_COUNT = 1_000  # attempts that one entry may report
MAX_NAME_LENGTH = 64  # characters of an origin, a pool or an upstream


class UpstreamCounts(msgspec.Struct, array_like=True, frozen=True):
    """Outcomes at one upstream within the sender's window.

    Attributes:
        pool: Name of the upstream's pool.
        upstream: Name of the upstream in its endpoint list.
        attempts: Attempts that ended.
        failures: Attempts that failed, out of these.
    """

    pool: str
    upstream: str
    attempts: int
    failures: int

    @property
    def is_valid(self) -> bool:
        """Whether the counts are possible and the names short enough."""
        return (
            0 < self.attempts <= MAX_COUNT
            and 0 <= self.failures <= self.attempts
            and len(self.upstream) <= MAX_NAME_LENGTH
            and len(self.pool) <= MAX_NAME_LENGTH
        )


class QuotaAnnouncement(msgspec.Struct, array_like=True, frozen=True):
    """The sender's share of one limit of the whole fleet.

    Attributes:
        limit: Name of the limit.
        share: Fraction of the limit that the sender holds.
        demand: Fraction of the limit that the sender is asked for.
    """

    limit: str
    share: float
    demand: float


class HealthReport(msgspec.Struct, array_like=True, frozen=True):
    """What one instance reports.

    Attributes:
        origin: Name of the reporting instance.
        generation: Start of the reporting process; with `sequence` it orders the reports of one origin.
        sequence: Number of the report within the generation.
        age_ms: Milliseconds since it was made, when it was sent: clocks are not compared between instances.
        relay_count: How often it was passed on.
        counts: Outcomes at upstreams.
        leases: Leases that the origin holds or claims.
        quotas: Its shares of limits of the whole fleet.
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
        """Whether all fields are within their bounds, and leases are the origin's own."""
        return (
            0 < len(self.origin) <= MAX_NAME_LENGTH
            and min(self.generation, self.sequence, self.age_ms, self.relay_count) >= 0
            and max(len(self.counts), len(self.leases), len(self.quotas)) <= MAX_ROWS
            and all(lease.is_valid and lease.holder == self.origin for lease in self.leases)
            and all(row.is_valid for row in self.counts)
        )

    @property
    def has_content(self) -> bool:
        """Whether it reports anything."""
        return bool(self.counts or self.leases or self.quotas)

    def is_newer_than(self, other: "HealthReport") -> bool:
        """Whether it was made after another report of the same origin."""
        return (self.generation, self.sequence) > (other.generation, other.sequence)
