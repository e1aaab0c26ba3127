"""Watches that have been requested and not answered in the usual time, as a slow service may still answer."""

from dahliabend.discovery.watch_connection import WatchConnection

# Microseconds.
MIN_AGE_LIMIT = 12_000_000  # twice the time within which a change of the list has to be learned
MAX_AGE_LIMIT = 8 * MIN_AGE_LIMIT
MAX_UNANSWERED = 4
AGE_LIMIT_FACTOR = 2  # times the time that the last answer took, and by what the limit grows without one


class UnansweredWatches:
    """The watches that are kept open beside newer ones until one of them is answered.

    A service that is down never answers a watch that was requested then, so newer ones are requested as often
    as if none were kept. A slow one answers the oldest first. So the oldest stays open up to an age that
    grows while none is answered, and beside it the newest ones.

    Attributes:
        watches: The watches, the oldest first.
        max_age: For how long (us) a watch stays open.
    """

    def __init__(self) -> None:
        self.watches: list[WatchConnection] = []
        self.max_age = MIN_AGE_LIMIT

    def add(self, watch: WatchConnection, now: int) -> None:
        """Keep a watch that has not been answered in the usual time; close what is too old or too many."""
        self.watches.append(watch)
        if now - self.watches[0].requested_at > self.max_age:
            self.max_age = min(MAX_AGE_LIMIT, self.max_age * AGE_LIMIT_FACTOR)
            self._close(self.watches[0])
        elif len(self.watches) > MAX_UNANSWERED:
            self._close(self.watches[1])

    def remove(self, watch: WatchConnection) -> bool:
        """Forget a watch that is answered or has ended; return whether it was kept."""
        if watch not in self.watches:
            return False
        self.watches.remove(watch)
        return True

    def answered(self, wait: int) -> None:
        """Close all, as a watch has been answered after `wait` (us)."""
        self.max_age = min(MAX_AGE_LIMIT, max(MIN_AGE_LIMIT, AGE_LIMIT_FACTOR * wait))
        self.close()

    def close(self) -> None:
        """Close all."""
        for watch in tuple(self.watches):
            self._close(watch)

    def _close(self, watch: WatchConnection) -> None:
        self.watches.remove(watch)
        watch.abort()
