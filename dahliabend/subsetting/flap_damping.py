"""Flap damping: upstreams that come and go again and again stay unused for a while after each return.

As for routes (RFC 2439), each departure adds a penalty that decays. Without it every departure and return
would each move two fair shares of the fleet's pairs.
"""

from collections.abc import Iterable
from typing import NamedTuple

SECOND = 1_000_000  # microseconds
PENALTY_HALF_TIME = 20 * SECOND
DEPARTURE_PENALTY = 1.0
SUPPRESS_THRESHOLD = 2.5  # reached by the third departure close together
REUSE_THRESHOLD = 1.0  # a suppressed upstream is used again below
MAX_PENALTY = 4.0  # two half-times above the reuse threshold
FORGET_THRESHOLD = 1 / 4
MAX_SUPPRESSED_FRACTION = 1 / 8  # of the pool


class Penalty(NamedTuple):
    """A penalty at the time when it was last changed, in microseconds."""

    value: float
    at: int


class FlapDamping:
    """Penalties of the upstreams of one pool. Times are microseconds.

    Attributes:
        penalties: Penalty of each upstream that departed lately.
        suppressed: Upstreams that are not to be used now.
    """

    def __init__(self) -> None:
        self.penalties: dict[str, Penalty] = {}
        self.suppressed: set[str] = set()

    def penalty(self, name: str, now: int) -> float:
        """Return what is left of an upstream's penalty."""
        penalty = self.penalties.get(name)
        if penalty is None:
            return 0.0
        return float(penalty.value * 0.5 ** ((now - penalty.at) / PENALTY_HALF_TIME))

    def record_departures(self, now: int, names: Iterable[str]) -> None:
        """Add a penalty for each upstream that has left the endpoint list."""
        for name in names:
            value = min(MAX_PENALTY, self.penalty(name, now) + DEPARTURE_PENALTY)
            self.penalties[name] = Penalty(value, now)

    def suppress(self, now: int, listed: Iterable[str]) -> set[str]:
        """Return which listed upstreams are not to be used yet: the worst, and never too many at once.

        Penalties that have decayed are forgotten.
        """
        for name in [name for name in self.penalties if self.penalty(name, now) <= FORGET_THRESHOLD]:
            del self.penalties[name]
        names = set(listed)
        flapping = {}
        for name in names & self.penalties.keys():
            penalty = self.penalty(name, now)
            if penalty >= (REUSE_THRESHOLD if name in self.suppressed else SUPPRESS_THRESHOLD):
                flapping[name] = penalty
        max_suppressed = int(len(names) * MAX_SUPPRESSED_FRACTION)
        worst_first = sorted(flapping, key=lambda name: (-flapping[name], name))
        self.suppressed = set(worst_first[:max_suppressed])
        return self.suppressed
