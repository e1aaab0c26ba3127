"""Limits of the whole cluster: each balancer admits its own share, adapted to its demand.

Imported only where a route is `shared`: nothing else pays for it.
"""

from collections.abc import Callable, Iterable
from typing import Any

from dahliabend.health_gossip.reports import QuotaAnnouncement
from dahliabend.leases.shared_limits import QuotaShare
from dahliabend.routing_rules.compiled_route import CompiledRoute
from dahliabend.server.log import EventLog
from dahliabend.transport.timers import clock

SMOOTHING = 1 / 4  # weight of the newest interval in the demand
LOGGED_CHANGE = 1 / 10  # of the share that was logged last: a smaller change is not logged
WIRE_DIGITS = 6  # decimal places of what others are told
STATUS_DIGITS = 4  # decimal places of what operators are shown

SharedRoutes = Callable[[], Iterable[tuple[CompiledRoute, int]]]


class ClusterLimits:
    """This balancer's share of each limit that routes have in common with other balancers."""

    def __init__(self, own_name: str, routes: SharedRoutes, log: EventLog) -> None:
        """Make limits that are not divided yet.

        Args:
            own_name: This balancer's name.
            routes: Returns the active routes with a shared limit, with the configured number of balancers.
            log: The event log.
        """
        self.own_name = own_name
        self.routes = routes
        self.log = log
        self._shares: dict[str, QuotaShare] = {}  # this and the following by route
        self._demands: dict[str, float] = {}
        self._logged_shares: dict[str, float] = {}
        self._last_tick = 0  # 0: there was none

    def update_routes(self) -> None:
        """Begin with an equal share for new routes, before any other balancer is heard; drop removed ones."""
        current = {route.name: (route, balancers) for route, balancers in self.routes()}
        for name, (route, balancers) in current.items():
            if name not in self._shares:
                self._shares[name] = QuotaShare(self.own_name, balancers)
                route.limit.set_fraction(1.0 / balancers)
        for name in [name for name in self._shares if name not in current]:
            del self._shares[name]
            self._demands.pop(name, None)

    def report_received(self, at: int, origin: str, announcement: QuotaAnnouncement) -> None:
        """Take in what another balancer announces of its share."""
        share = self._shares.get(announcement.limit)
        if share is not None:
            share.update_peer(at, origin, announcement.share, announcement.demand)

    def reports(self) -> list[QuotaAnnouncement]:
        """Return what the others are to be told."""
        return [
            QuotaAnnouncement(name, round(share.share, WIRE_DIGITS), round(share.demand, WIRE_DIGITS))
            for name, share in sorted(self._shares.items())
        ]

    def tick(self, members: set[str], left: set[str], partitioned: bool) -> None:
        """Adapt all shares to the demand since the last call.

        Args:
            members: Names of the balancers that are present.
            left: Names of those that have left in order.
            partitioned: Whether this balancer may be cut off from others.
        """
        self.update_routes()
        now = clock()
        elapsed = clock() - self._last_tick if self._last_tick else 0
        self._last_tick = now
        for route, _ in self.routes():
            share = self._shares[route.name]
            demand = self._update_demand(route, elapsed)
            share.update_members(members, left, partitioned)
            fraction = share.step(now, demand)
            route.limit.set_fraction(fraction)
            self._log_share(route.name, fraction, demand)

    def status(self) -> list[dict[str, Any]]:
        """Return all shares for operators."""
        return [
            {
                "route": name,
                "part": round(share.share, STATUS_DIGITS),
                "asked": round(share.demand, STATUS_DIGITS),
                "lost": sorted(share.lost_members),
                "others": {
                    other: round(peer.share, STATUS_DIGITS) for other, peer in sorted(share.peers.items())
                },
            }
            for name, share in sorted(self._shares.items())
        ]

    def _update_demand(self, route: CompiledRoute, elapsed: int) -> float:
        newest = route.limit.take_demand(elapsed)
        before = self._demands.get(route.name, 0.0)
        demand = before * (1 - SMOOTHING) + newest * SMOOTHING
        self._demands[route.name] = demand
        return demand

    def _log_share(self, route: str, fraction: float, demand: float) -> None:
        if abs(fraction - self._logged_shares.get(route, 0.0)) > LOGGED_CHANGE * fraction:
            self._logged_shares[route] = fraction
            self.log(
                "limit_share.changed",
                route=route,
                share=round(fraction, STATUS_DIGITS),
                demand=round(demand, STATUS_DIGITS),
            )
