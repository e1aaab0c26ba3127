"""How many transactions of a route are let in: at once, and by time."""


class Limit:
    """A bucket that fills at the rate up to the burst, and a count of those in hand. Times are whole
    microseconds.

    >>> limit = Limit(concurrency=2, rate=10.0, burst=1)
    >>> limit.enter(0), limit.enter(0), limit.wait(0)
    (True, False, 100000)
    >>> limit.enter(100_000), limit.enter(500_000), limit.leave(), limit.enter(500_000)
    (True, False, None, True)
    """

    __slots__ = ("burst", "concurrency", "held", "level", "rate", "then")

    def __init__(
        self, concurrency: int | None = None, rate: float | None = None, burst: int | None = None
    ) -> None:
        self.concurrency, self.rate = concurrency, (rate or 0.0) / 1e6
        self.burst = float(max(1, burst or 0, round((rate or 0.0) / 10)))
        self.held, self.level, self.then = 0, self.burst, 0

    def _fill(self, now: int) -> None:
        self.level = min(self.burst, self.level + (now - self.then) * self.rate)
        self.then = now

    def enter(self, now: int) -> bool:
        """Takes a place, to be given back by `leave`; false where there is none."""
        if self.concurrency is not None and self.held >= self.concurrency:
            return False
        if self.rate:
            self._fill(now)
            if self.level < 1:
                return False
            self.level -= 1
        self.held += 1
        return True

    def become(self, other: "Limit") -> None:
        """Other terms from now on; who is in hand stays so."""
        self.concurrency, self.rate, self.burst = other.concurrency, other.rate, other.burst
        self.level = min(self.level, self.burst)

    def leave(self) -> None:
        self.held -= 1

    def wait(self, now: int) -> int:
        """Until the bucket has one again, to be told to whoever is turned away; 0 if that is not known."""
        if not self.rate:
            return 0
        self._fill(now)
        return max(0, round((1 - self.level) / self.rate)) if self.level < 1 else 0
