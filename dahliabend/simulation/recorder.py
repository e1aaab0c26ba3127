"""The time line of a run: what the peers and the network saw, its digest, and its subscribers.

The invariants and the fault scripts use these events alone; the network code under test is never asked.

Kinds of events are stored in fault scripts and in printed time lines, so they keep their names. Where these
are not plain, the terms of the code for them are:

| kind | event |
| --- | --- |
| `asked`, `written` | the first, the last byte of a client's request is written |
| `keyed` | a request has an ordering key |
| `nobody` | no balancer was ready to take a request |
| `answer`, `began`, `cut`, `lost` | a response is complete, begun, truncated, missing |
| `extra`, `spoilt` | a response is unexpected, unreadable |
| `left` | a client disconnects |
| `hop.head`, `hop.whole` | the head, the last byte of an attempt is written |
| `hop.told` | an attempt has a deadline header |
| `begun` | an attempt has arrived complete at its upstream |
| `unrun` | an upstream rejects an attempt without executing it |
| `effect`, `made` | an upstream executes a request, is about to answer it |
| `done`, `gave` | an upstream answers, has sent all of its answer |
| `torn` | an upstream resets a connection |
| `toppled` | an upstream fails because it got too much work while warming up |
| `had`, `told` | discovery knows, has announced an endpoint's state |
| `said`, `yes` | an operator's call was answered, was successful |
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import httptools

from dahliabend.simulation.connections import ConnectionEnd
from dahliabend.simulation.event_loop import CLOCK_START, Scheduler

MAX_STORED_EVENTS = 400_000  # the events beyond go into the digest alone
DIGEST_BYTES = 12
ADMIN_PREFIX = b"/-/"  # of the paths of health checks

Event = tuple[Any, ...]  # microseconds since the start, the kind, and plain values


class Recorder:
    """Call it with the kind and the values of an event to record one now.

    Values are plain: names, numbers, bytes.
    """

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self.events: list[Event] = []
        self._subscribers: dict[str, list[Callable[..., None]]] = {}
        self._hash = blake2b(digest_size=DIGEST_BYTES)

    def subscribe(self, event_kind: str, handler: Callable[..., None]) -> None:
        """Have a function called with the values of each event of a kind."""
        self._subscribers.setdefault(event_kind, []).append(handler)

    def __call__(self, event_kind: str, *values: object) -> None:
        """Record an event."""
        event = (self.scheduler.now - CLOCK_START, event_kind, *values)
        if len(self.events) < MAX_STORED_EVENTS:
            self.events.append(event)
        else:
            self._hash.update(repr(event).encode())
        for handler in self._subscribers.get(event_kind, ()):
            handler(*values)

    def digest(self) -> str:
        """A hash of all events; the same wherever the same run is simulated."""
        hash_of_all = self._hash.copy()
        hash_of_all.update(repr(self.events).encode())
        return hash_of_all.hexdigest()


class AttemptTap:
    """Parses what a balancer writes on a connection to an upstream, and records its attempts."""

    def __init__(self, recorder: Recorder, end: ConnectionEnd, balancer: str, upstream: str) -> None:
        self.recorder = recorder
        self.end = end
        self.balancer = balancer
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.started_at = 0
        self.trace_id = ""
        self.path = b""
        self.announced_ms = 0  # the time that the deadline header gives

    def data_sent(self, data: bytes) -> None:
        """The balancer has written bytes."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.recorder("unreadable", self.upstream, self.balancer, str(error))

    def data_received(self, data: bytes) -> None:
        """The upstream has written bytes; these are its own to record."""

    def on_message_begin(self) -> None:
        """A request begins."""
        self.started_at = self.recorder.scheduler.now
        self.trace_id = ""
        self.path = b""
        self.announced_ms = 0

    def on_url(self, data: bytes) -> None:
        """A part of the request's path."""
        self.path += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header of the request."""
        if name.lower() == b"x-trace-id":
            self.trace_id = value.decode("latin-1")
        elif name.lower() == b"x-expires-in-ms" and value.isdigit():
            self.announced_ms = int(value)

    def on_headers_complete(self) -> None:
        """The request's head is complete."""
        if not self.path.startswith(ADMIN_PREFIX):
            number = self.end.number
            self.recorder("hop.told", self.trace_id, self.upstream, self.announced_ms)
            self.recorder("hop.head", self.trace_id, self.balancer, self.upstream, number, self.started_at)

    def on_message_complete(self) -> None:
        """The request is complete."""
        if not self.path.startswith(ADMIN_PREFIX):
            self.recorder("hop.whole", self.trace_id, self.balancer, self.upstream, self.end.number)
