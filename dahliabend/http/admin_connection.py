"""HTTP connections of operators: one call each, answered in the loop's turn in which it has come whole."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import httptools

from dahliabend.http.responses import CONNECTION_CLOSE, CONTINUE, response_head
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import Timer, TimerQueue, clock

MAX_REQUEST_BYTES = 8192  # head and body
REQUEST_TIMEOUT = 2_500_000  # microseconds from connecting until the call has come and its answer is read


class AdminResponse(NamedTuple):
    """The answer to a call; `headers` are header lines beyond those of its framing."""

    status: int
    headers: bytes
    body: bytes


class AdminConnection(Connection):
    """One operator's call.

    Attributes:
        target: Of the call, as far as it has come.
        body: Likewise.
        size: Bytes that have come.
        responded: It is answered.
        timeout_timer: Closes it when `REQUEST_TIMEOUT` is over.
    """

    def __init__(
        self,
        descriptors: DescriptorBudget,
        timers: TimerQueue,
        handle_request: Callable[[bytes, bytes, bytes], AdminResponse],
    ) -> None:
        """Creates it.

        Args:
            descriptors: Owner of its descriptor.
            timers: Of the process.
            handle_request: Answers a call; takes its method, path and body.
        """
        super().__init__(descriptors)
        self.timers = timers
        self.handle_request = handle_request
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.body = b""
        self.size = 0
        self.responded = False
        self.timeout_timer: Timer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Its call is due from now on.

        The oldest that has not sent one is evicted once another wants in: otherwise a few silent ones would
        lock the operators out.
        """
        super().connection_made(transport)
        self.descriptors.mark_awaiting_request(self.handle, clock())
        self.timeout_timer = self.timers.schedule(clock() + REQUEST_TIMEOUT, self.abort)

    def can_evict(self) -> bool:
        """Whether no call can be lying unread."""
        return not self.unread_input()

    # Called by the parser.

    def on_url(self, part: bytes) -> None:
        """A part of the target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header; none but Expect is heeded."""
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.write(CONTINUE)

    def on_body(self, part: bytes) -> None:
        """A part of the body."""
        self.body += part

    def on_message_complete(self) -> None:
        """The call has come whole."""
        path = self.target.partition(b"?")[0]
        self.send_response(self.handle_request(self.parser.get_method(), path, self.body))

    def bytes_received(self, view: memoryview) -> None:
        """Reads the call; what follows it is discarded."""
        if self.responded:
            return
        self.size += len(view)
        if self.size > MAX_REQUEST_BYTES:
            self.send_response(AdminResponse(413, b"", b"too long\n"))
            return
        try:
            self.parser.feed_data(view)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.send_response(AdminResponse(400, b"", b"not understood\n"))

    def send_response(self, response: AdminResponse) -> None:
        """Answers the call, once."""
        if not self.responded:
            self.responded = True
            headers = CONNECTION_CLOSE + response.headers
            self.write(response_head(response.status, headers, b"", len(response.body)), response.body)

    def output_flushed(self) -> None:
        """Ends the sending behind the answer.

        Closed with a part of the call unread, the answer could be wiped out before it is read: the connection
        ends when the operator ends it, or when its time is over.
        """
        if self.responded and self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()

    def connection_closed(self) -> None:
        """Lets go of the parser, which holds this connection and its buffers."""
        del self.parser
        self.timers.cancel(self.timeout_timer)
