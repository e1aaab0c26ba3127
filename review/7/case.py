"""Long answers to clients that take seconds to read: are they passed on whole?"""

import asyncio
import json
import socket
import uuid

from rig import (
    HEAD_END,
    Address,
    Case,
    Record,
    Upstream,
    encode,
    main,
    profile,
    read_message,
    settings,
    trouble,
)

MEMORY_MB = 48  # limit of the balancer
CLIENTS = 340  # a third of the 1,024 descriptors
ANSWER_BYTES = 3_000_000
PIECE = 64 * 1024  # bytes that a client reads at once
PAUSE = 0.25  # seconds between two reads of a client that takes seconds to read
BETWEEN_CLIENTS = 0.02  # seconds
EXPIRES_MS = 3000
UPSTREAMS = 4
RECEIVE_BUFFER = 64 * 1024  # bytes of a client's system


class LongUpstream(Upstream):
    """Answers each request at once with a long body, as fast as it is read."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of a connection one by one."""
        while (message := await read_message(reader, self.record.now)) is not None:
            path = message.first_line.split(" ")[1]
            if path.startswith("/-/"):
                writer.write(encode("HTTP/1.1 200 OK", {}, b"ok\n"))
                continue
            trace_id = message.headers.get("x-trace-id", "")
            self.record.add(f"{self.name}: run {trace_id} {path}")
            try:
                writer.write(encode("HTTP/1.1 200 OK", {}, b"a" * ANSWER_BYTES))
                await writer.drain()
            except OSError as error:
                self.record.add(f"{self.name}: {trace_id} connection ended: {error!r}")
                raise
            self.record.add(f"{self.name}: {trace_id} sent whole")


async def download(record: Record, address: Address) -> str:
    """Ask for a long answer and read it; return what went wrong, or nothing."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setblocking(False)
    trace_id = uuid.uuid4().hex[:16]
    received = bytearray()
    began_at = record.now()
    record.add(f"client: send {trace_id} GET /reading-query")
    try:
        await loop.sock_connect(sock, address)
        head = {"Host": "api.internal", "X-Trace-Id": trace_id, "X-Expires-In-Ms": str(EXPIRES_MS)}
        await loop.sock_sendall(sock, encode("GET /reading-query HTTP/1.1", head, b""))
        while missing(received):
            data = await loop.sock_recv(sock, PIECE)
            if not data:
                break
            received += data
            if trouble():
                await asyncio.sleep(PAUSE)
    except OSError as error:
        record.add(f"client: {trace_id} {error!r}")
    finally:
        sock.close()
    status, _, body = received.partition(HEAD_END)
    text = f"{trace_id}: {bytes(status[:12])!r}, {len(body)} bytes in {record.now() - began_at:.2f} s"
    record.add(f"client: {text}")
    is_cut = status.startswith(b"HTTP/1.1 200") and missing(received)
    return f"{text}, {missing(received)} bytes missing" if is_cut else ""


def missing(received: bytearray) -> int:
    """Return how many bytes of an answer are missing, at least one."""
    head, end, body = received.partition(HEAD_END)
    if not end:
        return 1
    stated = bytes(head).lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return max(0, int(stated or b"0") - len(body))


async def play(case: Case) -> list[str]:
    """Return the answers that were cut off."""
    discovery = await case.discovery()
    for number in range(UPSTREAMS):
        upstream = LongUpstream(case.record, f"s-{number}", lambda: 0.0)
        await upstream.open()
        case.servers.append(upstream)
        discovery.put(**upstream.entry())
    balancer = case.balancer("n0")
    classes = [profile("reading-query", "idempotent", 2000.0, 5000.0)]
    balancer.write_config(discovery.address, discovery.listing(), settings(classes, balancers=1))
    config = json.loads(balancer.config_path.read_text())
    config["limits"]["memory_mb"] = MEMORY_MB
    balancer.config_path.write_text(json.dumps(config))
    await balancer.start(discovery.address)
    await balancer.wait_ready()

    async def later(number: int) -> str:
        await asyncio.sleep(number * BETWEEN_CLIENTS)
        return await download(case.record, balancer.address)

    results = await asyncio.gather(*[later(number) for number in range(CLIENTS)])
    return [text for text in results if text]


main(__file__, play)
