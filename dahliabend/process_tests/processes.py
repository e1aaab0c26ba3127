"""Instances as real processes: their files, their starts, signals and ends, and what they log."""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import Callable
from contextlib import ExitStack, suppress
from pathlib import Path

import orjson

from dahliabend.simulation.cluster.script import Fleet
from dahliabend.simulation.peers.operators import call
from dahliabend.simulation.world import joined

PATIENCE = 30.0  # seconds until a process has to take callers, or to be gone
FIRST, LAST = 20_000, 30_000  # ports, below those that the system hands out


def free_ports(count: int) -> list[int]:
    """Ports of 127.0.0.1 that nobody holds now, for TCP and UDP; they may be bound again and again."""
    found: list[int] = []
    start = FIRST + os.getpid() * 97 % (LAST - FIRST)
    with ExitStack() as stack:
        for step in range(LAST - FIRST):
            port = FIRST + (start - FIRST + step) % (LAST - FIRST)
            both = [stack.enter_context(socket.socket(socket.AF_INET, kind))
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)]  # fmt: skip
            with suppress(OSError):
                for each in both:
                    each.bind(("127.0.0.1", port))
                found.append(port)
            if len(found) == count:
                return found
    raise OSError("no free ports on 127.0.0.1")


class Instance:
    """One place of the fleet, through its processes."""

    def __init__(self, number: int, folder: Path, ports: tuple[int, int, int], heard: Callable) -> None:
        self.number, self.name, self.folder, self.heard = number, f"b{number}", folder, heard
        self.callers, self.operators, self.datagrams = (("127.0.0.1", port) for port in ports)
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task | None = None
        self.stopped = False
        self.errors: list[str] = []  # what it said that it should not have

    @property
    def path(self) -> Path:
        return self.folder / f"{self.name}.toml"

    def write(self, fleet: Fleet, places: list[tuple[str, int]], rest: str) -> None:
        seeds = ", ".join(f'"{places[n][0]}:{places[n][1]}"' for n in fleet.seeds)
        here = places[self.number]
        self.path.write_text(f'''
[listeners.callers]
address = "{joined(self.callers)}"
[listeners.operators]
address = "{joined(self.operators)}"
[members]
name = "{self.name}"
address = "{joined(self.datagrams)}"
advertise = "{joined(here)}"
zone = "z{self.number % fleet.zones}"
seeds = [{seeds}]
key-files = ["key"]
keep = "{self.name}.keep"
period = "{fleet.period}"
signals = {str(fleet.signals).lower()}
probing = "{fleet.probing}"
{rest}''')

    async def start(self) -> None:
        """Until it speaks with the others."""
        loop = asyncio.get_running_loop()
        self.open = loop.create_future()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "dahliabend", "serve", str(self.path), stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL, env={**os.environ, "DAHLIABEND_SEED": f"{self.number + 1:x}"},
        )  # fmt: skip
        self.stopped = False
        self.reading = loop.create_task(self.read(self.process))

    async def opened(self) -> None:
        await asyncio.wait_for(self.open, PATIENCE)

    async def read(self, process: asyncio.subprocess.Process) -> None:
        """Each line as it comes: the witness's clock orders them."""
        while line := await process.stderr.readline():
            try:
                said = orjson.loads(line)
            except ValueError:
                self.errors.append(line.decode("utf-8", "replace").strip()[:300])
                continue
            event = said.get("event")
            if event == "members.open" and not self.open.done():
                self.open.set_result(None)
            if event in ("error", "failed"):
                self.errors.append(str(said)[:300])
            self.heard(self, said)
        if not self.open.done():
            self.open.set_exception(OSError(f"{self.name} ended at its start: {self.errors[-1:]}"))

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send(self, number: int) -> None:
        if self.alive:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    def stop(self) -> None:
        self.stopped = True
        self.send(signal.SIGSTOP)

    def go_on(self) -> None:
        self.stopped = False
        self.send(signal.SIGCONT)

    async def end(self, number: int = signal.SIGTERM) -> int:
        """Its exit status."""
        if self.process is None:
            return 0
        self.send(signal.SIGCONT)
        self.send(number)
        try:
            await asyncio.wait_for(self.process.wait(), PATIENCE)
        except TimeoutError:
            self.errors.append(f"{self.name} did not end on signal {number}")
            self.send(signal.SIGKILL)
            await self.process.wait()
        await self.reading
        status = self.process.returncode
        if status not in (0, -signal.SIGKILL):
            self.errors.append(f"{self.name} ended with {status}")
        return status

    async def ask(self, path: str) -> dict | None:
        """What its door answers; None where it does not."""
        loop = asyncio.get_running_loop()
        status, body = await call(loop, self.operators, "GET", path)
        return orjson.loads(body) if status == 200 else None
