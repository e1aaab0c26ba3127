"""The machine of signals: reports out to some others at each beat, theirs merged, and what is believed.

Feed it what ended, datagrams and the time; it leaves datagrams for members by name in `out`. Each beat its
own report and the newest of others go to a few members drawn anew: bounded in bytes whatever the fleet's
size. Told is what is bad, and what is well where another says that it is bad: in calm there is nothing to
tell.
"""

from collections.abc import Callable, Iterable
from random import Random

import msgspec

from dahliabend.health_gossip.aggregation import QuorumSettings, SuspectedUpstream, aggregate
from dahliabend.health_gossip.local_observations import LocalObservations
from dahliabend.health_gossip.report_table import (
    MAX_COUNT,
    MAX_ROWS,
    HealthReport,
    QuotaAnnouncement,
    ReportTable,
    UpstreamCounts,
)
from dahliabend.leases.lease import LeaseAnnouncement
from dahliabend.model import Outcome

MS = 1_000
GOSSIP_INTERVAL = 500 * MS
REPORT_WINDOW = 3_000 * MS  # what a report tells of, and how long it counts
FANOUT = 3  # members that a datagram goes to in each beat
MAX_DATAGRAM_BYTES = 1_200  # bytes of a datagram for reports
MAX_FORWARDS = 2  # times that another's report is passed on from here

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[HealthReport]).decode


def fitting(items: list) -> list:
    """The first ones, as many as half a datagram holds."""
    kept, room = [], MAX_DATAGRAM_BYTES // 2
    for item in items[:MAX_ROWS]:
        room -= len(_encode(item))
        if room < 0:
            break
        kept.append(item)
    return kept


class HealthGossip:
    def __init__(self, me: str, generation: int, chance: Random, terms: QuorumSettings | None = None) -> None:
        self.own_name, self.generation, self.chance, self.terms = (
            me,
            generation,
            chance,
            terms or QuorumSettings(),
        )
        self.observations: dict[str, LocalObservations] = {}  # by pool
        self.report_table = ReportTable(me, REPORT_WINDOW)
        self.sequence = 0
        self.outbox: list[tuple[str, bytes]] = []  # member and datagram
        self.last_reported: dict[tuple[str, str], int] = {}  # when a belief was last told to the decisions
        self.undecodable = self.suspected_count = 0
        self.last_report_had_counts = False  # did its last report say anything?
        self.leases: Callable[[int], list[LeaseAnnouncement]] | None = (
            None  # what it does in turn with others, to be told
        )
        self.on_lease: Callable[[int, LeaseAnnouncement], None] | None = None  # and who is told of theirs
        self.quotas: Callable[[], list[QuotaAnnouncement]] | None = None  # of limits that it shares
        self.on_quota: Callable[[int, str, QuotaAnnouncement], None] | None = None

    # What comes in.

    def record_outcome(self, now: int, pool: str, name: str, outcome: Outcome) -> None:
        self.observations.setdefault(pool, LocalObservations(REPORT_WINDOW)).record_outcome(
            now, name, outcome
        )

    def receive(self, now: int, data: bytes) -> None:
        """From a member; anything may stand in it."""
        try:
            reports = _decode(data)
        except (ValueError, RecursionError):  # msgspec's errors are ValueErrors
            self.undecodable += 1
            return
        for report in reports[:MAX_ROWS]:
            news = self.report_table.merge(now, report)
            if news and self.on_lease is not None:
                for done in report.leases:
                    self.on_lease(now, msgspec.structs.replace(done, age_ms=done.age_ms + report.age_ms))
            if news and self.on_quota is not None:
                for parted in report.quotas:
                    self.on_quota(now - report.age_ms * MS, report.origin, parted)

    # What goes out.

    def tick(self, now: int, members: Iterable[str]) -> None:
        others = [name for name in members if name != self.own_name]
        if not others:
            return
        mine = self.report(now)
        self.report_table.fresh(now)
        # The newest first: they have been passed on least, here and on their way.
        ordered = sorted(
            self.report_table.origins.values(),
            key=lambda held: (held.forward_count, held.report.relays, -held.created_at),
        )
        parts, room = [], MAX_DATAGRAM_BYTES
        for held in [None, *ordered]:
            if held is not None and held.forward_count >= MAX_FORWARDS:
                continue
            report = mine if held is None else msgspec.structs.replace(
                held.report, age_ms=(now - held.created_at) // MS, relays=held.report.relays + 1
            )  # fmt: skip
            if not (report.counts or report.leases or report.quotas) and held is not None:
                continue
            packed = _encode(report)
            if len(packed) > room:
                continue
            room -= len(packed)
            parts.append(msgspec.Raw(packed))
            if held is not None:
                held.forward_count += 1
        if len(parts) == 1 and not (mine.counts or mine.leases or mine.quotas or self.last_report_had_counts):
            return  # nothing to tell, and nothing to take back
        self.last_report_had_counts = bool(mine.counts)
        data = _encode(parts)
        for name in self.chance.sample(others, min(FANOUT, len(others))):
            self.outbox.append((name, data))

    def report(self, now: int) -> HealthReport:
        """Of rows and turns as many each as half a datagram holds."""
        self.sequence += 1
        turns = fitting(self.leases(now)) if self.leases is not None else []
        shares = self.quotas()[:MAX_ROWS] if self.quotas is not None else []
        return HealthReport(
            self.own_name, self.generation, self.sequence, 0, 0, fitting(self.counts(now)), turns, shares
        )

    def counts(self, now: int) -> list[UpstreamCounts]:
        """What there is to tell, the most surprising first: what fails, then what there is most of."""
        doubted = {
            key for held in self.report_table.origins.values() for key, (_, bad) in held.counts.items() if bad
        }
        rows = [
            UpstreamCounts(pool, name, min(attempts, MAX_COUNT), min(bad, MAX_COUNT))
            for pool, seen in self.observations.items()
            for name, (attempts, bad) in seen.counts(now).items()
            if bad or (pool, name) in doubted
        ]
        rows.sort(key=lambda row: (-row.failures, -row.attempts, row.upstream))
        return rows

    # What it is worth.

    def report_suspected(
        self, now: int, pool: str, names: set[str], members: set[str], told: Callable[[str, int, int], None]
    ) -> list[SuspectedUpstream]:
        """Has the decisions of a pool told what is believed of the upstreams that they use, each once in a
        window. Gives what it told."""
        own = self.observations[pool].counts(now) if pool in self.observations else {}
        made = []
        for each in aggregate(
            self.terms, pool, names, self.report_table.fresh(now, members - {self.own_name}), own
        ):
            key = pool, each.upstream
            if now - self.last_reported.get(key, -REPORT_WINDOW) >= REPORT_WINDOW:
                self.last_reported[key] = now
                told(each.upstream, each.attempts, each.failures)
                made.append(each)
        self.suspected_count += len(made)
        for key in [key for key, at in self.last_reported.items() if now - at >= REPORT_WINDOW]:
            del self.last_reported[key]
        return made
