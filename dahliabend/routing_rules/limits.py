"""Limits of a route on concurrent requests and on the request rate, applied in full or by a fraction."""

from typing import NamedTuple

MIN_PARTIAL_BURST = 3.0  # tokens; minimum burst of a fraction of a limit, unless the full burst is smaller
BURSTS_PER_SECOND = 10  # the default burst is a tenth of a second at the rate
MICROSECONDS_PER_SECOND = 1e6


class LimitSettings(NamedTuple):
    """The settings of a limit in the operator's file."""

    concurrency: int | None  # requests in flight; None for no limit
    rate: float  # requests per second; 0 for no limit
    burst: float  # requests at once above the rate


class Limit:
    """A token bucket that fills at the rate up to the burst, and a limit on the requests in flight.

    Times are in integer microseconds.

    >>> limit = Limit(concurrency=2, rate=10.0, burst=1)
    >>> limit.try_acquire(0), limit.try_acquire(0), limit.time_until_token(0)
    (True, False, 100000)
    >>> limit.try_acquire(100_000), limit.try_acquire(500_000), limit.release(), limit.try_acquire(500_000)
    (True, False, None, True)

    Attributes:
        configured: Settings of the full limit.
        fraction: Fraction of the full limit that this balancer applies.
        concurrency: Number of requests in flight that this fraction allows; None for no limit.
        rate: Tokens per microsecond at this fraction; 0 for no limit.
        burst: Capacity of the bucket in tokens.
        tokens: Tokens in the bucket.
        filled_at: When the bucket was last filled.
        in_flight: Number of requests that have been admitted and not released.
        requested: Number of requests since the previous call of `take_demand`.
        rejected: Number of these that the limit has rejected.
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
            concurrency: Maximum number of requests in flight; None for no limit.
            rate: Requests per second; None for no limit.
            burst: Requests at once above the rate; None for a tenth of a second at the rate. The bucket holds
                at least one token, and never less than that default.
        """
        rate = rate or 0.0
        configured_burst = float(max(1, burst or 0, round(rate / BURSTS_PER_SECOND)))
        self.configured = LimitSettings(concurrency, rate, configured_burst)
        self.in_flight = 0
        self.filled_at = 0
        self.requested = 0
        self.rejected = 0
        self.tokens = configured_burst
        self.set_fraction(1.0)

    def set_fraction(self, fraction: float) -> None:
        """Apply only a fraction of the full limit; requests in flight are not affected."""
        concurrency, rate, burst = self.configured
        self.fraction = fraction
        self.rate = rate * fraction / MICROSECONDS_PER_SECOND
        # When requests arrive at random, a bucket of one token is often empty: a third of the rate would be
        # lost.
        self.burst = max(min(burst, MIN_PARTIAL_BURST), burst * fraction)
        self.concurrency = concurrency and max(1, int(concurrency * fraction))
        self.tokens = min(self.tokens, self.burst)

    def take_demand(self, elapsed: int) -> float:
        """Return the demand since the previous call, as a fraction of the full limit and at most 1.

        Args:
            elapsed: Microseconds since the previous call.
        """
        requested = self.requested
        rejected = self.rejected
        self.requested = 0
        self.rejected = 0
        concurrency, rate, _ = self.configured
        by_rate = requested * MICROSECONDS_PER_SECOND / (elapsed * rate) if rate and elapsed > 0 else 0.0
        by_concurrency = (self.in_flight + rejected) / concurrency if concurrency else 0.0
        return min(1.0, max(by_rate, by_concurrency))

    def try_acquire(self, now: int) -> bool:
        """Admit a request, to be released by `release`; return False if the limit is exhausted."""
        self.requested += 1
        if self._is_exhausted(now):
            self.rejected += 1
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Release an admitted request."""
        self.in_flight -= 1

    def time_until_token(self, now: int) -> int:
        """Return the microseconds until the bucket has a token, for the response to a rejected request.

        0 if the bucket has a token, or if there is no rate limit.
        """
        if not self.rate:
            return 0
        self._refill(now)
        return max(0, round((1 - self.tokens) / self.rate)) if self.tokens < 1 else 0

    def update(self, replacement: "Limit") -> None:
        """Apply the settings of another limit; requests in flight are not affected."""
        self.configured = replacement.configured
        self.set_fraction(self.fraction)

    def _is_exhausted(self, now: int) -> bool:
        """Return whether the limit is exhausted; if not, take a token."""
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
