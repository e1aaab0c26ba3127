"""A connection: one socket with a ring buffer in each direction."""

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import cast

from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.ring_buffer import RingBuffer
from dahliabend.transport.timers import clock

BUFFER_SIZE = 8192  # bytes of each ring buffer
# Bytes. Without a limit the kernel's buffer grows to megabytes. Bytes in it count as written, so a peer that
# reads slowly would seem to make no progress while the buffer is emptied.
KERNEL_SEND_BUFFER_SIZE = 256 * 1024
_LINGER_WITH_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a timeout of 0 s


class Connection(asyncio.BufferedProtocol):
    """Reads from and writes to a socket, with backpressure in both directions.

    Subclasses give the bytes a meaning by overriding `bytes_received`, `output_flushed`, `transport_paused`
    and `connection_closed`. The socket's descriptor counts against the `DescriptorBudget` from the
    constructor until `release`.

    Attributes:
        handle: Handle of this connection in the descriptor budget.
        receive_buffer: Bytes that were received and not yet passed to `bytes_received`.
        send_buffer: Bytes to pass to the transport next.
        pending: Pieces to write that are not entirely in the send buffer yet.
        pending_offset: Bytes of the first pending piece that are in the send buffer already.
        pending_bytes: Bytes of the pending pieces that are not in the send buffer yet.
        bytes_in_transport: Bytes of the send buffer that the transport has not finished reading.
        write_paused: Whether the transport has more bytes than it can write.
        write_failed: Whether the kernel refused a write.
        parsing_blocked: Whether received bytes have to wait until earlier requests are answered.
        reading_suspended: Whether reading is stopped because the receiver of the bytes is slower.
        is_transport_paused: Whether the transport has been told not to read.
        unprocessed_since: Clock time (us) since which received bytes may have waited; 0 if none wait.
        may_wait_in_kernel: Whether bytes may have waited in the kernel, because reading was paused.
        closed: Whether the connection is closed or being closed.
        transport: The transport; None before the connection is established and after it is lost.
        sock: The socket; None before it is connected, and after the connection is lost or reset.
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
        self.parsing_blocked = False
        self.reading_suspended = False
        self.is_transport_paused = False
        self.unprocessed_since = 0
        self.may_wait_in_kernel = False
        self.closed = False
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None

    # Methods that subclasses override

    def bytes_received(self, view: memoryview) -> None:
        """Process received bytes; the view is valid during the call only."""

    def output_flushed(self) -> None:
        """Handle the completed write of all bytes to the kernel."""

    def transport_paused(self) -> None:
        """Handle a pause in reading."""

    def connection_closed(self) -> None:
        """Handle the end of the connection; its descriptor has been released."""

    # Reading

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, or abort it if the connection was closed while it was being established."""
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, `pause_writing` is called whenever the socket does not take a write entirely.
        self.transport.set_write_buffer_limits(high=0)
        if self.closed:
            self.transport.abort()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the bytes that the transport reads next."""
        return self.receive_buffer.writable_view()

    def buffer_updated(self, nbytes: int) -> None:
        """Take in `nbytes` bytes that the transport has read."""
        self.receive_buffer.commit(nbytes)
        self.process_input()

    def process_input(self) -> None:
        """Pass on received bytes unless they have to wait; while the buffer is full, pause reading."""
        ring = self.receive_buffer
        while ring.count and not self.parsing_blocked and not self.reading_suspended and not self.closed:
            view = ring.readable_view()
            self.bytes_received(view)
            ring.consume(len(view))
        must_pause = ring.count == ring.size or self.reading_suspended
        if must_pause:
            self.pause_transport()
        elif self.is_transport_paused and self.transport is not None and not self.closed:
            self.is_transport_paused = False
            self.transport.resume_reading()
        if ring.count or self.unprocessed_since:
            self._update_waiting_time()

    def _update_waiting_time(self) -> None:
        """Note since when bytes wait in the buffer or, unread, in the kernel."""
        if self.receive_buffer.count:
            self.unprocessed_since = self.unprocessed_since or clock()
        elif not (self.may_wait_in_kernel and self.unread_in_kernel()):
            self.unprocessed_since = 0
            self.may_wait_in_kernel = False

    def pause_transport(self) -> None:
        """Tell the transport not to read."""
        if not self.is_transport_paused and self.transport is not None and not self.closed:
            self.is_transport_paused = True
            self.may_wait_in_kernel = True
            self.transport.pause_reading()
            self.transport_paused()

    def suspend_reading(self) -> None:
        """Stop reading because the receiver of the bytes is slower.

        The end of the peer's stream is not noticed until the bytes before it have been passed on.
        """
        self.reading_suspended = True
        self.pause_transport()

    def resume_reading(self) -> None:
        """Undo `suspend_reading`."""
        if self.reading_suspended:
            self.reading_suspended = False
            self.process_input()

    # Writing

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the kernel has not taken yet."""
        return self.pending_bytes + self.send_buffer.count

    @property
    def is_flushed(self) -> bool:
        """Whether the kernel has taken all written bytes."""
        return not (self.write_paused or self.pending or self.send_buffer.count or self.write_failed)

    def write(self, *pieces: bytes) -> None:
        """Send the pieces in order.

        No piece is copied as a whole, because many peers may be waiting for long bodies at once.
        """
        self.pending.extend(pieces)
        self.pending_bytes += sum(map(len, pieces))
        self.flush_pending()

    def flush_pending(self) -> None:
        """Pass pending pieces to the kernel, as far as it takes them."""
        ring = self.send_buffer
        while not self.write_paused and not self.closed and self.transport is not None:
            while self.pending and ring.count < ring.size:
                copied_bytes = ring.write_from(self.pending[0], self.pending_offset)
                self.pending_offset += copied_bytes
                self.pending_bytes -= copied_bytes
                if self.pending_offset == len(self.pending[0]):
                    self.pending.popleft()
                    self.pending_offset = 0
            if not ring.count:
                self.output_flushed()
                return
            view = ring.readable_view()
            self.transport.write(view)
            if self.transport.is_closing():
                self.write_failed = True  # the kernel refused the write
                return
            if self.write_paused:
                self.bytes_in_transport = len(view)
                return
            ring.consume(len(view))

    def pause_writing(self) -> None:
        """Note that the transport could not write all bytes at once."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Continue writing, as the transport has written all its bytes."""
        self.write_paused = False
        self.send_buffer.consume(self.bytes_in_transport)
        self.bytes_in_transport = 0
        self.flush_pending()

    # Closing

    def eof_received(self) -> bool:
        """Let the transport close, as the peer has ended its stream."""
        return False

    def can_evict(self) -> bool:
        """Return whether the connection, while idle, can be closed without losing a request."""
        return True

    def unread_input(self) -> bool | None:
        """Return whether anything is left to read.

        Returns:
            None: nothing; False: only the end of the peer's stream; True: bytes.
        """
        return True if self.receive_buffer.count else self.unread_in_kernel()

    def unread_in_kernel(self) -> bool | None:
        """Return whether the kernel has anything left to read; for the values see `unread_input`."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK)) if self.sock is not None else None
        except BlockingIOError:
            return None
        except OSError:  # the socket has failed, so nothing more will be received
            return False

    def is_last_input(self, view: memoryview) -> bool:
        """Return whether nothing waits behind the bytes that are being processed.

        A read that filled the buffer has left more in the kernel, as a rule; that is not looked up.
        """
        ring = self.receive_buffer
        return ring.count == len(view) < ring.size and not self.unread_in_kernel()

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed the connection, even if bytes before that are unread."""
        return self.sock is not None and host_info.peer_has_closed(self.sock)

    def abort(self) -> None:
        """Close the connection at once; the peer is notified before this returns."""
        if self.closed:
            return
        self.closed = True
        self.descriptors.mark_busy(self.handle)
        if self.sock is not None and self.transport is not None:
            with contextlib.suppress(OSError):  # the socket may have been closed already
                self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close the connection by a reset, so that the peer does not take the sent data for complete."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_WITH_RESET)
            self.sock = None  # `abort` would shut it down, which is an orderly close
        self.abort()

    def close(self) -> None:
        """Close the connection in an orderly way; all written bytes must have been flushed."""
        if not self.closed:
            self.closed = True
            self.descriptors.mark_busy(self.handle)
            if self.transport is not None:
                self.transport.close()

    def connection_lost(self, _error: Exception | None) -> None:
        """Release the descriptor after the transport has closed."""
        self.closed = True
        self.release()
        if self.sock is not None:
            # Shut down first, so that the peer is notified before `connection_closed` starts other work.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        self.connection_closed()
        self.transport = None
        self.sock = None

    def release(self) -> None:
        """Return the descriptor to the budget."""
        self.descriptors.release(self.handle)

    def dial_cancelled(self) -> None:
        """Release the descriptor if `dial` was cancelled before its first step; nothing else would do so."""
        if self.transport is None and not self.closed:
            self.closed = True
            self.release()


def configure_socket(sock: socket.socket) -> None:
    """Set the options that all connections need."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_SEND_BUFFER_SIZE)


async def dial(loop: asyncio.AbstractEventLoop, address: tuple[str, int], connection: Connection) -> None:
    """Connect to an address. If this is cancelled, no socket stays open.

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
