"""Balancer instances as real processes: configuration files, start and end, signals, logs, admin calls."""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Callable
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import orjson

from dahliabend.simulation.addresses import Address, format_address
from dahliabend.simulation.cluster.script import ClusterScript
from dahliabend.simulation.peers.operators import call

START_OR_END_TIMEOUT = 30.0  # seconds within which a process has to open its sockets or to end
FIRST_PORT = 20_000
LAST_PORT = 30_000  # exclusive; below the ephemeral ports of the system
PORT_STRIDE = 97  # separates test processes that search for ports at the same time
MAX_ERROR_TEXT = 300  # characters of a log line kept as an error
LOOPBACK = "127.0.0.1"
OK = 200

LogRecord = dict[str, Any]
AdminResponse = TypeVar("AdminResponse", bound=msgspec.Struct)

_handed_out: set[int] = set()  # by `free_ports`; runs at the same time must not get the same ports


def free_ports(count: int) -> list[int]:
    """Return ports of 127.0.0.1 that are free for TCP and UDP.

    They are outside of the ephemeral range, so that instances can bind them again after a restart. No port is
    returned twice by one process.

    Raises:
        OSError: Fewer than `count` ports are free.
    """
    ports: list[int] = []
    port_count = LAST_PORT - FIRST_PORT
    offset = os.getpid() * PORT_STRIDE % port_count
    with ExitStack() as stack:
        for step in range(port_count):
            port = FIRST_PORT + (offset + step) % port_count
            if port in _handed_out:
                continue
            sockets = [
                stack.enter_context(socket.socket(socket.AF_INET, socket_type))
                for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
            ]
            with suppress(OSError):
                for sock in sockets:
                    sock.bind((LOOPBACK, port))
                ports.append(port)
            if len(ports) == count:
                _handed_out.update(ports)
                return ports
    raise OSError("no free ports on 127.0.0.1")


class Instance:
    """One member of the cluster, over all processes that it runs in one after the other."""

    def __init__(
        self,
        number: int,
        directory: Path,
        ports: list[int],
        on_log: Callable[["Instance", LogRecord], None],
    ) -> None:
        """Create an instance that has not started.

        Args:
            number: Number of the instance.
            directory: Directory of the instance's files.
            ports: Ports for clients, for the admin interface, and for datagrams.
            on_log: Called with each record of the instance's log.
        """
        self.number = number
        self.name = f"b{number}"
        self.directory = directory
        self.on_log = on_log
        client_port, admin_port, datagram_port = ports
        self.client_address: Address = (LOOPBACK, client_port)
        self.admin_address: Address = (LOOPBACK, admin_port)
        self.datagram_address: Address = (LOOPBACK, datagram_port)
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.opened: asyncio.Future[None]
        self.is_stopped = False
        self.errors: list[str] = []

    @property
    def config_path(self) -> Path:
        """The path of the instance's configuration file."""
        return self.directory / f"{self.name}.toml"

    def write_config(self, script: ClusterScript, addresses: list[Address], pools: str) -> None:
        """Write the instance's configuration file.

        Args:
            script: The script with the settings of the cluster.
            addresses: Addresses that the members advertise, by number.
            pools: Text with pools, request classes and routes.
        """
        seeds = ", ".join(f'"{format_address(addresses[number])}"' for number in script.seeds)
        self.config_path.write_text(f"""
[listeners.callers]
address = "{format_address(self.client_address)}"
[listeners.operators]
address = "{format_address(self.admin_address)}"
[members]
name = "{self.name}"
address = "{format_address(self.datagram_address)}"
advertise = "{format_address(addresses[self.number])}"
zone = "z{self.number % script.zones}"
seeds = [{seeds}]
key-files = ["key"]
keep = "{self.name}.keep"
period = "{script.period}"
signals = {str(script.signals).lower()}
probing = "{script.probing}"
{pools}""")

    async def start(self) -> None:
        """Start a process. `wait_until_open` waits for its sockets."""
        loop = asyncio.get_running_loop()
        self.opened = loop.create_future()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dahliabend",
            "serve",
            str(self.config_path),
            stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
            env={**os.environ, "DAHLIABEND_SEED": f"{self.number + 1:x}"},
        )
        self.is_stopped = False
        self.reader = loop.create_task(self._read_log(self.process))

    async def wait_until_open(self) -> None:
        """Wait until the process has opened its membership socket.

        Raises:
            TimeoutError: The process did not open it within `START_OR_END_TIMEOUT`.
            OSError: The process ended.
        """
        await asyncio.wait_for(self.opened, START_OR_END_TIMEOUT)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        """Handle each log record when it arrives, so that the clock of this process orders all records."""
        if process.stderr is None:
            return
        while line := await process.stderr.readline():
            try:
                record = orjson.loads(line)
            except ValueError:
                self.errors.append(line.decode("utf-8", "replace").strip()[:MAX_ERROR_TEXT])
                continue
            event = record.get("event")
            if event == "membership.opened" and not self.opened.done():
                self.opened.set_result(None)
            if event in ("exception.unhandled", "server.start_failed"):
                self.errors.append(str(record)[:MAX_ERROR_TEXT])
            self.on_log(self, record)
        if not self.opened.done():
            self.opened.set_exception(OSError(f"{self.name} ended at its start: {self.errors[-1:]}"))

    @property
    def is_alive(self) -> bool:
        """Whether the instance's process exists."""
        return self.process is not None and self.process.returncode is None

    @property
    def is_awake(self) -> bool:
        """Whether the instance's process exists and is not stopped."""
        return self.is_alive and not self.is_stopped

    def send(self, signal_number: int) -> None:
        """Send a signal to the process, if it exists."""
        if self.process is not None and self.is_alive:
            with suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    def stop(self) -> None:
        """Stop the process by SIGSTOP."""
        self.is_stopped = True
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the stopped process by SIGCONT."""
        self.is_stopped = False
        self.send(signal.SIGCONT)

    async def end(self, signal_number: int = signal.SIGTERM) -> int:
        """End the process by a signal, or by SIGKILL after the timeout, and return the exit status."""
        if self.process is None:
            return 0
        self.send(signal.SIGCONT)
        self.send(signal_number)
        try:
            await asyncio.wait_for(self.process.wait(), START_OR_END_TIMEOUT)
        except TimeoutError:
            self.errors.append(f"{self.name} did not end on signal {signal_number}")
            self.send(signal.SIGKILL)
            await self.process.wait()
        if self.reader is not None:
            await self.reader
        status = self.process.returncode or 0
        if status not in (0, -signal.SIGKILL):
            self.errors.append(f"{self.name} ended with {status}")
        return status

    async def call_admin(self, path: str, response_type: type[AdminResponse]) -> AdminResponse | None:
        """Return the decoded response of the admin interface, None if its status is not 200."""
        loop = asyncio.get_running_loop()
        status, body = await call(loop, self.admin_address, "GET", path)
        return msgspec.json.decode(body, type=response_type) if status == OK else None
