"""The output of a connection that the kernel has not taken yet."""

import asyncio

from dahliabend.transport.timers import clock

WRITE_BYTES = 8192  # passed to the transport at once


class BufferedOutput:
    """Writes pieces to a transport as far as the kernel takes them, and keeps the rest.

    Subclasses override `output_flushed`, `update_account` and `update_output_account`.

    Attributes:
        pending: Pieces to write that the kernel has not taken entirely.
        pending_offset: Bytes of the first pending piece that the kernel has taken.
        unsent_bytes: Bytes of the pending pieces that the kernel has not taken yet.
        bytes_in_transport: Bytes of the pending pieces that the transport has not finished writing.
        write_paused: Whether the transport has more bytes than it can write.
        write_paused_at: Clock time (us) at which that was last found.
        write_failed: Whether the kernel refused a write.
        reserved_bytes: Bytes on the account for the connection.
        closed: Whether the connection is closed or being closed.
        transport: The transport; None before the connection is established and after it is lost.
    """

    def __init__(self) -> None:
        self.pending: list[bytes | bytearray] = []
        self.pending_offset = 0
        self.unsent_bytes = 0
        self.bytes_in_transport = 0
        self.write_paused = False
        self.write_paused_at = 0
        self.write_failed = False
        self.reserved_bytes = 0
        self.closed = False
        self.transport: asyncio.Transport | None = None

    def output_flushed(self) -> None:
        """Handle the completed write of all bytes to the kernel."""

    def update_account(self) -> None:
        """Set what the connection holds on the account; other connections may have to give up memory."""

    def update_output_account(self) -> None:
        """Set what the connection holds on the account, and nothing else."""

    @property
    def is_flushed(self) -> bool:
        """Whether the kernel has taken all written bytes."""
        return not (self.pending or self.write_failed)

    def write(self, *pieces: bytes) -> None:
        """Send the pieces in order; the large ones are not copied as a whole."""
        size = sum(map(len, pieces))
        self.unsent_bytes += size
        if size > WRITE_BYTES:
            self.pending.extend(piece for piece in pieces if piece)
        elif size:
            self._append_small(b"".join(pieces))
        if self.write_paused:
            self.update_output_account()
        else:
            self.flush_pending()

    def _append_small(self, data: bytes) -> None:
        """Append a small piece; while writing is paused, small pieces are merged into one object."""
        if not self.write_paused:
            self.pending.append(data)
            return
        last = self.pending[-1] if len(self.pending) > 1 else None  # the transport may read the first one
        if isinstance(last, bytearray) and len(last) < WRITE_BYTES:
            last += data
        else:
            self.pending.append(bytearray(data))

    def flush_pending(self) -> None:
        """Pass pending pieces to the kernel, as far as it takes them."""
        while not self.write_paused and not self.closed and self.transport is not None:
            if not self.pending:
                self.output_flushed()
                if self.reserved_bytes:
                    self.update_output_account()
                return
            data = self._next_output()
            self.transport.write(data)
            if self.transport.is_closing():
                self.write_failed = True  # the kernel refused the write
                return
            if self.write_paused:
                self.bytes_in_transport = len(data)
                self.update_output_account()
                return
            self._output_written(len(data))

    def _next_output(self) -> bytes | bytearray | memoryview:
        """Return the next bytes to write, small pieces joined."""
        if len(self.pending) == 1 and self.unsent_bytes <= WRITE_BYTES and not self.pending_offset:
            return self.pending[0]
        first = memoryview(self.pending[0])[self.pending_offset : self.pending_offset + WRITE_BYTES]
        if len(first) == WRITE_BYTES or len(self.pending) == 1:
            return first
        parts: list[bytes | bytearray | memoryview] = [first]
        space = WRITE_BYTES - len(first)
        for piece in self.pending[1:]:
            parts.append(memoryview(piece)[:space])
            space -= len(parts[-1])
            if not space:
                break
        return b"".join(parts)

    def _output_written(self, count: int) -> None:
        """Remove bytes that the kernel has taken from the pending pieces."""
        self.unsent_bytes -= count
        if not self.unsent_bytes:
            self.pending.clear()
            self.pending_offset = 0
            return
        self.pending_offset += count
        while self.pending and self.pending_offset >= len(self.pending[0]):
            self.pending_offset -= len(self.pending.pop(0))

    def drop_output(self) -> None:
        """Drop what has not been sent, after the connection has been closed."""
        self.pending = []
        self.pending_offset = 0
        self.unsent_bytes = 0
        self.bytes_in_transport = 0
        self.update_output_account()

    def pause_writing(self) -> None:
        """Note that the transport could not write all bytes at once."""
        self.write_paused = True
        self.write_paused_at = clock()

    def resume_writing(self) -> None:
        """Continue writing, as the transport has written all its bytes."""
        self.write_paused = False
        self._output_written(self.bytes_in_transport)
        self.bytes_in_transport = 0
        self.flush_pending()
        self.update_account()
