"""A request to an upstream, from its creation until its outcome is known."""

import asyncio
from enum import IntEnum

from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.http.upstream_connection import UpstreamConnection, UpstreamResponse
from dahliabend.model import Outcome
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.transport.connection import dial
from dahliabend.transport.timers import Timer, clock

_STATUS_OK = 200
_REJECTING_STATUSES = (503, 504)  # statuses whose responses may declare the request as not executed
_NEUTRAL_OUTCOMES = (Outcome.CANCELLED, Outcome.NOT_SENT)  # they say nothing about the endpoint


class Phase(IntEnum):
    """Progress of a request to an upstream.

    The phase only increases; every phase may be followed by FINISHED directly.
    """

    CREATED = 0  # no connection yet
    CONNECTING = 1  # a connection is being opened
    SENT = 2  # handed to a connection, which has written the request partly or completely
    FINISHED = 3  # the outcome is known


# A module constant because on Python 3.11 each access to an enum member costs a function call.
_FINISHED = Phase.FINISHED


class UpstreamRequest:
    """A request to one endpoint, with a deadline of its own, that handles the events of its connection.

    `on_finished` is called exactly once, and never from within `start`. All times are in microseconds.

    Attributes:
        endpoint: The endpoint that the request is sent to.
        head: Request line and those header lines that don't depend on the remaining time.
        body: Request body, unless it is streamed.
        upload: Streamed body that is still being received from the client; None if the body is complete.
        started_at: When the request was created, or when the last byte of a streamed body was sent.
        expires_at: When the request times out.
        send_deadline: From this time on, the request is not handed to a connection.
        phase: Progress of the request.
        connection: The connection that carries the request, in phase SENT.
        connect_task: The task that opens a connection, in phase CONNECTING.
        connection_idle_time: How long the connection had been idle before; 0 for a new connection.
        failure_reason: Reason of a failure for the log; empty if there is nothing to add to the outcome.
    """

    upload: StreamingBody | None = None

    def __init__(self, endpoint: Endpoint, head: bytes, body: bytes, timeout: int) -> None:
        self.endpoint = endpoint
        self.head = head
        self.body = body
        self.started_at = clock()
        self.expires_at = self.started_at + timeout
        self.send_deadline = self.expires_at
        self.phase = Phase.CREATED
        self.connection: UpstreamConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.connection_idle_time = 0
        self.failure_reason = ""
        self.timeout_timer: Timer | None = None

    # Methods for subclasses to override

    def on_finished(self, outcome: Outcome, duration: int, response: UpstreamResponse | None) -> None:
        """Handle the outcome; called exactly once.

        Args:
            outcome: The outcome.
            duration: Time since `started_at` (us).
            response: The response; None if it has not been received completely.
        """
        raise NotImplementedError

    def is_awaited(self) -> bool:
        """Return whether the outcome is still needed."""
        return True

    def build_head(self, time_left: int) -> bytes:
        """Return the request head when `time_left` (us) remains until the deadline."""
        del time_left
        return self.head

    # Connecting and sending

    @property
    def is_finished(self) -> bool:
        """Whether the outcome is known."""
        return self.phase is _FINISHED

    def start(self) -> None:
        """Send the request on an idle connection, or open a new connection for it."""
        resources = self.endpoint.resources
        self.timeout_timer = resources.timers.schedule(self.expires_at, self.check_timeout)
        connection, self.connection_idle_time = self.endpoint.take_idle_connection(self.started_at)
        if connection is not None:
            self.send_on_connection(connection)
        elif resources.descriptors.is_full_after_eviction(self.started_at):
            self.finish_soon(Outcome.NOT_SENT)  # no file descriptor left: not a fault of the upstream
        else:
            self.begin_connecting()

    def begin_connecting(self) -> None:
        """Enter the CONNECTING phase and open a connection in a new task."""
        resources = self.endpoint.resources
        # Reserves the connection's descriptor before the task runs in the next iteration of the event loop:
        # otherwise all requests started in one iteration would see the same descriptor as free and exceed the
        # budget.
        connection = UpstreamConnection(resources.descriptors, self.endpoint)
        self.phase = Phase.CONNECTING
        self.connect_task = resources.timers.loop.create_task(self.connect(connection))
        self.connect_task.add_done_callback(lambda _: connection.dial_cancelled())

    async def connect(self, connection: UpstreamConnection) -> None:
        """Open `connection` within the connect timeout and the send deadline, then send the request on it."""
        resources = self.endpoint.resources
        connect_deadline = min(self.send_deadline, self.started_at + resources.connect_timeout)
        connect_timer = resources.timers.schedule(connect_deadline, self.stop_connecting)
        try:
            address = self.endpoint.address
            await dial(resources.timers.loop, address, connection)
        except (OSError, asyncio.CancelledError) as error:
            self.failure_reason = f"connect: {str(error) or 'no answer'}"
            # If the send deadline passed before the connect timeout, it is not a fault of the upstream.
            is_out_of_time = self.send_deadline <= min(clock(), self.started_at + resources.connect_timeout)
            self.finish(Outcome.NOT_SENT if is_out_of_time else Outcome.UNREACHABLE)
            return
        finally:
            resources.timers.cancel(connect_timer)
            self.connect_task = None
        self.endpoint.connections.add(connection)
        if address != self.endpoint.address:
            # Another process may have taken the address that the endpoint had.
            connection.abort()
            self.failure_reason = "connect: the endpoint's address has changed"
            self.finish(Outcome.UNREACHABLE)
            return
        self.send_on_connection(connection)

    def stop_connecting(self) -> None:
        """Cancel the task that opens a connection, if there is one."""
        if self.connect_task is not None:
            self.connect_task.cancel()

    def send_on_connection(self, connection: UpstreamConnection) -> None:
        """Send the request on a connection, or return the connection as idle if it must not be sent any more.

        Every request passes through this check: much time may have passed since the endpoint was selected.
        """
        now = clock()
        unsent_outcome = self.outcome_if_unsent(now)
        if self.phase is _FINISHED or unsent_outcome is not None:
            self.endpoint.return_connection(connection)
            if unsent_outcome is not None:
                self.finish_soon(unsent_outcome)
            return
        self.phase = Phase.SENT
        self.connection = connection
        connection.send_request(self, self.build_head(self.expires_at - now), self.body, self.upload)

    def outcome_if_unsent(self, now: int) -> Outcome | None:
        """Return the outcome if the request must not be sent at `now`, or None if it may be sent."""
        if not self.is_awaited():
            return Outcome.CANCELLED
        if now >= self.send_deadline:
            return Outcome.NOT_SENT
        if not self.endpoint.enabled:
            self.failure_reason = "not to be sent to any more"
            return Outcome.UNREACHABLE
        return None

    # Connection events

    def request_written(self) -> None:
        """Handle that the request has been written completely: from now on it may be executed."""

    def unsized_response_started(self, connection: UpstreamConnection) -> None:
        """Handle the start of a response of unknown length."""

    def response_started(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Handle the head of a streamed response."""

    def response_part(self, part: bytes) -> None:
        """Handle a part of the body of a streamed response."""

    def response_complete(self, response: UpstreamResponse) -> None:
        """Handle the end of a response; its body does not contain the parts that have been streamed."""
        if response.status == _STATUS_OK:
            self.finish(Outcome.SUCCEEDED, response)
        elif response.not_executed and response.status in _REJECTING_STATUSES:
            self.finish(Outcome.REJECTED, response)
        else:
            self.finish(Outcome.FAILED, response)

    def connection_failed(self, request_written: bool) -> None:
        """Handle the loss of the connection; only a request written completely may have been executed."""
        self.failure_reason = self.connection.parse_error if self.connection is not None else ""
        self.finish(Outcome.RESET if request_written else Outcome.UNREACHABLE)

    # Completion

    def check_timeout(self) -> None:
        """Give up when the request times out; while connecting, the timer in `connect` applies instead."""
        if self.connect_task is None:
            self.give_up(Outcome.TIMED_OUT)

    def cancel_unsent(self) -> None:
        """Cancel the request unless it has been written completely, as its outcome is not needed any more.

        A request that is not written completely cannot have been executed, so this is done even where
        cancelling attempts is not allowed.
        """
        if self.phase is _FINISHED:
            return
        if self.connection is None or not self.connection.is_flushed:
            self.give_up(Outcome.CANCELLED)

    def give_up(self, outcome: Outcome) -> None:
        """Finish with `outcome`, or with UNREACHABLE if the request was not written completely.

        CANCELLED and NOT_SENT stay as they are then. The connection is closed before this method returns, so
        that no other attempt is sent while this one is still being written.
        """
        if self.phase is _FINISHED:
            return
        written = self.connection is not None and self.connection.cancel_request()
        self.stop_connecting()
        if written:
            # A request that was written completely may have been executed.
            self.finish_soon(Outcome.TIMED_OUT if outcome is Outcome.NOT_SENT else outcome)
        else:
            self.finish_soon(outcome if outcome in _NEUTRAL_OUTCOMES else Outcome.UNREACHABLE)

    def finish_soon(self, outcome: Outcome) -> None:
        """Finish without a response, and call `on_finished` in the next iteration of the event loop.

        The call that led here may come from the policy, which must not be re-entered before it returns.
        """
        if self.phase is not _FINISHED:
            self.mark_finished()
            duration = clock() - self.started_at
            self.endpoint.resources.timers.loop.call_soon(self.on_finished, outcome, duration, None)

    def finish(self, outcome: Outcome, response: UpstreamResponse | None = None) -> None:
        """Finish and call `on_finished` at once."""
        if self.phase is not _FINISHED:
            self.mark_finished()
            self.on_finished(outcome, clock() - self.started_at, response)

    def mark_finished(self) -> None:
        """Enter the FINISHED phase, detach from the connection and cancel the timeout."""
        self.phase = _FINISHED
        self.connection = None
        self.endpoint.resources.timers.cancel(self.timeout_timer)
