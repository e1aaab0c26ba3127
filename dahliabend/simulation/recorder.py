"""What the peers and the wire saw: one time line, its digest, and who is told of what.

The checks and the fault scripts live on this alone. the network code is never asked.
"""

from collections.abc import Callable
from hashlib import blake2b

import httptools

from dahliabend.simulation.event_loop import START, Kernel
from dahliabend.simulation.network import End

MOST_LINES = 400_000  # a longer time line is cut, and its digest goes on


class Witness:
    """`witness(kind, *values)` notes one thing seen, now. Values are plain: names, numbers, bytes."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.lines: list[tuple] = []
        self.heard: dict[str, list[Callable]] = {}
        self.hash = blake2b(digest_size=12)

    def on(self, kind: str, call: Callable) -> None:
        self.heard.setdefault(kind, []).append(call)

    def __call__(self, kind: str, *values) -> None:
        line = (self.kernel.now - START, kind, *values)
        if len(self.lines) < MOST_LINES:
            self.lines.append(line)
        else:
            self.hash.update(repr(line).encode())
        for call in self.heard.get(kind, ()):
            call(*values)

    def digest(self) -> str:
        """Of all that was seen; the same wherever the same run is played."""
        whole = self.hash.copy()
        whole.update(repr(self.lines).encode())
        return whole.hexdigest()


class HopTap:
    """Reads along what a balancer writes to an upstream: when a hop's first and last byte were written."""

    def __init__(self, witness: Witness, end: End, balancer: str, upstream: str) -> None:
        self.witness, self.end, self.balancer, self.upstream = witness, end, balancer, upstream
        self.parser = httptools.HttpRequestParser(self)
        self.first = 0
        self.trace, self.path, self.told = "", b"", 0

    def sent(self, part: bytes) -> None:
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserError as error:
            self.witness("unreadable", self.upstream, self.balancer, str(error))

    def answered(self, part: bytes) -> None: ...

    def on_message_begin(self) -> None:
        self.first, self.trace, self.path, self.told = self.witness.kernel.now, "", b"", 0

    def on_url(self, part: bytes) -> None:
        self.path += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-trace-id":
            self.trace = value.decode("latin-1")
        elif name.lower() == b"x-expires-in-ms" and value.isdigit():
            self.told = int(value)

    def on_headers_complete(self) -> None:
        if not self.path.startswith(b"/-/"):
            self.witness("hop.told", self.trace, self.upstream, self.told)
            self.witness("hop.head", self.trace, self.balancer, self.upstream, self.end.number, self.first)

    def on_message_complete(self) -> None:
        if not self.path.startswith(b"/-/"):
            self.witness("hop.whole", self.trace, self.balancer, self.upstream, self.end.number)
