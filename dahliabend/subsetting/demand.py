"""How much a balancer is asked, as it announces it to the others by its weight in the view. Free of I/O.

Only changes that make a difference are announced: growth at once, so that the balancer gets more upstreams
while it needs them; a decrease only once it has lasted, so that a lull moves nobody's connections.
"""

from dataclasses import dataclass

SECOND = 1_000_000  # microseconds
MIN_DEMAND = 1.0  # requests per second that a balancer without any counts for
UNKNOWN_DEMAND_WEIGHT = (
    1e-3  # weights up to this say nothing yet: the balancer counts as the mean of the others
)
NOISE_DEVIATIONS = 4.0  # standard deviations of a count; a smaller change may be chance
ANNOUNCED_DECIMALS = 2


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """When a change of demand is announced. Times are microseconds.

    Attributes:
        averaging_time: Time over which the rate is averaged.
        rise: Multiple of the announced demand from which growth is announced.
        fall: Fraction of the announced demand below which demand is low.
        low_time: How long demand has to be low before the decrease is announced.
        min_interval: Least time between two announcements: each is an update for the whole fleet.
    """

    averaging_time: int = 10 * SECOND
    rise: float = 5 / 4
    fall: float = 3 / 5
    low_time: int = 60 * SECOND
    min_interval: int = 10 * SECOND


class DemandEstimator:
    """Demand of one balancer. Times are microseconds, rates requests per second.

    Attributes:
        settings: When a change is announced.
        rate: Average rate of requests.
        announced: Demand as it was last announced; 0 before.
        announced_at: When it was.
        low_since: Since when demand is low; 0 while it is not.
        peak_since_low: Highest rate since then.
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
        """Take the number of requests that have come in all.

        Returns:
            The demand to be announced as this balancer's weight, or None if none is.
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
        """Move the average towards the rate since the last count."""
        span = now - self._counted_at
        arrived = count - self._count
        self._count = count
        self._counted_at = now
        averaging_time = min(max(span, self.settings.averaging_time), now - self._started_at)
        self.rate += (arrived * SECOND / span - self.rate) * span / averaging_time

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
        """Whether the rate is above the announced one by more than chance."""
        expected_count = max(self.announced, MIN_DEMAND) * SECOND / self.settings.averaging_time
        noise = NOISE_DEVIATIONS * float(expected_count**0.5)
        return rate > max(self.announced * self.settings.rise, self.announced + noise)

    def _announce(self, now: int, rate: float) -> float:
        self.announced = rate
        self.announced_at = now
        self._end_low()
        return round(self.announced, ANNOUNCED_DECIMALS)
