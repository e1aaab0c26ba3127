"""One balancer process with the platform's limits: started, signalled, measured, and killed over its memory.

Its configuration file is that of the platform (PROXY_CONFIG). As on the platform, the process is killed as
soon as its resident memory exceeds the limit that its settings state.
"""

import asyncio
import os
import signal
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path
from socket import socket
from typing import Any, NamedTuple

import orjson

from dahliabend.simulation.addresses import Address, format_address
from dahliabend.simulation.peers.operators import call

START_TIMEOUT = 30.0  # seconds within which the process has to serve
END_TIMEOUT = 10.0  # seconds
MEASURE_INTERVAL = 0.01  # seconds between two measurements of the resident memory
READY_INTERVAL = 0.02  # seconds between two checks whether the process serves
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RESIDENT_FIELD = 1  # of /proc/PID/statm, in pages
PEAK_LABEL = "VmHWM:"  # in /proc/PID/status, in kilobytes
KILOBYTE = 1 << 10
MEGABYTE = 1 << 20
OK = 200
LOG_LINE_BYTES = 1 << 20  # longest line that is read
ERROR_EVENTS = ("exception.unhandled", "server.start_failed")


def peak_resident_bytes(process_id: int) -> int:
    """Return the largest resident memory that a process has had so far; 0 if it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
            if line.startswith(PEAK_LABEL):
                return int(line.split()[1]) * KILOBYTE
    return 0


class ProcessLimits(NamedTuple):
    """The limits that the platform states in the settings and enforces."""

    memory_mb: int
    descriptors: int


def default_settings(deadline_ms: float = 3000.0) -> dict[str, Any]:
    """Return the policy settings of a small deployment with three classes, one for each effect."""
    profiles = [
        {
            "name": name,
            "semantics": semantics,
            "service-goal": deadline_ms / 3,
            "hard-limit": deadline_ms,
            **more,
        }
        for name, semantics, more in (
            ("query", "idempotent", {}),
            ("submit", "at_most_once", {}),
            ("ordered", "idempotent", {"in-order": True}),
        )
    ]
    return {
        "balancers": 1,
        "self-index": 0,
        "discovery": "pushed",
        "localities": ["a"],
        "profiles": profiles,
        "caps": {
            "conn-idle": 5000.0,
            "dial-timeout": 75.0,
            "max-retry-after": 3000.0,
            "may-cancel": True,
            "most-held": 20000,
            "most-hops": 5,
            "probing": True,
            "retry-after": True,
        },
        "contract": {
            "cold": 1000.0,
            "cold-share": 0.5,
            "fall-multiple": 4.0,
            "answer-slack": 20.0,
            "order-pause": 50.0,
        },
    }


class PlatformBalancer:
    """One balancer under its name and address, over all processes that run one after the other.

    Attributes:
        address: Address for clients.
        admin_address: Address of the admin listener.
        limits: The limits in its settings.
        settings: Its policy settings.
        process: The current process.
        peak_bytes: Largest resident memory that was measured of the current process.
        baseline_bytes: Resident memory of the current process when it began to serve.
        exceeded_memory: Whether a process has been killed because its memory exceeded the limit.
        events: Number of log lines by event, over all processes.
        errors: Log lines that report a fault of the program.
        last_metrics: The last log line on memory and event loop.
    """

    def __init__(
        self,
        directory: Path,
        addresses: tuple[Address, Address],
        discovery: Address,
        limits: ProcessLimits,
        settings: dict[str, Any] | None = None,
    ) -> None:
        """Create a balancer without a process.

        Args:
            directory: Directory of its files.
            addresses: Its addresses for clients and for operators.
            discovery: Address of the discovery service.
            limits: Its limits.
            settings: Its policy settings; None for `default_settings`.
        """
        self.directory = directory
        self.address, self.admin_address = addresses
        self.discovery = discovery
        self.limits = limits
        self.settings = settings or default_settings()
        self.process: asyncio.subprocess.Process | None = None
        self.peak_bytes = 0
        self.baseline_bytes = 0
        self.exceeded_memory = False
        self.events: Counter[str] = Counter()
        self.errors: list[str] = []
        self.last_metrics: dict[str, Any] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def configuration(self) -> dict[str, Any]:
        """Return the content of the configuration file."""
        return {
            "name": "n0",
            "listen": format_address(self.address),
            "discovery": format_address(self.discovery),
            "admin": format_address(self.admin_address),
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": self.limits.memory_mb, "sockets": self.limits.descriptors},
            "settings": self.settings,
        }

    @property
    def config_path(self) -> Path:
        """The path of the configuration file."""
        return self.directory / "config.json"

    def write_configuration(self) -> None:
        """Replace the configuration file atomically."""
        new_path = self.config_path.with_suffix(".new")
        new_path.write_bytes(orjson.dumps(self.configuration()))
        new_path.replace(self.config_path)

    # The process

    async def start(self, listener: socket | None = None) -> None:
        """Start a process and wait until it serves; with `listener`, it accepts from that inherited socket.

        Raises:
            TimeoutError: It does not serve in time.
        """
        self.write_configuration()
        environment = {**os.environ, "PROXY_CONFIG": str(self.config_path), "TMPDIR": str(self.directory)}
        descriptors: tuple[int, ...] = ()
        if listener is not None:
            descriptors = (listener.fileno(),)
            environment["PROXY_FD"] = str(listener.fileno())
        self.peak_bytes = 0
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dahliabend",
            stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
            limit=LOG_LINE_BYTES,
            pass_fds=descriptors,
            env=environment,
        )
        self._tasks = [
            asyncio.create_task(self._read_log(self.process)),
            asyncio.create_task(self._enforce_memory_limit(self.process)),
        ]
        async with asyncio.timeout(START_TIMEOUT):
            while not await self._is_ready():
                await asyncio.sleep(READY_INTERVAL)
        self.baseline_bytes = self.resident_bytes()

    async def _is_ready(self) -> bool:
        with suppress(OSError, ValueError, IndexError, EOFError):
            status, _ = await call(asyncio.get_running_loop(), self.admin_address, "GET", "/api/ready")
            return status == OK
        return False

    @property
    def is_alive(self) -> bool:
        """Whether the current process runs."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the current process, if it runs."""
        if self.process is not None and self.is_alive:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def wait_for_end(self, timeout: float) -> int | None:
        """Wait for the end of the current process; return its status, or None if it still runs."""
        if self.process is None:
            return None
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except TimeoutError:
            return None

    async def kill(self) -> None:
        """End the current process by SIGKILL."""
        if self.process is None:
            return
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
        for task in self._tasks:
            await task

    def resident_bytes(self) -> int:
        """Return the resident memory of the current process; 0 if it has ended."""
        if self.process is None:
            return 0
        with suppress(OSError, IndexError):
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
            return int(fields[RESIDENT_FIELD]) * PAGE_BYTES
        return 0

    async def _enforce_memory_limit(self, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None:
            self.peak_bytes = max(self.peak_bytes, peak_resident_bytes(process.pid))
            if self.peak_bytes > self.limits.memory_mb * MEGABYTE and not self.exceeded_memory:
                self.exceeded_memory = True
                self.send_signal(signal.SIGKILL)
            await asyncio.sleep(MEASURE_INTERVAL)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        if process.stderr is None:
            return
        while line := await process.stderr.readline():
            if not line.endswith(b"\n"):
                return  # the process was killed while it wrote
            try:
                record = orjson.loads(line)
            except ValueError:
                self.errors.append(line.decode("utf-8", "replace"))
                continue
            event = record["event"]
            self.events[event] += 1
            if event in ERROR_EVENTS:
                self.errors.append(line.decode())
            if event == "resources.reported":
                self.last_metrics = record
