"""Attribution of outcomes: whether an attempt counts as failed, and in which scopes.

Times are in microseconds.
"""

from dahliabend.model import Outcome, PolicySettings, RequestClass
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.records import Endpoint, RequestState
from dahliabend.policy.throttling import Throttling

SLOW_OBJECTIVE_FRACTION = 3 / 4  # in an overload, a slower attempt counts as failed
_LOAD_OUTCOMES = (Outcome.SUCCEEDED, Outcome.TIMED_OUT)  # their duration indicates load


def is_slow(request_class: RequestClass, duration: int) -> bool:
    """Return whether an attempt of this duration left its request little of the latency objective.

    In an overload, slow attempts count as failed; otherwise reductions would begin only after deadlines are
    missed.
    """
    return duration > SLOW_OBJECTIVE_FRACTION * request_class.latency_objective


class Sampling:
    """Passes the outcomes of attempts on to the concurrency limit and to the entries of all scopes."""

    def __init__(
        self, settings: PolicySettings, throttling: Throttling, concurrency: ConcurrencyLimit
    ) -> None:
        self.zone = settings.zone
        self.cross_zone_cost = settings.cross_zone_cost
        self.throttling = throttling
        self.concurrency = concurrency

    def indicates_load(self, endpoint: Endpoint, now: int, outcome: Outcome, duration: int) -> bool:
        """Return whether the duration of an attempt that ended at `now` counts for the concurrency limit.

        It does not if its endpoint has not answered since the attempt was sent: a single endpoint that does
        not answer is rarely an overload.
        """
        return outcome in _LOAD_OUTCOMES and endpoint.silent_since > now - duration

    def record_outcome(
        self, request: RequestState, endpoint: Endpoint, now: int, outcome: Outcome, duration: int
    ) -> None:
        """Record the outcome and the duration of an attempt in the concurrency limit and in the scopes."""
        request_class = request.request_class
        if self.indicates_load(endpoint, now, outcome, duration):
            ratio = duration / request_class.latency_objective
            self.concurrency.record_latency(ratio, endpoint.relative_latency)
        is_failed = outcome is not Outcome.SUCCEEDED
        if self.concurrency.is_overloaded:
            is_failed = is_failed or is_slow(request_class, duration)
        self.throttling.add_endpoint_sample(endpoint.entries, request.class_index, is_failed=is_failed)
        if self.cross_zone_cost and endpoint.zone == self.zone:
            is_zone_failure = is_failed or is_slow(request_class, duration)
            self.throttling.add_zone_sample(self.cross_zone_cost, is_failed=is_zone_failure)
        # Only the first endpoint counts: otherwise a request that finds five endpoints full counts as five.
        if request.attempts[0].endpoint is endpoint:
            self.throttling.add_tier_sample(is_failed=is_failed and self.is_tier_failure(outcome))

    def is_tier_failure(self, outcome: Outcome) -> bool:
        """Return whether a failure counts against the tier: a rejection does, others only in an overload.

        The fault of one endpoint is no reason to reject requests that others could serve.
        """
        return self.concurrency.is_overloaded or outcome.proves_not_executed
