"""One end of a simulated TCP connection: its buffers, and the packets in flight to its peer.

The guarantees of TCP hold: bytes arrive in order, or the connection ends. What TCP does not guarantee is
simulated as well: partial writes, full receive windows, unread bytes that a reset discards, and peers that
stop responding.
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
MAX_RESUME_DELAY = 200_000  # microseconds: longest delay of blocked packets once the path works again

Buffer = bytes | bytearray | memoryview


class Tap(Protocol):
    """An observer of the bytes of a connection, seen from the end that opened it."""

    def data_sent(self, data: bytes) -> None:
        """Observe bytes that the opening end has written."""

    def data_received(self, data: bytes) -> None:
        """Observe bytes that the accepting end has written."""


class ConnectionOwner(Protocol):
    """The socket that owns an end of a connection and is notified of its events."""

    process: Process

    def notify_readable(self) -> None:
        """Notify the socket that data, a FIN or a reset has arrived."""

    def notify_writable(self) -> None:
        """Notify the socket that the send buffer may have room."""


class ConnectionNetwork(Protocol):
    """The interface of the network to the ends of its connections."""

    scheduler: Scheduler
    profile: NetworkProfile
    rng: Random
    connections: dict[int, ConnectionEnd]

    def delay(self, source: str, destination: str) -> int:
        """Draw the delay of a packet between two hosts, in microseconds."""

    def is_blocked(self, source: str, destination: str) -> bool:
        """Return whether packets between two hosts are lost."""


class ConnectionEnd:
    """One end of a connection. All times are in microseconds."""

    __slots__ = (
        "blocked_packets",
        "busy_until",
        "closed_at",
        "fin_queued",
        "fin_received",
        "fin_sent",
        "in_flight",
        "initiator",
        "is_closed",
        "last_arrival_at",
        "last_used_at",
        "local",
        "network",
        "number",
        "path_idle_timeout",
        "peer",
        "peer_closed_at",
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
        """Create an end; set `peer` before use. `initiator` is the process that opened the connection."""
        self.network = network
        self.number = number
        self.local = local
        self.remote = remote
        self.initiator = initiator
        self.peer: ConnectionEnd
        self.sock: ConnectionOwner | None = None
        self.send_queue = bytearray()  # written by the owner, not sent yet
        self.in_flight = 0  # bytes sent, not arrived yet
        self.receive_queue = bytearray()  # arrived, not read yet
        self.fin_queued = False
        self.fin_sent = False
        self.fin_received = False
        self.reset_received = False
        self.read_shut = False
        self.is_closed = False
        self.closed_at = 0  # when the owner closed this end or its sending direction
        self.peer_closed_at = 0  # when the peer's FIN or reset arrived, read or not
        self.busy_until = 0  # when the last packet has been put on the wire
        self.last_arrival_at = 0  # due time of the last packet, which no later one may overtake
        # Packets lost on a blocked path, as calls and arguments; retransmitted once the path works again.
        self.blocked_packets: list[tuple[Callable[..., Any], tuple[Any, ...]]] = []
        self.last_used_at = network.scheduler.now  # last transmission in either direction
        self.path_idle_timeout = 0  # idle time after which the path drops the connection; 0: never
        self.tap: Tap | None = None

    # Calls of the owner

    def send(self, data: Buffer) -> int:
        """Write bytes into the send buffer and start to transmit them.

        Returns:
            The number of bytes that fit into the send buffer.

        Raises:
            OSError: the connection was reset, or its sending direction is closed.
        """
        if self.reset_received or self.is_closed:
            raise ConnectionResetError(ECONNRESET, "connection reset by peer")
        if self.fin_queued:
            raise BrokenPipeError(EPIPE, "broken pipe")
        capacity = self.network.profile.send_buffer - len(self.send_queue) - self.in_flight
        accepted = min(len(data), max(0, capacity))
        if accepted:
            accepted_data = bytes(data[:accepted])
            if self.tap is not None:
                self.tap.data_sent(accepted_data)
            elif self.peer.tap is not None:
                self.peer.tap.data_received(accepted_data)
            self.send_queue += accepted_data
            self.transmit()
        return accepted

    def unread_by_peer(self) -> int:
        """Return the number of bytes written at this end that the peer has not read yet."""
        return len(self.send_queue) + self.in_flight + len(self.peer.receive_queue)

    def shutdown_write(self) -> None:
        """Close the sending direction once all written bytes are sent."""
        if not self.fin_queued and not self.reset_received:
            self.fin_queued = True
            self._mark_closed()
            self.transmit()

    def shutdown(self) -> None:
        """Close both directions; data that arrives later is dropped."""
        self.read_shut = True
        self.shutdown_write()

    def close(self) -> None:
        """Close this end; if it has unread bytes, the connection is reset."""
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
        """Reset the connection; unsent and unread bytes are lost."""
        if not self.is_closed:
            self._mark_closed()
        self.is_closed = True
        self.fin_queued = True
        self.fin_sent = True
        self.send_queue.clear()
        self.deliver_later(0, self.peer.reset_arrived)
        self._unregister()

    def data_consumed(self) -> None:
        """Let the peer send more: the owner has read bytes and the receive window has room."""
        if self.peer.send_queue:
            self.network.scheduler.call_soon(None, self.peer.transmit)

    def _mark_closed(self) -> None:
        self.closed_at = self.closed_at or self.network.scheduler.now

    def _unregister(self) -> None:
        if self.is_closed and (self.peer.is_closed or self.peer.reset_received):
            self.network.connections.pop(self.number, None)

    # Transmission

    def transmit(self) -> None:
        """Send as many bytes as the peer's receive window allows, then the FIN if one is queued."""
        profile = self.network.profile
        now = self.network.scheduler.now
        if self.path_idle_timeout and now - self.last_used_at > self.path_idle_timeout and not self.is_closed:
            self._lose_path()
            return
        self.last_used_at = now
        self.peer.last_used_at = now
        while self.send_queue:
            window = profile.receive_window - len(self.peer.receive_queue) - self.in_flight
            size = min(len(self.send_queue), window, profile.max_segment or MAX_SEGMENT)
            if size <= 0:
                return
            segment = bytes(self.send_queue[:size])
            del self.send_queue[:size]
            self.in_flight += size
            self.deliver_later(size, self._data_arrived, segment)
        if self.fin_queued and not self.fin_sent:
            self.fin_sent = True
            self.deliver_later(0, self.peer.fin_arrived)

    def _lose_path(self) -> None:
        """Drop the connection as a stateful device on the path does after an idle timeout."""
        self.send_queue.clear()
        if self.network.profile.resets_after_idle:
            self.deliver_later(0, self.reset_arrived)
        else:
            # The window stays full, because nothing is ever acknowledged.
            self.in_flight = self.network.profile.send_buffer

    def deliver_later(self, size: int, call: Callable[..., Any], *arguments: object) -> None:
        """Schedule the arrival of a packet; jitter does not reorder the packets of a connection."""
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
        """Deliver the blocked packets after a random delay; newer packets queue behind them."""
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

    def block_packets(self) -> None:
        """Block both directions of this connection until paths are restored."""
        for side in (self, self.peer):
            side.blocked_packets.append((int, ()))  # a no-op packet, behind which all newer ones queue

    def reset_both_ends(self) -> None:
        """Reset both ends, as a device on the path does."""
        for side in (self, self.peer):
            side.blocked_packets.clear()
            side.reset_arrived()

    # Arrivals

    def _data_arrived(self, segment: bytes) -> None:
        """Deliver bytes of this end to its peer."""
        self.in_flight -= len(segment)
        peer = self.peer
        if peer.is_closed or peer.reset_received:
            if not self.reset_received:
                peer.deliver_later(0, self.reset_arrived)
            return
        if not peer.read_shut:
            peer.receive_queue += segment
            if peer.sock is not None:
                peer.sock.notify_readable()
        if self.send_queue:
            self.transmit()
        if self.sock is not None:
            self.sock.notify_writable()

    def fin_arrived(self) -> None:
        """Handle the FIN of the peer, which has closed its sending direction."""
        if not self.is_closed and not self.reset_received:
            self.fin_received = True
            self.peer_closed_at = self.peer_closed_at or self.network.scheduler.now
            if self.sock is not None:
                self.sock.notify_readable()

    def reset_arrived(self) -> None:
        """Handle a reset sent by the peer or by a device on the path."""
        if self.reset_received:
            return
        self.reset_received = True
        self.peer_closed_at = self.peer_closed_at or self.network.scheduler.now
        self.receive_queue.clear()
        self.send_queue.clear()
        if self.sock is not None and not self.is_closed:
            self.sock.notify_readable()
            self.sock.notify_writable()
        if self.is_closed or self.peer.is_closed or self.peer.reset_received:
            self.network.connections.pop(self.number, None)
