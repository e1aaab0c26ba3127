"""A pool's list, narrowed to this balancer's subset before the decisions hear of it.

Imported only where a pool has `subset`: nothing else pays for it.
"""

from collections.abc import Callable

from dahliabend.config.operator_file import schema
from dahliabend.model import EndpointState
from dahliabend.proxy.router import Router
from dahliabend.subsetting.controller import ActiveSubset, SubsetController
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetSettings
from dahliabend.subsetting.usable_endpoints import count_usable
from dahliabend.transport.timers import TimerQueue, clock

LOOK = 250_000  # how often it looks whether something has to move


class SubsetFilter:
    """Stands between a pool's list and its router, as the list's reader. `fleet` tells who balances."""

    def __init__(
        self,
        router: Router,
        settings: schema.SubsetSettings,
        balancers: int,
        cluster,
        name: str,
        timers: TimerQueue,
        log: Callable,
    ) -> None:
        self.router, self.cluster, self.timers, self.log = router, cluster, timers, log
        self.rows: dict[str, tuple] = {}  # by id, all that the list has
        self.subset: ActiveSubset = ActiveSubset()
        own = cluster.settings if cluster is not None else None
        index = settings.self_index
        me = Participant(
            cluster.name if own else name if index is None else f"{index}", own.zone if own else ""
        )
        terms = SubsetSettings(
            source="members" if index is None else "index",
            min_size=settings.least,
            degree=settings.degree,
            by_zone=settings.zones,
            balancers=balancers,
            doubt_hold=settings.hold,
        )
        self.keeper = SubsetController(me, terms)
        if index is not None:  # all know how many there are, and each its own place among them
            self.keeper.update_view(clock(), [Participant(f"{n}") for n in range(balancers)], trusted=True)
        self.timer: list | None = None
        self.look()

    def endpoints_changed(self, rows: list[tuple], full: bool) -> None:
        if full:
            self.rows = {}
        for row in rows:
            if row[2] is EndpointState.REMOVED:
                self.rows.pop(row[0], None)
            else:
                self.rows[row[0]] = row
                self.router.table.remember_id(row[0])  # an operator may take it out before it is in use
        self.keeper.update_upstreams(
            clock(),
            [
                Participant(name, row[6], row[4])
                for name, row in self.rows.items()
                if row[2] is EndpointState.READY
            ],
        )
        self.move()
        self.tell()  # drains of those in use are heard at once, whatever moves

    def endpoint_poll_failed(self) -> None:
        self.router.endpoint_poll_failed()

    def look(self) -> None:
        self.timer = self.timers.schedule(clock() + LOOK, self.look)
        if self.move():
            self.tell()

    def move(self) -> bool:
        now, cluster = clock(), self.cluster
        if cluster is not None and (settled := cluster.settled()) is not None:
            self.keeper.follow_membership(now, settled, cluster.view())
        balancer = self.router.balancer
        if self.subset.weights:
            usable = count_usable(
                balancer.selection.ready,
                balancer.outliers.last_answer_at,
                balancer.throttling.window,
                now,
            )
            self.keeper.adjust_width(usable)
        made = self.keeper.step(now, frozenset(self.router.excluded & self.subset.weights.keys()))
        if made is None:
            return False
        self.subset = made
        self.log(
            "subset",
            size=len(made.weights),
            of=len(self.rows),
            added=made.added[:20],
            dropped=made.dropped[:20],
            by=made.source,
            balancers=made.balancers,
        )
        return True

    def tell(self) -> None:
        """One that leaves the subset is as gone to the decisions: nothing new, what is out ends there."""
        known = self.router.table.indices
        rows = []
        for name, row in self.rows.items():
            weight = self.subset.weights.get(name)
            if weight is not None:
                rows.append((*row[:4], weight, *row[5:]))
            elif row[2] is not EndpointState.READY and name in known:
                rows.append(row)  # it drains: kept until it is gone, for what is out there
        # Not all balancers of the fleet send to these: taken for so many, each would let in a crowd of a few
        # and turn callers back while its upstreams idle.
        self.router.balancer.selection.instance_count = self.subset.balancers_per_upstream
        self.router.endpoints_changed(rows, full=True)

    def stop(self) -> None:
        self.timers.cancel(self.timer)

    def status(self) -> dict:
        made = self.subset
        weights = {name: round(weight, 4) for name, weight in sorted(made.weights.items())}
        return {
            "size": len(made.weights),
            "of": len(self.rows),
            "by": made.source,
            "balancers": made.balancers,
            "wider": self.keeper.extra,
            "weights": weights,
        }
