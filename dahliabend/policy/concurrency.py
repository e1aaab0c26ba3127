"""The adaptive concurrency limit: attempts in flight, by the latency of those that ended."""

from dahliabend.model import Settings, StoredLimit
from dahliabend.policy.moving_average import ewma
from dahliabend.policy.records import Attempt, Endpoint, RequestState
from dahliabend.policy.throttling import MIN_TIER_SAMPLES, VALIDITY_WINDOWS, WINDOW_TICKS, Throttling

INITIAL_LIMIT_PER_ENDPOINT = 5  # attempts in flight an endpoint, all balancers together
MIN_LIMIT_PER_ENDPOINT = 4  # attempts in flight an endpoint, all balancers together
BASE_LATENCY_TARGET = (
    1 / 3
)  # mean latency by objective: a higher one is an overload; kept between the next two
MIN_TARGET_FACTOR = 4 / 3  # of the lowest mean latency by objective seen
MAX_TARGET_FACTOR = 3  # of the lowest mean latency by objective seen
MAX_INITIAL_GROWTH_FACTOR = 3 / 2  # the most by which an adjustment raises the limit, in the first validity
MAX_GROWTH_FACTOR = 5 / 4  # the most by which an adjustment raises the limit, afterwards
MIN_DECREASE_FACTOR = 1 / 2  # the most by which an adjustment lowers the limit
MIN_RATIO_DRIFT = 1 / 1024  # by which the lowest latency ratio seen creeps up at each adjustment
MAX_SLOWNESS_DISCOUNT = 3 / 2  # relative latency: the most by which a slow endpoint's attempts tell less
ALL_PRIORITIES_SHARE = 3 / 5  # of the limit, whatever the priority; above it higher priorities go first


class ConcurrencyLimit:
    """Attempts in flight, but for those at ejected endpoints, and how many may be.

    Attributes:
        in_flight: Attempts of this balancer at endpoints that are not ejected.
        in_flight_elsewhere: Those of a process beside this one; the driver sets it.
        limit: How many may be in flight.
        mean_in_flight: Mean of both together, at admissions.
        sustained_in_flight: Mean of both together, at adjustments without an overload.
        latency_ratio: Mean latency by latency objective.
        min_latency_ratio: The lowest such mean seen, slowly forgotten.
        mean_latency: Mean latency of successes, of all classes (us).
        mean_priority: Mean priority of requests that ask for admission.
        ticks: Since the start.
        adjusted_at: When the limit was adjusted last (us).
        succeeded: Successes since then.
        has_rejected: Whether the limit was reached since then.
        is_overloaded: Whether the last adjustment lowered the limit.
    """

    def __init__(self, settings: Settings, throttling: Throttling) -> None:
        self.throttling = throttling
        self.others_share = 1 - 1 / settings.instance_count
        self.in_flight = 0
        self.in_flight_elsewhere = 0
        self.limit = 0.0
        self.mean_in_flight = 0.0
        self.sustained_in_flight = 0.0
        self.latency_ratio = 0.0
        self.min_latency_ratio = 0.0
        self.mean_latency = 0.0
        self.mean_priority = 0.0
        self.ticks = 0
        self.adjusted_at = 0
        self.succeeded = 0
        self.has_rejected = False
        self.is_overloaded = False

    # The rules.

    def admits(self, priority: float) -> bool:
        """Return whether one more request of a priority (0 to 1) may come in.

        Endpoints beyond their capacity slow down all requests before they reject any.
        """
        self.mean_priority = ewma(self.mean_priority, priority)
        limit = self.limit * (ALL_PRIORITIES_SHARE + (1 - ALL_PRIORITIES_SHARE) * priority)
        in_flight = self.in_flight + self.in_flight_elsewhere
        self.mean_in_flight = ewma(self.mean_in_flight, in_flight)
        # One of many balancers exceeds its part by chance while the others are below theirs.
        limit += (limit * self.others_share) ** 0.5 if self.mean_in_flight < limit else 0.0
        self.has_rejected = self.has_rejected or in_flight >= limit
        return in_flight < limit

    def is_nearly_full(self) -> bool:
        """Return whether the share of the limit that is open to all priorities is in flight.

        Below it there are places for all, and nothing is gained by rejecting any.
        """
        return self.in_flight >= ALL_PRIORITIES_SHARE * self.limit

    def is_adjustment_due(self, now: int) -> bool:
        """Return whether the limit is to be adjusted at a time (us).

        A change shows only after a latency or two; adjusted sooner, the limit would swing.
        """
        elapsed = now - self.adjusted_at
        min_successes = self.throttling.min_tier_samples(elapsed) if self.adjusted_at else MIN_TIER_SAMPLES
        min_interval = max(self.throttling.window // 2, 2 * self.mean_latency)
        return self.succeeded >= min_successes and elapsed >= min_interval

    def latency_target(self) -> float:
        """Return the latency by objective above which there is an overload.

        Bound to the lowest one seen: fast endpoints are overloaded long before they miss the objective, and
        slow ones are not merely for being slow.
        """
        lowest = self.min_latency_ratio
        return max(min(BASE_LATENCY_TARGET, MAX_TARGET_FACTOR * lowest), MIN_TARGET_FACTOR * lowest)

    def adjust(self, now: int, endpoints_per_instance: float) -> None:
        """Lower the limit in an overload; raises it where it was reached without one.

        Takes the time (us) and the number of ready endpoints for each balancer, which bounds the limit below.
        """
        drifted_minimum = self.min_latency_ratio * (1 + MIN_RATIO_DRIFT)
        self.min_latency_ratio = (
            min(self.latency_ratio, drifted_minimum) if drifted_minimum else self.latency_ratio
        )
        factor = self.latency_target() / self.latency_ratio
        self.is_overloaded = factor < 1
        if self.is_overloaded:
            self.limit = max(MIN_DECREASE_FACTOR, factor) * min(
                self.limit, max(self.in_flight, self.mean_in_flight)
            )
        else:
            all_in_flight = self.in_flight + self.in_flight_elsewhere
            self.sustained_in_flight = ewma(self.sustained_in_flight, all_in_flight)
            is_first_validity = self.ticks <= WINDOW_TICKS * VALIDITY_WINDOWS
            self.limit *= (
                min(MAX_INITIAL_GROWTH_FACTOR if is_first_validity else MAX_GROWTH_FACTOR, factor)
                if self.has_rejected
                else 1.0
            )
        self.limit = max(
            self.limit, MIN_LIMIT_PER_ENDPOINT * endpoints_per_instance, self.sustained_in_flight / 2
        )
        self.succeeded = 0
        self.has_rejected = False
        self.adjusted_at = now

    # What happens.

    def start(self, endpoints_per_instance: float) -> None:
        """Set the first limit, by the number of ready endpoints for each balancer.

        Where that is below 1 its root allows for chance.
        """
        self.limit = self.limit or INITIAL_LIMIT_PER_ENDPOINT * max(
            endpoints_per_instance, endpoints_per_instance**0.5
        )

    def tick(self, now: int, endpoints_per_instance: float) -> None:
        """Adjust the limit if it is due at a time (us)."""
        self.ticks += 1
        if self.is_adjustment_due(now):
            self.adjust(now, endpoints_per_instance)

    def attempt_began(self, request: RequestState, attempt: Attempt) -> None:
        """Count an attempt in."""
        endpoint = attempt.endpoint
        endpoint.in_flight[request] = attempt
        self.in_flight += not endpoint.is_ejected

    def attempt_ended(self, request: RequestState, endpoint: Endpoint) -> None:
        """Count an attempt out; the second time changes nothing."""
        if endpoint.in_flight.pop(request, None) is not None and not endpoint.is_ejected:
            self.in_flight -= 1

    def endpoint_ejected(self, endpoint: Endpoint) -> None:
        """Leave out an endpoint's attempts: they are no sign of an overload elsewhere."""
        self.in_flight -= len(endpoint.in_flight)

    def endpoint_restored(self, endpoint: Endpoint) -> None:
        """Count an endpoint's attempts again."""
        self.in_flight += len(endpoint.in_flight)

    def record_success(self, duration: int) -> None:
        """Learn from a success that took so long (us)."""
        self.mean_latency = ewma(self.mean_latency, duration)
        self.succeeded += 1

    def record_latency(self, ratio: float, relative_latency: float) -> None:
        """Learn from an attempt's latency by objective, the less the slower its endpoint is at any time."""
        ratio = min(1.0, ratio) / max(1.0, min(relative_latency, MAX_SLOWNESS_DISCOUNT))
        self.latency_ratio = ewma(self.latency_ratio, ratio)

    def snapshot(self) -> StoredLimit:
        """Return what is handed over to the decisions that follow."""
        return StoredLimit(
            limit=self.limit,
            mean_in_flight=self.mean_in_flight,
            sustained_in_flight=self.sustained_in_flight,
            latency_ratio=self.latency_ratio,
            min_latency_ratio=self.min_latency_ratio,
            mean_latency=self.mean_latency,
            ticks=self.ticks,
            is_overloaded=self.is_overloaded,
        )

    def restore(self, stored: StoredLimit) -> None:
        """Go on from what was handed over."""
        self.limit = stored.limit
        self.mean_in_flight = stored.mean_in_flight
        self.sustained_in_flight = stored.sustained_in_flight
        self.latency_ratio = stored.latency_ratio
        self.min_latency_ratio = stored.min_latency_ratio
        self.mean_latency = stored.mean_latency
        self.ticks = stored.ticks
        self.is_overloaded = stored.is_overloaded
