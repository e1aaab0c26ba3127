"""One socket with a ring each way."""

import asyncio
import contextlib
import socket
from collections import deque

from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.ring_buffer import RingBuffer

BUFFER_SIZE = 8192
# The system's own buffer grows to megabytes otherwise: what lies there counts as written, and a peer that
# reads slowly would seem to stand still while it is emptied.
SYSTEM_SEND_BUFFER_SIZE = 256 * 1024


class Connection(asyncio.BufferedProtocol):
    """Bytes in and out, with backpressure. What they mean is a subclass's: `received`, `flushed`, `lost`.

    Its descriptor belongs to the table of `Descriptors`, from here until `release`.
    """

    def __init__(self, descriptors: DescriptorBudget) -> None:
        self.descriptors = descriptors
        self.handle = descriptors.register(self)
        self.receive_buffer, self.send_buffer = RingBuffer(BUFFER_SIZE), RingBuffer(BUFFER_SIZE)
        self.pending: deque[bytes] = deque()  # what the outgoing ring has no room for yet
        self.pending_offset = 0  # how much of the first pending piece is in the ring
        self.bytes_in_transport = 0  # bytes of the ring that the transport still reads
        self.pending_bytes = 0  # bytes of the pending pieces that are not in the ring yet
        self.write_paused = self.input_held = self.reading_suspended = self.reading_paused = self.closed = (
            self.write_failed
        ) = False
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None

    # What a subclass fills in.

    def bytes_received(self, view: memoryview) -> None: ...
    def output_flushed(self) -> None: ...
    def connection_closed(self) -> None: ...
    def transport_paused(self) -> None: ...

    # Reading.

    def connection_made(self, transport) -> None:
        self.transport = transport
        # At 0 a write goes to the socket at once, and `pause_writing` tells if it did not go whole.
        transport.set_write_buffer_limits(high=0)
        if self.closed:
            transport.abort()

    def get_buffer(self, hint: int) -> memoryview:
        return self.receive_buffer.writable_view()

    def buffer_updated(self, count: int) -> None:
        self.receive_buffer.commit(count)
        self.process_input()

    def process_input(self) -> None:
        """Hands on what has come, unless it is to wait; a full ring holds the peer back."""
        ring = self.receive_buffer
        while ring.count and not self.input_held and not self.reading_suspended and not self.closed:
            view = ring.readable_view()
            self.bytes_received(view)
            ring.consume(len(view))
        full = ring.count == ring.size or self.reading_suspended
        if not full and self.reading_paused and self.transport is not None and not self.closed:
            self.reading_paused = False
            self.transport.resume_reading()
        elif full:
            self.pause_transport()

    def pause_transport(self) -> None:
        if not self.reading_paused and self.transport is not None and not self.closed:
            self.reading_paused = True
            self.transport.pause_reading()
            self.transport_paused()

    def suspend_reading(self) -> None:
        """Nothing more is read for now: whoever gets it is slower. An end is not seen before the bytes ahead
        of it have been handed on."""
        self.reading_suspended = True
        self.pause_transport()

    def continue_reading(self) -> None:
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
        """Has the system taken all that was written?"""
        return not (self.write_paused or self.pending or self.send_buffer.count or self.write_failed)

    def write(self, *pieces: bytes) -> None:
        """Sends the pieces as one; none is copied as a whole, as many callers may wait with long bodies."""
        self.pending.extend(pieces)
        self.pending_bytes += sum(map(len, pieces))
        self.flush_pending()

    def flush_pending(self) -> None:
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
                return self.output_flushed()
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
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self.send_buffer.consume(self.bytes_in_transport)
        self.bytes_in_transport = 0
        self.flush_pending()

    # Ending.

    def eof_received(self) -> bool:
        return False

    def can_evict(self) -> bool:
        """May it be closed, being idle?"""
        return True

    def unread_input(self) -> bool | None:
        """Is something still to be read? None: nothing; False: only that the peer has ended it."""
        if self.receive_buffer.count:
            return True
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK)) if self.sock is not None else None
        except BlockingIOError:
            return None
        except OSError:  # nothing to come any more
            return False

    def peer_has_closed(self) -> bool:
        """Has the peer ended it, also where that stands behind bytes not read yet?"""
        return self.sock is not None and host_info.peer_has_closed(self.sock)

    def abort(self) -> None:
        """Ends it at once; the peer is told before this returns."""
        if self.closed:
            return
        self.closed = True
        self.descriptors.mark_busy(self.handle)
        if self.sock is not None and self.transport is not None:
            with contextlib.suppress(OSError):  # it may have ended already
                self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes it in order; all written has been flushed."""
        if not self.closed:
            self.closed = True
            self.descriptors.mark_busy(self.handle)
            if self.transport is not None:
                self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.release()
        if self.sock is not None:
            with contextlib.suppress(OSError):  # closed for good before anyone acts on it
                self.sock.shutdown(socket.SHUT_RDWR)
        self.connection_closed()
        self.transport = self.sock = None

    def release(self) -> None:
        self.descriptors.release(self.handle)

    def dial_cancelled(self) -> None:
        """Given up before the dialling began: nothing else gives its place back."""
        if self.transport is None and not self.closed:
            self.closed = True
            self.release()


def configure_socket(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SYSTEM_SEND_BUFFER_SIZE)


async def dial(loop: asyncio.AbstractEventLoop, address: tuple[str, int], connection: Connection) -> None:
    """Connects; OSError if that fails. Cancelled, it leaves nothing open."""
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
