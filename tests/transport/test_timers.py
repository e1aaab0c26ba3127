"""The queue of timers."""

import asyncio
from types import SimpleNamespace

from helpers import MS, S

from dahliabend.transport.timers import TimerQueue, clock


def test_timers_run_in_order_and_cancelled_ones_never():
    async def play():
        loop, rung = asyncio.get_running_loop(), []
        timers, done = TimerQueue(loop), loop.create_future()
        now = clock()
        entries = [timers.schedule(now + at * MS, rung.append, at) for at in (9, 3, 6, 1)]
        many = [timers.schedule(now + S, rung.append, "never") for _ in range(500)]
        for entry in (entries[2], *many):
            timers.cancel(entry)
        timers.cancel(entries[2])
        timers.schedule(now + 2 * MS, lambda: 1 / 0)  # one that fails does not silence the rest
        loop.set_exception_handler(lambda *_: rung.append("failed"))
        timers.schedule(now + 12 * MS, done.set_result, None)
        await asyncio.wait_for(done, 10)
        return rung, len(timers.heap)

    rung, left = asyncio.run(play())
    assert rung == [1, "failed", 3, 9]
    assert left < 100


def test_the_event_loop_does_not_wake_before_a_timer_is_due():
    waits = []
    timers = TimerQueue(SimpleNamespace(call_later=lambda wait, call: waits.append(wait)))
    when = clock() + 10 * MS + 400
    timers.schedule(when, print)
    assert waits[0] * 1000 == round(waits[0] * 1000)
    assert clock() + waits[0] * S >= when
