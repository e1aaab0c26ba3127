"""HTTP connections to upstreams: one request at a time on each, and the response to it."""

from typing import NamedTuple, Protocol

import httptools

from dahliabend.errors import ProtocolError
from dahliabend.http import headers as wire
from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

HTTP_OK = 200
STATUSES_WITHOUT_BODY = (204, 304)


class UpstreamResponse(NamedTuple):
    """A response that has come whole.

    Attributes:
        status: The status code.
        headers: The header lines to pass on.
        body: The body, but for the parts that were passed on.
        load_report: The upstream's load report, if any.
        not_executed: The upstream says that it never executed the request.
    """

    status: int
    headers: bytes
    body: bytes
    load_report: bytes
    not_executed: bool


class ResponseHandler(Protocol):
    """Whoever has a request out.

    Exactly one of `response_complete` and `connection_failed` is called, unless the request is cancelled
    first.
    """

    def request_written(self) -> None:
        """The system has taken the whole request; called before any of the others."""

    def unsized_response_started(self, connection: "UpstreamConnection") -> None:
        """The body of a response of unknown length has begun to come on this connection."""

    def response_started(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """A long response is passed on while it comes.

        Args:
            headers: The header lines to pass on.
            length: Bytes of its body, if known.
            source: The connection that it comes from.
        """

    def response_part(self, part: bytes) -> None:
        """A part of the body of such a response."""

    def response_complete(self, response: UpstreamResponse) -> None:
        """The response has come whole."""

    def connection_failed(self, request_written: bool) -> None:
        """No response will come.

        Args:
            request_written: The whole request had been written, so that it may be executed.
        """


class TimerOwner(Protocol):
    """Whatever has the process's timers."""

    @property
    def timers(self) -> TimerQueue:
        """The timers, which know the event loop."""


class ConnectionPool(Protocol):
    """The owner of an upstream's connections."""

    @property
    def resources(self) -> TimerOwner:
        """What the connections of a pool share."""

    def return_connection(self, connection: "UpstreamConnection") -> None:
        """A connection is free for the next request."""

    def remove_connection(self, connection: "UpstreamConnection") -> None:
        """A connection is closed."""


class UpstreamConnection(Connection):
    """One connection to an upstream.

    Attributes:
        pool: Its owner.
        handler: Whoever has a request out on it, if any.
        keep_alive: It may serve another request.
        request_pending: The request is still being written.
        upload: The request's body, if that still comes.
        status: Of the response, once that has come whole; else 0.
        unparsed_bytes: Bytes since the parser last made something of them.
        is_streaming: The response is passed on while it comes.
        head_complete: The response's head has come.
        parse_error: What could not be read of the response.
        headers: Of the response, name and value as they came.
        body: Of the response, as far as it is buffered.
        size: Bytes of the response's head, then of its body.
        connection_header: The values of the response's Connection headers.
        load_report: The upstream's load report, if any.
        not_executed: The upstream says that it never executed the request.
        length: Bytes of the response's body, if it says so.
        has_transfer_encoding: The response has a Transfer-Encoding.
        has_end_marker: The response's end can be told, and is not beyond the limit.
        ends_with_connection: The response ends with its connection.
    """

    def __init__(self, descriptors: DescriptorBudget, pool: ConnectionPool) -> None:
        """Creates it; `dial` connects it.

        Args:
            descriptors: Owner of its descriptor.
            pool: Its owner.
        """
        super().__init__(descriptors)
        self.pool = pool
        self.handler: ResponseHandler | None = None
        self.keep_alive = True
        self.parser: httptools.HttpResponseParser
        self.request_pending = False
        self.upload: StreamingBody | None = None

    # The request.

    @property
    def is_flushed(self) -> bool:
        """Whether the system has taken the whole request."""
        return self.upload is None and super().is_flushed

    def send_request(
        self, handler: ResponseHandler, head: bytes, body: bytes, upload: StreamingBody | None = None
    ) -> None:
        """Sends a request.

        Args:
            handler: Takes the response.
            head: The request's head.
            body: Its body, as far as it has come.
            upload: The rest of its body, if that still comes.
        """
        self.handler = handler
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.unparsed_bytes = 0
        self.is_streaming = False
        self.head_complete = False
        self.parse_error = ""
        self.request_pending = True
        self.upload = upload
        self.write(head, body)
        if upload is not None:
            upload.attach(self)

    def continue_reading(self) -> None:
        """Reads on, on the loop's next turn: never within a call that writes."""
        self.pool.resources.timers.loop.call_soon(super().continue_reading)

    def upload_finished(self, terminator: bytes) -> None:
        """The whole body has been written, but for these bytes."""
        self.upload = None
        self.write(terminator)

    def output_flushed(self) -> None:
        """The system has taken all that was written."""
        if self.upload is not None:
            self.upload.sink_flushed()
        elif self.request_pending and self.handler is not None:
            self.request_pending = False
            self.handler.request_written()

    # The response, as the parser reports it. An error raised here ends the reading.

    def on_message_begin(self) -> None:
        """A response begins."""
        if self.status:
            raise ProtocolError("more than was asked for")  # a second one would be joined to the response
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.size = 0
        self.connection_header = b""
        self.load_report = b""
        self.not_executed = False
        self.length: int | None = None
        self.has_end_marker = False
        self.head_complete = False
        self.ends_with_connection = False
        self.has_transfer_encoding = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, which is ignored."""
        if self.head_complete:
            return
        self.size += len(name) + len(value) + wire.HEADER_OVERHEAD_BYTES
        if self.size > wire.MAX_HEAD_BYTES:
            raise ProtocolError("too long a head")
        lower_name = name.lower()
        if lower_name == wire.LOAD_REPORT_HEADER:
            self.load_report = value
        elif lower_name == wire.NOT_EXECUTED_HEADER:
            self.not_executed = value == b"1"
        elif lower_name == b"connection":
            self.connection_header += b"," + value
        elif lower_name == b"content-length":
            self.length = int(value)
            self.has_end_marker = self.length <= wire.MAX_BODY_BYTES
        elif lower_name == b"transfer-encoding":
            self.has_transfer_encoding = True
            self.has_end_marker = value.strip().lower().endswith(b"chunked")
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is complete; it has to say how the body ends.

        One that says neither its length nor that its connection ends with it cannot be told from a spoilt
        head, and one too long is of no use: waited for, either would hold its request to the deadline.
        """
        self.size = 0
        self.unparsed_bytes = 0
        status = self.parser.get_status_code()
        self.head_complete = status >= HTTP_OK
        if self.head_complete:
            is_unsized = self.length is None and not self.has_transfer_encoding
            self.ends_with_connection = is_unsized and wire.requests_close(self.connection_header)
            has_end = self.has_end_marker or self.ends_with_connection
            if not has_end and status not in STATUSES_WITHOUT_BODY:
                raise ProtocolError("no length, or too long a body")
        if status == HTTP_OK and self.length is not None and self.length > wire.MAX_BUFFERED_BYTES:
            self.start_streaming()

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self.unparsed_bytes = 0
        if self.handler is None:
            return  # cancelled meanwhile
        if not self.size and self.length is None:
            self.handler.unsized_response_started(self)
        self.size += len(part)
        if self.size > wire.MAX_BODY_BYTES:
            raise ProtocolError("too long a body")
        if self.is_streaming:
            self.handler.response_part(part)
        elif self.size <= wire.MAX_BUFFERED_BYTES:
            self.body.append(part)
        elif self.parser.get_status_code() == HTTP_OK:
            self.body.append(part)
            self.start_streaming()

    def start_streaming(self) -> None:
        """Passes the response on while it comes; what is buffered of it goes ahead."""
        if self.is_streaming or self.handler is None or self.status:
            return
        self.is_streaming = True
        headers = wire.end_to_end_headers(self.headers, self.connection_header)
        self.handler.response_started(headers, self.length, self)
        parts = self.body
        self.body = []
        for part in parts:
            if self.handler is not None:
                self.handler.response_part(part)

    def on_message_complete(self) -> None:
        """The response has come whole, unless it is 100 Continue or the like."""
        status = self.parser.get_status_code()
        if status >= HTTP_OK:
            self.status = status
            # The parser knows only here whether the connection stays open.
            self.keep_alive = self.keep_alive and self.parser.should_keep_alive()

    # Bytes and their ends.

    def bytes_received(self, view: memoryview) -> None:
        """Reads the response; bytes that nobody asked for end the connection."""
        if self.handler is None:
            self.abort()
            return
        self.unparsed_bytes += len(view)
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.parse_error = str(error.__context__ or error)
            self.keep_alive = False
            if not self.status:
                self._fail()
                return
        if self.status:
            self._complete_response()
        elif self.unparsed_bytes > wire.MAX_HEAD_BYTES:
            self._fail()  # the parser gathers a line without end

    def eof_received(self) -> bool:
        """Completes a response that ends with its connection.

        A break comes as an error instead, and leaves such a response incomplete.
        """
        if self.handler is not None and self.head_complete and self.ends_with_connection and not self.status:
            self.status = self.parser.get_status_code()
            self.keep_alive = False
            self._complete_response()
        return False

    def _complete_response(self) -> None:
        """Hands the response on, and returns the connection or closes it."""
        if self.handler is None:
            return  # cancelled meanwhile
        handler = self.handler
        self.handler = None
        self.reading_suspended = False
        self.keep_alive = self.keep_alive and not wire.requests_close(self.connection_header)
        response = UpstreamResponse(
            status=self.status,
            headers=wire.end_to_end_headers(self.headers, self.connection_header),
            body=b"".join(self.body),
            load_report=self.load_report,
            not_executed=self.not_executed,
        )
        if self.keep_alive and self.is_flushed:
            self.pool.return_connection(self)
        else:
            self._detach_upload()
            self.abort()
        handler.response_complete(response)

    def _fail(self) -> None:
        """What has come is no response that could be used."""
        handler = self.handler
        if handler is not None:
            handler.connection_failed(self.cancel_request())

    def cancel_request(self) -> bool:
        """Gives up the request that is out, and closes the connection; whether it had been written whole."""
        self.handler = None
        request_written = self.is_flushed
        self._detach_upload()
        self.abort()
        return request_written

    def connection_closed(self) -> None:
        """Reports that no response will come."""
        self.parser = None  # type: ignore[assignment]  # it holds this connection and its buffers
        self.pool.remove_connection(self)
        request_written = self.is_flushed
        self._detach_upload()
        handler = self.handler
        self.handler = None
        if handler is not None:
            handler.connection_failed(request_written)

    def _detach_upload(self) -> None:
        if self.upload is not None:
            self.upload.detach()
