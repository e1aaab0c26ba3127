"""Upstreams that come and go again and again rest for a while each time they return, as routes that flap do
(RFC 2439): else each turn would move two fair shares of the fleet's pairs, twice. Free of I/O."""

from collections.abc import Iterable

S = 1_000_000
HALF = 20 * S  # a penalty halves in that time
RESTS, WELL = 2.5, 1.0  # it rests from the third departure close together, until so little is left
MOST = 4.0  # a penalty at the most: two of its halves, and it is used again
PART = 1 / 8  # of the pool, that may rest at once
REMOVED = 1 / 4  # a penalty that is not remembered


class FlapDamping:
    def __init__(self) -> None:
        self.penalties: dict[str, tuple[float, int]] = {}  # and when it was reckoned
        self.suppressed: set[str] = set()

    def penalty(self, name: str, now: int) -> float:
        left, at = self.penalties.get(name, (0.0, now))
        return left * 0.5 ** ((now - at) / HALF)

    def record_departures(self, now: int, names: Iterable[str]) -> None:
        for name in names:
            self.penalties[name] = min(MOST, self.penalty(name, now) + 1.0), now

    def suppress(self, now: int, listed: Iterable[str]) -> set[str]:
        """Those of the listed ones that are not to be used yet: the worst, never more than a part of all."""
        for name in [name for name in self.penalties if self.penalty(name, now) <= REMOVED]:
            del self.penalties[name]
        listed = set(listed)
        found = {}
        for name in listed & self.penalties.keys():
            left = self.penalty(name, now)
            if left >= (WELL if name in self.suppressed else RESTS):
                found[name] = left
        most = int(len(listed) * PART)
        self.suppressed = set(sorted(found, key=lambda name: (-found[name], name))[:most])
        return self.suppressed
