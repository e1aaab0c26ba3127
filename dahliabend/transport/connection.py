"""One socket with a ring buffer each way."""

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import cast

from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.ring_buffer import RingBuffer

BUFFER_SIZE = 8192  # bytes of each ring buffer
# Bytes. The system's own buffer grows to megabytes otherwise: what lies there counts as written, and a peer
# that reads slowly would seem to stand still while it is emptied.
SYSTEM_SEND_BUFFER_SIZE = 256 * 1024
_LINGER_WITH_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, no time


class Connection(asyncio.BufferedProtocol):
    """Bytes in and out of a socket, with backpressure both ways.

    What the bytes mean is a subclass's: it fills in `bytes_received`, `output_flushed`, `transport_paused`
    and `connection_closed`. The descriptor belongs to the `DescriptorBudget`, from the constructor until
    `release`.

    Attributes:
        handle: Of this connection in the budget.
        receive_buffer: What has come and was not handed on yet.
        send_buffer: What goes to the system next.
        pending: Pieces to be written that are not wholly in the send buffer yet.
        pending_offset: How much of the first pending piece is in the send buffer.
        pending_bytes: Bytes of the pending pieces that are not in the send buffer yet.
        bytes_in_transport: Bytes of the send buffer that the transport still reads.
        write_paused: The transport has more than it can write.
        write_failed: The system refused a write.
        input_blocked: What has come waits, as earlier requests have to be answered first.
        reading_suspended: Nothing is read, as whoever the bytes go to is slower.
        reading_paused: The transport has been told not to read.
        closed: It is closed or being closed.
    """

    def __init__(self, descriptors: DescriptorBudget) -> None:
        self.descriptors = descriptors
        self.handle = descriptors.register(self)
        self.receive_buffer = RingBuffer(BUFFER_SIZE)
        self.send_buffer = RingBuffer(BUFFER_SIZE)
        self.pending: deque[bytes] = deque()
        self.pending_offset = 0
        self.pending_bytes = 0
        self.bytes_in_transport = 0
        self.write_paused = False
        self.write_failed = False
        self.input_blocked = False
        self.reading_suspended = False
        self.reading_paused = False
        self.closed = False
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None

    # What a subclass fills in.

    def bytes_received(self, view: memoryview) -> None:
        """Bytes have come; the view is valid during the call only."""

    def output_flushed(self) -> None:
        """The system has taken all that was written."""

    def transport_paused(self) -> None:
        """Nothing is read any more, for now."""

    def connection_closed(self) -> None:
        """The connection is gone, and its descriptor has been released."""

    # Reading.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The transport is up; it is aborted if the connection was closed meanwhile."""
        self.transport = cast(asyncio.Transport, transport)
        # At 0 a write goes to the socket at once, and `pause_writing` is called if it did not go whole.
        self.transport.set_write_buffer_limits(high=0)
        if self.closed:
            self.transport.abort()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Where the transport puts what it reads next."""
        return self.receive_buffer.writable_view()

    def buffer_updated(self, nbytes: int) -> None:
        """The transport has read so many bytes."""
        self.receive_buffer.commit(nbytes)
        self.process_input()

    def process_input(self) -> None:
        """Hands on what has come, unless it is to wait; a full buffer holds the peer back."""
        ring = self.receive_buffer
        while ring.count and not self.input_blocked and not self.reading_suspended and not self.closed:
            view = ring.readable_view()
            self.bytes_received(view)
            ring.consume(len(view))
        must_pause = ring.count == ring.size or self.reading_suspended
        if must_pause:
            self.pause_transport()
        elif self.reading_paused and self.transport is not None and not self.closed:
            self.reading_paused = False
            self.transport.resume_reading()

    def pause_transport(self) -> None:
        """Tells the transport not to read for now."""
        if not self.reading_paused and self.transport is not None and not self.closed:
            self.reading_paused = True
            self.transport.pause_reading()
            self.transport_paused()

    def suspend_reading(self) -> None:
        """Reads nothing more for now, as whoever the bytes go to is slower.

        An end is not seen before the bytes ahead of it have been handed on.
        """
        self.reading_suspended = True
        self.pause_transport()

    def continue_reading(self) -> None:
        """Undoes `suspend_reading`."""
        if self.reading_suspended:
            self.reading_suspended = False
            self.process_input()

    # Writing.

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the system has not taken yet."""
        return self.pending_bytes + self.send_buffer.count

    @property
    def is_flushed(self) -> bool:
        """Whether the system has taken all that was written."""
        return not (self.write_paused or self.pending or self.send_buffer.count or self.write_failed)

    def write(self, *pieces: bytes) -> None:
        """Sends the pieces as one; none is copied as a whole, as many peers may wait with long bodies."""
        self.pending.extend(pieces)
        self.pending_bytes += sum(map(len, pieces))
        self.flush_pending()

    def flush_pending(self) -> None:
        """Hands pending pieces to the system, as far as it takes them."""
        ring = self.send_buffer
        while not self.write_paused and not self.closed and self.transport is not None:
            while self.pending and ring.count < ring.size:
                moved = ring.write_from(self.pending[0], self.pending_offset)
                self.pending_offset += moved
                self.pending_bytes -= moved
                if self.pending_offset == len(self.pending[0]):
                    self.pending.popleft()
                    self.pending_offset = 0
            if not ring.count:
                self.output_flushed()
                return
            view = ring.readable_view()
            self.transport.write(view)
            if self.transport.is_closing():
                self.write_failed = True  # the system refused it
                return
            if self.write_paused:
                self.bytes_in_transport = len(view)
                return
            ring.consume(len(view))

    def pause_writing(self) -> None:
        """The transport could not write all at once."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """The transport has written all it had."""
        self.write_paused = False
        self.send_buffer.consume(self.bytes_in_transport)
        self.bytes_in_transport = 0
        self.flush_pending()

    # Ending.

    def eof_received(self) -> bool:
        """The peer has ended its sending: the transport closes."""
        return False

    def can_evict(self) -> bool:
        """Whether it may be closed while idle without a request being lost."""
        return True

    def unread_input(self) -> bool | None:
        """Whether something is still to be read.

        Returns:
            None: nothing; False: only that the peer has closed it; True: bytes.
        """
        if self.receive_buffer.count:
            return True
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK)) if self.sock is not None else None
        except BlockingIOError:
            return None
        except OSError:  # nothing to come any more
            return False

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed it, also where that stands behind bytes not read yet."""
        return self.sock is not None and host_info.peer_has_closed(self.sock)

    def abort(self) -> None:
        """Closes it at once; the peer is notified before this returns."""
        if self.closed:
            return
        self.closed = True
        self.descriptors.mark_busy(self.handle)
        if self.sock is not None and self.transport is not None:
            with contextlib.suppress(OSError):  # it may have been closed already
                self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Closes it by a reset, so that the peer does not take what was sent for complete."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_WITH_RESET)
            self.sock = None  # shut down, it would end in order
        self.abort()

    def close(self) -> None:
        """Closes it in order; all that was written has been flushed."""
        if not self.closed:
            self.closed = True
            self.descriptors.mark_busy(self.handle)
            if self.transport is not None:
                self.transport.close()

    def connection_lost(self, _error: Exception | None) -> None:
        """The transport is closed."""
        self.closed = True
        self.release()
        if self.sock is not None:
            with contextlib.suppress(OSError):  # closed for good before anyone acts on it
                self.sock.shutdown(socket.SHUT_RDWR)
        self.connection_closed()
        self.transport = None
        self.sock = None

    def release(self) -> None:
        """Gives the descriptor back to the budget."""
        self.descriptors.release(self.handle)

    def dial_cancelled(self) -> None:
        """Dialling was cancelled before it began: nothing else gives the descriptor back."""
        if self.transport is None and not self.closed:
            self.closed = True
            self.release()


def configure_socket(sock: socket.socket) -> None:
    """Sets the options that all connections need."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SYSTEM_SEND_BUFFER_SIZE)


async def dial(loop: asyncio.AbstractEventLoop, address: tuple[str, int], connection: Connection) -> None:
    """Connects to an address. Cancelled, it leaves nothing open.

    Raises:
        OSError: The address cannot be reached.
    """
    sock = host_info.stream_socket()
    try:
        configure_socket(sock)
        await loop.sock_connect(sock, address)
        connection.sock = sock
        await loop.create_connection(lambda: connection, sock=sock)
    except BaseException:
        if connection.transport is None:
            sock.close()
            connection.closed = True
            connection.release()
        else:
            connection.transport.abort()
        raise
