"""Streaming of request bodies that are too long to be buffered: they are sent on while they are received."""

from typing import Protocol

from dahliabend.http.headers import MAX_BUFFERED_BYTES
from dahliabend.transport.timers import clock

LAST_CHUNK = b"0\r\n\r\n"
# Bytes that can lie unread in the kernels: by default Linux lets a send buffer grow to 4 MiB, and a receive
# buffer to 6 MiB.
MAX_BYTES_IN_KERNELS = 10 * 1024 * 1024
# Microseconds of reading after which nothing is on its way any more that waited while reading was suspended.
BACKLOG_TRANSFER_TIME = 100_000


class BodyObserver(Protocol):
    """An object that is notified when the beginning of a body is dropped, so that it cannot be resent."""

    def body_consumed(self) -> None:
        """Handle a body whose beginning has been dropped."""


class BodySource(Protocol):
    """The connection that a body is received on."""

    @property
    def reading_suspended(self) -> bool:
        """Whether reading is suspended."""

    def suspend_reading(self) -> None:
        """Stop reading until `resume_reading` is called."""

    def resume_reading(self) -> None:
        """Resume reading."""

    def unread_input(self) -> bool | None:
        """Return whether anything is left to read; None: nothing, False: only the end of the stream."""


class BodySink(Protocol):
    """The connection that a body is written to."""

    def has_full_output(self) -> bool:
        """Return whether what was written has to be sent before more is added."""

    def write(self, *pieces: bytes) -> None:
        """Write the pieces."""

    def finish_upload(self, terminator: bytes) -> None:
        """Write the terminator, the last bytes of the body's encoding."""


class StreamingBody:
    """The received beginning of a body, and the connection that the body is written to.

    Up to `MAX_BUFFERED_BYTES` the body is kept in memory, so that an attempt that was not executed can be
    followed by another. The source is suspended while the body has no sink, and while the sink is slower than
    the source.

    The client's timeout runs from its last byte. While the source is suspended, the client may have sent that
    byte already; it lies unread in the kernel. `possibly_sent_since` tells since when this is possible.

    Attributes:
        source: The connection that the body is received on.
        length: Length of the body in bytes; None if it is received in chunks.
        beginning: The buffered beginning of the body.
        size: Bytes received so far.
        observer: Notified when the beginning of the body is dropped.
        sink: The connection that the body is written to, if any.
        is_complete: Whether the whole body has been received.
        is_beginning_dropped: Whether the beginning of the body has been dropped, so that it cannot be resent.
        last_progress: Clock time (us) at which bytes were last received or sent.
        possibly_sent_since: Clock time (us) since which the client may have sent its last byte; None while it
            is known to have more to send.
        resumed_at: Clock time (us) since which the source has been read, if it is not suspended.
    """

    def __init__(self, source: BodySource, length: int | None, beginning: bytes = b"") -> None:
        self.source = source
        self.length = length
        self.beginning = bytearray(beginning)
        self.size = len(beginning)
        self.observer: BodyObserver | None = None
        self.sink: BodySink | None = None
        self.is_complete = False
        self.is_beginning_dropped = False
        self.last_progress = clock()
        self.possibly_sent_since: int | None = None
        self.resumed_at = self.last_progress - BACKLOG_TRANSFER_TIME  # its head was read without a pause

    def feed(self, data: bytes) -> None:
        """Buffer the next bytes, and write them to the sink if there is one."""
        self.size += len(data)
        self.last_progress = clock()
        if not self.is_beginning_dropped:
            if self.sink is None or self.size <= MAX_BUFFERED_BYTES:
                self.beginning += data
            else:
                self._drop_beginning()
        if self._client_has_more():
            self.possibly_sent_since = None
        if self.sink is None:
            self._suspend_source()
        else:
            self._write(self.sink, data)

    def _client_has_more(self) -> bool:
        """Return whether more is missing than can lie unread in the kernels."""
        return self.length is not None and self.length - self.size > MAX_BYTES_IN_KERNELS

    def _suspend_source(self) -> None:
        if self.possibly_sent_since is None:
            self.possibly_sent_since = clock()
        self.source.suspend_reading()

    def input_consumed(self) -> None:
        """Note that all that has arrived was read: of an incomplete body, the client has more to send.

        Shortly after reading was resumed this does not follow: what waited until then may be on its way.
        """
        now = clock()
        if not self.is_complete and now - self.resumed_at >= BACKLOG_TRANSFER_TIME:
            self.possibly_sent_since = now if self.source.reading_suspended else None

    def note_silence(self) -> None:
        """Note that all that has arrived was read, if it is so, although no byte has come to show it."""
        if not (self.source.reading_suspended or self.source.unread_input()):
            self.input_consumed()

    def _drop_beginning(self) -> None:
        self.is_beginning_dropped = True
        self.beginning = bytearray()
        if self.observer is not None:
            self.observer.body_consumed()

    def mark_complete(self) -> None:
        """Handle the end of the body."""
        self.is_complete = True
        if self.possibly_sent_since is None:
            self.possibly_sent_since = clock()
        if self.sink is not None:
            self.sink.finish_upload(self._terminator())
        if self.source.reading_suspended:
            self.source.resume_reading()  # what follows is not part of this body

    def attach(self, sink: BodySink) -> None:
        """Write the body to this connection, from its beginning."""
        self.sink = sink
        if self.beginning:
            self._write(sink, bytes(self.beginning))
        if self.is_complete:
            sink.finish_upload(self._terminator())
        else:
            self._resume_source()

    def _write(self, sink: BodySink, data: bytes) -> None:
        if self.length is None:
            sink.write(b"%x\r\n" % len(data), data, b"\r\n")
        else:
            sink.write(data)
        # A failed write detaches the sink.
        if self.sink is not None and self.sink.has_full_output():
            self._suspend_source()

    def _terminator(self) -> bytes:
        return b"" if self.length is not None else LAST_CHUNK

    def sink_flushed(self) -> None:
        """Resume reading from the source, as the sink has sent all that was written."""
        self.last_progress = clock()
        if self.source.reading_suspended:
            self._resume_source()

    def _resume_source(self) -> None:
        if self.is_beginning_dropped or self._has_waited_long():
            self.resumed_at = clock()
        self.source.resume_reading()

    def _has_waited_long(self) -> bool:
        """Return whether much may have come while the body had no sink, as it has while one is opened."""
        since = self.possibly_sent_since
        return since is not None and clock() - since >= BACKLOG_TRANSFER_TIME

    def detach(self) -> None:
        """Forget the sink, which has closed or takes no more of the body."""
        self.sink = None
