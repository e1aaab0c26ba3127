"""The list of upstreams: a watch on its changes, opened again when it ends or falls silent."""

import asyncio
from collections.abc import Callable
from enum import IntEnum
from functools import partial
from typing import Protocol

import httptools
import orjson

from dahliabend.config.address import parse_address
from dahliabend.model import EndpointState
from dahliabend.transport.connection import Connection, dial
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

HEARTBEAT_INTERVAL = 2_000_000  # an empty line comes that often while nothing changes
SILENCE_TIMEOUT = HEARTBEAT_INTERVAL * 9 // 8  # nothing for longer: the watch is dead, and changes are missed
FIRST_BYTE_TIMEOUT = HEARTBEAT_INTERVAL // 4  # a watch begins at once: one that has not by then is dead too
SHARED_FIRST_BYTE_TIMEOUT = (
    HEARTBEAT_INTERVAL * 3 // 4
)  # the same where the call may have to wait behind those of all others
MIN_BACKOFF, MAX_BACKOFF = (
    HEARTBEAT_INTERVAL // 20,
    HEARTBEAT_INTERVAL // 2,
)  # what is waited before a watch is opened again
MAX_LINE_BYTES = 8 * 1024 * 1024

_STATE_NAMES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}


class EndpointListObserver(Protocol):
    def endpoints_changed(self, rows: list[tuple], full: bool) -> None: ...
    def endpoint_poll_failed(self) -> None: ...


def parse_endpoint(raw: dict) -> tuple:
    """An upstream's id, address, state, start (Unix ms), weight, cell and zone.

    >>> parse_endpoint({"id": "s-1", "addr": "10.0.0.1:80", "state": "up", "zone": "a"})
    ('s-1', ('10.0.0.1', 80), <EndpointState.READY: 1>, 0, 1.0, 0, 'a')
    """
    state, name = _STATE_NAMES[raw["state"]], raw["id"]
    if not isinstance(name, str) or not name:
        raise ValueError("no id")
    endpoint_address = ("", 0) if state is EndpointState.REMOVED else parse_address(str(raw.get("addr")))
    started, cell = int(raw.get("started_ms") or 0), int(raw.get("cell") or 0)
    return (
        name,
        endpoint_address,
        state,
        started,
        float(raw.get("weight") or 1.0),
        cell,
        str(raw.get("zone", "")),
    )


class EndpointList:
    """The versions of the list, and who is told of them."""

    def __init__(self, reader: EndpointListObserver, log: Callable) -> None:
        self.observer, self.log = reader, log
        self.version = -1

    def apply(self, message: dict, first: bool) -> None:
        """Applies one message; `first`: of its watch. The whole list holds whatever its count, which may have
        begun anew. ValueError: only changes, from a count behind ours; the whole list is wanted."""
        version, full = int(message["version"]), bool(message.get("full"))
        if version <= self.version and not full:
            if first and version < self.version:
                # Asked for what came after ours, it knows less: its count began anew. Its changes passed over
                # as told before, drains would go unheard until it has counted up to ours.
                self.version = -1
                raise ValueError("its count began anew")
            return  # told before
        rows = []
        for raw in message.get("servers") or ():
            try:
                rows.append(parse_endpoint(raw))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                self.log("list.bad_entry", why=str(error), entry=str(raw)[:200])
        self.version = version
        self.log("list", version=version, full=full, entries=len(rows))
        self.observer.endpoints_changed(rows, full)


class WatchConnection(Connection):
    """One watch, from its request until it ends."""

    def __init__(
        self, descriptors: DescriptorBudget, endpoint_list: EndpointList, heard: Callable, ended: Callable
    ) -> None:
        super().__init__(descriptors)
        self.endpoint_list, self.data_received, self.watch_ended = endpoint_list, heard, ended
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line = bytearray()
        self.first = True

    def send_request(self, host: str) -> None:
        after = b"&after=%d" % self.endpoint_list.version if self.endpoint_list.version >= 0 else b""
        self.write(b"GET /api/targets?watch=1%b HTTP/1.1\r\nHost: %b\r\n\r\n" % (after, host.encode()))

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            raise ValueError("watch refused")

    def on_body(self, part: bytes) -> None:
        self.partial_line += part
        while (end := self.partial_line.find(b"\n")) >= 0:
            text = bytes(self.partial_line[:end]).strip()
            del self.partial_line[: end + 1]
            if text:
                self.endpoint_list.apply(orjson.loads(text), self.first)
                self.first = False
        if len(self.partial_line) > MAX_LINE_BYTES:
            raise ValueError("too long a line")

    def on_message_complete(self) -> None:
        raise ValueError("watch ended")

    def bytes_received(self, view: memoryview) -> None:
        try:
            self.parser.feed_data(view)
            self.data_received()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.endpoint_list.log("watch.broken", why=repr(error.__context__ or error))
            self.abort()

    def connection_closed(self) -> None:
        self.parser = None  # it holds this connection and its rings
        self.watch_ended(self)


class WatchState(IntEnum):
    """Of keeping a watch open. docs/design.md has the transitions."""

    IDLE = 0  # not asked yet
    CONNECTING = 1  # its connection comes up
    REQUESTED = 2  # it has been asked for, nothing has come
    ACTIVE = 3  # something has, within SILENT of the last byte
    BACKING_OFF = 4  # it has ended; the next is opened after a while
    STOPPED = 5  # for good


class DiscoveryClient:
    """Keeps a watch open. `asked_by_all`: one service answers all balancers, not an agent beside each."""

    def __init__(
        self,
        address: tuple[str, int],
        endpoint_list: EndpointList,
        timers: TimerQueue,
        descriptors: DescriptorBudget,
        connect_timeout: int,
        random: Callable[[], float],
        log: Callable,
        shared_service: bool = False,
    ) -> None:
        self.address, self.endpoint_list, self.timers, self.descriptors = (
            address,
            endpoint_list,
            timers,
            descriptors,
        )
        self.connect_timeout, self.random, self.log = connect_timeout, random, log
        self.first_byte_timeout = SHARED_FIRST_BYTE_TIMEOUT if shared_service else FIRST_BYTE_TIMEOUT
        self.state = WatchState.IDLE
        self.watch: WatchConnection | None = None  # while DIALING, ASKED or HEARD
        self.previous_watch: WatchConnection | None = (
            None  # the one at an earlier address, until the new one is heard
        )
        self.connect_task: asyncio.Task | None = None
        self.silence_timer = self.retry_timer = None
        self.backoff = MIN_BACKOFF
        self.attempted = False  # an answer has come, or none could be had

    def open(self) -> None:
        """Opens a watch unless one is open or being opened."""
        if self.state not in (WatchState.IDLE, WatchState.BACKING_OFF):
            return
        self.timers.cancel(self.retry_timer)
        self.state = WatchState.CONNECTING
        self.watch = WatchConnection(
            self.descriptors, self.endpoint_list, self.data_received, self.watch_ended
        )
        self.restart_silence_timer(self.connect_timeout)
        self.connect_task = self.timers.loop.create_task(self.connect(self.watch))
        self.connect_task.add_done_callback(partial(self.connect_finished, self.watch))
        if not self.attempted:
            self.timers.schedule(clock() + FIRST_BYTE_TIMEOUT, self.first_attempt_timed_out)

    def poll(self) -> None:
        """The decisions want the list. A watch that waits to be opened again is opened in its own time: with
        a second timer beside that one, each failure would bring two calls, and a list service that refuses
        for want of room would be kept there by its callers."""
        if self.state is WatchState.IDLE:
            self.open()

    def change_address(self, address: tuple[str, int]) -> None:
        """To another list service. An open watch goes on until the new one is heard: closed before, it would
        leave a gap in which a drain is missed."""
        if address == self.address or self.state is WatchState.STOPPED:
            return
        self.address, self.backoff = address, MIN_BACKOFF
        if self.state is WatchState.CONNECTING:
            self.connect_task.cancel()
        elif self.state in (WatchState.REQUESTED, WatchState.ACTIVE):
            self.close_previous_watch()
            self.previous_watch, self.watch.data_received = self.watch, lambda: None
        self.state, self.watch = WatchState.BACKING_OFF, None
        self.open()

    def close_previous_watch(self) -> None:
        if self.previous_watch is not None:
            self.previous_watch.abort()
            self.previous_watch = None

    def first_attempt_timed_out(self) -> None:
        self.attempted = True

    async def connect(self, watch: WatchConnection) -> None:
        try:
            await dial(self.timers.loop, self.address, watch)
        except (OSError, asyncio.CancelledError):
            return self.watch_ended(watch)
        if watch is not self.watch:  # moved on, or stopped, in the moment in which it came up
            return watch.abort()
        self.request_watch(watch)

    def connect_finished(self, watch: WatchConnection, task: asyncio.Task) -> None:
        if task.cancelled():
            # Given up before its first step, as where a start took longer than the dialling may: `connect`
            # never ran, nothing told that it ended, no watch was opened any more, and drains went unheard.
            watch.dial_cancelled()
            self.watch_ended(watch)

    def request_watch(self, watch: WatchConnection) -> None:
        # Asked while the list service was down it stays silent: waited for as long as for a beat, it would
        # hide a drain told to others meanwhile.
        self.state = WatchState.REQUESTED
        self.restart_silence_timer(self.first_byte_timeout)
        watch.send_request(f"{self.address[0]}:{self.address[1]}")

    def restart_silence_timer(self, within: int) -> None:
        """Something is to be heard within that time."""
        self.timers.cancel(self.silence_timer)
        self.silence_timer = self.timers.schedule(clock() + within, self.watch_silent)

    def data_received(self) -> None:
        self.state, self.attempted, self.backoff = WatchState.ACTIVE, True, MIN_BACKOFF
        self.restart_silence_timer(SILENCE_TIMEOUT)
        self.close_previous_watch()

    def watch_silent(self) -> None:
        self.log("watch.silent", version=self.endpoint_list.version)
        self.close()

    def close(self) -> None:
        if self.state is WatchState.CONNECTING:
            self.connect_task.cancel()
        elif self.watch is not None:
            self.watch.abort()

    def watch_ended(self, watch: WatchConnection) -> None:
        if watch is not self.watch:
            return
        self.watch, self.attempted, self.state = None, True, WatchState.BACKING_OFF
        self.timers.cancel(self.silence_timer)
        self.log("watch.ended", version=self.endpoint_list.version, again_in_ms=self.backoff // 1000)
        # Backed off at random: a list service that failed under load is not stormed by all at once.
        wait = round(self.backoff * (1 + self.random()) / 2)
        self.backoff = min(MAX_BACKOFF, self.backoff * 2)
        self.retry_timer = self.timers.schedule(clock() + wait, self.open)
        self.endpoint_list.observer.endpoint_poll_failed()

    def stop(self) -> None:
        self.timers.cancel(self.retry_timer)
        self.timers.cancel(self.silence_timer)
        self.close_previous_watch()
        self.close()
        self.state, self.watch = WatchState.STOPPED, None
