"""The watch of the endpoint list: silence, retries and a new address."""

import asyncio
from types import SimpleNamespace

from fake_port import RecordingPort
from fake_transport import FakeTransport, feed, ignore
from helpers import MS, S

from dahliabend.discovery import watch_connection
from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.unanswered_watches import MAX_AGE_LIMIT, MAX_UNANSWERED, UnansweredWatches
from dahliabend.discovery.watch import DiscoveryClient, WatchState
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


HEARTBEAT = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"


def request_watch(client):
    """Open and request a watch, as if its connection had been established."""
    client.open()
    FakeTransport(client.watch)
    client.request_watch(client.watch)
    return client.watch


def message_with_drain():
    """Return a chunk with a message in which an endpoint drains."""
    entry = b'{"id": "s-1", "addr": "127.0.0.1:1", "state": "draining"}'
    line = b'{"version": 3, "full": false, "servers": [%b]}\n' % entry
    return b"%x\r\n%b\r\n" % (len(line), line)


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


def test_an_unanswered_watch_is_followed_by_others_with_backoff_and_the_observer_is_notified():
    (observer, client), backoffs, watches = observer_and_idle_client(), [], []
    for _ in range(9):
        watches.append(request_watch(client))
        client.watch_silent()
        assert client.watch is None
        backoffs.append(client.backoff)
        assert client.retry_timer[0] <= clock() + backoffs[-1]
    assert backoffs == sorted(backoffs)
    assert backoffs[0] < backoffs[-1] <= S
    assert len(observer.calls_to("endpoint_poll_failed")) == 9
    # The oldest, which a slow service answers first, and the newest, which one that was down answers.
    open_watches = [watch for watch in watches if not watch.closed]
    assert open_watches == [watches[0], *watches[-MAX_UNANSWERED + 1 :]]


# Guards against review/9: each call was closed before a slow discovery service answered it.
def test_a_slow_answer_to_an_earlier_watch_is_taken_and_the_others_are_closed():
    observer, client = observer_and_idle_client()
    slow = request_watch(client)
    client.watch_silent()
    second = request_watch(client)
    client.watch_silent()
    third = request_watch(client)
    feed(slow, HEARTBEAT + message_with_drain())
    assert client.watch is slow
    assert client.state is WatchState.ACTIVE
    assert (second.closed, third.closed) == (True, True)
    assert not slow.closed
    for watch in (second, third):
        watch.connection_lost(None)  # has no effect on the current one
    assert client.watch is slow
    assert observer.calls_to("endpoints_changed")
    slow.connection_lost(None)
    assert client.state is WatchState.BACKING_OFF


def test_a_slow_answer_during_the_backoff_or_while_the_next_watch_connects_is_taken():
    for is_connecting in (False, True):
        _, client = observer_and_idle_client()
        slow = request_watch(client)
        client.watch_silent()
        if is_connecting:
            client.open()
        connecting = client.watch
        feed(slow, HEARTBEAT)
        assert client.watch is slow
        assert not client.retry_timer.is_pending
        if connecting is not None:
            client.watch_ended(connecting)  # as `connect` does when it is cancelled
        assert client.watch is slow
        assert client.state is WatchState.ACTIVE


def test_a_watch_that_falls_silent_after_its_first_byte_is_closed_at_once():
    _, client = observer_and_idle_client()
    watch = request_watch(client)
    feed(watch, HEARTBEAT)
    client.watch_silent()
    assert watch.closed
    assert not client.unanswered.watches


def test_unanswered_watches_are_closed_with_a_new_address_and_at_the_end():
    for end in (lambda client: client.change_address(("127.0.0.1", 2)), lambda client: client.stop()):
        _, client = observer_and_idle_client()
        watch = request_watch(client)
        client.watch_silent()
        end(client)
        assert watch.closed


def test_a_watch_that_is_refused_late_is_forgotten():
    _, client = observer_and_idle_client()
    watch = request_watch(client)
    client.watch_silent()
    current = request_watch(client)
    feed(watch, b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    watch.connection_lost(None)
    assert client.watch is current
    assert not client.unanswered.watches


def test_the_time_for_which_the_oldest_watch_stays_open_grows_while_none_is_answered(monkeypatch):
    now = [S]
    monkeypatch.setattr(watch_connection, "clock", lambda: now[0])
    unanswered, oldest = UnansweredWatches(), []
    for _ in range(200):
        now[0] += 2 * S
        _, client = observer_and_idle_client()
        unanswered.add(request_watch(client), now[0])
        assert len(unanswered.watches) <= MAX_UNANSWERED
        oldest.append(now[0] - unanswered.watches[0].requested_at)
    assert max(oldest) == MAX_AGE_LIMIT
    unanswered.answered(wait=10 * S)
    assert unanswered.max_age == 20 * S
    assert not unanswered.watches


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
