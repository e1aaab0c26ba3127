"""HTTP to upstreams: one request at a time on a connection, and what comes back."""

from typing import Protocol

import httptools

from dahliabend.net.protocol import headers as wire
from dahliabend.net.transport.connection import Connection
from dahliabend.net.transport.descriptors import Descriptors


class Asker(Protocol):
    """Whoever has a request out. Exactly one of these is called, unless the link is shut first."""

    def answered(self, status: int, never_ran: bool, load: bytes, passed: bytes, body: bytes) -> None: ...
    def broke(self, written: bool) -> None: ...


class Pool(Protocol):
    def free(self, link: "Link") -> None: ...
    def gone(self, link: "Link") -> None: ...


class Link(Connection):
    """One connection to an upstream."""

    def __init__(self, descriptors: Descriptors, pool: Pool) -> None:
        super().__init__(descriptors)
        self.pool = pool
        self.asker: Asker | None = None
        self.keep = True
        self.parser: httptools.HttpResponseParser | None = None

    def ask(self, asker: Asker, head: bytes, body: bytes) -> None:
        self.asker = asker
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.size, self.named, self.load, self.never_ran = 0, b"", b"", False
        self.sized = self.complete = False
        self.write(head, body)

    # What the parser tells.

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value) + 4
        if self.size > wire.MOST_HEAD:
            raise ValueError("too long a head")
        low = name.lower()
        if low == wire.LOAD:
            self.load = value
        elif low == wire.NEVER_RAN:
            self.never_ran = value == b"1"
        elif low == b"connection":
            self.named += b"," + value
        elif low in (b"content-length", b"transfer-encoding"):
            self.sized = True
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.size = 0
        if self.parser.get_status_code() < 200:  # 100 Continue and the like: the answer is still to come
            self.headers, self.sized = [], False

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > wire.MOST_BODY:
            raise ValueError("too long a body")
        self.body.append(part)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        # An answer that ends with its connection cannot be told from a cut one, and counts as that.
        if status < 200 or not (self.sized or status in (204, 304)):
            return
        # A second answer to one request: the connection is not to be trusted. The parser tells here only
        # whether the connection stays open; once this returns it has forgotten.
        self.keep = self.keep and not self.complete and self.parser.should_keep_alive()
        self.complete = True

    # Bytes and their ends.

    def received(self, view: memoryview) -> None:
        if self.asker is None:
            return self.shut()  # nobody asked: whatever this answers, it is nobody's
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                return self.fail()
            self.keep = False
        if self.complete:
            asker, self.asker = self.asker, None
            self.keep = self.keep and not wire.closes(self.named)
            status, passed = self.parser.get_status_code(), wire.passed_on(self.headers, self.named)
            if self.keep and self.whole:
                self.pool.free(self)
            else:
                self.shut()
            asker.answered(status, self.never_ran, self.load, passed, b"".join(self.body))

    def fail(self) -> None:
        asker = self.asker
        asker.broke(self.drop_asker())

    def drop_asker(self) -> bool:
        """Gives up the request that is out; was it written whole?"""
        self.asker = None
        written = self.whole
        self.shut()
        return written

    def lost(self) -> None:
        self.parser = None  # it holds this connection and its rings
        self.pool.gone(self)
        asker, self.asker = self.asker, None
        if asker is not None:
            asker.broke(self.whole)
