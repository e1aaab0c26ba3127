"""A balancer that goes by an operator's file: several pools behind one listener, reloaded whole."""

import asyncio
import os
import signal
from collections.abc import Iterator, Mapping
from functools import partial
from importlib.util import find_spec

from dahliabend.config.operator_file import schema
from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.operator_file.source import format_key
from dahliabend.config.platform import IDLE_REUSE_RATIO, ServerSettings, parse_address
from dahliabend.discovery.watch import DiscoveryClient, EndpointList
from dahliabend.http.headers import MAX_BODY_BYTES
from dahliabend.model import DeduplicationScope, Effect, RequestClass, Settings
from dahliabend.proxy.dispatcher import Dispatcher
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.pool import Pool
from dahliabend.proxy.router import Router
from dahliabend.routing_rules.checks import EffectiveTreatment, target_pools
from dahliabend.routing_rules.compiled_route import CompiledRoute
from dahliabend.routing_rules.loaded_file import LoadedFile, diff, load_file, needs_restart
from dahliabend.server.admin import AdminApi
from dahliabend.server.endpoint_list_file import EndpointListFile
from dahliabend.server.log import Log
from dahliabend.server.metrics import Metrics
from dahliabend.server.platform_server import METRICS_INTERVAL, PlatformServer, run_server
from dahliabend.server.structured_log import StructuredLog
from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import ADMIN_DESCRIPTORS, PROCESS_DESCRIPTORS, DescriptorBudget
from dahliabend.transport.listener import Listener
from dahliabend.transport.timers import TimerQueue, clock

SOCKETS = 4096  # descriptors, where the environment says nothing
MOST_HELD = 20_000
DEMAND = 1_000_000  # how often it is looked how much is asked
SLACK = 20_000  # a caller's limit may be this much nearer than it looks

_EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "journalled": Effect.DEDUPLICATED,
    "non-idempotent": Effect.NON_IDEMPOTENT,
}
_GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


class InvalidOperatorFileError(ValueError):
    """A file that has faults; all of them stand in it."""

    def __init__(self, faults) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


def routes_of(file: OperatorFile, pool: str) -> list[int]:
    """The routes whose transactions may come to that pool."""
    found = []
    for number, route in enumerate(file.routes):
        reach, waiting = set(), [*target_pools(route), route.mirror, route.fallback]
        while waiting:
            name = waiting.pop()
            if name is not None and name not in reach:
                reach.add(name)
                waiting.append(file.pools[name].fallback)
        if pool in reach:
            found.append(number)
    return found


def request_class_of(file: OperatorFile, number: int) -> RequestClass:
    """A route as the decisions know it: its class, with its own times and counts."""
    route = file.routes[number]
    kind, made = file.classes[route.class_], EffectiveTreatment(file, route, number)
    limit = min(kind.hard_limit, made.total_time)
    return RequestClass(
        effect=_EFFECTS[kind.effect],
        deduplication_scope=_GROUPS[kind.group],
        deduplication_window=kind.repeat_window,
        latency_objective=min(kind.service_goal, limit),
        deadline=limit,
        priority_weight=kind.revenue,
        late_weight=float(kind.late_share),
        attempt_timeout=made.hop_time or 0,
        max_attempts=made.attempts,
        max_retries_after_execution=made.replays,
        hedge_delay=made.second_copy_after or 0,
    )


def settings_of(file: OperatorFile, name: str, numbers: list[int]) -> Settings:
    pool = file.pools[name]
    shares = [
        s for n in numbers if (s := EffectiveTreatment(file, file.routes[n], n).retry_share) is not None
    ]
    profiles = tuple(request_class_of(file, number) for number in numbers)
    return Settings(
        instance_count=pool.balancers,
        instance_index=-1,
        tier=0,
        zone=0,
        request_classes=profiles or (IDLE,),
        tenant_quotas=(),
        over_quota_weight=1.0,
        overall_weight=1.0,
        worst_class_weight=0.0,
        cross_zone_cost=0.0,
        max_attempts=max((p.max_attempts for p in profiles), default=1),
        can_cancel=pool.cancels,
        can_health_check=pool.probes,
        sends_retry_after=True,
        max_retry_after=3_000_000,
        polls_endpoints=False,
        poll_deadline=0,
        initial_capacity=float(pool.cold.share),
        warmup_time=pool.cold.time,
        warmup_multiple=pool.cold.multiple,
        retry_budget_ratio=float(min(shares, default=0.1)),
    )


IDLE = RequestClass(
    Effect.IDEMPOTENT, DeduplicationScope.ALL, 0, 1_000_000, 2_000_000, 1.0, 0.0
)  # of a pool without a route


def node_of(made: LoadedFile, name: str, seed: int, sockets: int) -> tuple[ServerSettings, dict[int, int]]:
    """What a pool's router goes by, and the profile of each route."""
    file, pool = made.file, made.file.pools[name]
    numbers = routes_of(file, name)
    settings = settings_of(file, name, numbers)
    zones = sorted({member.zone for member in pool.members or ()})
    node = ServerSettings(
        name=name,
        listen=("", 0),
        discovery=("", 0),
        admin=None,
        listener_descriptor=None,
        shared_directory="",
        seed=seed,
        descriptor_limit=sockets,
        known_endpoints={},
        verbose=False,
        settings=settings,
        class_indices={file.routes[number].name.encode(): n for n, number in enumerate(numbers)},
        tenant_indices={},
        zone_indices={zone: n for n, zone in enumerate(zones)},
        class_deadlines=tuple(profile.deadline for profile in settings.request_classes),
        deadline_slack=SLACK,
        connect_timeout=pool.dial_time,
        idle_reuse_time=round(pool.idle * IDLE_REUSE_RATIO),
        health_check_timeout=2 * pool.dial_time,
        max_in_flight=MOST_HELD,
        report_fields=(),
        unsupported_keys=(),
        named_keys=frozenset(),
        monotonic_offset=host_info.monotonic_ns() // 1000 - host_info.time_ns() // 1000,
    )
    return node, {number: n for n, number in enumerate(numbers)}


def endpoint_rows(members: list[schema.EndpointSettings]) -> list[dict]:
    """In discovery's form."""
    return [
        {"id": m.id, "addr": m.address, "zone": m.zone, "cell": m.cell, "weight": m.weight, "state": "up"}
        for m in members
    ]


def unmet(file: OperatorFile) -> Iterator[str]:
    """What the file says and this program does not do."""
    for name, kind in file.classes.items():
        if kind.longest_body != MAX_BODY_BYTES:
            yield f"classes.{name}.longest-body"


class OperatorFileServer(PlatformServer):
    """As `Program`, with a desk of routes in place of one router."""

    def __init__(self, path: str, environment: Mapping[str, str], log: Log) -> None:
        loop = asyncio.get_running_loop()
        self.path, self.environment, self.log = path, environment, log
        self.plan = made = self.read()
        self.listen, self.admin = self.listener_of(made, "callers"), self.listener_of(made, "operators")
        if self.listen is None:
            raise InvalidOperatorFileError(
                [f"{path}:1: listeners.callers: is missing: where do callers come?"]
            )
        self.done = loop.create_future()
        self.sockets = int(environment.get("DAHLIABEND_SOCKETS") or SOCKETS)
        self.seed = int(environment.get("DAHLIABEND_SEED") or "0", 16) or host_info.time_ns()
        self.timers = TimerQueue(loop)
        self.descriptors = DescriptorBudget(self.sockets - (ADMIN_DESCRIPTORS if self.admin else 0))
        self.metrics = Metrics()
        self.router = self.dispatcher = Dispatcher(self.metrics, log, self.seed)
        self.listener = Listener(self.timers, self.descriptors, self.accept)
        self.admin_descriptors, self.operations = (
            DescriptorBudget(PROCESS_DESCRIPTORS + ADMIN_DESCRIPTORS),
            AdminApi(self, log),
        )
        self.admin_listener = Listener(self.timers, self.admin_descriptors, self.accept_operator)
        self.inherited = self.handover = None
        self.older, self.clearing, self.sharing_descriptors = [], None, False
        self.discovery = self  # `start` opens it, `end` stops it
        self.patience = 0
        self.cluster = self.open_cluster(made)
        self.apply_plan(made)

    def open_cluster(self, made: LoadedFile):
        """None where the file has no `[members]`: nothing of it is loaded then."""
        if made.file.members is None:
            return None
        from dahliabend.server.clustering import ClusterMember

        folder = os.path.dirname(os.path.abspath(self.path))
        cluster = ClusterMember(made.file.members, folder, self.timers, self.descriptors, self.seed, self.log)
        cluster.pools = self.pools_in_gossip
        return cluster

    def divide_shared_limits(self) -> None:
        """Limits that routes share with the fleet's; the others are whole, also where they were shared before
        a reload. Where signals wait for a restart, an equal part: never the whole, by each one."""
        routes = self.dispatcher.routes
        for route, choice in zip(routes.file.routes, routes.choices, strict=True):
            if not route.shared:
                choice.limit.set_fraction(1.0)
        if not any(route.shared for route in routes.file.routes):
            return
        if self.cluster is not None and self.cluster.gossip is not None:
            return self.cluster.share_limits(self.shared_limits)
        for choice, balancers in self.shared_limits():
            choice.limit.set_fraction(1.0 / balancers)

    def shared_limits(self) -> Iterator[tuple[CompiledRoute, int]]:
        """The routes in force that share their limit, and how many balancers there are said to be."""
        routes = self.dispatcher.routes
        for route, choice in zip(routes.file.routes, routes.choices, strict=True):
            if route.shared:
                yield choice, max(routes.file.pools[name].balancers for name in target_pools(route))

    def pools_in_gossip(self) -> list[tuple[str, Router]]:
        return [(pool.name, pool.router) for pool in self.dispatcher if not pool.retired]

    async def start(self) -> None:
        await super().start()
        if self.cluster is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, self.hand_over)
            await self.cluster.open()
            if self.cluster.demand is not None:
                self.report_demand()

    def read(self) -> LoadedFile:
        """ValueError names every fault."""
        made = load_file(self.path, environment=self.environment, read=host_info.read_file)
        if not made.is_usable:
            raise InvalidOperatorFileError(made.faults)
        wanted = [(("members",), "cryptography", "members")] if made.file.members is not None else []
        wanted += [
            (("pools", name, "subset"), "numpy", "subsets")
            for name, pool in made.file.pools.items()
            if pool.subset is not None
        ]
        for key, library, group in wanted:  # told here, whole: half taken over it would be found too late
            if find_spec(library) is None:
                at, wants = made.source.place(key), f"pip install 'dahliabend[{group}]'"
                raise InvalidOperatorFileError(
                    [f"{at.file}:{at.line}: {format_key(key)}: {library} is missing: {wants}"]
                )
        return made

    def listener_of(self, made: LoadedFile, name: str) -> tuple[str, int] | None:
        found = made.file.listeners.get(name)
        return parse_address(found.address) if found is not None else None

    # Pools.

    def apply_plan(self, made: LoadedFile) -> None:
        file, profiles = made.file, {}
        for name, pool in file.pools.items():
            node, profiles[name] = node_of(made, name, self.seed, self.sockets)
            self.patience = max(self.patience, *node.class_deadlines)
            running = self.dispatcher.pools_by_name.get(name)
            if running is None:
                running = self.open_pool(name, node)
            else:
                running.router.table.connect_timeout, running.router.table.idle_timeout = (
                    node.connect_timeout,
                    node.idle_reuse_time,
                )
                running.router.apply_settings(node)
            running.router.logs_access = file.log.access
            running.router.route_names = [file.routes[number].name for number in profiles[name]]
            self.update_subset(running, pool)
            self.open_endpoint_list(running, pool)
        self.dispatcher.apply_routes(file, profiles)
        self.divide_shared_limits()
        for name in [name for name in self.dispatcher.pools_by_name if name not in file.pools]:
            self.dispatcher.retire_pool(name)
        if isinstance(self.log, StructuredLog):
            self.log.apply_settings(file.log)
        self.log_unmet(tuple(unmet(file)))
        self.plan = made

    def listening_fields(self) -> dict:
        return {"pools": list(self.dispatcher.pools_by_name)}

    def open_pool(self, name: str, node: ServerSettings) -> Pool:
        log = self.log.bind(pool=name) if isinstance(self.log, StructuredLog) else self.log
        table = EndpointTable(
            self.timers, self.descriptors, node.connect_timeout, node.idle_reuse_time, log.debug
        )
        router = Router(node, self.timers, table, self.metrics, log)
        table.close_expired_connections()
        if self.cluster is not None and self.cluster.gossip is not None:
            router.on_attempt_finished = partial(self.cluster.saw, name)
            if self.cluster.probing is not None:
                router.health_check_delegate = partial(self.cluster.probing.want, name)
        return self.dispatcher.add_pool(name, router)

    def update_subset(self, running: Pool, pool: schema.PoolSettings) -> None:
        """Whether it uses some of its upstreams; a reload that changes it has the list read anew."""
        terms = pool.subset and (pool.subset, pool.balancers)
        if running.subset_settings == terms:
            return
        running.subset_settings = terms
        if running.subset_filter is not None:
            running.subset_filter.stop()
        running.subset_filter = None
        if pool.subset is not None:
            running.router.health_check_delegate = (
                None  # who is first in a duty's order may not use that upstream
            )
            from dahliabend.server.subset_filter import SubsetFilter

            running.subset_filter = SubsetFilter(
                running.router,
                pool.subset,
                pool.balancers,
                self.cluster,
                f"{self.seed:x}",
                self.timers,
                self.log.bind(pool=running.name) if isinstance(self.log, StructuredLog) else self.log,
            )
        if running.router.discovery is not None:
            running.router.discovery.stop()
            running.router.discovery = None

    def subsets(self) -> dict:
        return {
            pool.name: pool.subset_filter.status()
            for pool in self.dispatcher
            if pool.subset_filter is not None
        }

    def open_endpoint_list(self, running: Pool, pool: schema.PoolSettings) -> None:
        """Where its members come from, now. What is known of them stays."""
        router, before = running.router, running.router.discovery
        reader = running.subset_filter or router
        if pool.discovery is not None:
            if isinstance(before, DiscoveryClient):
                return before.change_address(parse_address(pool.discovery))
            endpoint_list = EndpointList(reader, self.log)
            keeper = DiscoveryClient(
                parse_address(pool.discovery),
                endpoint_list,
                self.timers,
                self.descriptors,
                router.table.connect_timeout,
                router.balancer.chance,
                self.log,
            )
            self.timers.loop.call_soon(keeper.open)
        else:
            keeper = before
            if not isinstance(before, EndpointListFile):
                keeper = EndpointListFile(EndpointList(reader, self.log), self.timers, self.log)
            if pool.members is not None:
                keeper.stop()
                keeper.say(endpoint_rows(pool.members))
            else:
                keeper.watch(os.path.join(os.path.dirname(self.path), pool.file))
        if before is not None and before is not keeper:
            before.stop()
        router.discovery, running.stop = keeper, partial(self.stop_list, running, keeper)

    def stop_list(self, running: Pool, keeper: DiscoveryClient | EndpointListFile) -> None:
        keeper.stop()
        if running.subset_filter is not None:
            running.subset_filter.stop()

    def open(self) -> None: ...

    # Among the others.

    def members(self) -> dict | None:
        return self.cluster.shown() if self.cluster is not None else None

    def signals(self) -> dict | None:
        return self.cluster.signals() if self.cluster is not None else None

    def turns(self) -> dict | None:
        shared = self.cluster.probing if self.cluster is not None else None
        return shared.shown() if shared is not None else None

    def stop(self) -> None:
        if self.cluster is not None:
            self.cluster.leave()
        super().stop()

    def hand_over(self) -> None:
        """It ends as by SIGTERM, but the others are told nothing: who starts in its place goes on as it."""
        self.cluster.leave(hand=True)
        self.stop()

    def stop_lists(self) -> None:
        for pool in self.dispatcher:
            pool.stop()

    async def end(self) -> None:
        await self.done
        self.stop_lists()
        if self.cluster is not None:
            self.cluster.close()
        self.log("ended", counts=self.dispatcher.counts)

    # Reload, whole or not at all.

    def reload(self) -> None:
        try:
            made = self.read()
        except ValueError as error:
            self.metrics.configs_rejected += 1
            faults = getattr(error, "faults", [error])
            return self.log("reload.refused", faults=[str(fault) for fault in faults])
        changes = diff(self.plan, made)
        self.metrics.configs_accepted += 1
        if made.file.listeners.get("callers") is None:
            made.file.listeners.update(self.plan.file.listeners)
        self.apply_plan(made)
        if self.cluster is not None and made.file.members is not None:
            self.cluster.take_over(made.file.members)
        late = [change["key"] for change in changes if needs_restart(change["key"])]
        self.log("reloaded", changes=len(changes), passed_over=late)

    # Figures.

    def report_demand(self) -> None:
        """What pools with a subset were asked: by it the others' subsets make room."""
        pools = [pool for pool in self.dispatcher if pool.subset_filter is not None]
        self.cluster.asked(sum(sum(pool.router.counts.values()) for pool in pools))
        self.timers.schedule(clock() + DEMAND, self.report_demand)

    def beat(self) -> None:
        for pool in self.dispatcher.remove_finished_pools():
            pool.stop()
            for upstream in tuple(pool.router.table.endpoints):
                pool.router.table.remove(upstream)
            self.log("pool.gone", pool=pool.name)
        for pool in self.dispatcher:
            balancer = pool.router.balancer
            self.log(
                "figures",
                pool=pool.name,
                counts=pool.router.counts,
                held=len(pool.router.requests),
                out=balancer.out,
                crowd=round(balancer.ceiling, 1),
                tier=round(balancer.tier.metric, 2),
                ready=len(balancer.ready),
                retired=pool.retired,
            )
        if self.cluster is not None and self.cluster.opened:
            self.log("members.figures", **self.cluster.metrics())
        self.timers.schedule(clock() + METRICS_INTERVAL, self.beat)


async def serve_operator_file(path: str, log: Log) -> None:
    await run_server(lambda: OperatorFileServer(path, os.environ, log), log)
