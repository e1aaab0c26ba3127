"""Admission of requests: tenant quotas, priorities, the concurrency limit, key queues and reductions.

Times are in microseconds.
"""

from collections.abc import Callable

from dahliabend.model import PolicySettings
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.deadlines import Deadlines
from dahliabend.policy.records import Endpoint, RequestState
from dahliabend.policy.selection import EndpointSelection
from dahliabend.policy.throttling import Throttling

NO_QUOTA = 1e12  # requests per second
MICROSECONDS_PER_SECOND = 1e6


def class_priorities(settings: PolicySettings) -> list[float]:
    """Return the priority of each request class, 0 to 1.

    The larger the weight of the worst-served class in the operators' goal, the closer the priorities are to
    1: otherwise the class with the smallest priority weight would become the worst-served one.
    """
    overall = settings.overall_weight
    weight_effect = overall / ((overall + settings.worst_class_weight) or 1.0)
    max_weight = max(each.priority_weight for each in settings.request_classes) or 1.0
    return [1 - weight_effect * (1 - each.priority_weight / max_weight) for each in settings.request_classes]


class Admission:
    """The decision whether a request is admitted.

    Attributes:
        priorities: By request class, 0 to 1.
        quotas: By tenant, this balancer's share (requests per microsecond).
        tokens: By tenant, what is left of its quota, and when it was last filled up.
        new_requests: Requests in the open window that are not retries by their client.
    """

    def __init__(
        self,
        settings: PolicySettings,
        random: Callable[[], float],
        selection: EndpointSelection,
        deadlines: Deadlines,
    ) -> None:
        self.random = random
        self.throttling: Throttling = selection.throttling
        self.concurrency: ConcurrencyLimit = selection.concurrency
        self.selection = selection
        self.deadlines = deadlines
        self.is_entry_tier = settings.is_entry_tier
        self.over_quota_weight = settings.over_quota_weight
        self.priorities = class_priorities(settings)
        self.quotas = [
            (quota or NO_QUOTA) / settings.instance_count / MICROSECONDS_PER_SECOND
            for quota in settings.tenant_quotas
        ]
        self.tokens = [(quota * self.throttling.window, 0) for quota in self.quotas]
        self.new_requests = 0

    def admits(self, request: RequestState, tenant: int, now: int, *, is_client_retry: bool) -> bool:
        """Return whether a tenant's request is admitted at `now`; lower its priority if it is over quota.

        Only the entry tier decides: requests at the tiers behind it are part of work that has already begun.
        """
        self.new_requests += not is_client_retry
        if not self.is_entry_tier:
            return True
        if tenant < len(self.quotas) and not self.is_within_quota(tenant, now):
            request.priority *= self.over_quota_weight
        return self.concurrency.admits(request.priority)

    def is_within_quota(self, tenant: int, now: int) -> bool:
        """Return whether a request of a tenant at `now` is within its quota, and count it.

        The quota is a token bucket whose capacity is the quota of one window: with a larger one, the burst of
        one tenant would delay all others.
        """
        quota = self.quotas[tenant]
        tokens, filled_at = self.tokens[tenant]
        tokens = min(max(1.0, quota * self.throttling.window), tokens + quota * (now - filled_at))
        is_within = tokens >= 1
        self.tokens[tenant] = (tokens - is_within, now)
        return is_within

    def may_queue(self, request: RequestState, now: int, wait: int) -> bool:
        """Return whether a request may wait this long from `now` on for the turn of its key.

        Otherwise the queue would grow beyond what can be served in time. A request whose body is still being
        received may not wait, because nothing would read the body meanwhile.
        """
        return not request.body_pending and self.deadlines.can_wait(request, now, wait)

    def apply_reductions(self, request: RequestState, endpoint: Endpoint, now: int) -> Endpoint | None:
        """Return where a request goes at `now`, given the chosen endpoint and the valid reductions.

        With the probability of the reduction that applies to the chosen endpoint, the request goes to another
        one, which is known to have no reduction. Where there is none, no single endpoint is at fault, and the
        tier's reduction decides. Returns None if the request is rejected.
        """
        narrowest_entry = self.throttling.narrowest_entry(endpoint.entries, request.class_index, now)
        if narrowest_entry is not self.throttling.tier:
            if self.random() >= narrowest_entry.valid_reduction(now):
                return endpoint
            other_endpoint = self.selection.choose(request, now, without_reduction=True)
            if other_endpoint is not None:
                return other_endpoint
        is_rejected = self.throttling.tier.reduction and self.is_rejected_by_tier_reduction(request, now)
        return None if is_rejected else endpoint

    def is_rejected_by_tier_reduction(self, request: RequestState, now: int) -> bool:
        """Return whether a request is rejected at `now` because of the tier's reduction.

        Only the entry tier rejects, and it rejects requests of low priority more often: otherwise an
        overloaded tier would fail valuable requests as well.
        """
        if not self.is_entry_tier:
            return False
        reduction = self.throttling.tier.valid_reduction(now)
        if not reduction:
            return False
        priority_factor = 1 + self.concurrency.mean_priority - request.priority
        return self.random() < reduction * priority_factor

    def take_new_requests(self) -> int:
        """Return the number of new requests in the window, and reset it for the next one."""
        count = self.new_requests
        self.new_requests = 0
        return count
