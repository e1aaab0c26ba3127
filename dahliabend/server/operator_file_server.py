"""The server of a balancer that an operator's file configures: routes to several pools, reloaded together."""

import asyncio
import os
import signal
from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Any

import msgspec

from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.proxy.dispatcher import ActiveRoutes, Dispatcher
from dahliabend.routing_rules.comparison import diff, needs_restart
from dahliabend.routing_rules.compiled_route import CompiledRoute
from dahliabend.routing_rules.treatment import target_pools
from dahliabend.server.log import Log
from dahliabend.server.operator_file_loading import (
    ADMIN_LISTENER,
    CLIENT_LISTENER,
    InvalidOperatorFileError,
    UsableFile,
    listener_address,
    load_usable_file,
    reload_usable_file,
    unsupported_keys,
)
from dahliabend.server.pool_manager import PoolManager, PoolResources
from dahliabend.server.reload import reload_configuration
from dahliabend.server.runner import run_server
from dahliabend.server.server import Server
from dahliabend.server.structured_log import StructuredLog
from dahliabend.transport import host_info
from dahliabend.transport.timers import clock

if TYPE_CHECKING:
    from dahliabend.server.clustering import ClusterMember

DEFAULT_DESCRIPTOR_LIMIT = 4096  # if DAHLIABEND_SOCKETS is not set
DEMAND_INTERVAL = 1_000_000  # microseconds between two reports of this balancer's demand


class OperatorFileServer(Server):
    """A server with the routes and pools of an operator's file.

    Attributes:
        dispatcher: Dispatches requests to the pools by the active routes.
        cluster_member: This balancer as a member of its cluster; None if the file has no `[members]`.
        pools: The running pools.
    """

    router: Dispatcher

    def __init__(self, path: str, environment: Mapping[str, str], log: Log) -> None:
        """Create a server that does not listen yet; an event loop has to be running.

        Args:
            path: The path of the operator's file.
            environment: The environment variables that the file may refer to, and DAHLIABEND_SOCKETS and
                DAHLIABEND_SEED.
            log: The event log.

        Raises:
            InvalidOperatorFileError: The file has faults or requires a library that is not installed.
        """
        self.path = path
        self.environment = environment
        self.configuration = load_usable_file(path, environment)
        file = self.configuration.file
        listen_address = listener_address(file, CLIENT_LISTENER)
        if listen_address is None:
            raise InvalidOperatorFileError(
                [f"{path}:1: listeners.callers: is missing: there is no address to serve clients on"]
            )
        descriptor_limit = int(environment.get("DAHLIABEND_SOCKETS") or DEFAULT_DESCRIPTOR_LIMIT)
        seed = int(environment.get("DAHLIABEND_SEED") or "0", 16) or host_info.time_ns()
        super().__init__(
            listen_address=listen_address,
            admin_address=listener_address(file, ADMIN_LISTENER),
            descriptor_limit=descriptor_limit,
            log=log,
        )
        self.dispatcher = Dispatcher(self.metrics, log, seed)
        self.router = self.dispatcher
        self.cluster_member = self._create_cluster_member(file, seed)
        resources = PoolResources(
            dispatcher=self.dispatcher,
            timers=self.timers,
            descriptors=self.descriptors,
            metrics=self.metrics,
            log=log,
            directory=os.path.dirname(path),
            seed=seed,
            descriptor_limit=descriptor_limit,
        )
        self.pools = PoolManager(resources, self.cluster_member)
        if self.cluster_member is not None and self.cluster_member.gossip is not None:
            self.cluster_member.gossip.pools = self.pools.active_routers
        self._apply_file(self.configuration)

    def _create_cluster_member(self, file: OperatorFile, seed: int) -> "ClusterMember | None":
        """Create the cluster member; without `[members]`, return None and import none of its modules."""
        if file.members is None:
            return None
        from dahliabend.server.clustering import ClusterMember

        directory = os.path.dirname(os.path.abspath(self.path))
        return ClusterMember(file.members, directory, self.timers, self.descriptors, seed, self.log)

    # Start and shutdown

    async def start(self) -> None:
        """Start accepting clients, then join the cluster.

        Raises:
            OSError: The server can't listen on one of its addresses.
        """
        await super().start()
        if self.cluster_member is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, self.hand_over)
            await self.cluster_member.open()
            if self.cluster_member.demand is not None:
                self._report_demand_periodically(self.cluster_member)

    async def prepare(self) -> None:
        """Do nothing: the pools were opened when the file was applied."""

    def started_event_fields(self) -> dict[str, object]:
        """Return the names of the pools, for the event `server.started`."""
        return {"pools": list(self.dispatcher.pools_by_name)}

    def stop(self) -> None:
        """Leave the cluster and begin the graceful shutdown."""
        if self.cluster_member is not None:
            self.cluster_member.leave()
        super().stop()

    def hand_over(self) -> None:
        """Begin the graceful shutdown, and let a successor continue as this member of the cluster."""
        if self.cluster_member is not None:
            self.cluster_member.hand_over()
        self.stop()

    def close(self) -> None:
        """Close the pools and the cluster member."""
        self.pools.close()
        if self.cluster_member is not None:
            self.cluster_member.close()

    # Reload

    def reload(self) -> None:
        """Read the file again and apply it; an invalid file changes nothing."""
        reload_configuration(
            lambda: reload_usable_file(self.path, self.environment, self.configuration),
            self._apply_reloaded,
            _describe_faults,
            metrics=self.metrics,
            log=self.log,
        )

    def _apply_reloaded(self, configuration: UsableFile) -> dict[str, object]:
        before = self.configuration
        changes = diff(before.loaded, configuration.loaded)
        file = configuration.file
        if CLIENT_LISTENER not in file.listeners:
            file.listeners.update(before.file.listeners)
        self._apply_file(configuration)
        if self.cluster_member is not None and file.members is not None:
            self.cluster_member.apply_settings(file.members)
        restart_required = [change["key"] for change in changes if needs_restart(change["key"])]
        return {"changes": len(changes), "restart_required": restart_required}

    def _apply_file(self, configuration: UsableFile) -> None:
        file = configuration.file
        settings = self.pools.make_settings(file)
        for name, pool_settings in settings.items():
            self.max_request_time = max(self.max_request_time, *pool_settings.server.class_deadlines)
            self.pools.apply_pool(file, name, pool_settings)
        classes = {name: pool_settings.class_by_route for name, pool_settings in settings.items()}
        self.dispatcher.apply_routes(file, classes)
        self.divide_shared_limits()
        self.pools.retire_missing(file.pools)
        if isinstance(self.log, StructuredLog):
            self.log.apply_settings(file.log)
        self.log_unsupported(tuple(unsupported_keys(file)))
        self.configuration = configuration

    # Limits shared by balancers

    def divide_shared_limits(self) -> None:
        """Reduce each shared limit to this balancer's share, and reset every other limit to its full value.

        A limit that is not shared now may have been shared before a reload, so it is reset. If gossip is not
        running (enabling it in a reload takes effect after a restart), every balancer gets an equal share: no
        balancer may admit as much as all together.
        """
        active = self._active_routes()
        shared = [route.shared for route in active.file.routes]
        for is_shared, route in zip(shared, active.compiled_routes, strict=True):
            if not is_shared:
                route.limit.set_fraction(1.0)
        if not any(shared):
            return
        if self.cluster_member is not None and self.cluster_member.gossip is not None:
            self.cluster_member.share_limits(self.shared_limits)
            return
        for route, balancers in self.shared_limits():
            route.limit.set_fraction(1.0 / balancers)

    def shared_limits(self) -> Iterator[tuple[CompiledRoute, int]]:
        """Yield the active routes with a shared limit, each with the configured number of balancers."""
        active = self._active_routes()
        pools = active.file.pools
        for settings, route in zip(active.file.routes, active.compiled_routes, strict=True):
            if settings.shared:
                yield route, max(pools[name].balancers for name in target_pools(settings))

    def _active_routes(self) -> ActiveRoutes:
        active = self.dispatcher.routes
        assert active is not None, "routes are applied before the server is used"
        return active

    # Metrics and admin calls

    def log_metrics(self) -> None:
        """Close retired pools without requests, and log the metrics of the other pools and of the cluster."""
        self.pools.close_finished()
        for pool in self.dispatcher:
            balancer = pool.router.balancer
            self.log(
                "metrics.reported",
                pool=pool.name,
                counts=pool.router.counts,
                requests_in_flight=len(pool.router.requests),
                attempts_in_flight=balancer.concurrency.in_flight,
                concurrency_limit=round(balancer.concurrency.limit, 1),
                reduction=round(balancer.throttling.tier.reduction, 2),
                ready=len(balancer.selection.ready),
                retired=pool.retired,
            )
        if self.cluster_member is not None and self.cluster_member.has_opened:
            self.log("membership.metrics_reported", **msgspec.structs.asdict(self.cluster_member.metrics()))

    def membership_status(self) -> dict[str, Any] | None:
        """Return the members of the cluster; None if the server is not a member of one."""
        return self.cluster_member.status() if self.cluster_member is not None else None

    def subset_status(self) -> dict[str, Any]:
        """Return, by pool, the subset of upstreams in use; pools without a subset are left out."""
        return self.pools.subset_status()

    def gossip_status(self) -> dict[str, Any] | None:
        """Return the health reports exchanged with other balancers; None without health gossip."""
        gossip = self.cluster_member.gossip if self.cluster_member is not None else None
        return gossip.status() if gossip is not None else None

    def lease_status(self) -> dict[str, Any] | None:
        """Return the leases of shared health checks; None if health checks are not shared."""
        gossip = self.cluster_member.gossip if self.cluster_member is not None else None
        checks = gossip.health_checks if gossip is not None else None
        return checks.status() if checks is not None else None

    def _report_demand_periodically(self, cluster_member: "ClusterMember") -> None:
        """Report the demand of pools with a subset to the other balancers, now and at intervals.

        The others choose their subsets so that the upstreams keep capacity for it.
        """
        cluster_member.report_demand(self.pools.subset_request_count())
        self.timers.schedule(clock() + DEMAND_INTERVAL, self._report_demand_periodically, cluster_member)


def _describe_faults(error: ValueError) -> dict[str, object]:
    faults = error.faults if isinstance(error, InvalidOperatorFileError) else [error]
    return {"faults": [str(fault) for fault in faults]}


async def serve_operator_file(path: str, log: Log) -> None:
    """Serve with the settings of an operator's file until a signal stops the process.

    Raises:
        InvalidOperatorFileError: The file has faults or requires a library that is not installed.
        OSError: The server can't listen on one of its addresses.
    """
    await run_server(lambda: OperatorFileServer(path, os.environ, log), log)
