"""Late second answers: does a client get the answer that was made for another request?"""

import asyncio
import os
import random
import socket

from rig import (
    STATUS_OK,
    Case,
    Client,
    Upstream,
    encode,
    main,
    profile,
    read_message,
    settings,
    trouble,
)

DURATION = 80.0  # seconds of traffic
RATE = 160.0  # requests a second
UPSTREAMS = 4
SECOND_ANSWERS = 0.2  # share of the answers that are followed by a second copy
SECOND_DELAY = (0.002, 0.014)  # seconds: "some milliseconds late"
WORK = (0.01, 0.03)  # seconds
EXPIRES_MS = 2000


class DoublingUpstream(Upstream):
    """Sends some answers a second time, late, unless anything has come on the connection by then."""

    chance = random.Random(6)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of a connection one by one."""
        sock = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        sock.setblocking(False)
        first = b""
        try:
            while (message := await read_message(reader, self.record.now, first=first)) is not None:
                first = b""
                path = message.first_line.split(" ")[1]
                trace_id = message.headers.get("x-trace-id", "")
                self.record.add(f"{self.name}: run {trace_id} {path}")
                await asyncio.sleep(random.uniform(*WORK))
                answer = encode("HTTP/1.1 200 OK", {}, self.body_for(trace_id))
                writer.write(answer)
                if not path.startswith("/-/") and trouble() and self.chance.random() < SECOND_ANSWERS:
                    first = await self.answer_again(reader, writer, sock, answer)
        finally:
            sock.close()

    async def answer_again(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, sock: socket.socket, answer: bytes
    ) -> bytes:
        """Send an answer again, or return the first byte of the next request if that comes before."""
        try:
            return await asyncio.wait_for(reader.read(1), self.chance.uniform(*SECOND_DELAY))
        except TimeoutError:
            pass
        try:
            sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:  # nothing else waits on the connection
            writer.write(answer)
            self.record.add(f"{self.name}: second copy of {answer.partition(b'answer to ')[2].decode()!r}")
        return b""


async def traffic(case: Case, clients: list[Client]) -> None:
    """Send requests of both classes at random times."""
    chance = random.Random(1)
    calls = []
    end = case.record.now() + DURATION
    free = list(clients)

    async def call(client: Client) -> None:
        if chance.random() < 0.5:  # noqa: PLR2004 - half of each class
            await client.call("GET", "/reading-query", EXPIRES_MS)
        else:
            await client.call("POST", "/reading-submit", EXPIRES_MS)
        free.append(client)

    while case.record.now() < end:
        await asyncio.sleep(chance.expovariate(RATE))
        if free:
            calls.append(asyncio.ensure_future(call(free.pop(0))))
    await asyncio.gather(*calls)


async def play(case: Case) -> list[str]:
    """Return the requests that were served with the answer to another one."""
    discovery = await case.discovery()
    for number in range(UPSTREAMS):
        upstream = DoublingUpstream(case.record, f"s-{number}", lambda: 0.0)
        await upstream.open()
        case.servers.append(upstream)
        discovery.put(**upstream.entry())
    balancer = case.balancer("n0")
    classes = [
        profile("reading-query", "idempotent", 2000.0, 5000.0),
        profile("reading-submit", "at_most_once", 2500.0, 6000.0, revenue=10.0),
    ]
    balancer.write_config(discovery.address, discovery.listing(), settings(classes, balancers=1))
    await balancer.start(discovery.address)
    await balancer.wait_ready()
    clients = [case.client(balancer.address, f"c-{number}") for number in range(60)]
    await traffic(case, clients)
    answers = [answer for client in clients for answer in client.answers]
    served = [answer for answer in answers if answer.status == STATUS_OK]
    case.record.add(f"{len(answers)} requests, {len(served)} served")
    return [
        f"{answer.trace_id} ({answer.path}) was served with {answer.body!r}"
        for answer in served
        if answer.body != f"answer to {answer.trace_id}\n".encode()
    ]


main(__file__, play)
