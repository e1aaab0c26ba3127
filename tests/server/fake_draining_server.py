"""A server as its lifecycle sees it, with a clock that is moved by hand."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace

from dahliabend.server.lifecycle import Lifecycle


class FakeTimers:
    """Keeps scheduled calls until the time is moved past them."""

    def __init__(self) -> None:
        self.now = 1_000_000
        self.calls: list[tuple[int, Callable[[], None]]] = []

    def schedule(self, when: int, call: Callable[[], None]) -> None:
        """Keep a call."""
        self.calls.append((when, call))

    def run_until(self, when: int) -> None:
        """Move the time, and make all calls that are due by then."""
        while due := [each for each in self.calls if each[0] <= when]:
            first = min(due, key=lambda each: each[0])
            self.calls.remove(first)
            self.now = max(self.now, first[0])
            first[1]()
        self.now = when


class FakeDrainingServer:
    """Has clients and a router without requests; `clients` is the number of client connections left."""

    def __init__(self, clients: int, *, shared_listener: bool = False) -> None:
        self.clients = clients
        self.events: list[str] = []
        self.timers = FakeTimers()
        self.max_request_time = 2_000_000
        self.router = SimpleNamespace(requests=[], shutdown_deadline=0, shut_down_by=self.shut_down_by)
        self.listener = SimpleNamespace(
            shared=shared_listener, close=lambda: self.events.append("listener closed")
        )
        self.lifecycle = Lifecycle(self, asyncio.new_event_loop())

    def log(self, event: str, **_fields: object) -> None:
        """Remember an event."""
        self.events.append(event)

    def shut_down_by(self, when: int) -> None:
        """Remember the deadline as the router does."""
        self.router.shutdown_deadline = when

    def close_idle_clients(self) -> list[object]:
        """Return the client connections that are left."""
        return [object()] * self.clients
