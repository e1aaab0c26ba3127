"""CPU time of a request in a balancer on real sockets, compared between two source trees.

    python benchmarks/path.py --rounds 8 BEFORE AFTER

Each tree is a checkout; it uses its own `.venv` if it has one, otherwise the interpreter of this script. In
each round both serve the same number of requests over a few persistent connections on loopback, one after the
other. The script prints the CPU microseconds of a balancer per request in each round, and the median of the
ratios.
"""

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

CONNECTIONS = 2
WARMUP_REQUESTS = 200
START_ATTEMPTS = 200
START_INTERVAL = 0.05  # seconds between attempts to reach a balancer that starts
MICROSECONDS_PER_SECOND = 1_000_000


class UpstreamServer(asyncio.Protocol):
    """An upstream that responds immediately."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of a new connection."""
        self.transport = transport
        self.received = b""

    def data_received(self, data: bytes) -> None:
        """Respond to each request that is complete."""
        self.received += data
        while b"\r\n\r\n" in self.received:
            _, _, self.received = self.received.partition(b"\r\n\r\n")
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")


class DiscoveryServer(asyncio.Protocol):
    """Serves a watch of the endpoint list, with keepalives."""

    def __init__(self, servers: list[dict]) -> None:
        self.servers = servers

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport of a new connection."""
        self.transport = transport

    def data_received(self, _data: bytes) -> None:
        """Start a watch: send the complete list, then keepalives."""
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_line(json.dumps({"version": 1, "full": True, "servers": self.servers}).encode() + b"\n")
        self.send_keepalive()

    def write_line(self, text: bytes) -> None:
        """Write one line as a chunk."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(text), text))

    def send_keepalive(self) -> None:
        """Write an empty line, and schedule the next one a second later."""
        if not self.transport.is_closing():
            self.write_line(b"\n")
            asyncio.get_running_loop().call_later(1, self.send_keepalive)


async def send_requests(address: tuple[str, int], count: int, name: bytes) -> None:
    """Send requests one after the other on one connection."""
    reader, writer = await asyncio.open_connection(*address)
    for n in range(count):
        writer.write(
            b"GET /query HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %b-%d\r\nX-Expires-In-Ms: 900\r\n\r\n" % (name, n)
        )
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        await reader.readexactly(4)
    writer.close()


def configuration(listen: str, discovery: str) -> dict:
    """Return the platform's JSON configuration of a balancer with one request class."""
    request_class = {"name": "query", "service-goal": 1e3, "hard-limit": 3e3, "semantics": "idempotent"}
    return {
        "listen": listen,
        "discovery": discovery,
        "settings": {
            "balancers": 1, "discovery": "pushed", "profiles": [request_class], "caps": {"most-hops": 3},
            "contract": {"cold-share": 0.5, "cold": 1e3, "fall-multiple": 3.0},
        },
    }  # fmt: skip


async def free_address() -> tuple[str, int]:
    """Return a loopback address on which nothing listens."""
    server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()
    server.close()
    return address


async def warm_up(address: tuple[str, int]) -> None:
    """Retry until the balancer has started and answered `WARMUP_REQUESTS` requests."""
    for _ in range(START_ATTEMPTS):
        try:
            await send_requests(address, WARMUP_REQUESTS, b"w")
        except (OSError, AssertionError, asyncio.IncompleteReadError):
            await asyncio.sleep(START_INTERVAL)
        else:
            return


async def measure(tree: Path, count: int, command: Callable[[dict], list[str]] | None = None) -> float:
    """Return the CPU microseconds of a balancer per request.

    Args:
        tree: The checkout from which the balancer runs.
        count: The number of requests.
        command: A function that takes the configuration and returns the program's arguments; None for none.
    """
    loop = asyncio.get_running_loop()
    upstream = await loop.create_server(UpstreamServer, "127.0.0.1", 0)
    port = upstream.sockets[0].getsockname()[1]
    entry = {"id": "s", "addr": f"127.0.0.1:{port}", "zone": "a", "cell": 0, "state": "up", "started_ms": 0}
    discovery = await loop.create_server(lambda: DiscoveryServer([entry]), "127.0.0.1", 0)
    discovery_port = discovery.sockets[0].getsockname()[1]
    address = await free_address()
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        settings = configuration(f"127.0.0.1:{address[1]}", f"127.0.0.1:{discovery_port}")
        json.dump(settings, file)
        file.flush()
        python = tree / ".venv/bin/python"
        process = await asyncio.create_subprocess_exec(
            python if python.exists() else sys.executable, "-B", "-m", "dahliabend",
            *(command(settings) if command is not None else ()), cwd=tree,
            env={**os.environ, "PROXY_CONFIG": file.name, "UV_USE_IO_URING": "0"},
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        await warm_up(address)
        start_seconds = cpu_seconds(process.pid)
        requests_per_connection = count // CONNECTIONS
        await asyncio.gather(
            *(send_requests(address, requests_per_connection, b"%d" % n) for n in range(CONNECTIONS))
        )
        spent_seconds = cpu_seconds(process.pid) - start_seconds
        process.terminate()
        await process.wait()
    upstream.close()
    discovery.close()
    return spent_seconds / (requests_per_connection * CONNECTIONS) * MICROSECONDS_PER_SECOND


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("before", type=Path)
    parser.add_argument("after", type=Path)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--count", type=int, default=8000)
    arguments = parser.parse_args()
    ratios = []
    for number in range(arguments.rounds):
        pair = [arguments.before, arguments.after][:: 1 if number % 2 else -1]
        costs = {tree: asyncio.run(measure(tree, arguments.count)) for tree in pair}
        before = costs[arguments.before]
        after = costs[arguments.after]
        ratios.append(after / before)
        print(f"{before:8.1f} {after:8.1f} {ratios[-1]:6.3f}", flush=True)
    print(f"median ratio after/before {statistics.median(ratios):.3f}")


if __name__ == "__main__":
    main()
