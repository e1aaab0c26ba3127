"""HTTP to operators: one call a connection, answered in the turn of the loop in which it has come whole."""

from collections.abc import Callable

import httptools

from dahliabend.http import headers as wire
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

MAX_REQUEST_BYTES = 8192  # bytes, head and body
REQUEST_TIMEOUT = (
    2_500_000  # for a call to come whole, counted from connecting, and for its answer to be read
)

AdminResponse = tuple[int, bytes, bytes]  # status, further header lines, body


class AdminConnection(Connection):
    """One call. `answer` is told method, path and body."""

    def __init__(
        self,
        descriptors: DescriptorBudget,
        timers: TimerQueue,
        handle_request: Callable[[bytes, bytes, bytes], AdminResponse],
    ) -> None:
        super().__init__(descriptors)
        self.timers, self.handle_request = timers, handle_request
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target, self.body, self.size, self.responded = b"", b"", 0, False
        self.timeout_timer: list | None = None

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        # It owes its call from now on: the oldest that has not sent one goes once another wants in. Held for
        # as long as they like, a few silent ones would lock the operators out.
        self.descriptors.mark_awaiting_request(self.handle, clock())
        self.timeout_timer = self.timers.schedule(clock() + REQUEST_TIMEOUT, self.abort)

    def can_evict(self) -> bool:
        return not self.unread_input()

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        path = self.target.partition(b"?")[0]
        self.send_response(*self.handle_request(self.parser.get_method(), path, self.body))

    def bytes_received(self, view: memoryview) -> None:
        if self.responded:
            return  # one call a connection
        self.size += len(view)
        if self.size > MAX_REQUEST_BYTES:
            return self.send_response(413, b"", b"too long\n")
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.send_response(400, b"", b"not understood\n")

    def send_response(self, status: int, extra: bytes, body: bytes) -> None:
        if self.responded:
            return
        self.responded = True
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\nConnection: close\r\n" % (
            status, wire.REASONS.get(status, b"Other"), len(body),
        )  # fmt: skip
        self.write(head + extra + b"\r\n", body)

    def output_flushed(self) -> None:
        # Closed with a part of the call unread, the answer could be wiped out before it is read: it ends
        # when the operator ends it, or at its limit.
        if self.responded and self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()

    def connection_closed(self) -> None:
        self.parser = None  # it holds this connection and its rings
        self.timers.cancel(self.timeout_timer)
