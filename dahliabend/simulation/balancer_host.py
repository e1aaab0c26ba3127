"""A balancer of a simulation: its configuration, and the starts, signals and ends of its processes."""

import asyncio
import signal
from typing import Any, Protocol

import orjson

from dahliabend.config.platform import read_server_settings
from dahliabend.server.log_events import EVENTS_BY_FORMER_NAME
from dahliabend.server.platform_server import PlatformServer
from dahliabend.simulation.addresses import Address, format_address
from dahliabend.simulation.environment import SimulationEnvironment
from dahliabend.simulation.event_loop import Process
from dahliabend.simulation.peers.discovery import Agent, Registry
from dahliabend.simulation.recorder import Recorder

CLIENT_PORT = 8080
SECOND_TIER_PORT = 9080
AGENT_PORT = 8500
ADMIN_PORT = 9000
MIN_TERMINATION_TIME = 3_700_000  # microseconds from SIGTERM to SIGKILL
MAX_COUNTED_DEADLINE = 3_000_000  # microseconds: longer deadlines do not extend the time until SIGKILL
TERMINATION_MARGIN = 700_000  # microseconds until SIGKILL beyond the deadline of requests
RESERVED_DESCRIPTORS = 4  # descriptors of the limit that are not available for sockets
FIRST_PROCESS_ID = 1_000
LATE_VALUE = 0.25  # the share of a request's value that a response after the latency objective earns
MICROSECONDS_PER_MILLISECOND = 1_000
# Log events about single requests, which are left out because the peers record the requests themselves.
UNRECORDED_LOG_EVENTS = frozenset(
    {
        "attempt.failed",
        "request.rejected",
        "request.failed",
        "request.client_disconnected",
        "request.succeeded",
        "metrics.reported",
        "memory.limited",
        "resources.reported",
    }
)
# The time line uses the former names of log events and fields: a new name would change the digests.
RECORDED_EVENT_NAMES = {event: former for former, event in EVENTS_BY_FORMER_NAME.items()}
RECORDED_FIELD_NAMES = {"reason": "why", "version": "version", "restored": "kept", "status": "status"}


class RecorderOwner(Protocol):
    """The owner of the recorder to which a program's log is written."""

    recorder: Recorder


class ProgramLog:
    """A structured log that records a program's log events in the time line."""

    def __init__(self, simulation: RecorderOwner, process: str) -> None:
        self.recorder = simulation.recorder
        self.process = process
        self.verbose = False

    def __call__(self, event: str, **fields: Any) -> None:  # noqa: ANN401 -- the log takes any value
        """Record a log event."""
        if event == "server.started":
            self.recorder("listening", self.process)
        if event == "exception.unhandled":
            self.recorder("crashed", self.process, f"{fields.get('message')}: {fields.get('reason')}")
        elif event not in UNRECORDED_LOG_EVENTS:
            shown = {name: fields[key] for key, name in RECORDED_FIELD_NAMES.items() if key in fields}
            name = RECORDED_EVENT_NAMES.get(event, event)
            self.recorder("log", self.process, name, orjson.dumps(shown, default=str).decode())

    def debug(self, event: str, **fields: Any) -> None:  # noqa: ANN401 -- the log takes any value
        """Ignore a debug event."""

    def loop_failed(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an exception that reached the process's event loop."""
        self("exception.unhandled", message=context.get("message"), reason=repr(context.get("exception")))


class BalancerHost:
    """One balancer with its discovery agent, and its successive processes."""

    def __init__(
        self,
        simulation: SimulationEnvironment,
        name: str,
        host: str,
        registry: Registry,
        tier: int,
        index: int,
    ) -> None:
        """Create a balancer without a process, and start its discovery agent.

        Args:
            simulation: the simulation to which the balancer belongs.
            name: the balancer's name.
            host: the IP address of the balancer and of its agent.
            registry: the endpoint list of its tier.
            tier: 0 if clients send requests to the balancer, 1 if upstreams do, as a sidecar.
            index: the index of the balancer in its tier.
        """
        self.simulation = simulation
        self.name = name
        self.host = host
        self.tier = tier
        self.index = index
        self.address: Address = (host, SECOND_TIER_PORT if tier else CLIENT_PORT)
        self.admin_address: Address = (host, ADMIN_PORT)
        self.agent_port = AGENT_PORT
        self.start_count = 0
        self.process: Process | None = None
        self.program: PlatformServer | None = None
        zone = simulation.network.zones[host]
        self.agent_process = Process(simulation.scheduler, f"{name}-agent", host, zone)
        rng = simulation.rng_for(f"agent {name}")
        discovery_delay = simulation.spec.discovery_delay
        self.agent = Agent(registry, self.agent_process.loop, simulation.recorder, rng, discovery_delay)
        self.agent.name = name
        simulation.spawn(self.agent_process, self.agent.open(host, self.agent_port))
        self.settings = platform_settings(simulation, tier, index)

    def program_config(self) -> dict[str, Any]:
        """Return the content of the program's configuration file."""
        simulation = self.simulation
        return {
            "name": self.name,
            "listen": format_address(self.address),
            "discovery": f"{self.host}:{self.agent_port}",
            "seed": f"{simulation.rng.getrandbits(48):x}",
            "limits": {"sockets": simulation.spec.max_descriptors},
            "known": self.agent.full_list(),
            "settings": self.settings,
        }

    @property
    def config_path(self) -> str:
        """The path of the program's configuration file."""
        return f"/run/{self.name}.json"

    def write_config(self, text: bytes | None = None) -> None:
        """Write the program's configuration file, with the given text or the current configuration."""
        content = orjson.dumps(self.program_config()) if text is None else text
        self.simulation.host.files[self.config_path] = content

    def start(self) -> None:
        """Start a process; an earlier one may still run."""
        simulation = self.simulation
        self.start_count += 1
        self.write_config()
        process = Process(
            simulation.scheduler,
            f"{self.name}/{self.start_count}",
            self.host,
            simulation.network.zones[self.host],
            simulation.spec.max_descriptors - RESERVED_DESCRIPTORS,
        )
        process.process_id = FIRST_PROCESS_ID + self.start_count
        process.loop.network = simulation.network
        process.on_exit = lambda reason: simulation.recorder("ended", process.name, reason)
        environment = {"PROXY_CONFIG": self.config_path}
        if simulation.spec.admin and not self.tier:
            self.admin_address = (self.host, ADMIN_PORT + self.start_count)
            environment["PROXY_ADMIN"] = format_address(self.admin_address)
        if simulation.spec.shares_listener and not self.tier:
            environment |= {"PROXY_FD": "3", "TMPDIR": f"/tmp/{self.name}"}
        self.process = process
        self.program = None
        simulation.recorder("starts", process.name, self.address)
        process.run(self._run_program, process, environment)

    def start_if_down(self) -> None:
        """Start a process if none runs."""
        if not self.is_alive:
            self.start()

    def _run_program(self, process: Process, environment: dict[str, str]) -> None:
        """Run the balancer's program as the main task of a process."""
        log: Any = ProgramLog(self.simulation, process.name)  # stands in for the program's log

        async def main() -> None:
            """Run the program as the command line does."""
            program = PlatformServer(read_server_settings(environment), environment, log)
            if self.process is process:
                self.program = program
            await program.start()
            await program.end()

        process.loop.set_exception_handler(log.loop_failed)
        terminate_when_done(process, process.loop.create_task(main()), self.simulation.recorder)

    @property
    def is_alive(self) -> bool:
        """Whether the newest process runs."""
        return self.process is not None and self.process.is_alive

    def kill(self) -> None:
        """Kill the newest process. Its exclusions are lost unless processes share the listener."""
        if not self.simulation.spec.shares_listener:
            self.simulation.invariants.endpoints.forget_exclusions(self.name)
        self.signal(signal.SIGKILL)

    def signal(self, signal_number: int) -> None:
        """Send a signal to the newest process."""
        if self.process is not None:
            self.process.signal(signal_number)

    def terminate(self, process: Process) -> None:
        """End a process as the platform does: SIGTERM, and SIGKILL if that takes too long."""
        process.signal(signal.SIGTERM)
        deadline = min(self.simulation.spec.deadline, MAX_COUNTED_DEADLINE)
        wait = max(MIN_TERMINATION_TIME, deadline + TERMINATION_MARGIN)
        self.simulation.call_later(wait, process.signal, signal.SIGKILL)


def terminate_when_done(process: Process, task: asyncio.Task[None], recorder: Recorder) -> None:
    """Have a process end when its main task ends; record a crash if the task failed."""

    def main_task_done(task: asyncio.Task[None]) -> None:
        """End the process with the task's result."""
        error = None if task.cancelled() else task.exception()
        if error is not None:
            recorder("crashed", process.name, repr(error))
        process.terminate("crashed" if error else "returned")

    task.add_done_callback(main_task_done)


def platform_settings(simulation: SimulationEnvironment, tier: int, index: int) -> dict[str, Any]:
    """Return a balancer's settings in the format of the platform, which runs and configures balancers."""
    spec = simulation.spec
    load = simulation.load
    objective = spec.latency_objective / MICROSECONDS_PER_MILLISECOND
    deadline = spec.deadline / MICROSECONDS_PER_MILLISECOND

    def request_class(name: str, semantics: str, value: float, **extra_settings: Any) -> dict[str, Any]:  # noqa: ANN401 -- settings
        """Return one request class of the settings."""
        return {
            "name": name,
            "service-goal": objective,
            "hard-limit": deadline,
            "semantics": semantics,
            "revenue": value,
            "tardy-revenue": LATE_VALUE,
            **extra_settings,
        }

    window = spec.deduplication_window / MICROSECONDS_PER_MILLISECOND
    deduplication = {"dedup-window": window, "in-order": load.ordering_keys > 0}
    return {
        "balancers": spec.upstreams if tier else spec.balancers,
        "tier": tier,
        "self-index": index,
        "discovery": "pushed",
        "locality": 0,
        "localities": ["a", "b", "c", "d"][: spec.zones],
        "profiles": [
            request_class("query", "idempotent", 1.0),
            request_class("submit", "at_most_once", 10.0),
            request_class("mark", "deduplicated", 2.0, group=load.deduplication_scope, **deduplication),
        ],
        "caps": {
            "most-hops": spec.max_attempts,
            "may-cancel": spec.may_cancel,
            "probing": spec.answers_health_checks,
            "retry-after": spec.sends_retry_after,
            "max-retry-after": 3000.0,
            "conn-idle": spec.idle_timeout / MICROSECONDS_PER_MILLISECOND,
            "dial-timeout": spec.connect_timeout / MICROSECONDS_PER_MILLISECOND,
        },
        "contract": {
            "cold-share": spec.initial_capacity,
            "cold": spec.warmup_time / MICROSECONDS_PER_MILLISECOND,
            "fall-multiple": spec.overload_multiple,
            "answer-slack": 20.0,
            "order-pause": spec.order_pause / MICROSECONDS_PER_MILLISECOND,
        },
    }
