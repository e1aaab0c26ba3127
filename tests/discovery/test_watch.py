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
    """An event loop that connects nothing and whose timers never fire."""

    def create_task(self, task):
        task.close()
        return SimpleNamespace(add_done_callback=ignore, done=lambda: True, cancel=ignore)

    def call_later(self, *_): ...


def observer_and_idle_client():
    observer = RecordingPort()
    timers = TimerQueue(FakeEventLoop())
    return observer, DiscoveryClient(
        ("127.0.0.1", 1),
        EndpointList(observer, ignore),
        timers,
        DescriptorBudget(100),
        75 * MS,
        lambda: 1.0,
        ignore,
    )


def test_the_old_watch_stays_open_until_the_new_one_is_active():
    _, client = observer_and_idle_client()
    client.open()
    old_watch = client.watch
    FakeTransport(old_watch)
    client.request_watch(old_watch)
    client.change_address(("127.0.0.1", 1))
    assert client.watch is old_watch  # the address has not changed
    client.change_address(("127.0.0.1", 2))
    new_watch = client.watch
    FakeTransport(new_watch)
    client.request_watch(new_watch)
    heartbeat_response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
    feed(old_watch, heartbeat_response)
    assert new_watch is not old_watch
    assert not old_watch.closed  # its data is still applied, and the new watch has received nothing
    feed(new_watch, heartbeat_response)
    assert old_watch.closed
    assert not new_watch.closed
    old_watch.connection_lost(None)
    assert client.watch is new_watch
    assert client.retry_timer is None


def test_a_watch_without_a_first_byte_or_heartbeat_soon_times_out():
    _, client = observer_and_idle_client()
    client.open()
    FakeTransport(client.watch)
    client.request_watch(client.watch)
    assert client.silence_timer[0] <= clock() + S // 2
    feed(client.watch, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert clock() + 2 * S < client.silence_timer[0] < clock() + 3 * S - S // 2


def test_a_silent_watch_is_retried_with_backoff_and_the_observer_is_notified():
    (observer, client), backoffs = observer_and_idle_client(), []
    for _ in range(9):
        client.open()
        FakeTransport(watch := client.watch)
        client.request_watch(watch)
        client.watch_silent()
        assert watch.closed
        backoffs.append(client.backoff)
        watch.connection_lost(None)
        assert client.retry_timer[0] <= clock() + backoffs[-1]
    assert backoffs == sorted(backoffs)
    assert backoffs[0] < backoffs[-1] <= S
    assert len(observer.calls_to("endpoint_poll_failed")) == 9


def test_a_connect_cancelled_before_its_first_step_is_retried():
    """The connect task is cancelled before its first step, as if starting it took longer than the timeout."""

    async def cancel_connect():
        loop = asyncio.get_running_loop()
        budget, endpoint_list = (
            DescriptorBudget(26),
            EndpointList(SimpleNamespace(endpoint_poll_failed=ignore), ignore),
        )
        client = DiscoveryClient(
            ("127.0.0.1", 9), endpoint_list, TimerQueue(loop), budget, S, lambda: 0.5, ignore
        )
        client.open()
        client.watch_silent()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert client.watch is None
        assert client.retry_timer[2] is not None
        assert not len(budget.connections)
        client.stop()

    asyncio.run(cancel_connect())
