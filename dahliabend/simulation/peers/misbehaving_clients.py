"""Misbehaving clients, which flood a balancer or send malformed requests."""

import asyncio
import contextlib
from random import Random
from typing import cast

from dahliabend.simulation.peers import RecordEvent
from dahliabend.simulation.peers.client_request import ClientRequest

MIN_LIFETIME = 0.02  # seconds
MAX_EXTRA_LIFETIME = 0.2  # seconds
FLOOD_BODY = b"z" * 300


class FloodingClient(asyncio.Protocol):
    """A client that pipelines many requests at once and soon disconnects without awaiting all responses."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        recorder: RecordEvent,
        trace_ids: list[str],
        timeout: int,
        rng: Random,
    ) -> None:
        """Create an unconnected client; `timeout` is that of its requests, in microseconds."""
        self.loop = loop
        self.recorder = recorder
        self.trace_ids = trace_ids
        self.timeout = timeout
        self.lifetime = MIN_LIFETIME + MAX_EXTRA_LIFETIME * rng.random()
        self.is_disconnected = False

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect to a balancer; the requests are sent once the connection is established."""
        with contextlib.suppress(OSError):
            await self.loop.create_connection(lambda: self, *address)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement `asyncio.Protocol.connection_made`."""
        self.transport = cast(asyncio.Transport, transport)
        number = transport.get_extra_info("connection", id(self))
        for trace_id in self.trace_ids:
            request = ClientRequest(trace_id, "query", self.timeout, body=FLOOD_BODY)
            self.recorder("asked", trace_id, "query", number, self.timeout)
            self.transport.write(request.message())
        self.loop.call_later(self.lifetime, self.disconnect)

    def disconnect(self) -> None:
        """Give up all requests and abort the connection."""
        if not self.is_disconnected:
            self.is_disconnected = True
            for trace_id in self.trace_ids:
                self.recorder("left", trace_id)
            self.transport.abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Implement `asyncio.Protocol.connection_lost`."""
        self.disconnect()


class MalformedClient(asyncio.Protocol):
    """A client that sends nothing, a partial or a malformed request, and keeps the connection open."""

    MESSAGES = (
        b"",
        b"GET /query HT",
        b"\x16\x03\x01\x02\x00",
        b"GET /nowhere HTTP/1.1\r\n\r\n",
        b"G" * 20_000,
        b"POST /mark HTTP/1.1\r\nX-Trace-Id: r\r\nX-Expires-In-Ms: 500\r\nContent-Length: 99999999\r\n\r\n",
        b"GET /query HTTP/1.1\r\nX-Expires-In-Ms: -5\r\nX-Trace-Id: rude\r\n\r\n",
        b"GET /query HTTP/1.1\r\nX-Trace-Id: a\r\nX-Trace-Id: b\r\nX-Expires-In-Ms: 5\r\n\r\n",
        b"POST /mark HTTP/1.1\r\nX-Trace-Id: r\r\nX-Expires-In-Ms: 5\r\nContent-Length: 50\r\n\r\nhalf",
    )

    def __init__(self, rng: Random) -> None:
        self.message = rng.choice(self.MESSAGES)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement `asyncio.Protocol.connection_made`."""
        if self.message:
            cast(asyncio.Transport, transport).write(self.message)
