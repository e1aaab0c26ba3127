"""A pool's endpoint list, narrowed to this balancer's subset before the policy sees it.

Imported only where a pool has `subset`: nothing else pays for it.
"""

from typing import TYPE_CHECKING, Any

from dahliabend.config.operator_file import schema
from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.model import EndpointState
from dahliabend.proxy.router import Router
from dahliabend.server.log import EventLog
from dahliabend.subsetting.controller import ActiveSubset, SubsetController
from dahliabend.subsetting.selection import Participant
from dahliabend.subsetting.settings import SubsetControllerSettings, SubsetSource
from dahliabend.subsetting.usable_endpoints import count_usable_endpoints
from dahliabend.transport.timers import TimerQueue, clock

if TYPE_CHECKING:
    from dahliabend.server.clustering import ClusterMember

UPDATE_INTERVAL = 250_000  # microseconds between two looks whether the subset has to change
MAX_LOGGED_NAMES = 20  # upstreams added and dropped, in a log line
WEIGHT_DIGITS = 4  # decimal places of what operators are shown


class SubsetFilter:
    """Stands between a pool's endpoint list and its router; observes the list.

    Attributes:
        subset: The upstreams in use, with their weights.
    """

    def __init__(
        self,
        router: Router,
        settings: schema.SubsetSettings,
        balancers: int,
        cluster: "ClusterMember | None",
        instance_name: str,
        timers: TimerQueue,
        log: EventLog,
    ) -> None:
        """Make a filter, and look from now on whether the subset has to change.

        Args:
            router: Gets the subset as its whole list.
            settings: What the operator's file says of the subset.
            balancers: The configured number of balancers.
            cluster: Knows the other balancers, if any do.
            instance_name: Names this balancer where it has neither a cluster nor an index.
            timers: The process's timers.
            log: The event log.
        """
        self.router = router
        self.cluster = cluster
        self.timers = timers
        self.log = log
        self.subset = ActiveSubset()
        self._rows: dict[str, EndpointListEntry] = {}  # by name, the whole list
        self._controller = _make_controller(settings, balancers, cluster, instance_name)
        self._timer: Any = None
        self._update_periodically()

    def endpoints_changed(self, rows: list[EndpointListEntry], full: bool) -> None:
        """Apply changes of the list, or the whole list."""
        if full:
            self._rows = {}
        for row in rows:
            if row.state is EndpointState.REMOVED:
                self._rows.pop(row.name, None)
            else:
                self._rows[row.name] = row
                self.router.table.remember_id(row.name)  # an operator may take it out before it is in use
        ready = [
            Participant(row.name, row.zone, row.weight)
            for row in self._rows.values()
            if row.state is EndpointState.READY
        ]
        self._controller.update_upstreams(clock(), ready)
        self._update_subset()
        self._update_router()  # also if the subset stays: the router hears of draining upstreams at once

    def endpoint_poll_failed(self) -> None:
        """Tell the router that the list could not be had."""
        self.router.endpoint_poll_failed()

    def stop(self) -> None:
        """Leave the subset as it is."""
        self.timers.cancel(self._timer)

    def status(self) -> dict[str, Any]:
        """Return the subset for operators."""
        subset = self.subset
        weights = {name: round(weight, WEIGHT_DIGITS) for name, weight in sorted(subset.weights.items())}
        return {
            "size": len(subset.weights),
            "of": len(self._rows),
            "by": subset.source,
            "balancers": subset.balancers,
            "wider": self._controller.extra,
            "weights": weights,
        }

    def _update_periodically(self) -> None:
        self._timer = self.timers.schedule(clock() + UPDATE_INTERVAL, self._update_periodically)
        if self._update_subset():
            self._update_router()

    def _update_subset(self) -> bool:
        """Choose the upstreams anew; return whether the subset has changed."""
        now = clock()
        if self.cluster is not None:
            settled = self.cluster.settled()
            if settled is not None:
                self._controller.update_membership(now, settled, self.cluster.view())
        if self.subset.weights:
            balancer = self.router.balancer
            usable = count_usable_endpoints(
                balancer.selection.ready,
                balancer.outliers.last_answer_at,
                balancer.throttling.window,
                now,
            )
            self._controller.adjust_width(usable)
        pinned = frozenset(self.router.excluded & self.subset.weights.keys())
        subset = self._controller.step(now, pinned)
        if subset is None:
            return False
        self.subset = subset
        self.log(
            "subset.changed",
            size=len(subset.weights),
            listed=len(self._rows),
            added=subset.added[:MAX_LOGGED_NAMES],
            dropped=subset.dropped[:MAX_LOGGED_NAMES],
            source=subset.source,
            balancers=subset.balancers,
        )
        return True

    def _update_router(self) -> None:
        """Give the router the subset as its whole list.

        An upstream that leaves the subset counts as removed: it gets nothing new, and attempts end there.
        """
        known = self.router.table.indices
        rows: list[EndpointListEntry] = []
        for name, row in self._rows.items():
            weight = self.subset.weights.get(name)
            if weight is not None:
                rows.append(row._replace(weight=weight))
            elif row.state is not EndpointState.READY and name in known:
                rows.append(row)  # it is draining: kept until it is removed, for the attempts in flight there
        # Not all balancers send to these upstreams. Divided by all of them, the concurrency limit would be
        # too low, and clients be rejected while the upstreams idle.
        self.router.balancer.selection.instance_count = self.subset.balancers_per_upstream
        self.router.endpoints_changed(rows, full=True)


def _make_controller(
    settings: schema.SubsetSettings, balancers: int, cluster: "ClusterMember | None", instance_name: str
) -> SubsetController:
    index = settings.self_index
    controller_settings = SubsetControllerSettings(
        source=SubsetSource.MEMBERSHIP if index is None else SubsetSource.INDEX,
        min_size=settings.least,
        degree=settings.degree,
        by_zone=settings.zones,
        balancers=balancers,
        hold_time=settings.hold,
    )
    controller = SubsetController(_own_participant(index, cluster, instance_name), controller_settings)
    if index is not None:  # all know how many balancers there are, and each its own place among them
        participants = [Participant(f"{number}") for number in range(balancers)]
        controller.update_view(clock(), participants, trusted=True)
    return controller


def _own_participant(index: int | None, cluster: "ClusterMember | None", instance_name: str) -> Participant:
    if cluster is not None:
        return Participant(cluster.name, cluster.settings.zone)
    return Participant(instance_name if index is None else f"{index}")
