"""Clients, which send requests over keep-alive connections, retry them and disconnect after a timeout."""

import asyncio
from random import Random
from typing import cast

import httptools

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.peers import RecordEvent
from dahliabend.simulation.peers.client_request import ClientRequest
from dahliabend.simulation.peers.connection_rotation import ConnectionRotation

DISCONNECT_DELAY = 600_000  # microseconds after a request's timeout until its client disconnects
PIECES = 5  # number of pieces of a request that is sent slowly
BASE_BACKOFF = 50_000  # microseconds; doubled for each retry, including the first
SENT_CHECK_INTERVAL = 0.001  # seconds between two checks whether a large body has been sent
FOLLOW_UP_TIMEOUT = 0.05  # seconds for which a half-closed client waits after its second request
SHOWN_BYTES = 100  # maximum of unexpected data in an event
UNKNOWN_LENGTH = 1 << 30  # bytes; stands for the body length of a response without Content-Length
MICROSECONDS_PER_SECOND = 1e6
OK = 200
NO_STATUS = 0  # status of a request without a response


class Clients:
    """The clients of one host and the connections that they share."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        recorder: RecordEvent,
        rng: Random,
        rotation: ConnectionRotation,
        prefix: str,
    ) -> None:
        """Create clients without connections; `prefix` starts their trace ids."""
        self.loop = loop
        self.recorder = recorder
        self.rng = rng
        self.rotation = rotation
        self.prefix = prefix
        self.idle: list[ClientConnection] = []
        self.connections_in_use: set[ClientConnection] = set()  # connections with a request in flight
        self.open_requests = 0
        self._last_number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def next_trace_id(self) -> str:
        """Return a new trace id."""
        self._last_number += 1
        return f"{self.prefix}{self._last_number}"

    def send(self, request: ClientRequest) -> None:
        """Send a new request and count it as open."""
        self.open_requests += 1
        self.dispatch(request)

    def dispatch(self, request: ClientRequest) -> None:
        """Send a request on an idle connection or, if there is none, on a new one."""
        while self.idle and not request.needs_new_connection:
            connection = self.idle.pop()
            if connection.is_usable():
                connection.send(request)
                return
        address = self.rotation.next_address()
        if address is None:
            self.recorder("nobody", request.class_name)
            self.finish_or_retry(request, NO_STATUS, 0)
            return
        task = self.loop.create_task(self._connect(request, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def send_after_half_close(
        self, request: ClientRequest, follow_up: ClientRequest, address: Address
    ) -> None:
        """Send a request on a new connection, and a second one after the balancer has half-closed it."""
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
            self.finish_or_retry(request, NO_STATUS, 0)
            return
        connection.send(request)

    def finish(self, request: ClientRequest, status: int) -> None:
        """Finish a request with its final status."""
        self.open_requests -= 1
        if request.on_finished is not None:
            request.on_finished(status)

    def finish_or_retry(self, request: ClientRequest, status: int, retry_after: int) -> None:
        """Finish a request that succeeded or has no attempts left; retry any other with a new trace id."""
        if status == OK or request.retry_count + 1 >= request.max_attempts:
            self.finish(request, status)
            return
        request.retry_count += 1
        backoff = BASE_BACKOFF << request.retry_count
        if retry_after and request.honours_retry_after:
            wait = retry_after
        else:
            wait = round(backoff * (0.5 + self.rng.random()))
        request.trace_id = self.next_trace_id()
        request.was_resent = False
        request.disconnect_after = 0
        self.loop.call_later(wait / MICROSECONDS_PER_SECOND, self.dispatch, request)


class ClientConnection(asyncio.Protocol):
    """A connection to a balancer, with one request in flight at a time."""

    def __init__(self, clients: Clients, address: Address) -> None:
        self.clients = clients
        self.address = address
        self.request: ClientRequest | None = None
        self.last_request: ClientRequest | None = None
        self.requests_sent = 0
        self.is_request_delivered = False  # whether the system has taken it
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.disconnect_timer: asyncio.TimerHandle | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self._reset_response()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement `asyncio.Protocol.connection_made`."""
        self.transport = cast(asyncio.Transport, transport)
        self.number: int = transport.get_extra_info("connection", id(self))

    def is_usable(self) -> bool:
        """Return whether another request can be sent on the connection."""
        return not self.transport.is_closing() and self.address not in self.clients.rotation.not_ready

    def send(self, request: ClientRequest) -> None:
        """Send a request, in pieces if it has a piece interval, and start its timers."""
        loop = self.clients.loop
        recorder = self.clients.recorder
        self.request = request
        self.is_request_delivered = False
        self.clients.connections_in_use.add(self)
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
        if request.piece_interval:
            size = max(1, len(message) // PIECES)
            pieces = [message[at : at + size] for at in range(0, len(message), size)]
            self._write_pieces(request, pieces)
        else:
            self._write_last(request, message)

    def _write_pieces(self, request: ClientRequest, pieces: list[bytes]) -> None:
        if self.request is not request or self.transport.is_closing():
            return
        if len(pieces) == 1:
            self._write_last(request, pieces[0])
            return
        self.transport.write(pieces.pop(0))
        wait = request.piece_interval / MICROSECONDS_PER_SECOND
        self.clients.loop.call_later(wait, self._write_pieces, request, pieces)

    def _write_last(self, request: ClientRequest, data: bytes) -> None:
        self.transport.write(data)
        self._wait_until_sent(request)

    def _wait_until_sent(self, request: ClientRequest) -> None:
        """Start the timeout timer once the client's system has taken the last byte.

        From then on the client waits, whether or not the balancer reads.
        """
        if self.request is not request or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size():
            self.clients.loop.call_later(SENT_CHECK_INTERVAL, self._wait_until_sent, request)
        else:
            self._request_written(request)

    def _request_written(self, request: ClientRequest) -> None:
        self.is_request_delivered = True
        self.clients.recorder("written", request.trace_id)
        wait = (request.timeout + DISCONNECT_DELAY) / MICROSECONDS_PER_SECOND
        self.timeout_timer = self.clients.loop.call_later(wait, self.disconnect)

    def pause_writing(self) -> None:
        """Do nothing: the transport buffers all writes."""

    def resume_writing(self) -> None:
        """Do nothing: see `pause_writing`."""

    def disconnect(self) -> None:
        """Give up the request and abort the connection."""
        request = self.request
        if request is not None:
            self._end_request()
            self.clients.recorder("left", request.trace_id)
            self.transport.abort()
            self.clients.finish(request, NO_STATUS)

    def _end_request(self) -> None:
        for timer in (self.timeout_timer, self.disconnect_timer):
            if timer is not None:
                timer.cancel()
        self.timeout_timer = None
        self.disconnect_timer = None
        self.last_request = self.request
        self.request = None
        self.clients.connections_in_use.discard(self)

    # Response

    def _reset_response(self) -> None:
        self.body: list[bytes] = []
        self.headers: dict[bytes, bytes] = {}
        self.status = NO_STATUS

    def data_received(self, data: bytes) -> None:
        """Implement `asyncio.Protocol.data_received`."""
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
        """Handle a header, parsed by httptools."""
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Record the status once httptools has parsed the head."""
        if self.parser is not None:
            self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Handle body data, parsed by httptools."""
        length = int(self.headers.get(b"content-length", UNKNOWN_LENGTH))
        if not self.body and self.request is not None and len(data) < length:
            self.clients.recorder("began", self.request.trace_id)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Finish or retry the request once httptools has parsed the final response."""
        if self.status < OK or self.request is None or self.parser is None:
            return
        request = self.request
        is_reusable = self.parser.should_keep_alive() and self.is_request_delivered
        self._end_request()
        self.clients.recorder("answer", request.trace_id, self.status, b"".join(self.body))
        retry_after = round(float(self.headers.get(b"retry-after", 0)) * MICROSECONDS_PER_SECOND)
        self.release(is_reusable)
        self.clients.finish_or_retry(request, self.status, retry_after)

    def release(self, is_reusable: bool) -> None:
        """Keep the connection idle or close it after a complete response."""
        if is_reusable:
            self.clients.idle.append(self)
        else:
            self.transport.close()

    def eof_received(self) -> bool:
        """Implement `asyncio.Protocol.eof_received`."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Implement `asyncio.Protocol.connection_lost`."""
        self.parser = None
        if self in self.clients.idle:
            self.clients.idle.remove(self)
        request = self.request
        if request is None:
            return
        self._end_request()
        if self.requests_sent > 1 and not error and not self.status and not request.was_resent:
            # The balancer closed the idle connection without reading the request: resend it on a new one.
            request.was_resent = True
            request.needs_new_connection = True
            self.clients.dispatch(request)
            return
        if self.status == OK:
            self.clients.recorder("cut", request.trace_id)
        else:
            self.clients.recorder("lost", request.trace_id, "reset" if error else "closed")
        self.clients.finish_or_retry(request, NO_STATUS, 0)


class HalfCloseClient(ClientConnection):
    """A client that sends another request after the balancer has half-closed the connection."""

    def __init__(self, clients: Clients, address: Address, follow_up: ClientRequest) -> None:
        super().__init__(clients, address)
        self.follow_up: ClientRequest | None = follow_up

    def release(self, is_reusable: bool) -> None:
        """Keep the connection open, but do not reuse it for other requests."""

    def eof_received(self) -> bool:
        """Send the second request: the client's direction is still open."""
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
