"""Requests of one client connection, from bytes. It writes nothing and serves nothing."""

from typing import NamedTuple, Protocol

import httptools

from dahliabend.http import headers as wire
from dahliabend.http.responses import HTTP_1_1
from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.transport.timers import MICROSECONDS_PER_SECOND, clock

BODY_PAUSE_TIMEOUT = 2_400_000  # microseconds in a body without a byte
MIN_BODY_BYTES_PER_SECOND = 48 * 1024  # in the mean, but for `BODY_PAUSE_TIMEOUT` at the body's start
ABSOLUTE_PREFIX = b"http://"


class ReceivedRequest(NamedTuple):
    """A request that has come whole, or whose body is passed on while it comes.

    Attributes:
        received_at: Clock time of its first byte.
        method: As it came.
        target: As it came.
        fields: Values by header name in lower case; the last of a name.
        headers: The header lines that are passed on.
        body: What has come of it; a `StreamingBody` if it is too long to be buffered.
        keep_alive: The client wants to keep the connection.
    """

    received_at: int
    method: bytes
    target: bytes
    fields: dict[bytes, bytes]
    headers: bytes
    body: bytes | StreamingBody
    keep_alive: bool

    def origin_target(self) -> bytes:
        """The target without scheme and host, which it has if it came as to a proxy."""
        if self.target[: len(ABSOLUTE_PREFIX)].lower() != ABSOLUTE_PREFIX:
            return self.target
        return b"/" + self.target[len(ABSOLUTE_PREFIX) :].partition(b"/")[2]


class RequestSink(BodySource, Protocol):
    """The connection that a parser reads for."""

    def request_received(self, request: ReceivedRequest) -> None:
        """A request can be served."""

    def continue_expected(self) -> None:
        """The client waits for 100 Continue before it sends its body."""

    def streaming_body_received(self, body: StreamingBody) -> None:
        """The last byte of such a body has come."""


class RequestParser:
    """Reads requests and checks their limits.

    Attributes:
        sink: The connection that it reads for.
        error_status: Status of the first fault found; 0 if none. Nothing is read behind it.
        received_at: Clock time of the first byte of the request now coming; 0 between requests.
        unparsed_bytes: Bytes since the parser last made something of them.
        target: Of the request now coming, as far as it has come.
        headers: Likewise, name and value as they came.
        fields: Likewise, by name in lower case.
        connection_header: Likewise, the values of Connection.
        body: Likewise, as long as it is short enough to be buffered.
        size: Bytes of its head, then of its body.
        streaming_body: Its body, once that is too long to be buffered.
        head_complete_at: Clock time at which its head was complete; 0 before.
        last_body_byte_at: Clock time of the last bytes of its body; at first of its head.
    """

    def __init__(self, sink: RequestSink) -> None:
        self.sink = sink
        self._http = httptools.HttpRequestParser(self)
        self.error_status = 0
        self.received_at = 0
        self.unparsed_bytes = 0
        self._start_request()

    def _start_request(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.fields: dict[bytes, bytes] = {}
        self.connection_header = b""
        self.body: list[bytes] = []
        self.size = 0
        self.streaming_body: StreamingBody | None = None
        self.head_complete_at = 0
        self.last_body_byte_at = 0

    def feed(self, data: memoryview) -> None:
        """Reads bytes; what they bring is reported to the sink before this returns."""
        self.unparsed_bytes += len(data)
        try:
            self._http.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail(400)
        if self.unparsed_bytes > wire.MAX_HEAD_BYTES:
            self.fail(431)  # the parser gathers a line without end

    def fail(self, status: int) -> None:
        """Notes a fault; the first one is answered."""
        self.error_status = self.error_status or status

    @property
    def http_version(self) -> str:
        """Of the last request that has begun, as `1.1`."""
        return self._http.get_http_version()

    def body_deadline(self) -> int:
        """Clock time until which more of the body now coming has to have come."""
        pace_time = self.size * MICROSECONDS_PER_SECOND // MIN_BODY_BYTES_PER_SECOND
        return min(
            self.head_complete_at + BODY_PAUSE_TIMEOUT + pace_time,
            self.last_body_byte_at + BODY_PAUSE_TIMEOUT,
        )

    def close(self) -> None:
        """Lets go of the connection that it reads for: each would keep the other from being freed."""
        self.streaming_body = None
        del self._http
        del self.sink

    # Called by the HTTP parser.

    def on_message_begin(self) -> None:
        """A request begins."""
        self.received_at = clock()
        self._start_request()

    def on_url(self, part: bytes) -> None:
        """A part of the target."""
        self.target += part
        self.size += len(part)
        if self.size > wire.MAX_HEAD_BYTES:
            self.fail(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, which is no part of the head."""
        if self.head_complete_at:
            return
        self.size += len(name) + len(value) + wire.FIELD_OVERHEAD_BYTES
        if self.size > wire.MAX_HEAD_BYTES:
            self.fail(431)
        if self.error_status:
            return
        self.headers.append((name, value))
        lower_name = name.lower()
        if lower_name == b"connection":
            self.connection_header += b"," + value
        elif lower_name == b"expect" and value.lower() == b"100-continue":
            self.sink.continue_expected()
        if lower_name in (wire.TRACE_ID_HEADER, wire.TIMEOUT_HEADER) and lower_name in self.fields:
            self.fail(400)  # which of the two is meant?
        self.fields[lower_name] = value

    def on_headers_complete(self) -> None:
        """The head is complete."""
        self.size = 0
        self.unparsed_bytes = 0
        self.head_complete_at = clock()
        self.last_body_byte_at = self.head_complete_at
        length = int(self.fields.get(b"content-length") or 0)
        if length > wire.MAX_BODY_BYTES:
            self.fail(413)
        elif length > wire.MAX_BUFFERED_BYTES and not self.error_status:
            self._start_streaming_body(length)
        if self._http.should_upgrade():
            self.fail(400)  # what follows is not read as its body

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self.unparsed_bytes = 0
        self.last_body_byte_at = clock()
        self.size += len(part)
        if self.size > wire.MAX_BODY_BYTES:
            self.fail(413)
        elif self.error_status:
            return
        elif self.streaming_body is not None:
            self.streaming_body.feed(part)
        else:
            self.body.append(part)
            if self.size > wire.MAX_BUFFERED_BYTES:
                self._start_streaming_body(None)

    def _start_streaming_body(self, length: int | None) -> None:
        """The request is served while its body comes."""
        self.streaming_body = StreamingBody(self.sink, length, self.body)
        self._report_request(self.streaming_body)

    def on_message_complete(self) -> None:
        """The request has come whole."""
        if self.error_status:
            return
        if self.streaming_body is None:
            self._report_request(b"".join(self.body))
        else:
            self.streaming_body.mark_complete()
            self.sink.streaming_body_received(self.streaming_body)
        self.received_at = 0
        self.unparsed_bytes = 0

    def _report_request(self, body: bytes | StreamingBody) -> None:
        # Clients of an older protocol may not know how to keep the connection.
        keep_alive = (
            self._http.should_keep_alive()
            and not wire.requests_close(self.connection_header)
            and self._http.get_http_version() == HTTP_1_1
        )
        headers = wire.end_to_end_headers(self.headers, self.connection_header)
        self.sink.request_received(
            ReceivedRequest(
                self.received_at, self._http.get_method(), self.target, self.fields, headers, body, keep_alive
            )
        )
