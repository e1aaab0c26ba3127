"""The machine on a socket: datagrams in and out, one timer, events to whoever listens."""

import asyncio
import contextlib
from collections.abc import Callable

from dahliabend.config.platform import address
from dahliabend.membership.codec import MOST
from dahliabend.membership.encryption import Seal
from dahliabend.membership.failure_detector import Event, Machine
from dahliabend.transport import host_info as computer
from dahliabend.transport.timers import Deadlines, clock

MOST_PLACES = 20_000  # addresses remembered as read


class Shell(asyncio.DatagramProtocol):
    """Owns the socket and the timer from `open` until `close`."""

    def __init__(
        self, machine: Machine, seal: Seal, deadlines: Deadlines, heard: Callable[[Event], None]
    ) -> None:
        self.machine, self.seal, self.deadlines, self.heard = machine, seal, deadlines, heard
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: list | None = None
        self.listens: Callable[[list[bytes]], None] | None = None  # what stands on membership
        self.places: dict[str, tuple[str, int] | None] = {}
        self.sent = self.sent_bytes = self.come = self.come_bytes = 0

    async def open(self, place: tuple[str, int], seeds: list[str]) -> None:
        """OSError where the address can't be had."""
        sock = computer.datagram_socket()
        try:
            sock.setblocking(False)
            sock.bind(place)
            await self.deadlines.loop.create_datagram_endpoint(lambda: self, sock=sock)
        except OSError:
            sock.close()
            raise
        self.machine.start(clock(), seeds)
        self.move()

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        self.come += 1
        self.come_bytes += len(data)
        opened = self.seal.open(data)
        if opened is None:
            self.machine.refused["oversized" if len(data) > MOST else "foreign"] += 1
            return
        self.machine.received(clock(), opened, f"{source[0]}:{source[1]}")
        self.move()

    def error_received(self, error: OSError) -> None:
        """The system says that nobody is there: its silence tells the machine."""

    def wake(self) -> None:
        self.timer = None
        self.machine.wake(clock())
        self.move()

    def leave(self) -> None:
        self.machine.leave(clock())
        self.move()

    def move(self) -> None:
        """Carries what the machine has left."""
        machine = self.machine
        out, machine.out = machine.out, []
        for text, data in out:
            place = self.place(text)
            if place is not None and self.transport is not None:
                sealed = self.seal.close(data)
                self.sent += 1
                self.sent_bytes += len(sealed)
                with contextlib.suppress(OSError):  # its buffer is full, or no way there: as lost on the way
                    self.transport.sendto(sealed, place)
        events, machine.events = machine.events, []
        for event in events:
            self.heard(event)
        said, machine.said = machine.said, []
        if said and self.listens is not None:
            self.listens(said)
        if self.timer is None or self.timer[0] != machine.due:
            self.deadlines.drop(self.timer)
            self.timer = self.deadlines.at(machine.due, self.wake)

    def place(self, text: str) -> tuple[str, int] | None:
        """None for what is no address: a peer may say anything, and names are not looked up."""
        if text not in self.places:
            if len(self.places) >= MOST_PLACES:
                self.places.clear()
            try:
                self.places[text] = address(text)
            except ValueError:
                self.places[text] = None
        return self.places[text]

    def close(self) -> None:
        self.deadlines.drop(self.timer)
        self.timer = None
        if self.transport is not None:
            self.transport.close()
            self.transport = None
