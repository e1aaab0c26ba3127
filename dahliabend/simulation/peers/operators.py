"""HTTP calls of the admin interface and of readiness checks, each on a new connection."""

import asyncio
import json
from collections.abc import Callable
from typing import cast

import httptools

RESPONSE_TIMEOUT = 1.0  # seconds

OnFinished = Callable[[int, bytes], None]


class Call(asyncio.Protocol):
    """One HTTP call, which finishes with its response or with the loss of the connection."""

    def __init__(self, message: bytes, on_finished: OnFinished) -> None:
        self.message = message
        self.on_finished = on_finished
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = b""
        self.status = 0
        self.is_finished = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement `asyncio.Protocol.connection_made`."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.message)

    def data_received(self, data: bytes) -> None:
        """Implement `asyncio.Protocol.data_received`."""
        if self.parser is not None:
            self.parser.feed_data(data)

    def on_headers_complete(self) -> None:
        """Record the status once httptools has parsed the head."""
        if self.parser is not None:
            self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Handle body data, parsed by httptools."""
        self.body += data

    def on_message_complete(self) -> None:
        """Finish the call once httptools has parsed the response."""
        self._finish(self.status)
        self.transport.close()

    def _finish(self, status: int) -> None:
        if not self.is_finished:
            self.is_finished = True
            self.on_finished(status, self.body)

    def connection_lost(self, _error: Exception | None) -> None:
        """Implement `asyncio.Protocol.connection_lost`."""
        self.parser = None
        self._finish(0)


async def call(
    loop: asyncio.AbstractEventLoop, address: tuple[str, int], method: str, path: str, target: str = ""
) -> tuple[int, bytes]:
    """Make an HTTP call and wait for its response.

    Args:
        loop: the event loop to use.
        address: the address of the interface.
        method: the method of the request.
        path: the path of the request.
        target: the target in the JSON body of the request; empty: no body.

    Returns:
        The status and the body of the response; the status is 0 if no response arrived in time.
    """
    body = json.dumps({"target": target}).encode() if target else b""
    message = f"{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    finished: asyncio.Future[tuple[int, bytes]] = loop.create_future()

    def finish(status: int, response_body: bytes) -> None:
        """Set the result if it is not set yet."""
        if not finished.done():
            finished.set_result((status, response_body))

    def connect_finished(task: "asyncio.Task[tuple[asyncio.Transport, Call]]") -> None:
        """Finish with status 0 if the connection failed."""
        if not task.cancelled() and task.exception() is not None:
            finish(0, b"")

    timer = loop.call_later(RESPONSE_TIMEOUT, finish, 0, b"")
    connecting = loop.create_task(loop.create_connection(lambda: Call(message, finish), *address))
    connecting.add_done_callback(connect_finished)
    try:
        return await finished
    finally:
        timer.cancel()
        connecting.cancel()
