"""What the end of an attempt counts as, and in which of the scopes."""

from dahliabend.model import Outcome, RequestClass, Settings
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.records import Endpoint, RequestState
from dahliabend.policy.throttling import Throttling

LATE = 3 / 4  # of the latency objective: in an overload, a slower attempt counts as failed
_TIMED = (Outcome.SUCCEEDED, Outcome.TIMED_OUT)  # its time tells of load


def is_late(request_class: RequestClass, took: int) -> bool:
    """Return whether an attempt that took so long (us) left its request little of the latency objective.

    In an overload a late attempt counts as failed: else the reductions would wait until deadlines are missed.
    """
    return took > LATE * request_class.latency_objective


class Sampling:
    """Passes the ends of attempts on to the concurrency limit and to the reductions of each scope."""

    def __init__(self, settings: Settings, throttling: Throttling, concurrency: ConcurrencyLimit) -> None:
        self.zone = settings.zone
        self.cross_zone_cost = settings.cross_zone_cost
        self.throttling = throttling
        self.concurrency = concurrency

    def tells_of_load(self, endpoint: Endpoint, now: int, outcome: Outcome, took: int) -> bool:
        """Return whether the time that an attempt took (us), which ended now, counts for the limit.

        Not if its endpoint has not answered since it was sent: one silent endpoint is hardly an overload.
        """
        return outcome in _TIMED and endpoint.silent_since > now - took

    def learn(self, request: RequestState, endpoint: Endpoint, now: int, outcome: Outcome, took: int) -> None:
        """Take the end of an attempt, which took so long (us), into the limit and the scopes."""
        request_class = request.request_class
        if self.tells_of_load(endpoint, now, outcome, took):
            ratio = took / request_class.latency_objective
            self.concurrency.learn_latency(ratio, endpoint.relative_latency)
        is_failed = outcome is not Outcome.SUCCEEDED
        if self.concurrency.is_overloaded:
            is_failed = is_failed or is_late(request_class, took)
        self.throttling.add_endpoint_sample(endpoint.entries, request.class_index, is_failed=is_failed)
        if self.cross_zone_cost and endpoint.zone == self.zone:
            is_poor = is_failed or is_late(request_class, took)
            self.throttling.add_zone_sample(self.cross_zone_cost, is_failed=is_poor)
        if request.attempts[0].endpoint is endpoint:  # one that finds five full would count as five
            self.throttling.add_tier_sample(is_failed=is_failed and self.is_tier_failure(outcome))

    def is_tier_failure(self, outcome: Outcome) -> bool:
        """Return whether a failure counts for the tier: a rejection does, any other only in an overload.

        An endpoint's own fault is no reason to reject requests that others could serve.
        """
        return self.concurrency.is_overloaded or outcome.proves_not_executed
