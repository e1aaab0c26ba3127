"""What the end of an attempt counts as, and in which of the scopes."""

from dahliabend.model import Outcome, RequestClass, Settings
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.records import Endpoint, RequestState
from dahliabend.policy.throttling import Throttling

LATE = 3 / 4  # of the latency objective: in an overload, a slower attempt counts as failed
_TIMED = (Outcome.SUCCEEDED, Outcome.TIMED_OUT)  # its time tells of load


def is_late(request_class: RequestClass, took: int) -> bool:
    """Returns whether an attempt that took so long (us) left its request little of the latency objective."""
    return took > LATE * request_class.latency_objective


class Sampling:
    """Passes the ends of attempts on to the concurrency limit and to the reductions of each scope."""

    def __init__(self, settings: Settings, throttling: Throttling, concurrency: ConcurrencyLimit) -> None:
        self.zone = settings.zone
        self.cross_zone_cost = settings.cross_zone_cost
        self.throttling = throttling
        self.concurrency = concurrency

    def tells_of_load(self, endpoint: Endpoint, now: int, outcome: Outcome, took: int) -> bool:
        """Returns whether the time that an attempt took (us), which ended now, counts for the limit.

        Not if its endpoint has not answered since it was sent: one silent endpoint is hardly an overload.
        """
        return outcome in _TIMED and endpoint.silent_since > now - took

    def counts_as_failed(self, request_class: RequestClass, outcome: Outcome, took: int) -> bool:
        """Returns whether an attempt that took so long (us) counts as failed.

        A late one does in an overload: else the reduction would wait until requests miss their deadlines.
        """
        if outcome is not Outcome.SUCCEEDED:
            return True
        return self.concurrency.is_overloaded and is_late(request_class, took)

    def counts_for_tier(self, request: RequestState, endpoint: Endpoint) -> bool:
        """Returns whether an attempt is a sample of the tier: only those at its request's first endpoint.

        One request that finds five endpoints full in a row would count as five.
        """
        return request.attempts[0].endpoint is endpoint

    def learn(self, request: RequestState, endpoint: Endpoint, now: int, outcome: Outcome, took: int) -> None:
        """Takes the end of an attempt, which took so long (us), into the limit and the scopes."""
        request_class = request.request_class
        if self.tells_of_load(endpoint, now, outcome, took):
            ratio = took / request_class.latency_objective
            self.concurrency.learn_latency(ratio, endpoint.relative_latency)
        is_failed = self.counts_as_failed(request_class, outcome, took)
        self.throttling.add_endpoint_sample(endpoint.entries, request.class_index, is_failed=is_failed)
        if self.cross_zone_cost and endpoint.zone == self.zone:
            is_poor = is_failed or is_late(request_class, took)
            self.throttling.add_zone_sample(self.cross_zone_cost, is_failed=is_poor)
        if self.counts_for_tier(request, endpoint):
            # A failure of an endpoint's own says nothing of the tier, unless the tier is in an overload.
            is_tiers = self.concurrency.is_overloaded or outcome.proves_not_executed
            self.throttling.add_tier_sample(is_failed=is_failed and is_tiers)
