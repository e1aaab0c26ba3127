"""HTTP to upstreams: one request at a time on a connection, and what comes back."""

from typing import Protocol

import httptools

from dahliabend.http import headers as wire
from dahliabend.http.streaming import StreamingBody
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget


class ResponseHandler(Protocol):
    """Whoever has a request out. Exactly one of the last two is called, unless the link is shut first."""

    def request_written(self) -> None: ...  # whole, before any of these
    def unsized_response_started(self) -> None: ...  # an answer of unknown length has begun to come
    def response_started(self, headers: bytes, length: int | None) -> None: ...  # a long one: it is not kept
    def response_part(self, part: bytes) -> None: ...
    def response_complete(
        self, status: int, not_executed: bool, load_report: bytes, headers: bytes, body: bytes
    ) -> None: ...
    def connection_failed(self, request_written: bool) -> None: ...


class ConnectionPool(Protocol):
    table: object  # whose deadlines know the loop

    def return_connection(self, connection: "UpstreamConnection") -> None: ...
    def remove_connection(self, connection: "UpstreamConnection") -> None: ...


class UpstreamConnection(Connection):
    """One connection to an upstream."""

    def __init__(self, descriptors: DescriptorBudget, pool: ConnectionPool) -> None:
        super().__init__(descriptors)
        self.pool = pool
        self.handler: ResponseHandler | None = None
        self.keep_alive = True
        self.parser: httptools.HttpResponseParser | None = None
        self.request_pending = False  # is the request still being written?
        self.upload: StreamingBody | None = None  # that still comes

    @property
    def is_flushed(self) -> bool:
        return self.upload is None and super().is_flushed

    def send_request(
        self, handler: ResponseHandler, head: bytes, body: bytes, upload: StreamingBody | None = None
    ) -> None:
        self.handler = handler
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0  # of the answer, once it has come whole
        self.unparsed_bytes = 0  # bytes since the parser last made something of them
        self.is_streaming, self.head_complete, self.parse_error = (
            False,
            False,
            "",
        )  # `why`: what could not be read
        self.request_pending, self.upload = True, upload
        self.write(head, body)
        if upload is not None:
            upload.attach(self)

    def continue_reading(self) -> None:
        self.pool.table.timers.loop.call_soon(
            super().continue_reading
        )  # never from within a call that writes

    def upload_finished(self, last: bytes) -> None:
        """The whole body has been handed over."""
        self.upload = None
        self.write(last)

    def output_flushed(self) -> None:
        if self.upload is not None:
            self.upload.sink_flushed()
        elif self.request_pending and self.handler is not None:
            self.request_pending = False
            self.handler.request_written()

    # What the parser tells. A fault raised here ends the reading.

    def on_message_begin(self) -> None:
        if self.status:
            raise ValueError("more than was asked for")  # a second copy would be joined to the answer
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.size, self.connection_header, self.load_report, self.not_executed, self.has_end_marker = (
            0,
            b"",
            b"",
            False,
            False,
        )
        self.length: int | None = None
        self.head_complete = self.ends_with_connection = self.has_transfer_encoding = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_complete:
            return  # a trailer
        self.size += len(name) + len(value) + 4
        if self.size > wire.MAX_HEAD_BYTES:
            raise ValueError("too long a head")
        lower_name = name.lower()
        if lower_name == wire.LOAD_REPORT:
            self.load_report = value
        elif lower_name == wire.NOT_EXECUTED:
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
        self.size = self.unparsed_bytes = 0
        status = self.parser.get_status_code()
        self.head_complete = status >= 200
        # What says neither its length nor that its connection ends with it can't be told from a spoilt head,
        # and one too long is of no use: waited for, either would hold its transaction to the limit.
        unsized = self.length is None and not self.has_transfer_encoding
        self.ends_with_connection = (
            self.head_complete and unsized and wire.requests_close(self.connection_header)
        )
        if (
            self.head_complete
            and not (self.has_end_marker or self.ends_with_connection)
            and status not in (204, 304)
        ):
            raise ValueError("no length, or too long a body")
        if status == 200 and self.length is not None and self.length > wire.MAX_BUFFERED_BYTES:
            self.start_streaming()

    def on_body(self, part: bytes) -> None:
        self.unparsed_bytes = 0
        if self.handler is None:
            return  # given up in between
        if not self.size and self.length is None:
            self.handler.unsized_response_started()
        self.size += len(part)
        if self.size > wire.MAX_BODY_BYTES:
            raise ValueError("too long a body")
        if self.is_streaming:
            self.handler.response_part(part)
        elif self.size <= wire.MAX_BUFFERED_BYTES:
            self.body.append(part)
        elif self.parser.get_status_code() == 200:
            self.body.append(part)
            self.start_streaming()

    def start_streaming(self) -> None:
        """The answer goes on as it comes; what has been kept of it goes ahead."""
        if not self.is_streaming and self.handler is not None and not self.status:
            self.is_streaming = True
            self.handler.response_started(
                wire.end_to_end_headers(self.headers, self.connection_header), self.length
            )
            parts, self.body = self.body, []
            for part in parts:
                if self.handler is not None:
                    self.handler.response_part(part)

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:  # 100 Continue and the like: the answer is still to come
            self.status = status
            # The parser tells here only whether the connection stays open; later it has forgotten.
            self.keep_alive = self.keep_alive and self.parser.should_keep_alive()

    # Bytes and their ends.

    def bytes_received(self, view: memoryview) -> None:
        if self.handler is None:
            return self.abort()  # nobody asked: whatever this answers, it is nobody's
        self.unparsed_bytes += len(view)
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.parse_error = str(error.__context__ or error)
            if not self.status and self.handler is not None:
                return self.fail()
            self.keep_alive = False
        if self.handler is None:
            return  # given up in between: its caller has left
        if self.status:
            self.complete_response()
        elif self.unparsed_bytes > wire.MAX_HEAD_BYTES:
            self.fail()  # the parser gathers a line without end

    def eof_received(self) -> bool:
        """Ended in order; a break comes as an error, and leaves what had no length cut short."""
        if self.handler is not None and self.head_complete and self.ends_with_connection and not self.status:
            self.status, self.keep_alive = self.parser.get_status_code(), False
            self.complete_response()
        return False

    def complete_response(self) -> None:
        if self.handler is not None:
            handler, self.handler, self.reading_suspended = self.handler, None, False
            self.keep_alive = self.keep_alive and not wire.requests_close(self.connection_header)
            headers = wire.end_to_end_headers(self.headers, self.connection_header)
            if self.keep_alive and self.is_flushed:
                self.pool.return_connection(self)
            else:
                self.end_upload()
                self.abort()
            handler.response_complete(
                self.status, self.not_executed, self.load_report, headers, b"".join(self.body)
            )

    def fail(self) -> None:
        handler = self.handler
        handler.connection_failed(self.cancel_request())

    def cancel_request(self) -> bool:
        """Gives up the request that is out; was it written whole?"""
        self.handler = None
        request_written = self.is_flushed
        self.end_upload()
        self.abort()
        return request_written

    def connection_closed(self) -> None:
        self.parser = None  # it holds this connection and its rings
        self.pool.remove_connection(self)
        request_written = self.is_flushed
        self.end_upload()
        handler, self.handler = self.handler, None
        if handler is not None:
            handler.connection_failed(request_written)

    def end_upload(self) -> None:
        if self.upload is not None:
            self.upload.detach()
