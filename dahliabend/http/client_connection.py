"""HTTP to callers: their requests in, one answer each out."""

import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Protocol

import httptools

from dahliabend.http import headers as wire
from dahliabend.http.streaming import Body
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import Descriptors
from dahliabend.transport.timers import Deadlines, clock

LONGEST_ID = 128
SEND = 2_500_000  # for a request to come whole, the first one counted from connecting; 3 s are owed
PAUSE = 2_400_000  # in a body: the longest without a byte
PACE = 48 * 1024  # bytes a second that a body comes in the mean, but for PAUSE at its start
GLANCE = 50_000  # how often one whose reading waits is looked at: it may have gone; within 0.1 s it counts
SLOW = 8  # of that: from that part on the connection of a request half come goes if room is needed


class Desk(Protocol):
    """Where transactions are taken. The number returned names one until it is answered; -1: answered."""

    methods: frozenset[bytes]  # that it serves

    def sort(self, method: bytes, path: bytes, fields: dict[bytes, bytes]) -> tuple[bytes, int] | None: ...
    def marks(
        self, profile: int, fields: dict[bytes, bytes]
    ) -> tuple[bytes, bytes]: ...  # id and ms it waits
    def take(
        self, caller, profile: int, method: bytes, target: bytes, passed: bytes, body: bytes, *,
        expires: int, began: int, customer: bytes, again: bool, trace: bytes, upload: Body | None, key: bytes,
    ) -> int: ...  # fmt: skip
    def left(self, number: int) -> None: ...
    def ready(self) -> bool: ...
    def closing(self) -> bool: ...
    def opened(self) -> None: ...
    def ended(self) -> None: ...
    def counted(self, name: bytes, status: int) -> None: ...


class Caller(Connection):
    """One caller's connection. Requests are answered one by one, in the order in which they came."""

    def __init__(self, descriptors: Descriptors, deadlines: Deadlines, desk: Desk, patience: int) -> None:
        super().__init__(descriptors)
        self.deadlines, self.desk, self.patience = deadlines, desk, patience
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[tuple] = deque()  # requests that have come whole
        self.request = -1  # of the transaction that is being served
        self.profile = b""  # the known one that it names, until its answer has gone
        self.settle: Callable | None = None  # called then: a limit's place is given back
        self.serving = self.keep = self.last = self.served = False
        self.lingers = False  # its sending has ended in order: all that still comes is thrown away
        self.fault = 0  # the status that ends this connection, once all before it is answered
        self.glance: list | None = None  # when it is next looked at, while its reading is paused
        self.stalled: list | None = None  # the deadline of a request half come, or of an answer half gone
        # When it was opened, until its first answer. From the accepting on: one whose transport is not up yet
        # was closed at SIGTERM as if idle, and the request on it lost.
        self.since = clock()
        self.began = 0  # when the first byte of the request now coming came
        self.upload: Body | None = None  # of the request being served, if too long to be kept
        self.source: Connection | None = None  # where a long answer that goes out comes from
        self.chunked = self.measured = False  # how its end is told
        self.unread = 0  # bytes since the parser last made something of them
        self.fresh()

    def fresh(self) -> None:
        self.target, self.headers, self.body, self.size, self.named = b"", [], [], 0, b""
        self.long: Body | None = None  # the body now coming, once it is too long to be kept
        self.headed = self.heard = 0  # when its head was whole, and when a part of it came last
        self.fields: dict[bytes, bytes] = {}

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        # A fresh connection was opened for a request that may be here already: it is not idle, whatever the
        # budget; closed now, that request would be lost.
        self.expect(self.since)

    def expect(self, since: int) -> None:
        """The rest of a request is owed, counted from then."""
        self.descriptors.owes(self.number, since + SEND // SLOW)
        self.stalled = self.deadlines.at(since + SEND, self.too_slow)

    # What the parser tells.

    def on_message_begin(self) -> None:
        self.began = clock()
        self.fresh()

    def on_url(self, part: bytes) -> None:
        self.target += part
        self.grow(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:
            return  # a trailer is no part of the head
        self.grow(len(name) + len(value) + 4)
        if self.fault:
            return
        self.headers.append((name, value))
        low = name.lower()
        if low == b"connection":
            self.named += b"," + value
        elif low == b"expect" and value.lower() == b"100-continue" and not self.serving:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if low in (wire.TRACE, wire.EXPIRES) and low in self.fields:
            self.blame(400)  # which of the two is meant?
        self.fields[low] = value

    def grow(self, count: int) -> None:
        self.size += count
        if self.size > wire.MOST_HEAD:
            self.blame(431)

    def blame(self, status: int) -> None:
        """The first fault found is the one that is answered."""
        self.fault = self.fault or status

    def on_headers_complete(self) -> None:
        self.size = self.unread = 0
        self.headed = self.heard = clock()
        length = int(self.fields.get(b"content-length") or 0)
        if length > wire.MOST:
            self.blame(413)
        elif length > wire.KEPT and not self.fault:
            self.lengthen(length)
        if self.parser.should_upgrade():
            self.blame(400)  # what follows is not read as its body

    def on_body(self, part: bytes) -> None:
        self.unread, self.heard = 0, clock()
        self.size += len(part)
        if self.size > wire.MOST:
            self.blame(413)
        elif self.fault:
            return
        elif self.long is not None:
            self.long.feed(part)
        else:
            self.body.append(part)
            if self.size > wire.KEPT:
                self.lengthen(None)

    def lengthen(self, length: int | None) -> None:
        """It is served while its body comes."""
        self.long = Body(self, length, self.body)
        self.enqueue()

    def on_message_complete(self) -> None:
        if self.fault:
            return
        if self.long is None:
            self.enqueue()
        else:
            self.long.end()
            if self.long is self.upload:
                self.deadlines.drop(self.stalled)
        self.began = self.unread = 0

    def enqueue(self) -> None:
        # An older protocol's callers may not know how to stay.
        keep = self.parser.should_keep_alive() and not wire.closes(self.named)
        keep = keep and self.parser.get_http_version() == "1.1"
        self.queue.append(
            (self.began, self.parser.get_method(), self.target, self.fields,
             wire.passed_on(self.headers, self.named), self.long or b"".join(self.body), keep)
        )  # fmt: skip

    # Bytes and their ends.

    def received(self, view: memoryview) -> None:
        if self.last:
            return  # nothing more is taken here
        self.unread += len(view)
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.blame(400)
        if self.unread > wire.MOST_HEAD:
            self.blame(431)  # the parser gathers a line without end
        self.serve()

    def serve(self) -> None:
        """Takes the next request that has come, if none is being served."""
        while self.queue and not self.serving and not self.closed and not self.last:
            self.deadlines.drop(self.stalled)
            self.descriptors.busy(self.number)
            self.serving = True
            self.start(*self.queue.popleft())
        # Whoever sends on without waiting for answers waits itself: else its requests pile up here.
        self.holding = bool(self.queue or self.fault)
        if self.fault and self.upload is not None and not self.served and not self.closed and not self.last:
            # In the middle of a body that was already passed on: it has no end, so it never runs.
            self.upload, self.keep = None, False
            request, self.request = self.request, -1
            self.desk.left(request)
            return self.refuse(self.fault)
        if self.fault and not self.serving and not self.closed and not self.last:
            self.serving, self.keep = True, False
            self.name(b"", self.target.partition(b"?")[0], {})
            self.refuse(self.fault)
        elif self.began and (not self.serving or self.upload is not None) and not self.stalled_at():
            self.expect(self.began)  # half a request: a trickle would hold its descriptor for ever

    def stalled_at(self) -> bool:
        return self.stalled is not None and self.stalled[2] is not None

    def start(self, began, method, target, fields, passed, body, keep) -> None:
        self.keep = keep
        if isinstance(body, Body):
            # Come whole while others were served, it is like any other.
            self.upload, body = (None, b"".join(body.parts)) if body.whole else (body, b"")
        if target[:7].lower() == b"http://":  # as to a proxy
            target = b"/" + target[7:].partition(b"/")[2]
        if method not in self.desk.methods:
            return self.refuse(405)
        path = target.partition(b"?")[0]
        if path == wire.READY:
            ready = self.desk.ready()
            return self.answer(200 if ready else 503, b"", b"ready\n" if ready else b"not ready\n")
        profile = self.name(method, path, fields)
        if profile is None:
            return self.refuse(404)
        trace, expires = self.desk.marks(profile, fields)
        if not 0 < len(trace) <= LONGEST_ID or not expires.isdigit() or len(expires) > 12 or not int(expires):
            return self.refuse(400)
        self.request = self.desk.take(
            self, profile, method, target, passed, body,
            expires=int(expires) * 1000, began=began, customer=fields.get(wire.CUSTOMER, b""),
            again=fields.get(wire.SECOND_TRY) == b"1", trace=trace, upload=self.upload,
            key=fields.get(wire.ITEM, b""),
        )  # fmt: skip

    def name(self, method: bytes, path: bytes, fields: dict[bytes, bytes]) -> int | None:
        """Which profile it is of, if of a known one. From now on its request counts as open."""
        found = self.desk.sort(method, path, fields)
        if found is None:
            return None
        self.profile, profile = found
        self.desk.opened()
        return profile

    def over(self) -> None:
        if self.profile:
            self.profile = b""
            self.desk.ended()
            settle, self.settle = self.settle, None
            if settle is not None:
                settle()

    def refuse(self, status: int) -> None:
        allow = b"Allow: GET, POST\r\n" if status == 405 else b""
        self.answer(status, allow, wire.REASONS[status] + b"\n")

    def answer(self, status: int, headers: bytes, body: bytes) -> None:
        """The one answer to the request being served."""
        self.request = -1
        if self.closed:
            return
        if self.profile:
            self.desk.counted(self.profile, status)
        self.unfinished()
        ending = self.ending()
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (
            status, wire.REASONS.get(status, b"Other"), len(body),
        )  # fmt: skip
        self.served, self.last = True, not self.keep
        self.deadlines.drop(self.stalled)
        self.write(head + headers + ending + b"\r\n", body)
        if self.served:
            # A caller that reads nothing would hold its descriptor, and the answer's bytes, for ever.
            self.stalled = self.deadlines.at(clock() + self.patience, self.shut)

    def ending(self) -> bytes:
        """Settles with the answer whether the connection goes on; the header line that says so."""
        # Kept while others wait to come in, it would have these miss their limits. What has come whole behind
        # this request would be lost if it went.
        self.keep = self.keep and (bool(self.queue) or not (self.desk.closing() or self.descriptors.crowded))
        return b"" if self.keep else b"Connection: close\r\n"

    def unfinished(self) -> None:
        """Answered before its body has come whole: the rest is for nobody, and its end is not waited for."""
        if self.upload is not None and not self.upload.whole:
            self.keep, self.fault = False, self.fault or 413
        self.upload = None

    # A long answer.

    def begin(self, headers: bytes, length: int | None, source: Connection) -> None:
        """The one answer, to be passed on as it comes."""
        if self.closed:
            return
        self.unfinished()
        self.source = source
        self.measured = length is not None
        # What has no length ends with the connection where chunks are not understood.
        self.chunked = not self.measured and self.parser.get_http_version() == "1.1"
        framing = b"Content-Length: %d\r\n" % length if self.measured else b""
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else framing
        self.deadlines.drop(self.stalled)
        self.write(b"HTTP/1.1 200 OK\r\n" + framing + headers + self.ending() + b"\r\n")

    def more(self, part: bytes) -> None:
        if self.closed:
            return
        self.write(*((b"%x\r\n" % len(part), part, b"\r\n") if self.chunked else (part,)))
        if self.backlog > wire.KEPT:
            self.source.halt()

    def end(self) -> None:
        if self.closed:
            return
        self.request, self.source = -1, None
        self.desk.counted(self.profile, 200)
        self.served, self.last = True, not self.keep
        self.stalled = self.deadlines.at(clock() + 4 * self.patience, self.shut)
        self.write(b"0\r\n\r\n" if self.chunked else b"")

    def cut(self) -> None:
        """It is not whole, and the caller has to see that."""
        if self.closed:
            return
        self.request, self.source = -1, None
        self.desk.counted(self.profile, 502)
        if not self.measured and not self.chunked and self.sock is not None:
            # Its end is the connection's: only a reset tells that this was not it.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock = None
        self.shut()

    def flushed(self) -> None:
        if self.source is not None and self.source.halted:
            self.source.proceed()
        if not self.served:
            return
        self.served = self.serving = False
        self.over()
        self.deadlines.drop(self.stalled)
        self.stalled = None
        if self.last:
            return self.linger()
        self.since = 0  # not fresh any more
        self.descriptors.rest(self.number, clock())
        if self.queue or self.incoming.count or self.began or self.fault:
            # On the loop's next turn: a long queue answered at once would nest a call for each.
            self.deadlines.loop.call_soon(self.go_on)

    def linger(self) -> None:
        """Ends the sending behind the last answer, and goes once the caller has ended its own. Closed at
        once, whatever comes from it meanwhile, or lies unread, would wipe the answer out before it is read.
        The answer's deadline still runs, and it makes room like any that is idle."""
        self.lingers, self.fault, self.holding, self.halted = True, 0, False, False
        self.queue.clear()
        self.descriptors.rest(self.number, clock())
        self.stalled = self.deadlines.at(clock() + self.patience // 4, self.shut)
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        self.deadlines.loop.call_soon(self.drain)

    def go_on(self) -> None:
        if not self.closed:
            self.serve()
            self.drain()

    def too_slow(self) -> None:
        if self.serving and self.upload is None:
            return
        if self.headed and self.began and not self.fault:
            due = min(self.headed + PAUSE + self.size * 1_000_000 // PACE, self.heard + PAUSE)
            due = clock() + PAUSE if self.halted else due  # it is not the caller who is slow
            if due > clock():
                self.stalled = self.deadlines.at(due, self.too_slow)
                return
        if not self.began and not self.fault and not self.waiting():
            self.finish()  # it never sent anything
        else:
            self.blame(408)
            self.serve()

    def may_go(self) -> bool:
        """No request has come whole, nor can one be lying unread."""
        return not (self.serving or self.queue or self.waiting())

    def let_go(self, fresh_since: int) -> None:
        """Closes it between requests, but not if it is fresh: what it was opened for is on its way."""
        if self.since < fresh_since and not self.began and not self.lingers and self.may_go():
            self.finish()

    def proceed(self) -> None:
        self.deadlines.loop.call_soon(super().proceed)  # never from within a call that takes or writes

    def reading_paused(self) -> None:
        self.deadlines.drop(self.glance)
        self.glance = self.deadlines.at(clock() + GLANCE, self.look)

    def look(self) -> None:
        """While nothing is read, its end is not seen: what it sent ahead would be sent on for nobody."""
        if self.paused and not self.closed:
            if self.hung_up():
                return self.shut()
            self.reading_paused()

    def lost(self) -> None:
        self.long = self.upload = self.source = None
        self.parser = None  # it holds this connection and its rings
        self.deadlines.drop(self.stalled)
        self.deadlines.drop(self.glance)
        self.over()
        request, self.request = self.request, -1
        if request >= 0:
            self.desk.left(request)
