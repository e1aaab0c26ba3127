"""The watch of the endpoint list: silence, retries and a new address."""

import asyncio
from types import SimpleNamespace

from fake_port import RecordingPort
from fake_transport import FakeTransport, feed, ignore
from helpers import MS, S

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.watch import DiscoveryClient
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock


class FakeEventLoop:
    """Dials nobody; its timers never ring."""

    def create_task(self, task):
        task.close()
        return SimpleNamespace(add_done_callback=ignore, done=lambda: True, cancel=ignore)

    def call_later(self, *_): ...


def idle_client():
    notes = RecordingPort()
    timers = TimerQueue(FakeEventLoop())
    return notes, DiscoveryClient(
        ("127.0.0.1", 1),
        EndpointList(notes, ignore),
        timers,
        DescriptorBudget(100),
        75 * MS,
        lambda: 1.0,
        ignore,
    )


def test_the_old_watch_stays_open_until_the_new_one_is_active():
    _, watcher = idle_client()
    watcher.open()
    old = watcher.watch
    FakeTransport(old)
    watcher.request_watch(old)
    watcher.change_address(("127.0.0.1", 1))
    assert watcher.watch is old  # the same address
    watcher.change_address(("127.0.0.1", 2))
    new = watcher.watch
    FakeTransport(new)
    watcher.request_watch(new)
    line = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
    feed(old, line)
    assert new is not old
    assert not old.closed  # what it sends still counts, but no data of the new one has come
    feed(new, line)
    assert old.closed
    assert not new.closed
    old.connection_lost(None)
    assert watcher.watch is new
    assert watcher.retry_timer is None


def test_a_watch_without_a_first_byte_or_heartbeat_soon_times_out():
    _, watcher = idle_client()
    watcher.open()
    FakeTransport(watcher.watch)
    watcher.request_watch(watcher.watch)
    assert watcher.silence_timer[0] <= clock() + S // 2
    feed(watcher.watch, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert clock() + 2 * S < watcher.silence_timer[0] < clock() + 3 * S - S // 2


def test_a_silent_watch_is_retried_with_backoff_and_the_observer_is_notified():
    (notes, watcher), waits = idle_client(), []
    for _ in range(9):
        watcher.open()
        FakeTransport(watch := watcher.watch)
        watcher.request_watch(watch)
        watcher.watch_silent()
        assert watch.closed
        waits.append(watcher.backoff)
        watch.connection_lost(None)
        assert watcher.retry_timer[0] <= clock() + waits[-1]
    assert waits == sorted(waits)
    assert waits[0] < waits[-1] <= S
    assert len(notes.calls_to("endpoint_poll_failed")) == 9


def test_a_connect_cancelled_before_its_first_step_is_retried():
    """Its task is cancelled before it has run at all: a start that took longer than the dialling may."""

    async def play():
        loop = asyncio.get_running_loop()
        budget, endpoint_list = (
            DescriptorBudget(26),
            EndpointList(SimpleNamespace(endpoint_poll_failed=ignore), ignore),
        )
        watcher = DiscoveryClient(
            ("127.0.0.1", 9), endpoint_list, TimerQueue(loop), budget, S, lambda: 0.5, ignore
        )
        watcher.open()
        watcher.watch_silent()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert watcher.watch is None
        assert watcher.retry_timer[2] is not None
        assert not len(budget.connections)
        watcher.stop()

    asyncio.run(play())
