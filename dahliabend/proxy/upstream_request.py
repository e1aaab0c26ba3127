"""One request to an upstream, from its creation until its outcome is known."""

import asyncio
from enum import IntEnum

from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.http.upstream_connection import UpstreamConnection, UpstreamResponse
from dahliabend.model import Outcome
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.transport.connection import dial
from dahliabend.transport.timers import Timer, clock

_STATUS_OK = 200
_REJECTING_STATUSES = (503, 504)  # with these an upstream may say that it has not executed the request


class Phase(IntEnum):
    """Progress of a request to an upstream. It only grows; every phase may lead to FINISHED directly."""

    CREATED = 0  # no connection yet
    CONNECTING = 1  # a connection for it is being opened
    SENT = 2  # handed to a connection, which has written some or all of it
    FINISHED = 3  # its outcome is known


# Bound once: on Python 3.11, reading a member of an enum costs a function call.
_FINISHED = Phase.FINISHED


class UpstreamRequest:
    """A request to one endpoint, with a deadline of its own. It handles the events of its connection.

    Exactly one call of `on_finished` ends it, and never from within `start`. All times are microseconds.

    Attributes:
        endpoint: Where it goes.
        head: The request line and the header lines, as far as they don't depend on the time left.
        body: The body, unless it is streamed.
        upload: A body that is still being received; it is streamed.
        started_at: When it was created, or when the last byte of a streamed body was sent.
        expires_at: When it times out.
        send_deadline: It isn't handed to a connection from then on.
        phase: How far it is.
        connection: The connection that it is on, while SENT.
        connect_task: Opens a connection for it, while CONNECTING.
        connection_idle_time: How long its connection had been idle; 0 for a new one.
        failure_reason: Why it failed, for the log; empty if there is nothing to say.
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

    # What a subclass decides.

    def on_finished(self, outcome: Outcome, duration: int, response: UpstreamResponse | None) -> None:
        """Called once, when the outcome is known. `response` is None if none has been received completely."""
        raise NotImplementedError

    def is_awaited(self) -> bool:
        """Tell whether anybody still waits for the outcome."""
        return True

    def build_head(self, time_left: int) -> bytes:
        """Return what is sent ahead of the body when `time_left` remains until the deadline."""
        del time_left
        return self.head

    # From the creation until it is on a connection.

    @property
    def is_finished(self) -> bool:
        """Whether the outcome is known."""
        return self.phase is _FINISHED

    def start(self) -> None:
        """Send it on an idle connection, or open a connection for it."""
        resources = self.endpoint.resources
        self.timeout_timer = resources.timers.schedule(self.expires_at, self.timed_out)
        connection, self.connection_idle_time = self.endpoint.take_idle_connection(self.started_at)
        if connection is not None:
            self.send_on_connection(connection)
        elif resources.descriptors.is_full_after_eviction(self.started_at):
            self.finish_soon(Outcome.NOT_SENT)  # no descriptor left: the upstream is not to blame
        else:
            self.begin_connecting()

    def begin_connecting(self) -> None:
        """Enter CONNECTING: open a connection in a task of its own."""
        resources = self.endpoint.resources
        # The connection takes its descriptor here. If it did so only when the task runs, on the loop's next
        # turn, all requests started in one turn would find the same descriptor free and exceed the budget.
        connection = UpstreamConnection(resources.descriptors, self.endpoint)
        self.phase = Phase.CONNECTING
        self.connect_task = resources.timers.loop.create_task(self.connect(connection))
        self.connect_task.add_done_callback(lambda _: connection.dial_cancelled())

    async def connect(self, connection: UpstreamConnection) -> None:
        """Open `connection` within the connect timeout and the deadline, then send on it."""
        resources = self.endpoint.resources
        connect_deadline = min(self.send_deadline, self.started_at + resources.connect_timeout)
        limit = resources.timers.schedule(connect_deadline, self.stop_connecting)
        try:
            await dial(resources.timers.loop, self.endpoint.address, connection)
        except (OSError, asyncio.CancelledError) as error:
            self.failure_reason = f"connect: {error or 'no answer'}"
            # Where its own deadline came before the connect timeout, the upstream is not to blame.
            out_of_time = self.send_deadline <= min(clock(), self.started_at + resources.connect_timeout)
            self.finish(Outcome.NOT_SENT if out_of_time else Outcome.UNREACHABLE)
            return
        finally:
            resources.timers.cancel(limit)
            self.connect_task = None
        self.endpoint.connections.add(connection)
        self.send_on_connection(connection)

    def stop_connecting(self) -> None:
        """Cancel the opening of a connection, if one is being opened."""
        if self.connect_task is not None:
            self.connect_task.cancel()

    def send_on_connection(self, connection: UpstreamConnection) -> None:
        """Hand it to a connection, unless it must not be sent any more; then the connection becomes idle.

        This is the only way onto a connection. Much time may have passed since the endpoint was chosen.
        """
        now = clock()
        unsent = self.outcome_if_unsent(now)
        if self.phase is _FINISHED or unsent is not None:
            self.endpoint.return_connection(connection)
            if unsent is not None:
                self.finish_soon(unsent)
            return
        self.phase = Phase.SENT
        self.connection = connection
        connection.send_request(self, self.build_head(self.expires_at - now), self.body, self.upload)

    def outcome_if_unsent(self, now: int) -> Outcome | None:
        """Return the outcome if it must not be sent at `now`, None if it may be."""
        if not self.is_awaited():
            return Outcome.CANCELLED
        if now >= self.send_deadline:
            return Outcome.NOT_SENT
        if not self.endpoint.enabled:
            self.failure_reason = "not to be sent to any more"
            return Outcome.UNREACHABLE
        return None

    # Events of its connection.

    def request_written(self) -> None:
        """Handle that all of it has been written: from now on it may be executed."""

    def unsized_response_started(self, connection: UpstreamConnection) -> None:
        """Handle the start of a response whose length is not known."""

    def response_started(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Handle the head of a response that is streamed."""

    def response_part(self, part: bytes) -> None:
        """Handle a part of the body of a response that is streamed."""

    def response_complete(self, response: UpstreamResponse) -> None:
        """Handle the end of a response; what has been streamed of it is not in its body."""
        if response.status == _STATUS_OK:
            self.finish(Outcome.SUCCEEDED, response)
        elif response.not_executed and response.status in _REJECTING_STATUSES:
            self.finish(Outcome.REJECTED, response)
        else:
            self.finish(Outcome.FAILED, response)

    def connection_failed(self, request_written: bool) -> None:
        """Handle the loss of the connection. Only a request that was written completely may be executed."""
        self.failure_reason = self.connection.parse_error if self.connection is not None else ""
        self.finish(Outcome.RESET if request_written else Outcome.UNREACHABLE)

    # Its end.

    def timed_out(self) -> None:
        """Handle the deadline. While connecting, `connect` has a limit of its own."""
        if self.connect_task is None:
            self.give_up(Outcome.TIMED_OUT)

    def cancel_unsent(self) -> None:
        """Give it up unless it has been written completely: nobody waits for it any more.

        Nothing has been executed yet, so this is done also where cancellations are not allowed.
        """
        if self.phase is _FINISHED:
            return
        if self.connection is None or not self.connection.is_flushed:
            self.give_up(Outcome.CANCELLED)

    def give_up(self, outcome: Outcome) -> None:
        """End it with `outcome`, or with UNREACHABLE if it was not written completely.

        A cancellation stays one. The connection is closed before this returns: nothing is sent beside it.
        """
        if self.phase is _FINISHED:
            return
        written = self.connection is not None and self.connection.cancel_request()
        self.stop_connecting()
        self.finish_soon(outcome if written or outcome is Outcome.CANCELLED else Outcome.UNREACHABLE)

    def finish_soon(self, outcome: Outcome) -> None:
        """Finish without a response; `on_finished` is called on the loop's next turn.

        The policy may be in the middle of the call that has led here.
        """
        if self.phase is not _FINISHED:
            self.mark_finished()
            duration = clock() - self.started_at
            self.endpoint.resources.timers.loop.call_soon(self.on_finished, outcome, duration, None)

    def finish(self, outcome: Outcome, response: UpstreamResponse | None = None) -> None:
        """Finish now."""
        if self.phase is not _FINISHED:
            self.mark_finished()
            self.on_finished(outcome, clock() - self.started_at, response)

    def mark_finished(self) -> None:
        """Enter the last phase and release what belongs to it."""
        self.phase = _FINISHED
        self.connection = None
        self.endpoint.resources.timers.cancel(self.timeout_timer)
