"""A request's body too long to be kept: it passes piece by piece, while it comes."""

from typing import Protocol

from dahliabend.http.headers import KEPT
from dahliabend.transport.connection import Connection
from dahliabend.transport.timers import clock


class Reader(Protocol):
    """Who is told that a part of it is gone, so that it can't be sent once more."""

    def passed_by(self) -> None: ...


class Body:
    """What has come is kept until it goes beyond KEPT: up to there a hop that never ran may be followed by
    another. It holds its sender back while nobody takes it, or whoever does is slower."""

    def __init__(self, source: Connection, length: int | None, parts: list[bytes]) -> None:
        self.source, self.length, self.parts = source, length, parts
        self.size = sum(map(len, parts))
        self.reader: Reader | None = None
        self.sink: Connection | None = None  # the link that it is written to
        self.whole = self.gone = False
        self.moved = self.ended_at = clock()

    def feed(self, part: bytes) -> None:
        self.size += len(part)
        self.moved = clock()
        if not self.gone and (self.sink is None or self.size <= KEPT):
            self.parts.append(part)
        elif not self.gone:
            self.gone = True
            self.parts = []
            if self.reader is not None:
                self.reader.passed_by()
        if self.sink is None:
            self.source.halt()
        else:
            self.write(part)

    def end(self) -> None:
        self.whole, self.ended_at = True, clock()
        if self.sink is not None:
            self.sink.sent(self.last())

    def flow(self, sink: Connection) -> None:
        """To this link from now on, from its beginning."""
        self.sink = sink
        for part in self.parts:
            self.write(part)
        if self.whole:
            sink.sent(self.last())
        else:
            self.source.proceed()

    def write(self, part: bytes) -> None:
        if self.length is None:
            self.sink.write(b"%x\r\n" % len(part), part, b"\r\n")
        else:
            self.sink.write(part)
        if self.sink is not None and self.sink.backlog > KEPT:
            self.source.halt()

    def last(self) -> bytes:
        return b"" if self.length is not None else b"0\r\n\r\n"

    def drained(self) -> None:
        """The link has taken all that there was."""
        self.moved = clock()
        if self.source.halted:
            self.source.proceed()

    def cut(self) -> None:
        """The link has ended."""
        self.sink = None
