"""Clients: requests at given times over kept connections, with retries and impatience."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import cast

import httptools

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.peers import RecordEvent
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation

LARGE_BODY = 60_000  # bytes that may not all fit into the other end's buffer
DISCONNECT_DELAY = 600_000  # microseconds: then a client disconnects
CHUNKS = 5  # that a request is sent in, where it is sent in chunks
FIRST_BACKOFF = 50_000  # microseconds; doubled with each retry
DRAIN_INTERVAL = 0.001  # seconds between two looks whether a long body was read
FOLLOW_UP_TIMEOUT = 0.05  # seconds
SHOWN_BYTES = 100  # of unexpected data
UNKNOWN_LENGTH = 1 << 30
MICROSECONDS_PER_SECOND = 1e6
OK = 200
NO_STATUS = 0  # of a request that got no response


class Clients:
    """All clients of one machine, with the connections that they share."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        recorder: RecordEvent,
        rng: Random,
        rotation: ConnectionRotation,
        prefix: str,
    ) -> None:
        """Create clients without connections; `prefix`: of their trace ids."""
        self.loop = loop
        self.recorder = recorder
        self.rng = rng
        self.rotation = rotation
        self.prefix = prefix
        self.idle: list[ClientConnection] = []
        self.waiting: set[ClientConnection] = set()  # those with a request in flight
        self.open_requests = 0
        self._last_number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def next_trace_id(self) -> str:
        """A new trace id."""
        self._last_number += 1
        return f"{self.prefix}{self._last_number}"

    def send(self, request: ClientRequest) -> None:
        """Send a new request."""
        self.open_requests += 1
        self.dispatch(request)

    def dispatch(self, request: ClientRequest) -> None:
        """Send a request on an idle connection or on a new one."""
        while self.idle and not request.needs_new_connection:
            connection = self.idle.pop()
            if connection.is_usable():
                connection.send(request)
                return
        address = self.rotation.next_address()
        if address is None:
            self.recorder("nobody", request.class_name)
            self.retry(request, NO_STATUS, 0)
            return
        task = self.loop.create_task(self._connect(request, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_after_half_close(
        self, request: ClientRequest, follow_up: ClientRequest, address: Address
    ) -> None:
        """Send a request on a connection of its own, and another once the balancer closes its direction."""
        try:
            _, connection = await self.loop.create_connection(
                lambda: HalfCloseClient(self, address, follow_up), *address
            )
        except OSError:
            return
        self.open_requests += 1
        connection.send(request)

    async def _connect(self, request: ClientRequest, address: Address) -> None:
        try:
            connecting = self.loop.create_connection(lambda: ClientConnection(self, address), *address)
            _, connection = await asyncio.wait_for(connecting, request.timeout / MICROSECONDS_PER_SECOND)
        except (TimeoutError, OSError):
            self.retry(request, NO_STATUS, 0)
            return
        connection.send(request)

    def finish(self, request: ClientRequest, status: int) -> None:
        """End a request for good."""
        self.open_requests -= 1
        if request.on_finished is not None:
            request.on_finished(status)

    def retry(self, request: ClientRequest, status: int, retry_after: int) -> None:
        """Send a request again with a new trace id, where its client does so."""
        if status == OK or request.retry_count + 1 >= request.max_attempts:
            self.finish(request, status)
            return
        request.retry_count += 1
        backoff = FIRST_BACKOFF << request.retry_count
        if retry_after and request.honours_retry_after:
            wait = retry_after
        else:
            wait = round(backoff * (0.5 + self.rng.random()))
        request.trace_id = self.next_trace_id()
        request.was_resent = False
        request.disconnect_after = 0
        self.loop.call_later(wait / MICROSECONDS_PER_SECOND, self.dispatch, request)


class ClientConnection(asyncio.Protocol):
    """One connection to a balancer, with one request at a time."""

    def __init__(self, clients: Clients, address: Address) -> None:
        self.clients = clients
        self.address = address
        self.request: ClientRequest | None = None
        self.last_request: ClientRequest | None = None
        self.requests_sent = 0
        self.is_sent = False  # all of the request
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.disconnect_timer: asyncio.TimerHandle | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self._reset_response()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """As asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        self.number: int = transport.get_extra_info("connection", id(self))

    def is_usable(self) -> bool:
        """Whether another request may be sent on it."""
        return not self.transport.is_closing() and self.address not in self.clients.rotation.not_ready

    def send(self, request: ClientRequest) -> None:
        """Send a request."""
        loop = self.clients.loop
        recorder = self.clients.recorder
        self.request = request
        self.is_sent = False
        self.clients.waiting.add(self)
        self.requests_sent += 1
        self.parser = httptools.HttpResponseParser(self)
        self._reset_response()
        recorder("asked", request.trace_id, request.class_name, self.number, request.timeout)
        if request.key:
            recorder("keyed", request.trace_id, request.key)
        if request.disconnect_after:
            wait = request.disconnect_after / MICROSECONDS_PER_SECOND
            self.disconnect_timer = loop.call_later(wait, self.disconnect)
        message = request.message()
        if request.chunk_interval:
            size = max(1, len(message) // CHUNKS)
            chunks = [message[at : at + size] for at in range(0, len(message), size)]
            self._write_chunks(request, chunks)
        else:
            self._write_last(request, message)

    def _write_chunks(self, request: ClientRequest, chunks: list[bytes]) -> None:
        if self.request is not request or self.transport.is_closing():
            return
        if len(chunks) == 1:
            self._write_last(request, chunks[0])
            return
        self.transport.write(chunks.pop(0))
        wait = request.chunk_interval / MICROSECONDS_PER_SECOND
        self.clients.loop.call_later(wait, self._write_chunks, request, chunks)

    def _write_last(self, request: ClientRequest, data: bytes) -> None:
        self.transport.write(data)
        if len(request.body) > LARGE_BODY or self.transport.get_write_buffer_size():
            self._await_drain(request)
        else:
            self._request_written(request)

    def _await_drain(self, request: ClientRequest) -> None:
        """Count a long body's time from when its last byte is read.

        Whoever forwards it holds it back while the next one is slower, and cannot know for how long it lay.
        """
        if self.request is not request or self.transport.is_closing():
            return
        unread: Callable[[], int] | None = self.transport.get_extra_info("unsent")
        if self.transport.get_write_buffer_size() or (unread is not None and unread()):
            self.clients.loop.call_later(DRAIN_INTERVAL, self._await_drain, request)
        else:
            self._request_written(request)

    def _request_written(self, request: ClientRequest) -> None:
        self.is_sent = True
        self.clients.recorder("written", request.trace_id)
        wait = (request.timeout + DISCONNECT_DELAY) / MICROSECONDS_PER_SECOND
        self.deadline_timer = self.clients.loop.call_later(wait, self.disconnect)

    def pause_writing(self) -> None:
        """Nothing to do: the transport keeps what is written."""

    def resume_writing(self) -> None:
        """Nothing to do."""

    def disconnect(self) -> None:
        """Give the request up."""
        request = self.request
        if request is not None:
            self._end_request()
            self.clients.recorder("left", request.trace_id)
            self.transport.abort()
            self.clients.finish(request, NO_STATUS)

    def _end_request(self) -> None:
        for timer in (self.deadline_timer, self.disconnect_timer):
            if timer is not None:
                timer.cancel()
        self.deadline_timer = None
        self.disconnect_timer = None
        self.last_request = self.request
        self.request = None
        self.clients.waiting.discard(self)

    # The response.

    def _reset_response(self) -> None:
        self.body: list[bytes] = []
        self.headers: dict[bytes, bytes] = {}
        self.status = NO_STATUS

    def data_received(self, data: bytes) -> None:
        """As asyncio."""
        request = self.request
        recorder = self.clients.recorder
        if request is None or self.parser is None:
            trace_id = self.last_request.trace_id if self.last_request is not None else "nothing"
            recorder("extra", trace_id, data[:SHOWN_BYTES])
            self.transport.abort()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.request is request:
                recorder("spoilt", request.trace_id, str(error))
            else:
                recorder("extra", request.trace_id, data[-SHOWN_BYTES:])
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """As httptools."""
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """As httptools."""
        if self.parser is not None:
            self.status = self.parser.get_status_code()

    def on_body(self, part: bytes) -> None:
        """As httptools."""
        length = int(self.headers.get(b"content-length", UNKNOWN_LENGTH))
        if not self.body and self.request is not None and len(part) < length:
            self.clients.recorder("began", self.request.trace_id)
        self.body.append(part)

    def on_message_complete(self) -> None:
        """As httptools."""
        if self.status < OK or self.request is None or self.parser is None:
            return
        request = self.request
        is_reusable = self.parser.should_keep_alive() and self.is_sent
        self._end_request()
        self.clients.recorder("answer", request.trace_id, self.status, b"".join(self.body))
        retry_after = round(float(self.headers.get(b"retry-after", 0)) * MICROSECONDS_PER_SECOND)
        self.release(is_reusable)
        self.clients.retry(request, self.status, retry_after)

    def release(self, is_reusable: bool) -> None:
        """The response is complete: keep the connection or close it."""
        if is_reusable:
            self.clients.idle.append(self)
        else:
            self.transport.close()

    def eof_received(self) -> bool:
        """As asyncio."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """As asyncio."""
        self.parser = None
        if self in self.clients.idle:
            self.clients.idle.remove(self)
        request = self.request
        if request is None:
            return
        self._end_request()
        if self.requests_sent > 1 and not error and not self.status and not request.was_resent:
            # Closed in order between two requests, this one unread: it goes out on a new connection.
            request.was_resent = True
            request.needs_new_connection = True
            self.clients.dispatch(request)
            return
        if self.status == OK:
            self.clients.recorder("cut", request.trace_id)
        else:
            self.clients.recorder("lost", request.trace_id, "reset" if error else "closed")
        self.clients.retry(request, NO_STATUS, 0)


class HalfCloseClient(ClientConnection):
    """Keeps its connection until the balancer closes its direction, and then sends one more request."""

    def __init__(self, clients: Clients, address: Address, follow_up: ClientRequest) -> None:
        super().__init__(clients, address)
        self.follow_up: ClientRequest | None = follow_up

    def release(self, is_reusable: bool) -> None:
        """Keep the connection, and send nothing on it for now."""

    def eof_received(self) -> bool:
        """Send the other request on the direction that is left."""
        follow_up = self.follow_up
        self.follow_up = None
        if self.request is not None or follow_up is None or not self.requests_sent:
            return False
        trace_id = follow_up.trace_id
        self.clients.recorder("asked", trace_id, follow_up.class_name, self.number, follow_up.timeout)
        self.transport.write(follow_up.message())
        self.clients.loop.call_later(FOLLOW_UP_TIMEOUT, self._give_up, trace_id)
        return True

    def _give_up(self, trace_id: str) -> None:
        self.clients.recorder("left", trace_id)
        self.transport.abort()
