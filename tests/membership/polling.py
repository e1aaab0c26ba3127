"""Waiting for a condition on real sockets."""

import asyncio

MAX_POLLS = 3_000
POLL_INTERVAL = 0.005  # seconds


async def wait_until(condition):
    """Return the first true value of the condition; fails after fifteen seconds of polling."""
    for _ in range(MAX_POLLS):
        if value := condition():
            return value
        await asyncio.sleep(POLL_INTERVAL)
    raise AssertionError(f"the condition did not become true within {MAX_POLLS} polls")
