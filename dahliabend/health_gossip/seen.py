"""What one balancer saw of each upstream of late: hops that ended, and how many of these badly.

An upstream that is full or busy is not told of: each balancer sees its own part of a crowd. Told are ends
that say something of the upstream itself: an error, a reset, no connection, no answer in time.
"""

from collections import deque

from dahliabend.model import Outcome

BAD = frozenset({Outcome.FAILED, Outcome.TIMED_OUT, Outcome.UNREACHABLE, Outcome.RESET})
SPOKEN = BAD | {Outcome.SUCCEEDED}
MOST = 32  # ends remembered of one upstream


class Seen:
    """`window` in microseconds. Names are the list's."""

    def __init__(self, window: int) -> None:
        self.window = window
        self.ends: dict[str, deque[tuple[int, bool]]] = {}

    def ended(self, now: int, name: str, outcome: Outcome) -> None:
        if outcome in SPOKEN:
            self.ends.setdefault(name, deque(maxlen=MOST)).append((now, outcome in BAD))

    def rows(self, now: int) -> dict[str, tuple[int, int]]:
        """By upstream: tried and bad, within the window. What is older is forgotten."""
        made = {}
        for name, ends in list(self.ends.items()):
            while ends and ends[0][0] <= now - self.window:
                ends.popleft()
            if ends:
                made[name] = len(ends), sum(bad for _, bad in ends)
            else:
                del self.ends[name]
        return made
