"""A balancer by an operator's file in the modelled world: its pools' upstreams, and clients of its routes."""

import asyncio
import signal
from collections.abc import Callable
from os.path import dirname, join
from random import Random

import orjson

from dahliabend.config.address import parse_address
from dahliabend.config.operator_file.schema import EndpointSettings, OperatorFile
from dahliabend.routing_rules.loaded_file import LoadedFile, load_file
from dahliabend.routing_rules.route_table import HTTP_METHODS
from dahliabend.routing_rules.treatment import EffectiveTreatment
from dahliabend.server.operator_file_server import OperatorFileServer
from dahliabend.simulation import transports
from dahliabend.simulation.event_loop import START, Kernel, Process
from dahliabend.simulation.invariants import Class, Rules
from dahliabend.simulation.leaks import Remains
from dahliabend.simulation.network import End, Network, Shape
from dahliabend.simulation.peers.clients import Ask, Clients, Front
from dahliabend.simulation.peers.discovery import Agent, Registry
from dahliabend.simulation.peers.upstream import Upstream, UpstreamSpec
from dahliabend.simulation.recorder import HopTap, Witness
from dahliabend.simulation.stand_ins import Machines
from dahliabend.simulation.world import Log

FILE = "/etc/dahliabend/file.toml"
SEMANTICS = {"idempotent": "idempotent", "journalled": "deduplicated", "non-idempotent": "at_most_once"}
REST = 8_000_000
TROUBLES = ("hang", "slow", "fail", "reset", "crash", "garble", "refuse")


class ServiceWorld:
    """One process that serves a file, on virtual time. The file may be replaced while it runs."""

    def __init__(self, texts: dict[str, str], seed: int, environment: dict[str, str] | None = None) -> None:
        self.chance = Random(f"service {seed}")
        self.kernel = Kernel(50_000_000)
        self.network = Network(self.kernel, Shape(), Random(f"network {seed}"))
        self.network.transports = transports.Transport
        self.witness = Witness(self.kernel)
        self.machines = Machines(self.kernel, self.network)
        self.environment = environment or {}
        self.write(texts)
        made = self.plan()
        if not made.is_usable:
            raise ValueError("; ".join(map(str, made.faults)))
        self.rules = Rules(self.kernel, self.witness, {}, min(p.grace for p in made.file.pools.values()))
        self.network.tap, self.network.note = self.listen_in, self.witness
        self.taps: dict[tuple[str, int], str] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.processes: dict[str, Process] = {}
        self.by_pool: dict[str, list[str]] = {}
        self.zones = self.network.zones
        self.balancers, self.sidecars = [self], []  # as `Remains` looks for them
        self.name, self.program = "b0", None
        for name in made.file.pools:
            self.pool(made.file, name)
        self.classes(made.file)
        self.place = parse_address(made.file.listeners["callers"].address)
        self.process = self.machine(self.place[0], "b0/1")
        self.process.loop.set_exception_handler(
            lambda _, context: Log(self, "b0/1")(
                "error", what=context.get("message"), why=repr(context.get("exception"))
            )
        )
        self.process.exit = lambda how: self.witness("ended", "b0/1", how)
        self.client = self.machine("10.9.0.1", "clients")
        self.clients = Clients(
            self.client.loop, self.witness, Random(f"clients {seed}"), Front([self.place]), "c"
        )
        self.remains = Remains(self)

    @property
    def alive(self) -> bool:
        return self.process.alive

    def write(self, texts: dict[str, str]) -> None:
        for name, text in texts.items():
            self.machines.files[join(dirname(FILE), name)] = text.encode()

    def plan(self) -> LoadedFile:
        return load_file(FILE, environment=self.environment, read=self.machines.read_file)

    def machine(self, host: str, name: str) -> Process:
        self.zones.setdefault(host, "a")
        process = Process(self.kernel, name, host, "a", 4096)
        process.loop.network = self.network
        return process

    def start(self, process: Process, coroutine):
        return process.run(process.loop.create_task, coroutine)

    def listen_in(self, end: End):
        self.rules.connections[end.number] = end
        upstream = self.taps.get(end.remote)
        return HopTap(self.witness, end, end.caller.name, upstream) if upstream is not None else None

    # What the file speaks of.

    def classes(self, file: OperatorFile) -> None:
        """A class of the checks for each route, with the limit that holds there."""
        for number, route in enumerate(file.routes):
            kind = file.classes[route.class_]
            made = EffectiveTreatment(file, route, number)
            limit = min(kind.hard_limit, made.total_time)
            self.rules.classes[route.name] = Class(
                route.name, SEMANTICS[kind.effect], kind.group, kind.repeat_window, limit,
                kind.service_goal, kind.revenue, made.second_copy_after is not None,
            )  # fmt: skip
            self.rules.tally.setdefault(route.name, [0, 0, 0])

    def pool(self, file: OperatorFile, name: str) -> None:
        if name in self.by_pool:
            return
        pool, number = file.pools[name], len(self.by_pool)
        members = pool.members or [
            EndpointSettings(id=f"{name}-{n}", address=f"10.7.{number}.{n + 1}:80", zone="a", cell=n)
            for n in range(3)
        ]
        for member in members:
            if member.id not in self.upstreams:  # two pools may have the same one
                self.bring_up(member)
        self.by_pool[name] = [member.id for member in members]
        rows = [
            {"id": m.id, "addr": m.address, "zone": m.zone, "cell": m.cell, "state": "up", "started_ms": 0}
            for m in members
        ]
        if pool.discovery is not None:
            registry, place = Registry(), parse_address(pool.discovery)
            process = self.machine(place[0], f"list of {name}")
            for row in rows:
                registry.put(row)
            agent = Agent(registry, process.loop, self.witness, Random(f"list {name}"), 20_000)
            self.start(process, agent.open(*place))
        elif pool.file is not None:
            self.machines.files[join(dirname(FILE), pool.file)] = orjson.dumps({"servers": rows})

    def bring_up(self, member: EndpointSettings) -> None:
        host, port = parse_address(member.address)
        self.taps[host, port] = member.id
        self.rules.places[member.id] = (member.cell, member.zone)
        process = self.machine(host, member.id)
        spec = UpstreamSpec(
            member.id, host, port, member.zone, member.cell, 2, 8, 8, work=4_000, rest=15_000_000
        )
        upstream = Upstream(spec, process.loop, self.witness, Random(f"{member.id}"), 0, lambda: False)
        self.upstreams[member.id], self.processes[member.id] = upstream, process
        self.start(process, upstream.open())

    # What goes on.

    def ask(self, file: OperatorFile, number: int, headers: tuple = (), **more) -> Ask:
        route = file.routes[number]
        method = route.methods[0] if route.methods else "GET"
        limit = self.rules.classes[route.name].limit
        ask = Ask(
            self.clients.name(), route.name, limit, limit, path=route.path, method=method,
            headers=(*route.headers.items(), *headers), **more,
        )  # fmt: skip
        if method in HTTP_METHODS[1:4]:
            ask.body = b"x" * 50
        return ask

    def load(self, file: OperatorFile, rate: float, span: int) -> None:
        """All routes in turn, at random times."""
        for number in range(int(rate * span / 1e6)):
            at = self.kernel.now + int(self.chance.random() * span)
            ask = self.ask(file, number % len(file.routes))
            self.kernel.at(at, self.client, self.clients.ask, ask)

    def trouble(self, name: str, what: str, span: int) -> None:
        """One upstream's, from now on for that long."""
        upstream, process = self.upstreams[name], self.processes[name]
        place = upstream.spec.host, upstream.spec.port
        self.witness("fault", what, name)
        if what == "reset":
            return process.run(upstream.reset_all)
        if what == "refuse":
            self.network.refusing.add(place)
            return self.later(span, self.network.refusing.discard, place)
        field, bad, well = {
            "hang": ("hung", True, False),
            "slow": ("slower", 8.0, 1.0),
            "fail": ("failing", 0.9, 0.0),
            "crash": ("mute", True, False),
            "garble": ("garbled", 0.5, 0.0),
        }[what]
        setattr(upstream, field, bad)
        self.later(span, setattr, upstream, field, well)

    def kill(self, name: str) -> None:
        """It dies; `bring_up` starts it again."""
        self.witness("fault", "kill", name)
        self.processes[name].end("killed")

    def again(self, name: str) -> None:
        spec = self.upstreams[name].spec
        self.bring_up(
            EndpointSettings(id=name, address=f"{spec.host}:{spec.port}", zone=spec.zone, cell=spec.cell)
        )

    def later(self, wait: int, act: Callable, *arguments) -> None:
        self.kernel.at(self.kernel.now + wait, None, act, *arguments)

    def begin(self) -> None:
        async def main() -> None:
            environment = {**self.environment, "DAHLIABEND_SEED": "7"}
            self.program = OperatorFileServer(FILE, environment, Log(self, "b0/1"))
            self.process.program = self.program
            await self.program.start()
            await self.program.end()

        def ended(task: asyncio.Task) -> None:
            error = None if task.cancelled() else task.exception()
            if error is not None:
                self.witness("crashed", "b0/1", repr(error))
            self.process.end("crashed" if error else "returned")

        self.witness("starts", "b0/1", self.place)
        self.start(self.process, main()).add_done_callback(ended)

    def reload(self, texts: dict[str, str]) -> None:
        """The new file in place of the old one, and its signal; pools that it adds are there by then."""
        self.write(texts)
        made = self.plan()
        if made.is_usable:
            for name in made.file.pools:
                self.pool(made.file, name)
            self.classes(made.file)
        self.process.signal(signal.SIGHUP)

    def play(self, act: Callable[["ServiceWorld"], None], span: int) -> None:
        """`act` lays out what is to come; then it runs, comes to rest, and ends."""
        try:
            with self.machines.standing_in():
                self.kernel.run(START)
                self.begin()
                self.kernel.run(START + 1_000_000)
                act(self)
                self.kernel.run(self.kernel.now + span)
                self.kernel.run(self.kernel.now + REST + 15_000_000)
                for pool in self.program.dispatcher:
                    self.look(pool)
                self.process.signal(signal.SIGTERM)
                self.kernel.run(self.kernel.now + 5_000_000)
                if self.process.alive:
                    self.rules.broken("left behind", "it did not end on SIGTERM")
        finally:
            self.kernel.close()

    def look(self, pool) -> None:
        """What a pool holds at rest."""
        router = pool.router
        held = (
            len(router.requests),
            len(router.trace_ids),
            sum(s.open_requests for s in router.policies),
            router.attempts_in_flight(),
        )
        if any(held):
            self.rules.broken("left behind", f"{pool.name}: {held} requests, ids, in policies, hops")
