"""What a transaction costs a balancer on real sockets, paired over two trees.

    python benchmarks/path.py --rounds 8 BEFORE AFTER

Each tree is a checkout with its own `.venv`, or takes this interpreter. In turn each serves the same number
of transactions over a few kept connections on loopback; printed are the balancer's CPU microseconds a
transaction, by round, and the median of the ratios.
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


class UpstreamServer(asyncio.Protocol):
    """An upstream that answers at once."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """As asyncio."""
        self.transport = transport
        self.received = b""

    def data_received(self, data: bytes) -> None:
        """As asyncio."""
        self.received += data
        while b"\r\n\r\n" in self.received:
            _, _, self.received = self.received.partition(b"\r\n\r\n")
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")


class DiscoveryServer(asyncio.Protocol):
    """Serves a watch of the endpoint list, with keepalives."""

    def __init__(self, servers: list[dict]) -> None:
        self.servers = servers

    def connection_made(self, transport: asyncio.Transport) -> None:
        """As asyncio."""
        self.transport = transport

    def data_received(self, _data: bytes) -> None:
        """As asyncio."""
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.write_line(json.dumps({"version": 1, "full": True, "servers": self.servers}).encode() + b"\n")
        self.send_keepalive()

    def write_line(self, text: bytes) -> None:
        """Write one line as a chunk."""
        self.transport.write(b"%x\r\n%b\r\n" % (len(text), text))

    def send_keepalive(self) -> None:
        """Write an empty line, each second."""
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


async def measure(tree: Path, count: int, command: Callable[[dict], list[str]] | None = None) -> float:
    """CPU microseconds a request; `command`: from the configuration to the program's arguments."""
    loop = asyncio.get_running_loop()
    upstream = await loop.create_server(UpstreamServer, "127.0.0.1", 0)
    port = upstream.sockets[0].getsockname()[1]
    row = {"id": "s", "addr": f"127.0.0.1:{port}", "zone": "a", "cell": 0, "state": "up", "started_ms": 0}
    listing = await loop.create_server(lambda: DiscoveryServer([row]), "127.0.0.1", 0)
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        free = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        address = free.sockets[0].getsockname()
        free.close()
        profile = {"name": "query", "service-goal": 1e3, "hard-limit": 3e3, "semantics": "idempotent"}
        conf = {
            "listen": f"127.0.0.1:{address[1]}",
            "discovery": f"127.0.0.1:{listing.sockets[0].getsockname()[1]}",
            "settings": {
                "balancers": 1, "discovery": "pushed", "profiles": [profile], "caps": {"most-hops": 3},
                "contract": {"cold-share": 0.5, "cold": 1e3, "fall-multiple": 3.0},
            },
        }  # fmt: skip
        json.dump(conf, file)
        file.flush()
        python = tree / ".venv/bin/python"
        process = await asyncio.create_subprocess_exec(
            python if python.exists() else sys.executable, "-B", "-m", "dahliabend",
            *(command(conf) if command is not None else ()), cwd=tree,
            env={**os.environ, "PROXY_CONFIG": file.name, "UV_USE_IO_URING": "0"}, stderr=-3,
        )  # fmt: skip
        for _ in range(200):
            try:
                await send_requests(address[:2], WARMUP_REQUESTS, b"w")
                break
            except (OSError, AssertionError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)
        before = cpu_seconds(process.pid)
        await asyncio.gather(
            *(send_requests(address[:2], count // CONNECTIONS, b"%d" % n) for n in range(CONNECTIONS))
        )
        spent = cpu_seconds(process.pid) - before
        process.terminate()
        await process.wait()
    upstream.close()
    listing.close()
    return spent / (count // CONNECTIONS * CONNECTIONS) * 1e6


def cpu_seconds(pid: int) -> float:
    """The CPU time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("before", type=Path)
    parser.add_argument("after", type=Path)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--count", type=int, default=8000)
    given = parser.parse_args()
    ratios = []
    for number in range(given.rounds):
        pair = [given.before, given.after][:: 1 if number % 2 else -1]
        got = {tree: asyncio.run(measure(tree, given.count)) for tree in pair}
        ratios.append(got[given.after] / got[given.before])
        print(f"{got[given.before]:8.1f} {got[given.after]:8.1f} {ratios[-1]:6.3f}", flush=True)
    print(f"median ratio after/before {statistics.median(ratios):.3f}")


if __name__ == "__main__":
    main()
