"""Upstreams and a discovery service on real sockets that record what reaches them.

The second segment of a request's path selects the form of the response, the third its size in bytes:
`/query/long/500000`. All other paths are answered with the request's trace id.
"""

import asyncio
import time
from collections import defaultdict
from contextlib import suppress
from typing import NamedTuple

import orjson

from dahliabend.simulation.addresses import Address

LOOPBACK = "127.0.0.1"
HEARTBEAT_INTERVAL = 2.0  # seconds between two empty lines of a watch
WORK = 0.005  # seconds
PIECE_BYTES = 16 * 1024  # of a slow response
SLOW_PIECE_INTERVAL = 0.05  # seconds between two pieces of a slow response
FORM_SEGMENT = 2  # of a path split at "/"
SIZE_SEGMENT = 3
TRACE_ID = b"x-trace-id"
UNSAFE_PATH = "/submit"


class Execution(NamedTuple):
    """One request that has reached an upstream in full."""

    upstream: str
    is_unsafe: bool  # whether the request may run only once
    began_at: float  # monotonic seconds at which the head was received
    time_left_ms: int  # that the balancer told


class UpstreamRecord:
    """What all upstreams of a test have received.

    Attributes:
        executions: The executions of each request, by trace id.
        arrivals: When the head of each attempt was received (monotonic seconds), by trace id.
    """

    def __init__(self) -> None:
        self.executions: dict[str, list[Execution]] = defaultdict(list)
        self.arrivals: dict[str, list[float]] = defaultdict(list)

    def repeated_unsafe(self) -> dict[str, list[Execution]]:
        """Return the executions of the requests that ran more than once and may run only once."""
        return {
            trace_id: runs
            for trace_id, runs in self.executions.items()
            if len(runs) > 1 and any(run.is_unsafe for run in runs)
        }

    def excessive_times_left(
        self, sent_at: dict[str, float], client_timeout: float, slack: float
    ) -> list[str]:
        """Return the attempts that told their upstream more time than their client had left, with slack.

        Args:
            sent_at: When requests were sent (monotonic seconds), by trace id.
            client_timeout: Seconds that their clients wait.
            slack: Seconds that are allowed.
        """
        found = []
        for trace_id, at in sent_at.items():
            for run in self.executions.get(trace_id, ()):
                excess = run.time_left_ms / 1000 - (at + client_timeout - run.began_at)
                if excess > slack:
                    found.append(f"{trace_id}: told {excess:.3f} s more than its client had left")
        return found


class RecordingUpstream:
    """One upstream; `reading_rate` in bytes per second slows down its reading of bodies, 0: not at all."""

    def __init__(self, name: str, record: UpstreamRecord, work: float = WORK, reading_rate: int = 0) -> None:
        self.name = name
        self.record = record
        self.work = work
        self.reading_rate = reading_rate
        self.server: asyncio.Server
        self.address: Address = (LOOPBACK, 0)

    async def open(self, port: int = 0) -> None:
        """Listen on a port of loopback; 0: any free one."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, port, limit=1 << 20)
        self.address = (LOOPBACK, self.server.sockets[0].getsockname()[1])

    @property
    def entry(self) -> dict[str, object]:
        """The upstream's entry in the endpoint list."""
        host, port = self.address
        return {
            "id": self.name,
            "addr": f"{host}:{port}",
            "zone": "a",
            "cell": 0,
            "state": "up",
            "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with suppress(OSError, EOFError, asyncio.LimitOverrunError, ValueError):
                while await self._serve_request(reader, writer):
                    pass
        finally:
            writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        began_at = time.monotonic()
        first_line, headers = parse_head(head)
        path = first_line.split()[1].partition("?")[0]
        trace_id = headers.get(TRACE_ID, b"").decode()
        if path.startswith("/-/"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        self.record.arrivals[trace_id].append(began_at)
        await self._read_body(reader, headers)
        time_left = int(headers.get(b"x-expires-in-ms", b"0"))
        self.record.executions[trace_id].append(
            Execution(self.name, path.startswith(UNSAFE_PATH), began_at, time_left)
        )
        await asyncio.sleep(self.work)
        await self._respond(writer, path, trace_id.encode())
        return True

    async def _read_body(self, reader: asyncio.StreamReader, headers: dict[bytes, bytes]) -> None:
        if headers.get(b"transfer-encoding") == b"chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                await reader.readexactly(size + 2)
            await reader.readexactly(2)
            return
        remaining = int(headers.get(b"content-length", b"0"))
        while remaining:
            part = await reader.read(min(remaining, PIECE_BYTES))
            if not part:
                raise EOFError
            remaining -= len(part)
            if self.reading_rate:
                await asyncio.sleep(len(part) / self.reading_rate)

    async def _respond(self, writer: asyncio.StreamWriter, path: str, body: bytes) -> None:
        segments = path.split("/")
        form = segments[FORM_SEGMENT] if len(segments) > SIZE_SEGMENT else ""
        size = int(segments[SIZE_SEGMENT]) if form else 0
        if form == "long":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size)
        elif form == "slow":
            await self._respond_slowly(writer, size)
        elif form == "chunks":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"2\r\nxy\r\n" * (size // 2) + b"0\r\n\r\n")
        elif form == "fields":
            lines = b"".join(b"%x:\r\n" % number for number in range(size // 8))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + lines + b"\r\nok")
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    async def _respond_slowly(self, writer: asyncio.StreamWriter, size: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        while size:
            part = min(size, PIECE_BYTES)
            writer.write(b"x" * part)
            await writer.drain()
            size -= part
            await asyncio.sleep(SLOW_PIECE_INTERVAL)


def parse_head(head: bytes) -> tuple[str, dict[bytes, bytes]]:
    """Return the first line of a message's head, and its headers with names in lower case."""
    lines = head.split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    return lines[0].decode("latin-1"), headers


class RecordingDiscovery:
    """A discovery service that answers each watch with the whole list and then with empty lines.

    Attributes:
        entries: The entries of the list.
        version: The version of the list; raised by `publish`.
        watches: The open watches.
    """

    def __init__(self, entries: list[dict[str, object]]) -> None:
        self.entries = entries
        self.version = 1
        self.watches: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server
        self.address: Address = (LOOPBACK, 0)

    async def open(self) -> None:
        """Listen on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = (LOOPBACK, self.server.sockets[0].getsockname()[1])

    def publish(self, entries: list[dict[str, object]]) -> None:
        """Replace the list, and send it on all watches."""
        self.entries = entries
        self.version += 1
        for writer in self.watches:
            self._send_list(writer)

    def _send_list(self, writer: asyncio.StreamWriter) -> None:
        message = {"version": self.version, "full": True, "servers": self.entries}
        _write_chunk(writer, orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with suppress(OSError, EOFError, asyncio.LimitOverrunError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.watches.add(writer)
                self._send_list(writer)
                while not writer.is_closing():
                    await asyncio.sleep(HEARTBEAT_INTERVAL)
                    _write_chunk(writer, b"\n")
                    await writer.drain()
        finally:
            self.watches.discard(writer)
            writer.close()


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))
