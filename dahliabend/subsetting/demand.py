"""How much a balancer is asked, as it tells the others by its weight in the view. Free of I/O.

Each tells only what makes a difference: growth at once, so that it gets more upstreams while it needs them;
less only once it has lasted, so that a lull moves nobody's connections. In between the view stands still.
"""

from dataclasses import dataclass

S = 1_000_000
MIN_DEMAND = 1.0  # transactions a second: one that is asked nothing still counts as somebody
UNKNOWN_DEMAND = (
    1e-3  # a weight so small says nothing yet: it counts as the mean of those that have told theirs
)
SURE = 4.0  # deviations of a count, by chance alone: a smaller change is none


@dataclass(frozen=True, slots=True)
class DemandSettings:
    """Spans in microseconds."""

    memory: int = 10 * S  # over which it takes the mean
    rises: float = 5 / 4  # of what was told: from there on more is told
    falls: float = 3 / 5  # of what was told: below for `lasts`, less is told
    lasts: int = 60 * S
    apart: int = 10 * S  # between two tellings at the least: each is a rumour for the whole fleet


class DemandEstimator:
    def __init__(self, terms: DemandSettings | None = None) -> None:
        self.terms = terms or DemandSettings()
        self.began = self.count = self.at = 0  # since when, and when it was last told how many
        self.rate = 0.0  # transactions a second, in the mean
        self.announced, self.announced_at = 0.0, 0
        self.low_since, self.peak_since_low = (
            0,
            0.0,
        )  # since when it is low, and the most that it has been since

    def update(self, now: int, count: int) -> float | None:
        """Told how many transactions have come in all; a weight, where another is to be told."""
        if not self.at:
            self.began, self.count, self.at, self.announced_at = now, count, now, now
            return None
        span, came, terms = now - self.at, count - self.count, self.terms
        if span <= 0:
            return None
        self.count, self.at = count, now
        self.rate += (came * S / span - self.rate) * span / min(max(span, terms.memory), now - self.began)
        rate = max(MIN_DEMAND, self.rate)
        if rate >= self.announced * terms.falls:
            self.low_since, self.peak_since_low = 0, 0.0
        else:
            self.low_since, self.peak_since_low = self.low_since or now, max(self.peak_since_low, rate)
        if now - self.announced_at < terms.apart:
            return None
        noise = SURE * (max(self.announced, MIN_DEMAND) * S / terms.memory) ** 0.5
        if rate > max(self.announced * terms.rises, self.announced + noise):
            self.announced = rate
        elif self.low_since and now - self.low_since >= terms.lasts:
            self.announced = self.peak_since_low
        else:
            return None
        self.announced_at, self.low_since, self.peak_since_low = now, 0, 0.0
        return round(self.announced, 2)
