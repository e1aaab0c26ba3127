"""The adaptive concurrency limit and the quotas of tenants: beyond them low priorities are rejected first."""

from dahliabend.model import Settings
from dahliabend.policy.throttling import TIER_FLOOR, VALIDITY_WINDOWS, WINDOW_TICKS, Throttling, updated_mean

INITIAL_LIMIT, MINIMUM_LIMIT = 5, 4  # attempts in flight an endpoint, all balancers together
LATENCY_TARGET = 1 / 3  # latency by objective: a higher mean is an overload; kept between the next two,
LEAST_TARGET, MOST_TARGET = 4 / 3, 3  # of the least such mean seen
INITIAL_GROWTH, GROWTH, DECREASE = 3 / 2, 5 / 4, 1 / 2  # the most that an adjustment may change
FORGETTING = 1 / 1024  # by which the least latency ratio seen creeps up at each adjustment
SLOW_ENDPOINT = 3 / 2  # of the usual latency: the most by which a slow endpoint's attempts tell less
EQUAL_SHARE = 3 / 5  # of the limit, whatever the priority; above it the more valuable go first


class ConcurrencyLimit:
    """Attempts in flight, but for those at ejected endpoints, and how many may be."""

    def __init__(self, settings: Settings, throttling: Throttling) -> None:
        self.throttling, self.others_share = throttling, 1 - 1 / settings.instance_count
        self.in_flight = self.in_flight_elsewhere = 0  # the latter: of a process beside this one
        self.limit = self.mean_in_flight = self.sustained_in_flight = 0.0  # sustained: without overload
        self.latency_ratio = self.least_latency_ratio = self.mean_latency = self.mean_priority = 0.0
        self.ticks = self.adjusted_at = self.succeeded = 0  # succeeded, has_rejected: since it was adjusted
        self.is_overloaded = self.has_rejected = False
        self.quotas = [(q or 1e12) / settings.instance_count / 1e6 for q in settings.tenant_quotas]
        self.tokens = [(quota * throttling.window, 0) for quota in self.quotas]  # left, and when

    def is_within_quota(self, tenant: int, now: int) -> bool:
        quota, (tokens, then) = self.quotas[tenant], self.tokens[tenant]
        tokens = min(max(1.0, quota * self.throttling.window), tokens + quota * (now - then))
        self.tokens[tenant] = (tokens - (tokens >= 1), now)
        return tokens >= 1

    def admits(self, priority: float) -> bool:  # crowded endpoints choke before they refuse
        self.mean_priority = updated_mean(self.mean_priority, priority)
        limit = self.limit * (EQUAL_SHARE + (1 - EQUAL_SHARE) * priority)
        in_flight = self.in_flight + self.in_flight_elsewhere
        self.mean_in_flight = updated_mean(self.mean_in_flight, in_flight)
        limit += (limit * self.others_share) ** 0.5 if self.mean_in_flight < limit else 0.0  # for chance
        self.has_rejected = self.has_rejected or in_flight >= limit
        return in_flight < limit

    def add_latency(self, ratio: float, relative_latency: float) -> None:  # by objective; of a slow one less
        ratio = min(1.0, ratio) / max(1.0, min(relative_latency, SLOW_ENDPOINT))
        self.latency_ratio = updated_mean(self.latency_ratio, ratio)

    def tick(self, now: int, endpoints_each: float) -> None:
        self.ticks, elapsed = self.ticks + 1, now - self.adjusted_at
        enough = self.throttling.tier_floor(elapsed) if self.adjusted_at else TIER_FLOOR
        if self.succeeded >= enough and elapsed >= max(self.throttling.window // 2, 2 * self.mean_latency):
            self.adjust(now, endpoints_each)  # a change shows only after a latency or two

    def adjust(self, now: int, endpoints_each: float) -> None:
        crept = self.least_latency_ratio * (1 + FORGETTING)
        self.least_latency_ratio = least = min(self.latency_ratio, crept) if crept else self.latency_ratio
        change = max(min(LATENCY_TARGET, MOST_TARGET * least), LEAST_TARGET * least) / self.latency_ratio
        self.is_overloaded = change < 1
        if self.is_overloaded:
            self.limit = max(DECREASE, change) * min(self.limit, max(self.in_flight, self.mean_in_flight))
        else:
            all_in_flight = self.in_flight + self.in_flight_elsewhere
            self.sustained_in_flight = updated_mean(self.sustained_in_flight, all_in_flight)
            is_new = self.ticks <= WINDOW_TICKS * VALIDITY_WINDOWS
            self.limit *= min(INITIAL_GROWTH if is_new else GROWTH, change) if self.has_rejected else 1.0
        self.limit = max(self.limit, MINIMUM_LIMIT * endpoints_each, self.sustained_in_flight / 2)
        self.succeeded, self.has_rejected, self.adjusted_at = 0, False, now
