"""Simulates a balancer that serves an operator's file, with its upstreams and with clients of its routes."""

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
from dahliabend.simulation.observed_run import ClassTally, RequestClassSpec
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.clients import Clients
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation
from dahliabend.simulation.peers.discovery import Agent, EndpointEntry, Registry
from dahliabend.simulation.peers.upstream import Upstream
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec
from dahliabend.simulation.recorder import AttemptTap, Recorder
from dahliabend.simulation.simulated_host import SimulatedHost

FILE_PATH = "/etc/dahliabend/file.toml"
PROCESS_NAME = "b0/1"
PROGRAM_SEED = "7"
CLIENT_HOST = "10.9.0.1"
SEMANTICS = {"idempotent": "idempotent", "journalled": "deduplicated", "non-idempotent": "at_most_once"}
MAX_STEPS = 50_000_000
MAX_SOCKETS = 4_096
STARTUP_TIME = 1_000_000  # microseconds from the start until the load begins
SETTLE_TIME = 23_000_000  # microseconds after the load before leaks are checked
SHUTDOWN_TIME = 5_000_000  # microseconds for the process to end after SIGTERM
DISCOVERY_DELAY = 20_000  # microseconds
DISCOVERED_ENDPOINTS = 3  # of a pool whose members the file does not list
UPSTREAM_WORK = 4_000  # mean microseconds per request
UPSTREAM_IDLE_TIMEOUT = 15_000_000  # microseconds
REQUEST_BODY = b"x" * 50
MICROSECONDS_PER_SECOND = 1e6
FAULT_KINDS = ("hang", "slow", "fail", "reset", "crash", "garble", "refuse")
# Faults that set an attribute of an upstream: the attribute, its value during the fault, and after it.
# "crash" resets connections instead of responding; `kill` and `restart` end and start the process.
BEHAVIOR_SWITCHES: Mapping[str, tuple[str, object, object]] = {
    "hang": ("hung", True, False),
    "slow": ("slower", 8.0, 1.0),
    "fail": ("failing", 0.9, 0.0),
    "crash": ("resets_instead_of_responding", True, False),
    "garble": ("garbled", 0.5, 0.0),
}


class OperatorFileSimulation:
    """One balancer process that serves an operator's file in virtual time. The file may be replaced."""

    def __init__(self, texts: dict[str, str], seed: int, environment: dict[str, str] | None = None) -> None:
        """Build a simulation.

        Args:
            texts: the operator's file and the files that it includes, by name.
            seed: the seed of all random generators.
            environment: the process's environment variables.

        Raises:
            ValueError: the file is not usable.
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
        self.processes: dict[str, Process] = {}  # of upstreams, by name
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
        """Write the operator's file and the files that it includes."""
        for name, text in texts.items():
            self.host.files[_path_of(name)] = text.encode()

    def load_file(self) -> LoadedFile:
        """Parse and check the operator's file as it is now."""
        return load_file(FILE_PATH, environment=self.environment, read=self.host.read_file)

    def _create_process(self, host: str, name: str) -> Process:
        self.network.zones.setdefault(host, "a")
        process = Process(self.scheduler, name, host, "a", MAX_SOCKETS)
        process.loop.network = self.network
        return process

    def spawn(self, process: Process, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a task of a process."""
        task: asyncio.Task[Any] = process.run(process.loop.create_task, coroutine)
        return task

    def observe_connection(self, end: ConnectionEnd) -> AttemptTap | None:
        """Register a connection with the invariants, and return a tap if it leads to an upstream."""
        self.invariants.connections[end.number] = end
        upstream = self.upstream_names.get(end.remote)
        return AttemptTap(self.recorder, end, end.initiator.name, upstream) if upstream is not None else None

    # Request classes and pools of the file

    def _add_classes(self, file: OperatorFile) -> None:
        """Add a request class to the invariants for each route, with the route's effective deadline."""
        for number, route in enumerate(file.routes):
            request_class = file.classes[route.class_]
            treatment = EffectiveTreatment(file, route, number)
            self.invariants.classes[route.name] = RequestClassSpec(
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
        """Start a pool's upstreams and its discovery agent, or write the file that lists its endpoints."""
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
        entries: list[EndpointEntry] = [
            {"id": m.id, "addr": m.address, "zone": m.zone, "cell": m.cell, "state": "up", "started_ms": 0}
            for m in members
        ]
        if pool.discovery is not None:
            self._start_agent(name, parse_address(pool.discovery), entries)
        elif pool.file is not None:
            self.host.files[_path_of(pool.file)] = orjson.dumps({"servers": entries})

    def _start_agent(self, pool: str, address: Address, entries: list[EndpointEntry]) -> None:
        """Start a discovery agent that serves a pool's endpoint list at an address."""
        registry = Registry()
        process = self._create_process(address[0], f"list of {pool}")
        for entry in entries:
            registry.put(entry)
        agent = Agent(registry, process.loop, self.recorder, Random(f"list {pool}"), DISCOVERY_DELAY)
        self.spawn(process, agent.open(*address))

    def start_upstream(self, member: EndpointSettings) -> None:
        """Start an upstream's process."""
        host, port = parse_address(member.address)
        self.upstream_names[host, port] = member.id
        self.invariants.upstream_locations[member.id] = (member.cell, member.zone)
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

    # Load, faults and reloads

    def make_request(
        self,
        file: OperatorFile,
        number: int,
        headers: tuple[tuple[str, str], ...] = (),
        **request_fields: Any,  # noqa: ANN401 -- fields of the request
    ) -> ClientRequest:
        """Return a request for a route, selected by its index, with additional headers and fields."""
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
            **request_fields,
        )
        if method in HTTP_METHODS[1:4]:
            request.body = REQUEST_BODY
        return request

    def load(self, file: OperatorFile, rate: float, duration: int) -> None:
        """Schedule requests for all routes in rotation, at random times.

        Args:
            file: the operator's file with the routes.
            rate: requests per second.
            duration: microseconds within which the requests are sent.
        """
        for number in range(int(rate * duration / MICROSECONDS_PER_SECOND)):
            at = self.scheduler.now + int(self.rng.random() * duration)
            request = self.make_request(file, number % len(file.routes))
            self.scheduler.call_at(at, self.client_process, self.clients.send, request)

    def inject_fault(self, name: str, fault_kind: str, duration: int) -> None:
        """Begin a fault of an upstream now, and end it after so many microseconds."""
        upstream = self.upstreams[name]
        process = self.processes[name]
        self.recorder("fault", fault_kind, name)
        if fault_kind == "reset":
            process.run(upstream.reset_all)
        elif fault_kind == "refuse":
            address = upstream.spec.host, upstream.spec.port
            self.network.refusing_addresses.add(address)
            self.call_later(duration, self.network.refusing_addresses.discard, address)
        else:
            attribute, value, normal_value = BEHAVIOR_SWITCHES[fault_kind]
            setattr(upstream, attribute, value)
            self.call_later(duration, setattr, upstream, attribute, normal_value)

    def kill(self, name: str) -> None:
        """Kill an upstream's process; `restart` starts another one."""
        self.recorder("fault", "kill", name)
        self.processes[name].terminate("killed")

    def restart(self, name: str) -> None:
        """Start a new process for an upstream."""
        spec = self.upstreams[name].spec
        address = f"{spec.host}:{spec.port}"
        self.start_upstream(EndpointSettings(id=name, address=address, zone=spec.zone, cell=spec.cell))

    def call_later(self, wait: int, act: Callable[..., object], *arguments: object) -> None:
        """Schedule a call after a delay in microseconds."""
        self.scheduler.call_at(self.scheduler.now + wait, None, act, *arguments)

    def _start_program(self) -> None:
        """Start the balancer's program as the main task of its process."""

        async def main() -> None:
            """Run the program as the command line does."""
            environment = {**self.environment, "DAHLIABEND_SEED": PROGRAM_SEED}
            log: Any = ProgramLog(self, PROCESS_NAME)  # stands in for the program's log
            self.program = OperatorFileServer(FILE_PATH, environment, log)
            await self.program.start()
            await self.program.end()

        self.recorder("starts", PROCESS_NAME, self.address)
        terminate_when_done(self.process, self.spawn(self.process, main()), self.recorder)

    def reload(self, texts: dict[str, str]) -> None:
        """Replace the file and send SIGHUP. The upstreams of pools that the file adds are started before."""
        self.write_files(texts)
        loaded = self.load_file()
        if loaded.file is not None and loaded.has_no_faults:
            for name in loaded.file.pools:
                self._add_pool(loaded.file, name)
            self._add_classes(loaded.file)
        self.process.signal(signal.SIGHUP)

    def run(self, schedule_events: Callable[["OperatorFileSimulation"], object], duration: int) -> None:
        """Run the process, and check that it has no open requests after the load and ends on SIGTERM.

        Args:
            schedule_events: called once the process is ready, to schedule load and faults.
            duration: microseconds until these are over.
        """
        try:
            with self.host.installed():
                self.scheduler.run_until(CLOCK_START)
                self._start_program()
                self.scheduler.run_until(CLOCK_START + STARTUP_TIME)
                schedule_events(self)
                self.scheduler.run_until(self.scheduler.now + duration)
                self.scheduler.run_until(self.scheduler.now + SETTLE_TIME)
                if self.program is not None:
                    for pool in self.program.dispatcher:
                        self._check_leaks(pool)
                self.process.signal(signal.SIGTERM)
                self.scheduler.run_until(self.scheduler.now + SHUTDOWN_TIME)
                if self.process.is_alive:
                    self.invariants.report("left behind", "it did not end on SIGTERM")
        finally:
            self.scheduler.close()

    def _check_leaks(self, pool: Any) -> None:  # noqa: ANN401 -- internals of the program
        """Report a pool that still holds requests after the load."""
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
    return join(dirname(FILE_PATH), name)
