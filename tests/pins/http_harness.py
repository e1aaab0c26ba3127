"""The network code on a clock that tests advance, with transports that record what is written to them.

No connection is established: each upstream starts with idle connections, in the order in which they are used.
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
    """A monotonic clock in nanoseconds that tests advance."""

    def __init__(self) -> None:
        self.now = START

    def __call__(self) -> int:
        return self.now

    def advance(self, milliseconds: int) -> None:
        self.now += milliseconds * 1_000_000


@contextmanager
def stopped_clock() -> Iterator[FakeClock]:
    """Replace the program's monotonic clock and Unix time by a clock that only tests advance."""
    fake_clock, real_monotonic_ns, real_time_ns = FakeClock(), host_info.monotonic_ns, host_info.time_ns
    host_info.monotonic_ns, host_info.time_ns = fake_clock, lambda: 1_700_000_000_000_000_000 + fake_clock.now
    try:
        yield fake_clock
    finally:
        host_info.monotonic_ns, host_info.time_ns = real_monotonic_ns, real_time_ns


class FakeLoop:
    """An event loop that runs callbacks on request; timers fire only when `TimerQueue.run_due` is called."""

    def __init__(self) -> None:
        self.callbacks: deque[tuple[Callable, tuple]] = deque()

    def call_soon(self, call: Callable, *arguments: object) -> None:
        self.callbacks.append((call, arguments))

    def call_later(self, delay: float, call: Callable) -> SimpleNamespace:
        return SimpleNamespace(cancel=lambda: None)

    def call_exception_handler(self, context: dict) -> None:
        raise context["exception"]

    def create_task(self, task) -> SimpleNamespace:
        """Return a task that never finishes, so no connection attempt succeeds."""
        task.close()
        return SimpleNamespace(add_done_callback=lambda _: None, cancel=lambda: None)

    def run_callbacks(self) -> None:
        while self.callbacks:
            call, arguments = self.callbacks.popleft()
            call(*arguments)


class FakeTransport:
    """A transport that records what is written and accepts everything at once."""

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

    def take_written(self) -> str:
        """Return what was written since the last call, with `<closed>` if the connection has been closed."""
        written, self.written = self.written, b""
        return written.decode("latin-1") + ("<closed>" if self.ended else "")


def feed(connection: Connection, data: bytes, loop: FakeLoop) -> None:
    """Deliver data to a connection; run the loop's callbacks whenever the connection pauses reading."""
    while data and not connection.closed:
        buffer = connection.get_buffer(-1)
        size = min(len(buffer), len(data))
        if not size:
            if not loop.callbacks:
                raise RuntimeError(f"the connection stopped reading with {len(data)} bytes left")
            loop.run_callbacks()
            continue
        buffer[:size] = data[:size]
        connection.buffer_updated(size)
        data = data[size:]


class FakeProxy:
    """A router with some upstreams, each with idle connections."""

    def __init__(
        self, fake_clock: FakeClock, settings: ServerSettings, upstreams: int, connections: int = 4
    ) -> None:
        self.clock, self.loop = fake_clock, FakeLoop()
        self.deadlines, self.descriptors = TimerQueue(self.loop), DescriptorBudget(200)
        resources = EndpointResources(
            self.deadlines, self.descriptors, settings.connect_timeout, settings.idle_reuse_time, ignore
        )
        table = EndpointTable(resources)
        self.metrics = Metrics()
        self.router = Router(settings, self.deadlines, table, self.metrics, ignore)
        self.router.discovery = SimpleNamespace(first_attempt_finished=True, poll=ignore)
        self.upstream_connections: list[tuple[str, UpstreamConnection, FakeTransport]] = []
        raw_entries = [raw_list_entry(number) for number in range(upstreams)]
        self.router.endpoints_changed([list_entry(raw_entry) for raw_entry in raw_entries], full=True)
        for raw_entry in raw_entries:
            for _ in range(connections):
                self.add_idle_connection(raw_entry["id"])
        self.clock.advance(200)  # a connection is reused only after a delay

    def add_idle_connection(self, name: str) -> None:
        upstream = self.router.table.get_or_create(name)
        connection = UpstreamConnection(self.descriptors, upstream)
        upstream.connections.add(connection)
        self.upstream_connections.append((name, connection, FakeTransport(connection)))
        upstream.return_connection(connection)

    def client(self) -> tuple[ClientConnection, FakeTransport]:
        """Return a new client connection and its transport."""
        client = ClientConnection(self.descriptors, self.deadlines, self.router, 3_000_000)
        return client, FakeTransport(client)

    def take_upstream_writes(self) -> list[tuple[str, UpstreamConnection, str]]:
        """Return what was written to upstreams since the last call: upstream, connection and text."""
        writes = []
        for name, connection, transport in self.upstream_connections:
            if written := transport.take_written().replace("<closed>", ""):
                writes.append((name, connection, written))
        return writes

    def advance(self, milliseconds: int) -> None:
        """Advance the clock, then run the timers that are due and the loop's callbacks."""
        self.clock.advance(milliseconds)
        self.deadlines.run_due()
        self.loop.run_callbacks()


def ignore(*_: object, **__: object) -> None: ...


def raw_list_entry(number: int) -> dict:
    """Return one server of an endpoint list, as discovery sends it."""
    return {"id": f"s-{number}", "addr": f"10.0.0.{number}:8000", "zone": "north", "cell": number}


def list_entry(entry: Mapping) -> EndpointListEntry:
    """Return the parsed entry of a server that started long ago."""
    host, _, port = entry["addr"].partition(":")
    address = (host, int(port))
    return EndpointListEntry(entry["id"], address, EndpointState.READY, 0, 1.0, entry["cell"], entry["zone"])


def server_settings_of(settings: Mapping, path: str) -> ServerSettings:
    """Write a platform configuration with these settings to a path, and read it."""
    configuration = {"listen": "10.0.1.1:80", "discovery": "10.0.1.2:81", "seed": "7", "settings": settings}
    with open(path, "w") as file:
        json.dump(configuration, file)
    return config.read_server_settings({"PROXY_CONFIG": path})


def feed_at_once(connection: Connection, data: bytes) -> None:
    """Deliver data to a connection that never pauses reading."""
    feed(connection, data, FakeLoop())
