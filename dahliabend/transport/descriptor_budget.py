"""The table of connections, which is also the budget of descriptors."""

from itertools import chain
from typing import Protocol

from dahliabend.transport.handles import HandleTable

ADMIN_DESCRIPTORS = 16  # of the limit: the operators' own, never lent to clients
PROCESS_DESCRIPTORS = 16  # held beside connections: standard streams, listener, loop, files at the start
RESERVE_FRACTION = 1 / 16  # of the limit: for clients that can only be answered that there is no capacity
MIN_RESERVE = 8


class ManagedConnection(Protocol):
    """What the budget needs of a connection."""

    def can_evict(self) -> bool:
        """Whether closing it now loses no request."""

    def abort(self) -> None:
        """Closes it at once."""


class DescriptorBudget:
    """Owns each connection's descriptor from `register` until `release`, the one place where it returns.

    Idle connections are remembered in the order in which they became idle; the oldest is evicted when
    another is wanted and none is left. Where none is idle, one goes that has long been slow to send its
    request: many that trickle would keep all others out.

    >>> budget = DescriptorBudget(26)
    >>> [budget.register(n) for n in "abc"], budget.is_full_after_eviction()
    ([0, 1, 2], True)
    >>> budget.reserve_in_use, budget.is_exhausted()
    (True, False)
    >>> [budget.register(n) for n in "defghij"], budget.is_exhausted()
    ([3, 4, 5, 6, 7, 8, 9], True)
    >>> budget.release(1), budget.is_exhausted()
    (None, False)

    Attributes:
        connections: All connections that hold a descriptor.
        idle: By handle, the clock time since which a connection is idle; the oldest first.
        slow_after: By handle, of connections that still receive a request: when they count as slow.
        closing: Handles of connections that were evicted and are not closed yet.
        reserve: Descriptors kept for clients that can only be rejected.
        limit: Connections that this process may hold at most.
        limit_before_reserve: Connections beyond which the reserve is used.
    """

    def __init__(self, limit: int) -> None:
        """Args: limit: Descriptors that this process may have open, `PROCESS_DESCRIPTORS` included."""
        self.connections: HandleTable[ManagedConnection] = HandleTable(limit - PROCESS_DESCRIPTORS)
        self.idle: dict[int, int] = {}
        self.slow_after: dict[int, int] = {}
        self.closing: set[int] = set()
        self.reserve = max(MIN_RESERVE, round(limit * RESERVE_FRACTION))
        self.set_share(1)

    def set_share(self, fraction: float) -> None:
        """Limits this process to a fraction of the descriptors, as another process has the rest.

        Idle connections beyond the limit are closed.
        """
        self.limit = round(self.connections.capacity * fraction)
        self.limit_before_reserve = max(1, self.limit - self.reserve)
        for handle in tuple(self.idle):
            if not self.reserve_in_use:
                break
            self._evict(handle)

    def _evict(self, handle: int) -> bool:
        """Closes a connection if no request is lost by it; whether it did.

        Its slot comes back once it is closed; until then the reserve bears it.
        """
        connection = self.connections.get(handle)
        if connection is None or not connection.can_evict():
            return False
        self.closing.add(handle)
        connection.abort()
        return True

    def is_full_after_eviction(self, now: int = 0) -> bool:
        """Whether only the reserve is left, also after the oldest idle connection has been evicted.

        Args:
            now: Clock time; connections that count as slow by then may be evicted too.
        """
        if not self.reserve_in_use:
            return False
        slow = (handle for handle, when in self.slow_after.items() if when <= now)
        for handle in chain(self.idle, slow):
            if self._evict(handle):
                return self.is_exhausted()
        return True

    @property
    def reserve_in_use(self) -> bool:
        """Whether the reserve is in use: no connection is then kept open for later."""
        return len(self.connections) - len(self.closing) >= self.limit_before_reserve

    def is_exhausted(self) -> bool:
        """Whether even the reserve is used up."""
        return len(self.connections) >= self.limit

    def register(self, connection: ManagedConnection) -> int:
        """Takes a descriptor for a connection; returns its handle."""
        return self.connections.add(connection)

    def mark_idle(self, handle: int, now: int) -> None:
        """The connection is between requests from now on."""
        self.slow_after.pop(handle, None)
        self.idle.pop(handle, None)  # set anew, it is the newest of them
        self.idle[handle] = now

    def mark_awaiting_request(self, handle: int, slow_after: int) -> None:
        """The connection has begun to receive a request, and counts as slow from that time on."""
        self.idle.pop(handle, None)
        self.slow_after[handle] = slow_after

    def mark_busy(self, handle: int) -> None:
        """The connection is in use: it is not evicted."""
        self.idle.pop(handle, None)
        self.slow_after.pop(handle, None)

    def idle_since(self, before: int) -> list[ManagedConnection]:
        """The connections that became idle before that time, oldest first."""
        found: list[ManagedConnection] = []
        for handle, since in self.idle.items():
            if since >= before:
                break
            connection = self.connections.get(handle)
            if connection is not None:
                found.append(connection)
        return found

    def release(self, handle: int) -> None:
        """Gives a connection's descriptor back."""
        self.mark_busy(handle)
        self.closing.discard(handle)
        self.connections.remove(handle)
