"""The interface of a simulation run to its hosts and faults."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Protocol

from dahliabend.simulation.event_loop import Process, Scheduler
from dahliabend.simulation.invariants import InvariantChecker
from dahliabend.simulation.network import Network
from dahliabend.simulation.recorder import Recorder
from dahliabend.simulation.scenario import LoadSpec, WorldSpec
from dahliabend.simulation.simulated_host import SimulatedHost


class SimulationEnvironment(Protocol):
    """The components of a run that its hosts share. All times are microseconds of the virtual clock."""

    spec: WorldSpec
    load: LoadSpec
    rng: Random
    scheduler: Scheduler
    network: Network
    host: SimulatedHost
    recorder: Recorder
    invariants: InvariantChecker

    def rng_for(self, name: str) -> Random:
        """Return the random generator of the named part of the run; each part has its own."""

    def spawn(self, process: Process, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a task of a process."""

    def call_later(self, wait: int, act: Callable[..., object], *arguments: object) -> None:
        """Schedule a call after a delay in microseconds."""
