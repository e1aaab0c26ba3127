"""HTTP to upstreams: one request at a time on a connection, and what comes back."""

from typing import Protocol

import httptools

from dahliabend.net.protocol import headers as wire
from dahliabend.net.transport.connection import Connection
from dahliabend.net.transport.descriptors import Descriptors


class Asker(Protocol):
    """Whoever has a request out. Exactly one of the last two is called, unless the link is shut first."""

    def written(self) -> None: ...  # whole, before any of these
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
        self.owed = False  # is the request still being written?

    def ask(self, asker: Asker, head: bytes, body: bytes) -> None:
        self.asker = asker
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0  # of the answer, once it has come whole
        self.unread = 0  # bytes since the parser last made something of them
        self.owed = True
        self.write(head, body)

    def flushed(self) -> None:
        if self.owed and self.asker is not None:
            self.owed = False
            self.asker.written()

    # What the parser tells. A fault raised here ends the reading.

    def on_message_begin(self) -> None:
        if self.status:
            raise ValueError("more than was asked for")  # a second copy would be joined to the answer
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.size, self.named, self.load, self.never_ran, self.sized = 0, b"", b"", False, False

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
        elif low == b"content-length":
            self.sized = int(value) <= wire.MOST_ANSWER
        elif low == b"transfer-encoding":
            self.sized = value.strip().lower().endswith(b"chunked")
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.size = self.unread = 0
        status = self.parser.get_status_code()
        # An answer that ends with its connection cannot be told from a cut one, and one too long to be kept
        # is of no use: waited for, either would hold its transaction to the limit.
        if status >= 200 and not self.sized and status not in (204, 304):
            raise ValueError("no length, or too long a body")

    def on_body(self, part: bytes) -> None:
        self.unread = 0
        self.size += len(part)
        if self.size > wire.MOST_ANSWER:
            raise ValueError("too long a body")
        self.body.append(part)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:  # 100 Continue and the like: the answer is still to come
            self.status = status
            # The parser tells here only whether the connection stays open; later it has forgotten.
            self.keep = self.keep and self.parser.should_keep_alive()

    # Bytes and their ends.

    def received(self, view: memoryview) -> None:
        if self.asker is None:
            return self.shut()  # nobody asked: whatever this answers, it is nobody's
        self.unread += len(view)
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.status:
                return self.fail()
            self.keep = False
        if self.status:
            asker, self.asker = self.asker, None
            self.keep = self.keep and not wire.closes(self.named)
            passed = wire.passed_on(self.headers, self.named)
            if self.keep and self.whole:
                self.pool.free(self)
            else:
                self.shut()
            asker.answered(self.status, self.never_ran, self.load, passed, b"".join(self.body))
        elif self.unread > wire.MOST_HEAD:
            self.fail()  # the parser gathers a line without end

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
