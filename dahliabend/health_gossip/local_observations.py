"""Outcomes of this instance's own attempts at each upstream of a pool, within a sliding window.

Counted are outcomes that say something about the upstream itself: an error, a reset, no connection, no answer
in time. Rejections are not: how full an upstream is differs with what each instance sends it.
"""

from collections import deque
from typing import NamedTuple

from dahliabend.model import Outcome

FAILURE_OUTCOMES = frozenset({Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.RESET})
COUNTED_OUTCOMES = FAILURE_OUTCOMES | {Outcome.SUCCEEDED}
MAX_SAMPLES = 32  # latest outcomes kept of each upstream

Sample = tuple[int, bool]  # microseconds, and whether it failed; plain, as one is made for each attempt


class OutcomeCounts(NamedTuple):
    """Attempts that ended, and how many of these failed."""

    attempts: int
    failures: int


class LocalObservations:
    """Latest outcomes by upstream.

    Attributes:
        window: Microseconds that an outcome counts.
        samples: Latest outcomes of each upstream, the oldest first.
    """

    def __init__(self, window: int) -> None:
        self.window = window
        self.samples: dict[str, deque[Sample]] = {}

    def record_outcome(self, now: int, upstream: str, outcome: Outcome) -> None:
        """Count the end of an attempt, if its outcome says something about the upstream."""
        if outcome in COUNTED_OUTCOMES:
            samples = self.samples.setdefault(upstream, deque(maxlen=MAX_SAMPLES))
            samples.append((now, outcome in FAILURE_OUTCOMES))

    def counts(self, now: int) -> dict[str, OutcomeCounts]:
        """Forget expired outcomes and return the counts of each upstream that has any left."""
        counts = {}
        for upstream, samples in list(self.samples.items()):
            while samples and samples[0][0] <= now - self.window:
                samples.popleft()
            if samples:
                counts[upstream] = OutcomeCounts(len(samples), sum(failed for _, failed in samples))
            else:
                del self.samples[upstream]
        return counts
