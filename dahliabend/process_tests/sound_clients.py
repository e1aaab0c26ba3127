"""Clients on real sockets that keep the protocol, and what became of each of their requests."""

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from dahliabend.process_tests.platform_balancer import PlatformBalancer
from dahliabend.process_tests.recording_upstream import UpstreamRecord, parse_head

LATE_ALLOWANCE = 0.55  # seconds after the client's time up to which an answer is late and not lost
SERVED = 200
CONNECT_TIMEOUT = 3.0  # seconds
RECONNECT_PAUSE = 0.02  # seconds after a refused connection
LARGE_BODY_BYTES = 60_000
UPLOAD_BYTES = 200_000  # long enough to be streamed
LARGE_BODY_SHARE = 0.1
UPLOAD_SHARE = 0.05
UNSAFE_SHARE = 0.4


@dataclass(slots=True)
class ClientRecord:
    """What became of the requests of all clients of a test.

    Attributes:
        statuses: Number of answers by status.
        lost: Requests that were taken and got no whole answer in time, each with a description.
        foreign: Requests that were answered with the answer to another request.
        latencies: Seconds until the answer of each request that was answered.
        late: Number of answers after the client's time, within `LATE_ALLOWANCE`.
        resent: Number of requests that crossed the close of their connection and were sent once more.
        refused_connections: Number of connections that could not be opened.
        shut_unread: Number of new connections that ended unread in a shutdown beside a crowd.
        excused: Number of requests that an outright kill of the process may have ended.
        sent_at: Monotonic seconds at which each request without a long body was sent.
    """

    statuses: dict[int, int] = field(default_factory=dict)
    lost: list[str] = field(default_factory=list)
    foreign: list[str] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    late: int = 0
    resent: int = 0
    refused_connections: int = 0
    shut_unread: int = 0
    excused: int = 0
    sent_at: dict[str, float] = field(default_factory=dict)

    @property
    def answered(self) -> int:
        """Number of requests that were answered."""
        return sum(self.statuses.values())

    @property
    def served_share(self) -> float:
        """Share of the requests that were served with 200 in time; late ones count as not served."""
        total = self.answered + len(self.lost)
        return (self.statuses.get(SERVED, 0) - self.late) / total if total else 0.0

    @property
    def slowest(self) -> float:
        """Seconds until the slowest answer."""
        return max(self.latencies, default=0.0)


class ConnectionEndedError(Exception):
    """The connection ended before the answer was complete.

    Attributes:
        has_begun: Whether a part of the answer had been received.
    """

    def __init__(self, has_begun: bool) -> None:
        self.has_begun = has_begun
        super().__init__("connection ended")


class ClientEnvironment(Protocol):
    """What surrounds a client.

    Attributes:
        clients: Takes what becomes of the requests.
        executed: What the upstreams have received.
    """

    clients: ClientRecord
    executed: UpstreamRecord

    @property
    def balancer(self) -> PlatformBalancer:
        """The balancer that new connections go to."""

    def may_connect(self) -> bool:
        """Return whether a connection may be opened now."""

    def is_excused(self, sent_at: float, ended_at: float) -> bool:
        """Return whether an outright kill may have ended a request that was sent and ended at these times."""

    def may_shut_unread(self, opened_at: float, ended_at: float) -> bool:
        """Return whether a connection may end unread that was opened and ended at these times."""


class SoundClient:
    """One client, which sends one request at a time on a connection that it keeps."""

    def __init__(
        self,
        name: str,
        environment: ClientEnvironment,
        client_timeout: float,
        rng: Random,
    ) -> None:
        """Create a client without a connection.

        Args:
            name: Beginning of its requests' trace ids.
            environment: What surrounds it.
            client_timeout: Seconds that it waits for an answer.
            rng: Generator of its choices.
        """
        self.name = name
        self.environment = environment
        self.record = environment.clients
        self.executed = environment.executed
        self.client_timeout = client_timeout
        self.rng = rng
        self.sent = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def run(self, stop: asyncio.Event, mean_pause: float) -> None:
        """Send requests until `stop` is set, with pauses in between."""
        while not stop.is_set():
            await asyncio.sleep(self.rng.expovariate(1 / mean_pause))
            await self.send_request()
        self.disconnect()

    def disconnect(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def _connect(self) -> bool:
        """Open a connection; return whether it is open."""
        if not self.environment.may_connect():
            await asyncio.sleep(RECONNECT_PAUSE)
            return False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                self.reader, self.writer = await asyncio.open_connection(*self.environment.balancer.address)
        except OSError:
            self.record.refused_connections += 1
            await asyncio.sleep(RECONNECT_PAUSE)
            return False
        return True

    async def send_request(self) -> None:
        """Send one request and record what becomes of it; a refused connection is no request."""
        is_reused = self.writer is not None
        if not is_reused and not await self._connect():
            return
        self.sent += 1
        trace_id = f"{self.name}-{self.sent}"
        message = self._message(trace_id)
        sent_at = time.monotonic()
        if len(message) < UPLOAD_BYTES:
            self.record.sent_at[trace_id] = sent_at
        result = await self._exchange(message, sent_at)
        if result is None and is_reused and not self.executed.arrivals.get(trace_id):
            self.record.resent += 1
            if not await self._connect():
                return
            sent_at = time.monotonic()
            self.record.sent_at.pop(trace_id, None)
            result = await self._exchange(message, sent_at)
        if result is None and not is_reused and self._was_shut_unread(trace_id, sent_at):
            self.record.shut_unread += 1
            return
        is_unanswered = result is None or isinstance(result, str)
        if is_unanswered and self.environment.is_excused(sent_at, time.monotonic()):
            self.record.excused += 1
            return
        self._record(trace_id, result, time.monotonic() - sent_at)

    def _was_shut_unread(self, trace_id: str, sent_at: float) -> bool:
        """Return whether a new connection ended unread in a shutdown beside a crowd, as the pages allow."""
        is_unsent = not self.executed.arrivals.get(trace_id)
        return is_unsent and self.environment.may_shut_unread(sent_at, time.monotonic())

    def _message(self, trace_id: str) -> bytes:
        draw = self.rng.random()
        body = b""
        if draw < UPLOAD_SHARE:
            body = b"u" * UPLOAD_BYTES
        elif draw < UPLOAD_SHARE + LARGE_BODY_SHARE:
            body = b"b" * LARGE_BODY_BYTES
        is_unsafe = bool(body) or self.rng.random() < UNSAFE_SHARE
        start = "POST /submit/1" if is_unsafe else "GET /query/1"
        length = f"Content-Length: {len(body)}\r\n" if is_unsafe else ""
        head = (
            f"{start} HTTP/1.1\r\nHost: api\r\nX-Trace-Id: {trace_id}\r\n"
            f"X-Expires-In-Ms: {round(self.client_timeout * 1000)}\r\n{length}\r\n"
        )
        return head.encode() + body

    async def _exchange(self, message: bytes, sent_at: float) -> tuple[int, bytes] | str | None:
        """Send a message and read its answer.

        Returns:
            Status and body; a description if there was no whole answer; None if the connection ended before
            the answer's first byte.
        """
        reader, writer = self.reader, self.writer
        if reader is None or writer is None:
            return "not connected"
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time() + self.client_timeout + LATE_ALLOWANCE
            ):
                writer.write(message)
                await writer.drain()
                status, headers, body = await read_answer(reader)
        except ConnectionEndedError as error:
            self.disconnect()
            return f"cut off after {time.monotonic() - sent_at:.3f} s" if error.has_begun else None
        except OSError as error:  # TimeoutError among them
            self.disconnect()
            if isinstance(error, ConnectionError):
                return None
            return f"no answer after {time.monotonic() - sent_at:.3f} s"
        if headers.get(b"connection") == b"close":
            self.disconnect()
        return status, body

    def _record(self, trace_id: str, result: tuple[int, bytes] | str | None, waited: float) -> None:
        record = self.record
        if result is None:
            record.lost.append(f"{trace_id}: connection ended without an answer after {waited:.3f} s")
        elif isinstance(result, str):
            record.lost.append(f"{trace_id}: {result}")
        else:
            status, body = result
            record.statuses[status] = record.statuses.get(status, 0) + 1
            record.latencies.append(waited)
            record.late += waited > self.client_timeout
            if status == SERVED and body != trace_id.encode():
                record.foreign.append(f"{trace_id}: answered with {body[:40]!r}")


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[bytes, bytes], bytes]:
    """Read an answer with a length; return its status, headers and body.

    Raises:
        ConnectionEndedError: The connection ended before the answer was complete.
    """
    has_begun = False
    with suppress(asyncio.IncompleteReadError, ConnectionResetError):
        head = await reader.readuntil(b"\r\n\r\n")
        has_begun = True
        first_line, headers = parse_head(head)
        body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
        return int(first_line.split()[1]), headers, body
    raise ConnectionEndedError(has_begun)
