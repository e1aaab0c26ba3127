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

MOST_ONCE = 4096  # ids remembered: an operator's call may name one that is not listed now
SETTLE = 8  # of the dialling time: for as long after an answer a second one may come on its connection


class Phase(IntEnum):
    """Of something asked of an upstream. It only goes forward, from any phase to the last."""

    ASKED = 0  # nothing to send it on yet
    DIALING = 1  # a connection comes up for it
    SENT = 2  # put on a connection, in part or whole
    OVER = 3  # its outcome is settled


class Exchange:
    """Something asked of an upstream, with its own deadline. `ended` is called once, never from `start`."""

    upload = None  # a body that still comes

    def __init__(self, upstream: "Upstream", head: bytes, body: bytes, timeout: int) -> None:
        self.upstream, self.head, self.body, self.sent = upstream, head, body, clock()
        self.link: UpstreamConnection | None = None
        self.dialing: asyncio.Task | None = None
        self.phase, self.why, self.rested = Phase.ASKED, "", 0  # `rested`: how long its connection was idle
        self.until = self.send_by = self.sent + timeout  # `send_by`: not put on a connection from then on
        self.deadline: list | None = None

    def ended(self, outcome: Outcome, took: int, answer: tuple | None) -> None:
        raise NotImplementedError

    def awaited(self) -> bool:
        """Does anybody still wait for what comes of it?"""
        return True

    def head_for(self, left: int) -> bytes:
        """What goes out ahead of the body, with so much time left, in microseconds."""
        return self.head

    @property
    def over(self) -> bool:
        return self.phase is Phase.OVER

    def start(self) -> None:
        table = self.upstream.table
        self.deadline = table.timers.schedule(self.until, self.timed_out)
        link, self.rested = self.upstream.rested(self.sent)
        if link is not None:
            self.send_on(link)
        elif table.descriptors.is_full(self.sent):
            self.end_soon(Outcome.NOT_SENT)  # no socket left: the upstream is not to blame
        else:
            # Its place in the table is taken here: taken once the dialling begins, a turn of the loop later,
            # all that start in one turn would find the same room, and overrun the table.
            link = UpstreamConnection(table.descriptors, self.upstream)
            self.phase = Phase.DIALING
            self.dialing = table.timers.loop.create_task(self.connect(table, link))
            self.dialing.add_done_callback(lambda _: link.dial_cancelled())

    async def connect(self, table: "UpstreamTable", link: UpstreamConnection) -> None:
        limit = table.timers.schedule(min(self.send_by, self.sent + table.dial_time), self.dialing.cancel)
        try:
            await dial(table.timers.loop, self.upstream.address, link)
        except (OSError, asyncio.CancelledError) as error:
            self.why = f"connect: {error or 'no answer'}"
            # Out of its own time before the connection was: nothing to hold against the upstream.
            late = self.send_by <= min(clock(), self.sent + table.dial_time)
            return self.end(Outcome.NOT_SENT if late else Outcome.UNREACHABLE)
        finally:
            table.timers.cancel(limit)
            self.dialing = None
        self.upstream.links.add(link)
        self.send_on(link)

    def send_on(self, link: UpstreamConnection) -> None:
        """The one way onto a connection. Since its upstream was chosen the connection may have taken long to
        come up: what was called off, is awaited by nobody, is out of time, or whose upstream has begun to
        drain, is not sent, and the connection is as good as new."""
        now, unsent = clock(), None
        if not self.awaited():
            unsent = Outcome.CANCELLED
        elif now >= self.send_by:
            unsent = Outcome.NOT_SENT
        elif not self.upstream.wanted:
            self.why, unsent = "not to be sent to any more", Outcome.UNREACHABLE
        if self.over or unsent is not None:
            self.upstream.return_connection(link)
            return self.end_soon(unsent)
        self.phase, self.link = Phase.SENT, link
        link.send_request(self, self.head_for(self.until - now), self.body, self.upload)

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
            self.end(Outcome.SUCCEEDED, (passed, body, load))
        else:
            unrun = never_ran and status in (503, 504)
            self.end(Outcome.REJECTED if unrun else Outcome.FAILED, (b"", b"", load))

    def connection_failed(self, written: bool) -> None:
        """Only a request that was written whole may have run."""
        self.why = self.link.parse_error if self.link is not None else ""
        self.end(Outcome.RESET if written else Outcome.UNREACHABLE)

    def timed_out(self) -> None:
        if self.dialing is None:
            self.give_up(Outcome.TIMED_OUT)

    def unsend(self) -> None:
        """Nobody waits for it any more: what is not wholly on its way never goes. No cancel, as nothing has
        begun; so also where cancels are not allowed."""
        if self.link is None or not self.link.is_flushed:
            self.give_up(Outcome.CANCELLED)

    def give_up(self, outcome: Outcome) -> None:
        """Stops waiting. The connection ends before anything else is sent: no two hops are out at once."""
        if self.over:
            return
        written = self.link is not None and self.link.cancel_request()
        if self.dialing is not None:
            self.dialing.cancel()
        self.end_soon(outcome if written or outcome is Outcome.CANCELLED else Outcome.UNREACHABLE)

    def end_soon(self, outcome: Outcome) -> None:
        """On the loop's next turn: the decisions may be in the middle of the call that led here."""
        if not self.over:
            self.settle()
            self.upstream.table.timers.loop.call_soon(self.ended, outcome, clock() - self.sent, None)

    def end(self, outcome: Outcome, answer: tuple | None = None) -> None:
        if not self.over:
            self.settle()
            self.ended(outcome, clock() - self.sent, answer)

    def settle(self) -> None:
        self.phase, self.link = Phase.OVER, None
        self.upstream.table.timers.cancel(self.deadline)


class Upstream:
    """The one record of an upstream on sockets. Its connections rest here, the last used on top."""

    def __init__(self, table: "UpstreamTable", index: int, name: str) -> None:
        self.table, self.index, self.name = table, index, name
        self.address = ("", 0)
        # As the list last had it: other settings read it anew.
        self.state, self.born, self.weight, self.cell, self.zone = EndpointState.REMOVED, 0, 1.0, 0, ""
        self.returned = 0  # when an operator last put it back: it may have started again meanwhile
        self.wanted = False  # may connections rest here?
        self.links: set[UpstreamConnection] = set()
        self.resting: list[UpstreamConnection] = []

    def rested(self, now: int) -> tuple[UpstreamConnection | None, int]:
        """A connection at rest, if one is surely still open at the other end, and for how long it was."""
        since = self.table.descriptors.idle
        # A second answer may come some milliseconds late: it would be taken for the next one's. Those that
        # came to rest later stand behind, many where requests come fast: they are not looked at one by one.
        settled = bisect_right(self.resting, now - self.table.settle, key=lambda k: since.get(k.handle, 0))
        while settled:
            settled -= 1
            link = self.resting[settled]
            idle = now - since.get(link.handle, 0)
            if idle < self.table.settle and not link.closed:
                continue  # one just closed has no time of its own, and may lead the search astray
            del self.resting[settled]
            # Bytes that nobody asked for, read after the next request, would pass for its answer.
            if not link.closed and idle < self.table.rest and link.unread_input() is None:
                self.table.descriptors.mark_busy(link.handle)
                return link, idle
            link.abort()
        return None, 0

    def return_connection(self, link: UpstreamConnection) -> None:
        if not self.wanted:
            link.abort()  # nothing more is sent there
        elif not link.closed:
            self.resting.append(link)
            self.table.descriptors.mark_idle(link.handle, clock())

    def remove_connection(self, link: UpstreamConnection) -> None:
        self.links.discard(link)
        if link in self.resting:
            self.resting.remove(link)

    def close_idle(self, since: int) -> None:
        """Those idle since before then; the longest idle come first."""
        idle = self.table.descriptors.idle
        while self.resting and idle.get(self.resting[0].handle, 0) <= since:
            self.resting.pop(0).abort()

    def leave(self) -> None:
        """Nothing more is sent there: it drains, is gone, or was taken out."""
        self.wanted = False
        self.close_idle(clock())

    def use(self) -> None:
        self.wanted = True

    def move(self, address: tuple[str, int]) -> None:
        if address != self.address:
            self.address = address
            for link in self.links:
                link.keep_alive = False  # it leads to the old place: finished there, not used again
            self.close_idle(clock())


class UpstreamTable:
    """What all upstreams share, and the upstreams themselves, by id and by index. An index is never used
    again: late news of one that has gone finds nothing, and a new one inherits nothing."""

    def __init__(
        self, timers: TimerQueue, descriptors: DescriptorBudget, dial_time: int, rest: int, log: Callable
    ) -> None:
        self.timers, self.descriptors, self.dial_time, self.log = timers, descriptors, dial_time, log
        self.rest = rest  # for how long an idle connection is used again, from `settle` on
        self.upstreams: dict[int, Upstream] = {}
        self.indices: dict[str, int] = {}
        self.once: dict[str, None] = {}  # ids ever listed, the latest last
        self.next = 0

    @property
    def settle(self) -> int:
        return self.dial_time // SETTLE

    def find(self, name: str) -> Upstream:
        index = self.indices.get(name)
        if index is None:
            index = self.indices[name] = self.next
            self.next += 1
            self.upstreams[index] = Upstream(self, index, name)
            self.remember(name)
        return self.upstreams[index]

    def remember(self, name: str) -> None:
        self.once.pop(name, None)
        self.once[name] = None
        if len(self.once) > MOST_ONCE:
            del self.once[next(iter(self.once))]

    def forget(self, index: int) -> None:
        """It has gone. What is still out there keeps its record until it ends."""
        upstream = self.upstreams.pop(index)
        del self.indices[upstream.name]
        upstream.leave()

    def sweep(self) -> None:
        """Closes what the other end would close soon: a request written to that would be lost."""
        for link in self.descriptors.idle_since(clock() - self.rest):
            if isinstance(link, UpstreamConnection):
                link.abort()
        self.timers.schedule(clock() + self.rest // 8, self.sweep)
