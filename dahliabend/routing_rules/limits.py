"""How many transactions of a route are let in: at once, and by time; all of a limit, or a part of it."""

FEW = 3.0  # that a part of a limit lets in at once, where the whole does


class Limit:
    """A bucket that fills at the rate up to the burst, and a count of those in hand. Times are whole
    microseconds.

    >>> limit = Limit(concurrency=2, rate=10.0, burst=1)
    >>> limit.enter(0), limit.enter(0), limit.wait(0)
    (True, False, 100000)
    >>> limit.enter(100_000), limit.enter(500_000), limit.leave(), limit.enter(500_000)
    (True, False, None, True)
    """

    __slots__ = ("asked", "burst", "concurrency", "held", "level", "part", "rate", "refused", "then", "whole")

    def __init__(
        self, concurrency: int | None = None, rate: float | None = None, burst: int | None = None
    ) -> None:
        self.whole = concurrency, rate or 0.0, float(max(1, burst or 0, round((rate or 0.0) / 10)))
        self.held = self.then = self.asked = self.refused = 0  # asked, refused: since somebody looked
        self.take(1.0)
        self.level = self.burst

    def take(self, part: float) -> None:
        """Of the whole limit only so much from now on; who is in hand stays so."""
        concurrency, rate, burst = self.whole
        # A bucket of one empties between two callers that come by chance: a third of a part would be lost.
        self.part, self.rate, self.burst = part, rate * part / 1e6, max(min(burst, FEW), burst * part)
        self.concurrency = concurrency and max(1, int(concurrency * part))
        self.level = min(getattr(self, "level", self.burst), self.burst)

    def ask(self, span: int) -> float:
        """What has been asked of it since it was last looked at, in a span, as a part of the whole."""
        asked, refused, (concurrency, rate, _) = self.asked, self.refused, self.whole
        self.asked = self.refused = 0
        by_rate = asked * 1e6 / (span * rate) if rate and span > 0 else 0.0
        return min(1.0, max(by_rate, (self.held + refused) / concurrency if concurrency else 0.0))

    def _fill(self, now: int) -> None:
        self.level = min(self.burst, self.level + (now - self.then) * self.rate)
        self.then = now

    def enter(self, now: int) -> bool:
        """Takes a place, to be given back by `leave`; false where there is none."""
        self.asked += 1
        if self._full(now):
            self.refused += 1
            return False
        self.held += 1
        return True

    def _full(self, now: int) -> bool:
        if self.concurrency is not None and self.held >= self.concurrency:
            return True
        if self.rate:
            self._fill(now)
            if self.level < 1:
                return True
            self.level -= 1
        return False

    def become(self, other: "Limit") -> None:
        """Other terms from now on; who is in hand stays so."""
        self.whole = other.whole
        self.take(self.part)

    def leave(self) -> None:
        self.held -= 1

    def wait(self, now: int) -> int:
        """Until the bucket has one again, to be told to whoever is turned away; 0 if that is not known."""
        if not self.rate:
            return 0
        self._fill(now)
        return max(0, round((1 - self.level) / self.rate)) if self.level < 1 else 0
