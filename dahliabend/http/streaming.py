"""A request's body too long to be kept: it passes piece by piece, while it comes."""

from typing import Protocol

from dahliabend.http.headers import MAX_BUFFERED_BYTES
from dahliabend.transport.connection import Connection
from dahliabend.transport.timers import clock


class BodyObserver(Protocol):
    """Who is told that a part of it is gone, so that it can't be sent once more."""

    def body_consumed(self) -> None: ...


class StreamingBody:
    """What has come is kept until it goes beyond KEPT: up to there a hop that never ran may be followed by
    another. It holds its sender back while nobody takes it, or whoever does is slower."""

    def __init__(self, source: Connection, length: int | None, parts: list[bytes]) -> None:
        self.source, self.length, self.parts = source, length, parts
        self.size = sum(map(len, parts))
        self.observer: BodyObserver | None = None
        self.sink: Connection | None = None  # the link that it is written to
        self.is_complete = self.is_discarded = False
        self.last_progress = self.ended_at = clock()

    def feed(self, part: bytes) -> None:
        self.size += len(part)
        self.last_progress = clock()
        if not self.is_discarded and (self.sink is None or self.size <= MAX_BUFFERED_BYTES):
            self.parts.append(part)
        elif not self.is_discarded:
            self.is_discarded = True
            self.parts = []
            if self.observer is not None:
                self.observer.body_consumed()
        if self.sink is None:
            self.source.suspend_reading()
        else:
            self.write(part)

    def mark_complete(self) -> None:
        self.is_complete, self.ended_at = True, clock()
        if self.sink is not None:
            self.sink.upload_finished(self.terminator())

    def attach(self, sink: Connection) -> None:
        """To this link from now on, from its beginning."""
        self.sink = sink
        for part in self.parts:
            self.write(part)
        if self.is_complete:
            sink.upload_finished(self.terminator())
        else:
            self.source.continue_reading()

    def write(self, part: bytes) -> None:
        if self.length is None:
            self.sink.write(b"%x\r\n" % len(part), part, b"\r\n")
        else:
            self.sink.write(part)
        if self.sink is not None and self.sink.unsent_bytes > MAX_BUFFERED_BYTES:
            self.source.suspend_reading()

    def terminator(self) -> bytes:
        return b"" if self.length is not None else b"0\r\n\r\n"

    def sink_flushed(self) -> None:
        """The link has taken all that there was."""
        self.last_progress = clock()
        if self.source.reading_suspended:
            self.source.continue_reading()

    def detach(self) -> None:
        """The link has ended."""
        self.sink = None
