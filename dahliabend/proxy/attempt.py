"""An attempt of a client's request: sends the request to one endpoint, at most once."""

from typing import Protocol

from dahliabend.http.headers import MAX_BUFFERED_BYTES
from dahliabend.http.streaming import BodySource, StreamingBody
from dahliabend.http.upstream_connection import UpstreamConnection, UpstreamResponse
from dahliabend.model import Idempotency, Outcome
from dahliabend.policy.records import RequestState
from dahliabend.proxy.base_dispatcher import RequestMetrics
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.request import Request
from dahliabend.proxy.upstream_request import UpstreamRequest
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, Timer, clock

NO_DEADLINE = 1 << 50  # microseconds
STALL_TIMEOUT = 20_000_000  # microseconds; a slow peer may pause for seconds, but not for this long
STALLS_PER_CLIENT_TIME_LIMIT = 2  # without a byte for that part of its time, a body counts as stalled
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
        response_length: Length of the streamed response in bytes, if the upstream states it.
        response_bytes: Bytes of the streamed response that have been forwarded.
    """

    def __init__(self, owner: AttemptOwner, request: Request, endpoint: Endpoint, timeout: int) -> None:
        self.upload = request.incoming.upload
        super().__init__(endpoint, request.request_line, request.incoming.body, timeout)
        if request.attempts:
            self.send_deadline = min(self.expires_at, deduplication_deadline(request.state))
        self.owner = owner
        self.request = request
        if self.upload is not None:
            self.send_deadline = min(self.send_deadline, self.upload_deadline() or NO_DEADLINE)
        self.index = len(request.attempts)
        self.streaming_since: int | None = None
        self.last_progress = 0
        self.response_length: int | None = None
        self.response_bytes = 0
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
            deadline = self.upload_deadline()
            client_time_left = self.request.client_time_limit if deadline is None else deadline - clock()
            time_left = min(time_left, client_time_left)
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        return b"%bX-Expires-In-Ms: %d\r\n%b%b\r\n\r\n" % (
            self.head,
            max(1, time_left // MICROSECONDS_PER_MILLISECOND),
            self.request.incoming.headers,
            framing,
        )

    def upload_deadline(self) -> int | None:
        """Return when the client of a streamed body stops waiting (us); None while it is still sending."""
        if self.upload is None or self.upload.possibly_sent_since is None:
            return None
        return self.upload.possibly_sent_since + self.request.client_time_limit

    def start(self) -> None:
        """Start the attempt; with a streamed request body, its timeout begins at the client's last byte."""
        super().start()
        if self.upload is not None and not self.is_finished:
            self.endpoint.resources.timers.cancel(self.timeout_timer)
            self.check_progress_at(self._upload_check_due(self.upload))

    # Connection events

    def request_written(self) -> None:
        """Count the attempt, and schedule its hedge or, with a streamed body, restart its timeout."""
        self.last_progress = clock()
        self.owner.metrics.count_attempt(self.request.class_name)
        if self.upload is None:
            self._schedule_hedge()
        elif self.request.state.body_pending:
            self._restart_timeout()

    def _schedule_hedge(self) -> None:
        request = self.request
        hedge_delay = request.policy.request_classes[request.class_index].hedge_delay
        if hedge_delay and self.index == 0:
            hedge_at = self.started_at + hedge_delay
            self.hedge_timer = self.endpoint.resources.timers.schedule(hedge_at, self.hedge_timer_fired)

    def _restart_timeout(self) -> None:
        """Restart duration and timeout now that the last byte of the streamed body has been sent.

        The upstream could not execute the request before, so the time that the client took to upload the body
        must not count against the endpoint.
        """
        timers = self.endpoint.resources.timers
        deadline = self.upload_deadline()
        assert deadline is not None, "the body is complete"
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
        self.response_length = length
        request.mark_answered(responding=self)
        request.state.response_started(now, self.index)
        request.incoming.client.start_response(headers, length, source)
        self.endpoint.resources.timers.cancel(self.timeout_timer)
        self.check_timeout()

    def response_part(self, part: bytes) -> None:
        """Forward a part of a streamed response to the client."""
        self.last_progress = clock()
        self.response_bytes += len(part)
        self.request.incoming.client.send_part(part)

    # Timers

    def hedge_timer_fired(self) -> None:
        """Report to the policy that this attempt is slow, so that it may send a hedge."""
        self.request.state.hedge_timer_fired(clock())

    def check_timeout(self) -> None:
        """Give up, or check again later while a body is streamed."""
        if self.is_streaming:
            self._check_response()
        elif self.upload is not None and self.request.state.body_pending:
            self._check_upload(self.upload)
        else:
            super().check_timeout()

    def _check_response(self) -> None:
        """Give up a streamed response at the client's deadline, or once no byte has come for long.

        At the deadline the outcome is that of a client that stops waiting, which it would do otherwise.
        """
        now = clock()
        stalls_at = self.last_progress + self._allowed_pause()
        deadline = self._short_response_deadline()
        if now >= stalls_at:
            super().check_timeout()
        elif now >= deadline:
            self.give_up(Outcome.CANCELLED)
        else:
            self.check_progress_at(min(stalls_at, deadline))

    def _short_response_deadline(self) -> int:
        """Return until when a response of unknown length has to end, as long as it is short (us).

        Of a long response, only the beginning has to be in time.
        """
        if self.response_length is not None or self.response_bytes > MAX_BUFFERED_BYTES:
            return NO_DEADLINE
        if self.upload is None:
            return self.request.incoming.received_at + self.request.client_time_limit
        return self.upload_deadline() or NO_DEADLINE

    def _allowed_pause(self) -> int:
        """Return how long (us) a streamed response may pause before the attempt is given up."""
        is_uploading = self.upload is not None and self.request.state.body_pending
        if is_uploading and (self.connection is None or self.connection.unsent_bytes):
            return min(STALL_TIMEOUT, self.request.client_time_limit)
        return STALL_TIMEOUT

    def _check_upload(self, upload: StreamingBody) -> None:
        """Give up at the client's deadline, or once no byte of the body has been transferred for long."""
        now = clock()
        upload.note_silence()
        due = self._upload_check_due(upload)
        if now < due:
            self.check_progress_at(due)
        else:
            self._give_up_upload(now - upload.last_progress)

    def _upload_check_due(self, upload: StreamingBody) -> int:
        """Return when the upload has to be checked next (us).

        While the client is sending, its deadline is not known yet. It will be after the time returned.
        """
        deadline = self.upload_deadline()
        if deadline is None:
            deadline = clock() + self.request.client_time_limit
        return min(deadline, upload.last_progress + STALL_TIMEOUT)

    def _give_up_upload(self, time_without_progress: int) -> None:
        """Give up before the body has been written; the upstream is at fault if it stopped reading."""
        self.request.body_consumed()  # no time is left for another attempt with this body
        if time_without_progress * STALLS_PER_CLIENT_TIME_LIMIT >= self.request.client_time_limit:
            self.failure_reason = "the body was not read"
            self.give_up(Outcome.TIMED_OUT)
        else:
            self.failure_reason = "the client's time ended before the body was read"
            self.give_up(Outcome.NOT_SENT)

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
