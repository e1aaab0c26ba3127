"""A fake of the server that a lifecycle drains, with a clock that tests advance."""

import asyncio
from collections.abc import Callable
from types import SimpleNamespace

from dahliabend.server.lifecycle import Lifecycle


class FakeTimers:
    """A timer queue that keeps scheduled calls until the time is advanced past them."""

    def __init__(self) -> None:
        self.now = 1_000_000
        self.calls: list[tuple[int, Callable[[], None]]] = []

    def schedule(self, when: int, call: Callable[[], None]) -> None:
        """Keep a call until it is due."""
        self.calls.append((when, call))

    def run_until(self, when: int) -> None:
        """Advance the time, making all calls that are due by then in order."""
        while due := [each for each in self.calls if each[0] <= when]:
            first = min(due, key=lambda each: each[0])
            self.calls.remove(first)
            self.now = max(self.now, first[0])
            first[1]()
        self.now = when


class FakeDrainingServer:
    """A server with client connections and a router without requests.

    Attributes:
        clients: The number of client connections that are still open.
        events: The logged events, and "listener closed" when the listener is closed.
    """

    def __init__(self, clients: int, *, shared_listener: bool = False) -> None:
        self.clients = clients
        self.events: list[str] = []
        self.timers = FakeTimers()
        self.max_request_time = 2_000_000
        self.router = SimpleNamespace(requests=[], shutdown_deadline=0, shut_down_by=self.shut_down_by)
        self.listener = SimpleNamespace(
            shared=shared_listener,
            sock=None,  # as after `close`
            close=lambda *, force: self.events.append("listener closed"),
        )
        self.lifecycle = Lifecycle(self, asyncio.new_event_loop())

    def log(self, event: str, **_fields: object) -> None:
        """Record an event."""
        self.events.append(event)

    def shut_down_by(self, when: int) -> None:
        """Store the deadline, as the router does."""
        self.router.shutdown_deadline = when

    def close_idle_clients(self) -> list[object]:
        """Return one object for each client connection that is still open."""
        return [object()] * self.clients
