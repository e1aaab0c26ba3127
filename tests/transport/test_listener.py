"""A listener that closes while connections wait that no descriptor is left for."""

import asyncio
import socket

from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import PROCESS_DESCRIPTORS, DescriptorBudget
from dahliabend.transport.listener import Listener
from dahliabend.transport.timers import TimerQueue


class Busy:
    def can_evict(self):
        return False

    def abort(self, reason=""): ...


async def close_while_a_client_waits(force):
    """Close a listener whose descriptors are in use.

    Returns:
        Whether it stayed open; what its client saw after a descriptor was free; whether it was accepted; the
        socket in the end.
    """
    descriptors = DescriptorBudget(PROCESS_DESCRIPTORS + 10)
    timers = TimerQueue(asyncio.get_running_loop())
    listener = Listener(timers, descriptors, lambda: Connection(descriptors))
    handles = [descriptors.register(Busy()) for _ in range(descriptors.limit)]
    listener.open(("127.0.0.1", 0))
    with socket.create_connection(listener.sock.getsockname()) as client:
        client.setblocking(False)
        await asyncio.sleep(0.05)
        listener.close(force=force)
        stayed_open = listener.sock is not None
        for handle in handles[:2]:
            descriptors.release(handle)
        listener.close(force=force)
        await asyncio.sleep(0.05)
        try:
            seen = client.recv(1)
        except BlockingIOError:
            seen = "open"
        except ConnectionResetError:
            seen = "reset"
        was_accepted = len(descriptors.connections) == len(handles) - 1
    await asyncio.sleep(0.05)
    return stayed_open, seen, was_accepted, listener.sock


# Guards against a fault found by the soak of issue 60: connections that waited for a descriptor were reset
# with their requests when the listener closed after SIGTERM.
def test_a_connection_that_waits_for_a_descriptor_is_accepted_before_the_listener_closes():
    assert asyncio.run(close_while_a_client_waits(force=False)) == (True, "open", True, None)


def test_a_forced_close_does_not_wait_for_descriptors():
    assert asyncio.run(close_while_a_client_waits(force=True)) == (False, "reset", False, None)
