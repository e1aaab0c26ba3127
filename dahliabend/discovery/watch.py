"""The watch that keeps the endpoint list up to date; it is reopened when it ends or sends nothing."""

import asyncio
from collections.abc import Callable
from enum import IntEnum
from functools import partial

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.unanswered_watches import UnansweredWatches
from dahliabend.discovery.watch_connection import WatchConnection
from dahliabend.transport.connection import dial
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import Timer, TimerQueue, clock

# Microseconds.
HEARTBEAT_INTERVAL = 2_000_000  # between the empty lines that are sent while nothing changes
SILENCE_TIMEOUT = HEARTBEAT_INTERVAL * 9 // 8  # without a byte for so long, the watch is considered dead
# From the request to the first byte; shorter, because a working discovery service answers at once. After it
# another watch is requested, as the service may have been down; the first one may still be answered.
FIRST_BYTE_TIMEOUT = HEARTBEAT_INTERVAL // 4
SHARED_FIRST_BYTE_TIMEOUT = HEARTBEAT_INTERVAL * 3 // 4  # a shared service may answer others first
MIN_BACKOFF = HEARTBEAT_INTERVAL // 20  # before a watch is reopened
MAX_BACKOFF = HEARTBEAT_INTERVAL // 2


class WatchState(IntEnum):
    """The states of a `DiscoveryClient`. docs/design.md describes the transitions."""

    IDLE = 0  # no watch has been opened yet
    CONNECTING = 1  # the connection is being established
    REQUESTED = 2  # the request has been sent, nothing has been received
    ACTIVE = 3  # the last byte was received less than `SILENCE_TIMEOUT` ago
    BACKING_OFF = 4  # the watch has ended; the next one is opened after a delay
    STOPPED = 5  # no watch is opened any more


class DiscoveryClient:
    """Keeps one watch of the endpoint list open, and beside it those that are not answered yet.

    Attributes:
        address: Host and port of the discovery service.
        state: State of the watch.
        watch: The current watch, while CONNECTING, REQUESTED or ACTIVE.
        previous_watch: The watch at the previous address, until the current one is active.
        unanswered: Earlier watches that may still be answered; the first one that is becomes the current one.
        connect_task: Connects the current watch.
        silence_timer: Fires if nothing is received in time.
        retry_timer: Fires when the next watch has to be opened.
        backoff: Longest delay in microseconds until the next watch.
        first_attempt_finished: Whether anything has been received, or the first attempt has failed or timed
            out.
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
        """Create a client without a watch; `open` or `poll` opens the first one.

        Args:
            address: Host and port of the discovery service.
            endpoint_list: Applies the messages.
            timers: Timers of the process.
            descriptors: Owner of the watches' descriptors.
            connect_timeout: Microseconds within which a connection has to be established.
            random: Returns numbers from 0 to 1, for the jitter of the backoff.
            log: Called with an event's name and its fields.
            shared_service: Whether one discovery service answers all balancers, not an agent beside each.
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
        self.unanswered = UnansweredWatches()
        self.connect_task: asyncio.Task[None] | None = None
        self.silence_timer: Timer | None = None
        self.retry_timer: Timer | None = None
        self.backoff = MIN_BACKOFF
        self.first_attempt_finished = False

    # Interface to the owner

    def open(self) -> None:
        """Open a watch unless one is open or being opened: IDLE or BACKING_OFF to CONNECTING."""
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
        """Open the first watch if none has been opened yet; called when the policy needs the list.

        A watch that waits for its backoff is left alone. If a second attempt were made beside that of the
        retry timer, each failure would cause two requests, and the clients would keep an overloaded list
        service overloaded.
        """
        if self.state is WatchState.IDLE:
            self.open()

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to another discovery service: any state but STOPPED to CONNECTING.

        An open watch stays open until the new one is active. Closing it earlier would leave a gap in which a
        drain is missed.
        """
        if address == self.address or self.state is WatchState.STOPPED:
            return
        self.address = address
        self.backoff = MIN_BACKOFF
        self.unanswered.close()
        if self.state is WatchState.CONNECTING:
            self._cancel_connecting()
        elif self.watch is not None:
            self.close_previous_watch()
            self.previous_watch = self.watch
            self.watch.stop_reporting_data()
        self.state = WatchState.BACKING_OFF
        self.watch = None
        self.open()

    def stop(self) -> None:
        """Close the watch for good: any state to STOPPED."""
        self.timers.cancel(self.retry_timer)
        self.timers.cancel(self.silence_timer)
        self.close_previous_watch()
        self.unanswered.close()
        self.close()
        self.state = WatchState.STOPPED
        self.watch = None

    # Connecting

    async def connect(self, watch: WatchConnection) -> None:
        """Connect a watch and send its request."""
        try:
            await dial(self.timers.loop, self.address, watch)
        except (OSError, asyncio.CancelledError):
            self.watch_ended(watch)
            return
        if watch is not self.watch:  # address changed or client stopped while connecting
            watch.abort()
            return
        self.request_watch(watch)

    def connect_finished(self, watch: WatchConnection, task: asyncio.Task[None]) -> None:
        """End a watch whose connect task was cancelled before its first step.

        This happens if starting the task takes longer than the connect timeout. `connect` has then not run
        and reports no end: without this method no further watch would be opened, and drains would be missed.
        """
        if task.cancelled():
            watch.dial_cancelled()
            self.watch_ended(watch)

    def _cancel_connecting(self) -> None:
        if self.connect_task is not None:
            self.connect_task.cancel()

    def first_attempt_timed_out(self) -> None:
        """Let requests be served although nothing has been received from the discovery service."""
        self.first_attempt_finished = True

    # Progress and end of a watch

    def request_watch(self, watch: WatchConnection) -> None:
        """Send the request of an established watch: CONNECTING to REQUESTED."""
        self.state = WatchState.REQUESTED
        # A watch requested while the discovery service was down receives nothing. Waiting for it as long as
        # for a heartbeat would delay drains that other balancers are notified of meanwhile.
        self.restart_silence_timer(self.first_byte_timeout)
        watch.send_request(f"{self.address[0]}:{self.address[1]}")

    def data_received(self, watch: WatchConnection) -> None:
        """Handle bytes on a watch: REQUESTED or ACTIVE to ACTIVE.

        The first bytes on an earlier watch make it the current one, whatever the state.
        """
        if watch is not self.watch:
            self._adopt(watch)
        if self.state is not WatchState.ACTIVE:
            self.unanswered.answered(clock() - watch.requested_at)
        self.state = WatchState.ACTIVE
        self.first_attempt_finished = True
        self.backoff = MIN_BACKOFF
        self.restart_silence_timer(SILENCE_TIMEOUT)
        self.close_previous_watch()

    def _adopt(self, watch: WatchConnection) -> None:
        """Make an earlier watch the current one, as it has been answered first."""
        if not self.unanswered.remove(watch):
            return
        current = self.watch
        self.watch = watch
        self.timers.cancel(self.retry_timer)
        if self.state is WatchState.CONNECTING:
            self._cancel_connecting()
        elif current is not None:
            current.abort()
        self.state = WatchState.REQUESTED

    def restart_silence_timer(self, timeout: int) -> None:
        """Set the time in microseconds within which something has to be received."""
        self.timers.cancel(self.silence_timer)
        self.silence_timer = self.timers.schedule(clock() + timeout, self.watch_silent)

    def watch_silent(self) -> None:
        """Request another watch, as the current one sent nothing in time.

        One that has sent nothing at all stays open beside it: a slow service may still answer.
        """
        self.log("watch.timed_out", version=self.endpoint_list.version)
        if self.state is not WatchState.REQUESTED or self.watch is None:
            self.close()
            return
        watch = self.watch
        self.watch_ended(watch)
        self.unanswered.add(watch, clock())

    def watch_ended(self, watch: WatchConnection) -> None:
        """Schedule the next watch if the current one is closed: any state to BACKING_OFF."""
        if watch is not self.watch:
            self.unanswered.remove(watch)
            return
        self.watch = None
        self.first_attempt_finished = True
        self.state = WatchState.BACKING_OFF
        self.timers.cancel(self.silence_timer)
        self.log("watch.ended", version=self.endpoint_list.version, retry_in_ms=self.backoff // 1000)
        # With jitter, so that not all balancers reconnect at once to a service that failed under load.
        wait = round(self.backoff * (1 + self.random()) / 2)
        self.backoff = min(MAX_BACKOFF, self.backoff * 2)
        self.retry_timer = self.timers.schedule(clock() + wait, self.open)
        self.endpoint_list.observer.endpoint_poll_failed()

    def close(self) -> None:
        """Close the current watch; `watch_ended` is called for it."""
        if self.state is WatchState.CONNECTING:
            self._cancel_connecting()
        elif self.watch is not None:
            self.watch.abort()

    def close_previous_watch(self) -> None:
        """Close the watch at the previous address."""
        if self.previous_watch is not None:
            self.previous_watch.abort()
            self.previous_watch = None
