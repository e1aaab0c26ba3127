"""The exchange of health reports on upstreams with the other members of the cluster, at a fixed interval.

The same messages carry the leases of shared health checks and the shares of shared limits. The modules for
these are imported only if the operator's file configures them.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from dahliabend.health_gossip.gossip import GOSSIP_INTERVAL, HealthGossip
from dahliabend.health_gossip.reports import UpstreamCounts
from dahliabend.leases.candidate_order import Candidate
from dahliabend.membership.messages import MemberStatus
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.udp_transport import UdpTransport
from dahliabend.membership.view import Exclusion, MembershipView
from dahliabend.model import Outcome
from dahliabend.policy.balancer import Balancer
from dahliabend.proxy.router import Router
from dahliabend.server.log import EventLog
from dahliabend.transport import host_info
from dahliabend.transport.timers import TimerQueue, clock

if TYPE_CHECKING:
    from dahliabend.server.cluster_limits import ClusterLimits, SharedRoutes
    from dahliabend.server.shared_health_checks import SharedHealthChecks

MICROSECONDS_PER_MILLISECOND = 1000
MAX_SHOWN_REPORTED_FAILURES = 16  # the newest, kept for the admin API

PoolRouters = Sequence[tuple[str, Router]]


@dataclass(frozen=True, slots=True)
class ReportedFailure:
    """An upstream reported as failing by several other balancers, whose reports the policy has counted.

    Attributes:
        pool: The name of the upstream's pool.
        upstream: The upstream's name.
        at: The time in microseconds at which the policy counted the reports.
        origins: The number of balancers that have reported the upstream.
    """

    pool: str
    upstream: str
    at: int
    origins: int


class GossipExchange:
    """The health gossip of this balancer, sent over the transport of the membership protocol.

    Attributes:
        gossip: The gossip protocol, without I/O.
        pools: Returns the name and router of each pool that takes part.
        health_checks: The shared health checks; None if health checks are not shared.
        limits: The shared limits; None until a route has one.
    """

    def __init__(
        self,
        protocol: MembershipProtocol,
        transport: UdpTransport,
        timers: TimerQueue,
        random: Random,
        log: EventLog,
        *,
        health_check_period: int,
    ) -> None:
        """Create an exchange that has not started.

        Args:
            protocol: The membership protocol, which knows the members and carries the messages.
            transport: The transport of the membership protocol.
            timers: The process's timers.
            random: The random number generator that selects the recipients of messages.
            log: The event log.
            health_check_period: Microseconds between two shared checks of an upstream; 0 to share none.
        """
        self.protocol = protocol
        self.transport = transport
        self.timers = timers
        self.log = log
        self.gossip = HealthGossip(protocol.name, host_info.time_ns(), random)
        self.pools: Callable[[], PoolRouters] = tuple
        self.health_checks: SharedHealthChecks | None = None
        self.limits: ClusterLimits | None = None
        self._reported_failures: list[ReportedFailure] = []
        self._timer: Any = None
        if health_check_period:
            self._share_health_checks(health_check_period)
        transport.on_user_messages = self._receive

    def _share_health_checks(self, period: int) -> None:
        from dahliabend.server.shared_health_checks import SharedHealthChecks

        self.health_checks = SharedHealthChecks(self.protocol.name, period, self.log)
        leased = self.health_checks.leased
        self.gossip.leases = leased.election.announcements
        self.gossip.on_lease = leased.apply_announcement

    def share_limits(self, routes: "SharedRoutes") -> None:
        """Start sharing the limits of these routes, or update them if limits are shared already."""
        if self.limits is None:
            from dahliabend.server.cluster_limits import ClusterLimits

            self.limits = ClusterLimits(self.protocol.name, routes, self.log)
            self.gossip.quotas = self.limits.announcements
            self.gossip.on_quota = self.limits.announcement_received
        self.limits.update_routes()

    def record_outcome(self, pool: str, upstream: str, outcome: Outcome) -> None:
        """Count the outcome of an attempt for this balancer's health reports."""
        self.gossip.record_outcome(clock(), pool, upstream, outcome)

    def tick(self) -> None:
        """Evaluate the received reports, send this balancer's own, and schedule the next tick."""
        now = clock()
        self._timer = self.timers.schedule(now + GOSSIP_INTERVAL, self.tick)
        view = self.protocol.view(now)
        stable_view = self.protocol.last_stable_view(now)
        members = {member.name for member in view.members if member.is_reachable}
        for pool, router in self.pools():
            self._pass_on_reported_failures(now, pool, router, members)
        self._tick_health_checks(now, stable_view)
        self._tick_limits(view, stable_view)
        self.gossip.tick(now, sorted(members))
        self._send_outbox()

    def stop(self) -> None:
        """Stop the exchange."""
        self.timers.cancel(self._timer)

    def status(self) -> dict[str, Any]:
        """Return sent and received reports and reported failures, in the form of call `/api/signals`."""
        now = clock()
        origins = [
            {
                "name": name,
                "age_ms": (now - received.created_at) // MICROSECONDS_PER_MILLISECOND,
                "hops": received.report.relay_count,
                "rows": _counts_as_dicts(received.report.counts),
            }
            for name, received in sorted(self.gossip.report_table.fresh(now).items())
        ]
        return {
            "name": self.protocol.name,
            "own": _counts_as_dicts(self.gossip.counts(now)),
            "origins": origins,
            "believed": [self._failure_as_dict(failure, now) for failure in self._reported_failures],
            "shares": self.limits.status() if self.limits is not None else [],
            "told": self.gossip.suspected_count,
            "unread": self.gossip.undecodable,
            "refused": self.gossip.report_table.rejected,
        }

    def _receive(self, messages: Iterable[bytes]) -> None:
        for message in messages:
            self.gossip.receive(clock(), message)

    def _pass_on_reported_failures(self, now: int, pool: str, router: Router, members: set[str]) -> None:
        """Tell a pool's policy which upstreams several other balancers report as failing."""
        balancer = router.balancer
        endpoints = router.table.endpoints
        indices = {
            endpoints[upstream.index].name: upstream.index
            for upstream in balancer.selection.ready
            if not upstream.is_ejected
        }
        report = partial(_add_peer_report, balancer, indices)
        for suspected in self.gossip.report_suspected(now, pool, set(indices), members, report):
            failure = ReportedFailure(pool, suspected.upstream, now, suspected.origins)
            self._reported_failures = [*self._reported_failures[1 - MAX_SHOWN_REPORTED_FAILURES :], failure]
            self.log("upstream.suspected", pool=pool, upstream=suspected.upstream, origins=suspected.origins)

    def _tick_health_checks(self, now: int, stable_view: MembershipView | None) -> None:
        if self.health_checks is None:
            return
        members = stable_view.members if stable_view is not None else ()
        present = [Candidate(member.name, member.zone) for member in members if member.is_reachable]
        pools = [(pool, router) for pool, router in self.pools() if router.health_check_delegate is not None]
        is_member = now >= self.protocol.unsettled_until and self.protocol.exclusion is not Exclusion.DEAD
        self.health_checks.tick(present, bool(present) and is_member, pools)

    def _tick_limits(self, view: MembershipView, stable_view: MembershipView | None) -> None:
        if self.limits is None:
            return
        present = stable_view.names() if stable_view is not None else set()
        protocol = self.protocol
        left = {
            name for name in protocol.departed if protocol.members[name].update.status is MemberStatus.LEFT
        }
        self.limits.tick(present, left, view.possibly_partitioned)

    def _send_outbox(self) -> None:
        outbox = self.gossip.outbox
        self.gossip.outbox = []
        for member, message in outbox:
            self.protocol.send_user_message(member, message)
        self.transport.flush()

    def _failure_as_dict(self, failure: ReportedFailure, now: int) -> dict[str, Any]:
        return {
            "pool": failure.pool,
            "upstream": failure.upstream,
            "origins": failure.origins,
            "age_ms": (now - failure.at) // MICROSECONDS_PER_MILLISECOND,
        }


def _add_peer_report(
    balancer: Balancer, indices: dict[str, int], upstream: str, attempts: int, failures: int
) -> None:
    balancer.add_peer_report(indices[upstream], attempts, failures)


def _counts_as_dicts(counts_list: Iterable[UpstreamCounts]) -> list[dict[str, Any]]:
    return [
        {"pool": counts.pool, "upstream": counts.upstream, "tried": counts.attempts, "bad": counts.failures}
        for counts in counts_list
    ]
