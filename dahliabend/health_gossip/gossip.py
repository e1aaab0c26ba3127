"""Exchange of health reports: own reports go out, those of others are merged, weighed and passed on.

A driver feeds in outcomes, datagrams and the time, and sends what `outbox` holds. At each tick the own report
and the newest reports of others go to a few members drawn at random, so that the bytes sent are bounded
whatever the size of the fleet. Reported are upstreams that fail, and those that serve while another instance
reports them as failing; if nothing fails, nothing is sent.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple, TypeVar

import msgspec

from dahliabend.health_gossip.aggregation import QuorumSettings, SuspectedUpstream, aggregate
from dahliabend.health_gossip.local_observations import LocalObservations
from dahliabend.health_gossip.report_table import ReceivedReport, ReportTable, UpstreamKey
from dahliabend.health_gossip.reports import (
    MAX_COUNT,
    MAX_ROWS,
    HealthReport,
    QuotaAnnouncement,
    UpstreamCounts,
)
from dahliabend.leases.lease import LeaseAnnouncement
from dahliabend.model import Outcome

MS = 1_000  # microseconds
GOSSIP_INTERVAL = 500 * MS
REPORT_WINDOW = 3_000 * MS  # what a report covers, and how long it counts
FANOUT = 3  # members that get a datagram at each tick
MAX_DATAGRAM_BYTES = 1_200  # of reports
MAX_LIST_BYTES = MAX_DATAGRAM_BYTES // 2  # of one list in the own report
MAX_FORWARDS = 2  # times that this instance passes another's report on

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[HealthReport]).decode


_Item = TypeVar("_Item", bound=msgspec.Struct)


class OutgoingDatagram(NamedTuple):
    """A datagram for a member."""

    member: str
    payload: bytes


class HealthGossip:
    """Health reports of one instance. Times are microseconds.

    Attributes:
        own_name: Name of this instance among the members.
        generation: Start of this process; a later process of the same name has a later one.
        observations: Outcomes of this instance's own attempts, by pool.
        report_table: Latest reports of the others.
        sequence: Number of the last own report.
        outbox: Datagrams to be sent; the driver empties it.
        last_reported: When an upstream was last reported to the policy as suspected.
        undecodable: Datagrams that could not be decoded.
        suspected_count: Suspected upstreams reported to the policy so far.
        leases: Returns the leases to announce at a time; None if this instance takes part in none.
        on_lease: Called with the time and each lease that another instance announces.
        quotas: Returns the shares of limits to announce; None if this instance has none.
        on_quota: Called with the time, the origin and each share that another instance announces.
    """

    def __init__(
        self, own_name: str, generation: int, chance: Random, settings: QuorumSettings | None = None
    ) -> None:
        """Create the gossip of one instance.

        Args:
            own_name: Name of this instance among the members.
            generation: Start of this process; has to rise with each process of the same name.
            chance: Source of randomness for the choice of members.
            settings: When an upstream is suspected.
        """
        self.own_name = own_name
        self.generation = generation
        self.observations: dict[str, LocalObservations] = {}
        self.report_table = ReportTable(own_name, REPORT_WINDOW)
        self.sequence = 0
        self.outbox: list[OutgoingDatagram] = []
        self.last_reported: dict[UpstreamKey, int] = {}
        self.undecodable = 0
        self.suspected_count = 0
        self.leases: Callable[[int], list[LeaseAnnouncement]] | None = None
        self.on_lease: Callable[[int, LeaseAnnouncement], object] | None = None
        self.quotas: Callable[[], list[QuotaAnnouncement]] | None = None
        self.on_quota: Callable[[int, str, QuotaAnnouncement], object] | None = None
        self._chance = chance
        self._settings = settings or QuorumSettings()
        self._last_report_had_counts = False

    # Input.

    def record_outcome(self, now: int, pool: str, upstream: str, outcome: Outcome) -> None:
        """Count the end of an own attempt."""
        observations = self.observations.get(pool)
        if observations is None:
            observations = LocalObservations(REPORT_WINDOW)
            self.observations[pool] = observations
        observations.record_outcome(now, upstream, outcome)

    def receive(self, now: int, data: bytes) -> None:
        """Merge the reports of a datagram from a member; its bytes need not make sense."""
        try:
            reports = _decode(data)
        except (ValueError, RecursionError):  # msgspec's errors are ValueErrors
            self.undecodable += 1
            return
        for report in reports[:MAX_ROWS]:
            if self.report_table.merge(now, report):
                self._pass_to_listeners(now, report)

    def _pass_to_listeners(self, now: int, report: HealthReport) -> None:
        if self.on_lease is not None:
            for lease in report.leases:
                self.on_lease(now, msgspec.structs.replace(lease, age_ms=lease.age_ms + report.age_ms))
        if self.on_quota is not None:
            for quota in report.quotas:
                self.on_quota(now - report.age_ms * MS, report.origin, quota)

    # Output.

    def tick(self, now: int, members: Iterable[str]) -> None:
        """Put the datagrams of one gossip interval into `outbox`.

        Args:
            now: Microseconds.
            members: Names of all members.
        """
        others = [name for name in members if name != self.own_name]
        if not others:
            return
        own_report = self.report(now)
        packed = self._pack(now, own_report)
        nothing_to_report = not own_report.has_content and len(packed) == 1
        if nothing_to_report and not self._last_report_had_counts:
            return  # and nothing to take back
        self._last_report_had_counts = bool(own_report.counts)
        payload = _encode(packed)
        for name in self._chance.sample(others, min(FANOUT, len(others))):
            self.outbox.append(OutgoingDatagram(name, payload))

    def report(self, now: int) -> HealthReport:
        """Make the next own report, with as much of each list as fits."""
        self.sequence += 1
        leases = _take_fitting(self.leases(now)) if self.leases is not None else []
        quotas = self.quotas()[:MAX_ROWS] if self.quotas is not None else []
        return HealthReport(
            origin=self.own_name,
            generation=self.generation,
            sequence=self.sequence,
            age_ms=0,
            relay_count=0,
            counts=_take_fitting(self.counts(now)),
            leases=leases,
            quotas=quotas,
        )

    def counts(self, now: int) -> list[UpstreamCounts]:
        """Return what there is to report of upstreams: first those with most failures, then most attempts."""
        reported_failing = {
            key
            for received in self.report_table.origins.values()
            for key, row in received.counts.items()
            if row.failures
        }
        rows = [
            UpstreamCounts(pool, upstream, min(attempts, MAX_COUNT), min(failures, MAX_COUNT))
            for pool, observations in self.observations.items()
            for upstream, (attempts, failures) in observations.counts(now).items()
            if failures or UpstreamKey(pool, upstream) in reported_failing
        ]
        rows.sort(key=lambda row: (-row.failures, -row.attempts, row.upstream))
        return rows

    def _pack(self, now: int, own_report: HealthReport) -> list[msgspec.Raw]:
        """Encode the own report and the newest others, as many as fit a datagram."""
        packed: list[msgspec.Raw] = []
        free = MAX_DATAGRAM_BYTES
        encoded = _encode(own_report)
        if len(encoded) <= free:
            free -= len(encoded)
            packed.append(msgspec.Raw(encoded))
        for received in self._forwardable(now):
            encoded = _encode(_relayed(now, received))
            if len(encoded) <= free:
                free -= len(encoded)
                packed.append(msgspec.Raw(encoded))
                received.forward_count += 1
        return packed

    def _forwardable(self, now: int) -> list[ReceivedReport]:
        """Return the reports to pass on: first those passed on least, here and on their way."""
        candidates = [
            received
            for received in self.report_table.fresh(now).values()
            if received.forward_count < MAX_FORWARDS and received.report.has_content
        ]
        candidates.sort(key=lambda each: (each.forward_count, each.report.relay_count, -each.created_at))
        return candidates

    # Effect.

    def report_suspected(
        self,
        now: int,
        pool: str,
        upstreams: set[str],
        members: set[str],
        on_suspected: Callable[[str, int, int], object],
    ) -> list[SuspectedUpstream]:
        """Report the suspected upstreams of a pool to its policy, each at most once in a window.

        Args:
            now: Microseconds.
            pool: Name of the pool.
            upstreams: Names of the upstreams in use.
            members: Names of the members whose reports count.
            on_suspected: Called with an upstream's name, attempts and failures that the suspicion counts for.

        Returns:
            What was reported.
        """
        own_counts = self.observations[pool].counts(now) if pool in self.observations else {}
        reports = self.report_table.fresh(now, members - {self.own_name})
        reported = []
        for suspected in aggregate(self._settings, pool, upstreams, reports, own_counts):
            key = UpstreamKey(pool, suspected.upstream)
            if now - self.last_reported.get(key, -REPORT_WINDOW) >= REPORT_WINDOW:
                self.last_reported[key] = now
                on_suspected(suspected.upstream, suspected.attempts, suspected.failures)
                reported.append(suspected)
        self.suspected_count += len(reported)
        for key in [key for key, at in self.last_reported.items() if now - at >= REPORT_WINDOW]:
            del self.last_reported[key]
        return reported


def _relayed(now: int, received: ReceivedReport) -> HealthReport:
    """Return a report as this instance passes it on."""
    report = received.report
    age_ms = (now - received.created_at) // MS
    return msgspec.structs.replace(report, age_ms=age_ms, relay_count=report.relay_count + 1)


def _take_fitting(items: list[_Item]) -> list[_Item]:
    """Return the first items, as many as fits."""
    fitting: list[_Item] = []
    free = MAX_LIST_BYTES
    for item in items[:MAX_ROWS]:
        free -= len(_encode(item))
        if free < 0:
            break
        fitting.append(item)
    return fitting
