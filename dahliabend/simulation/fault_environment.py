"""What the faults of a simulation may use of it: its hosts and clients, and what undoes a fault."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from dahliabend.simulation.balancer_host import BalancerHost
from dahliabend.simulation.environment import SimulationEnvironment
from dahliabend.simulation.event_loop import Process
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.clients import Clients
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation
from dahliabend.simulation.scenario import LoadSpec, Scenario
from dahliabend.simulation.upstream_host import UpstreamHost

Undo = Callable[[], object] | None  # what ends a fault; None: it ends by itself


class FaultEnvironment(SimulationEnvironment, Protocol):
    """A run as its faults see it."""

    scenario: Scenario
    load_start: int  # microseconds of the virtual clock
    upstreams: list[UpstreamHost]
    balancers: list[BalancerHost]
    clients: Clients
    rotation: ConnectionRotation
    client_process: Process
    poller_process: Process

    @property
    def is_stopping(self) -> bool:
        """Whether the load has ended, and no fault begins any more."""

    def zone_of(self, number: int) -> str:
        """The zone of an upstream, or of a fault's number."""

    def draw_request(self, rng: Random, load: LoadSpec) -> ClientRequest:
        """Draw a request, and how its client behaves."""
