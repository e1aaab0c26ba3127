"""A balancer that goes by an operator's file: several pools behind one listener, reloaded whole."""

import asyncio
import os
import signal
from collections.abc import Iterator, Mapping
from functools import partial
from importlib.util import find_spec

from dahliabend.config.operator_file import types
from dahliabend.config.operator_file.source import path_of
from dahliabend.config.operator_file.types import File
from dahliabend.config.platform import REST, Node, address
from dahliabend.discovery.watch import Book, Discovery
from dahliabend.http.headers import MOST
from dahliabend.model import DeduplicationScope, Effect, RequestClass, Settings
from dahliabend.proxy.dispatcher import Desk, Pool
from dahliabend.proxy.endpoint_table import UpstreamTable
from dahliabend.proxy.router import Router
from dahliabend.routing_rules.checks import Effective, targets
from dahliabend.routing_rules.choice import Choice
from dahliabend.routing_rules.plan import Plan, diff, passed_over, plan
from dahliabend.server.admin import Operations
from dahliabend.server.lists import ListFile
from dahliabend.server.log import Log
from dahliabend.server.metrics import Figures
from dahliabend.server.serve import BEAT, Program, live
from dahliabend.server.structured_log import Structured
from dahliabend.transport import host_info as machine
from dahliabend.transport.descriptor_budget import DOOR, OTHERS, Descriptors
from dahliabend.transport.listener import Listener
from dahliabend.transport.timers import Deadlines, clock

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


class Refused(ValueError):
    """A file that has faults; all of them stand in it."""

    def __init__(self, faults) -> None:
        super().__init__("; ".join(map(str, faults)))
        self.faults = faults


def routes_of(file: File, pool: str) -> list[int]:
    """The routes whose transactions may come to that pool."""
    found = []
    for number, route in enumerate(file.routes):
        reach, waiting = set(), [*targets(route), route.mirror, route.fallback]
        while waiting:
            name = waiting.pop()
            if name is not None and name not in reach:
                reach.add(name)
                waiting.append(file.pools[name].fallback)
        if pool in reach:
            found.append(number)
    return found


def profile_of(file: File, number: int) -> RequestClass:
    """A route as the decisions know it: its class, with its own times and counts."""
    route = file.routes[number]
    kind, made = file.classes[route.class_], Effective(file, route, number)
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


def settings_of(file: File, name: str, numbers: list[int]) -> Settings:
    pool = file.pools[name]
    shares = [s for n in numbers if (s := Effective(file, file.routes[n], n).retry_share) is not None]
    profiles = tuple(profile_of(file, number) for number in numbers)
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


def node_of(made: Plan, name: str, seed: int, sockets: int) -> tuple[Node, dict[int, int]]:
    """What a pool's router goes by, and the profile of each route."""
    file, pool = made.file, made.file.pools[name]
    numbers = routes_of(file, name)
    settings = settings_of(file, name, numbers)
    zones = sorted({member.zone for member in pool.members or ()})
    node = Node(
        name=name,
        listen=("", 0),
        discovery=("", 0),
        admin=None,
        inherited=None,
        shared="",
        seed=seed,
        sockets=sockets,
        known={},
        verbose=False,
        settings=settings,
        profiles={file.routes[number].name.encode(): n for n, number in enumerate(numbers)},
        customers={},
        zones={zone: n for n, zone in enumerate(zones)},
        longest=tuple(profile.deadline for profile in settings.request_classes),
        slack=SLACK,
        dial_time=pool.dial_time,
        rest=round(pool.idle * REST),
        probe_time=2 * pool.dial_time,
        most_held=MOST_HELD,
        report_fields=(),
        unmet=(),
        keys=frozenset(),
        epoch=machine.ticks() // 1000 - machine.wall() // 1000,
    )
    return node, {number: n for n, number in enumerate(numbers)}


def rows_of(members: list[types.Member]) -> list[dict]:
    """In discovery's form."""
    return [
        {"id": m.id, "addr": m.address, "zone": m.zone, "cell": m.cell, "weight": m.weight, "state": "up"}
        for m in members
    ]


def unmet(file: File) -> Iterator[str]:
    """What the file says and this program does not do."""
    for name, kind in file.classes.items():
        if kind.longest_body != MOST:
            yield f"classes.{name}.longest-body"


class Service(Program):
    """As `Program`, with a desk of routes in place of one router."""

    def __init__(self, path: str, environment: Mapping[str, str], log: Log) -> None:
        loop = asyncio.get_running_loop()
        self.path, self.environment, self.log = path, environment, log
        self.plan = made = self.read()
        self.listen, self.admin = self.listener_of(made, "callers"), self.listener_of(made, "operators")
        if self.listen is None:
            raise Refused([f"{path}:1: listeners.callers: is missing: where do callers come?"])
        self.done = loop.create_future()
        self.sockets = int(environment.get("DAHLIABEND_SOCKETS") or SOCKETS)
        self.seed = int(environment.get("DAHLIABEND_SEED") or "0", 16) or machine.wall()
        self.deadlines = Deadlines(loop)
        self.descriptors = Descriptors(self.sockets - (DOOR if self.admin else 0))
        self.figures = Figures()
        self.router = self.desk = Desk(self.figures, log, self.seed)
        self.listener = Listener(self.deadlines, self.descriptors, self.accept)
        self.door, self.operations = Descriptors(OTHERS + DOOR), Operations(self, log)
        self.door_listener = Listener(self.deadlines, self.door, self.accept_operator)
        self.inherited = self.handover = None
        self.older, self.clearing, self.halved = [], None, False
        self.discovery = self  # `start` opens it, `end` stops it
        self.patience = 0
        self.fleet = self.fleet_of(made)
        self.take_over_plan(made)

    def fleet_of(self, made: Plan):
        """None where the file has no `[members]`: nothing of it is loaded then."""
        if made.file.members is None:
            return None
        from dahliabend.server.clustering import Fleet

        folder = os.path.dirname(os.path.abspath(self.path))
        fleet = Fleet(made.file.members, folder, self.deadlines, self.descriptors, self.seed, self.log)
        fleet.pools = self.signalled
        return fleet

    def divide_limits(self) -> None:
        """Limits that routes share with the fleet's; the others are whole, also where they were shared before
        a reload. Where signals wait for a restart, an equal part: never the whole, by each one."""
        routes = self.desk.routes
        for route, choice in zip(routes.file.routes, routes.choices, strict=True):
            if not route.shared:
                choice.limit.take(1.0)
        if not any(route.shared for route in routes.file.routes):
            return
        if self.fleet is not None and self.fleet.gossip is not None:
            return self.fleet.share(self.shared_limits)
        for choice, balancers in self.shared_limits():
            choice.limit.take(1.0 / balancers)

    def shared_limits(self) -> Iterator[tuple[Choice, int]]:
        """The routes in force that share their limit, and how many balancers there are said to be."""
        routes = self.desk.routes
        for route, choice in zip(routes.file.routes, routes.choices, strict=True):
            if route.shared:
                yield choice, max(routes.file.pools[name].balancers for name in targets(route))

    def signalled(self) -> list[tuple[str, Router]]:
        return [(pool.name, pool.router) for pool in self.desk if not pool.retired]

    async def start(self) -> None:
        await super().start()
        if self.fleet is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, self.hand_over)
            await self.fleet.open()
            if self.fleet.demand is not None:
                self.tell_demand()

    def read(self) -> Plan:
        """ValueError names every fault."""
        made = plan(self.path, environment=self.environment, read=machine.read_file)
        if not made.usable:
            raise Refused(made.faults)
        wanted = [(("members",), "cryptography", "members")] if made.file.members is not None else []
        wanted += [
            (("pools", name, "subset"), "numpy", "subsets")
            for name, pool in made.file.pools.items()
            if pool.subset is not None
        ]
        for key, library, group in wanted:  # told here, whole: half taken over it would be found too late
            if find_spec(library) is None:
                at, wants = made.source.place(key), f"pip install 'dahliabend[{group}]'"
                raise Refused([f"{at.file}:{at.line}: {path_of(key)}: {library} is missing: {wants}"])
        return made

    def listener_of(self, made: Plan, name: str) -> tuple[str, int] | None:
        found = made.file.listeners.get(name)
        return address(found.address) if found is not None else None

    # Pools.

    def take_over_plan(self, made: Plan) -> None:
        file, profiles = made.file, {}
        for name, pool in file.pools.items():
            node, profiles[name] = node_of(made, name, self.seed, self.sockets)
            self.patience = max(self.patience, *node.longest)
            running = self.desk.names.get(name)
            if running is None:
                running = self.open_pool(name, node)
            else:
                running.router.table.dial_time, running.router.table.rest = node.dial_time, node.rest
                running.router.switch(node)
            running.router.access = file.log.access
            running.router.route_names = [file.routes[number].name for number in profiles[name]]
            self.narrow(running, pool)
            self.list_of(running, pool)
        self.desk.use(file, profiles)
        self.divide_limits()
        for name in [name for name in self.desk.names if name not in file.pools]:
            self.desk.retire(name)
        if isinstance(self.log, Structured):
            self.log.go_by(file.log)
        self.tell_unmet(tuple(unmet(file)))
        self.plan = made

    def nature(self) -> dict:
        return {"pools": list(self.desk.names)}

    def open_pool(self, name: str, node: Node) -> Pool:
        log = self.log.bind(pool=name) if isinstance(self.log, Structured) else self.log
        table = UpstreamTable(self.deadlines, self.descriptors, node.dial_time, node.rest, log.debug)
        router = Router(node, self.deadlines, table, self.figures, log)
        table.sweep()
        if self.fleet is not None and self.fleet.gossip is not None:
            router.tells = partial(self.fleet.saw, name)
            if self.fleet.probing is not None:
                router.shares = partial(self.fleet.probing.want, name)
        return self.desk.add(name, router)

    def narrow(self, running: Pool, pool: types.Pool) -> None:
        """Whether it uses some of its upstreams; a reload that changes it has the list read anew."""
        terms = pool.subset and (pool.subset, pool.balancers)
        if running.terms == terms:
            return
        running.terms = terms
        if running.narrowed is not None:
            running.narrowed.stop()
        running.narrowed = None
        if pool.subset is not None:
            running.router.shares = None  # who is first in a duty's order may not use that upstream
            from dahliabend.server.subset_filter import Narrowed

            running.narrowed = Narrowed(
                running.router,
                pool.subset,
                pool.balancers,
                self.fleet,
                f"{self.seed:x}",
                self.deadlines,
                self.log.bind(pool=running.name) if isinstance(self.log, Structured) else self.log,
            )
        if running.router.discovery is not None:
            running.router.discovery.stop()
            running.router.discovery = None

    def subsets(self) -> dict:
        return {pool.name: pool.narrowed.shown() for pool in self.desk if pool.narrowed is not None}

    def list_of(self, running: Pool, pool: types.Pool) -> None:
        """Where its members come from, now. What is known of them stays."""
        router, before = running.router, running.router.discovery
        reader = running.narrowed or router
        if pool.discovery is not None:
            if isinstance(before, Discovery):
                return before.move(address(pool.discovery))
            book = Book(reader, self.log)
            keeper = Discovery(
                address(pool.discovery),
                book,
                self.deadlines,
                self.descriptors,
                router.table.dial_time,
                router.balancer.chance,
                self.log,
            )
            self.deadlines.loop.call_soon(keeper.open)
        else:
            keeper = before
            if not isinstance(before, ListFile):
                keeper = ListFile(Book(reader, self.log), self.deadlines, self.log)
            if pool.members is not None:
                keeper.stop()
                keeper.say(rows_of(pool.members))
            else:
                keeper.watch(os.path.join(os.path.dirname(self.path), pool.file))
        if before is not None and before is not keeper:
            before.stop()
        router.discovery, running.stop = keeper, partial(self.stop_list, running, keeper)

    def stop_list(self, running: Pool, keeper: Discovery | ListFile) -> None:
        keeper.stop()
        if running.narrowed is not None:
            running.narrowed.stop()

    def open(self) -> None: ...

    # Among the others.

    def members(self) -> dict | None:
        return self.fleet.shown() if self.fleet is not None else None

    def signals(self) -> dict | None:
        return self.fleet.signals() if self.fleet is not None else None

    def turns(self) -> dict | None:
        shared = self.fleet.probing if self.fleet is not None else None
        return shared.shown() if shared is not None else None

    def stop(self) -> None:
        if self.fleet is not None:
            self.fleet.go()
        super().stop()

    def hand_over(self) -> None:
        """It ends as by SIGTERM, but the others are told nothing: who starts in its place goes on as it."""
        self.fleet.go(hand=True)
        self.stop()

    def stop_lists(self) -> None:
        for pool in self.desk:
            pool.stop()

    async def end(self) -> None:
        await self.done
        self.stop_lists()
        if self.fleet is not None:
            self.fleet.close()
        self.log("ended", counts=self.desk.counts)

    # Reload, whole or not at all.

    def reload(self) -> None:
        try:
            made = self.read()
        except ValueError as error:
            self.figures.invalid += 1
            faults = getattr(error, "faults", [error])
            return self.log("reload.refused", faults=[str(fault) for fault in faults])
        changes = diff(self.plan, made)
        self.figures.accepted += 1
        if made.file.listeners.get("callers") is None:
            made.file.listeners.update(self.plan.file.listeners)
        self.take_over_plan(made)
        if self.fleet is not None and made.file.members is not None:
            self.fleet.take_over(made.file.members)
        late = [change["key"] for change in changes if passed_over(change["key"])]
        self.log("reloaded", changes=len(changes), passed_over=late)

    # Figures.

    def tell_demand(self) -> None:
        """What pools with a subset were asked: by it the others' subsets make room."""
        pools = [pool for pool in self.desk if pool.narrowed is not None]
        self.fleet.asked(sum(sum(pool.router.counts.values()) for pool in pools))
        self.deadlines.at(clock() + DEMAND, self.tell_demand)

    def beat(self) -> None:
        for pool in self.desk.clear():
            pool.stop()
            for upstream in tuple(pool.router.table.upstreams):
                pool.router.table.forget(upstream)
            self.log("pool.gone", pool=pool.name)
        for pool in self.desk:
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
        if self.fleet is not None and self.fleet.opened:
            self.log("members.figures", **self.fleet.figures())
        self.deadlines.at(clock() + BEAT, self.beat)


async def serve_file(path: str, log: Log) -> None:
    await live(lambda: Service(path, os.environ, log), log)
