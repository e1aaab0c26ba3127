"""HTTP connections of operators: one admin call each, answered as soon as it has been received in full."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import httptools

from dahliabend.http.responses import CONNECTION_CLOSE, CONTINUE, response_head
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import Timer, TimerQueue, clock

MAX_CALL_BYTES = 8192  # of head and body together
CALL_TIMEOUT = 2_500_000  # microseconds from connecting until the operator has read the response


class AdminResponse(NamedTuple):
    """The response to an admin call; `headers` holds header lines beyond those of its framing."""

    status: int
    headers: bytes
    body: bytes


class AdminConnection(Connection):
    """A connection that carries one admin call.

    Attributes:
        target: Target of the call, as far as it has been received.
        body: Body of the call, as far as it has been received.
        received_bytes: Bytes of head and body received so far.
        has_responded: Whether the response has been written.
        timeout_timer: Aborts the connection after `CALL_TIMEOUT`.
    """

    def __init__(
        self,
        descriptors: DescriptorBudget,
        timers: TimerQueue,
        handle_call: Callable[[bytes, bytes, bytes], AdminResponse],
    ) -> None:
        """Create a connection that is not connected to a transport yet.

        Args:
            descriptors: Owner of the connection's descriptor.
            timers: Timers of the process.
            handle_call: Returns the response to an admin call, given its method, path and body.
        """
        super().__init__(descriptors)
        self.timers = timers
        self.handle_call = handle_call
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.body = b""
        self.received_bytes = 0
        self.has_responded = False
        self.timeout_timer: Timer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the call, which has to arrive within `CALL_TIMEOUT`.

        If another operator connects, the oldest connection that has not sent a call is evicted: otherwise a
        few silent connections would lock the operators out.
        """
        super().connection_made(transport)
        self.descriptors.mark_awaiting_request(self.handle, clock())
        self.timeout_timer = self.timers.schedule(clock() + CALL_TIMEOUT, self.abort)

    def buffered_bytes(self) -> int:
        """Return how many bytes of the call and of its response the connection holds."""
        return len(self.target) + len(self.body) + len(self.unprocessed) + self.unsent_bytes

    def can_evict(self) -> bool:
        """Return whether the connection can be closed without losing a call that has not been read yet."""
        return not self.unread_input()

    # Parser callbacks

    def on_url(self, data: bytes) -> None:
        """Append a part of the target of the call."""
        self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Answer `Expect: 100-continue`; all other headers are ignored."""
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body of the call."""
        self.body += data

    def on_message_complete(self) -> None:
        """Answer the call, which has been received in full."""
        path = self.target.partition(b"?")[0]
        self.send_response(self.handle_call(self.parser.get_method(), path, self.body))

    def bytes_received(self, view: memoryview) -> None:
        """Parse the call; bytes after it are discarded."""
        if self.has_responded:
            return
        self.received_bytes += len(view)
        if self.received_bytes > MAX_CALL_BYTES:
            self.send_response(AdminResponse(413, b"", b"too long\n"))
            return
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.send_response(AdminResponse(400, b"", b"not understood\n"))

    def send_response(self, response: AdminResponse) -> None:
        """Write the response, unless one has been written before."""
        if not self.has_responded:
            self.has_responded = True
            headers = CONNECTION_CLOSE + response.headers
            self.write(response_head(response.status, headers, b"", len(response.body)), response.body)

    def output_flushed(self) -> None:
        """Shut down the sending side after the response.

        Closing the connection while a part of the call is unread could make the kernel discard the response
        before the operator reads it. The connection ends when the operator closes it or when
        `CALL_TIMEOUT` is over.
        """
        if self.has_responded and self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()

    def connection_closed(self) -> None:
        """Delete the parser, which holds references to this connection and its buffers."""
        del self.parser
        self.timers.cancel(self.timeout_timer)
