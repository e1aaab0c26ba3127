"""Operators and the front's questions: one call a connection, and what came of it."""

import asyncio
import json
from collections.abc import Callable

import httptools

PATIENCE = 1.0  # seconds within which each answer is due


class Call(asyncio.Protocol):
    """One call, from its connection until its answer, or the end."""

    def __init__(self, message: bytes, done: Callable[[int, bytes], None]) -> None:
        self.message, self.done = message, done
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.told = b"", False

    def connection_made(self, transport) -> None:
        self.transport = transport
        transport.write(self.message)

    def data_received(self, data: bytes) -> None:
        if self.parser is not None:
            self.parser.feed_data(data)

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        self.say(self.parser.get_status_code())
        self.transport.close()

    def say(self, status: int) -> None:
        if not self.told:
            self.told = True
            self.done(status, self.body)

    def connection_lost(self, error) -> None:
        self.parser = None
        self.say(0)


async def call(loop, place: tuple[str, int], method: str, path: str, target: str = "") -> tuple[int, bytes]:
    """The status, 0 where none came in time, and the body."""
    body = json.dumps({"target": target}).encode() if target else b""
    message = f"{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    done = loop.create_future()

    def tell(status: int, text: bytes) -> None:
        if not done.done():
            done.set_result((status, text))

    timer = loop.call_later(PATIENCE, tell, 0, b"")
    opening = loop.create_task(loop.create_connection(lambda: Call(message, tell), *place))
    opening.add_done_callback(lambda task: task.cancelled() or task.exception() is None or tell(0, b""))
    try:
        return await done
    finally:
        timer.cancel()
        opening.cancel()
