"""Long responses of a balancer process under its memory limit, to clients that read slowly or stop."""

import asyncio
import socket

import pytest

from dahliabend.process_tests.platform_balancer import ProcessLimits
from dahliabend.process_tests.rude_run import open_environment

LIMITS = ProcessLimits(memory_mb=48, descriptors=1024)
RESPONSE_BYTES = 1_500_000
RECEIVE_BUFFER = 64 * 1024  # bytes
READ_BYTES = 64 * 1024
READ_PAUSE = 0.25  # seconds between two reads of a steady client
STOP = 4.0  # seconds for which a stopped client reads nothing
ARRIVAL_INTERVAL = 0.01  # seconds between two clients
HEAD = "GET /query/long/{size} HTTP/1.1\r\nHost: api\r\nX-Trace-Id: {name}\r\nX-Expires-In-Ms: 2500\r\n\r\n"


async def download(address, number, read_pause=READ_PAUSE, stop=0.0):
    """Ask for a long response and read it; return its status and the number of bytes of its body."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(number * ARRIVAL_INTERVAL)
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        head, count = b"", 0
        try:
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, HEAD.format(size=RESPONSE_BYTES, name=f"d-{number}").encode())
            await asyncio.sleep(stop)
            while count < RESPONSE_BYTES and (data := await loop.sock_recv(sock, READ_BYTES)):
                if b"\r\n\r\n" not in head:
                    head += data
                    data = head.partition(b"\r\n\r\n")[2]
                count += len(data)
                if not head.startswith(b"HTTP/1.1 200"):
                    break
                await asyncio.sleep(read_pause)
        except ConnectionError:
            pass
    return head[9:12], count


async def download_all(environment, count, **options):
    return await asyncio.gather(
        *(download(environment.balancer.address, number, **options) for number in range(count))
    )


# Guards against review/7: long responses were cut off at clients that read them slowly, without a pause.
@pytest.mark.parametrize("memory_mb", [40, 48])
def test_long_responses_come_whole_at_clients_that_read_slowly(memory_mb):
    limits = ProcessLimits(memory_mb=memory_mb, descriptors=1024)

    async def run():
        async with open_environment(limits) as environment:
            results = await download_all(environment, 200)
            return results, environment.balancer.peak_bytes, environment.balancer.is_alive

    results, peak_bytes, is_alive = asyncio.run(run())
    cut = [count for status, count in results if status == b"200" and count != RESPONSE_BYTES]
    assert not cut
    assert is_alive
    assert peak_bytes < memory_mb * 1024 * 1024
    assert {status for status, _ in results} <= {b"200", b"503"}
    assert any(status == b"200" for status, _ in results)


# The other direction of review/7: memory of clients that have stopped reading is still given back.
def test_sound_clients_are_served_beside_clients_that_stop_reading():
    async def run():
        async with open_environment(LIMITS) as environment:
            stop = asyncio.Event()
            sound = environment.sound_clients(stop)
            await download_all(environment, 200, stop=STOP, read_pause=0)
            stop.set()
            await asyncio.gather(*sound)
            return environment.clients, environment.balancer.is_alive

    clients, is_alive = asyncio.run(run())
    assert is_alive
    assert not clients.lost
    assert clients.served_share > 0.9, dict(clients.statuses)
