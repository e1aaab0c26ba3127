"""What one balancer saw of each upstream of late: hops that ended, and how many of these badly.

An upstream that is full or busy is not told of: each balancer sees its own part of a crowd. Told are ends
that say something of the upstream itself: an error, a reset, no connection, no answer in time.
"""

from collections import deque

from dahliabend.model import Outcome

FAILURE_OUTCOMES = frozenset({Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.RESET})
COUNTED_OUTCOMES = FAILURE_OUTCOMES | {Outcome.SUCCEEDED}
MAX_SAMPLES = 32  # ends remembered of one upstream


class LocalObservations:
    """`window` in microseconds. Names are the list's."""

    def __init__(self, window: int) -> None:
        self.window = window
        self.samples: dict[str, deque[tuple[int, bool]]] = {}

    def record_outcome(self, now: int, name: str, outcome: Outcome) -> None:
        if outcome in COUNTED_OUTCOMES:
            self.samples.setdefault(name, deque(maxlen=MAX_SAMPLES)).append(
                (now, outcome in FAILURE_OUTCOMES)
            )

    def counts(self, now: int) -> dict[str, tuple[int, int]]:
        """By upstream: tried and bad, within the window. What is older is forgotten."""
        made = {}
        for name, ends in list(self.samples.items()):
            while ends and ends[0][0] <= now - self.window:
                ends.popleft()
            if ends:
                made[name] = len(ends), sum(bad for _, bad in ends)
            else:
                del self.samples[name]
        return made
