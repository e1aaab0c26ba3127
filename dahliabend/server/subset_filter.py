"""The filter that narrows a pool's endpoint list to this balancer's subset before the router gets it.

Imported only if a pool has `subset`, so that other configurations don't load its dependencies.
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

UPDATE_INTERVAL = 250_000  # microseconds between two checks whether the subset has to change
MAX_LOGGED_NAMES = 20  # of added and of dropped upstreams in a log line
WEIGHT_DIGITS = 4  # decimal places of the weights in the admin API


class SubsetFilter:
    """An observer of a pool's endpoint list that passes only the subset on to the pool's router.

    Attributes:
        subset: The upstreams in use, with their weights.
    """

    def __init__(
        self,
        router: Router,
        settings: schema.SubsetSettings,
        balancers: int,
        cluster_member: "ClusterMember | None",
        fallback_name: str,
        timers: TimerQueue,
        log: EventLog,
    ) -> None:
        """Create a filter and start checking at intervals whether the subset has to change.

        Args:
            router: The pool's router, which gets the subset as its whole list.
            settings: The subset settings of the operator's file.
            balancers: The configured number of balancers.
            cluster_member: This balancer as a member of its cluster; None without `[members]`.
            fallback_name: Stands for the name of this balancer if it has neither a cluster nor an index.
            timers: The process's timers.
            log: The event log.
        """
        self.router = router
        self.cluster_member = cluster_member
        self.timers = timers
        self.log = log
        self.subset = ActiveSubset()
        self._entries: dict[str, EndpointListEntry] = {}  # the whole endpoint list, by name
        self._controller = _create_controller(settings, balancers, cluster_member, fallback_name)
        self._timer: Any = None
        self._update_periodically()

    def endpoints_changed(self, entries: list[EndpointListEntry], full: bool) -> None:
        """Apply an update of the endpoint list: the whole list if `full`, otherwise the changed entries."""
        self._apply_entries(entries, full=full)
        ready = [
            Participant(entry.name, entry.zone, entry.weight)
            for entry in self._entries.values()
            if entry.state is EndpointState.READY
        ]
        self._controller.update_upstreams(clock(), ready)
        self._update_subset()
        self._update_router()  # even if the subset stays the same, so that draining takes effect at once

    def _apply_entries(self, entries: list[EndpointListEntry], *, full: bool) -> None:
        """Update the whole list, whose ids an operator may exclude before they are in use."""
        previous = self._entries
        if full:
            self._entries = {}
        for entry in entries:
            if entry.state is EndpointState.REMOVED:
                self._forget(entry.name)
            else:
                self._entries[entry.name] = entry
        table = self.router.table
        table.listed_ids = self._entries
        if full:
            for name in previous.keys() - self._entries.keys():
                table.remember_id(name)

    def _forget(self, name: str) -> None:
        if self._entries.pop(name, None) is not None:
            self.router.table.remember_id(name)

    def endpoint_poll_failed(self) -> None:
        """Notify the router that the endpoint list could not be fetched."""
        self.router.endpoint_poll_failed()

    def stop(self) -> None:
        """Stop changing the subset."""
        self.timers.cancel(self._timer)

    def status(self) -> dict[str, Any]:
        """Return the subset in the form of the admin call `/api/subsets`."""
        subset = self.subset
        weights = {name: round(weight, WEIGHT_DIGITS) for name, weight in sorted(subset.weights.items())}
        return {
            "size": len(subset.weights),
            "of": len(self._entries),
            "by": subset.source,
            "balancers": subset.balancers,
            "wider": self._controller.extra_count,
            "weights": weights,
        }

    def _update_periodically(self) -> None:
        self._timer = self.timers.schedule(clock() + UPDATE_INTERVAL, self._update_periodically)
        if self._update_subset():
            self._update_router()

    def _update_subset(self) -> bool:
        """Select the upstreams again; return whether the subset has changed."""
        now = clock()
        if self.cluster_member is not None:
            stable_view = self.cluster_member.last_stable_view()
            if stable_view is not None:
                self._controller.update_membership(now, stable_view, self.cluster_member.view())
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
            listed=len(self._entries),
            added=subset.added[:MAX_LOGGED_NAMES],
            dropped=subset.dropped[:MAX_LOGGED_NAMES],
            source=subset.source,
            balancers=subset.balancers,
        )
        return True

    def _update_router(self) -> None:
        """Pass the subset to the router as its whole endpoint list.

        An upstream that leaves the subset is removed from that list: it gets no new requests, but attempts in
        flight finish there.
        """
        indices = self.router.table.indices
        entries: list[EndpointListEntry] = []
        for name, entry in self._entries.items():
            weight = self.subset.weights.get(name)
            if weight is not None:
                entries.append(entry._replace(weight=weight))
            elif entry.state is not EndpointState.READY and name in indices:
                entries.append(entry)  # draining: kept until it is removed, for its attempts in flight
        # Only some of the balancers send to each of these upstreams. With the number of all balancers, the
        # concurrency limit would be too low, and requests would be rejected while the upstreams are idle.
        self.router.balancer.selection.instance_count = self.subset.balancers_per_upstream
        self.router.endpoints_changed(entries, full=True)


def _create_controller(
    settings: schema.SubsetSettings,
    balancers: int,
    cluster_member: "ClusterMember | None",
    fallback_name: str,
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
    controller = SubsetController(_own_participant(index, cluster_member, fallback_name), controller_settings)
    if index is not None:  # the number of balancers and this one's index are configured: nothing to discover
        participants = [Participant(f"{number}") for number in range(balancers)]
        controller.update_view(clock(), participants, trusted=True)
    return controller


def _own_participant(
    index: int | None, cluster_member: "ClusterMember | None", fallback_name: str
) -> Participant:
    if cluster_member is not None:
        return Participant(cluster_member.name, cluster_member.settings.zone)
    return Participant(fallback_name if index is None else f"{index}")
