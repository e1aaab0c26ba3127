"""Runs a scenario: builds the simulation, applies load and faults, and checks that nothing is left behind."""

import asyncio
import gc
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from dahliabend.simulation import transports
from dahliabend.simulation.addresses import Address
from dahliabend.simulation.balancer_host import LATE_VALUE, BalancerHost
from dahliabend.simulation.connections import ConnectionEnd
from dahliabend.simulation.event_loop import CLOCK_START, Process, Scheduler, StepLimitError
from dahliabend.simulation.faults import FaultInjector
from dahliabend.simulation.invariants import InvariantChecker
from dahliabend.simulation.leaks import LeakChecker, count_objects
from dahliabend.simulation.network import Network
from dahliabend.simulation.network_profile import NetworkProfile
from dahliabend.simulation.observed_run import RequestClassSpec, Violation
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.clients import Clients
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation
from dahliabend.simulation.peers.discovery import Registry
from dahliabend.simulation.peers.operators import call
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec
from dahliabend.simulation.recorder import AttemptTap, Event, Recorder
from dahliabend.simulation.scenario import LoadSpec, Scenario, WorldSpec
from dahliabend.simulation.simulated_host import SimulatedHost
from dahliabend.simulation.sockets import Socket
from dahliabend.simulation.upstream_host import UpstreamHost

STARTUP_TIME = 600_000  # microseconds from the start of the balancers to the start of the load
SETTLE_TIME = 6_500_000  # minimum microseconds after the load before leaks are checked
SETTLE_MARGIN = 1_500_000  # microseconds beyond what deadlines and idle timeouts need
SHUTDOWN_TIME = 4_500_000  # microseconds for the balancers to end after SIGTERM
READINESS_INTERVAL = 250_000  # microseconds between two polls of the balancers' readiness
MAX_BALANCERS_COUNTING_WORK = 16  # with more, upstreams that warm up count requests instead of their work
BODY_SIZES = (0, 20, 600, 2_500)  # bytes
PIECE_INTERVALS = (2_000, 20_000, 60_000)  # microseconds between pieces of a request sent slowly
BURST_FRACTION = 10  # a burst lasts a tenth of the load
PLATFORM_BACKLOG = 512
BANDWIDTH = 125  # bytes per microsecond
UPSTREAM_PORT = 8080
CLIENT_HOST = "10.9.0.1"
POLLER_HOST = "10.9.0.2"
FIRST_HOST_NUMBER = 10
ZONE_NAMES = "abcd"
OK = 200


@dataclass(slots=True)
class Result:
    """The result of a run. The field names appear in JSON output, `served_value` as `worth`."""

    seed: int
    digest: str
    violations: list[Violation]
    counts: dict[str, int]
    steps: int
    span: int  # virtual microseconds
    faults: list[str]
    lines: list[Event] = field(default_factory=list)
    served_value: float = 0.0  # the earned share of the value of all requests

    @property
    def rules(self) -> list[str]:
        """The rules that were violated, in alphabetical order."""
        return sorted({violation.rule for violation in self.violations})


class Simulation:
    """The balancers and their peers of a scenario, on a virtual clock and a simulated network."""

    def __init__(self, scenario: Scenario, measure_interval: int = 0) -> None:
        """Build the simulation of a scenario.

        Args:
            scenario: the scenario to run.
            measure_interval: microseconds between two counts of the balancers' objects; 0: no counts.
        """
        self.scenario = scenario
        self.spec = scenario.world
        self.load = scenario.load
        self.measure_interval = measure_interval
        self.object_counts: list[list[dict[str, int]]] = []  # by interval and balancer: counts by type
        self.rng = Random(f"world {scenario.seed}")
        self.scheduler = Scheduler()
        self.network = Network(self.scheduler, _network_profile(self.spec), self.rng_for("network"))
        self.network.transport_factory = transports.Transport
        self.host = SimulatedHost(self.scheduler, self.network)
        self.recorder = Recorder(self.scheduler)
        classes = _request_classes(self.spec, self.load)
        self.invariants = InvariantChecker(
            self.scheduler, self.recorder, classes, self.spec.drain_time, self.spec.order_pause
        )
        self.network.tap_factory = self.observe_connection
        self.network.on_event = self.recorder
        self.upstream_names: dict[Address, str] = {}
        self._assign_zones()
        self.registry = Registry()
        self.second_registry = Registry()  # for the second tier
        self.upstreams: list[UpstreamHost] = []
        self.balancers: list[BalancerHost] = []
        self.second_tier_balancers: list[BalancerHost] = []
        self.faults = FaultInjector(self)
        self._build_upstreams()
        self._build_balancers()
        self._build_second_tier_balancers()
        self._start_hosts()
        self._build_clients()
        self.load_start = CLOCK_START + STARTUP_TIME
        self.leak_checker = LeakChecker(self)

    # Construction

    def rng_for(self, name: str) -> Random:
        """Return a separate random generator for one part of the run."""
        return Random(f"{name} {self.scenario.seed}")

    def zone_of(self, number: int) -> str:
        """Return the zone of an upstream's number, or of the `whom` of a `cut-zone` fault."""
        return ZONE_NAMES[number % self.spec.zones]

    def _assign_zones(self) -> None:
        zones = self.network.zones
        for number in range(self.spec.balancers):
            zones[f"10.0.0.{FIRST_HOST_NUMBER + number}"] = "a"
        for number in range(self.spec.upstreams):
            zones[f"10.1.0.{FIRST_HOST_NUMBER + number}"] = self.zone_of(number)
        for number in range(self.spec.second_tier_upstreams):
            zones[f"10.2.0.{FIRST_HOST_NUMBER + number}"] = self.zone_of(number)
        zones[CLIENT_HOST] = "a"
        zones[POLLER_HOST] = "a"

    def _build_upstreams(self) -> None:
        for number in range(self.spec.upstreams):
            spec = self._upstream_spec(f"s-{number}", f"10.1.0.{FIRST_HOST_NUMBER + number}", number)
            self._add_upstream(spec, self.registry)
        for number in range(self.spec.second_tier_upstreams):
            spec = self._upstream_spec(f"r-{number}", f"10.2.0.{FIRST_HOST_NUMBER + number}", number)
            spec.mean_work = self.spec.second_tier_work or self.spec.mean_work
            self._add_upstream(spec, self.second_registry)

    def _upstream_spec(self, name: str, host: str, number: int) -> UpstreamSpec:
        spec = self.spec
        return UpstreamSpec(
            name=name,
            host=host,
            port=UPSTREAM_PORT,
            zone=self.zone_of(number),
            cell=number % 2,
            cores=spec.cores,
            slots=spec.slots,
            queue=spec.queue,
            contention_share=spec.contention_share,
            mean_work=spec.mean_work,
            warmup_time=spec.warmup_time,
            initial_capacity=spec.initial_capacity,
            overload_multiple=spec.overload_multiple,
            idle_timeout=spec.idle_timeout,
            answers_health_checks=spec.answers_health_checks,
            counts_requests=spec.balancers > MAX_BALANCERS_COUNTING_WORK,
        )

    def _add_upstream(self, spec: UpstreamSpec, registry: Registry) -> None:
        upstream = UpstreamHost(self, spec, registry)
        self.upstream_names[upstream.address] = spec.name
        self.upstreams.append(upstream)
        registry.put(upstream.discovery_entry())

    def _build_balancers(self) -> None:
        for number in range(self.spec.balancers):
            host = f"10.0.0.{FIRST_HOST_NUMBER + number}"
            self.balancers.append(BalancerHost(self, f"b{number}", host, self.registry, 0, number))
        if self.spec.shares_listener:
            for balancer in self.balancers:
                self._open_platform_listener(balancer)

    def _open_platform_listener(self, balancer: BalancerHost) -> None:
        """Open a listener at a balancer's address as the platform does, which its processes inherit."""
        platform = Process(self.scheduler, f"platform-{balancer.name}", balancer.host, "a")
        sock = Socket(self.network, platform)
        sock.bind(balancer.address)
        sock.listen(PLATFORM_BACKLOG)
        if sock.listen_queue is not None:
            self.host.inherited[balancer.host] = sock.listen_queue

    def _build_second_tier_balancers(self) -> None:
        """Create the balancers of the second tier, one for each upstream of the first, on its host."""
        if not self.spec.second_tier_upstreams:
            return
        for number, upstream in enumerate(self.upstreams[: self.spec.upstreams]):
            host = upstream.spec.host
            second_tier_balancer = BalancerHost(self, f"g{number}", host, self.second_registry, 1, number)
            upstream.second_tier_balancer = second_tier_balancer
            self.second_tier_balancers.append(second_tier_balancer)

    def _start_hosts(self) -> None:
        for upstream in self.upstreams:
            upstream.start(needs_warmup=False)
        for balancer in self.balancers:
            balancer.start()

    def _build_clients(self) -> None:
        # The process that polls readiness and makes operators' calls; events have its name.
        self.poller_process = Process(self.scheduler, "front", POLLER_HOST, "a")
        self.poller_process.loop.network = self.network
        self.rotation = ConnectionRotation([balancer.address for balancer in self.balancers])
        self.client_process = Process(self.scheduler, "clients", CLIENT_HOST, "a")
        self.client_process.loop.network = self.network
        loop = self.client_process.loop
        self.clients = Clients(loop, self.recorder, self.rng_for("clients"), self.rotation, "c")
        self.poll_readiness()

    def observe_connection(self, end: ConnectionEnd) -> AttemptTap | None:
        """Register a connection with the invariants, and return a tap if it leads to an upstream."""
        self.invariants.connections[end.number] = end
        upstream = self.upstream_names.get(end.remote)
        if upstream is None:
            return None
        return AttemptTap(self.recorder, end, end.initiator.name, upstream)

    @property
    def is_stopping(self) -> bool:
        """Whether the load has ended and no more faults begin."""
        return self.faults.is_stopping

    @property
    def all_balancers(self) -> list[BalancerHost]:
        """The balancers of both tiers."""
        return [*self.balancers, *self.second_tier_balancers]

    # Execution

    def spawn(self, process: Process, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a task of a process."""
        process.loop.network = self.network
        task: asyncio.Task[Any] = process.run(process.loop.create_task, coroutine)
        return task

    def call_later(self, wait: int, act: Callable[..., object], *arguments: object) -> None:
        """Schedule a call after a delay in microseconds."""
        self.scheduler.call_at(self.scheduler.now + wait, None, act, *arguments)

    def poll_readiness(self) -> None:
        """Poll the readiness of all balancers periodically, since clients connect only to ready ones."""
        if self.is_stopping:
            return
        for balancer in self.balancers:
            self.spawn(self.poller_process, self._poll_balancer(balancer))
        self.call_later(READINESS_INTERVAL, self.poll_readiness)

    async def _poll_balancer(self, balancer: BalancerHost) -> None:
        status, _ = await call(self.poller_process.loop, balancer.address, "GET", "/-/ready")
        if status != OK:
            self.rotation.not_ready.add(balancer.address)
            return
        self.rotation.not_ready.discard(balancer.address)
        process = balancer.process
        if process is not None and process.name not in self.invariants.endpoints.ready_processes:
            self.recorder("ready", process.name)

    def _schedule_requests(self) -> None:
        """Schedule all requests before the first is sent; the load does not depend on the responses."""
        load = self.load
        rng = self.rng_for("load")
        for _ in range(load.requests):
            at = rng.random() * load.send_time
            if rng.random() < load.burst_share:
                at = load.send_time // 2 + rng.random() * load.send_time / BURST_FRACTION
            due = self.load_start + int(at)
            self.scheduler.call_at(due, self.client_process, self.clients.send, self.draw_request(rng, load))

    def draw_request(self, rng: Random, load: LoadSpec) -> ClientRequest:
        """Draw a random request and the behaviour of its client."""
        name = _draw_class(rng, load)
        deadline = self.spec.deadline
        timeout = int(deadline * rng.uniform(0.5, 1.2)) // 1000 * 1000
        request = ClientRequest(
            self.clients.next_trace_id(),
            name,
            timeout,
            min(deadline, timeout),
            max_attempts=1 + load.retries,
            needs_new_connection=rng.random() < load.new_connection_share,
            honours_retry_after=rng.random() < load.retry_after_share,
        )
        if name != "query":
            request.body = b"x" * rng.choice(BODY_SIZES)
            if rng.random() < load.long_bodies:
                request.body = b"y" * load.long_body_size
        if rng.random() < load.long_answers:
            request.query_string = b"?long"
        if name == "mark" and load.ordering_keys:
            request.key = f"k{rng.randrange(load.ordering_keys)}"
        if rng.random() < load.disconnect_share:
            request.disconnect_after = 1 + int(rng.random() * timeout)
        if rng.random() < load.chunked_share:
            request.piece_interval = rng.choice(PIECE_INTERVALS)
        return request

    def run(self) -> Result:
        """Run the scenario and check its invariants.

        The garbage collector is off meanwhile.
        """
        was_collecting = gc.isenabled()
        gc.disable()
        try:
            with self.host.installed():
                self._run_phases()
        except StepLimitError as error:
            self.invariants.report("runs away", str(error))
        finally:
            self.scheduler.close()
            if was_collecting:
                gc.enable()
        return Result(
            seed=self.scenario.seed,
            digest=self.recorder.digest(),
            violations=self.invariants.violations,
            counts=self.invariants.counts,
            steps=self.scheduler.steps,
            span=self.scheduler.now - CLOCK_START,
            faults=[fault.what for fault in self.scenario.faults],
            lines=self.recorder.events,
            served_value=self.invariants.served_value(LATE_VALUE),
        )

    def _run_phases(self) -> None:
        """Run start-up, load, settling and shutdown in turn."""
        scheduler = self.scheduler
        spec = self.spec
        load_end = self.load_start + self.scenario.length
        self.faults.schedule_all()
        self._schedule_requests()
        self.invariants.endpoints.polled_until = load_end
        self.invariants.endpoints.polled_balancers = {balancer.name for balancer in self.balancers}
        scheduler.run_until(self.load_start)
        self.leak_checker.record_baseline()
        while self.measure_interval and scheduler.now < load_end:
            scheduler.run_until(min(scheduler.now + self.measure_interval, load_end))
            programs = [program for _, program in self.leak_checker.running_programs()]
            self.object_counts.append([count_objects(program) for program in programs])
        scheduler.run_until(load_end)
        self.faults.stop_all()
        settle_time = max(SETTLE_TIME, 2 * spec.deadline + spec.idle_timeout + SETTLE_MARGIN)
        scheduler.run_until(scheduler.now + settle_time)
        self.leak_checker.check()
        for balancer in self.all_balancers:
            if balancer.is_alive:
                balancer.signal(signal.SIGTERM)
        scheduler.run_until(scheduler.now + SHUTDOWN_TIME)
        self.leak_checker.check_shutdown()


def _network_profile(spec: WorldSpec) -> NetworkProfile:
    return NetworkProfile(
        delay=spec.delay,
        cross_zone_delay=spec.cross_zone_delay,
        jitter=spec.jitter,
        bandwidth=BANDWIDTH,
        send_buffer=spec.send_buffer,
        receive_window=spec.receive_window,
        max_segment=spec.max_segment,
        path_idle_timeout=spec.path_idle_timeout,
        resets_after_idle=spec.resets_after_idle,
    )


def _request_classes(spec: WorldSpec, load: LoadSpec) -> dict[str, RequestClassSpec]:
    limit = spec.deadline
    goal = spec.latency_objective
    window = spec.deduplication_window
    classes = (
        RequestClassSpec("query", "idempotent", "all", 0, limit, goal, 1.0),
        RequestClassSpec("submit", "at_most_once", "all", 0, limit, goal, 10.0),
        RequestClassSpec("mark", "deduplicated", load.deduplication_scope, window, limit, goal, 2.0),
        RequestClassSpec("late", "idempotent", "all", 0, limit, goal, 1.0),
    )
    return {request_class.name: request_class for request_class in classes}


def _draw_class(rng: Random, load: LoadSpec) -> str:
    drawn = rng.random()
    if drawn < load.submit_share:
        return "submit"
    return "mark" if drawn < load.submit_share + load.deduplicated_share else "query"


def run_scenario(scenario: Scenario) -> Result:
    """Run a scenario and return the result of its checks."""
    return Simulation(scenario).run()
