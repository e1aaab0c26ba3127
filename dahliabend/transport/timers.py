"""All timers of a process in one heap, and the clock that they go by."""

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

from dahliabend.transport import host_info

MIN_CANCELLED_TO_COMPACT = 64  # cancelled timers below which clearing them out is not worth a pass

_WHEN = 0  # places in a `Timer`
_CALLBACK = 2
_ARGUMENTS = 3


def clock() -> int:
    """Monotonic time in microseconds."""
    return host_info.monotonic_ns() // 1000


class Timer(list[Any]):
    """One scheduled call: `[when, sequence, callback, arguments]`.

    A list, so that the heap compares timers without a call into Python: by time, then in the order of
    scheduling. Callback and arguments are None once it has run or was cancelled.
    """

    __slots__ = ()

    @property
    def when(self) -> int:
        """Clock time at which it is due, in microseconds."""
        return int(self[_WHEN])

    @property
    def is_pending(self) -> bool:
        """Whether it is still to run."""
        return self[_CALLBACK] is not None


class TimerQueue:
    """A heap of timers that needs one timer of the event loop, for the earliest of them.

    Attributes:
        loop: The event loop that the callbacks run in.
        heap: The timers, with cancelled ones among them.
        sequence: How many timers have been scheduled.
        cancelled: How many cancelled timers are still in the heap.
        timer: The event loop's timer, if any.
        armed_for: Clock time that `timer` was set for.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.heap: list[Timer] = []
        self.sequence = 0
        self.cancelled = 0
        self.timer: asyncio.TimerHandle | None = None
        self.armed_for = 0

    def schedule(self, when: int, callback: Callable[..., object], *arguments: object) -> Timer:
        """Calls `callback(*arguments)` once `clock()` has reached `when`."""
        self.sequence += 1
        timer = Timer((when, self.sequence, callback, arguments))
        heappush(self.heap, timer)
        if self.timer is None or when < self.armed_for:
            self.arm()
        return timer

    def cancel(self, timer: list[Any] | None) -> None:
        """Cancels a timer of `schedule`; None, or one that has run or was cancelled before, is fine."""
        if timer is None or timer[_CALLBACK] is None:
            return
        timer[_CALLBACK] = None
        timer[_ARGUMENTS] = None
        self.cancelled += 1
        if self.cancelled > MIN_CANCELLED_TO_COMPACT and self.cancelled * 2 > len(self.heap):
            self.heap = [timer for timer in self.heap if timer[_CALLBACK] is not None]
            heapify(self.heap)
            self.cancelled = 0

    def arm(self) -> None:
        """Sets the event loop's timer for the earliest of the heap."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.heap:
            self.armed_for = self.heap[0][_WHEN]
            # The loop counts in milliseconds: rounded down, it would wake again and again until it is time.
            wait_ms = -((clock() - self.armed_for) // 1000)
            self.timer = self.loop.call_later(max(0, wait_ms) / 1000, self.run_due)

    def run_due(self) -> None:
        """Runs the timers that are due, and arms the event loop's timer for the next."""
        self.timer = None
        now = clock()
        while self.heap and self.heap[0][_WHEN] <= now:
            timer = heappop(self.heap)
            callback = timer[_CALLBACK]
            arguments = timer[_ARGUMENTS]
            if callback is None:
                self.cancelled -= 1
                continue
            timer[_CALLBACK] = None
            timer[_ARGUMENTS] = None
            try:
                callback(*arguments)
            except Exception as error:  # one failed callback must not keep all later timers from running
                self.loop.call_exception_handler({"message": "deadline", "exception": error})
        self.arm()
