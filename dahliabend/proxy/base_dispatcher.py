"""What all that takes clients' requests has in common: counting them, and sending clients elsewhere."""

from collections.abc import Collection
from typing import Protocol


class RequestMetrics(Protocol):
    """Counters of requests by class, for operators."""

    open_requests: int

    def count_response(self, name: bytes, status: int) -> None:
        """Count a response to a request of the class with that name."""

    def count_attempt(self, name: bytes) -> None:
        """Count an attempt that has been written to an upstream."""

    def set_active_classes(self, names: Collection[bytes]) -> None:
        """Set the classes that are in force."""


class BaseDispatcher:
    """Base of whatever client connections hand requests to.

    Attributes:
        metrics: Counters of requests.
        count_response: Counts a response, by the class's name and the status.
        evacuated: Whether an operator sends clients elsewhere.
        shutdown_deadline: When all requests are given up because the process ends (us); 0 while it doesn't.
    """

    def __init__(self, metrics: RequestMetrics) -> None:
        self.metrics = metrics
        self.count_response = metrics.count_response
        self.evacuated = False
        self.shutdown_deadline = 0

    def closing(self) -> bool:
        """Tell whether clients are to go elsewhere."""
        return self.shutdown_deadline > 0 or self.evacuated

    def request_opened(self) -> None:
        """Count a request of a known class that has come."""
        self.metrics.open_requests += 1

    def request_closed(self) -> None:
        """Count that its response has been written, or its connection has gone."""
        self.metrics.open_requests -= 1

    def shut_down_by(self, deadline: int) -> None:
        """End every request that is still open at `deadline` (us, clock time)."""
        self.shutdown_deadline = deadline
