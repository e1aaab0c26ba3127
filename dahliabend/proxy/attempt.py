"""One attempt of a client's request: it is sent to one endpoint, once."""

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
STALL_TIMEOUT = 20_000_000  # microseconds; peers may take seconds to read or write, but not that long
UNSIZED_RESPONSE_BUFFERING = 500_000  # microseconds that a response of unknown length is buffered


def deduplication_deadline(state: RequestState) -> int:
    """Return until when (us) a request's newest attempt may be sent beside earlier ones.

    Earlier attempts may have been executed. The endpoints' group drops a repeat of them for the deduplication
    window, which goes on while a connection is being opened.
    """
    if state.request_class.effect is not Idempotency.DEDUPLICATED:
        return NO_DEADLINE
    first = state.first_possibly_executed()
    if first is None or first is state.attempts[-1]:
        return NO_DEADLINE
    return first.sent_at + state.request_class.deduplication_window


class AttemptOwner(Protocol):
    """The router that attempts are reported to."""

    metrics: RequestMetrics

    def attempt_finished(
        self, attempt: "Attempt", outcome: Outcome, duration: int, response: UpstreamResponse | None
    ) -> None:
        """Handle the end of an attempt.

        Args:
            attempt: The attempt.
            outcome: How it has ended.
            duration: How long it took (us).
            response: What the upstream has answered, if that has been received completely.
        """


class Attempt(UpstreamRequest):
    """One attempt of a request.

    Attributes:
        owner: The router that it is reported to.
        request: The request that it belongs to.
        index: Its index among the attempts of its request.
        first_byte_at: When a streamed response has begun (us); None if none is streamed.
        last_progress: When bytes of the request or of a streamed response moved last (us).
    """

    def __init__(self, owner: AttemptOwner, request: Request, endpoint: Endpoint, timeout: int) -> None:
        self.upload = request.incoming.upload
        super().__init__(endpoint, request.head, request.incoming.body, timeout)
        if request.attempts:
            self.send_deadline = min(self.expires_at, deduplication_deadline(request.state))
        self.owner = owner
        self.request = request
        self.index = len(request.attempts)
        self.first_byte_at: int | None = None
        self.last_progress = 0
        self.buffering_timer: Timer | None = None
        self.hedge_timer: Timer | None = None

    @property
    def is_streaming(self) -> bool:
        """Whether its response is, or was, streamed to the client."""
        return self.first_byte_at is not None

    def is_awaited(self) -> bool:
        """Tell whether the client still waits for a response."""
        return not self.request.answered

    def build_head(self, time_left: int) -> bytes:
        """Return the head with the time that the upstream has.

        It is written when the attempt is sent: written earlier, it would leave out what connecting has taken.
        """
        length: int | None = len(self.body)
        if self.upload is not None:
            length = self.upload.length
            time_left = min(time_left, self.request.client_timeout)
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        return b"%bX-Expires-In-Ms: %d\r\n%b%b\r\n\r\n" % (
            self.head,
            max(1, time_left // MICROSECONDS_PER_MILLISECOND),
            self.request.incoming.headers,
            framing,
        )

    def start(self) -> None:
        """Send it. With a streamed body it is looked at after the client's timeout at the latest."""
        super().start()
        if self.upload is None or self.is_finished:
            return
        client_deadline = self.started_at + self.request.client_timeout
        if self.expires_at > client_deadline:
            self.endpoint.resources.timers.cancel(self.timeout_timer)
            self.check_progress_at(client_deadline)

    # Events of its connection.

    def request_written(self) -> None:
        """Count it, and schedule the hedge. The time of a streamed body counts from here."""
        self.last_progress = clock()
        self.owner.metrics.count_attempt(self.request.class_name)
        if self.upload is None:
            self._schedule_hedge()
        elif self.request.state.body_pending:
            self._restart_time(self.upload)

    def _schedule_hedge(self) -> None:
        request = self.request
        hedge_delay = request.policy.request_classes[request.class_index].hedge_delay
        if hedge_delay and self.index == 0:
            hedge_at = self.started_at + hedge_delay
            self.hedge_timer = self.endpoint.resources.timers.schedule(hedge_at, self.hedge_timer_fired)

    def _restart_time(self, upload: StreamingBody) -> None:
        """Count its time from now on, as the last byte of its body has been sent.

        Nothing could be executed until now: what the client took to send counts against nobody.
        """
        timers = self.endpoint.resources.timers
        deadline = upload.completed_at + self.request.client_timeout
        timeout = self.request.state.body_received(self.last_progress, deadline)
        self.started_at = self.last_progress
        self.expires_at = self.last_progress + timeout
        timers.cancel(self.timeout_timer)
        self.timeout_timer = timers.schedule(self.expires_at, self.timed_out)

    def unsized_response_started(self, connection: UpstreamConnection) -> None:
        """Stream a response of unknown length before long: buffered until its end it may come too late."""
        stream_at = clock() + UNSIZED_RESPONSE_BUFFERING
        self.buffering_timer = self.endpoint.resources.timers.schedule(stream_at, connection.start_streaming)

    def response_started(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Begin to stream the response, unless a hedged attempt has been quicker."""
        request = self.request
        if request.answered:
            self.give_up(Outcome.CANCELLED)
            return
        now = clock()
        self.first_byte_at = now
        self.last_progress = now
        request.mark_answered(responding=self)
        request.state.response_started(now, self.index)
        request.incoming.client.start_response(headers, length, source)
        self.endpoint.resources.timers.cancel(self.timeout_timer)
        self.timed_out()

    def response_part(self, part: bytes) -> None:
        """Pass a part of a streamed response on."""
        self.last_progress = clock()
        self.request.incoming.client.send_part(part)

    # Timers.

    def hedge_timer_fired(self) -> None:
        """Tell the policy that this attempt is slow."""
        self.request.state.hedge_timer_fired(clock())

    def timed_out(self) -> None:
        """Give up, but while something is streamed only if no byte has moved for long."""
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
            self.request.body_consumed()  # its time is over: none is left for another attempt
        super().timed_out()

    def allowed_pause(self, is_uploading: bool) -> int:
        """Return for how long (us) no byte has to move.

        Where the upstream doesn't read, the client may have sent everything, which can't be seen while it is
        held back: waited for as long as a slow client, the request would go unanswered beyond its limit.
        """
        if is_uploading and (self.connection is None or self.connection.unsent_bytes):
            return min(STALL_TIMEOUT, self.request.client_timeout)
        return STALL_TIMEOUT

    def check_progress_at(self, when: int) -> None:
        """Call `timed_out` at that time."""
        self.timeout_timer = self.endpoint.resources.timers.schedule(when, self.timed_out)

    # Its end.

    def mark_finished(self) -> None:
        """Enter the last phase and release all timers."""
        super().mark_finished()
        if self.buffering_timer is not None:
            self.endpoint.resources.timers.cancel(self.buffering_timer)
        if self.hedge_timer is not None:
            self.endpoint.resources.timers.cancel(self.hedge_timer)

    def on_finished(self, outcome: Outcome, duration: int, response: UpstreamResponse | None) -> None:
        """Report the outcome to the router."""
        self.owner.attempt_finished(self, outcome, duration, response)
