"""Limits of the whole cluster: each balancer admits a share of them that follows its demand.

Imported only if a route is `shared`, so that other configurations don't load its dependencies.
"""

from collections.abc import Callable, Iterable
from typing import Any

from dahliabend.health_gossip.reports import QuotaAnnouncement
from dahliabend.leases.shared_limits import QuotaShare
from dahliabend.routing_rules.compiled_route import CompiledRoute
from dahliabend.server.log import EventLog
from dahliabend.transport.timers import clock

SMOOTHING = 1 / 4  # weight of the newest interval in the moving average of the demand
LOGGED_CHANGE = 1 / 10  # relative change of a share below which it is not logged again
WIRE_DIGITS = 6  # decimal places of shares and demand in messages
STATUS_DIGITS = 4  # decimal places of shares and demand in the admin API and the log

SharedRoutes = Callable[[], Iterable[tuple[CompiledRoute, int]]]


class ClusterLimits:
    """This balancer's share of each limit that it shares with the other balancers."""

    def __init__(self, own_name: str, routes: SharedRoutes, log: EventLog) -> None:
        """Create shared limits without routes; `update_routes` adds these.

        Args:
            own_name: This balancer's name.
            routes: Returns the active routes with a shared limit and the configured number of balancers.
            log: The event log.
        """
        self.own_name = own_name
        self.routes = routes
        self.log = log
        self._shares: dict[str, QuotaShare] = {}  # by route name, as the following two
        self._demands: dict[str, float] = {}
        self._logged_shares: dict[str, float] = {}
        self._last_tick = 0  # time of the last tick; 0 before the first one

    def update_routes(self) -> None:
        """Start new routes with an equal share, as nothing has been announced yet; drop removed routes."""
        current = {route.name: (route, balancers) for route, balancers in self.routes()}
        for name, (route, balancers) in current.items():
            if name not in self._shares:
                self._shares[name] = QuotaShare(self.own_name, balancers)
                route.limit.set_fraction(1.0 / balancers)
        for name in [name for name in self._shares if name not in current]:
            del self._shares[name]
            self._demands.pop(name, None)

    def announcement_received(self, at: int, origin: str, announcement: QuotaAnnouncement) -> None:
        """Store the share and demand that another balancer announces."""
        share = self._shares.get(announcement.limit)
        if share is not None:
            share.update_peer(at, origin, announcement.share, announcement.demand)

    def announcements(self) -> list[QuotaAnnouncement]:
        """Return the shares and demands to announce to the other balancers."""
        return [
            QuotaAnnouncement(name, round(share.share, WIRE_DIGITS), round(share.demand, WIRE_DIGITS))
            for name, share in sorted(self._shares.items())
        ]

    def tick(self, members: set[str], left: set[str], partitioned: bool) -> None:
        """Adjust all shares to the demand since the last call.

        Args:
            members: The names of the balancers that are present.
            left: The names of the balancers that have left gracefully.
            partitioned: Whether this balancer may be cut off from others by a network partition.
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
        """Return all shares in the form of the admin call `/api/signals`."""
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
