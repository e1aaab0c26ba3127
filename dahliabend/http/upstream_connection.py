"""HTTP to upstreams: one request at a time on a connection, and what comes back."""

from typing import Protocol

import httptools

from dahliabend.http import headers as wire
from dahliabend.http.streaming import Body
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import Descriptors


class Asker(Protocol):
    """Whoever has a request out. Exactly one of the last two is called, unless the link is shut first."""

    def written(self) -> None: ...  # whole, before any of these
    def coming(self) -> None: ...  # an answer of unknown length has begun to come
    def began(self, passed: bytes, length: int | None) -> None: ...  # a long one: it is not kept
    def part(self, part: bytes) -> None: ...
    def answered(self, status: int, never_ran: bool, load: bytes, passed: bytes, body: bytes) -> None: ...
    def broke(self, written: bool) -> None: ...


class Pool(Protocol):
    table: object  # whose deadlines know the loop

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
        self.upload: Body | None = None  # that still comes

    @property
    def whole(self) -> bool:
        return self.upload is None and super().whole

    def ask(self, asker: Asker, head: bytes, body: bytes, upload: Body | None = None) -> None:
        self.asker = asker
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0  # of the answer, once it has come whole
        self.unread = 0  # bytes since the parser last made something of them
        self.flowing, self.headed, self.why = False, False, ""  # `why`: what could not be read
        self.owed, self.upload = True, upload
        self.write(head, body)
        if upload is not None:
            upload.flow(self)

    def proceed(self) -> None:
        self.pool.table.deadlines.loop.call_soon(super().proceed)  # never from within a call that writes

    def sent(self, last: bytes) -> None:
        """The whole body has been handed over."""
        self.upload = None
        self.write(last)

    def flushed(self) -> None:
        if self.upload is not None:
            self.upload.drained()
        elif self.owed and self.asker is not None:
            self.owed = False
            self.asker.written()

    # What the parser tells. A fault raised here ends the reading.

    def on_message_begin(self) -> None:
        if self.status:
            raise ValueError("more than was asked for")  # a second copy would be joined to the answer
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.size, self.named, self.load, self.never_ran, self.sized = 0, b"", b"", False, False
        self.length: int | None = None
        self.headed = self.until_end = self.coded = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:
            return  # a trailer
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
            self.length = int(value)
            self.sized = self.length <= wire.MOST
        elif low == b"transfer-encoding":
            self.coded = True
            self.sized = value.strip().lower().endswith(b"chunked")
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.size = self.unread = 0
        status = self.parser.get_status_code()
        self.headed = status >= 200
        # What says neither its length nor that its connection ends with it can't be told from a spoilt head,
        # and one too long is of no use: waited for, either would hold its transaction to the limit.
        unsized = self.length is None and not self.coded
        self.until_end = self.headed and unsized and wire.closes(self.named)
        if self.headed and not (self.sized or self.until_end) and status not in (204, 304):
            raise ValueError("no length, or too long a body")
        if status == 200 and self.length is not None and self.length > wire.KEPT:
            self.begin()

    def on_body(self, part: bytes) -> None:
        self.unread = 0
        if self.asker is None:
            return  # given up in between
        if not self.size and self.length is None:
            self.asker.coming()
        self.size += len(part)
        if self.size > wire.MOST:
            raise ValueError("too long a body")
        if self.flowing:
            self.asker.part(part)
        elif self.size <= wire.KEPT:
            self.body.append(part)
        elif self.parser.get_status_code() == 200:
            self.body.append(part)
            self.begin()

    def begin(self) -> None:
        """The answer goes on as it comes; what has been kept of it goes ahead."""
        if not self.flowing and self.asker is not None and not self.status:
            self.flowing = True
            self.asker.began(wire.passed_on(self.headers, self.named), self.length)
            parts, self.body = self.body, []
            for part in parts:
                if self.asker is not None:
                    self.asker.part(part)

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
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.why = str(error.__context__ or error)
            if not self.status and self.asker is not None:
                return self.fail()
            self.keep = False
        if self.asker is None:
            return  # given up in between: its caller has left
        if self.status:
            self.conclude()
        elif self.unread > wire.MOST_HEAD:
            self.fail()  # the parser gathers a line without end

    def eof_received(self) -> bool:
        """Ended in order; a break comes as an error, and leaves what had no length cut short."""
        if self.asker is not None and self.headed and self.until_end and not self.status:
            self.status, self.keep = self.parser.get_status_code(), False
            self.conclude()
        return False

    def conclude(self) -> None:
        if self.asker is not None:
            asker, self.asker, self.halted = self.asker, None, False
            self.keep = self.keep and not wire.closes(self.named)
            passed = wire.passed_on(self.headers, self.named)
            if self.keep and self.whole:
                self.pool.free(self)
            else:
                self.end_upload()
                self.shut()
            asker.answered(self.status, self.never_ran, self.load, passed, b"".join(self.body))

    def fail(self) -> None:
        asker = self.asker
        asker.broke(self.drop_asker())

    def drop_asker(self) -> bool:
        """Gives up the request that is out; was it written whole?"""
        self.asker = None
        written = self.whole
        self.end_upload()
        self.shut()
        return written

    def lost(self) -> None:
        self.parser = None  # it holds this connection and its rings
        self.pool.gone(self)
        written = self.whole
        self.end_upload()
        asker, self.asker = self.asker, None
        if asker is not None:
            asker.broke(written)

    def end_upload(self) -> None:
        if self.upload is not None:
            self.upload.cut()
