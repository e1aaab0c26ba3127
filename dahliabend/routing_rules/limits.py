"""How many requests of a route are admitted: at once, and by time; all of a limit, or a fraction of it."""

from typing import NamedTuple

MIN_PARTIAL_BURST = 3.0  # that a fraction of a limit admits at once, where the whole limit does
BURSTS_PER_SECOND = 10  # a default burst is a tenth of a second at the rate
MICROSECONDS_PER_SECOND = 1e6


class LimitTerms(NamedTuple):
    """A limit as the file has it."""

    concurrency: int | None  # requests in flight; None: any number
    rate: float  # requests a second; 0: any number
    burst: float  # requests at once above the rate


class Limit:
    """A token bucket that fills at the rate up to the burst, and a count of requests in flight.

    Times are whole microseconds.

    >>> limit = Limit(concurrency=2, rate=10.0, burst=1)
    >>> limit.try_acquire(0), limit.try_acquire(0), limit.time_until_token(0)
    (True, False, 100000)
    >>> limit.try_acquire(100_000), limit.try_acquire(500_000), limit.release(), limit.try_acquire(500_000)
    (True, False, None, True)

    Attributes:
        configured: The whole limit.
        fraction: Of it, that is in force here.
        concurrency: Requests in flight that this fraction allows; None: any number.
        rate: Tokens a microsecond of this fraction; 0: any number.
        burst: Tokens that the bucket holds.
        tokens: That are in it.
        filled_at: When it was last filled.
        in_flight: Requests admitted and not yet released.
        requested: Requests since demand was last taken.
        rejected: Of these, the ones without a place.
    """

    __slots__ = (
        "burst",
        "concurrency",
        "configured",
        "filled_at",
        "fraction",
        "in_flight",
        "rate",
        "rejected",
        "requested",
        "tokens",
    )

    def __init__(
        self, concurrency: int | None = None, rate: float | None = None, burst: int | None = None
    ) -> None:
        """Start with a full bucket and nothing in flight.

        Args:
            concurrency: Requests in flight; None: any number.
            rate: Requests a second; None: any number.
            burst: Requests at once above the rate; None: a tenth of a second's, and one at least.
        """
        rate = rate or 0.0
        configured_burst = float(max(1, burst or 0, round(rate / BURSTS_PER_SECOND)))
        self.configured = LimitTerms(concurrency, rate, configured_burst)
        self.in_flight = 0
        self.filled_at = 0
        self.requested = 0
        self.rejected = 0
        self.tokens = configured_burst
        self.set_fraction(1.0)

    def set_fraction(self, fraction: float) -> None:
        """Put only a fraction of the whole limit in force; requests in flight stay so."""
        concurrency, rate, burst = self.configured
        self.fraction = fraction
        self.rate = rate * fraction / MICROSECONDS_PER_SECOND
        # A bucket of one empties between two requests that come by chance: a third of a part would be lost.
        self.burst = max(min(burst, MIN_PARTIAL_BURST), burst * fraction)
        self.concurrency = concurrency and max(1, int(concurrency * fraction))
        self.tokens = min(self.tokens, self.burst)

    def take_demand(self, span: int) -> float:
        """What was requested since this was last called, as a fraction of the whole limit; 1 at the most.

        Args:
            span: Microseconds since then.
        """
        requested = self.requested
        rejected = self.rejected
        self.requested = 0
        self.rejected = 0
        concurrency, rate, _ = self.configured
        by_rate = requested * MICROSECONDS_PER_SECOND / (span * rate) if rate and span > 0 else 0.0
        by_concurrency = (self.in_flight + rejected) / concurrency if concurrency else 0.0
        return min(1.0, max(by_rate, by_concurrency))

    def try_acquire(self, now: int) -> bool:
        """Take a place, to be given back by `release`; false where there is none."""
        self.requested += 1
        if self._is_exhausted(now):
            self.rejected += 1
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Give back a place."""
        self.in_flight -= 1

    def time_until_token(self, now: int) -> int:
        """Microseconds until the bucket has a token again, for the answer to a rejected request.

        0 where it has one, or where only the requests in flight decide.
        """
        if not self.rate:
            return 0
        self._refill(now)
        return max(0, round((1 - self.tokens) / self.rate)) if self.tokens < 1 else 0

    def update(self, other: "Limit") -> None:
        """Put the terms of another limit in force; requests in flight stay so."""
        self.configured = other.configured
        self.set_fraction(self.fraction)

    def _is_exhausted(self, now: int) -> bool:
        """Whether there is no place; else a token is taken."""
        if self.concurrency is not None and self.in_flight >= self.concurrency:
            return True
        if self.rate:
            self._refill(now)
            if self.tokens < 1:
                return True
            self.tokens -= 1
        return False

    def _refill(self, now: int) -> None:
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now
