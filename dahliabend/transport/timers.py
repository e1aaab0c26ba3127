"""The timers of a process, kept in one heap, and the clock that they use."""

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

from dahliabend.transport import host_info

NANOSECONDS_PER_MICROSECOND = 1_000
MICROSECONDS_PER_MILLISECOND = 1_000
MICROSECONDS_PER_SECOND = 1_000_000
MILLISECONDS_PER_SECOND = 1_000
ANY_LATENESS = 1 << 62  # microseconds: late timers never wait
MIN_CANCELLED_TO_COMPACT = 64  # with fewer cancelled timers, a pass to remove them is not worth its cost

_WHEN = 0  # indexes into a `Timer`
_CALLBACK = 2
_ARGUMENTS = 3


def clock() -> int:
    """Return the monotonic time in microseconds."""
    return host_info.monotonic_ns() // NANOSECONDS_PER_MICROSECOND


class Timer(list[Any]):
    """One scheduled call: `[when, sequence, callback, arguments]`.

    It is a list so that the heap compares timers without calling Python code: by time, then in the order of
    scheduling. Callback and arguments are None after the call or the cancellation.
    """

    __slots__ = ()

    @property
    def when(self) -> int:
        """Clock time in microseconds at which the call is due."""
        return int(self[_WHEN])

    @property
    def is_pending(self) -> bool:
        """Whether the call has neither run nor been cancelled."""
        return self[_CALLBACK] is not None


class TimerQueue:
    """A heap of timers that uses one timer of the event loop, set for the earliest of them.

    After a turn of the event loop that was so long that timers are late, they wait for one turn more: what
    peers have sent meanwhile is read first, or it would count as not sent in time.

    Attributes:
        loop: The event loop that runs the callbacks.
        heap: The timers, including cancelled ones that have not been removed yet.
        scheduled_count: How many timers have been scheduled so far.
        cancelled_count: How many cancelled timers are still in the heap.
        loop_timer: The event loop's timer, if one is set.
        armed_for: Clock time that `loop_timer` was set for.
        max_lateness: Lateness (us) from which on the timers wait for another turn.
        has_waited: Whether the timers that are due have waited for another turn.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_lateness: int = ANY_LATENESS) -> None:
        self.loop = loop
        self.max_lateness = max_lateness
        self.has_waited = False
        self.heap: list[Timer] = []
        self.scheduled_count = 0
        self.cancelled_count = 0
        self.loop_timer: asyncio.TimerHandle | None = None
        self.armed_for = 0

    def schedule(self, when: int, callback: Callable[..., object], *arguments: object) -> Timer:
        """Schedule the call `callback(*arguments)` for clock time `when`; return its timer."""
        self.scheduled_count += 1
        timer = Timer((when, self.scheduled_count, callback, arguments))
        heappush(self.heap, timer)
        if self.loop_timer is None or when < self.armed_for:
            self.arm()
        return timer

    def cancel(self, timer: list[Any] | None) -> None:
        """Cancel a timer that `schedule` returned; None, or one that has run or was cancelled, is ignored."""
        if timer is None or timer[_CALLBACK] is None:
            return
        timer[_CALLBACK] = None
        timer[_ARGUMENTS] = None
        self.cancelled_count += 1
        if self.cancelled_count > MIN_CANCELLED_TO_COMPACT and self.cancelled_count * 2 > len(self.heap):
            self.heap = [timer for timer in self.heap if timer[_CALLBACK] is not None]
            heapify(self.heap)
            self.cancelled_count = 0

    def arm(self) -> None:
        """Set the event loop's timer for the earliest timer in the heap."""
        if self.loop_timer is not None:
            self.loop_timer.cancel()
            self.loop_timer = None
        if self.heap:
            self.armed_for = self.heap[0][_WHEN]
            # The event loop counts in milliseconds. Rounded down, its timer would fire repeatedly too early.
            wait_ms = -((clock() - self.armed_for) // MICROSECONDS_PER_MILLISECOND)
            self.loop_timer = self.loop.call_later(max(0, wait_ms) / MILLISECONDS_PER_SECOND, self.run_due)

    def run_due(self) -> None:
        """Run the timers that are due, and set the event loop's timer for the next one."""
        self.loop_timer = None
        now = clock()
        if now - self.armed_for > self.max_lateness and not self.has_waited:
            self.has_waited = True
            self.loop_timer = self.loop.call_later(0, self.run_due)
            return
        self.has_waited = False
        while self.heap and self.heap[0][_WHEN] <= now:
            timer = heappop(self.heap)
            callback = timer[_CALLBACK]
            arguments = timer[_ARGUMENTS]
            if callback is None:
                self.cancelled_count -= 1
                continue
            timer[_CALLBACK] = None
            timer[_ARGUMENTS] = None
            try:
                callback(*arguments)
            except Exception as error:  # a failed callback must not keep later timers from running
                self.loop.call_exception_handler({"message": "deadline", "exception": error})
        self.arm()
