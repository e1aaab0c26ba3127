"""What the hosts and the faults of a simulation may use of it: the parts of one run that they share."""

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
    """The parts of a run that its hosts share. All times are microseconds of the virtual clock."""

    spec: WorldSpec
    load: LoadSpec
    rng: Random
    scheduler: Scheduler
    network: Network
    host: SimulatedHost
    recorder: Recorder
    invariants: InvariantChecker

    def rng_for(self, name: str) -> Random:
        """A random generator of its own for a part of the run."""

    def spawn(self, process: Process, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task of a process."""

    def call_later(self, wait: int, act: Callable[..., object], *arguments: object) -> None:
        """Schedule a call for so many microseconds later."""
