"""Parsing of the requests of one client connection. The parser writes nothing and serves nothing."""

from typing import NamedTuple, Protocol

import httptools

from dahliabend.http import headers as wire
from dahliabend.http.headers import NO_HEADERS, HeaderCollector, HeaderFields
from dahliabend.http.responses import HTTP_1_1
from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.transport.timers import MICROSECONDS_PER_SECOND, clock

BODY_PAUSE_TIMEOUT = 2_400_000  # microseconds without a byte within a body
MIN_BODY_BYTES_PER_SECOND = 48 * 1024  # on average, counted from `BODY_PAUSE_TIMEOUT` after the head
ABSOLUTE_PREFIX = b"http://"


class ReceivedRequest(NamedTuple):
    """A request that has been received in full, or whose body is streamed while it is received.

    Attributes:
        received_at: Clock time (us) since which the first byte may have been there.
        method: The method, as received.
        target: The target, as received.
        fields: Header values by name in lower case.
        headers: The header lines to forward.
        body: The whole body, or a `StreamingBody` if it is too long to be buffered.
        keep_alive: Whether the client allows the connection to stay open.
    """

    received_at: int
    method: bytes
    target: bytes
    fields: HeaderFields
    headers: bytes
    body: bytes | StreamingBody
    keep_alive: bool

    def origin_target(self) -> bytes:
        """Return the target in origin form: without scheme and host, which requests to a proxy have."""
        if self.target[: len(ABSOLUTE_PREFIX)].lower() != ABSOLUTE_PREFIX:
            return self.target
        return b"/" + self.target[len(ABSOLUTE_PREFIX) :].partition(b"/")[2]


class RequestReceiver(BodySource, Protocol):
    """The connection that receives the parsed requests.

    Attributes:
        unprocessed_since: Clock time (us) since which the bytes to parse may have waited; 0 if they have just
            been received.
    """

    unprocessed_since: int

    def request_received(self, request: ReceivedRequest) -> None:
        """Take a request that can be served."""

    def continue_expected(self) -> None:
        """Handle a client that waits for 100 Continue before it sends the body."""

    def streaming_body_received(self, body: StreamingBody) -> None:
        """Handle the end of a streamed body."""


class RequestParser:
    """Parses requests and enforces their size limits.

    Attributes:
        receiver: The connection that receives the requests.
        error_status: Status of the first error; 0 if none. No request is reported after an error.
        received_at: Clock time (us) since which the first byte of the current request may have been there; 0
            between requests.
        begun_at: Clock time (us) at which that byte was parsed.
        unparsed_bytes: Bytes since the underlying parser last reported progress.
        target: Target of the current request, as far as it has been received.
        headers: Its headers.
        body: Its body, as long as that is short enough to be buffered; later the part of it that has been
            received since the streaming body was last fed.
        section_bytes: Bytes received of its current section: of the head, then of the body.
        streaming_body: Its body, once that is too long to be buffered.
        head_complete_at: Clock time (us) at which its head was complete; 0 before.
        last_body_byte_at: Clock time (us) at which body bytes were last received; until then, that of the
            head's end.
    """

    def __init__(self, receiver: RequestReceiver) -> None:
        self.receiver = receiver
        self._http = httptools.HttpRequestParser(self)
        self.error_status = 0
        self.received_at = 0
        self.begun_at = 0
        self.unparsed_bytes = 0
        self._start_request()

    def _start_request(self) -> None:
        self.target = b""
        self.headers = HeaderCollector()
        self.body = bytearray()
        self.section_bytes = 0
        self.streaming_body: StreamingBody | None = None
        self.head_complete_at = 0
        self.last_body_byte_at = 0

    def feed(self, data: memoryview) -> None:
        """Parse bytes; the sink is notified of their contents before this returns."""
        self.unparsed_bytes += len(data)
        try:
            self._http.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail(400)
        if self.section_bytes and self.head_complete_at:
            self.last_body_byte_at = clock()
        if self.streaming_body is not None:
            self._feed_streaming_body(self.streaming_body)
        if self.unparsed_bytes > wire.MAX_HEAD_BYTES:
            self.fail(431)  # the underlying parser would buffer an endless line

    def fail(self, status: int) -> None:
        """Record the status of an error, unless there was one before, and drop what was received."""
        self.error_status = self.error_status or status
        self.headers = NO_HEADERS
        self.body = bytearray()

    def discard(self) -> None:
        """Drop what was received, as nothing more will be parsed."""
        self._start_request()
        self.received_at = 0
        self.unparsed_bytes = 0
        self._http = httptools.HttpRequestParser(self)

    def buffered_bytes(self) -> int:
        """Return how many bytes of an incomplete request are held."""
        if not self.received_at:
            return 0
        return (
            len(self.target)
            + len(self.body)
            + self.headers.buffered_bytes()
            + min(self.unparsed_bytes, wire.MAX_HEAD_BYTES)
        )

    @property
    def http_version(self) -> str:
        """HTTP version of the last request that has begun, such as `1.1`."""
        return self._http.get_http_version()

    def body_deadline(self) -> int:
        """Return the clock time (us) by which more of the current body has to be received."""
        pace_time = self.section_bytes * MICROSECONDS_PER_SECOND // MIN_BODY_BYTES_PER_SECOND
        return min(
            self.head_complete_at + BODY_PAUSE_TIMEOUT + pace_time,
            self.last_body_byte_at + BODY_PAUSE_TIMEOUT,
        )

    def extend_body_deadline(self, pause: int) -> None:
        """Move the deadline of the current body by a time (us) for which nothing was read from the client."""
        if self.head_complete_at:
            self.head_complete_at += pause
            self.last_body_byte_at = clock()

    def close(self) -> None:
        """Drop the references between parser and connection, which would keep both from being freed."""
        self.streaming_body = None
        del self._http
        del self.receiver

    # HTTP parser callbacks

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.begun_at = clock()
        self.received_at = self.receiver.unprocessed_since or self.begun_at
        self._start_request()

    def on_url(self, data: bytes) -> None:
        """Append a part of the target."""
        self.target += data
        self.section_bytes += len(data)
        if self.section_bytes > wire.MAX_HEAD_BYTES:
            self.fail(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; trailers, which follow the body, are ignored."""
        if self.head_complete_at:
            return
        self.section_bytes += len(name) + len(value) + wire.HEADER_OVERHEAD_BYTES
        if self.section_bytes > wire.MAX_HEAD_BYTES:
            self.fail(431)
        if self.error_status:
            return
        lower_name = name.lower()
        is_repeated = lower_name in self.headers.fields
        if is_repeated and lower_name in (wire.TRACE_ID_HEADER, wire.TIMEOUT_HEADER):
            self.fail(400)  # with two values, it is unclear which one applies
            return
        if lower_name == b"expect" and not is_repeated and value.lower() == b"100-continue":
            self.receiver.continue_expected()
        self.headers.add(name, lower_name, value)

    def on_headers_complete(self) -> None:
        """Check the body length, and stream the body if it is too long to be buffered."""
        self.section_bytes = 0
        self.unparsed_bytes = 0
        self.head_complete_at = clock()
        self.last_body_byte_at = self.head_complete_at
        length = int(self.headers.fields.get(b"content-length") or 0)
        if length > wire.MAX_BODY_BYTES:
            self.fail(413)
        elif length > wire.MAX_BUFFERED_BYTES and not self.error_status:
            self._start_streaming_body(length)
        if self._http.should_upgrade():
            self.fail(400)  # the parser does not read the bytes after an upgrade request as its body

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, or pass it to the streaming body."""
        self.unparsed_bytes = 0
        self.section_bytes += len(data)
        if self.section_bytes > wire.MAX_BODY_BYTES:
            self.fail(413)
        elif not self.error_status:
            self.body += data
            if self.streaming_body is None and self.section_bytes > wire.MAX_BUFFERED_BYTES:
                self._start_streaming_body(None)

    def _start_streaming_body(self, length: int | None) -> None:
        """Report the request with a body that is still being received."""
        self.streaming_body = StreamingBody(self.receiver, length, bytes(self.body))
        self.body = bytearray()
        self._report_request(self.streaming_body)

    def _feed_streaming_body(self, streaming_body: StreamingBody) -> None:
        """Pass on what has been received, in one piece: a client may send chunks of a byte each."""
        if self.body:
            part = bytes(self.body)
            self.body = bytearray()
            streaming_body.feed(part)

    def on_message_complete(self) -> None:
        """Report the request, or the end of its streamed body."""
        if self.error_status:
            return
        if self.streaming_body is None:
            self._report_request(bytes(self.body))
            self.headers = NO_HEADERS
            self.body = bytearray()
        else:
            self._feed_streaming_body(self.streaming_body)
            self.streaming_body.mark_complete()
            self.receiver.streaming_body_received(self.streaming_body)
        self.received_at = 0
        self.unparsed_bytes = 0

    def _report_request(self, body: bytes | StreamingBody) -> None:
        # Clients of older HTTP versions may not support persistent connections.
        keep_alive = (
            self._http.should_keep_alive()
            and not wire.requests_close(self.headers.connection_header)
            and self._http.get_http_version() == HTTP_1_1
        )
        headers = self.headers.forwarded_lines()
        all_lines = bytes(self.headers.lines) if self.headers.connection_header else headers
        fields = self.headers.fields
        fields.lines = all_lines
        method = self._http.get_method()
        self.receiver.request_received(
            ReceivedRequest(self.received_at, method, self.target, fields, headers, body, keep_alive)
        )
