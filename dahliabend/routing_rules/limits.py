"""How many transactions of a route are let in: at once, and by time; all of a limit, or a part of it."""

MIN_PARTIAL_BURST = 3.0  # that a part of a limit lets in at once, where the whole does


class Limit:
    """A bucket that fills at the rate up to the burst, and a count of those in hand. Times are whole
    microseconds.

    >>> limit = Limit(concurrency=2, rate=10.0, burst=1)
    >>> limit.try_acquire(0), limit.try_acquire(0), limit.time_until_token(0)
    (True, False, 100000)
    >>> limit.try_acquire(100_000), limit.try_acquire(500_000), limit.release(), limit.try_acquire(500_000)
    (True, False, None, True)
    """

    __slots__ = (
        "requested",
        "burst",
        "concurrency",
        "in_flight",
        "tokens",
        "fraction",
        "rate",
        "rejected",
        "filled_at",
        "configured",
    )

    def __init__(
        self, concurrency: int | None = None, rate: float | None = None, burst: int | None = None
    ) -> None:
        self.configured = concurrency, rate or 0.0, float(max(1, burst or 0, round((rate or 0.0) / 10)))
        self.in_flight = self.filled_at = self.requested = self.rejected = (
            0  # asked, refused: since somebody looked
        )
        self.set_fraction(1.0)
        self.tokens = self.burst

    def set_fraction(self, part: float) -> None:
        """Of the whole limit only so much from now on; who is in hand stays so."""
        concurrency, rate, burst = self.configured
        # A bucket of one empties between two callers that come by chance: a third of a part would be lost.
        self.fraction, self.rate, self.burst = (
            part,
            rate * part / 1e6,
            max(min(burst, MIN_PARTIAL_BURST), burst * part),
        )
        self.concurrency = concurrency and max(1, int(concurrency * part))
        self.tokens = min(getattr(self, "tokens", self.burst), self.burst)

    def take_demand(self, span: int) -> float:
        """What has been asked of it since it was last looked at, in a span, as a part of the whole."""
        asked, refused, (concurrency, rate, _) = self.requested, self.rejected, self.configured
        self.requested = self.rejected = 0
        by_rate = asked * 1e6 / (span * rate) if rate and span > 0 else 0.0
        return min(1.0, max(by_rate, (self.in_flight + refused) / concurrency if concurrency else 0.0))

    def _refill(self, now: int) -> None:
        self.tokens = min(self.burst, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now

    def try_acquire(self, now: int) -> bool:
        """Takes a place, to be given back by `leave`; false where there is none."""
        self.requested += 1
        if self._is_exhausted(now):
            self.rejected += 1
            return False
        self.in_flight += 1
        return True

    def _is_exhausted(self, now: int) -> bool:
        if self.concurrency is not None and self.in_flight >= self.concurrency:
            return True
        if self.rate:
            self._refill(now)
            if self.tokens < 1:
                return True
            self.tokens -= 1
        return False

    def update(self, other: "Limit") -> None:
        """Other terms from now on; who is in hand stays so."""
        self.configured = other.configured
        self.set_fraction(self.fraction)

    def release(self) -> None:
        self.in_flight -= 1

    def time_until_token(self, now: int) -> int:
        """Until the bucket has one again, to be told to whoever is turned away; 0 if that is not known."""
        if not self.rate:
            return 0
        self._refill(now)
        return max(0, round((1 - self.tokens) / self.rate)) if self.tokens < 1 else 0
