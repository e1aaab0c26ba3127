"""The running pools of an operator's file, each with its router, endpoint list and subset."""

import os
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from dahliabend.config.address import parse_address
from dahliabend.config.operator_file import schema
from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.server_settings import ServerSettings
from dahliabend.discovery.endpoint_list import EndpointList, EndpointListObserver
from dahliabend.discovery.watch import DiscoveryClient
from dahliabend.proxy.dispatcher import Dispatcher
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.pool import Pool
from dahliabend.proxy.pool_state import EndpointSource
from dahliabend.proxy.router import Router
from dahliabend.server.endpoint_list_file import EndpointListFile
from dahliabend.server.log import EventLog
from dahliabend.server.metrics import Metrics
from dahliabend.server.pool_settings import PoolSettings, endpoint_entries, make_pool_settings
from dahliabend.server.structured_log import bind_pool
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

if TYPE_CHECKING:
    from dahliabend.server.clustering import ClusterMember
    from dahliabend.server.subset_filter import SubsetFilter


@dataclass(frozen=True, slots=True)
class PoolResources:
    """The components and parameters that all pools of a process share.

    Attributes:
        dispatcher: The dispatcher of requests to the pools.
        timers: The process's timers.
        descriptors: The descriptor budget of client and upstream connections.
        metrics: The process's counters.
        log: The event log.
        directory: The directory that relative paths in the operator's file refer to.
        seed: The seed of the pools' random number generators.
        descriptor_limit: The maximum number of descriptors that the process may have open.
    """

    dispatcher: Dispatcher
    timers: TimerQueue
    descriptors: DescriptorBudget
    metrics: Metrics
    log: EventLog
    directory: str
    seed: int
    descriptor_limit: int


@dataclass(slots=True)
class RunningPool:
    """A pool with the source and the filter of its endpoint list.

    Attributes:
        pool: The pool in the dispatcher.
        source: The source of its endpoint list; None until one is set.
        subset_filter: Narrows the endpoint list to this balancer's subset; None if it uses all upstreams.
        subset_inputs: The subset settings and the number of balancers that the filter was created from.
    """

    pool: Pool
    source: EndpointSource | None = None
    subset_filter: "SubsetFilter | None" = None
    subset_inputs: tuple[schema.SubsetSettings, int] | None = None

    @property
    def observer(self) -> EndpointListObserver:
        """The observer of the endpoint list: the filter if there is one, otherwise the router."""
        return self.subset_filter or self.pool.router

    def set_source(self, source: EndpointSource | None) -> None:
        """Use this source for the endpoint list, and stop the one before."""
        if self.source is not None and self.source is not source:
            self.source.stop()
        self.source = source
        self.pool.router.discovery = source

    def close(self) -> None:
        """Stop the source of the endpoint list and the subset filter."""
        if self.source is not None:
            self.source.stop()
        if self.subset_filter is not None:
            self.subset_filter.stop()


class PoolManager:
    """The running pools: opens those that a file adds, and closes removed ones after their last request."""

    def __init__(self, resources: PoolResources, cluster_member: "ClusterMember | None") -> None:
        """Create a manager without pools.

        Args:
            resources: The components that all pools share.
            cluster_member: This balancer as a member of its cluster; None without `[members]`.
        """
        self.resources = resources
        self.cluster_member = cluster_member
        self._running_pools: dict[int, RunningPool] = {}  # by the pool's number in the dispatcher

    def make_settings(self, file: OperatorFile) -> dict[str, PoolSettings]:
        """Convert the settings of each pool of a file."""
        seed = self.resources.seed
        limit = self.resources.descriptor_limit
        return {
            name: make_pool_settings(file, name, seed=seed, descriptor_limit=limit) for name in file.pools
        }

    def apply_pool(self, file: OperatorFile, name: str, settings: PoolSettings) -> None:
        """Open a pool of a file, or update it if it is already running."""
        pool = self.resources.dispatcher.pools_by_name.get(name)
        if pool is None:
            running_pool = self._open_pool(name, settings.server)
        else:
            running_pool = self._running_pools[pool.number]
            _update_router(pool.router, settings.server)
        router = running_pool.pool.router
        router.logs_access = file.log.access
        router.route_names = [file.routes[number].name for number in settings.class_by_route]
        self._apply_subset(running_pool, file.pools[name])
        self._apply_source(running_pool, file.pools[name])

    def retire_missing(self, pools: Mapping[str, object]) -> None:
        """Stop dispatching new requests to the running pools that are not in this mapping."""
        dispatcher = self.resources.dispatcher
        for name in [name for name in dispatcher.pools_by_name if name not in pools]:
            dispatcher.retire_pool(name)

    def close_finished(self) -> None:
        """Close the retired pools that have no requests left."""
        for pool in self.resources.dispatcher.remove_finished_pools():
            self._running_pools.pop(pool.number).close()
            table = pool.router.table
            for index in tuple(table.endpoints):
                table.remove(index)
            self.resources.log("pool.removed", pool=pool.name)

    def close(self) -> None:
        """Stop the endpoint list sources and subset filters of all pools."""
        for running_pool in self._running_pools.values():
            running_pool.close()

    def active_routers(self) -> list[tuple[str, Router]]:
        """Return the name and router of each pool that has not been retired."""
        return [(pool.name, pool.router) for pool in self.resources.dispatcher if not pool.retired]

    def subset_status(self) -> dict[str, Any]:
        """Return, by pool, the subset of upstreams in use; pools without a subset are left out."""
        return {
            running_pool.pool.name: running_pool.subset_filter.status()
            for running_pool in self._running_pools.values()
            if running_pool.subset_filter is not None
        }

    def subset_request_count(self) -> int:
        """Return the number of requests that pools with a subset have received so far."""
        return sum(
            sum(running_pool.pool.router.counts.values())
            for running_pool in self._running_pools.values()
            if running_pool.subset_filter is not None
        )

    def _open_pool(self, name: str, settings: ServerSettings) -> RunningPool:
        resources = self.resources
        log = bind_pool(resources.log, name)
        endpoint_resources = EndpointResources(
            resources.timers,
            resources.descriptors,
            settings.connect_timeout,
            settings.idle_reuse_time,
            log.debug,
        )
        table = EndpointTable(endpoint_resources)
        router = Router(settings, resources.timers, table, resources.metrics, log)
        table.close_expired_connections()
        gossip = self.cluster_member.gossip if self.cluster_member is not None else None
        if gossip is not None:
            router.on_attempt_finished = partial(gossip.record_outcome, name)
            if gossip.health_checks is not None:
                router.health_check_delegate = partial(gossip.health_checks.request_check, name)
        running_pool = RunningPool(resources.dispatcher.add_pool(name, router))
        self._running_pools[running_pool.pool.number] = running_pool
        return running_pool

    def _apply_subset(self, running_pool: RunningPool, settings: schema.PoolSettings) -> None:
        """Create, replace or remove the subset filter; after a change, the endpoint list is read again."""
        inputs = (settings.subset, settings.balancers) if settings.subset is not None else None
        if running_pool.subset_inputs == inputs:
            return
        running_pool.subset_inputs = inputs
        if running_pool.subset_filter is not None:
            running_pool.subset_filter.stop()
            running_pool.subset_filter = None
        if settings.subset is not None:
            # No shared health checks: the holder of an upstream's lease may not have it in its subset.
            running_pool.pool.router.health_check_delegate = None
            running_pool.subset_filter = self._create_subset_filter(
                running_pool.pool, settings.subset, settings.balancers
            )
        running_pool.set_source(None)

    def _create_subset_filter(
        self, pool: Pool, subset: schema.SubsetSettings, balancers: int
    ) -> "SubsetFilter":
        from dahliabend.server.subset_filter import SubsetFilter

        resources = self.resources
        return SubsetFilter(
            pool.router,
            subset,
            balancers,
            self.cluster_member,
            f"{resources.seed:x}",
            resources.timers,
            bind_pool(resources.log, pool.name),
        )

    def _apply_source(self, running_pool: RunningPool, settings: schema.PoolSettings) -> None:
        """Use the endpoint source named by a pool's settings; the state of known endpoints is kept."""
        if settings.discovery is None:
            self._apply_list_file(running_pool, settings)
        elif isinstance(running_pool.source, DiscoveryClient):
            running_pool.source.change_address(parse_address(settings.discovery))
        else:
            self._open_discovery(running_pool, settings.discovery)

    def _open_discovery(self, running_pool: RunningPool, address: str) -> None:
        resources = self.resources
        router = running_pool.pool.router
        client = DiscoveryClient(
            parse_address(address),
            EndpointList(running_pool.observer, resources.log),
            resources.timers,
            resources.descriptors,
            router.table.resources.connect_timeout,
            router.balancer.random,
            resources.log,
        )
        resources.timers.loop.call_soon(client.open)
        running_pool.set_source(client)

    def _apply_list_file(self, running_pool: RunningPool, settings: schema.PoolSettings) -> None:
        resources = self.resources
        source = running_pool.source
        if not isinstance(source, EndpointListFile):
            source = EndpointListFile(
                EndpointList(running_pool.observer, resources.log), resources.timers, resources.log
            )
        if settings.members is not None:
            source.stop()
            source.set_endpoints(endpoint_entries(settings.members))
        elif settings.file is not None:
            source.watch(os.path.join(resources.directory, settings.file))
        running_pool.set_source(source)


def _update_router(router: Router, settings: ServerSettings) -> None:
    router.table.resources.connect_timeout = settings.connect_timeout
    router.table.resources.idle_timeout = settings.idle_reuse_time
    router.apply_settings(settings)
