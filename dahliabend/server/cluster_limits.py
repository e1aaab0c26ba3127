"""Limits of the whole fleet at work: each route's own part, stepped with the signals.

Imported only where a route is `shared`: nothing else pays for it.
"""

from collections.abc import Callable, Iterable

from dahliabend.health_gossip.reports import QuotaAnnouncement
from dahliabend.leases.shared_limits import QuotaShare
from dahliabend.routing_rules.compiled_route import CompiledRoute
from dahliabend.transport.timers import clock

SMOOTH = 1 / 4  # weight of the newest beat in what is asked
MOVED = 1 / 10  # of the part last logged: a smaller change is not told


class ClusterLimits:
    """`choices`: the routes in force that share their limit, with how many balancers there are said to be."""

    def __init__(
        self, me: str, choices: Callable[[], Iterable[tuple[CompiledRoute, int]]], log: Callable
    ) -> None:
        self.me, self.choices, self.log = me, choices, log
        self.limits: dict[str, QuotaShare] = {}
        self.asks: dict[str, float] = {}
        self.logged: dict[str, float] = {}
        self.then = 0

    def update_routes(self) -> None:
        """Before anybody is heard, and for routes that a reload brought: an equal part, never the whole."""
        now = {choice.name: (choice, balancers) for choice, balancers in self.choices()}
        for name, (choice, balancers) in now.items():
            if name not in self.limits:
                self.limits[name] = QuotaShare(self.me, balancers)
                choice.limit.set_fraction(1.0 / balancers)
        for name in [name for name in self.limits if name not in now]:
            del self.limits[name]
            self.asks.pop(name, None)

    def report_received(self, at: int, origin: str, parted: QuotaAnnouncement) -> None:
        if parted.limit in self.limits:
            self.limits[parted.limit].update_peer(at, origin, parted.share, parted.demand)

    def reports(self) -> list[QuotaAnnouncement]:
        return [
            QuotaAnnouncement(name, round(s.share, 6), round(s.demand, 6))
            for name, s in sorted(self.limits.items())
        ]

    def tick(self, members: set[str], left: set[str], cut: bool) -> None:
        self.update_routes()
        now, span = clock(), clock() - self.then if self.then else 0
        self.then = now
        for choice, _ in self.choices():
            share = self.limits[choice.name]
            asked = choice.limit.take_demand(span)
            self.asks[choice.name] = ask = self.asks.get(choice.name, 0.0) * (1 - SMOOTH) + asked * SMOOTH
            share.update_members(members, left, cut)
            part = share.step(now, ask)
            choice.limit.set_fraction(part)
            if abs(part - self.logged.get(choice.name, 0.0)) > MOVED * part:
                self.logged[choice.name] = part
                self.log("share", route=choice.name, part=round(part, 4), asked=round(ask, 4))

    def status(self) -> list[dict]:
        return [
            {
                "route": name,
                "part": round(s.share, 4),
                "asked": round(s.demand, 4),
                "lost": sorted(s.lost_members),
                "others": {other: round(told.share, 4) for other, told in sorted(s.peers.items())},
            }
            for name, s in sorted(self.limits.items())
        ]
