"""A balancer that serves an operator's file, simulated with its upstreams and with clients of its routes."""

import asyncio
import signal
from collections.abc import Callable, Coroutine, Mapping
from os.path import dirname, join
from random import Random
from typing import Any

import orjson

from dahliabend.config.address import parse_address
from dahliabend.config.operator_file.schema import EndpointSettings, OperatorFile
from dahliabend.routing_rules.loaded_file import LoadedFile, load_file
from dahliabend.routing_rules.route_table import HTTP_METHODS
from dahliabend.routing_rules.treatment import EffectiveTreatment
from dahliabend.server.operator_file_server import OperatorFileServer
from dahliabend.simulation import transports
from dahliabend.simulation.addresses import Address
from dahliabend.simulation.balancer_host import ProgramLog, terminate_when_done
from dahliabend.simulation.connections import ConnectionEnd
from dahliabend.simulation.event_loop import CLOCK_START, Process, Scheduler
from dahliabend.simulation.invariants import InvariantChecker
from dahliabend.simulation.network import Network
from dahliabend.simulation.network_profile import NetworkProfile
from dahliabend.simulation.observed_run import ClassTally, RequestClassRules
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.clients import Clients
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation
from dahliabend.simulation.peers.discovery import Agent, EndpointEntry, Registry
from dahliabend.simulation.peers.upstream import Upstream
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec
from dahliabend.simulation.recorder import AttemptTap, Recorder
from dahliabend.simulation.simulated_host import SimulatedHost

FILE = "/etc/dahliabend/file.toml"
PROCESS_NAME = "b0/1"
PROGRAM_SEED = "7"
CLIENT_HOST = "10.9.0.1"
SEMANTICS = {"idempotent": "idempotent", "journalled": "deduplicated", "non-idempotent": "at_most_once"}
MAX_STEPS = 50_000_000
MAX_SOCKETS = 4_096
STARTUP_TIME = 1_000_000  # microseconds until the load begins
SETTLE_TIME = 23_000_000  # microseconds after the load, until nothing may be left of it
SHUTDOWN_TIME = 5_000_000  # microseconds to end after SIGTERM
DISCOVERY_DELAY = 20_000  # microseconds
DISCOVERED_ENDPOINTS = 3  # of a pool whose file does not list its members
UPSTREAM_WORK = 4_000  # microseconds
UPSTREAM_IDLE_TIMEOUT = 15_000_000  # microseconds
BODY = b"x" * 50
MICROSECONDS_PER_SECOND = 1e6
FAULT_KINDS = ("hang", "slow", "fail", "reset", "crash", "garble", "refuse")
# Faults that are switches of an upstream: the switch, its value while the fault lasts, and after it.
SWITCHES: Mapping[str, tuple[str, object, object]] = {
    "hang": ("hung", True, False),
    "slow": ("slower", 8.0, 1.0),
    "fail": ("failing", 0.9, 0.0),
    "crash": ("mute", True, False),
    "garble": ("garbled", 0.5, 0.0),
}


class OperatorFileSimulation:
    """One process that serves a file, on virtual time. The file may be replaced while it runs."""

    def __init__(self, texts: dict[str, str], seed: int, environment: dict[str, str] | None = None) -> None:
        """Build a simulation.

        Args:
            texts: the file and those that it includes, by name.
            seed: of all random generators.
            environment: of the process.

        Raises:
            ValueError: the file has faults.
        """
        self.rng = Random(f"service {seed}")
        self.scheduler = Scheduler(MAX_STEPS)
        self.network = Network(self.scheduler, NetworkProfile(), Random(f"network {seed}"))
        self.network.transport_factory = transports.Transport
        self.recorder = Recorder(self.scheduler)
        self.host = SimulatedHost(self.scheduler, self.network)
        self.environment = environment or {}
        self.write_files(texts)
        loaded = self.load_file()
        file = loaded.file
        if file is None or not loaded.has_no_faults:
            raise ValueError("; ".join(map(str, loaded.faults)))
        drain_time = min(pool.drain_notice_time for pool in file.pools.values())
        self.invariants = InvariantChecker(self.scheduler, self.recorder, {}, drain_time)
        self.network.tap_factory = self.observe_connection
        self.network.on_event = self.recorder
        self.upstream_names: dict[Address, str] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.processes: dict[str, Process] = {}  # of the upstreams
        self.upstreams_by_pool: dict[str, list[str]] = {}
        for name in file.pools:
            self._add_pool(file, name)
        self._add_classes(file)
        self.program: OperatorFileServer | None = None
        self.address = parse_address(file.listeners["callers"].address)
        self.process = self._create_process(self.address[0], PROCESS_NAME)
        self.process.loop.set_exception_handler(ProgramLog(self, PROCESS_NAME).loop_failed)
        self.process.on_exit = lambda reason: self.recorder("ended", PROCESS_NAME, reason)
        self.client_process = self._create_process(CLIENT_HOST, "clients")
        rotation = ConnectionRotation([self.address])
        client_rng = Random(f"clients {seed}")
        self.clients = Clients(self.client_process.loop, self.recorder, client_rng, rotation, "c")

    def write_files(self, texts: dict[str, str]) -> None:
        """Write the file and those that it includes."""
        for name, text in texts.items():
            self.host.files[_path_of(name)] = text.encode()

    def load_file(self) -> LoadedFile:
        """The file as it is now, parsed and checked."""
        return load_file(FILE, environment=self.environment, read=self.host.read_file)

    def _create_process(self, host: str, name: str) -> Process:
        self.network.zones.setdefault(host, "a")
        process = Process(self.scheduler, name, host, "a", MAX_SOCKETS)
        process.loop.network = self.network
        return process

    def spawn(self, process: Process, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task of a process."""
        task: asyncio.Task[Any] = process.run(process.loop.create_task, coroutine)
        return task

    def observe_connection(self, end: ConnectionEnd) -> AttemptTap | None:
        """Make a connection known to the invariants; those to upstreams get a tap."""
        self.invariants.connections[end.number] = end
        upstream = self.upstream_names.get(end.remote)
        return AttemptTap(self.recorder, end, end.initiator.name, upstream) if upstream is not None else None

    # What the file describes.

    def _add_classes(self, file: OperatorFile) -> None:
        """Add a class to the invariants for each route, with the deadline that holds there."""
        for number, route in enumerate(file.routes):
            request_class = file.classes[route.class_]
            treatment = EffectiveTreatment(file, route, number)
            self.invariants.classes[route.name] = RequestClassRules(
                route.name,
                SEMANTICS[request_class.effect],
                request_class.group,
                request_class.repeat_window,
                min(request_class.hard_limit, treatment.total_time),
                request_class.service_goal,
                request_class.revenue,
                treatment.second_copy_after is not None,
            )
            self.invariants.tally.setdefault(route.name, ClassTally())

    def _add_pool(self, file: OperatorFile, name: str) -> None:
        """Start a pool's upstreams, and its discovery."""
        if name in self.upstreams_by_pool:
            return
        pool = file.pools[name]
        number = len(self.upstreams_by_pool)
        members = pool.members or [
            EndpointSettings(id=f"{name}-{n}", address=f"10.7.{number}.{n + 1}:80", zone="a", cell=n)
            for n in range(DISCOVERED_ENDPOINTS)
        ]
        for member in members:
            if member.id not in self.upstreams:  # two pools may share one
                self.start_upstream(member)
        self.upstreams_by_pool[name] = [member.id for member in members]
        rows: list[EndpointEntry] = [
            {"id": m.id, "addr": m.address, "zone": m.zone, "cell": m.cell, "state": "up", "started_ms": 0}
            for m in members
        ]
        if pool.discovery is not None:
            self._start_agent(name, parse_address(pool.discovery), rows)
        elif pool.file is not None:
            self.host.files[_path_of(pool.file)] = orjson.dumps({"servers": rows})

    def _start_agent(self, pool: str, address: Address, rows: list[EndpointEntry]) -> None:
        registry = Registry()
        process = self._create_process(address[0], f"list of {pool}")
        for row in rows:
            registry.put(row)
        agent = Agent(registry, process.loop, self.recorder, Random(f"list {pool}"), DISCOVERY_DELAY)
        self.spawn(process, agent.open(*address))

    def start_upstream(self, member: EndpointSettings) -> None:
        """Start an upstream's process."""
        host, port = parse_address(member.address)
        self.upstream_names[host, port] = member.id
        self.invariants.upstream_places[member.id] = (member.cell, member.zone)
        process = self._create_process(host, member.id)
        spec = UpstreamSpec(
            member.id,
            host,
            port,
            member.zone,
            member.cell,
            mean_work=UPSTREAM_WORK,
            idle_timeout=UPSTREAM_IDLE_TIMEOUT,
        )
        upstream = Upstream(spec, process.loop, self.recorder, Random(f"{member.id}"), 0, lambda _: False)
        self.upstreams[member.id] = upstream
        self.processes[member.id] = process
        self.spawn(process, upstream.open())

    # What happens.

    def make_request(
        self,
        file: OperatorFile,
        number: int,
        headers: tuple[tuple[str, str], ...] = (),
        **more: Any,  # noqa: ANN401 -- fields of the request
    ) -> ClientRequest:
        """A request of a route by its number, with other headers and fields of the request."""
        route = file.routes[number]
        method = route.methods[0] if route.methods else "GET"
        deadline = self.invariants.classes[route.name].deadline
        request = ClientRequest(
            self.clients.next_trace_id(),
            route.name,
            deadline,
            deadline,
            path=route.path,
            method=method,
            headers=(*route.headers.items(), *headers),
            **more,
        )
        if method in HTTP_METHODS[1:4]:
            request.body = BODY
        return request

    def load(self, file: OperatorFile, rate: float, span: int) -> None:
        """Schedule requests of all routes in rotation, at random times.

        Args:
            file: whose routes are used.
            rate: requests a second.
            span: microseconds.
        """
        for number in range(int(rate * span / MICROSECONDS_PER_SECOND)):
            at = self.scheduler.now + int(self.rng.random() * span)
            request = self.make_request(file, number % len(file.routes))
            self.scheduler.call_at(at, self.client_process, self.clients.send, request)

    def inject_fault(self, name: str, what: str, span: int) -> None:
        """Have a fault of an upstream begin now, for so many microseconds."""
        upstream = self.upstreams[name]
        process = self.processes[name]
        self.recorder("fault", what, name)
        if what == "reset":
            process.run(upstream.reset_all)
        elif what == "refuse":
            address = upstream.spec.host, upstream.spec.port
            self.network.refusing_addresses.add(address)
            self.call_later(span, self.network.refusing_addresses.discard, address)
        else:
            switch, value, normal = SWITCHES[what]
            setattr(upstream, switch, value)
            self.call_later(span, setattr, upstream, switch, normal)

    def kill(self, name: str) -> None:
        """Kill an upstream; `restart` starts it again."""
        self.recorder("fault", "kill", name)
        self.processes[name].terminate("killed")

    def restart(self, name: str) -> None:
        """Start an upstream again."""
        spec = self.upstreams[name].spec
        address = f"{spec.host}:{spec.port}"
        self.start_upstream(EndpointSettings(id=name, address=address, zone=spec.zone, cell=spec.cell))

    def call_later(self, wait: int, act: Callable[..., object], *arguments: object) -> None:
        """Schedule a call for so many microseconds later."""
        self.scheduler.call_at(self.scheduler.now + wait, None, act, *arguments)

    def _start_program(self) -> None:
        async def main() -> None:
            """Run the program as its command does."""
            environment = {**self.environment, "DAHLIABEND_SEED": PROGRAM_SEED}
            log: Any = ProgramLog(self, PROCESS_NAME)  # stands in for the program's log
            self.program = OperatorFileServer(FILE, environment, log)
            await self.program.start()
            await self.program.end()

        self.recorder("starts", PROCESS_NAME, self.address)
        terminate_when_done(self.process, self.spawn(self.process, main()), self.recorder)

    def reload(self, texts: dict[str, str]) -> None:
        """Replace the file and send the signal; pools that it adds are there by then."""
        self.write_files(texts)
        loaded = self.load_file()
        if loaded.file is not None and loaded.has_no_faults:
            for name in loaded.file.pools:
                self._add_pool(loaded.file, name)
            self._add_classes(loaded.file)
        self.process.signal(signal.SIGHUP)

    def run(self, act: Callable[["OperatorFileSimulation"], object], span: int) -> None:
        """Run the process, and check that it comes to rest and ends.

        Args:
            act: called once the process is ready; it schedules what is to happen.
            span: microseconds until it has happened.
        """
        try:
            with self.host.installed():
                self.scheduler.run_until(CLOCK_START)
                self._start_program()
                self.scheduler.run_until(CLOCK_START + STARTUP_TIME)
                act(self)
                self.scheduler.run_until(self.scheduler.now + span)
                self.scheduler.run_until(self.scheduler.now + SETTLE_TIME)
                if self.program is not None:
                    for pool in self.program.dispatcher:
                        self._check_leaks(pool)
                self.process.signal(signal.SIGTERM)
                self.scheduler.run_until(self.scheduler.now + SHUTDOWN_TIME)
                if self.process.alive:
                    self.invariants.report("left behind", "it did not end on SIGTERM")
        finally:
            self.scheduler.close()

    def _check_leaks(self, pool: Any) -> None:  # noqa: ANN401 -- the internals of the program are looked into
        """A pool at rest holds no request."""
        router = pool.router
        counts = (
            len(router.requests),
            len(router.trace_ids),
            sum(policy.open_requests for policy in router.policies),
            router.attempts_in_flight(),
        )
        if any(counts):
            self.invariants.report("left behind", f"{pool.name}: {counts} requests, ids, in policies, hops")


def _path_of(name: str) -> str:
    return join(dirname(FILE), name)
