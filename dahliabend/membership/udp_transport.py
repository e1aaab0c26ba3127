"""The membership protocol on a UDP socket, driven by the event loop."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

from dahliabend.config.address import parse_address
from dahliabend.membership.authentication import DatagramAuthenticator
from dahliabend.membership.codec import MAX_DATAGRAM_BYTES, DropReason
from dahliabend.membership.events import Event
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.transport import host_info
from dahliabend.transport.timers import Timer, TimerQueue, clock

MAX_CACHED_ADDRESSES = 20_000

Address = tuple[str, int]  # host and port, as the socket module represents them


class UdpTransport(asyncio.DatagramProtocol):
    """Connects a `MembershipProtocol` to a UDP socket, to a timer and to the receivers of its events.

    The socket and the timer belong to the transport from `open` until `close`.

    Attributes:
        membership: The protocol.
        authenticator: Signs and verifies the datagrams; may be replaced while the transport is open.
        on_user_messages: Called with received payloads of other components; if None, they are dropped.
        sent: Number of datagrams sent.
        sent_bytes: Bytes of the datagrams sent, authentication tags included.
        received: Number of datagrams received, dropped ones included.
        received_bytes: Bytes of the datagrams received.
    """

    def __init__(
        self,
        membership: MembershipProtocol,
        authenticator: DatagramAuthenticator,
        timers: TimerQueue,
        on_event: Callable[[Event], None],
    ) -> None:
        """Create a transport that is not open yet.

        Args:
            membership: The protocol.
            authenticator: Signs and verifies the datagrams.
            timers: Queue in which the timer of the protocol is scheduled.
            on_event: Called with each event of the protocol.
        """
        self.membership = membership
        self.authenticator = authenticator
        self.on_user_messages: Callable[[list[bytes]], None] | None = None
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        self._timers = timers
        self._on_event = on_event
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: Timer | None = None
        self._timer_due = 0
        self._addresses: dict[str, Address | None] = {}  # parsed addresses by text; None: not an address

    async def open(self, address: Address, seeds: Iterable[str]) -> None:
        """Bind the socket and join the cluster.

        Args:
            address: Host and port to listen on.
            seeds: Addresses at which other members may listen.

        Raises:
            OSError: The address cannot be bound.
        """
        sock = host_info.datagram_socket()
        try:
            sock.setblocking(False)
            sock.bind(address)
            await self._timers.loop.create_datagram_endpoint(lambda: self, sock=sock)
        except OSError:
            sock.close()
            raise
        self.membership.start(clock(), seeds)
        self.flush()

    def close(self) -> None:
        """Close the socket and cancel the timer; further calls have no effect."""
        self._timers.cancel(self._timer)
        self._timer = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def leave(self) -> None:
        """Announce that this member leaves the cluster."""
        self.membership.leave(clock())
        self.flush()

    def connection_made(
        self,
        transport: asyncio.DatagramTransport,  # type: ignore[override]  # always this class for datagrams
    ) -> None:
        """Store the asyncio transport of the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, source: Address) -> None:
        """Pass a datagram to the protocol if it is authentic."""
        self.received += 1
        self.received_bytes += len(data)
        payload = self.authenticator.verify(data)
        if payload is None:
            is_oversized = len(data) > MAX_DATAGRAM_BYTES
            reason = DropReason.OVERSIZED if is_oversized else DropReason.NOT_AUTHENTICATED
            self.membership.record_dropped(reason)
            return
        self.membership.receive_datagram(clock(), payload, f"{source[0]}:{source[1]}")
        self.flush()

    def error_received(self, error: Exception) -> None:
        """Ignore errors of the socket, such as an address where nobody listens.

        The failure detector notices members that do not answer.
        """

    def flush(self) -> None:
        """Send the datagrams, pass on the events and messages of the protocol, and schedule its timer."""
        for address, data in self.membership.take_outgoing():
            self._send(address, data)
        for event in self.membership.take_events():
            self._on_event(event)
        user_messages = self.membership.take_user_messages()
        if user_messages and self.on_user_messages is not None:
            self.on_user_messages(user_messages)
        self._schedule_timer()

    def _send(self, address: str, data: bytes) -> None:
        destination = self._parse_address(address)
        if destination is None or self._transport is None:
            return
        datagram = self.authenticator.sign(data)
        self.sent += 1
        self.sent_bytes += len(datagram)
        # A full send buffer or a missing route is treated like a datagram lost in the network.
        with contextlib.suppress(OSError):
            self._transport.sendto(datagram, destination)

    def _schedule_timer(self) -> None:
        due = self.membership.timer_due
        if self._timer is not None and self._timer_due == due:
            return
        self._timers.cancel(self._timer)
        self._timer = self._timers.schedule(due, self._timer_fired)
        self._timer_due = due

    def _timer_fired(self) -> None:
        self._timer = None
        self.membership.timer_fired(clock())
        self.flush()

    def _parse_address(self, text: str) -> Address | None:
        """Parse an address reported by a peer; return None if it is invalid. Host names are not resolved."""
        if text not in self._addresses:
            if len(self._addresses) >= MAX_CACHED_ADDRESSES:
                self._addresses.clear()
            try:
                self._addresses[text] = parse_address(text)
            except ValueError:
                self._addresses[text] = None
        return self._addresses[text]
