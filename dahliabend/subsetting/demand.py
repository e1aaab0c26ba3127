"""Estimate of a balancer's demand, which it announces as its weight in the membership.

Only significant changes are announced: an increase immediately, so that the balancer gets more upstreams
while it needs them; a decrease only once it has lasted, so that a lull does not move connections. The
module does no I/O.
"""

from dataclasses import dataclass

SECOND = 1_000_000  # microseconds
MIN_DEMAND = 1.0  # requests per second with which a balancer without requests is counted
UNKNOWN_DEMAND_WEIGHT = 1e-3  # a balancer with at most this weight counts with the mean of the others
NOISE_DEVIATIONS = 4.0  # standard deviations of the averaged request rate; a smaller change may be random
ANNOUNCED_DECIMALS = 2


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """When a change of demand is announced. Times are in microseconds.

    Attributes:
        averaging_time: Time over which the request rate is averaged.
        rise: Multiple of the announced demand above which an increase is announced.
        fall: Fraction of the announced demand below which demand is low.
        low_time: Time for which demand has to be low before the decrease is announced.
        min_interval: Minimum time between two announcements, as each is an update to the whole fleet.
    """

    averaging_time: int = 10 * SECOND
    rise: float = 5 / 4
    fall: float = 3 / 5
    low_time: int = 60 * SECOND
    min_interval: int = 10 * SECOND


class DemandEstimator:
    """Estimates the demand of one balancer. Times are in microseconds, rates in requests per second.

    Attributes:
        settings: When a change is announced.
        rate: Average rate of requests.
        announced: The demand announced last; 0 before the first announcement.
        announced_at: Time of the last announcement; at first, the time of the first count.
        low_since: Time since which demand is low; 0 while it is not.
        peak_since_low: Highest rate since `low_since`.
    """

    def __init__(self, settings: DemandSettings | None = None) -> None:
        self.settings = settings or DemandSettings()
        self.rate = 0.0
        self.announced = 0.0
        self.announced_at = 0
        self.low_since = 0
        self.peak_since_low = 0.0
        self._started_at = 0
        self._count = 0
        self._counted_at = 0

    def update(self, now: int, count: int) -> float | None:
        """Update the estimate with the total number of requests received so far.

        Returns:
            The demand to announce as this balancer's weight, or None if there is nothing to announce.
        """
        if not self._counted_at:
            self._started_at = now
            self._count = count
            self._counted_at = now
            self.announced_at = now
            return None
        if now <= self._counted_at:
            return None
        self._update_rate(now, count)
        rate = max(MIN_DEMAND, self.rate)
        self._track_low(now, rate)
        if now - self.announced_at < self.settings.min_interval:
            return None
        if self._has_risen(rate):
            return self._announce(now, rate)
        if self.low_since and now - self.low_since >= self.settings.low_time:
            return self._announce(now, self.peak_since_low)
        return None

    def _update_rate(self, now: int, count: int) -> None:
        """Update the moving average with the rate since the last count."""
        elapsed = now - self._counted_at
        new_requests = count - self._count
        self._count = count
        self._counted_at = now
        averaging_time = min(max(elapsed, self.settings.averaging_time), now - self._started_at)
        self.rate += (new_requests * SECOND / elapsed - self.rate) * elapsed / averaging_time

    def _track_low(self, now: int, rate: float) -> None:
        if rate >= self.announced * self.settings.fall:
            self._end_low()
        else:
            self.low_since = self.low_since or now
            self.peak_since_low = max(self.peak_since_low, rate)

    def _end_low(self) -> None:
        self.low_since = 0
        self.peak_since_low = 0.0

    def _has_risen(self, rate: float) -> bool:
        """Return whether the rate exceeds the announced one by more than random variation explains."""
        # The number of requests in the averaging time is taken as Poisson distributed.
        rate_variance = max(self.announced, MIN_DEMAND) * SECOND / self.settings.averaging_time
        noise = NOISE_DEVIATIONS * float(rate_variance**0.5)
        return rate > max(self.announced * self.settings.rise, self.announced + noise)

    def _announce(self, now: int, rate: float) -> float:
        self.announced = rate
        self.announced_at = now
        self._end_low()
        return round(self.announced, ANNOUNCED_DECIMALS)
