"""Calls of the admin interface and of health endpoints: one request on a connection of its own."""

import asyncio
import json
from collections.abc import Callable
from typing import cast

import httptools

ANSWER_TIMEOUT = 1.0  # seconds

OnFinished = Callable[[int, bytes], None]


class Call(asyncio.Protocol):
    """One call, from its connection until its response or the end of the connection."""

    def __init__(self, message: bytes, on_finished: OnFinished) -> None:
        self.message = message
        self.on_finished = on_finished
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.body = b""
        self.status = 0
        self.is_finished = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """As asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.message)

    def data_received(self, data: bytes) -> None:
        """As asyncio."""
        if self.parser is not None:
            self.parser.feed_data(data)

    def on_headers_complete(self) -> None:
        """As httptools."""
        if self.parser is not None:
            self.status = self.parser.get_status_code()

    def on_body(self, part: bytes) -> None:
        """As httptools."""
        self.body += part

    def on_message_complete(self) -> None:
        """As httptools."""
        self._finish(self.status)
        self.transport.close()

    def _finish(self, status: int) -> None:
        if not self.is_finished:
            self.is_finished = True
            self.on_finished(status, self.body)

    def connection_lost(self, _error: Exception | None) -> None:
        """As asyncio."""
        self.parser = None
        self._finish(0)


async def call(
    loop: asyncio.AbstractEventLoop, address: tuple[str, int], method: str, path: str, target: str = ""
) -> tuple[int, bytes]:
    """Make a call.

    Args:
        loop: to make it on.
        address: of the interface.
        method: of the request.
        path: of the request.
        target: that the request's JSON body names; empty: no body.

    Returns:
        The status, 0 where no response came in time, and the body.
    """
    body = json.dumps({"target": target}).encode() if target else b""
    message = f"{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    finished: asyncio.Future[tuple[int, bytes]] = loop.create_future()

    def finish(status: int, text: bytes) -> None:
        """Set the result, unless it is set."""
        if not finished.done():
            finished.set_result((status, text))

    def connect_finished(task: "asyncio.Task[tuple[asyncio.Transport, Call]]") -> None:
        """Finish without a status if the connection failed."""
        if not task.cancelled() and task.exception() is not None:
            finish(0, b"")

    timer = loop.call_later(ANSWER_TIMEOUT, finish, 0, b"")
    connecting = loop.create_task(loop.create_connection(lambda: Call(message, finish), *address))
    connecting.add_done_callback(connect_finished)
    try:
        return await finished
    finally:
        timer.cancel()
        connecting.cancel()
