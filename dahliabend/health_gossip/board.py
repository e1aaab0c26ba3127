"""What each origin told last: a map of registers, the last writer of each wins (a state-based CRDT: Shapiro
and others, 2011). Merging is commutative, associative and idempotent: order and repeats don't matter.
"""

from dataclasses import dataclass, field

import msgspec

from dahliabend.leases.election import LeaseAnnouncement

MOST_ROWS = 64  # upstreams of one report
MOST_COUNT = 1_000  # hops that a row may tell of


class Row(msgspec.Struct, array_like=True, frozen=True):
    """Of one upstream, within the sender's window."""

    pool: str
    name: str
    tried: int
    bad: int


class Parted(msgspec.Struct, array_like=True, frozen=True):
    """Of one shared limit: the part of it that the sender holds, and what it is asked, both of the whole."""

    limit: str
    part: float
    ask: float


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What one origin tells. `life` and `number` order its reports; `age` is how old it was when this
    datagram left, in milliseconds: clocks are compared nowhere. `hops`: how many have passed it on."""

    origin: str
    life: int
    number: int
    age: int
    hops: int
    rows: list[Row]
    turns: list[LeaseAnnouncement] = []
    parts: list[Parted] = []

    @property
    def sound(self) -> bool:
        return (
            0 < len(self.origin) <= 64
            and min(self.life, self.number, self.age, self.hops) >= 0
            and max(len(self.rows), len(self.turns), len(self.parts)) <= MOST_ROWS
            and all(done.sound and done.owner == self.origin for done in self.turns)
            and all(0 < row.tried <= MOST_COUNT and 0 <= row.bad <= row.tried and len(row.name) <= 64
                    and len(row.pool) <= 64 for row in self.rows)
        )  # fmt: skip


@dataclass(slots=True)
class Held:
    report: Report
    since: int  # when it was told at its origin, by this instance's clock
    passed: int = 0  # how often it was passed on from here
    rows: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)


class Board:
    """`most` origins at the most, `lasts` microseconds each."""

    def __init__(self, me: str, lasts: int, most: int = 10_000) -> None:
        self.me, self.lasts, self.most = me, lasts, most
        self.origins: dict[str, Held] = {}
        self.refused = 0

    def merge(self, now: int, report: Report) -> bool:
        """Is it news? Its own come back is not, nor what is older than what is held, unsound or too old."""
        if report.origin == self.me:
            return False
        if not report.sound:
            self.refused += 1
            return False
        held = self.origins.get(report.origin)
        if held is not None and (report.life, report.number) <= (held.report.life, held.report.number):
            return False
        if report.age * 1_000 >= self.lasts or held is None and len(self.origins) >= self.most:
            return False
        rows = {(row.pool, row.name): (row.tried, row.bad) for row in report.rows}
        self.origins[report.origin] = Held(report, now - report.age * 1_000, rows=rows)
        return True

    def fresh(self, now: int, members: set[str] | None = None) -> dict[str, Held]:
        """Those that still count; `members`: of whom anything counts at all. Others are forgotten."""
        for origin in [o for o, held in self.origins.items() if now - held.since >= self.lasts]:
            del self.origins[origin]
        if members is None:
            return self.origins
        return {origin: held for origin, held in self.origins.items() if origin in members}
