"""Clients that hold or waste what a balancer has, for a bounded time on loopback: a process of their own.

Each form is a coroutine that keeps one connection busy until the connection ends; it is then opened again.
"""

import asyncio
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from random import Random

from dahliabend.simulation.addresses import Address

HEAD_BYTES = 15_000  # of a head that stays below the usual limits
BODY_BYTES = 65_000  # of a body that stays below the usual limits
UPLOAD_BYTES = 8 * 1024 * 1024
LONG_ANSWER_BYTES = 600_000
SMALL_RECEIVE_BUFFER = 4096  # bytes
RETRY_PAUSE = 0.05  # seconds before a connection is opened again
WAIT_FOR_END = 4.0  # seconds that a client stays silent before it gives its connection up
TRICKLE_PAUSE = 0.2  # seconds between the pieces of a slow client
FLOOD_REQUESTS = 400  # written at once
LEAVE_PAUSE = 0.01  # seconds between sending and leaving
READ_BYTES = 65_536
TIME_MS = 2500  # that these clients state
MODULE = "dahliabend.process_tests.rude_clients"

Connection = tuple[asyncio.AbstractEventLoop, socket.socket]


class RudeClient:
    """One rude client, with a name for its trace ids and a generator of its choices."""

    def __init__(self, address: Address, name: str, rng: Random) -> None:
        self.address = address
        self.name = name
        self.rng = rng
        self.count = 0

    def trace_id(self) -> str:
        """Return a new trace id."""
        self.count += 1
        return f"{self.name}-{self.count}"

    def head(self, start: str, *fields: str, trace_id: str = "") -> bytes:
        """Return a sound head, which ends after the given fields."""
        lines = (
            f"{start} HTTP/1.1",
            "Host: api",
            f"X-Trace-Id: {trace_id or self.trace_id()}",
            f"X-Expires-In-Ms: {TIME_MS}",
            *fields,
        )
        return "".join(f"{line}\r\n" for line in lines).encode()

    @asynccontextmanager
    async def connect(self, receive_buffer: int = 0) -> AsyncIterator[Connection]:
        """Open a connection and close it at the end."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        try:
            sock.setblocking(False)
            if receive_buffer:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            await loop.sock_connect(sock, self.address)
            yield loop, sock
        finally:
            sock.close()


async def wait_for_end(connection: Connection) -> None:
    """Read until the balancer closes the connection, for `WAIT_FOR_END` at most."""
    loop, sock = connection
    with suppress(TimeoutError):
        async with asyncio.timeout(WAIT_FOR_END):
            while await loop.sock_recv(sock, READ_BYTES):
                pass


async def half_head(client: RudeClient) -> None:
    """Send one long field, and stop before the end of the head."""
    async with client.connect() as (loop, sock):
        await loop.sock_sendall(sock, client.head("GET /query/1") + b"X-Long: " + b"x" * HEAD_BYTES)
        await wait_for_end((loop, sock))


async def short_fields(client: RudeClient) -> None:
    """Send a head of very many short fields, and stop before its end."""
    async with client.connect() as (loop, sock):
        lines = b"".join(b"%x:\r\n" % number for number in range(HEAD_BYTES // 7))
        await loop.sock_sendall(sock, client.head("GET /query/1") + lines)
        await wait_for_end((loop, sock))


async def half_body(client: RudeClient) -> None:
    """Send most of a body that the balancer has to collect, and stop."""
    async with client.connect() as (loop, sock):
        head = client.head("POST /submit/1", f"Content-Length: {BODY_BYTES + 500}")
        await loop.sock_sendall(sock, head + b"\r\n" + b"x" * BODY_BYTES)
        await wait_for_end((loop, sock))


async def half_upload(client: RudeClient) -> None:
    """Send the beginning of a body that the balancer passes on while it comes, and stop."""
    async with client.connect() as (loop, sock):
        head = client.head("POST /submit/1", f"Content-Length: {UPLOAD_BYTES}")
        await loop.sock_sendall(sock, head + b"\r\n" + b"x" * (UPLOAD_BYTES // 8))
        await wait_for_end((loop, sock))


async def small_chunks(client: RudeClient) -> None:
    """Send a body in chunks of two bytes, and stop before its end."""
    async with client.connect() as (loop, sock):
        head = client.head("POST /submit/1", "Transfer-Encoding: chunked")
        await loop.sock_sendall(sock, head + b"\r\n" + b"2\r\nxy\r\n" * (BODY_BYTES // 2))
        await wait_for_end((loop, sock))


async def endless_chunks(client: RudeClient) -> None:
    """Send a body in chunks of one byte at full speed."""
    async with client.connect() as (loop, sock):
        head = client.head("POST /submit/1", "Transfer-Encoding: chunked")
        await loop.sock_sendall(sock, head + b"\r\n")
        while True:
            await loop.sock_sendall(sock, b"1\r\nx\r\n" * 20_000)


async def trickle(client: RudeClient) -> None:
    """Send a large request in small pieces, slowly."""
    async with client.connect() as (loop, sock):
        await loop.sock_sendall(
            sock, client.head("POST /submit/1", f"Content-Length: {BODY_BYTES}") + b"\r\n"
        )
        for _ in range(BODY_BYTES // 2000):
            await loop.sock_sendall(sock, b"x" * 2000)
            await asyncio.sleep(TRICKLE_PAUSE)


async def slow_reader(client: RudeClient) -> None:
    """Ask for a long answer, and read it in small pieces, slowly."""
    async with client.connect(SMALL_RECEIVE_BUFFER) as (loop, sock):
        await loop.sock_sendall(sock, client.head(f"GET /query/long/{LONG_ANSWER_BYTES}") + b"\r\n")
        while await loop.sock_recv(sock, 500):
            await asyncio.sleep(TRICKLE_PAUSE)


async def slow_readers_of_chunks(client: RudeClient) -> None:
    """Ask for an answer in chunks of two bytes, and read it slowly."""
    async with client.connect(SMALL_RECEIVE_BUFFER) as (loop, sock):
        await loop.sock_sendall(sock, client.head(f"GET /query/chunks/{BODY_BYTES}") + b"\r\n")
        while await loop.sock_recv(sock, 500):
            await asyncio.sleep(TRICKLE_PAUSE)


async def answers_of_fields(client: RudeClient) -> None:
    """Ask for answers whose heads have very many short fields, and don't read them."""
    async with client.connect(SMALL_RECEIVE_BUFFER) as (loop, sock):
        await loop.sock_sendall(sock, client.head(f"GET /query/fields/{HEAD_BYTES}") + b"\r\n")
        await asyncio.sleep(WAIT_FOR_END)


async def flood(client: RudeClient) -> None:
    """Send small requests at full speed on one connection, and read the answers."""
    async with client.connect() as (loop, sock):
        reading = asyncio.create_task(_read_all(loop, sock))
        try:
            while not reading.done():
                batch = b"".join(client.head("GET /query/1") + b"\r\n" for _ in range(FLOOD_REQUESTS))
                await loop.sock_sendall(sock, batch)
        finally:
            reading.cancel()


async def deaf_flood(client: RudeClient) -> None:
    """Send small requests at full speed on one connection, and read nothing."""
    async with client.connect(SMALL_RECEIVE_BUFFER) as (loop, sock):
        while True:
            batch = b"".join(client.head("GET /query/1") + b"\r\n" for _ in range(FLOOD_REQUESTS))
            await loop.sock_sendall(sock, batch)


async def unknown_flood(client: RudeClient) -> None:
    """Send requests of ever new classes, tenants and keys at full speed on one connection."""
    async with client.connect() as (loop, sock):
        reading = asyncio.create_task(_read_all(loop, sock))
        try:
            while not reading.done():
                batch = b"".join(_newly_named(client) for _ in range(FLOOD_REQUESTS))
                await loop.sock_sendall(sock, batch)
        finally:
            reading.cancel()


def _newly_named(client: RudeClient) -> bytes:
    name = client.trace_id()
    request_class = client.rng.choice((name, "query", "ordered"))
    return client.head(f"GET /{request_class}/{name}", f"X-Customer: {name}", f"X-Item: {name}") + b"\r\n"


async def unsound_flood(client: RudeClient) -> None:
    """Send what can't be read, on ever new connections."""
    async with client.connect() as (loop, sock):
        noise = client.rng.choice((b"\x00\x01\x02\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/9.9\r\nA\r\n\r\n"))
        await loop.sock_sendall(sock, noise * 20)
        await wait_for_end((loop, sock))


async def leaver(client: RudeClient) -> None:
    """Send many requests at once, and leave before they are answered."""
    async with client.connect() as (loop, sock):
        batch = b"".join(client.head("POST /submit/1", "Content-Length: 0") + b"\r\n" for _ in range(100))
        await loop.sock_sendall(sock, batch)
        await asyncio.sleep(LEAVE_PAUSE)


async def returner(client: RudeClient) -> None:
    """Send a request, leave while it runs, and send one with the same id again."""
    message = client.head("POST /submit/1", "Content-Length: 0") + b"\r\n"
    async with client.connect() as (loop, sock):
        await loop.sock_sendall(sock, message)
        await asyncio.sleep(client.rng.uniform(0, LEAVE_PAUSE))
    async with client.connect() as (loop, sock):
        await loop.sock_sendall(sock, message)
        await loop.sock_recv(sock, READ_BYTES)


async def silent(client: RudeClient) -> None:
    """Connect, and say nothing."""
    async with client.connect() as connection:
        await wait_for_end(connection)


async def _read_all(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
    with suppress(OSError):
        while await loop.sock_recv(sock, READ_BYTES):
            pass


FORMS: dict[str, Callable[[RudeClient], Awaitable[None]]] = {
    form.__name__: form
    for form in (
        half_head,
        short_fields,
        half_body,
        half_upload,
        small_chunks,
        endless_chunks,
        trickle,
        slow_reader,
        slow_readers_of_chunks,
        answers_of_fields,
        flood,
        deaf_flood,
        unknown_flood,
        unsound_flood,
        leaver,
        returner,
        silent,
    )
}


async def run_client(client: RudeClient, form: str, until: float) -> None:
    """Use one connection after the other until a time (monotonic seconds)."""
    while (remaining := until - time.monotonic()) > 0:
        with suppress(OSError):
            await asyncio.wait_for(FORMS[form](client), remaining)
        await asyncio.sleep(RETRY_PAUSE)


async def run_group(form: str, address: Address, count: int, seconds: float, seed: int) -> None:
    """Run a number of clients of one form at the same time."""
    until = time.monotonic() + seconds
    clients = [
        RudeClient(address, f"r{seed}-{number}", Random(f"{seed} {number}")) for number in range(count)
    ]
    await asyncio.gather(*(run_client(client, form, until) for client in clients))


async def start_group(
    form: str, address: Address, count: int, seconds: float, seed: int = 1
) -> asyncio.subprocess.Process:
    """Start a process with clients of one form; it ends by itself after `seconds`."""
    host, port = address
    arguments = (form, host, str(port), str(count), str(seconds), str(seed))
    return await asyncio.create_subprocess_exec(sys.executable, "-W", "ignore", "-m", MODULE, *arguments)


def main(arguments: list[str]) -> None:
    """Run a crowd as the arguments say: form, host, port, count, seconds, seed."""
    form, host, port, count, seconds, seed = arguments
    asyncio.run(run_group(form, (host, int(port)), int(count), float(seconds), int(seed)))


if __name__ == "__main__":
    main(sys.argv[1:])
