"""An upstream of a simulation: its successive processes, and its entry in the endpoint list.

If there is a second tier, each upstream of the first tier calls it through a balancer of its own, a sidecar.
"""

import signal
from collections.abc import Callable

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.balancer_host import BalancerHost
from dahliabend.simulation.environment import SimulationEnvironment
from dahliabend.simulation.event_loop import UNIX_TIME_AT_ZERO, Process
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.clients import Clients
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation
from dahliabend.simulation.peers.discovery import EndpointEntry, Registry
from dahliabend.simulation.peers.upstream import Upstream
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec

MICROSECONDS_PER_MILLISECOND = 1_000
OK = 200


class UpstreamHost:
    """One upstream and its successive processes."""

    def __init__(self, simulation: SimulationEnvironment, spec: UpstreamSpec, registry: Registry) -> None:
        self.simulation = simulation
        self.spec = spec
        self.registry = registry
        self.state = "up"
        self.started_ms = 0  # milliseconds of Unix time; 0: started long ago, needs no warm-up
        self.start_count = 0
        self.upstream: Upstream
        self.process: Process
        self.second_tier_balancer: BalancerHost | None = None  # through which it calls the second tier
        self.clients: Clients | None = None

    @property
    def address(self) -> Address:
        """The address at which the upstream listens."""
        return self.spec.host, self.spec.port

    def discovery_entry(self) -> EndpointEntry:
        """Return the upstream's entry in the endpoint list."""
        spec = self.spec
        return {
            "id": spec.name,
            "addr": f"{spec.host}:{spec.port}",
            "zone": spec.zone,
            "cell": spec.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    def publish(self, state: str) -> None:
        """Publish the upstream's state to discovery if it has changed or is "up".

        A repeated "up" is published because the start time may have changed.
        """
        if state != self.state or state == "up":
            self.state = state
            self.registry.put(self.discovery_entry())

    def start(self, *, needs_warmup: bool) -> None:
        """Start a process, which warms up if `needs_warmup`, and its second-tier balancer if it is down."""
        simulation = self.simulation
        spec = self.spec
        self.start_count += 1
        process = Process(simulation.scheduler, f"{spec.name}/{self.start_count}", spec.host, spec.zone)
        process.loop.network = simulation.network
        self.process = process
        started_at = simulation.scheduler.now if needs_warmup else 0
        started_ms = (UNIX_TIME_AT_ZERO + started_at) // MICROSECONDS_PER_MILLISECOND if needs_warmup else 0
        self.started_ms = started_ms
        agents = self.registry.agents

        def knows_start(balancer: str) -> bool:
            """Return whether a balancer's agent, or every agent for "", has the entry of this start."""
            entries = [a.entries.get(spec.name) for a in agents if not balancer or a.name == balancer]
            return all(entry is not None and entry["started_ms"] == started_ms for entry in entries)

        rng = simulation.rng_for(f"{spec.name} {self.start_count}")
        self.upstream = Upstream(spec, process.loop, simulation.recorder, rng, started_at, knows_start)
        simulation.invariants.upstream_locations[spec.name] = (spec.cell, spec.zone)
        if self.second_tier_balancer is not None:
            rotation = ConnectionRotation([self.second_tier_balancer.address])
            prefix = f"{spec.name}.{self.start_count}-"
            self.clients = Clients(process.loop, simulation.recorder, rng, rotation, prefix)
            self.upstream.call_second_tier = self.call_second_tier
            if not self.second_tier_balancer.is_alive:
                self.second_tier_balancer.start()
        simulation.spawn(process, self.upstream.open())

    def call_second_tier(self, _trace_id: str, class_name: str, on_finished: Callable[[bool], None]) -> None:
        """Make a request's calls to the second tier, one after the other, until one fails."""
        clients = self.clients
        spec = self.simulation.spec
        if clients is None:
            raise RuntimeError(f"{self.spec.name} has no balancer to call")
        deadline = spec.deadline * 2 // 3
        calls_left = int(spec.second_tier_calls) + (self.upstream.rng.random() < spec.second_tier_calls % 1)

        def call_once() -> None:
            """Make one call."""
            nonlocal calls_left
            calls_left -= 1
            trace_id = clients.next_trace_id()
            clients.send(ClientRequest(trace_id, class_name, deadline, deadline, on_finished=call_finished))

        def call_finished(status: int) -> None:
            """Make the next call, or report whether the last one was successful."""
            if status == OK and calls_left > 0:
                call_once()
            else:
                on_finished(status == OK)

        call_once()

    def kill(self) -> None:
        """Kill the upstream's process and its second-tier balancer."""
        self.process.signal(signal.SIGKILL)
        if self.second_tier_balancer is not None and self.second_tier_balancer.is_alive:
            self.second_tier_balancer.kill()
