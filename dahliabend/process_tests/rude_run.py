"""One run of a balancer process under its limits, with sound clients beside a crowd of rude ones."""

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from socket import socket
from typing import Any

from dahliabend.process_tests.platform_balancer import MEGABYTE, PlatformBalancer, ProcessLimits
from dahliabend.process_tests.processes import free_ports
from dahliabend.process_tests.recording_upstream import (
    LOOPBACK,
    RecordingDiscovery,
    RecordingUpstream,
    UpstreamRecord,
)
from dahliabend.process_tests.rude_clients import start_group
from dahliabend.process_tests.sound_clients import ClientRecord, SoundClient

UPSTREAMS = 4
SOUND_CLIENTS = 20
MEAN_PAUSE = 0.1  # seconds between two requests of a sound client
CLIENT_TIMEOUT = 2.0  # seconds that a sound client waits
HEAD_START = 0.5  # seconds in which the sound clients are alone
TAIL = 0.5  # seconds in which they are alone again
EXCUSE = 0.1  # seconds around an outright kill
MIN_SERVED_SHARE = 0.5  # of the sound clients' requests


class Environment:
    """Upstreams, discovery and one balancer, with the records of what happened.

    Attributes:
        balancer: The balancer; its process has been started.
        upstreams: The upstreams.
        discovery: The discovery service.
        executed: What the upstreams have received.
        clients: What became of the sound clients' requests.
    """

    def __init__(
        self,
        directory: Path,
        limits: ProcessLimits,
        settings: dict[str, Any] | None = None,
        listener: socket | None = None,
    ) -> None:
        self.executed = UpstreamRecord()
        self.clients = ClientRecord()
        self.upstreams = [RecordingUpstream(f"s-{number}", self.executed) for number in range(UPSTREAMS)]
        self.discovery = RecordingDiscovery([])
        self.directory = directory
        self.limits = limits
        self.settings = settings
        self.listener = listener
        self.killed_at: list[float] = []
        self.shutdowns: list[tuple[float, float]] = []  # their beginnings and latest ends
        self.has_group = False
        self.balancer: PlatformBalancer
        self.predecessors: list[PlatformBalancer] = []
        self._connectable_until: float | None = None

    async def open(self) -> None:
        """Start all peers and the balancer."""
        for upstream in self.upstreams:
            await upstream.open()
        self.discovery.entries = [upstream.entry for upstream in self.upstreams]
        await self.discovery.open()
        await self._start_balancer()

    async def _start_balancer(self) -> None:
        port, admin_port = free_ports(2)
        address = (LOOPBACK, port if self.listener is None else self.listener.getsockname()[1])
        balancer = PlatformBalancer(
            self.directory,
            (address, (LOOPBACK, admin_port)),
            self.discovery.address,
            self.limits,
            self.settings,
        )
        if not hasattr(self, "balancer"):
            self.balancer = balancer
        await balancer.start(self.listener)
        self.balancer = balancer

    async def start_successor(self, listener: socket | None) -> None:
        """Start another process on the same listening socket; it becomes the balancer."""
        self.listener = listener
        self.predecessors.append(self.balancer)
        await self._start_balancer()

    # Which connections clients open, as the platform's front directs them

    def stop_connecting_after(self, seconds: float) -> None:
        """Let clients open no connection from now plus `seconds` on."""
        self._connectable_until = time.monotonic() + seconds

    def allow_connecting(self) -> None:
        """Let clients open connections again."""
        self._connectable_until = None

    def may_connect(self) -> bool:
        """Return whether clients may open a connection now."""
        return self._connectable_until is None or time.monotonic() < self._connectable_until

    def is_excused(self, sent_at: float, ended_at: float) -> bool:
        """Return whether an outright kill may have ended a request that was sent and ended at these times."""
        return any(sent_at - EXCUSE <= killed_at <= ended_at + EXCUSE for killed_at in self.killed_at)

    def may_shut_unread(self, opened_at: float, ended_at: float) -> bool:
        """Return whether a connection that was opened and ended at these times may have been shut unread.

        "Idle clients fill the descriptors (new connections may be shut unread then)": in a shutdown beside a
        crowd.
        """
        return self.has_group and any(
            began_at <= ended_at <= over_at + EXCUSE and opened_at >= began_at - EXCUSE
            for began_at, over_at in self.shutdowns
        )

    def sound_clients(
        self, stop: asyncio.Event, seed: int = 0, client_timeout: float = CLIENT_TIMEOUT
    ) -> list[asyncio.Task[None]]:
        """Start sound clients, which send requests until `stop` is set."""
        return [
            asyncio.create_task(
                SoundClient(
                    f"c{seed}.{number}",
                    self,
                    client_timeout,
                    Random(f"{seed} {number}"),
                ).run(stop, MEAN_PAUSE)
            )
            for number in range(SOUND_CLIENTS)
        ]


@asynccontextmanager
async def open_environment(
    limits: ProcessLimits, settings: dict[str, Any] | None = None, listener: socket | None = None
) -> AsyncIterator[Environment]:
    """Open an environment; end all that it has started at the end of the context."""
    with tempfile.TemporaryDirectory() as directory:
        environment = Environment(Path(directory), limits, settings, listener)
        try:
            await environment.open()
            yield environment
        finally:
            for balancer in (*environment.predecessors, environment.balancer):
                await balancer.kill()
            for server in (environment.discovery.server, *(u.server for u in environment.upstreams)):
                server.close()


@dataclass(frozen=True, slots=True)
class RudeRunResult:
    """The result of a run.

    Attributes:
        form: Form of the rude clients.
        limits: Limits of the process.
        baseline_mb: Resident memory before the first client.
        peak_mb: Largest resident memory.
        is_alive: Whether the process has lived to the end.
        clients: What became of the sound clients' requests.
        repeated: Trace ids of requests that may not run twice and have.
        errors: Faults of the program in its log.
        events: Number of log lines by event.
        metrics: The last log line with metrics.
    """

    form: str
    limits: ProcessLimits
    baseline_mb: float
    peak_mb: float
    is_alive: bool
    clients: ClientRecord
    repeated: list[str]
    errors: list[str]
    events: dict[str, int]
    metrics: dict[str, Any]

    def violations(self) -> list[str]:
        """Return what broke a rule, each with a description."""
        found = [*self.clients.lost, *self.clients.foreign, *self.errors]
        found += [f"{trace_id} ran more than once" for trace_id in self.repeated]
        if not self.is_alive:
            found.append(f"the process ended; its peak was {self.peak_mb:.1f} of {self.limits.memory_mb} MB")
        if self.clients.served_share < MIN_SERVED_SHARE:
            found.append(
                f"{self.clients.served_share:.0%} of the sound clients' requests were served in time"
            )
        return found

    def summary(self) -> str:
        """Return the result in one line."""
        return (
            f"{self.form:24} limit {self.limits.memory_mb} MB, baseline {self.baseline_mb:.1f}, "
            f"peak {self.peak_mb:.1f}; sound clients: {dict(sorted(self.clients.statuses.items()))}, "
            f"{len(self.clients.lost)} lost, {self.clients.late} late, slowest {self.clients.slowest:.3f} s, "
            f"{self.clients.resent} resent; {len(self.repeated)} ran twice"
        )


async def run_beside(
    form: str, count: int, limits: ProcessLimits, seconds: float = 3.0, seed: int = 1
) -> RudeRunResult:
    """Run sound clients beside a crowd of rude clients of one form."""
    async with open_environment(limits) as environment:
        stop = asyncio.Event()
        sound = environment.sound_clients(stop, seed)
        await asyncio.sleep(HEAD_START)
        group = await start_group(form, environment.balancer.address, count, seconds, seed)
        await group.wait()
        await asyncio.sleep(TAIL)
        stop.set()
        await asyncio.gather(*sound)
        balancer = environment.balancer
        return RudeRunResult(
            form=form,
            limits=limits,
            baseline_mb=balancer.baseline_bytes / MEGABYTE,
            peak_mb=balancer.peak_bytes / MEGABYTE,
            is_alive=balancer.is_alive,
            clients=environment.clients,
            repeated=sorted(environment.executed.repeated_unsafe()),
            errors=balancer.errors,
            events=dict(balancer.events),
            metrics=balancer.last_metrics,
        )
