"""How much a balancer is asked, as it tells the others by its weight in the view. Free of I/O.

Each tells only what makes a difference: growth at once, so that it gets more upstreams while it needs them;
less only once it has lasted, so that a lull moves nobody's connections. In between the view stands still.
"""

from dataclasses import dataclass

S = 1_000_000
LEAST = 1.0  # transactions a second: one that is asked nothing still counts as somebody
UNTOLD = 1e-3  # a weight so small says nothing yet: it counts as the mean of those that have told theirs
SURE = 4.0  # deviations of a count, by chance alone: a smaller change is none


@dataclass(frozen=True, slots=True)
class Terms:
    """Spans in microseconds."""

    memory: int = 10 * S  # over which it takes the mean
    rises: float = 5 / 4  # of what was told: from there on more is told
    falls: float = 3 / 5  # of what was told: below for `lasts`, less is told
    lasts: int = 60 * S
    apart: int = 10 * S  # between two tellings at the least: each is a rumour for the whole fleet


class Demand:
    def __init__(self, terms: Terms | None = None) -> None:
        self.terms = terms or Terms()
        self.began = self.count = self.at = 0  # since when, and when it was last told how many
        self.rate = 0.0  # transactions a second, in the mean
        self.told, self.when = 0.0, 0
        self.low, self.most = 0, 0.0  # since when it is low, and the most that it has been since

    def counted(self, now: int, count: int) -> float | None:
        """Told how many transactions have come in all; a weight, where another is to be told."""
        if not self.at:
            self.began, self.count, self.at, self.when = now, count, now, now
            return None
        span, came, terms = now - self.at, count - self.count, self.terms
        if span <= 0:
            return None
        self.count, self.at = count, now
        self.rate += (came * S / span - self.rate) * span / min(max(span, terms.memory), now - self.began)
        rate = max(LEAST, self.rate)
        if rate >= self.told * terms.falls:
            self.low, self.most = 0, 0.0
        else:
            self.low, self.most = self.low or now, max(self.most, rate)
        if now - self.when < terms.apart:
            return None
        noise = SURE * (max(self.told, LEAST) * S / terms.memory) ** 0.5
        if rate > max(self.told * terms.rises, self.told + noise):
            self.told = rate
        elif self.low and now - self.low >= terms.lasts:
            self.told = self.most
        else:
            return None
        self.when, self.low, self.most = now, 0, 0.0
        return round(self.told, 2)
