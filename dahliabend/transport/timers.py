"""All deadlines, in one ordered structure, and the clock that they go by."""

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush

from dahliabend.transport import host_info

MIN_CANCELLED_TO_COMPACT = 64  # entries below which dropped ones are not worth clearing out


def clock() -> int:
    """Monotonic time in whole microseconds."""
    return host_info.monotonic_ns() // 1000


class TimerQueue:
    """A heap of `[when, order, call, arguments]`, and one timer of the loop, for the first of them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.heap: list[list] = []
        self.sequence = self.cancelled = 0
        self.timer: asyncio.TimerHandle | None = None
        self.armed_for = 0

    def schedule(self, when: int, call: Callable, *arguments) -> list:
        self.sequence += 1
        entry = [when, self.sequence, call, arguments]
        heappush(self.heap, entry)
        if self.timer is None or when < self.armed_for:
            self.arm()
        return entry

    def cancel(self, entry: list | None) -> None:
        """Takes an entry back; one that has been called, or none at all, is no fault."""
        if entry is None or entry[2] is None:
            return
        entry[2] = entry[3] = None
        self.cancelled += 1
        if self.cancelled > MIN_CANCELLED_TO_COMPACT and self.cancelled * 2 > len(self.heap):
            self.heap = [kept for kept in self.heap if kept[2] is not None]
            heapify(self.heap)
            self.cancelled = 0

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.heap:
            self.armed_for = self.heap[0][0]
            # The loop counts in milliseconds: rounded down, it would wake again and again until it is time.
            wait = -((clock() - self.armed_for) // 1000)
            self.timer = self.loop.call_later(max(0, wait) / 1000, self.run_due)

    def run_due(self) -> None:
        self.timer = None
        now = clock()
        while self.heap and self.heap[0][0] <= now:
            entry = heappop(self.heap)
            call, arguments = entry[2], entry[3]
            if call is None:
                self.cancelled -= 1
                continue
            entry[2] = entry[3] = None
            try:
                call(*arguments)
            except Exception as error:  # one failed call must not silence all later deadlines
                self.loop.call_exception_handler({"message": "deadline", "exception": error})
        self.arm()
