"""What each origin told last: a map of registers, the last writer of each wins (a state-based CRDT: Shapiro
and others, 2011). Merging is commutative, associative and idempotent: order and repeats don't matter.
"""

from dataclasses import dataclass, field

import msgspec

from dahliabend.leases.lease import LeaseAnnouncement

MAX_ROWS = 64  # upstreams of one report
MAX_COUNT = 1_000  # hops that a row may tell of


class UpstreamCounts(msgspec.Struct, array_like=True, frozen=True):
    """Of one upstream, within the sender's window."""

    pool: str
    upstream: str
    attempts: int
    failures: int


class QuotaAnnouncement(msgspec.Struct, array_like=True, frozen=True):
    """Of one shared limit: the part of it that the sender holds, and what it is asked, both of the whole."""

    limit: str
    share: float
    demand: float


class HealthReport(msgspec.Struct, array_like=True, frozen=True):
    """What one origin tells. `life` and `number` order its reports; `age` is how old it was when this
    datagram left, in milliseconds: clocks are compared nowhere. `hops`: how many have passed it on."""

    origin: str
    generation: int
    sequence: int
    age_ms: int
    relays: int
    counts: list[UpstreamCounts]
    leases: list[LeaseAnnouncement] = []
    quotas: list[QuotaAnnouncement] = []

    @property
    def is_valid(self) -> bool:
        return (
            0 < len(self.origin) <= 64
            and min(self.generation, self.sequence, self.age_ms, self.relays) >= 0
            and max(len(self.counts), len(self.leases), len(self.quotas)) <= MAX_ROWS
            and all(done.is_valid and done.holder == self.origin for done in self.leases)
            and all(
                0 < row.attempts <= MAX_COUNT
                and 0 <= row.failures <= row.attempts
                and len(row.upstream) <= 64
                and len(row.pool) <= 64
                for row in self.counts
            )
        )


@dataclass(slots=True)
class ReceivedReport:
    report: HealthReport
    created_at: int  # when it was told at its origin, by this instance's clock
    forward_count: int = 0  # how often it was passed on from here
    counts: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)


class ReportTable:
    """`most` origins at the most, `lasts` microseconds each."""

    def __init__(self, me: str, lasts: int, most: int = 10_000) -> None:
        self.own_name, self.lifetime, self.most = me, lasts, most
        self.origins: dict[str, ReceivedReport] = {}
        self.rejected = 0

    def merge(self, now: int, report: HealthReport) -> bool:
        """Is it news? Its own come back is not, nor what is older than what is held, unsound or too old."""
        if report.origin == self.own_name:
            return False
        if not report.is_valid:
            self.rejected += 1
            return False
        held = self.origins.get(report.origin)
        if held is not None and (report.generation, report.sequence) <= (
            held.report.generation,
            held.report.sequence,
        ):
            return False
        if report.age_ms * 1_000 >= self.lifetime or held is None and len(self.origins) >= self.most:
            return False
        rows = {(row.pool, row.upstream): (row.attempts, row.failures) for row in report.counts}
        self.origins[report.origin] = ReceivedReport(report, now - report.age_ms * 1_000, counts=rows)
        return True

    def fresh(self, now: int, members: set[str] | None = None) -> dict[str, ReceivedReport]:
        """Those that still count; `members`: of whom anything counts at all. Others are forgotten."""
        for origin in [o for o, held in self.origins.items() if now - held.created_at >= self.lifetime]:
            del self.origins[origin]
        if members is None:
            return self.origins
        return {origin: held for origin, held in self.origins.items() if origin in members}
