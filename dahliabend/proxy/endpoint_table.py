"""One record an upstream: its address, its connections, and how it is asked."""

import asyncio
from bisect import bisect_right
from collections.abc import Callable
from enum import IntEnum

from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.model import EndpointState, Outcome
from dahliabend.transport.connection import dial
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

MAX_REMEMBERED_IDS = 4096  # ids remembered: an operator's call may name one that is not listed now
SETTLE = 8  # of the dialling time: for as long after an answer a second one may come on its connection


class Phase(IntEnum):
    """Of something asked of an upstream. It only goes forward, from any phase to the last."""

    CREATED = 0  # nothing to send it on yet
    CONNECTING = 1  # a connection comes up for it
    SENT = 2  # put on a connection, in part or whole
    FINISHED = 3  # its outcome is settled


class UpstreamRequest:
    """Something asked of an upstream, with its own deadline. `ended` is called once, never from `start`."""

    upload = None  # a body that still comes

    def __init__(self, upstream: "Endpoint", head: bytes, body: bytes, timeout: int) -> None:
        self.endpoint, self.head, self.body, self.started_at = upstream, head, body, clock()
        self.connection: UpstreamConnection | None = None
        self.connect_task: asyncio.Task | None = None
        self.phase, self.failure_reason, self.connection_idle_time = (
            Phase.CREATED,
            "",
            0,
        )  # `rested`: how long its connection was idle
        self.expires_at = self.send_deadline = (
            self.started_at + timeout
        )  # `send_by`: not put on a connection from then on
        self.timeout_timer: list | None = None

    def on_finished(self, outcome: Outcome, took: int, answer: tuple | None) -> None:
        raise NotImplementedError

    def is_awaited(self) -> bool:
        """Does anybody still wait for what comes of it?"""
        return True

    def build_head(self, left: int) -> bytes:
        """What goes out ahead of the body, with so much time left, in microseconds."""
        return self.head

    @property
    def is_finished(self) -> bool:
        return self.phase is Phase.FINISHED

    def start(self) -> None:
        table = self.endpoint.table
        self.timeout_timer = table.timers.schedule(self.expires_at, self.timed_out)
        link, self.connection_idle_time = self.endpoint.take_idle_connection(self.started_at)
        if link is not None:
            self.send_on_connection(link)
        elif table.descriptors.is_full(self.started_at):
            self.finish_soon(Outcome.NOT_SENT)  # no socket left: the upstream is not to blame
        else:
            # Its place in the table is taken here: taken once the dialling begins, a turn of the loop later,
            # all that start in one turn would find the same room, and overrun the table.
            link = UpstreamConnection(table.descriptors, self.endpoint)
            self.phase = Phase.CONNECTING
            self.connect_task = table.timers.loop.create_task(self.connect(table, link))
            self.connect_task.add_done_callback(lambda _: link.dial_cancelled())

    async def connect(self, table: "EndpointTable", link: UpstreamConnection) -> None:
        limit = table.timers.schedule(
            min(self.send_deadline, self.started_at + table.connect_timeout), self.connect_task.cancel
        )
        try:
            await dial(table.timers.loop, self.endpoint.address, link)
        except (OSError, asyncio.CancelledError) as error:
            self.failure_reason = f"connect: {error or 'no answer'}"
            # Out of its own time before the connection was: nothing to hold against the upstream.
            late = self.send_deadline <= min(clock(), self.started_at + table.connect_timeout)
            return self.finish(Outcome.NOT_SENT if late else Outcome.UNREACHABLE)
        finally:
            table.timers.cancel(limit)
            self.connect_task = None
        self.endpoint.connections.add(link)
        self.send_on_connection(link)

    def send_on_connection(self, link: UpstreamConnection) -> None:
        """The one way onto a connection. Since its upstream was chosen the connection may have taken long to
        come up: what was called off, is awaited by nobody, is out of time, or whose upstream has begun to
        drain, is not sent, and the connection is as good as new."""
        now, unsent = clock(), None
        if not self.is_awaited():
            unsent = Outcome.CANCELLED
        elif now >= self.send_deadline:
            unsent = Outcome.NOT_SENT
        elif not self.endpoint.enabled:
            self.failure_reason, unsent = "not to be sent to any more", Outcome.UNREACHABLE
        if self.is_finished or unsent is not None:
            self.endpoint.return_connection(link)
            return self.finish_soon(unsent)
        self.phase, self.connection = Phase.SENT, link
        link.send_request(self, self.build_head(self.expires_at - now), self.body, self.upload)

    # What comes back.

    def request_written(self) -> None:
        """All of it is on its way: it may run from now on."""

    def unsized_response_started(self) -> None: ...
    def response_started(self, passed: bytes, length: int | None) -> None: ...
    def response_part(self, part: bytes) -> None: ...

    def response_complete(
        self, status: int, never_ran: bool, load: bytes, passed: bytes, body: bytes
    ) -> None:
        if status == 200:
            self.finish(Outcome.SUCCEEDED, (passed, body, load))
        else:
            unrun = never_ran and status in (503, 504)
            self.finish(Outcome.REJECTED if unrun else Outcome.FAILED, (b"", b"", load))

    def connection_failed(self, written: bool) -> None:
        """Only a request that was written whole may have run."""
        self.failure_reason = self.connection.parse_error if self.connection is not None else ""
        self.finish(Outcome.RESET if written else Outcome.UNREACHABLE)

    def timed_out(self) -> None:
        if self.connect_task is None:
            self.give_up(Outcome.TIMED_OUT)

    def cancel_unsent(self) -> None:
        """Nobody waits for it any more: what is not wholly on its way never goes. No cancel, as nothing has
        begun; so also where cancels are not allowed."""
        if self.connection is None or not self.connection.is_flushed:
            self.give_up(Outcome.CANCELLED)

    def give_up(self, outcome: Outcome) -> None:
        """Stops waiting. The connection ends before anything else is sent: no two hops are out at once."""
        if self.is_finished:
            return
        written = self.connection is not None and self.connection.cancel_request()
        if self.connect_task is not None:
            self.connect_task.cancel()
        self.finish_soon(outcome if written or outcome is Outcome.CANCELLED else Outcome.UNREACHABLE)

    def finish_soon(self, outcome: Outcome) -> None:
        """On the loop's next turn: the decisions may be in the middle of the call that led here."""
        if not self.is_finished:
            self.mark_finished()
            self.endpoint.table.timers.loop.call_soon(
                self.on_finished, outcome, clock() - self.started_at, None
            )

    def finish(self, outcome: Outcome, answer: tuple | None = None) -> None:
        if not self.is_finished:
            self.mark_finished()
            self.on_finished(outcome, clock() - self.started_at, answer)

    def mark_finished(self) -> None:
        self.phase, self.connection = Phase.FINISHED, None
        self.endpoint.table.timers.cancel(self.timeout_timer)


class Endpoint:
    """The one record of an upstream on sockets. Its connections rest here, the last used on top."""

    def __init__(self, table: "EndpointTable", index: int, name: str) -> None:
        self.table, self.index, self.name = table, index, name
        self.address = ("", 0)
        # As the list last had it: other settings read it anew.
        self.state, self.started_at, self.weight, self.cell, self.zone = EndpointState.REMOVED, 0, 1.0, 0, ""
        self.included_at = 0  # when an operator last put it back: it may have started again meanwhile
        self.enabled = False  # may connections rest here?
        self.connections: set[UpstreamConnection] = set()
        self.idle_connections: list[UpstreamConnection] = []

    def take_idle_connection(self, now: int) -> tuple[UpstreamConnection | None, int]:
        """A connection at rest, if one is surely still open at the other end, and for how long it was."""
        since = self.table.descriptors.idle
        # A second answer may come some milliseconds late: it would be taken for the next one's. Those that
        # came to rest later stand behind, many where requests come fast: they are not looked at one by one.
        settled = bisect_right(
            self.idle_connections, now - self.table.reuse_delay, key=lambda k: since.get(k.handle, 0)
        )
        while settled:
            settled -= 1
            link = self.idle_connections[settled]
            idle = now - since.get(link.handle, 0)
            if idle < self.table.reuse_delay and not link.closed:
                continue  # one just closed has no time of its own, and may lead the search astray
            del self.idle_connections[settled]
            # Bytes that nobody asked for, read after the next request, would pass for its answer.
            if not link.closed and idle < self.table.idle_timeout and link.unread_input() is None:
                self.table.descriptors.mark_busy(link.handle)
                return link, idle
            link.abort()
        return None, 0

    def return_connection(self, link: UpstreamConnection) -> None:
        if not self.enabled:
            link.abort()  # nothing more is sent there
        elif not link.closed:
            self.idle_connections.append(link)
            self.table.descriptors.mark_idle(link.handle, clock())

    def remove_connection(self, link: UpstreamConnection) -> None:
        self.connections.discard(link)
        if link in self.idle_connections:
            self.idle_connections.remove(link)

    def close_idle(self, since: int) -> None:
        """Those idle since before then; the longest idle come first."""
        idle = self.table.descriptors.idle
        while self.idle_connections and idle.get(self.idle_connections[0].handle, 0) <= since:
            self.idle_connections.pop(0).abort()

    def disable(self) -> None:
        """Nothing more is sent there: it drains, is gone, or was taken out."""
        self.enabled = False
        self.close_idle(clock())

    def enable(self) -> None:
        self.enabled = True

    def set_address(self, address: tuple[str, int]) -> None:
        if address != self.address:
            self.address = address
            for link in self.connections:
                link.keep_alive = False  # it leads to the old place: finished there, not used again
            self.close_idle(clock())


class EndpointTable:
    """What all upstreams share, and the upstreams themselves, by id and by index. An index is never used
    again: late news of one that has gone finds nothing, and a new one inherits nothing."""

    def __init__(
        self, timers: TimerQueue, descriptors: DescriptorBudget, dial_time: int, rest: int, log: Callable
    ) -> None:
        self.timers, self.descriptors, self.connect_timeout, self.log = timers, descriptors, dial_time, log
        self.idle_timeout = rest  # for how long an idle connection is used again, from `settle` on
        self.endpoints: dict[int, Endpoint] = {}
        self.indices: dict[str, int] = {}
        self.known_ids: dict[str, None] = {}  # ids ever listed, the latest last
        self.next_index = 0

    @property
    def reuse_delay(self) -> int:
        return self.connect_timeout // SETTLE

    def get_or_create(self, name: str) -> Endpoint:
        index = self.indices.get(name)
        if index is None:
            index = self.indices[name] = self.next_index
            self.next_index += 1
            self.endpoints[index] = Endpoint(self, index, name)
            self.remember_id(name)
        return self.endpoints[index]

    def remember_id(self, name: str) -> None:
        self.known_ids.pop(name, None)
        self.known_ids[name] = None
        if len(self.known_ids) > MAX_REMEMBERED_IDS:
            del self.known_ids[next(iter(self.known_ids))]

    def remove(self, index: int) -> None:
        """It has gone. What is still out there keeps its record until it ends."""
        upstream = self.endpoints.pop(index)
        del self.indices[upstream.name]
        upstream.disable()

    def close_expired_connections(self) -> None:
        """Closes what the other end would close soon: a request written to that would be lost."""
        for link in self.descriptors.idle_since(clock() - self.idle_timeout):
            if isinstance(link, UpstreamConnection):
                link.abort()
        self.timers.schedule(clock() + self.idle_timeout // 8, self.close_expired_connections)
