"""The adaptive concurrency limit: how many attempts may be in flight, by the latency of those that ended.

Times are in microseconds.
"""

from dahliabend.model import PolicySettings, StoredLimit
from dahliabend.policy.moving_average import ewma
from dahliabend.policy.records import Attempt, Endpoint, RequestState
from dahliabend.policy.throttling import MIN_TIER_SAMPLES, VALIDITY_WINDOWS, WINDOW_TICKS, Throttling

INITIAL_LIMIT_PER_ENDPOINT = 5  # attempts in flight, of all balancers together
MIN_LIMIT_PER_ENDPOINT = 4  # attempts in flight, of all balancers together
# Ratio of mean latency to latency objective above which there is an overload, kept between the bounds below.
BASE_LATENCY_TARGET = 1 / 3
MIN_TARGET_FACTOR = 4 / 3  # times the lowest ratio observed
MAX_TARGET_FACTOR = 3  # times the lowest ratio observed
MAX_INITIAL_GROWTH_FACTOR = 3 / 2  # for an adjustment that raises the limit during the first validity
MAX_GROWTH_FACTOR = 5 / 4  # for later adjustments that raise the limit
MIN_DECREASE_FACTOR = 1 / 2  # for an adjustment that lowers the limit
MIN_RATIO_DRIFT = 1 / 1024  # relative increase of the lowest observed ratio at each adjustment, to forget it
MAX_SLOWNESS_DISCOUNT = 3 / 2  # largest divisor for the latency of an endpoint that is slow at any load
ALL_PRIORITIES_SHARE = 3 / 5  # of the limit, open to all priorities; above it, higher priorities go first


class ConcurrencyLimit:
    """The number of attempts in flight and its limit; attempts at ejected endpoints don't count.

    Attributes:
        in_flight: Attempts of this balancer at endpoints that are not ejected.
        in_flight_in_other_processes: Attempts of other processes of this balancer; set by the driver.
        limit: How many attempts may be in flight.
        mean_in_flight: Mean number in flight in all processes, sampled at admissions.
        sustained_in_flight: Mean number in flight in all processes, sampled at adjustments without overload.
        latency_ratio: Mean ratio of latency to latency objective.
        min_latency_ratio: The lowest such mean observed, which slowly drifts upwards.
        mean_latency: Mean latency of successful attempts of all classes.
        mean_priority: Mean priority of the requests that ask for admission.
        ticks: Number of ticks since the start.
        adjusted_at: When the limit was last adjusted.
        succeeded: Successful attempts since the last adjustment.
        was_limit_reached: Whether the limit has been reached since the last adjustment.
        is_overloaded: Whether the last adjustment lowered the limit.
    """

    def __init__(self, settings: PolicySettings, throttling: Throttling) -> None:
        self.throttling = throttling
        self.others_share = 1 - 1 / settings.instance_count
        self.in_flight = 0
        self.in_flight_in_other_processes = 0
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
        self.was_limit_reached = False
        self.is_overloaded = False

    # Rules

    def admits(self, priority: float) -> bool:
        """Return whether one more request with this priority (0 to 1) may be admitted.

        Without a limit here, endpoints beyond their capacity slow down all requests before they reject any.
        """
        self.mean_priority = ewma(self.mean_priority, priority)
        limit = self.limit * (ALL_PRIORITIES_SHARE + (1 - ALL_PRIORITIES_SHARE) * priority)
        in_flight = self.in_flight + self.in_flight_in_other_processes
        self.mean_in_flight = ewma(self.mean_in_flight, in_flight)
        # One of many balancers may exceed its share by chance while the others are below theirs.
        limit += (limit * self.others_share) ** 0.5 if self.mean_in_flight < limit else 0.0
        self.was_limit_reached = self.was_limit_reached or in_flight >= limit
        return in_flight < limit

    def is_all_priorities_share_full(self) -> bool:
        """Return whether the part of the limit that is open to all priorities is in use.

        Below it there is room for every request, and nothing is gained by rejecting any.
        """
        return self.in_flight >= ALL_PRIORITIES_SHARE * self.limit

    def is_adjustment_due(self, now: int) -> bool:
        """Return whether the limit is to be adjusted at `now`.

        A change takes one or two latencies to show its effect; with earlier adjustments the limit would
        oscillate.
        """
        elapsed = now - self.adjusted_at
        min_successes = self.throttling.min_tier_samples(elapsed) if self.adjusted_at else MIN_TIER_SAMPLES
        min_interval = max(self.throttling.window // 2, 2 * self.mean_latency)
        return self.succeeded >= min_successes and elapsed >= min_interval

    def latency_target(self) -> float:
        """Return the ratio of latency to objective above which there is an overload.

        It depends on the lowest ratio observed: fast endpoints are overloaded long before they miss the
        objective, and slow endpoints are not overloaded merely because they are slow.
        """
        lowest = self.min_latency_ratio
        return max(min(BASE_LATENCY_TARGET, MAX_TARGET_FACTOR * lowest), MIN_TARGET_FACTOR * lowest)

    def adjust(self, now: int, endpoints_per_instance: float) -> None:
        """Lower the limit in an overload; raise it if it was reached without an overload.

        `endpoints_per_instance`, the number of ready endpoints per balancer, determines the minimum of the
        limit.
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
            all_in_flight = self.in_flight + self.in_flight_in_other_processes
            self.sustained_in_flight = ewma(self.sustained_in_flight, all_in_flight)
            is_first_validity = self.ticks <= WINDOW_TICKS * VALIDITY_WINDOWS
            self.limit *= (
                min(MAX_INITIAL_GROWTH_FACTOR if is_first_validity else MAX_GROWTH_FACTOR, factor)
                if self.was_limit_reached
                else 1.0
            )
        self.limit = max(
            self.limit, MIN_LIMIT_PER_ENDPOINT * endpoints_per_instance, self.sustained_in_flight / 2
        )
        self.succeeded = 0
        self.was_limit_reached = False
        self.adjusted_at = now

    # Events

    def ensure_limit(self, endpoints_per_instance: float) -> None:
        """Set the limit, if it isn't set yet, from the number of ready endpoints per balancer.

        Where that number is below 1 its square root is used, to leave room for random variation.
        """
        self.limit = self.limit or INITIAL_LIMIT_PER_ENDPOINT * max(
            endpoints_per_instance, endpoints_per_instance**0.5
        )

    def tick(self, now: int, endpoints_per_instance: float) -> None:
        """Count a tick, and adjust the limit if that is due at `now`."""
        self.ticks += 1
        if self.is_adjustment_due(now):
            self.adjust(now, endpoints_per_instance)

    def attempt_began(self, request: RequestState, attempt: Attempt) -> None:
        """Add an attempt to those in flight."""
        endpoint = attempt.endpoint
        endpoint.in_flight[request] = attempt
        self.in_flight += not endpoint.is_ejected

    def attempt_ended(self, request: RequestState, endpoint: Endpoint) -> None:
        """Remove an attempt from those in flight; a second call has no effect."""
        if endpoint.in_flight.pop(request, None) is not None and not endpoint.is_ejected:
            self.in_flight -= 1

    def endpoint_ejected(self, endpoint: Endpoint) -> None:
        """Stop counting the attempts at an ejected endpoint: they indicate no overload of other endpoints."""
        self.in_flight -= len(endpoint.in_flight)

    def endpoint_restored(self, endpoint: Endpoint) -> None:
        """Count the attempts at a restored endpoint again."""
        self.in_flight += len(endpoint.in_flight)

    def record_success(self, duration: int) -> None:
        """Record the duration of a successful attempt."""
        self.mean_latency = ewma(self.mean_latency, duration)
        self.succeeded += 1

    def record_latency(self, ratio: float, relative_latency: float) -> None:
        """Record the ratio of an attempt's latency to its objective, discounted for a slow endpoint."""
        ratio = min(1.0, ratio) / max(1.0, min(relative_latency, MAX_SLOWNESS_DISCOUNT))
        self.latency_ratio = ewma(self.latency_ratio, ratio)

    def snapshot(self) -> StoredLimit:
        """Return the state that is handed over to the next policy."""
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
        """Restore the state that the previous policy handed over."""
        self.limit = stored.limit
        self.mean_in_flight = stored.mean_in_flight
        self.sustained_in_flight = stored.sustained_in_flight
        self.latency_ratio = stored.latency_ratio
        self.min_latency_ratio = stored.min_latency_ratio
        self.mean_latency = stored.mean_latency
        self.ticks = stored.ticks
        self.is_overloaded = stored.is_overloaded
