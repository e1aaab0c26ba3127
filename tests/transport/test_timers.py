"""The queue of timers."""

import asyncio
from types import SimpleNamespace

from helpers import MS, S

from dahliabend.transport.timers import TimerQueue, clock


def test_timers_run_in_order_and_cancelled_ones_never():
    async def run_timers():
        loop, calls = asyncio.get_running_loop(), []
        timers, done = TimerQueue(loop), loop.create_future()
        now = clock()
        ordered_timers = [timers.schedule(now + at * MS, calls.append, at) for at in (9, 3, 6, 1)]
        cancelled_timers = [timers.schedule(now + S, calls.append, "never") for _ in range(500)]
        for timer in (ordered_timers[2], *cancelled_timers):
            timers.cancel(timer)
        timers.cancel(ordered_timers[2])
        timers.schedule(now + 2 * MS, lambda: 1 / 0)  # its failure does not stop the other timers
        loop.set_exception_handler(lambda *_: calls.append("failed"))
        timers.schedule(now + 12 * MS, done.set_result, None)
        await asyncio.wait_for(done, 10)
        return calls, len(timers.heap)

    calls, remaining = asyncio.run(run_timers())
    assert calls == [1, "failed", 3, 9]
    assert remaining < 100


def test_the_event_loop_does_not_wake_before_a_timer_is_due():
    waits = []
    timers = TimerQueue(SimpleNamespace(call_later=lambda wait, callback: waits.append(wait)))
    when = clock() + 10 * MS + 400
    timers.schedule(when, print)
    assert waits[0] * 1000 == round(waits[0] * 1000)
    assert clock() + waits[0] * S >= when
