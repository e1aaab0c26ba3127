"""A connection: one socket, its input that is not processed yet, and its output that is not sent yet."""

import asyncio
import contextlib
import socket
import struct
from typing import cast

from dahliabend.transport import host_info
from dahliabend.transport.buffered_output import BufferedOutput
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.loop_budget import CONNECTION_TIME, RECEIVE_AREA_BYTES
from dahliabend.transport.memory_budget import ReliefRank
from dahliabend.transport.timers import clock

MIN_STEP = 1024  # bytes; fewer are passed on at once in any case
# Bytes. Without a limit the kernel's buffer grows to megabytes. Bytes in it count as written, so a peer that
# reads slowly would seem to make no progress while the buffer is emptied.
KERNEL_SEND_BUFFER_SIZE = 256 * 1024
_LINGER_WITH_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: enabled, with a timeout of 0 s


class Connection(BufferedOutput, asyncio.BufferedProtocol):
    """Reads from and writes to a socket, with backpressure in both directions.

    Subclasses give the bytes a meaning by overriding `bytes_received`, `output_flushed`, `transport_paused`
    and `connection_closed`. The socket's descriptor counts against the `DescriptorBudget` from the
    constructor until `release`, what is buffered against the `MemoryBudget`, and the processing of input
    against the `LoopBudget`.

    Attributes:
        reads_less_if_memory_is_scarce: Whether a read takes no more than one direction may buffer then.
        handle: Handle of this connection in the descriptor budget.
        memory: The account of what is buffered.
        loop_budget: Divides the event loop's time among the connections.
        attained_time: Processing time (us) since no input was left.
        last_input_at: Clock time (us) of the last read.
        unprocessed: Bytes that were received and not yet passed to `bytes_received`.
        has_more_input: Whether more input follows the bytes that are being processed.
        parsing_blocked: Whether received bytes have to wait until earlier requests are answered.
        reading_suspended: Whether reading is stopped because the receiver of the bytes is slower.
        is_transport_paused: Whether the transport has been told not to read.
        is_paused_for_iteration: Whether that is so only until the input has been processed in a later turn.
        unprocessed_since: Clock time (us) since which received bytes may have waited; 0 if none wait.
        waited_since: Clock time (us) since which the connection may have waited to be accepted; 0 if it has
            not, and after its first read.
        may_wait_in_kernel: Whether bytes may have waited in the kernel, because reading was paused.
        has_failed: Whether the connection has ended by a reset or another error.
        close_reason: Why this process has closed it, if that is worth a note; else empty.
        sock: The socket; None before it is connected, and after the connection is lost or reset.
    """

    reads_less_if_memory_is_scarce = False

    def __init__(self, descriptors: DescriptorBudget) -> None:
        super().__init__()
        self.descriptors = descriptors
        self.memory = descriptors.memory
        self.loop_budget = descriptors.loop_budget
        self.handle = descriptors.register(self)
        self.attained_time = 0
        self.last_input_at = 0
        self.unprocessed = bytearray()
        self.has_more_input = False
        self.parsing_blocked = False
        self.reading_suspended = False
        self.is_transport_paused = False
        self.is_paused_for_iteration = False
        self.unprocessed_since = 0
        self.waited_since = 0
        self.may_wait_in_kernel = False
        self.has_failed = False
        self.close_reason = ""
        self.sock: socket.socket | None = None

    # Methods that subclasses override

    def bytes_received(self, view: memoryview) -> None:
        """Process received bytes; the view is valid during the call only."""

    def transport_paused(self) -> None:
        """Handle a pause in reading."""

    def connection_closed(self) -> None:
        """Handle the end of the connection; its descriptor has been released."""

    def input_step(self) -> int:
        """Return how many bytes may be passed to `bytes_received` at once."""
        return RECEIVE_AREA_BYTES

    def buffered_bytes(self) -> int:
        """Return how many bytes this connection holds for its peer, in both directions."""
        return len(self.unprocessed) + self.unsent_bytes

    def has_full_output(self) -> bool:
        """Return whether the output that is not sent yet has to shrink before more is added."""
        return self.unsent_bytes > self.memory.allowance()

    def relief_rank(self, now: int) -> ReliefRank | None:
        """Return in which order the connection has to give up what it holds; None: it can't."""
        del now
        return None

    def relieve(self) -> None:
        """Give up what the connection holds."""

    # Reading

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, or abort it if the connection was closed while it was being established."""
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, `pause_writing` is called whenever the socket does not take a write entirely.
        self.transport.set_write_buffer_limits(high=0)
        if self.closed:
            self.transport.abort()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the bytes that the transport reads next; empty while input has to wait."""
        limit = RECEIVE_AREA_BYTES - len(self.unprocessed)
        if self.reads_less_if_memory_is_scarce and self.memory.buffered > self.memory.scarce_above:
            limit = min(limit, self.memory.allowance())
        return self.loop_budget.read_view(limit)

    def buffer_updated(self, nbytes: int) -> None:
        """Take in `nbytes` bytes that the transport has read."""
        if self.closed:
            return
        view = self.loop_budget.receive_area[:nbytes]
        now = clock()
        self.last_input_at = now
        if self.unprocessed:
            self.unprocessed += view
        elif self.parsing_blocked or self.reading_suspended:
            self.unprocessed += view
            self.unprocessed_since = self.unprocessed_since or now
        elif self.loop_budget.has_time(now):
            if self.waited_since or self.loop_budget.was_long:
                self._note_waiting_time(now)
            self._process(view, now)
        else:
            if self.waited_since or self.loop_budget.was_long:
                self._note_waiting_time(now)
            self.unprocessed += view
            self.loop_budget.defer(self)
        self._input_processed()

    def _note_waiting_time(self, now: int) -> None:
        """Note since when the bytes of a read may have waited: for the accept, or for a long turn to end."""
        earliest = self.waited_since or self.loop_budget.long_since
        self.waited_since = 0
        if self.sock is not None and not self.unprocessed_since:
            self.unprocessed_since = max(earliest, now - host_info.time_since_data(self.sock))

    def process_input(self) -> None:
        """Pass on received bytes unless they have to wait; while too many wait, pause reading."""
        if self.unprocessed and not (self.parsing_blocked or self.reading_suspended or self.closed):
            waiting = self.unprocessed
            self.unprocessed = bytearray()
            self._process(memoryview(waiting), clock())
        self._input_processed()

    def _process(self, view: memoryview, began_at: int) -> None:
        """Pass on bytes in steps, and defer the rest once the connection's share of the turn is used up."""
        position = 0
        size = len(view)
        while not (self.parsing_blocked or self.reading_suspended or self.closed):
            step = size - position
            if step > MIN_STEP:
                step = min(step, self.input_step())
            end = position + step
            self.has_more_input = end < size
            self.bytes_received(view[position:end])
            position = end
            if position == size:
                break
            if clock() - began_at > CONNECTION_TIME:
                self.loop_budget.defer(self)
                break
        if size > MIN_STEP:
            self.attained_time += clock() - began_at
        if position < size and not self.closed:
            self.unprocessed += view[position:]

    def _input_processed(self) -> None:
        """Pause or resume reading as the rest of the input demands, and account for what is held."""
        waiting = len(self.unprocessed)
        if self in self.loop_budget.deferred:
            self._pause_for_iteration()
        elif waiting >= RECEIVE_AREA_BYTES or self.reading_suspended:
            self.pause_transport()
        elif self.is_transport_paused and self.transport is not None and not self.closed:
            self.is_transport_paused = False
            self.is_paused_for_iteration = False
            self.transport.resume_reading()
        if waiting or self.unprocessed_since:
            self._update_waiting_time()
        buffered = (
            0 if self.transport is None else self.buffered_bytes()
        )  # as `update_account`, without its call
        if buffered != self.reserved_bytes:
            self.memory.set_reserved(self, buffered)
        if self.memory.reserved > self.memory.high_water:
            self.memory.relieve_if_needed()

    def update_account(self) -> None:
        """Set what the connection holds on the account, and make room if too much is held in all."""
        buffered = 0 if self.transport is None else self.buffered_bytes()
        if buffered != self.reserved_bytes:
            self.memory.set_reserved(self, buffered)
        if self.memory.reserved > self.memory.high_water:
            self.memory.relieve_if_needed()

    def _update_waiting_time(self) -> None:
        """Note since when bytes wait in the buffer or, unread, in the kernel."""
        if self.unprocessed:
            self.unprocessed_since = self.unprocessed_since or clock()
        elif not (self.may_wait_in_kernel and self.unread_in_kernel()):
            self.unprocessed_since = 0
            self.may_wait_in_kernel = False

    def pause_transport(self) -> None:
        """Tell the transport not to read."""
        if self.is_transport_paused and not self.is_paused_for_iteration:
            return
        self._pause_for_iteration()
        if self.is_transport_paused:
            self.is_paused_for_iteration = False
            self.transport_paused()

    def _pause_for_iteration(self) -> None:
        """Tell the transport not to read until the connection's input has been processed in a later turn."""
        if not self.is_transport_paused and self.transport is not None and not self.closed:
            self.is_transport_paused = True
            self.is_paused_for_iteration = True
            self.may_wait_in_kernel = True
            self.transport.pause_reading()

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

    def update_output_account(self) -> None:
        """Set what the connection holds on the account after a write that the kernel has not taken.

        Other connections give up nothing at once, because this may be called while one processes its input.
        """
        buffered = self.buffered_bytes()
        if buffered != self.reserved_bytes:
            self.memory.set_reserved(self, buffered)

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
        return True if self.unprocessed else self.unread_in_kernel()

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
        has_filled_buffer = len(view) == RECEIVE_AREA_BYTES
        return not (self.has_more_input or has_filled_buffer or self.unread_in_kernel())

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed the connection, even if bytes before that are unread."""
        return self.sock is not None and host_info.peer_has_closed(self.sock)

    def abort(self, reason: str = "") -> None:
        """Close the connection at once; the peer is notified before this returns."""
        if self.closed:
            return
        self.closed = True
        if reason:
            self.close_reason = reason
            self.descriptors.closed_by_reason[reason] += 1
        self.descriptors.mark_busy(self.handle)
        if self.sock is not None and self.transport is not None:
            with contextlib.suppress(OSError):  # the socket may have been closed already
                self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:
            self.transport.abort()

    def reset(self, reason: str = "") -> None:
        """Close the connection by a reset, so that the peer does not take the sent data for complete."""
        if self.sock is not None:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_WITH_RESET)
            self.sock = None  # `abort` would shut it down, which is an orderly close
        self.abort(reason)

    def close(self) -> None:
        """Close the connection in an orderly way; all written bytes must have been flushed."""
        if not self.closed:
            self.closed = True
            self.descriptors.mark_busy(self.handle)
            if self.transport is not None:
                self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Release the descriptor and what is held after the transport has closed."""
        self.closed = True
        self.has_failed = error is not None
        self.release()
        self.loop_budget.forget(self)
        self.unprocessed = bytearray()
        if self.sock is not None:
            # Shut down first, so that the peer is notified before `connection_closed` starts other work.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        self.connection_closed()
        self.transport = None
        self.sock = None
        self.update_account()

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
