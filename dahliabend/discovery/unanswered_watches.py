"""Watches that have been requested and not answered in the usual time, as a slow service may still answer."""

from dahliabend.discovery.watch_connection import WatchConnection

# Microseconds.
MIN_PATIENCE = 12_000_000  # twice the time within which a change of the list has to be learned
MAX_PATIENCE = 8 * MIN_PATIENCE
MAX_UNANSWERED = 4
PATIENCE_FACTOR = 2  # times the time that the last answer took, and by what the patience grows without one


class UnansweredWatches:
    """The watches that are kept open beside newer ones until one of them is answered.

    A service that is down never answers a watch that was requested then, so newer ones are requested as often
    as if none were kept. A slow one answers the oldest first. So the oldest is kept for the patience, which
    grows while none is answered, and beside it the newest ones.

    Attributes:
        watches: The watches, the oldest first.
        patience: For how long (us) a watch is kept.
    """

    def __init__(self) -> None:
        self.watches: list[WatchConnection] = []
        self.patience = MIN_PATIENCE

    def add(self, watch: WatchConnection, now: int) -> None:
        """Keep a watch that has not been answered in the usual time; close what is too old or too many."""
        self.watches.append(watch)
        if now - self.watches[0].requested_at > self.patience:
            self.patience = min(MAX_PATIENCE, self.patience * PATIENCE_FACTOR)
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
        self.patience = min(MAX_PATIENCE, max(MIN_PATIENCE, PATIENCE_FACTOR * wait))
        self.close()

    def close(self) -> None:
        """Close all."""
        for watch in tuple(self.watches):
            self._close(watch)

    def _close(self, watch: WatchConnection) -> None:
        self.watches.remove(watch)
        watch.abort()
