"""The machine on a socket: datagrams in and out, one timer, events to whoever listens."""

import asyncio
import contextlib
from collections.abc import Callable

from dahliabend.config.address import parse_address
from dahliabend.membership.authentication import DatagramAuthenticator
from dahliabend.membership.codec import MAX_DATAGRAM_BYTES
from dahliabend.membership.failure_detector import Event, MembershipProtocol
from dahliabend.transport import host_info
from dahliabend.transport.timers import TimerQueue, clock

MAX_CACHED_ADDRESSES = 20_000  # addresses remembered as read


class UdpTransport(asyncio.DatagramProtocol):
    """Owns the socket and the timer from `open` until `close`."""

    def __init__(
        self,
        machine: MembershipProtocol,
        authenticator: DatagramAuthenticator,
        timers: TimerQueue,
        on_event: Callable[[Event], None],
    ) -> None:
        self.machine, self.authenticator, self.timers, self.on_event = (
            machine,
            authenticator,
            timers,
            on_event,
        )
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: list | None = None
        self.on_user_messages: Callable[[list[bytes]], None] | None = None  # what stands on membership
        self.parsed_addresses: dict[str, tuple[str, int] | None] = {}
        self.sent = self.sent_bytes = self.received = self.received_bytes = 0

    async def open(self, place: tuple[str, int], seeds: list[str]) -> None:
        """OSError where the address can't be had."""
        sock = host_info.datagram_socket()
        try:
            sock.setblocking(False)
            sock.bind(place)
            await self.timers.loop.create_datagram_endpoint(lambda: self, sock=sock)
        except OSError:
            sock.close()
            raise
        self.machine.start(clock(), seeds)
        self.flush()

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        self.received += 1
        self.received_bytes += len(data)
        opened = self.authenticator.verify(data)
        if opened is None:
            self.machine.dropped_datagrams["oversized" if len(data) > MAX_DATAGRAM_BYTES else "foreign"] += 1
            return
        self.machine.receive_datagram(clock(), opened, f"{source[0]}:{source[1]}")
        self.flush()

    def error_received(self, error: OSError) -> None:
        """The system says that nobody is there: its silence tells the machine."""

    def timer_fired(self) -> None:
        self.timer = None
        self.machine.timer_fired(clock())
        self.flush()

    def leave(self) -> None:
        self.machine.leave(clock())
        self.flush()

    def flush(self) -> None:
        """Carries what the machine has left."""
        machine = self.machine
        out = machine.take_outgoing()
        for text, data in out:
            place = self.parse_address(text)
            if place is not None and self.transport is not None:
                sealed = self.authenticator.sign(data)
                self.sent += 1
                self.sent_bytes += len(sealed)
                with contextlib.suppress(OSError):  # its buffer is full, or no way there: as lost on the way
                    self.transport.sendto(sealed, place)
        events = machine.take_events()
        for event in events:
            self.on_event(event)
        said = machine.take_user_messages()
        if said and self.on_user_messages is not None:
            self.on_user_messages(said)
        if self.timer is None or self.timer[0] != machine.timer_due:
            self.timers.cancel(self.timer)
            self.timer = self.timers.schedule(machine.timer_due, self.timer_fired)

    def parse_address(self, text: str) -> tuple[str, int] | None:
        """None for what is no address: a peer may say anything, and names are not looked up."""
        if text not in self.parsed_addresses:
            if len(self.parsed_addresses) >= MAX_CACHED_ADDRESSES:
                self.parsed_addresses.clear()
            try:
                self.parsed_addresses[text] = parse_address(text)
            except ValueError:
                self.parsed_addresses[text] = None
        return self.parsed_addresses[text]

    def close(self) -> None:
        self.timers.cancel(self.timer)
        self.timer = None
        if self.transport is not None:
            self.transport.close()
            self.transport = None
