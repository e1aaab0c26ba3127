"""Whether a request may come in: quotas, priorities, the limit, its key's queue, reductions that are held."""

from collections.abc import Callable

from dahliabend.model import Settings
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.deadlines import Deadlines
from dahliabend.policy.records import Endpoint, RequestState
from dahliabend.policy.selection import EndpointSelection
from dahliabend.policy.throttling import Throttling

NO_QUOTA = 1e12  # requests a second
MICROSECONDS_PER_SECOND = 1e6


def class_priorities(settings: Settings) -> list[float]:
    """Return the priority of each request class, 0 to 1.

    By priority weight, the less so the more the operators' goal weighs the worst-served class: served last, a
    class of little weight would be that one.
    """
    overall = settings.overall_weight
    weight_effect = overall / ((overall + settings.worst_class_weight) or 1.0)
    max_weight = max(each.priority_weight for each in settings.request_classes) or 1.0
    return [1 - weight_effect * (1 - each.priority_weight / max_weight) for each in settings.request_classes]


class Admission:
    """What is admitted.

    Attributes:
        priorities: By request class, 0 to 1.
        quotas: By tenant, this balancer's part (requests a microsecond).
        tokens: By tenant, what is left of its quota, and since when (us).
        new_requests: Requests in the open window that no client repeats.
    """

    def __init__(
        self,
        settings: Settings,
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

    def admits(self, request: RequestState, tenant: int, now: int, *, is_repeat: bool) -> bool:
        """Return whether a tenant's request may come in at a time (us); lowers its priority over quota.

        Decided at the entry tier alone: calls of the tiers behind are work already paid for.
        """
        self.new_requests += not is_repeat
        if not self.is_entry_tier:
            return True
        if tenant < len(self.quotas) and not self.is_within_quota(tenant, now):
            request.priority *= self.over_quota_weight
        return self.concurrency.admits(request.priority)

    def is_within_quota(self, tenant: int, now: int) -> bool:
        """Return whether a tenant's request at a time (us) is within its quota, and counts it.

        A token bucket of one window: beyond it, one tenant's burst would cost all the others.
        """
        quota = self.quotas[tenant]
        tokens, filled_at = self.tokens[tenant]
        tokens = min(max(1.0, quota * self.throttling.window), tokens + quota * (now - filled_at))
        is_within = tokens >= 1
        self.tokens[tenant] = (tokens - is_within, now)
        return is_within

    def may_queue(self, request: RequestState, now: int, wait: int) -> bool:
        """Return whether a request may wait for its key's turn, for so long from now on (us).

        Its queue would grow beyond what can still be served in time. One whose body is still being received
        may not: nothing would read the body meanwhile.
        """
        return not request.body_pending and self.deadlines.can_wait(request, now, wait)

    def apply_reductions(self, request: RequestState, endpoint: Endpoint, now: int) -> Endpoint | None:
        """Return where a request goes at a time (us), of the endpoint chosen and the reductions held.

        With the probability of the endpoint's valid reduction it goes to an endpoint known to hold none.
        Where no other is free of reductions, none is at fault alone, and the tier's decides; None: rejected.
        """
        governing_entry = self.throttling.governing_entry(endpoint.entries, request.class_index, now)
        if governing_entry is not self.throttling.tier:
            if self.random() >= governing_entry.valid_reduction(now):
                return endpoint
            unthrottled = self.selection.choose(request, now, unthrottled=True)
            if unthrottled is not None:
                return unthrottled
        is_reduced = self.throttling.tier.reduction and self.is_reduced_by_tier(request, now)
        return None if is_reduced else endpoint

    def is_reduced_by_tier(self, request: RequestState, now: int) -> bool:
        """Return whether a request is rejected at a time (us) for the tier's reduction.

        At the entry tier alone, low priorities more often: an overloaded tier would lose the valuable too.
        """
        if not self.is_entry_tier:
            return False
        reduction = self.throttling.tier.valid_reduction(now)
        if not reduction:
            return False
        priority_factor = 1 + self.concurrency.mean_priority - request.priority
        return self.random() < reduction * priority_factor

    def take_new_requests(self) -> int:
        """Return how many requests have come in the window that no client repeats, and begins the next."""
        count = self.new_requests
        self.new_requests = 0
        return count
