"""What balancers tell each other of upstreams, exchanged at an interval with the members that are present.

The same messages carry leases of shared health checks, and shares of common limits. What implements these is
imported only where the operator's file wants it.
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
MAX_SHOWN_SUSPICIONS = 16  # the newest ones, kept for operators

PoolRouters = Sequence[tuple[str, Router]]


@dataclass(frozen=True, slots=True)
class Suspicion:
    """An upstream that several other balancers have reported as failing, and that the policy was told of.

    Attributes:
        pool: Its pool.
        upstream: Its name.
        at: When the policy was told, in microseconds.
        origins: How many balancers have reported it.
    """

    pool: str
    upstream: str
    at: int
    origins: int


class GossipExchange:
    """The health gossip of this balancer, on the transport of its membership.

    Attributes:
        gossip: What is told and heard, free of I/O.
        pools: Returns name and router of each pool that takes part.
        health_checks: The checks shared with other balancers; None if they are not shared.
        limits: The limits shared with other balancers; None until a route has one.
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
        """Make an exchange that has not started.

        Args:
            protocol: Who the members are; it carries the messages.
            transport: Its socket.
            timers: The process's timers.
            random: Draws the members that are told something.
            log: The event log.
            health_check_period: Microseconds between two shared checks of an upstream; 0: not shared.
        """
        self.protocol = protocol
        self.transport = transport
        self.timers = timers
        self.log = log
        self.gossip = HealthGossip(protocol.name, host_info.time_ns(), random)
        self.pools: Callable[[], PoolRouters] = tuple
        self.health_checks: SharedHealthChecks | None = None
        self.limits: ClusterLimits | None = None
        self._suspicions: list[Suspicion] = []
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
        """Share the limits of these routes from now on."""
        if self.limits is None:
            from dahliabend.server.cluster_limits import ClusterLimits

            self.limits = ClusterLimits(self.protocol.name, routes, self.log)
            self.gossip.quotas = self.limits.reports
            self.gossip.on_quota = self.limits.report_received
        self.limits.update_routes()

    def record_outcome(self, pool: str, upstream: str, outcome: Outcome) -> None:
        """Count the outcome of an attempt, to be told to the others."""
        self.gossip.record_outcome(clock(), pool, upstream, outcome)

    def tick(self) -> None:
        """Act on what was heard, tell others what happened here, and do so again after an interval."""
        now = clock()
        self._timer = self.timers.schedule(now + GOSSIP_INTERVAL, self.tick)
        view = self.protocol.view(now)
        settled = self.protocol.last_stable_view(now)
        members = {member.name for member in view.members if member.is_reachable}
        for pool, router in self.pools():
            self._report_suspected(now, pool, router, members)
        self._tick_health_checks(now, settled)
        self._tick_limits(view, settled)
        self.gossip.tick(now, sorted(members))
        self._send_outbox()

    def stop(self) -> None:
        """Exchange nothing any more."""
        self.timers.cancel(self._timer)

    def status(self) -> dict[str, Any]:
        """Return, for operators, what this balancer tells, was told, and has told its policies."""
        now = clock()
        origins = [
            {
                "name": name,
                "age_ms": (now - received.created_at) // MICROSECONDS_PER_MILLISECOND,
                "hops": received.report.relay_count,
                "rows": _shown_counts(received.report.counts),
            }
            for name, received in sorted(self.gossip.report_table.fresh(now).items())
        ]
        return {
            "name": self.protocol.name,
            "own": _shown_counts(self.gossip.counts(now)),
            "origins": origins,
            "believed": [self._shown_suspicion(suspicion, now) for suspicion in self._suspicions],
            "shares": self.limits.status() if self.limits is not None else [],
            "told": self.gossip.suspected_count,
            "unread": self.gossip.undecodable,
            "refused": self.gossip.report_table.rejected,
        }

    def _receive(self, messages: Iterable[bytes]) -> None:
        for message in messages:
            self.gossip.receive(clock(), message)

    def _report_suspected(self, now: int, pool: str, router: Router, members: set[str]) -> None:
        """Tell a pool's policy which of its upstreams several other balancers report as failing."""
        balancer = router.balancer
        endpoints = router.table.endpoints
        indices = {
            endpoints[upstream.index].name: upstream.index
            for upstream in balancer.selection.ready
            if not upstream.is_ejected
        }
        report = partial(_add_peer_report, balancer, indices)
        for suspected in self.gossip.report_suspected(now, pool, set(indices), members, report):
            suspicion = Suspicion(pool, suspected.upstream, now, suspected.origins)
            self._suspicions = [*self._suspicions[1 - MAX_SHOWN_SUSPICIONS :], suspicion]
            self.log("upstream.suspected", pool=pool, upstream=suspected.upstream, origins=suspected.origins)

    def _tick_health_checks(self, now: int, settled: MembershipView | None) -> None:
        if self.health_checks is None:
            return
        members = settled.members if settled is not None else ()
        present = [Candidate(member.name, member.zone) for member in members if member.is_reachable]
        pools = [(pool, router) for pool, router in self.pools() if router.health_check_delegate is not None]
        is_member = now >= self.protocol.unsettled_until and self.protocol.exclusion is not Exclusion.DEAD
        self.health_checks.tick(present, bool(present) and is_member, pools)

    def _tick_limits(self, view: MembershipView, settled: MembershipView | None) -> None:
        if self.limits is None:
            return
        present = settled.names() if settled is not None else set()
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

    def _shown_suspicion(self, suspicion: Suspicion, now: int) -> dict[str, Any]:
        return {
            "pool": suspicion.pool,
            "upstream": suspicion.upstream,
            "origins": suspicion.origins,
            "age_ms": (now - suspicion.at) // MICROSECONDS_PER_MILLISECOND,
        }


def _add_peer_report(
    balancer: Balancer, indices: dict[str, int], upstream: str, attempts: int, failures: int
) -> None:
    balancer.add_peer_report(indices[upstream], attempts, failures)


def _shown_counts(rows: Iterable[UpstreamCounts]) -> list[dict[str, Any]]:
    return [
        {"pool": row.pool, "upstream": row.upstream, "tried": row.attempts, "bad": row.failures}
        for row in rows
    ]
