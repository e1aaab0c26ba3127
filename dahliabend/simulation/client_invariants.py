"""Invariants on what clients observe.

Each request gets one complete response in time, and a request that is rejected is safe to retry.
"""

from collections.abc import Callable

from dahliabend.simulation.observed_run import (
    NOT_EXCUSED,
    TIME_TOLERANCE,
    AttemptRecord,
    ObservedRun,
    RejectionStreak,
    RequestRecord,
)
from dahliabend.simulation.recorder import Recorder

REJECTED_STATUSES = (429, 503)
OK = 200
MAX_REJECTION_TIME = 4_000_000  # microseconds for which a process may reject every request
MIN_REJECTIONS = 15  # fewer rejections in a row than this are no violation
SHOWN_BYTES = 60  # bytes of unexpected data that a violation shows


class ClientInvariants:
    """Checks the requests of all clients and their responses."""

    def __init__(self, run: ObservedRun, recorder: Recorder) -> None:
        self.run = run
        handlers: dict[str, Callable[..., None]] = {
            "asked": self.request_sent,
            "nobody": self.no_balancer_ready,
            "written": self.request_written,
            "answer": self.response_received,
            "extra": self.unexpected_data,
            "began": self.response_began,
            "cut": self.response_truncated,
            "lost": self.connection_lost,
            "left": self.client_disconnected,
            "spoilt": self.response_unreadable,
            "made": self.response_made,
        }
        for kind, handler in handlers.items():
            recorder.subscribe(kind, handler)

    def request_sent(self, trace_id: str, class_name: str, connection: int, timeout: int) -> None:
        """Record that a client writes a request's first byte, or writes it again on a new connection."""
        run = self.run
        request = run.requests.get(trace_id)
        if request is None:
            run.counts["asked"] += 1
            run.tally[class_name].asked += 1
            request_class = run.classes[class_name]
            run.requests[trace_id] = RequestRecord(trace_id, request_class, connection, timeout, run.now)
            run.open_requests.add(trace_id)
        else:  # the balancer closed the previous connection without reading the request
            request.connection = connection
            request.first_byte_at = run.now
            request.written_at = 0

    def no_balancer_ready(self, class_name: str) -> None:
        """Count a request that could not be sent because no balancer was ready."""
        self.run.tally[class_name].asked += 1
        self.run.counts["nobody"] += 1

    def request_written(self, trace_id: str) -> None:
        """Start a request's time limit, which counts from its last byte."""
        run = self.run
        request = run.requests[trace_id]
        request.written_at = run.now
        due = run.now + request.time_limit + TIME_TOLERANCE
        run.scheduler.call_at(due, None, self.check_answered_in_time, request, run.now)

    def check_answered_in_time(self, request: RequestRecord, written_at: int) -> None:
        """Report a request that has no response at the end of its time limit and the tolerance."""
        run = self.run
        if request.is_finished or request.written_at != written_at or request.response_began_at:
            return
        excused_until = run.excused_until(request)
        if excused_until > run.now:
            run.scheduler.call_at(excused_until, None, self.check_answered_in_time, request, written_at)
        elif excused_until == NOT_EXCUSED:
            process = run.process_serving(request)
            run.report("one answer", f"{request.trace_id} at {process} had none by its limit")
            run.finish(request, "lost")

    def response_received(self, trace_id: str, status: int, body: bytes) -> None:
        """Check a complete response that a client has received."""
        run = self.run
        request = run.requests[trace_id]
        if request.response_received_at:
            run.report("one answer", f"{trace_id} was answered twice, {request.status} and {status}")
            return
        request.response_received_at = run.now
        request.status = status
        self._check_lateness(request)
        if status == OK:
            self._check_served(request, body)
            run.finish(request, "served")
        elif status in REJECTED_STATUSES:
            self._check_rejection(request)
            run.finish(request, "refused")
        else:
            run.finish(request, "failed")

    def _check_lateness(self, request: RequestRecord) -> None:
        """Report a complete response that comes too late, unless it began in time or the delay is excused."""
        run = self.run
        late = run.now - request.written_at - request.time_limit - TIME_TOLERANCE if request.written_at else 0
        if late > 0 and not request.response_began_at and not run.excused_until(request):
            run.report("one answer", f"{request.trace_id}: answered {late} us past its limit and the slack")

    def _check_served(self, request: RequestRecord, body: bytes) -> None:
        """Check that an upstream made this body for the request, and count whether it met its objective."""
        run = self.run
        if body not in run.response_bodies.get(request.trace_id, ()):
            shown = repr(body[:SHOWN_BYTES])
            run.report("whole answer", f"{request.trace_id}: 200 with what no upstream made for it: {shown}")
        latency = (request.response_began_at or request.response_received_at) - request.written_at
        tally = run.tally[request.request_class.name]
        if latency <= request.request_class.latency_objective:
            tally.in_time += 1
        else:
            tally.late += 1

    def _check_rejection(self, request: RequestRecord) -> None:
        """Check that a retry of the rejected request is safe, and count the rejection for its process.

        A rejection tells the client that the request had no effect, so no attempt of a request that must not
        be repeated may have been executed.
        """
        run = self.run
        if process := run.process_serving(request):
            self._count_rejection(process)
        if request.request_class.may_repeat_anywhere:
            return
        for attempt in request.attempts:
            if attempt.may_have_executed:
                name = f"{request.trace_id} ({request.request_class.name})"
                run.report("rollback", f"{name} rolled back; it may have run at {attempt.upstream}")

    def _count_rejection(self, process: str) -> None:
        """Report a process that has rejected every request for longer than is allowed."""
        run = self.run
        streak = run.rejection_streaks.get(process, RejectionStreak(run.now, 0))
        count = streak.length + 1
        if streak.length >= MIN_REJECTIONS and run.now - streak.since > MAX_REJECTION_TIME:
            run.rejection_streaks[process] = RejectionStreak(run.now, 0)
            run.report("serves nobody", f"{process} turned away all {count} that came for 4 s")
        else:
            run.rejection_streaks[process] = RejectionStreak(streak.since, count)

    def unexpected_data(self, trace_id: str, data: bytes) -> None:
        """Report data that a client received on a connection with no request open."""
        shown = repr(data[:SHOWN_BYTES])
        self.run.report("one answer", f"more than one answer came where {trace_id} was asked: {shown}")

    def response_began(self, trace_id: str) -> None:
        """Record the first bytes of a long response, and check that they came in time."""
        run = self.run
        request = run.requests[trace_id]
        request.response_began_at = run.now
        is_late = run.now - request.written_at > request.time_limit + TIME_TOLERANCE
        if request.written_at and is_late and not run.excused_until(request):
            run.report("one answer", f"{trace_id}: began past its limit")

    def response_truncated(self, trace_id: str) -> None:
        """Check a response whose connection ended before it was complete.

        The client can detect the truncation, so it is a violation only if the upstream had delivered the
        whole response to the balancer.
        """
        run = self.run
        request = run.requests[trace_id]
        request.response_received_at = run.now
        if not run.excused_until(request) and any(map(self._was_response_delivered, request.attempts)):
            run.report("whole answer", f"{trace_id}: cut, although its upstream gave all of it")
        run.finish(request, "failed")

    def _was_response_delivered(self, attempt: AttemptRecord) -> bool:
        """Return whether the upstream sent the whole response and its connection was not reset since."""
        end = self.run.connections.get(attempt.connection)
        if end is None or attempt.connection in self.run.reset_connections:
            return False
        return attempt.is_response_sent and not (end.reset_received or end.peer.reset_received)

    def response_unreadable(self, trace_id: str, reason: str) -> None:
        """Report a response that the client could not parse."""
        self.run.report("whole answer", f"{trace_id}: unreadable: {reason}")

    def connection_lost(self, trace_id: str, reason: str) -> None:
        """Check a request whose connection ended without a response."""
        run = self.run
        request = run.requests[trace_id]
        if request.written_at and not run.excused_until(request):
            run.report("one answer", f"{trace_id}: its connection ended without one: {reason}")
        run.finish(request, "lost")

    def client_disconnected(self, trace_id: str) -> None:
        """Record that a client has disconnected before its response was complete."""
        run = self.run
        request = run.requests[trace_id]
        request.disconnected_at = run.now
        run.finish(request, "left")

    def response_made(self, trace_id: str, body: bytes) -> None:
        """Record the body that an upstream is about to send as a response."""
        self.run.response_bodies.setdefault(trace_id, set()).add(body)
