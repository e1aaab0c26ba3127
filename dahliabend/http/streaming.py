"""A request's body that is too long to be buffered: it is passed on piece by piece, while it comes."""

from typing import Protocol

from dahliabend.http.headers import MAX_BUFFERED_BYTES
from dahliabend.transport.timers import clock

LAST_CHUNK = b"0\r\n\r\n"


class BodyObserver(Protocol):
    """Whoever is notified that part of a body is gone, so that it cannot be sent again."""

    def body_consumed(self) -> None:
        """A part that was passed on is not buffered any more."""


class BodySource(Protocol):
    """The connection that a body, or a response, comes from."""

    @property
    def reading_suspended(self) -> bool:
        """Whether it reads nothing for now."""

    def suspend_reading(self) -> None:
        """Reads nothing for now."""

    def continue_reading(self) -> None:
        """Reads on."""


class BodySink(Protocol):
    """The connection that a body is written to."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not sent yet."""

    def write(self, *pieces: bytes) -> None:
        """Sends the pieces."""

    def upload_finished(self, terminator: bytes) -> None:
        """The whole body has been written, but for these bytes."""


class StreamingBody:
    """What has come of a body, and the connection that it is passed on to.

    It is buffered up to `MAX_BUFFERED_BYTES`: up to there, an attempt that was never executed may be followed
    by another. It holds its source back while nobody takes it, or whoever does is slower.

    Attributes:
        source: The connection that it comes from.
        length: Its length in bytes; None if it comes in chunks.
        parts: What is buffered, from its beginning.
        size: Bytes that have come.
        observer: Notified once the beginning is not buffered any more.
        sink: The connection that it is written to, if any.
        is_complete: All of it has come.
        is_discarded: Its beginning is not buffered any more.
        last_progress: Clock time at which bytes last came or went.
        completed_at: Clock time at which its last byte came.
    """

    def __init__(self, source: BodySource, length: int | None, parts: list[bytes]) -> None:
        self.source = source
        self.length = length
        self.parts = parts
        self.size = sum(map(len, parts))
        self.observer: BodyObserver | None = None
        self.sink: BodySink | None = None
        self.is_complete = False
        self.is_discarded = False
        self.last_progress = clock()
        self.completed_at = self.last_progress

    def feed(self, part: bytes) -> None:
        """Takes the next bytes in."""
        self.size += len(part)
        self.last_progress = clock()
        if not self.is_discarded:
            if self.sink is None or self.size <= MAX_BUFFERED_BYTES:
                self.parts.append(part)
            else:
                self._discard()
        if self.sink is None:
            self.source.suspend_reading()
        else:
            self._write(self.sink, part)

    def _discard(self) -> None:
        self.is_discarded = True
        self.parts = []
        if self.observer is not None:
            self.observer.body_consumed()

    def mark_complete(self) -> None:
        """All of it has come."""
        self.is_complete = True
        self.completed_at = clock()
        if self.sink is not None:
            self.sink.upload_finished(self._terminator())

    def attach(self, sink: BodySink) -> None:
        """Writes it to this connection from now on, from its beginning."""
        self.sink = sink
        for part in self.parts:
            self._write(sink, part)
        if self.is_complete:
            sink.upload_finished(self._terminator())
        else:
            self.source.continue_reading()

    def _write(self, sink: BodySink, part: bytes) -> None:
        if self.length is None:
            sink.write(b"%x\r\n" % len(part), part, b"\r\n")
        else:
            sink.write(part)
        # The write may have failed, and detached it.
        if self.sink is not None and self.sink.unsent_bytes > MAX_BUFFERED_BYTES:
            self.source.suspend_reading()

    def _terminator(self) -> bytes:
        return b"" if self.length is not None else LAST_CHUNK

    def sink_flushed(self) -> None:
        """The sink has sent all that was written."""
        self.last_progress = clock()
        if self.source.reading_suspended:
            self.source.continue_reading()

    def detach(self) -> None:
        """The sink has ended."""
        self.sink = None
