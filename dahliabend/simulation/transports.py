"""An asyncio transport over one end of a simulated connection.

It behaves like uvloop's transport on a socket. A write goes into the send buffer at once. Bytes that
do not fit are kept in the transport; above the high-water mark the protocol is paused.
"""

import asyncio
from typing import Any

from dahliabend.simulation.connections import ECONNRESET, ConnectionEnd
from dahliabend.simulation.sockets import Socket

MAX_READ_PER_EVENT = 262_144  # bytes read before other callbacks of the loop get their turn
READ_SIZE = 65_536  # bytes passed to `data_received` at once
HIGH_WATER = 65_536  # bytes in the write buffer above which the protocol is paused


class Transport(asyncio.Transport):
    """An asyncio transport over a simulated socket, on virtual time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: Socket,
        protocol: asyncio.BaseProtocol,
        waiter: asyncio.Future[None] | None,
    ) -> None:
        end = sock.connected_end
        super().__init__(
            {
                "socket": sock,
                "peername": end.remote,
                "sockname": end.local,
                "connection": end.number,
                "initiator": end.initiator.name,
                "unread_by_peer": end.unread_by_peer,
            }
        )
        self.loop = loop
        self.sock = sock
        self.end: ConnectionEnd = end
        self.protocol: Any = protocol
        self.uses_buffered_protocol = isinstance(protocol, asyncio.BufferedProtocol)
        self.write_queue: list[memoryview] = []
        self.write_buffer_size = 0
        self.high_water = HIGH_WATER
        self.is_protocol_paused = False
        self.is_reading_paused = False
        self.closing = False
        self.is_loss_scheduled = False  # whether the call of `connection_lost` is scheduled
        self.is_eof_reported = False
        self.is_eof_queued = False
        loop.call_soon(self._start, waiter)

    def _start(self, waiter: asyncio.Future[None] | None) -> None:
        self.protocol.connection_made(self)
        self.sock.transport = self
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        if not self.closing:
            self.sock.notify_readable()

    # Reading

    def on_readable(self) -> None:
        """Handle data, a FIN or a reset. While reading is paused, even a reset goes unnoticed."""
        if self.is_loss_scheduled or self.closing or self.is_reading_paused:
            return
        end = self.end
        if end.reset_received:
            self.force_close(ConnectionResetError(ECONNRESET, "connection reset by peer"))
            return
        try:
            self._read_available()
            if self.is_reading():
                self._continue_reading()
        except Exception as error:  # as in asyncio, an error of the protocol closes the transport
            self.loop.call_exception_handler(
                {
                    "message": "protocol failed",
                    "exception": error,
                    "transport": self,
                    "protocol": self.protocol,
                }
            )
            self.force_close(error)

    def _read_available(self) -> None:
        end = self.end
        remaining = MAX_READ_PER_EVENT
        while end.receive_queue and not self.is_reading_paused and not self.closing and remaining > 0:
            if self.uses_buffered_protocol:
                buffer = self.protocol.get_buffer(-1)
                count = min(len(buffer), len(end.receive_queue))
                if not count:
                    raise RuntimeError("get_buffer returned an empty buffer")
                buffer[:count] = end.receive_queue[:count]
                del end.receive_queue[:count]
                end.data_consumed()
                self.protocol.buffer_updated(count)
            else:
                data = bytes(end.receive_queue[:READ_SIZE])
                count = len(data)
                del end.receive_queue[:count]
                end.data_consumed()
                self.protocol.data_received(data)
            remaining -= count

    def _continue_reading(self) -> None:
        """Schedule another read if bytes are left, or else report the end of the stream."""
        end = self.end
        if end.receive_queue:
            self.sock.notify_readable()
        elif end.fin_received and not self.is_eof_reported:
            self.is_eof_reported = True
            if not self.protocol.eof_received():
                self.close()

    def pause_reading(self) -> None:
        """Implement `asyncio.Transport.pause_reading`."""
        self.is_reading_paused = True

    def resume_reading(self) -> None:
        """Implement `asyncio.Transport.resume_reading`."""
        if self.is_reading_paused:
            self.is_reading_paused = False
            self.sock.notify_readable()

    def is_reading(self) -> bool:
        """Implement `asyncio.Transport.is_reading`."""
        return not self.is_reading_paused and not self.closing

    # Writing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:  # noqa: ARG002 -- asyncio's signature
        """Set the buffer size above which the protocol is paused; `low` has no effect."""
        self.high_water = HIGH_WATER if high is None else high

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not in the send buffer yet."""
        return self.write_buffer_size

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Implement `asyncio.Transport.write`."""
        if self.closing or self.is_loss_scheduled or self.is_eof_queued or not data:
            return
        if not self.write_buffer_size:
            try:
                accepted = self.end.send(data)
            except OSError as error:
                self.force_close(error)
                return
            if accepted == len(data):
                return
            data = memoryview(data)[accepted:]
        self.write_queue.append(memoryview(data))
        self.write_buffer_size += len(data)
        if self.write_buffer_size > self.high_water and not self.is_protocol_paused:
            self.is_protocol_paused = True
            self.protocol.pause_writing()

    def on_writable(self) -> None:
        """Write buffered bytes: the send buffer has room."""
        if self.is_loss_scheduled or not self.write_buffer_size:
            return
        try:
            while self.write_queue:
                piece = self.write_queue[0]
                accepted = self.end.send(piece)
                self.write_buffer_size -= accepted
                if accepted < len(piece):
                    self.write_queue[0] = piece[accepted:]
                    return
                self.write_queue.pop(0)
        except OSError as error:
            self.force_close(error)
            return
        if self.is_protocol_paused:
            self.is_protocol_paused = False
            self.protocol.resume_writing()
        if self.write_buffer_size:
            return
        if self.closing:
            self._schedule_connection_lost(None)
        elif self.is_eof_queued:
            self.end.shutdown_write()

    def can_write_eof(self) -> bool:
        """Implement `asyncio.Transport.can_write_eof`."""
        return True

    def write_eof(self) -> None:
        """Implement `asyncio.Transport.write_eof`."""
        if not self.is_eof_queued and not self.closing:
            self.is_eof_queued = True
            if not self.write_buffer_size:
                self.end.shutdown_write()

    # Closing

    def is_closing(self) -> bool:
        """Implement `asyncio.Transport.is_closing`."""
        return self.closing

    def close(self) -> None:
        """Close the transport once all buffered bytes are written."""
        if not self.closing:
            self.closing = True
            if not self.write_buffer_size:
                self._schedule_connection_lost(None)

    def abort(self) -> None:
        """Close the transport at once and drop the buffered bytes."""
        self.force_close(None)

    def force_close(self, error: Exception | None) -> None:
        """Close the transport at once and pass the error to the protocol's `connection_lost`."""
        self.closing = True
        self.write_queue.clear()
        self.write_buffer_size = 0
        self._schedule_connection_lost(error)

    def _schedule_connection_lost(self, error: Exception | None) -> None:
        if not self.is_loss_scheduled:
            self.is_loss_scheduled = True
            self.loop.call_soon(self._finish, error)

    def _finish(self, error: Exception | None) -> None:
        try:
            self.protocol.connection_lost(error)
        finally:
            self.sock.transport = None
            self.sock.close()
            self.protocol = None
