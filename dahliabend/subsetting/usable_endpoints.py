"""How many upstreams of a subset the policy can send requests to."""

from collections.abc import Sequence
from typing import Protocol

MIN_SILENT = 3  # upstreams without an answer since anybody answered: the whole subset counts as silent


class EndpointHealth(Protocol):
    """What is read of one endpoint of the policy. Times are in microseconds."""

    @property
    def last_ended_at(self) -> int:
        """When an attempt last ended there, with or without an answer."""

    @property
    def budget_filled_at(self) -> int:
        """When its slow-start budget was last filled: as it became known, or was last considered."""

    @property
    def is_ejected(self) -> bool:
        """Whether it is out of use as an outlier."""


def count_usable_endpoints(
    endpoints: Sequence[EndpointHealth], last_answer_at: int, window: int, now: int
) -> int:
    """Return how many of the endpoints in use can be sent to.

    While all are silent the policy ejects none, as a fault of the whole tier. But a subset is only a part of
    the tier and the rest may answer, so that a silent subset counts as unusable here.

    Args:
        endpoints: The endpoints in use.
        last_answer_at: When any of them last answered, in microseconds.
        window: How long outcomes count, in microseconds.
        now: The time, in microseconds.
    """
    unanswered = sum(
        endpoint.last_ended_at > max(last_answer_at, endpoint.budget_filled_at) for endpoint in endpoints
    )
    silent_for_a_window = now - last_answer_at >= window
    if silent_for_a_window and unanswered >= min(MIN_SILENT, len(endpoints)) > 0:
        return 0
    return sum(not endpoint.is_ejected for endpoint in endpoints)
