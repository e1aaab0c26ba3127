"""Base class of the dispatchers that client connections hand requests to: counters and shutdown state."""

from collections.abc import Callable, Collection
from typing import Protocol

MAX_LOGGED_TARGET_BYTES = 100


class RequestMetrics(Protocol):
    """Interface of the counters of requests by class, which operators can read."""

    open_requests: int

    def count_response(self, name: bytes, status: int) -> None:
        """Count a response by the name of the request's class and the HTTP status."""

    def count_attempt(self, name: bytes) -> None:
        """Count an attempt that has been written to an upstream, by the name of the request's class."""

    def set_active_classes(self, names: Collection[bytes]) -> None:
        """Set the names of the classes that are currently configured."""


class BaseDispatcher:
    """Base class of the dispatchers that client connections hand requests to.

    Attributes:
        metrics: Counters of requests.
        log: Called with an event's name and its fields.
        count_response: Method of `metrics` that counts a response by class name and status.
        evacuated: Whether an operator has asked for clients to be directed to other balancers.
        shutdown_deadline: When the remaining requests are given up because the process exits (us); 0 unless
            the process is shutting down.
    """

    def __init__(self, metrics: RequestMetrics, log: Callable[..., None]) -> None:
        self.metrics = metrics
        self.log = log
        self.count_response = metrics.count_response
        self.evacuated = False
        self.shutdown_deadline = 0

    def closing(self) -> bool:
        """Return whether clients are to use another balancer: during a shutdown or an evacuation."""
        return self.shutdown_deadline > 0 or self.evacuated

    def request_shed(self, target: bytes, reserved_bytes: int) -> None:
        """Log the rejection of a request that was being received, for lack of memory."""
        shown = target[:MAX_LOGGED_TARGET_BYTES].decode("latin-1")
        self.log("request.shed", target=shown, reserved_bytes=reserved_bytes)

    def connection_closed(self, reason: str, state: str, queued_requests: int, reserved_bytes: int) -> None:
        """Log that this process has closed the connection of a client that awaits an answer."""
        self.log(
            "connection.closed",
            reason=reason,
            state=state,
            queued_requests=queued_requests,
            reserved_bytes=reserved_bytes,
        )

    def response_settled(self, trace_id: bytes, *, has_response: bool) -> None:
        """Handle that a client is known to have a response, or has ended without that being known."""

    def request_opened(self) -> None:
        """Count a request of a known class as open."""
        self.metrics.open_requests += 1

    def request_closed(self) -> None:
        """Stop counting a request as open: its response has been written, or its connection has been lost."""
        self.metrics.open_requests -= 1

    def shut_down_by(self, deadline: int) -> None:
        """Begin to shut down; requests that are still open at `deadline` (us, clock time) are ended."""
        self.shutdown_deadline = deadline
