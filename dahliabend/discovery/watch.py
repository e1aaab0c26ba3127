"""The watch that keeps the endpoint list current: opened again whenever it ends or falls silent."""

import asyncio
from collections.abc import Callable
from enum import IntEnum
from functools import partial

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.watch_connection import WatchConnection
from dahliabend.transport.connection import dial
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import Timer, TimerQueue, clock

# Microseconds.
HEARTBEAT_INTERVAL = 2_000_000  # an empty line comes that often while nothing changes
SILENCE_TIMEOUT = HEARTBEAT_INTERVAL * 9 // 8  # without a byte for longer, the watch is dead
FIRST_BYTE_TIMEOUT = HEARTBEAT_INTERVAL // 4  # a watch is answered at once: else it is dead too
SHARED_FIRST_BYTE_TIMEOUT = HEARTBEAT_INTERVAL * 3 // 4  # if it may queue behind those of all other balancers
MIN_BACKOFF = HEARTBEAT_INTERVAL // 20  # before a watch is opened again
MAX_BACKOFF = HEARTBEAT_INTERVAL // 2


class WatchState(IntEnum):
    """Of a `DiscoveryClient`. docs/design.md has the transitions."""

    IDLE = 0  # no watch has been asked for yet
    CONNECTING = 1  # its connection comes up
    REQUESTED = 2  # the request is out, nothing has come
    ACTIVE = 3  # something has, within `SILENCE_TIMEOUT` of the last byte
    BACKING_OFF = 4  # it has ended; the next one is opened after a while
    STOPPED = 5  # for good


class DiscoveryClient:
    """Keeps one watch of the endpoint list open.

    Attributes:
        address: Host and port of the list service.
        state: Of the watch.
        watch: The present one, while CONNECTING, REQUESTED or ACTIVE.
        previous_watch: The one at an earlier address, until the present one is active.
        connect_task: Dials the present watch.
        silence_timer: Fires if nothing is received in time.
        retry_timer: Fires when the next watch is to be opened.
        backoff: Microseconds until the next retry at most.
        first_attempt_finished: A message has come, or none could be had.
    """

    def __init__(
        self,
        address: tuple[str, int],
        endpoint_list: EndpointList,
        timers: TimerQueue,
        descriptors: DescriptorBudget,
        connect_timeout: int,
        random: Callable[[], float],
        log: Callable[..., None],
        shared_service: bool = False,
    ) -> None:
        """Creates it; `open` or `poll` opens the first watch.

        Args:
            address: Host and port of the list service.
            endpoint_list: Where its messages go.
            timers: Of the process.
            descriptors: Owner of the watches' descriptors.
            connect_timeout: Microseconds in which a connection has to come up.
            random: Numbers from 0 to 1, for the jitter of the backoff.
            log: Called with an event's name and its fields.
            shared_service: One service answers all balancers, not an agent beside each.
        """
        self.address = address
        self.endpoint_list = endpoint_list
        self.timers = timers
        self.descriptors = descriptors
        self.connect_timeout = connect_timeout
        self.random = random
        self.log = log
        self.first_byte_timeout = SHARED_FIRST_BYTE_TIMEOUT if shared_service else FIRST_BYTE_TIMEOUT
        self.state = WatchState.IDLE
        self.watch: WatchConnection | None = None
        self.previous_watch: WatchConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.silence_timer: Timer | None = None
        self.retry_timer: Timer | None = None
        self.backoff = MIN_BACKOFF
        self.first_attempt_finished = False

    # What the owner asks for.

    def open(self) -> None:
        """Opens a watch, unless one is open or being opened: IDLE or BACKING_OFF to CONNECTING."""
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
        if not self.first_attempt_finished:
            self.timers.schedule(clock() + FIRST_BYTE_TIMEOUT, self.first_attempt_timed_out)

    def poll(self) -> None:
        """Opens the first watch, as the policy wants the list.

        A watch that waits for its backoff is left alone: with a second timer beside that one, each failure
        would bring two requests, and a list service that refuses for want of capacity would be kept there by
        its clients.
        """
        if self.state is WatchState.IDLE:
            self.open()

    def change_address(self, address: tuple[str, int]) -> None:
        """Goes to another list service: any state but STOPPED to CONNECTING.

        An open watch goes on until the new one is active: closed before, it would leave a gap in which a
        drain is missed.
        """
        if address == self.address or self.state is WatchState.STOPPED:
            return
        self.address = address
        self.backoff = MIN_BACKOFF
        if self.state is WatchState.CONNECTING:
            self._cancel_connecting()
        elif self.watch is not None:
            self.close_previous_watch()
            self.previous_watch = self.watch
            self.watch.ignore_data()
        self.state = WatchState.BACKING_OFF
        self.watch = None
        self.open()

    def stop(self) -> None:
        """Closes the watch for good: any state to STOPPED."""
        self.timers.cancel(self.retry_timer)
        self.timers.cancel(self.silence_timer)
        self.close_previous_watch()
        self.close()
        self.state = WatchState.STOPPED
        self.watch = None

    # Connecting.

    async def connect(self, watch: WatchConnection) -> None:
        """Dials a watch, and sends its request once it is up."""
        try:
            await dial(self.timers.loop, self.address, watch)
        except (OSError, asyncio.CancelledError):
            self.watch_ended(watch)
            return
        if watch is not self.watch:  # another address, or stopped, in the moment in which it came up
            watch.abort()
            return
        self.request_watch(watch)

    def connect_finished(self, watch: WatchConnection, task: asyncio.Task[None]) -> None:
        """Ends a watch whose dialling was cancelled before its first step.

        That happens where a start takes longer than the connect timeout: `connect` never ran, so that nothing
        else reports the end, no watch would be opened any more, and drains would be missed.
        """
        if task.cancelled():
            watch.dial_cancelled()
            self.watch_ended(watch)

    def _cancel_connecting(self) -> None:
        if self.connect_task is not None:
            self.connect_task.cancel()

    def first_attempt_timed_out(self) -> None:
        """The list is not waited for any longer before requests are taken."""
        self.first_attempt_finished = True

    # The watch's life.

    def request_watch(self, watch: WatchConnection) -> None:
        """Its connection is up: CONNECTING to REQUESTED."""
        self.state = WatchState.REQUESTED
        # Requested while the list service was down it stays silent: waited for as long as for a heartbeat, it
        # would hide a drain that others are notified of meanwhile.
        self.restart_silence_timer(self.first_byte_timeout)
        watch.send_request(f"{self.address[0]}:{self.address[1]}")

    def data_received(self) -> None:
        """Bytes have come on the present watch: REQUESTED or ACTIVE to ACTIVE."""
        self.state = WatchState.ACTIVE
        self.first_attempt_finished = True
        self.backoff = MIN_BACKOFF
        self.restart_silence_timer(SILENCE_TIMEOUT)
        self.close_previous_watch()

    def restart_silence_timer(self, timeout: int) -> None:
        """Something has to be received within that time, in microseconds."""
        self.timers.cancel(self.silence_timer)
        self.silence_timer = self.timers.schedule(clock() + timeout, self.watch_silent)

    def watch_silent(self) -> None:
        """Nothing has come in time: the watch is closed, and opened again."""
        self.log("watch.timed_out", version=self.endpoint_list.version)
        self.close()

    def watch_ended(self, watch: WatchConnection) -> None:
        """The present watch is closed: any state to BACKING_OFF."""
        if watch is not self.watch:
            return
        self.watch = None
        self.first_attempt_finished = True
        self.state = WatchState.BACKING_OFF
        self.timers.cancel(self.silence_timer)
        self.log("watch.ended", version=self.endpoint_list.version, retry_in_ms=self.backoff // 1000)
        # With jitter: a list service that failed under load is not hit by all balancers at once.
        wait = round(self.backoff * (1 + self.random()) / 2)
        self.backoff = min(MAX_BACKOFF, self.backoff * 2)
        self.retry_timer = self.timers.schedule(clock() + wait, self.open)
        self.endpoint_list.observer.endpoint_poll_failed()

    def close(self) -> None:
        """Closes the present watch; `watch_ended` is called for it."""
        if self.state is WatchState.CONNECTING:
            self._cancel_connecting()
        elif self.watch is not None:
            self.watch.abort()

    def close_previous_watch(self) -> None:
        """Closes the watch at an earlier address."""
        if self.previous_watch is not None:
            self.previous_watch.abort()
            self.previous_watch = None
