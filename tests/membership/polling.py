"""Waiting for a condition on real sockets."""

import asyncio


async def wait_until(check):
    """Return the first true value of the check; the bound is far off."""
    for _ in range(3_000):
        if value := check():
            return value
        await asyncio.sleep(0.005)
    raise AssertionError("the condition never held")
