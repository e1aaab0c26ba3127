"""The number of upstreams of a subset to which the policy can send requests."""

from collections.abc import Sequence
from typing import Protocol

# Number of upstreams with unanswered attempts, since any upstream last answered, at which the whole subset
# counts as silent.
MIN_SILENT = 3


class EndpointHealth(Protocol):
    """The attributes of an endpoint of the policy that subsetting reads. Times are in microseconds."""

    @property
    def last_ended_at(self) -> int:
        """Time at which an attempt at the endpoint last ended, with or without an answer."""

    @property
    def budget_filled_at(self) -> int:
        """Time at which the slow-start budget was last filled.

        This happens when the endpoint becomes known and each time it is considered for an attempt.
        """

    @property
    def is_ejected(self) -> bool:
        """Whether the endpoint is ejected as an outlier."""


def count_usable_endpoints(
    endpoints: Sequence[EndpointHealth], last_answer_at: int, window: int, now: int
) -> int:
    """Return the number of endpoints in use to which requests can be sent.

    While all endpoints are silent the policy ejects none, as it assumes a fault of the whole tier. But a
    subset is only a part of the tier, and the other endpoints of the tier may answer. A silent subset
    therefore counts as unusable here.

    Args:
        endpoints: The endpoints in use.
        last_answer_at: Time in microseconds at which any of them last answered.
        window: Time in microseconds for which outcomes count.
        now: Current time in microseconds.
    """
    unanswered = sum(
        endpoint.last_ended_at > max(last_answer_at, endpoint.budget_filled_at) for endpoint in endpoints
    )
    silent_for_a_window = now - last_answer_at >= window
    if silent_for_a_window and unanswered >= min(MIN_SILENT, len(endpoints)) > 0:
        return 0
    return sum(not endpoint.is_ejected for endpoint in endpoints)
