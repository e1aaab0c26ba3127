"""Outcomes of this balancer's attempts at each upstream of a pool, within a sliding window.

Only outcomes that depend on the upstream itself count: a success, an error, a reset, no connection, no answer
in time. Rejections do not count: how loaded an upstream is depends on what each balancer sends to it.
"""

from collections import deque
from typing import NamedTuple

from dahliabend.model import Outcome

FAILURE_OUTCOMES = frozenset({Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.RESET})
COUNTED_OUTCOMES = FAILURE_OUTCOMES | {Outcome.SUCCEEDED}
MAX_SAMPLES = 32  # latest outcomes kept per upstream

# Time in microseconds, and whether the attempt failed; a plain tuple for speed, as each attempt creates one.
Sample = tuple[int, bool]


class OutcomeCounts(NamedTuple):
    """Number of attempts that ended, and how many of them failed."""

    attempts: int
    failures: int


class LocalObservations:
    """The latest outcomes by upstream.

    Attributes:
        window: Time in microseconds for which an outcome counts.
        samples: The latest outcomes of each upstream, the oldest first.
    """

    def __init__(self, window: int) -> None:
        self.window = window
        self.samples: dict[str, deque[Sample]] = {}

    def record_outcome(self, now: int, upstream: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt if it is one of `COUNTED_OUTCOMES`."""
        if outcome in COUNTED_OUTCOMES:
            samples = self.samples.setdefault(upstream, deque(maxlen=MAX_SAMPLES))
            samples.append((now, outcome in FAILURE_OUTCOMES))

    def counts(self, now: int) -> dict[str, OutcomeCounts]:
        """Remove expired outcomes and return the counts of each upstream that has any left."""
        counts = {}
        for upstream, samples in list(self.samples.items()):
            while samples and samples[0][0] <= now - self.window:
                samples.popleft()
            if samples:
                counts[upstream] = OutcomeCounts(len(samples), sum(failed for _, failed in samples))
            else:
                del self.samples[upstream]
        return counts
