"""HTTP connections to upstreams: one request at a time on each connection, and its response."""

from typing import NamedTuple, Protocol

import httptools

from dahliabend.errors import ProtocolError
from dahliabend.http import headers as wire
from dahliabend.http.headers import NO_HEADERS, HeaderCollector
from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

STATUS_OK = 200
STATUSES_WITHOUT_BODY = (204, 304)


class UpstreamResponse(NamedTuple):
    """A response that has been received in full.

    Attributes:
        status: The status code.
        headers: The header lines to pass on.
        body: The body, without the parts that were passed on while streaming.
        load_report: The upstream's load report, if any.
        not_executed: Whether the upstream says that it did not execute the request.
    """

    status: int
    headers: bytes
    body: bytes
    load_report: bytes
    not_executed: bool


class ResponseHandler(Protocol):
    """The owner of a request that has been sent on a connection.

    Exactly one of `response_complete` and `connection_failed` is called, unless the request is cancelled
    first.
    """

    def request_written(self) -> None:
        """Handle the completed write of the request to the kernel; called before any other method."""

    def unsized_response_started(self, connection: "UpstreamConnection") -> None:
        """Handle the first body bytes of a response of unknown length on this connection."""

    def response_started(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Handle the start of a streamed response.

        Args:
            headers: The header lines to pass on.
            length: Length of the body in bytes, if known.
            source: The connection that the body is received on.
        """

    def response_part(self, data: bytes) -> None:
        """Handle a part of the body of a streamed response."""

    def response_complete(self, response: UpstreamResponse) -> None:
        """Handle a response that has been received in full."""

    def connection_failed(self, request_written: bool) -> None:
        """Handle a failed connection: there will be no response.

        Args:
            request_written: Whether the whole request had been written, so that it may have been executed.
        """


class TimerOwner(Protocol):
    """An object that holds the timers of the process."""

    @property
    def timers(self) -> TimerQueue:
        """The timers, which know the event loop."""


class ConnectionOwner(Protocol):
    """The owner of the connections to an upstream."""

    @property
    def resources(self) -> TimerOwner:
        """The resources that all connections of the owner share."""

    def return_connection(self, connection: "UpstreamConnection") -> None:
        """Take back a connection that is free for the next request."""

    def remove_connection(self, connection: "UpstreamConnection") -> None:
        """Remove a connection that is closed."""


class UpstreamConnection(Connection):
    """One connection to an upstream.

    Attributes:
        owner: Owner of the connection.
        handler: Owner of the request that awaits its response, if any.
        keep_alive: Whether the connection can carry another request.
        request_pending: Whether the request is still being written.
        upload: The request body, if it is still being received.
        status: Status of the response, once it has been received in full; else 0.
        unparsed_bytes: Bytes since the parser last reported progress.
        is_streaming: Whether the response is passed on while it is received.
        head_complete: Whether the head of the response has been received.
        parse_error: Why the response could not be parsed; empty if it could.
        headers: The response headers.
        body: The buffered part of the response body.
        section_bytes: Bytes received of the current section of the response: of the head, then of the body.
        load_report: The upstream's load report, if any.
        not_executed: Whether the upstream says that it did not execute the request.
        length: Length of the response body in bytes, if the response states it.
        has_transfer_encoding: Whether the response has a Transfer-Encoding header.
        has_usable_framing: Whether the head delimits the body: by chunks, or by a length within the limit.
        ends_with_connection: Whether the body ends when the connection is closed.
    """

    reads_less_if_memory_is_scarce = True

    def __init__(self, descriptors: DescriptorBudget, owner: ConnectionOwner) -> None:
        """Create a connection that is not connected yet; `dial` connects it.

        Args:
            descriptors: Owner of the connection's descriptor.
            owner: Owner of the connection.
        """
        super().__init__(descriptors)
        self.owner = owner
        self.handler: ResponseHandler | None = None
        self.keep_alive = True
        self.parser: httptools.HttpResponseParser
        self.headers = NO_HEADERS
        self.body = bytearray()
        self.unparsed_bytes = 0
        self.request_pending = False
        self.upload: StreamingBody | None = None

    # Request

    @property
    def is_flushed(self) -> bool:
        """Whether the kernel has taken the whole request."""
        return self.upload is None and super().is_flushed

    def send_request(
        self, handler: ResponseHandler, head: bytes, body: bytes, upload: StreamingBody | None = None
    ) -> None:
        """Send a request.

        Args:
            handler: Receives the response.
            head: The request head.
            body: The request body, as far as it is buffered.
            upload: The whole body, if it is still being received.
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

    def resume_reading(self) -> None:
        """Resume reading in the next turn of the event loop, never within a call that writes."""
        self.owner.resources.timers.loop.call_soon(super().resume_reading)

    def finish_upload(self, terminator: bytes) -> None:
        """Write the terminator of a streamed request body."""
        self.upload = None
        self.write(terminator)

    def output_flushed(self) -> None:
        """Notify the upload or the handler that the kernel has taken all that was written."""
        if self.upload is not None:
            self.upload.sink_flushed()
        elif self.request_pending and self.handler is not None:
            self.request_pending = False
            self.handler.request_written()

    # Parser callbacks. An error raised in one of them stops the parser.

    def on_message_begin(self) -> None:
        """Reset the state of the response.

        Raises:
            ProtocolError: A response to the request has been received already.
        """
        if self.status:
            raise ProtocolError("more than was asked for")  # a second response, which would be appended
        self.headers = HeaderCollector()
        self.body = bytearray()
        self.section_bytes = 0
        self.load_report = b""
        self.not_executed = False
        self.length: int | None = None
        self.has_usable_framing = False
        self.head_complete = False
        self.ends_with_connection = False
        self.has_transfer_encoding = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; trailers are ignored.

        Raises:
            ProtocolError: The head is too long.
        """
        if self.head_complete:
            return
        self.section_bytes += len(name) + len(value) + wire.HEADER_OVERHEAD_BYTES
        if self.section_bytes > wire.MAX_HEAD_BYTES:
            raise ProtocolError("too long a head")
        lower_name = name.lower()
        if lower_name == wire.LOAD_REPORT_HEADER:
            self.load_report = value
        elif lower_name == wire.NOT_EXECUTED_HEADER:
            self.not_executed = value == b"1"
        elif lower_name == b"content-length":
            self.length = int(value)
            self.has_usable_framing = self.length <= wire.MAX_BODY_BYTES
        elif lower_name == b"transfer-encoding":
            self.has_transfer_encoding = True
            self.has_usable_framing = value.strip().lower().endswith(b"chunked")
        self.headers.add(name, lower_name, value)

    def on_headers_complete(self) -> None:
        """Check that the head states how the body ends.

        A head with neither a length nor the announcement that the connection will close cannot be told from a
        corrupted head, and a body over the limit is of no use. Waiting for either would hold the request
        until its deadline.

        Raises:
            ProtocolError: The end of the body is not stated, or the body is too long.
        """
        self.section_bytes = 0
        self.unparsed_bytes = 0
        status = self.parser.get_status_code()
        self.head_complete = status >= STATUS_OK
        if self.head_complete:
            is_unsized = self.length is None and not self.has_transfer_encoding
            self.ends_with_connection = is_unsized and wire.requests_close(self.headers.connection_header)
            has_end = self.has_usable_framing or self.ends_with_connection
            if not has_end and status not in STATUSES_WITHOUT_BODY:
                raise ProtocolError("no length, or too long a body")
        if status == STATUS_OK and self.length is not None and self.length > wire.MAX_BUFFERED_BYTES:
            self.start_streaming()

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body, or pass it on if the response is streamed.

        Raises:
            ProtocolError: The body is too long.
        """
        self.unparsed_bytes = 0
        if self.handler is None:
            return  # the request was cancelled
        if not self.section_bytes and self.length is None:
            self.handler.unsized_response_started(self)
        self.section_bytes += len(data)
        if self.section_bytes > wire.MAX_BODY_BYTES:
            raise ProtocolError("too long a body")
        if self.parser.get_status_code() != STATUS_OK:
            return  # no use is made of it
        self.body += data
        if not self.is_streaming and self.section_bytes > self.memory.allowance():
            self.start_streaming()

    def start_streaming(self) -> None:
        """Pass on the response while it is received, beginning with the parts already buffered."""
        if self.is_streaming or self.handler is None or self.status:
            return
        self.is_streaming = True
        self.handler.response_started(self.headers.forwarded_lines(), self.length, self)
        self._pass_on_body()

    def _pass_on_body(self) -> None:
        """Pass on what has been received of a streamed body, in one piece however small its chunks are."""
        if self.is_streaming and self.body and self.handler is not None:
            part = bytes(self.body)
            self.body = bytearray()
            self.handler.response_part(part)

    def on_message_complete(self) -> None:
        """Record the end of the response; interim responses such as 100 Continue are skipped."""
        status = self.parser.get_status_code()
        if status >= STATUS_OK:
            self.status = status
            # The parser knows only now whether the connection can stay open.
            self.keep_alive = self.keep_alive and self.parser.should_keep_alive()

    # Input and end of the connection

    def bytes_received(self, view: memoryview) -> None:
        """Parse the response; bytes without a request close the connection."""
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
        if self.is_streaming:
            self._pass_on_body()
        if self.status:
            self._complete_response()
        elif self.unparsed_bytes > wire.MAX_HEAD_BYTES:
            self._fail()  # the parser would buffer an endless line

    def eof_received(self) -> bool:
        """Complete a response whose body ends when the connection is closed.

        A connection that breaks is reported as an error instead, and leaves such a response incomplete.
        """
        if self.handler is not None and self.head_complete and self.ends_with_connection and not self.status:
            self.status = self.parser.get_status_code()
            self.keep_alive = False
            self._complete_response()
        return False

    def _complete_response(self) -> None:
        """Hand the response to the handler, and return the connection to its owner or close it."""
        if self.handler is None:
            return  # the request was cancelled
        handler = self.handler
        self.handler = None
        self.reading_suspended = False
        self.keep_alive = self.keep_alive and not wire.requests_close(self.headers.connection_header)
        response = UpstreamResponse(
            status=self.status,
            headers=self.headers.forwarded_lines(),
            body=bytes(self.body),
            load_report=self.load_report,
            not_executed=self.not_executed,
        )
        self._drop_response()
        if self.keep_alive and self.is_flushed:
            self.owner.return_connection(self)
        else:
            self._detach_upload()
            self.abort()
        handler.response_complete(response)

    def _drop_response(self) -> None:
        """Drop what is buffered of the response."""
        self.headers = NO_HEADERS
        self.body = bytearray()

    def buffered_bytes(self) -> int:
        """Return how many bytes of a request, a response and their bodies the connection holds."""
        held = len(self.unprocessed) + self.unsent_bytes
        if self.handler is not None:
            held += (
                len(self.body) + self.headers.buffered_bytes() + min(self.unparsed_bytes, wire.MAX_HEAD_BYTES)
            )
        return held

    def _fail(self) -> None:
        """Report a response that cannot be used, and close the connection."""
        handler = self.handler
        if handler is not None:
            handler.connection_failed(self.cancel_request())

    def cancel_request(self) -> bool:
        """Cancel the request and close the connection; return whether the whole request had been written."""
        self.handler = None
        request_written = self.is_flushed
        self._detach_upload()
        self.abort()
        return request_written

    def connection_closed(self) -> None:
        """Remove the connection from its owner and report that there will be no response."""
        self.parser = None  # type: ignore[assignment]  # it holds references to this connection and its buffers
        self.owner.remove_connection(self)
        request_written = self.is_flushed
        self._detach_upload()
        handler = self.handler
        self.handler = None
        if handler is not None:
            handler.connection_failed(request_written)

    def _detach_upload(self) -> None:
        if self.upload is not None:
            self.upload.detach()
