"""The interface of a simulation run to its faults: its hosts and clients, and the undo call of a fault."""

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

Undo = Callable[[], object] | None  # call that ends a fault; None: the fault ends by itself


class FaultEnvironment(SimulationEnvironment, Protocol):
    """The components of a run that faults act on."""

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
        """Whether the load has ended, so that no new fault starts."""

    def zone_of(self, number: int) -> str:
        """Return the zone of an upstream's number, or of the `whom` of a `cut-zone` fault."""

    def draw_request(self, rng: Random, load: LoadSpec) -> ClientRequest:
        """Draw a request and the behaviour of its client."""
