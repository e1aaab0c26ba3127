"""Counters and log lines of how requests end.

The keys of the counters, the event names and the field names are an interface for operators.
"""

from collections.abc import Callable

from dahliabend.model import Outcome
from dahliabend.proxy.attempt import Attempt
from dahliabend.proxy.request import Request
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, clock

# Outcomes of requests
SUCCEEDED = "succeeded"
REJECTED = "rejected"
FAILED = "failed"
TRUNCATED = "truncated"  # failed in the middle of a streamed response
CLIENT_DISCONNECTED = "client_disconnected"
FORWARDED_TO_FALLBACK = "sent_to_fallback"  # rejected on admission and offered to another pool


class RequestLog:
    """Counts and logs how the requests of one router end.

    Attributes:
        counts: Number of ended requests by outcome, one of the constants of this module.
        logs_access: Whether every request is logged; otherwise only requests that have not succeeded.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.counts: dict[str, int] = {}
        self.logs_access = False

    def request_ended(self, request_outcome: str, request: Request) -> None:
        """Count and log the end of a request; `request_outcome` is one of the constants of this module."""
        self.counts[request_outcome] = self.counts.get(request_outcome, 0) + 1
        if self.logs_access and request_outcome != FORWARDED_TO_FALLBACK:
            self.log(
                "request.finished",
                trace_id=request.incoming.trace_id.decode("latin-1"),
                outcome=request_outcome,
                attempts=_attempt_rows(request),
                duration_ms=(clock() - request.admitted_at) // MICROSECONDS_PER_MILLISECOND,
                **_class_fields(request),
            )
        if request_outcome != SUCCEEDED:
            self.log(
                f"request.{request_outcome}",
                trace_id=request.incoming.trace_id.decode("latin-1"),
                **_class_fields(request),
                attempts=_attempt_rows(request),
                attempts_in_flight=len(request.attempts) - len(request.attempt_records),
                duration_ms=(clock() - request.admitted_at) // MICROSECONDS_PER_MILLISECOND,
            )

    def attempt_failed(self, attempt: Attempt, outcome: Outcome, duration: int) -> None:
        """Log an attempt that has not succeeded; `duration` in microseconds."""
        self.log(
            "attempt.failed",
            trace_id=attempt.request.incoming.trace_id.decode("latin-1"),
            attempt_index=attempt.index,
            upstream=attempt.endpoint.name,
            outcome=outcome.name,
            duration_ms=duration // MICROSECONDS_PER_MILLISECOND,
            reason=attempt.failure_reason,
        )


def _attempt_rows(request: Request) -> list[tuple[object, ...]]:
    # Plain tuples, because the log's encoder does not accept named tuples.
    return [tuple(record) for record in request.attempt_records]


def _class_fields(request: Request) -> dict[str, str | int]:
    return {"route": request.route_name} if request.route_name else {"request_class": request.class_index}
