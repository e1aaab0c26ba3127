"""HTTP to callers: their requests in, one answer each out."""

import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Protocol

import httptools

from dahliabend.http import headers as wire
from dahliabend.http.streaming import StreamingBody
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

MAX_TRACE_ID_BYTES = 128
REQUEST_TIMEOUT = (
    2_500_000  # for a request to come whole, the first one counted from connecting; 3 s are owed
)
BODY_PAUSE_TIMEOUT = 2_400_000  # in a body: the longest without a byte
MIN_BODY_BYTES_PER_SECOND = (
    48 * 1024
)  # bytes a second that a body comes in the mean, but for PAUSE at its start
HANGUP_CHECK_INTERVAL = (
    50_000  # how often one whose reading waits is looked at: it may have gone; within 0.1 s it counts
)
SLOW_AFTER_DIVISOR = (
    8  # of that: from that part on the connection of a request half come goes if room is needed
)


class Dispatcher(Protocol):
    """Where transactions are taken. The number returned names one until it is answered; -1: answered."""

    methods: frozenset[bytes]  # that it serves

    def classify(
        self, method: bytes, path: bytes, fields: dict[bytes, bytes]
    ) -> tuple[bytes, int] | None: ...
    def identify(
        self, profile: int, fields: dict[bytes, bytes]
    ) -> tuple[bytes, bytes]: ...  # id and ms it waits
    def dispatch(
        self,
        caller,
        profile: int,
        method: bytes,
        target: bytes,
        passed: bytes,
        body: bytes,
        *,
        expires: int,
        began: int,
        customer: bytes,
        again: bool,
        trace: bytes,
        upload: StreamingBody | None,
        key: bytes,
    ) -> int: ...
    def client_disconnected(self, number: int) -> None: ...
    def ready(self) -> bool: ...
    def closing(self) -> bool: ...
    def request_opened(self) -> None: ...
    def request_closed(self) -> None: ...
    def count_response(self, name: bytes, status: int) -> None: ...


class ClientConnection(Connection):
    """One caller's connection. Requests are answered one by one, in the order in which they came."""

    def __init__(
        self, descriptors: DescriptorBudget, timers: TimerQueue, dispatcher: Dispatcher, write_timeout: int
    ) -> None:
        super().__init__(descriptors)
        self.timers, self.dispatcher, self.write_timeout = timers, dispatcher, write_timeout
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[tuple] = deque()  # requests that have come whole
        self.request = -1  # of the transaction that is being served
        self.profile = b""  # the known one that it names, until its answer has gone
        self.on_request_finished: Callable | None = None  # called then: a limit's place is given back
        self.serving = self.keep_alive = self.final_response_sent = self.response_written = False
        self.is_lingering = False  # its sending has ended in order: all that still comes is thrown away
        self.error_status = 0  # the status that ends this connection, once all before it is answered
        self.hangup_timer: list | None = None  # when it is next looked at, while its reading is paused
        self.stall_timer: list | None = None  # the deadline of a request half come, or of an answer half gone
        # When it was opened, until its first answer. From the accepting on: one whose transport is not up yet
        # was closed at SIGTERM as if idle, and the request on it lost.
        self.opened_at = clock()
        self.began = 0  # when the first byte of the request now coming came
        self.upload: StreamingBody | None = None  # of the request being served, if too long to be kept
        self.source: Connection | None = None  # where a long answer that goes out comes from
        self.chunked = self.has_length = False  # how its end is told
        self.unparsed_bytes = 0  # bytes since the parser last made something of them
        self.reset_request()

    def reset_request(self) -> None:
        self.target, self.headers, self.body, self.size, self.connection_header = b"", [], [], 0, b""
        self.streaming_body: StreamingBody | None = (
            None  # the body now coming, once it is too long to be kept
        )
        self.head_complete_at = self.last_body_byte_at = (
            0  # when its head was whole, and when a part of it came last
        )
        self.fields: dict[bytes, bytes] = {}

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        # A fresh connection was opened for a request that may be here already: it is not idle, whatever the
        # budget; closed now, that request would be lost.
        self.await_request(self.opened_at)

    def await_request(self, opened_at: int) -> None:
        """The rest of a request is owed, counted from then."""
        self.descriptors.mark_awaiting_request(self.handle, opened_at + REQUEST_TIMEOUT // SLOW_AFTER_DIVISOR)
        self.stall_timer = self.timers.schedule(opened_at + REQUEST_TIMEOUT, self.request_timed_out)

    # What the parser tells.

    def on_message_begin(self) -> None:
        self.began = clock()
        self.reset_request()

    def on_url(self, part: bytes) -> None:
        self.target += part
        self.add_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_complete_at:
            return  # a trailer is no part of the head
        self.add_head_bytes(len(name) + len(value) + 4)
        if self.error_status:
            return
        self.headers.append((name, value))
        lower_name = name.lower()
        if lower_name == b"connection":
            self.connection_header += b"," + value
        elif lower_name == b"expect" and value.lower() == b"100-continue" and not self.serving:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if lower_name in (wire.TRACE, wire.EXPIRES) and lower_name in self.fields:
            self.fail_request(400)  # which of the two is meant?
        self.fields[lower_name] = value

    def add_head_bytes(self, count: int) -> None:
        self.size += count
        if self.size > wire.MAX_HEAD_BYTES:
            self.fail_request(431)

    def fail_request(self, status: int) -> None:
        """The first fault found is the one that is answered."""
        self.error_status = self.error_status or status

    def on_headers_complete(self) -> None:
        self.size = self.unparsed_bytes = 0
        self.head_complete_at = self.last_body_byte_at = clock()
        length = int(self.fields.get(b"content-length") or 0)
        if length > wire.MAX_BODY_BYTES:
            self.fail_request(413)
        elif length > wire.MAX_BUFFERED_BYTES and not self.error_status:
            self.start_streaming_body(length)
        if self.parser.should_upgrade():
            self.fail_request(400)  # what follows is not read as its body

    def on_body(self, part: bytes) -> None:
        self.unparsed_bytes, self.last_body_byte_at = 0, clock()
        self.size += len(part)
        if self.size > wire.MAX_BODY_BYTES:
            self.fail_request(413)
        elif self.error_status:
            return
        elif self.streaming_body is not None:
            self.streaming_body.feed(part)
        else:
            self.body.append(part)
            if self.size > wire.MAX_BUFFERED_BYTES:
                self.start_streaming_body(None)

    def start_streaming_body(self, length: int | None) -> None:
        """It is served while its body comes."""
        self.streaming_body = StreamingBody(self, length, self.body)
        self.enqueue()

    def on_message_complete(self) -> None:
        if self.error_status:
            return
        if self.streaming_body is None:
            self.enqueue()
        else:
            self.streaming_body.mark_complete()
            if self.streaming_body is self.upload:
                self.timers.cancel(self.stall_timer)
        self.began = self.unparsed_bytes = 0

    def enqueue(self) -> None:
        # An older protocol's callers may not know how to stay.
        keep = self.parser.should_keep_alive() and not wire.requests_close(self.connection_header)
        keep = keep and self.parser.get_http_version() == "1.1"
        self.queue.append(
            (
                self.began,
                self.parser.get_method(),
                self.target,
                self.fields,
                wire.end_to_end_headers(self.headers, self.connection_header),
                self.streaming_body or b"".join(self.body),
                keep,
            )
        )

    # Bytes and their ends.

    def bytes_received(self, view: memoryview) -> None:
        if self.final_response_sent:
            return  # nothing more is taken here
        self.unparsed_bytes += len(view)
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail_request(400)
        if self.unparsed_bytes > wire.MAX_HEAD_BYTES:
            self.fail_request(431)  # the parser gathers a line without end
        self.serve_next()

    def serve_next(self) -> None:
        """Takes the next request that has come, if none is being served."""
        while self.queue and not self.serving and not self.closed and not self.final_response_sent:
            self.timers.cancel(self.stall_timer)
            self.descriptors.mark_busy(self.handle)
            self.serving = True
            self.start_request(*self.queue.popleft())
        # Whoever sends on without waiting for answers waits itself: else its requests pile up here.
        self.input_blocked = bool(self.queue or self.error_status)
        if (
            self.error_status
            and self.upload is not None
            and not self.response_written
            and not self.closed
            and not self.final_response_sent
        ):
            # In the middle of a body that was already passed on: it has no end, so it never runs.
            self.upload, self.keep_alive = None, False
            request, self.request = self.request, -1
            self.dispatcher.client_disconnected(request)
            return self.send_error(self.error_status)
        if self.error_status and not self.serving and not self.closed and not self.final_response_sent:
            self.serving, self.keep_alive = True, False
            self.classify(b"", self.target.partition(b"?")[0], {})
            self.send_error(self.error_status)
        elif (
            self.began and (not self.serving or self.upload is not None) and not self.is_stall_timer_pending()
        ):
            self.await_request(self.began)  # half a request: a trickle would hold its descriptor for ever

    def is_stall_timer_pending(self) -> bool:
        return self.stall_timer is not None and self.stall_timer[2] is not None

    def start_request(self, began, method, target, fields, passed, body, keep) -> None:
        self.keep_alive = keep
        if isinstance(body, StreamingBody):
            # Come whole while others were served, it is like any other.
            self.upload, body = (None, b"".join(body.parts)) if body.is_complete else (body, b"")
        if target[:7].lower() == b"http://":  # as to a proxy
            target = b"/" + target[7:].partition(b"/")[2]
        if method not in self.dispatcher.methods:
            return self.send_error(405)
        path = target.partition(b"?")[0]
        if path == wire.READY:
            ready = self.dispatcher.ready()
            return self.send_response(200 if ready else 503, b"", b"ready\n" if ready else b"not ready\n")
        profile = self.classify(method, path, fields)
        if profile is None:
            return self.send_error(404)
        trace, expires = self.dispatcher.identify(profile, fields)
        if (
            not 0 < len(trace) <= MAX_TRACE_ID_BYTES
            or not expires.isdigit()
            or len(expires) > 12
            or not int(expires)
        ):
            return self.send_error(400)
        self.request = self.dispatcher.dispatch(
            self, profile, method, target, passed, body,
            client_timeout=int(expires) * 1000, received_at=began, tenant=fields.get(wire.TENANT, b""),
            is_retry=fields.get(wire.RETRY) == b"1", trace_id=trace, upload=self.upload,
            key=fields.get(wire.ORDERING_KEY, b""),
        )  # fmt: skip

    def classify(self, method: bytes, path: bytes, fields: dict[bytes, bytes]) -> int | None:
        """Which profile it is of, if of a known one. From now on its request counts as open."""
        found = self.dispatcher.classify(method, path, fields)
        if found is None:
            return None
        self.profile, profile = found
        self.dispatcher.request_opened()
        return profile

    def request_finished(self) -> None:
        if self.profile:
            self.profile = b""
            self.dispatcher.request_closed()
            settle, self.on_request_finished = self.on_request_finished, None
            if settle is not None:
                settle()

    def send_error(self, status: int) -> None:
        allow = b"Allow: GET, POST\r\n" if status == 405 else b""
        self.send_response(status, allow, wire.REASONS[status] + b"\n")

    def send_response(self, status: int, headers: bytes, body: bytes) -> None:
        """The one answer to the request being served."""
        self.request = -1
        if self.closed:
            return
        if self.profile:
            self.dispatcher.count_response(self.profile, status)
        self.discard_upload()
        ending = self.connection_header_line()
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (
            status, wire.REASONS.get(status, b"Other"), len(body),
        )  # fmt: skip
        self.response_written, self.final_response_sent = True, not self.keep_alive
        self.timers.cancel(self.stall_timer)
        self.write(head + headers + ending + b"\r\n", body)
        if self.response_written:
            # A caller that reads nothing would hold its descriptor, and the answer's bytes, for ever.
            self.stall_timer = self.timers.schedule(clock() + self.write_timeout, self.abort)

    def connection_header_line(self) -> bytes:
        """Settles with the answer whether the connection goes on; the header line that says so."""
        # Kept while others wait to come in, it would have these miss their limits. What has come whole behind
        # this request would be lost if it went.
        self.keep_alive = self.keep_alive and (
            bool(self.queue) or not (self.dispatcher.closing() or self.descriptors.reserve_in_use)
        )
        return b"" if self.keep_alive else b"Connection: close\r\n"

    def discard_upload(self) -> None:
        """Answered before its body has come whole: the rest is for nobody, and its end is not waited for."""
        if self.upload is not None and not self.upload.is_complete:
            self.keep_alive, self.error_status = False, self.error_status or 413
        self.upload = None

    # A long answer.

    def start_response(self, headers: bytes, length: int | None, source: Connection) -> None:
        """The one answer, to be passed on as it comes."""
        if self.closed:
            return
        self.discard_upload()
        self.source = source
        self.has_length = length is not None
        # What has no length ends with the connection where chunks are not understood.
        self.chunked = not self.has_length and self.parser.get_http_version() == "1.1"
        framing = b"Content-Length: %d\r\n" % length if self.has_length else b""
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else framing
        self.timers.cancel(self.stall_timer)
        self.write(b"HTTP/1.1 200 OK\r\n" + framing + headers + self.connection_header_line() + b"\r\n")

    def send_part(self, part: bytes) -> None:
        if self.closed:
            return
        self.write(*((b"%x\r\n" % len(part), part, b"\r\n") if self.chunked else (part,)))
        if self.unsent_bytes > wire.MAX_BUFFERED_BYTES:
            self.source.suspend_reading()

    def finish_response(self) -> None:
        if self.closed:
            return
        self.request, self.source = -1, None
        self.dispatcher.count_response(self.profile, 200)
        self.response_written, self.final_response_sent = True, not self.keep_alive
        self.stall_timer = self.timers.schedule(clock() + 4 * self.write_timeout, self.abort)
        self.write(b"0\r\n\r\n" if self.chunked else b"")

    def abort_response(self) -> None:
        """It is not whole, and the caller has to see that."""
        if self.closed:
            return
        self.request, self.source = -1, None
        self.dispatcher.count_response(self.profile, 502)
        if not self.has_length and not self.chunked and self.sock is not None:
            # Its end is the connection's: only a reset tells that this was not it.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock = None
        self.abort()

    def output_flushed(self) -> None:
        if self.source is not None and self.source.reading_suspended:
            self.source.continue_reading()
        if not self.response_written:
            return
        self.response_written = self.serving = False
        self.request_finished()
        self.timers.cancel(self.stall_timer)
        self.stall_timer = None
        if self.final_response_sent:
            return self.linger()
        self.opened_at = 0  # not fresh any more
        self.descriptors.mark_idle(self.handle, clock())
        if self.queue or self.receive_buffer.count or self.began or self.error_status:
            # On the loop's next turn: a long queue answered at once would nest a call for each.
            self.timers.loop.call_soon(self.continue_serving)

    def linger(self) -> None:
        """Ends the sending behind the last answer, and goes once the caller has ended its own. Closed at
        once, whatever comes from it meanwhile, or lies unread, would wipe the answer out before it is read.
        The answer's deadline still runs, and it makes room like any that is idle."""
        self.is_lingering, self.error_status, self.input_blocked, self.reading_suspended = (
            True,
            0,
            False,
            False,
        )
        self.queue.clear()
        self.descriptors.mark_idle(self.handle, clock())
        self.stall_timer = self.timers.schedule(clock() + self.write_timeout // 4, self.abort)
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
        self.timers.loop.call_soon(self.process_input)

    def continue_serving(self) -> None:
        if not self.closed:
            self.serve_next()
            self.process_input()

    def request_timed_out(self) -> None:
        if self.serving and self.upload is None:
            return
        if self.head_complete_at and self.began and not self.error_status:
            due = min(
                self.head_complete_at
                + BODY_PAUSE_TIMEOUT
                + self.size * 1_000_000 // MIN_BODY_BYTES_PER_SECOND,
                self.last_body_byte_at + BODY_PAUSE_TIMEOUT,
            )
            due = (
                clock() + BODY_PAUSE_TIMEOUT if self.reading_suspended else due
            )  # it is not the caller who is slow
            if due > clock():
                self.stall_timer = self.timers.schedule(due, self.request_timed_out)
                return
        if not self.began and not self.error_status and not self.unread_input():
            self.close()  # it never sent anything
        else:
            self.fail_request(408)
            self.serve_next()

    def can_evict(self) -> bool:
        """No request has come whole, nor can one be lying unread."""
        return not (self.serving or self.queue or self.unread_input())

    def close_if_idle(self, opened_before: int) -> None:
        """Closes it between requests, but not if it is fresh: what it was opened for is on its way."""
        if self.opened_at < opened_before and not self.began and not self.is_lingering and self.can_evict():
            self.close()

    def continue_reading(self) -> None:
        self.timers.loop.call_soon(super().continue_reading)  # never from within a call that takes or writes

    def transport_paused(self) -> None:
        self.timers.cancel(self.hangup_timer)
        self.hangup_timer = self.timers.schedule(clock() + HANGUP_CHECK_INTERVAL, self.check_hangup)

    def check_hangup(self) -> None:
        """While nothing is read, its end is not seen: what it sent ahead would be sent on for nobody."""
        if self.reading_paused and not self.closed:
            if self.peer_has_closed():
                return self.abort()
            self.transport_paused()

    def connection_closed(self) -> None:
        self.streaming_body = self.upload = self.source = None
        self.parser = None  # it holds this connection and its rings
        self.timers.cancel(self.stall_timer)
        self.timers.cancel(self.hangup_timer)
        self.request_finished()
        request, self.request = self.request, -1
        if request >= 0:
            self.dispatcher.client_disconnected(request)
