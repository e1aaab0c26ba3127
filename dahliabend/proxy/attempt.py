"""An attempt of a client's request: sends the request to one endpoint, at most once."""

from typing import Protocol

from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.http.upstream_connection import UpstreamConnection, UpstreamResponse
from dahliabend.model import Idempotency, Outcome
from dahliabend.policy.records import RequestState
from dahliabend.proxy.base_dispatcher import RequestMetrics
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.request import Request
from dahliabend.proxy.upstream_request import Phase, UpstreamRequest
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, Timer, clock

NO_DEADLINE = 1 << 50  # microseconds
STALL_TIMEOUT = 20_000_000  # microseconds; a slow peer may pause for seconds, but not for this long
UNSIZED_RESPONSE_BUFFERING = 500_000  # microseconds for which a response of unknown length is buffered


def deduplication_deadline(state: RequestState) -> int:
    """Return the time (us) until which the newest attempt of a request may be sent.

    If an earlier attempt may have been executed, the upstreams recognize and drop a repeat only within the
    deduplication window. The window keeps running while a connection is being opened. Without such an attempt
    there is no deadline.
    """
    if state.request_class.effect is not Idempotency.DEDUPLICATED:
        return NO_DEADLINE
    first = state.first_possibly_executed()
    if first is None or first is state.attempts[-1]:
        return NO_DEADLINE
    return first.sent_at + state.request_class.deduplication_window


class AttemptOwner(Protocol):
    """Interface of the router that attempts report to."""

    metrics: RequestMetrics

    def attempt_finished(
        self, attempt: "Attempt", outcome: Outcome, duration: int, response: UpstreamResponse | None
    ) -> None:
        """Handle the end of an attempt.

        Args:
            attempt: The attempt.
            outcome: Its outcome.
            duration: Its duration (us).
            response: The upstream's response; None if it has not been received completely.
        """


class Attempt(UpstreamRequest):
    """An attempt of a request.

    Attributes:
        owner: The router that the attempt reports to.
        request: The request that the attempt belongs to.
        index: Index among the attempts of the request.
        streaming_since: When streaming the response to the client began (us); None if it is not streamed.
        last_progress: When bytes of the request or of a streamed response were last transferred (us).
    """

    def __init__(self, owner: AttemptOwner, request: Request, endpoint: Endpoint, timeout: int) -> None:
        self.upload = request.incoming.upload
        super().__init__(endpoint, request.request_line, request.incoming.body, timeout)
        if request.attempts:
            self.send_deadline = min(self.expires_at, deduplication_deadline(request.state))
        self.owner = owner
        self.request = request
        self.index = len(request.attempts)
        self.streaming_since: int | None = None
        self.last_progress = 0
        self.buffering_timer: Timer | None = None
        self.hedge_timer: Timer | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether the response is being streamed to the client, or has been."""
        return self.streaming_since is not None

    def is_awaited(self) -> bool:
        """Return whether the client still waits for a response."""
        return not self.request.answered

    def build_head(self, time_left: int) -> bytes:
        """Return the request head, with the remaining time in the `X-Expires-In-Ms` header.

        The head is built when the attempt is sent, so that the time spent on connecting is deducted.
        """
        length: int | None = len(self.body)
        if self.upload is not None:
            length = self.upload.length
            time_left = min(time_left, self.request.client_time_limit)
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        return b"%bX-Expires-In-Ms: %d\r\n%b%b\r\n\r\n" % (
            self.head,
            max(1, time_left // MICROSECONDS_PER_MILLISECOND),
            self.request.incoming.headers,
            framing,
        )

    def start(self) -> None:
        """Start the attempt.

        With a streamed request body, the timeout is first checked when the client's time limit has passed, if
        that is earlier than the timeout of the attempt.
        """
        super().start()
        if self.upload is None or self.is_finished:
            return
        client_deadline = self.started_at + self.request.client_time_limit
        if self.expires_at > client_deadline:
            self.endpoint.resources.timers.cancel(self.timeout_timer)
            self.check_progress_at(client_deadline)

    # Connection events

    def request_written(self) -> None:
        """Count the attempt, and schedule its hedge or, with a streamed body, restart its timeout."""
        self.last_progress = clock()
        self.owner.metrics.count_attempt(self.request.class_name)
        if self.upload is None:
            self._schedule_hedge()
        elif self.request.state.body_pending:
            self._restart_timeout(self.upload)

    def _schedule_hedge(self) -> None:
        request = self.request
        hedge_delay = request.policy.request_classes[request.class_index].hedge_delay
        if hedge_delay and self.index == 0:
            hedge_at = self.started_at + hedge_delay
            self.hedge_timer = self.endpoint.resources.timers.schedule(hedge_at, self.hedge_timer_fired)

    def _restart_timeout(self, upload: StreamingBody) -> None:
        """Restart duration and timeout now that the last byte of the streamed body has been sent.

        The upstream could not execute the request before, so the time that the client took to upload the body
        must not count against the endpoint.
        """
        timers = self.endpoint.resources.timers
        deadline = upload.completed_at + self.request.client_time_limit
        timeout = self.request.state.body_received(self.last_progress, deadline)
        self.started_at = self.last_progress
        self.expires_at = self.last_progress + timeout
        timers.cancel(self.timeout_timer)
        self.timeout_timer = timers.schedule(self.expires_at, self.check_timeout)

    def unsized_response_started(self, connection: UpstreamConnection) -> None:
        """Schedule streaming of a response of unknown length.

        Buffered until its end, the response could come too late for the client.
        """
        stream_at = clock() + UNSIZED_RESPONSE_BUFFERING
        self.buffering_timer = self.endpoint.resources.timers.schedule(stream_at, connection.start_streaming)

    def response_started(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Start streaming the response to the client, unless the request needs no response any more."""
        request = self.request
        if request.answered:
            self.give_up(Outcome.CANCELLED)
            return
        now = clock()
        self.streaming_since = now
        self.last_progress = now
        request.mark_answered(responding=self)
        request.state.response_started(now, self.index)
        request.incoming.client.start_response(headers, length, source)
        self.endpoint.resources.timers.cancel(self.timeout_timer)
        self.check_timeout()

    def response_part(self, part: bytes) -> None:
        """Forward a part of a streamed response to the client."""
        self.last_progress = clock()
        self.request.incoming.client.send_part(part)

    # Timers

    def hedge_timer_fired(self) -> None:
        """Report to the policy that this attempt is slow, so that it may send a hedge."""
        self.request.state.hedge_timer_fired(clock())

    def check_timeout(self) -> None:
        """Give up, or check again later while a body is streamed and bytes are still transferred.

        A streamed transfer is given up once no byte has been transferred for the allowed pause.
        """
        now = clock()
        is_uploading = self.upload is not None and self.request.state.body_pending
        allowed_pause = self.allowed_pause(is_uploading)
        if is_uploading and self.phase is Phase.CONNECTING:
            self.check_progress_at(now + allowed_pause)
            return
        last_progress = now - allowed_pause
        if self.is_streaming:
            last_progress = self.last_progress
        elif self.upload is not None and is_uploading:
            last_progress = self.upload.last_progress
        if now - last_progress < allowed_pause:
            self.check_progress_at(last_progress + allowed_pause)
            return
        if is_uploading:
            self.request.body_consumed()  # no time is left for another attempt with this body
        super().check_timeout()

    def allowed_pause(self, is_uploading: bool) -> int:
        """Return how long (us) a streamed transfer may pause before the attempt is given up.

        While the upstream does not read, reading from the client is paused, so it is unknown whether the
        client has sent everything. The pause is then limited by the client's timeout: with the limit for a
        slow client the request would stay unanswered beyond its deadline.
        """
        if is_uploading and (self.connection is None or self.connection.unsent_bytes):
            return min(STALL_TIMEOUT, self.request.client_time_limit)
        return STALL_TIMEOUT

    def check_progress_at(self, when: int) -> None:
        """Schedule a call of `check_timeout` at a time (us)."""
        self.timeout_timer = self.endpoint.resources.timers.schedule(when, self.check_timeout)

    # Completion

    def mark_finished(self) -> None:
        """Enter the FINISHED phase and cancel all timers."""
        super().mark_finished()
        if self.buffering_timer is not None:
            self.endpoint.resources.timers.cancel(self.buffering_timer)
        if self.hedge_timer is not None:
            self.endpoint.resources.timers.cancel(self.hedge_timer)

    def on_finished(self, outcome: Outcome, duration: int, response: UpstreamResponse | None) -> None:
        """Report the outcome to the router."""
        self.owner.attempt_finished(self, outcome, duration, response)
