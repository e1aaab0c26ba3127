"""Records the events of a run that the peers and the network observe, and notifies subscribers of them.

The invariants and the fault injection depend on these events alone, not on the balancer's state.

The names of the event kinds are stored in scenario files and printed in time lines, so they must not change.
Those that do not explain themselves mean:

| kind | event |
| --- | --- |
| `asked`, `written` | the first, the last byte of a client's request is written |
| `keyed` | a request has an ordering key |
| `nobody` | no balancer was ready to take a request |
| `answer`, `began`, `cut`, `lost` | a response is complete, begun, truncated, missing |
| `extra`, `spoilt` | a response is unexpected, unreadable |
| `left` | a client disconnects |
| `hop.head`, `hop.whole` | the head, the last byte of an attempt is written |
| `hop.told` | an attempt's head is written: the time that its deadline header announces, 0 without one |
| `begun` | an attempt has completely arrived at its upstream |
| `unrun` | an upstream rejects an attempt without executing it |
| `effect`, `made` | an upstream executes a request, is about to answer it |
| `done`, `gave` | an upstream answers, has sent all of its response |
| `torn` | an upstream resets a connection |
| `toppled` | an upstream hangs for good because it got too much work while warming up |
| `probed` | a health check has arrived at an upstream |
| `had`, `told` | discovery knows, has announced an endpoint's state |
| `said`, `yes` | an operator's call was answered, was successful |
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import httptools

from dahliabend.simulation.connections import ConnectionEnd
from dahliabend.simulation.event_loop import CLOCK_START, Scheduler

MAX_STORED_EVENTS = 400_000  # later events only go into the digest
DIGEST_BYTES = 12
HEALTH_CHECK_PREFIX = b"/-/"  # start of the paths of health checks

Event = tuple[Any, ...]  # microseconds since the start, the event kind, and the values


class Recorder:
    """The time line of a run. An instance is called with the kind and the values of an event to record it.

    The values are names, numbers and bytes.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.events: list[Event] = []
        self._subscribers: dict[str, list[Callable[..., None]]] = {}
        self._hash = blake2b(digest_size=DIGEST_BYTES)

    def subscribe(self, event_kind: str, handler: Callable[..., None]) -> None:
        """Have a handler called with the values of each event of a kind."""
        self._subscribers.setdefault(event_kind, []).append(handler)

    def __call__(self, event_kind: str, *values: object) -> None:
        """Record an event at the current time and call the subscribers of its kind."""
        event = (self.scheduler.now - CLOCK_START, event_kind, *values)
        if len(self.events) < MAX_STORED_EVENTS:
            self.events.append(event)
        else:
            self._hash.update(repr(event).encode())
        for handler in self._subscribers.get(event_kind, ()):
            handler(*values)

    def digest(self) -> str:
        """Return a hash of all events, which is the same on every machine that simulates the same run."""
        hash_of_all = self._hash.copy()
        hash_of_all.update(repr(self.events).encode())
        return hash_of_all.hexdigest()


class AttemptTap:
    """Parses what a balancer writes on a connection to an upstream, and records its attempts."""

    def __init__(self, recorder: Recorder, end: ConnectionEnd, process: str, upstream: str) -> None:
        self.recorder = recorder
        self.end = end
        self.process = process
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.started_at = 0
        self.trace_id = ""
        self.path = b""
        self.announced_ms = 0  # the time left, in milliseconds, that the deadline header announces

    def data_sent(self, data: bytes) -> None:
        """Parse bytes that the balancer has written."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.recorder("unreadable", self.upstream, self.process, str(error))

    def data_received(self, data: bytes) -> None:
        """Ignore bytes that the upstream has written, since the upstream records its responses."""

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self.started_at = self.recorder.scheduler.now
        self.trace_id = ""
        self.path = b""
        self.announced_ms = 0

    def on_url(self, data: bytes) -> None:
        """Append to the request's path."""
        self.path += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the trace id and the announced time of the request."""
        if name.lower() == b"x-trace-id":
            self.trace_id = value.decode("latin-1")
        elif name.lower() == b"x-expires-in-ms" and value.isdigit():
            self.announced_ms = int(value)

    def on_headers_complete(self) -> None:
        """Record the time that the attempt announces, 0 without a deadline header, and its head.

        Health checks are not recorded.
        """
        if not self.path.startswith(HEALTH_CHECK_PREFIX):
            number = self.end.number
            self.recorder("hop.told", self.trace_id, self.upstream, self.announced_ms)
            self.recorder("hop.head", self.trace_id, self.process, self.upstream, number, self.started_at)

    def on_message_complete(self) -> None:
        """Record that the attempt's last byte is written, unless it is a health check."""
        if not self.path.startswith(HEALTH_CHECK_PREFIX):
            self.recorder("hop.whole", self.trace_id, self.process, self.upstream, self.end.number)
