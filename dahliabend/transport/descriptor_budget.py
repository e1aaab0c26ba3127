"""The table of connections, which is also the budget of descriptors."""

from itertools import chain

from dahliabend.transport.handles import HandleTable

ADMIN_DESCRIPTORS = 16  # of the limit: the operators' own, never lent to callers
PROCESS_DESCRIPTORS = (
    16  # what the program holds beside connections: standard streams, listener, loop, files at the start
)
RESERVE_FRACTION = (
    1 / 16
)  # of the limit: kept for callers who can only be told that there is no room for a hop


class DescriptorBudget:
    """Owns each connection's descriptor from `take` until `give_back`, the one place where it returns.

    Idle connections are remembered in the order in which they went idle; the oldest is closed when another
    is wanted and none is left. Where none is idle, one goes that has long been slow to send: many that
    trickle would keep all others out.

    >>> budget = DescriptorBudget(26)
    >>> [budget.register(n) for n in "abc"], budget.is_full(), budget.reserve_in_use, budget.is_exhausted()
    ([0, 1, 2], True, True, False)
    >>> [budget.register(n) for n in "defghij"], budget.is_exhausted()
    ([3, 4, 5, 6, 7, 8, 9], True)
    >>> budget.release(1), budget.is_exhausted()
    (None, False)
    """

    def __init__(self, limit: int) -> None:
        self.connections: HandleTable = HandleTable(limit - PROCESS_DESCRIPTORS)
        self.idle: dict[int, int] = {}  # number: since when
        self.slow_after: dict[
            int, int
        ] = {}  # of those that owe the rest of a request: when they count as slow
        self.closing: set[int] = set()  # told to go, not yet closed
        self.reserve = max(8, round(limit * RESERVE_FRACTION))
        self.set_share(1)

    def set_share(self, fraction: float) -> None:
        """Only so much is this process's, another lives on the rest. Idle connections beyond are closed."""
        self.limit = round(self.connections.capacity * fraction)
        self.limit_before_reserve = max(1, self.limit - self.reserve)
        for handle in tuple(self.idle):
            connection = self.connections.get(handle)
            if not self.reserve_in_use:
                break
            if connection.can_evict():
                self.evict(handle, connection)

    def evict(self, handle: int, connection) -> None:
        """Its slot comes back once it is closed; until then the reserve bears it."""
        self.closing.add(handle)
        connection.abort()

    def is_full(self, now: int = 0) -> bool:
        """Is none left but the reserve? Then the oldest idle connection is told to go, and makes room."""
        if not self.reserve_in_use:
            return False
        late = (handle for handle, when in self.slow_after.items() if when <= now)
        for handle in chain(self.idle, late):
            connection = self.connections.get(handle)
            if connection.can_evict():
                self.evict(handle, connection)
                return self.is_exhausted()
        return True

    @property
    def reserve_in_use(self) -> bool:
        """Is the reserve in use? Then no connection is kept for later."""
        return len(self.connections) - len(self.closing) >= self.limit_before_reserve

    def is_exhausted(self) -> bool:
        """Is even the reserve gone?"""
        return len(self.connections) >= self.limit

    def register(self, connection) -> int:
        return self.connections.add(connection)

    def mark_idle(self, handle: int, now: int) -> None:
        self.mark_busy(handle)
        self.idle[handle] = now

    def mark_awaiting_request(self, handle: int, slow_at: int) -> None:
        self.idle.pop(handle, None)
        self.slow_after[handle] = slow_at

    def mark_busy(self, handle: int) -> None:
        self.idle.pop(handle, None)
        self.slow_after.pop(handle, None)

    def idle_since(self, before: int) -> list:
        """The connections idle since before then, oldest first."""
        old = []
        for handle, since in self.idle.items():
            if since >= before:
                break
            old.append(self.connections.get(handle))
        return old

    def release(self, handle: int) -> None:
        self.mark_busy(handle)
        self.closing.discard(handle)
        self.connections.remove(handle)
