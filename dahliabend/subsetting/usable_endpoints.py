"""How many upstreams of a subset the policy can send requests to."""

from collections.abc import Sequence
from typing import Protocol

MIN_SILENT = 3  # upstreams without an answer since anybody answered: the whole subset counts as silent


class EndpointHealth(Protocol):
    """What is read of one endpoint of the policy."""

    @property
    def ended(self) -> int:
        """When an attempt last ended without an answer, in microseconds."""

    @property
    def filled(self) -> int:
        """When it last answered, in microseconds."""

    @property
    def ejected(self) -> bool:
        """Whether it is out of use as an outlier."""


class PolicyHealth(Protocol):
    """What is read of the policy of a pool."""

    @property
    def last_heard(self) -> int:
        """When any endpoint last answered, in microseconds."""

    @property
    def window(self) -> int:
        """Time that outcomes count, in microseconds."""

    @property
    def ready(self) -> Sequence[EndpointHealth]:
        """Endpoints in use."""


def count_usable(balancer: PolicyHealth, now: int) -> int:
    """Return how many of the endpoints in use can be sent to.

    While all are silent the policy ejects none, as a fault of the whole tier. But a subset is only a part of
    the tier and the rest may answer, so that a silent subset counts as unusable here.
    """
    last_heard = balancer.last_heard
    unanswered = sum(endpoint.ended > max(last_heard, endpoint.filled) for endpoint in balancer.ready)
    silent_for_a_window = now - last_heard >= balancer.window
    if silent_for_a_window and unanswered >= min(MIN_SILENT, len(balancer.ready)) > 0:
        return 0
    return sum(not endpoint.ejected for endpoint in balancer.ready)
