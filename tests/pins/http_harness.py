"""The network code on a clock that stands still, with transports that keep what is written to them.

Nothing is dialled: each upstream has connections at rest, in the order in which they are to be used.
"""

import json
from collections import deque
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from types import SimpleNamespace

from dahliabend.config import platform as config
from dahliabend.config.server_settings import ServerSettings
from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.http.client_connection import ClientConnection
from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.model import EndpointState
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.router import Router
from dahliabend.server.metrics import Metrics
from dahliabend.transport import host_info
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

START = 50_000_000_000_000  # nanoseconds


class FakeClock:
    """Monotonic time in nanoseconds, moved by hand."""

    def __init__(self) -> None:
        self.now = START

    def __call__(self) -> int:
        return self.now

    def advance(self, milliseconds: int) -> None:
        self.now += milliseconds * 1_000_000


@contextmanager
def stopped_clock() -> Iterator[FakeClock]:
    """The program's monotonic clock and Unix time stand still."""
    fake, ticks, wall = FakeClock(), host_info.monotonic_ns, host_info.time_ns
    host_info.monotonic_ns, host_info.time_ns = fake, lambda: 1_700_000_000_000_000_000 + fake.now
    try:
        yield fake
    finally:
        host_info.monotonic_ns, host_info.time_ns = ticks, wall


class FakeLoop:
    """Keeps what is to run on the loop's next turn; its timers ring when `Deadlines` is asked."""

    def __init__(self) -> None:
        self.soon: deque[tuple[Callable, tuple]] = deque()

    def call_soon(self, call: Callable, *arguments: object) -> None:
        self.soon.append((call, arguments))

    def call_later(self, delay: float, call: Callable) -> SimpleNamespace:
        return SimpleNamespace(cancel=lambda: None)

    def call_exception_handler(self, context: dict) -> None:
        raise context["exception"]

    def create_task(self, task) -> SimpleNamespace:
        """A dialling that never gets anywhere."""
        task.close()
        return SimpleNamespace(add_done_callback=lambda _: None, cancel=lambda: None)

    def turn(self) -> None:
        while self.soon:
            call, arguments = self.soon.popleft()
            call(*arguments)


class FakeTransport:
    """Keeps what is written; the other end takes everything at once."""

    def __init__(self, connection: Connection) -> None:
        self.written, self.ended = b"", False
        connection.connection_made(self)

    def set_write_buffer_limits(self, high: int) -> None: ...
    def pause_reading(self) -> None: ...
    def resume_reading(self) -> None: ...

    def write(self, view: memoryview) -> None:
        self.written += bytes(view)

    def is_closing(self) -> bool:
        return self.ended

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.written += b"<end of sending>"

    def close(self) -> None:
        self.ended = True

    abort = close

    def take(self) -> str:
        """What was written since the last call, and whether the connection has been closed."""
        written, self.written = self.written, b""
        return written.decode("latin-1") + ("<closed>" if self.ended else "")


def feed(connection: Connection, data: bytes, loop: FakeLoop) -> None:
    """Bytes come in on that connection; where it reads no more for now, on the loop's next turn."""
    while data and not connection.closed:
        room = connection.get_buffer(-1)
        part = min(len(room), len(data))
        if not part:
            if not loop.soon:
                raise RuntimeError(f"{len(data)} bytes are never read")
            loop.turn()
            continue
        room[:part] = data[:part]
        connection.buffer_updated(part)
        data = data[part:]


class Proxy:
    """A router before some upstreams, each with connections at rest."""

    def __init__(
        self, fake_clock: FakeClock, node: ServerSettings, upstreams: int, connections: int = 4
    ) -> None:
        self.clock, self.loop = fake_clock, FakeLoop()
        self.deadlines, self.descriptors = TimerQueue(self.loop), DescriptorBudget(200)
        resources = EndpointResources(
            self.deadlines, self.descriptors, node.connect_timeout, node.idle_reuse_time, ignore
        )
        table = EndpointTable(resources)
        self.metrics = Metrics()
        self.router = Router(node, self.deadlines, table, self.metrics, ignore)
        self.router.discovery = SimpleNamespace(first_attempt_finished=True, poll=ignore)
        self.links: list[tuple[str, UpstreamConnection, FakeTransport]] = []
        rows = [server(number) for number in range(upstreams)]
        self.router.endpoints_changed([row_of(row) for row in rows], full=True)
        for row in rows:
            for _ in range(connections):
                self.open_link(row["id"])
        self.clock.advance(200)  # a connection is used again only after a while

    def open_link(self, name: str) -> None:
        upstream = self.router.table.get_or_create(name)
        link = UpstreamConnection(self.descriptors, upstream)
        upstream.connections.add(link)
        self.links.append((name, link, FakeTransport(link)))
        upstream.return_connection(link)

    def client(self) -> tuple[ClientConnection, FakeTransport]:
        """A client's connection."""
        caller = ClientConnection(self.descriptors, self.deadlines, self.router, 3_000_000)
        return caller, FakeTransport(caller)

    def asked(self) -> list[tuple[str, UpstreamConnection, str]]:
        """What went to upstreams since the last call."""
        found = []
        for name, link, transport in self.links:
            if written := transport.take().replace("<closed>", ""):
                found.append((name, link, written))
        return found

    def advance(self, milliseconds: int) -> None:
        """Time passes, and what was due by then happens."""
        self.clock.advance(milliseconds)
        self.deadlines.run_due()
        self.loop.turn()


def ignore(*_: object, **__: object) -> None: ...


def server(number: int) -> dict:
    """One server of the list."""
    return {"id": f"s-{number}", "addr": f"10.0.0.{number}:8000", "zone": "north", "cell": number}


def row_of(entry: Mapping) -> EndpointListEntry:
    """The server as the list's reader is told of it; it has run for long."""
    host, _, port = entry["addr"].partition(":")
    address = (host, int(port))
    return EndpointListEntry(entry["id"], address, EndpointState.READY, 0, 1.0, entry["cell"], entry["zone"])


def node_of(settings: Mapping, path: str) -> ServerSettings:
    """The configuration with these settings, written to that path first."""
    tree = {"listen": "10.0.1.1:80", "discovery": "10.0.1.2:81", "seed": "7", "settings": settings}
    with open(path, "w") as file:
        json.dump(tree, file)
    return config.read_server_settings({"PROXY_CONFIG": path})


def feed_now(connection: Connection, data: bytes) -> None:
    """Bytes come in on a connection that reads all at once."""
    feed(connection, data, FakeLoop())
