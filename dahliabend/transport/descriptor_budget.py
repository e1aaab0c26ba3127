"""The table of open connections, which enforces the budget of file descriptors."""

from collections import Counter
from itertools import chain, islice
from typing import NamedTuple, Protocol

from dahliabend.transport.handles import NO_HANDLE, HandleTable
from dahliabend.transport.loop_budget import LoopBudget
from dahliabend.transport.memory_budget import CONNECTION_BYTES, MemoryBudget

ADMIN_DESCRIPTORS = 16  # part of the limit, reserved for operators and never used for clients
PROCESS_DESCRIPTORS = 16  # not connections: standard streams, listener, event loop, files read at the start
RESERVE_FRACTION = 1 / 16  # of the limit, for clients that can only be told that there is no capacity
MIN_RESERVE = 8
MIN_CONNECTIONS = 64  # however little memory there is
MAX_EVICTION_TRIES = 16  # connections looked at for one that is needed; each look costs a system call
GIVE_UP_INTERVAL = 2_000  # microseconds between two requests that are given up for want of descriptors
EVICTED = "evicted"  # reason for the log


class ManagedConnection(Protocol):
    """What the budget needs from a connection."""

    def can_evict(self) -> bool:
        """Return whether closing the connection now loses no request."""

    def abort(self, reason: str = "") -> None:
        """Close the connection at once; `reason` is for the log."""


class RequestReceiver(Protocol):
    """A connection on which a request has begun and is not complete."""

    @property
    def received_bytes(self) -> int:
        """Bytes of the request's current section that have been received."""

    def reject_incomplete(self) -> None:
        """Answer that the request is rejected; no upstream has all of it."""


class IncompleteRequest(NamedTuple):
    """A request that is being received, since when, and from when on it may be given up (us, clock time)."""

    connection: RequestReceiver
    begun_at: int
    give_up_from: int


class DescriptorBudget:
    """Counts one descriptor per connection, from `register` until `release`; only `release` frees it.

    Idle connections are kept in the order in which they became idle. If a new connection needs a descriptor
    and none is left, the oldest idle connection is evicted. If none is idle, a connection is evicted that has
    been slow to send its request: otherwise many clients that send slowly would keep all others out.

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
        idle: By handle, the clock time (us) since which a connection is idle; the oldest first.
        slow_after: By handle, the clock time (us) from which a connection that is receiving a request counts
            as slow.
        receiving: By handle, the requests that have begun and are not complete.
        closed_by_reason: Number of connections that this process has closed, by the reason that it noted.
        evicting: Handles of connections that were evicted and are not closed yet.
        share: Fraction of the descriptors that this process may use.
        is_limited_by_memory: Whether memory allows fewer connections than there are descriptors.
        reserve: Descriptors kept for clients that can only be rejected, if memory allows as many connections.
        limit: Largest number of connections of this process.
        limit_before_reserve: Number of connections from which on the reserve is used.
        memory: The account of what the process holds for its peers, with these connections.
        loop_budget: Divides the event loop's time among the connections.
    """

    def __init__(
        self, limit: int, memory: MemoryBudget | None = None, loop_budget: LoopBudget | None = None
    ) -> None:
        """Create a budget without connections.

        Args:
            limit: Descriptors that this process may have open, `PROCESS_DESCRIPTORS` included.
            memory: The account of the memory of the process; None: unlimited.
            loop_budget: Divides the event loop's time; None: it is not divided.
        """
        self.memory = memory or MemoryBudget()
        self.loop_budget = loop_budget or LoopBudget()
        self.connections: HandleTable[ManagedConnection] = HandleTable(limit - PROCESS_DESCRIPTORS)
        self.idle: dict[int, int] = {}
        self.slow_after: dict[int, int] = {}
        self.receiving: dict[int, IncompleteRequest] = {}
        self._next_give_up = 0
        self.evicting: set[int] = set()
        self.closed_by_reason: Counter[str] = Counter()
        self.reserve = max(MIN_RESERVE, round(limit * RESERVE_FRACTION))
        self.set_share(1)

    def set_share(self, fraction: float) -> None:
        """Limit this process to a fraction of the descriptors, as another process uses the others."""
        self.share = fraction
        self.apply_limit()

    def apply_limit(self) -> None:
        """Derive the largest number of connections from the descriptors and the memory that there are.

        Idle connections beyond the limit are closed. The reserve shrinks with a limit that memory sets: else
        it would leave hardly any connection for requests that can be served.
        """
        descriptors = round(self.connections.capacity * self.share)
        self.is_limited_by_memory = self.memory.max_connections < descriptors
        self.limit = min(descriptors, max(MIN_CONNECTIONS, self.memory.max_connections))
        reserve = self.reserve
        if self.is_limited_by_memory:
            reserve = min(reserve, max(MIN_RESERVE, round(self.limit * RESERVE_FRACTION)))
        self.limit_before_reserve = max(1, self.limit - reserve)
        for handle in tuple(self.idle):
            if not self.reserve_in_use:
                break
            self._evict(handle)

    def _evict(self, handle: int) -> bool:
        """Close a connection if that loses no request; return whether it was closed.

        Its slot is free only once it has closed; until then it counts against the reserve.
        """
        connection = self.connections.get(handle)
        if connection is None or not connection.can_evict():
            return False
        self.evicting.add(handle)
        connection.abort(EVICTED)
        return True

    def is_full_after_eviction(self, now: int = 0) -> bool:
        """Evict a connection if only the reserve is left; return whether the budget is still full.

        Args:
            now: Clock time (us); connections that count as slow by then may be evicted too.
        """
        if not self.reserve_in_use:
            return False
        slow = (handle for handle, when in self.slow_after.items() if when <= now)
        for handle in tuple(islice(chain(self.idle, slow), MAX_EVICTION_TRIES)):
            if self._evict(handle):
                return self.is_exhausted()
            self._move_to_end(handle)
        return True

    def _move_to_end(self, handle: int) -> None:
        """Try a connection last that can't be evicted now."""
        for table in (self.idle, self.slow_after):
            if handle in table:
                table[handle] = table.pop(handle)

    @property
    def reserve_in_use(self) -> bool:
        """Whether the reserve is in use; no connection is then kept open for later requests."""
        return len(self.connections) - len(self.evicting) >= self.limit_before_reserve

    def is_exhausted(self) -> bool:
        """Return whether the reserve is used up as well."""
        return len(self.connections) >= self.limit

    def register(self, connection: ManagedConnection) -> int:
        """Take a descriptor for a connection; return the connection's handle."""
        handle = self.connections.add(connection)
        if handle != NO_HANDLE:
            self.memory.reserved += CONNECTION_BYTES
        return handle

    def mark_idle(self, handle: int, now: int) -> None:
        """Record that the connection is between requests from clock time `now` on."""
        self.slow_after.pop(handle, None)
        self.idle.pop(handle, None)  # removed first, so that it becomes the last entry
        self.idle[handle] = now

    def mark_awaiting_request(self, handle: int, slow_after: int) -> None:
        """Record that the connection is receiving a request, and when it starts to count as slow."""
        self.idle.pop(handle, None)
        self.slow_after[handle] = slow_after

    def mark_busy(self, handle: int) -> None:
        """Record that the connection is in use, so that it is not evicted."""
        self.idle.pop(handle, None)
        self.slow_after.pop(handle, None)
        self.receiving.pop(handle, None)

    def mark_receiving(
        self, handle: int, connection: RequestReceiver, begun_at: int, give_up_from: int
    ) -> None:
        """Record that a request has begun and is not complete, and from when on it may be given up."""
        self.receiving[handle] = IncompleteRequest(connection, begun_at, give_up_from)

    def give_up_incomplete(self, now: int) -> None:
        """Reject the slowest of the requests that take long to receive, as clients wait for a descriptor."""
        if now < self._next_give_up:
            return
        long = [
            request for request in self.receiving.values() if request.give_up_from <= now > request.begun_at
        ]
        if long:
            self._next_give_up = now + GIVE_UP_INTERVAL
            slowest = min(long, key=lambda each: each.connection.received_bytes / (now - each.begun_at))
            slowest.connection.reject_incomplete()

    def idle_since(self, before: int) -> list[ManagedConnection]:
        """Return the connections that became idle before clock time `before`, oldest first."""
        idle_connections: list[ManagedConnection] = []
        for handle, since in self.idle.items():
            if since >= before:
                break
            connection = self.connections.get(handle)
            if connection is not None:
                idle_connections.append(connection)
        return idle_connections

    def release(self, handle: int) -> None:
        """Return a connection's descriptor to the budget."""
        self.mark_busy(handle)
        self.evicting.discard(handle)
        if self.connections.remove(handle) is not None:
            self.memory.reserved -= CONNECTION_BYTES
