"""How requests end: counts for operators, and lines of the log.

The keys of the counts, the names of the events and the keys of their fields are an interface for operators.
"""

from collections.abc import Callable

from dahliabend.model import Outcome
from dahliabend.proxy.attempt import Attempt
from dahliabend.proxy.request import Request
from dahliabend.transport.timers import clock

# How a request has ended, by the operators' names.
SUCCEEDED = "committed"
REJECTED = "rolled_back"
FAILED = "abandoned"
TRUNCATED = "cut"  # in the middle of a streamed response
CLIENT_DISCONNECTED = "left"
FORWARDED_TO_FALLBACK = "passed_on"  # rejected during its admission; another pool has it now


class RequestLog:
    """Counts and logs how the requests of one router end.

    Attributes:
        counts: Ended requests by the operators' names.
        logs_access: Whether every request is logged; otherwise those that have not succeeded.
    """

    def __init__(self, log: Callable[..., None]) -> None:
        self.log = log
        self.counts: dict[str, int] = {}
        self.logs_access = False

    def request_ended(self, ending: str, request: Request) -> None:
        """Count and log the end of a request; `ending` is one of the names above."""
        self.counts[ending] = self.counts.get(ending, 0) + 1
        if self.logs_access and ending != FORWARDED_TO_FALLBACK:
            self.log(
                "access",
                tx=request.incoming.trace_id.decode("latin-1"),
                how=ending,
                hops=_attempt_rows(request),
                ms=(clock() - request.admitted_at) // 1000,
                **_class_fields(request),
            )
        if ending != SUCCEEDED:
            self.log(
                ending,
                tx=request.incoming.trace_id.decode("latin-1"),
                **_class_fields(request),
                hops=_attempt_rows(request),
                out=len(request.attempts) - len(request.attempt_records),
                ms=(clock() - request.admitted_at) // 1000,
            )

    def attempt_failed(self, attempt: Attempt, outcome: Outcome, duration: int) -> None:
        """Log an attempt that has not succeeded; `duration` in microseconds."""
        self.log(
            "hop",
            tx=attempt.request.incoming.trace_id.decode("latin-1"),
            order=attempt.index,
            upstream=attempt.endpoint.name,
            outcome=outcome.name,
            ms=duration // 1000,
            why=attempt.failure_reason,
        )


def _attempt_rows(request: Request) -> list[tuple[object, ...]]:
    # Plain tuples: the encoder of the log knows no other ones.
    return [tuple(record) for record in request.attempt_records]


def _class_fields(request: Request) -> dict[str, str | int]:
    return {"route": request.route_name} if request.route_name else {"profile": request.class_index}
