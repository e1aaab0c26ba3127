"""Exchange of health reports: a balancer sends its own, and merges, evaluates and forwards those of others.

The owner passes in outcomes, datagrams and the current time, and sends the datagrams in `outbox`. At each
tick this balancer's report and the newest reports of others are sent to a few random members, so that the
bytes sent are bounded whatever the size of the fleet. A report lists upstreams that fail, and upstreams that
work for this balancer while another one reports them as failing. If nothing fails, nothing is sent.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple, TypeVar

import msgspec

from dahliabend.health_gossip.aggregation import QuorumSettings, SuspectedUpstream, aggregate
from dahliabend.health_gossip.local_observations import LocalObservations
from dahliabend.health_gossip.report_table import (
    MICROSECONDS_PER_MS,
    ReceivedReport,
    ReportTable,
    UpstreamKey,
)
from dahliabend.health_gossip.reports import (
    MAX_COUNT,
    MAX_ENTRIES,
    HealthReport,
    QuotaAnnouncement,
    UpstreamCounts,
)
from dahliabend.leases.lease import LeaseAnnouncement
from dahliabend.model import Outcome

GOSSIP_INTERVAL = 500 * MICROSECONDS_PER_MS
REPORT_WINDOW = 3_000 * MICROSECONDS_PER_MS  # time that a report covers, and for which it counts
FANOUT = 3  # members that are sent a datagram at each tick
MAX_PAYLOAD_BYTES = 1_200  # encoded reports in one datagram
MAX_LIST_BYTES = MAX_PAYLOAD_BYTES // 2  # bytes of one list in this balancer's own report
MAX_FORWARDS = 2  # how often this balancer forwards the same report of another one

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(list[HealthReport]).decode


_Item = TypeVar("_Item", bound=msgspec.Struct)


class OutgoingDatagram(NamedTuple):
    """A datagram to send, and the name of the member that it is for."""

    member: str
    payload: bytes


class HealthGossip:
    """The health reports that one balancer sends and receives. Times are in microseconds.

    Attributes:
        own_name: Name of this balancer among the members.
        generation: Start time of this process, raised above earlier ones of the same name.
        observations: Outcomes of this balancer's own attempts, by pool.
        report_table: Latest reports of the other balancers.
        sequence: Number of this balancer's last report.
        outbox: Datagrams to send; the owner empties the list.
        last_notified: Time at which the policy was last notified that each upstream is suspected.
        undecodable: Number of received datagrams that could not be decoded.
        suspected_count: Number of suspected upstreams of which the policy has been notified so far.
        leases: Returns the leases to announce at a given time; None if this balancer takes part in none.
        on_lease: Called with the time and each lease that another balancer announces.
        quotas: Returns the shares of limits to announce; None if this balancer has none.
        on_quota: Called with the time, the origin and each share that another balancer announces.
    """

    def __init__(
        self, own_name: str, generation: int, random: Random, settings: QuorumSettings | None = None
    ) -> None:
        """Create the gossip of one balancer.

        Args:
            own_name: Name of this balancer among the members.
            generation: Start time of this process, raised above earlier ones of the same name.
            random: Generator of the random choice of members.
            settings: Thresholds for suspecting an upstream.
        """
        self.own_name = own_name
        self.generation = generation
        self.observations: dict[str, LocalObservations] = {}
        self.report_table = ReportTable(own_name, REPORT_WINDOW)
        self.sequence = 0
        self.outbox: list[OutgoingDatagram] = []
        self.last_notified: dict[UpstreamKey, int] = {}
        self.undecodable = 0
        self.suspected_count = 0
        self.leases: Callable[[int], list[LeaseAnnouncement]] | None = None
        self.on_lease: Callable[[int, LeaseAnnouncement], object] | None = None
        self.quotas: Callable[[], list[QuotaAnnouncement]] | None = None
        self.on_quota: Callable[[int, str, QuotaAnnouncement], object] | None = None
        self._random = random
        self._settings = settings or QuorumSettings()
        self._last_report_had_counts = False

    # Input

    def record_outcome(self, now: int, pool: str, upstream: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt of this balancer."""
        observations = self.observations.get(pool)
        if observations is None:
            observations = LocalObservations(REPORT_WINDOW)
            self.observations[pool] = observations
        observations.record_outcome(now, upstream, outcome)

    def receive(self, now: int, data: bytes) -> None:
        """Merge the reports of a datagram from another member; the data may be arbitrary bytes."""
        try:
            reports = _decode(data)
        except (ValueError, RecursionError):  # msgspec's errors are ValueErrors
            self.undecodable += 1
            return
        for report in reports[:MAX_ENTRIES]:
            if self.report_table.merge(now, report):
                self._notify_listeners(now, report)

    def _notify_listeners(self, now: int, report: HealthReport) -> None:
        if self.on_lease is not None:
            for lease in report.leases:
                self.on_lease(now, msgspec.structs.replace(lease, age_ms=lease.age_ms + report.age_ms))
        if self.on_quota is not None:
            for quota in report.quotas:
                self.on_quota(now - report.age_ms * MICROSECONDS_PER_MS, report.origin, quota)

    # Output

    def tick(self, now: int, members: Iterable[str]) -> None:
        """Append the datagrams of one gossip interval to `outbox`.

        Args:
            now: Current time in microseconds.
            members: Names of all members.
        """
        others = [name for name in members if name != self.own_name]
        if not others:
            return
        own_report = self.report(now)
        packed = self._pack(now, own_report)
        nothing_to_report = not own_report.has_content and len(packed) == 1
        # A report without counts is still sent once after one that had counts, to replace it.
        if nothing_to_report and not self._last_report_had_counts:
            return
        self._last_report_had_counts = bool(own_report.counts)
        payload = _encode(packed)
        for name in self._random.sample(others, min(FANOUT, len(others))):
            self.outbox.append(OutgoingDatagram(name, payload))

    def report(self, now: int) -> HealthReport:
        """Create this balancer's next report, with as many entries of each list as fit."""
        self.sequence += 1
        leases = _fit_into_list(self.leases(now)) if self.leases is not None else []
        quotas = self.quotas()[:MAX_ENTRIES] if self.quotas is not None else []
        return HealthReport(
            origin=self.own_name,
            generation=self.generation,
            sequence=self.sequence,
            age_ms=0,
            relay_count=0,
            counts=_fit_into_list(self.counts(now)),
            leases=leases,
            quotas=quotas,
        )

    def counts(self, now: int) -> list[UpstreamCounts]:
        """Return the upstreams to report, those with most failures first, then those with most attempts."""
        reported_failing = {
            key
            for received in self.report_table.origins.values()
            for key, entry in received.counts.items()
            if entry.failures
        }
        entries = [
            UpstreamCounts(pool, upstream, min(attempts, MAX_COUNT), min(failures, MAX_COUNT))
            for pool, observations in self.observations.items()
            for upstream, (attempts, failures) in observations.counts(now).items()
            if failures or UpstreamKey(pool, upstream) in reported_failing
        ]
        entries.sort(key=lambda entry: (-entry.failures, -entry.attempts, entry.upstream))
        return entries

    def _pack(self, now: int, own_report: HealthReport) -> list[msgspec.Raw]:
        """Encode this balancer's report, then those of others to forward, as many as fit into a datagram."""
        packed: list[msgspec.Raw] = []
        free = MAX_PAYLOAD_BYTES
        encoded = _encode(own_report)
        if len(encoded) <= free:
            free -= len(encoded)
            packed.append(msgspec.Raw(encoded))
        for received in self._forwardable(now):
            encoded = _encode(_forwarded_copy(now, received))
            if len(encoded) <= free:
                free -= len(encoded)
                packed.append(msgspec.Raw(encoded))
                received.forward_count += 1
        return packed

    def _forwardable(self, now: int) -> list[ReceivedReport]:
        """Return the reports to forward: first those forwarded least by this balancer, then by all others."""
        candidates = [
            received
            for received in self.report_table.fresh(now).values()
            if received.forward_count < MAX_FORWARDS and received.report.has_content
        ]
        candidates.sort(
            key=lambda received: (received.forward_count, received.report.relay_count, -received.created_at)
        )
        return candidates

    # Suspected upstreams

    def report_suspected(
        self,
        now: int,
        pool: str,
        upstreams: set[str],
        members: set[str],
        on_suspected: Callable[[str, int, int], object],
    ) -> list[SuspectedUpstream]:
        """Notify the policy of a pool of its suspected upstreams, of each at most once per `REPORT_WINDOW`.

        Args:
            now: Current time in microseconds.
            pool: Name of the pool.
            upstreams: Names of the upstreams in use.
            members: Names of the members whose reports count.
            on_suspected: Called with the name of an upstream, and with attempts and failures: the suspicion
                counts like these.

        Returns:
            The upstreams of which the policy was notified.
        """
        own_counts = self.observations[pool].counts(now) if pool in self.observations else {}
        reports = self.report_table.fresh(now, members - {self.own_name})
        notified = []
        for suspected in aggregate(self._settings, pool, upstreams, reports, own_counts):
            key = UpstreamKey(pool, suspected.upstream)
            if now - self.last_notified.get(key, -REPORT_WINDOW) >= REPORT_WINDOW:
                self.last_notified[key] = now
                on_suspected(suspected.upstream, suspected.attempts, suspected.failures)
                notified.append(suspected)
        self.suspected_count += len(notified)
        for key in [key for key, at in self.last_notified.items() if now - at >= REPORT_WINDOW]:
            del self.last_notified[key]
        return notified


def _forwarded_copy(now: int, received: ReceivedReport) -> HealthReport:
    """Return a report with its age and its number of forwards updated."""
    report = received.report
    age_ms = (now - received.created_at) // MICROSECONDS_PER_MS
    return msgspec.structs.replace(report, age_ms=age_ms, relay_count=report.relay_count + 1)


def _fit_into_list(items: list[_Item]) -> list[_Item]:
    """Return the first items, as many as fit into `MAX_LIST_BYTES`."""
    fitting: list[_Item] = []
    free = MAX_LIST_BYTES
    for item in items[:MAX_ENTRIES]:
        free -= len(_encode(item))
        if free < 0:
            break
        fitting.append(item)
    return fitting
