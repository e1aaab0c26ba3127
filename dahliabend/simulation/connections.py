"""One end of a simulated TCP connection: its buffers, and what is on its way to the other end.

What TCP promises holds: bytes come in order, or the connection ends. What it does not promise is simulated:
writes that are accepted in part, windows that fill, bytes unread when a reset comes, peers that fall silent.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.event_loop import Process, Scheduler
from dahliabend.simulation.network_profile import NetworkProfile

ECONNRESET = 104
EPIPE = 32
MAX_SEGMENT = 65_536  # bytes
MAX_RESUME_DELAY = 200_000  # microseconds: the longest until held packets come, once a path works again

Buffer = bytes | bytearray | memoryview


class Tap(Protocol):
    """An observer of the bytes of a connection, from the side that dialled."""

    def data_sent(self, part: bytes) -> None:
        """The end that dialled has written bytes."""

    def data_received(self, part: bytes) -> None:
        """The other end has written bytes."""


class ConnectionOwner(Protocol):
    """The socket of a connection's end, which is notified of what arrives."""

    process: Process

    def notify_readable(self) -> None:
        """Bytes, the end or a reset have arrived."""

    def notify_writable(self) -> None:
        """There may be room for more bytes."""


class ConnectionNetwork(Protocol):
    """The network as the ends of its connections use it."""

    scheduler: Scheduler
    profile: NetworkProfile
    rng: Random
    connections: dict[int, ConnectionEnd]

    def delay(self, one: str, other: str) -> int:
        """Draw the microseconds that a packet takes from one host to another."""

    def is_blocked(self, one: str, other: str) -> bool:
        """Whether packets between two hosts are lost."""


class ConnectionEnd:
    """One end of a connection. Times are microseconds."""

    __slots__ = (
        "blocked_packets",
        "busy_until",
        "closed_at",
        "fin_queued",
        "fin_received",
        "fin_sent",
        "idle_timeout",
        "in_flight",
        "initiator",
        "is_closed",
        "last_arrival_at",
        "last_used_at",
        "local",
        "network",
        "number",
        "peer",
        "peer_end_seen_at",
        "read_shut",
        "receive_queue",
        "remote",
        "reset_received",
        "send_queue",
        "sock",
        "tap",
    )

    def __init__(
        self, network: ConnectionNetwork, number: int, local: Address, remote: Address, initiator: Process
    ) -> None:
        """Create an end; `peer` has to be set before it is used. `initiator`: the process that dialled."""
        self.network = network
        self.number = number
        self.local = local
        self.remote = remote
        self.initiator = initiator
        self.peer: ConnectionEnd
        self.sock: ConnectionOwner | None = None
        self.send_queue = bytearray()  # accepted from the writer, not sent yet
        self.in_flight = 0  # bytes sent, not arrived yet
        self.receive_queue = bytearray()  # arrived, not read yet
        self.fin_queued = False
        self.fin_sent = False
        self.fin_received = False
        self.reset_received = False
        self.read_shut = False
        self.is_closed = False
        self.closed_at = 0  # when its owner closed it, or its sending direction
        self.peer_end_seen_at = 0  # when the other's close arrived, read or not
        self.busy_until = 0
        self.last_arrival_at = 0
        # Lost on a path that is blocked: retransmitted once the path works again.
        self.blocked_packets: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.last_used_at = network.scheduler.now
        self.idle_timeout = 0  # of idleness, after which the path forgets the connection; 0: never
        self.tap: Tap | None = None

    # What the owner does.

    def send(self, data: Buffer) -> int:
        """Write bytes.

        Returns:
            How many of them the system accepts.

        Raises:
            OSError: the connection has ended.
        """
        if self.reset_received or self.is_closed:
            raise ConnectionResetError(ECONNRESET, "connection reset by peer")
        if self.fin_queued:
            raise BrokenPipeError(EPIPE, "broken pipe")
        capacity = self.network.profile.send_buffer - len(self.send_queue) - self.in_flight
        accepted = min(len(data), max(0, capacity))
        if accepted:
            part = bytes(data[:accepted])
            if self.tap is not None:
                self.tap.data_sent(part)
            elif self.peer.tap is not None:
                self.peer.tap.data_received(part)
            self.send_queue += part
            self.transmit()
        return accepted

    def unread_by_peer(self) -> int:
        """Bytes written here that the other end has not read yet."""
        return len(self.send_queue) + self.in_flight + len(self.peer.receive_queue)

    def shutdown_write(self) -> None:
        """Close the sending direction once all is sent."""
        if not self.fin_queued and not self.reset_received:
            self.fin_queued = True
            self._mark_closed()
            self.transmit()

    def shutdown(self) -> None:
        """Close both directions; what arrives later is dropped."""
        self.read_shut = True
        self.shutdown_write()

    def close(self) -> None:
        """Close it; unread bytes make that a reset."""
        if self.is_closed:
            return
        self.is_closed = True
        self._mark_closed()
        if self.receive_queue and not self.fin_sent:
            self.reset()
        elif not self.fin_queued:
            self.fin_queued = True
            self.transmit()
        self.receive_queue.clear()
        self._unregister()

    def reset(self) -> None:
        """End it at once; what is in flight or unread is lost."""
        if not self.is_closed:
            self._mark_closed()
        self.is_closed = True
        self.fin_queued = True
        self.fin_sent = True
        self.send_queue.clear()
        self.deliver_later(0, self.peer.reset_arrived)
        self._unregister()

    def data_consumed(self) -> None:
        """The owner has read bytes: there is room for more."""
        if self.peer.send_queue:
            self.network.scheduler.call_soon(None, self.peer.transmit)

    def _mark_closed(self) -> None:
        self.closed_at = self.closed_at or self.network.scheduler.now

    def _unregister(self) -> None:
        if self.is_closed and (self.peer.is_closed or self.peer.reset_received):
            self.network.connections.pop(self.number, None)

    # On the path.

    def transmit(self) -> None:
        """Send what the other end's window allows."""
        profile = self.network.profile
        now = self.network.scheduler.now
        if self.idle_timeout and now - self.last_used_at > self.idle_timeout and not self.is_closed:
            self._lose_path()
            return
        self.last_used_at = now
        self.peer.last_used_at = now
        while self.send_queue:
            window = profile.receive_window - len(self.peer.receive_queue) - self.in_flight
            size = min(len(self.send_queue), window, profile.max_segment or MAX_SEGMENT)
            if size <= 0:
                return
            part = bytes(self.send_queue[:size])
            del self.send_queue[:size]
            self.in_flight += size
            self.deliver_later(size, self._data_arrived, part)
        if self.fin_queued and not self.fin_sent:
            self.fin_sent = True
            self.deliver_later(0, self.peer.fin_arrived)

    def _lose_path(self) -> None:
        """Something between the two ends has forgotten this connection."""
        self.send_queue.clear()
        if self.network.profile.reset_after_idle:
            self.deliver_later(0, self.reset_arrived)
        else:
            self.in_flight = self.network.profile.send_buffer  # nothing is ever acknowledged

    def deliver_later(self, size: int, call: Callable[..., Any], *arguments: object) -> None:
        """Have a packet arrive after its delay, in order whatever the jitter."""
        network = self.network
        now = self.network.scheduler.now
        self.busy_until = max(now, self.busy_until) + size // network.profile.bandwidth
        due = max(self.busy_until + network.delay(self.local[0], self.remote[0]), self.last_arrival_at)
        self.last_arrival_at = due
        network.scheduler.call_at(due, None, self._deliver, call, arguments)

    def _deliver(self, call: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        if self.blocked_packets or self.network.is_blocked(self.local[0], self.remote[0]):
            self.blocked_packets.append((call, arguments))
        else:
            call(*arguments)

    def retransmit_blocked(self) -> None:
        """The path works again: held packets come some time later, and newer ones wait behind them."""
        if self.blocked_packets:
            network = self.network
            wait = int(network.rng.random() * MAX_RESUME_DELAY)
            network.scheduler.call_at(network.scheduler.now + wait, None, self._release_blocked)

    def _release_blocked(self) -> None:
        if not self.network.is_blocked(self.local[0], self.remote[0]):
            packets = self.blocked_packets
            self.blocked_packets = []
            for call, arguments in packets:
                call(*arguments)

    def drop_packets(self) -> None:
        """Let nothing on this connection arrive any more, either way, until paths are restored."""
        for side in (self, self.peer):
            side.blocked_packets.append((int, ()))

    def reset_both(self) -> None:
        """Both ends get a reset, as from a device between them."""
        for side in (self, self.peer):
            side.blocked_packets.clear()
            side.reset_arrived()

    # What arrives.

    def _data_arrived(self, part: bytes) -> None:
        """Bytes of this end have arrived at the other."""
        self.in_flight -= len(part)
        peer = self.peer
        if peer.is_closed or peer.reset_received:
            if not self.reset_received:
                peer.deliver_later(0, self.reset_arrived)
            return
        if not peer.read_shut:
            peer.receive_queue += part
            if peer.sock is not None:
                peer.sock.notify_readable()
        if self.send_queue:
            self.transmit()
        if self.sock is not None:
            self.sock.notify_writable()

    def fin_arrived(self) -> None:
        """The other end has closed its sending direction."""
        if not self.is_closed and not self.reset_received:
            self.fin_received = True
            self.peer_end_seen_at = self.peer_end_seen_at or self.network.scheduler.now
            if self.sock is not None:
                self.sock.notify_readable()

    def reset_arrived(self) -> None:
        """The other end, or a device between them, has reset the connection."""
        if self.reset_received:
            return
        self.reset_received = True
        self.peer_end_seen_at = self.peer_end_seen_at or self.network.scheduler.now
        self.receive_queue.clear()
        self.send_queue.clear()
        if self.sock is not None and not self.is_closed:
            self.sock.notify_readable()
            self.sock.notify_writable()
        if self.is_closed or self.peer.is_closed or self.peer.reset_received:
            self.network.connections.pop(self.number, None)
