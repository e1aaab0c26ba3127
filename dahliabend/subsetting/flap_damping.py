"""Flap damping: upstreams that repeatedly leave the endpoint list stay unused for a while after each return.

As for routes in RFC 2439, each departure adds a penalty that decays over time. Without damping, each
departure and each return would change about twice as many pairs of a balancer and an upstream as one upstream
has on average.
"""

from collections.abc import Iterable
from typing import NamedTuple

SECOND = 1_000_000  # microseconds
PENALTY_HALF_TIME = 20 * SECOND
DEPARTURE_PENALTY = 1.0
SUPPRESS_THRESHOLD = 2.5  # reached by the third departure within a short time
REUSE_THRESHOLD = 1.0  # a suppressed upstream is used again below this penalty
MAX_PENALTY = 4.0  # decays to the reuse threshold within two half-times
FORGET_THRESHOLD = 1 / 4  # a penalty is removed at or below this value
MAX_SUPPRESSED_FRACTION = 1 / 8  # of the pool


class Penalty(NamedTuple):
    """The value of a penalty at its last change, and the time of the change in microseconds."""

    value: float
    at: int


class FlapDamping:
    """The penalties of the upstreams of one pool. Times are in microseconds.

    Attributes:
        penalties: Penalty of each upstream that departed recently.
        suppressed: Names of the upstreams that must not be used now.
    """

    def __init__(self) -> None:
        self.penalties: dict[str, Penalty] = {}
        self.suppressed: set[str] = set()

    def penalty(self, name: str, now: int) -> float:
        """Return the current, decayed penalty of an upstream."""
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
        """Return the listed upstreams that must not be used now.

        At most `MAX_SUPPRESSED_FRACTION` of the list is suppressed, those with the highest penalties.
        Penalties that have decayed to `FORGET_THRESHOLD` are removed.
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
