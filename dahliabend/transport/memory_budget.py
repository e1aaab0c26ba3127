"""The account of the memory that peers make the process hold, over all connections and requests."""

from collections.abc import Iterable
from enum import IntEnum
from typing import Protocol

from dahliabend.transport.timers import clock

# What an open connection holds with nothing buffered: its objects, its parser and its transport.
CONNECTION_BYTES = 9 * 1024
CONNECTIONS_FRACTION = 3 / 8  # of the capacity, for connections with nothing buffered
HIGH_WATER = 1 / 2  # of the capacity: above it, holders have to give up what they hold
LOW_WATER = 3 / 8  # of the capacity, which is then aimed at
FULL = 5 / 8  # of the capacity: above it, no request is admitted
BUFFERS_FRACTION = (
    HIGH_WATER - CONNECTIONS_FRACTION
) / 2  # of the capacity; requests in flight need the rest
MAX_ALLOWANCE = 64 * 1024  # bytes that one direction of a connection may buffer
MIN_ALLOWANCE = 4 * 1024
ALLOWANCE_DIVISOR = 16  # one direction of a connection may buffer this part of what is left for buffers
RELIEF_PAUSE = 5_000  # microseconds without another relief after one that did not free enough
UNLIMITED = 1 << 50  # bytes


class ReliefRank(IntEnum):
    """In which order connections have to give up what they hold, the smallest rank first."""

    SLOW = 0  # the peer has stopped, or is slow to complete a request
    RECENT = 1  # an incomplete request whose bytes still come
    READING = 2  # the peer goes on reading a response


class MemoryHolder(Protocol):
    """A connection that holds bytes of its peer, or for it.

    Attributes:
        reserved_bytes: The bytes that are on the account for it; only `MemoryBudget` changes it.
    """

    reserved_bytes: int

    def relief_rank(self, now: int) -> ReliefRank | None:
        """Return in which order it has to give up its bytes; None: it can't."""

    def relieve(self) -> None:
        """Give up what it holds, with an answer where one is owed."""


class MemoryBudget:
    """One account of the bytes that peers make the process hold.

    Each connection sets what it holds; requests in flight are added and taken off. Above the high-water mark
    those connections give up what they hold whose peers have stopped or are slowest to complete a request.
    What one connection may buffer shrinks as the part of the capacity that is meant for buffers is used up.
    That part leaves room for all connections that may yet be opened, so that many responses that are read
    slowly stay below the high-water mark together.

    >>> budget = MemoryBudget(8_000_000)
    >>> budget.allowance(), budget.is_full()
    (31250, False)
    >>> budget.buffered = 400_000; budget.allowance()
    6250
    >>> budget.reserved = 7_200_000; budget.is_full()
    True

    Attributes:
        capacity: Bytes that may be reserved.
        max_buffered: Bytes of the capacity that are meant for what connections buffer.
        reserved: Bytes on the account.
        buffered: Bytes of them that connections buffer.
        scarce_above: Number of buffered bytes from which on one connection may buffer less than usual.
        peak: Largest number of bytes seen on the account at a relief or a report.
        relieved: How many times a holder has given up what it held.
        holders: The connections that hold more than themselves.
    """

    def __init__(self, capacity: int = UNLIMITED) -> None:
        self.reserved = 0
        self.buffered = 0
        self.peak = 0
        self.relieved = 0
        self.holders: dict[MemoryHolder, None] = {}
        self._next_relief = 0
        self.set_capacity(capacity)

    def set_capacity(self, capacity: int) -> None:
        """Set the number of bytes that may be reserved."""
        self.capacity = capacity
        self.high_water = int(capacity * HIGH_WATER)
        self.low_water = int(capacity * LOW_WATER)
        self.full = int(capacity * FULL)
        self.max_buffered = int(capacity * BUFFERS_FRACTION)
        self.scarce_above = self.max_buffered - ALLOWANCE_DIVISOR * MAX_ALLOWANCE

    @property
    def max_connections(self) -> int:
        """Number of connections that the capacity allows beside what they buffer."""
        return int(self.capacity * CONNECTIONS_FRACTION) // CONNECTION_BYTES

    def is_full(self) -> bool:
        """Return whether no further request may be admitted."""
        return self.reserved > self.full

    def allowance(self) -> int:
        """Return how many bytes one direction of a connection may buffer now."""
        free = (self.max_buffered - self.buffered) // ALLOWANCE_DIVISOR
        return max(MIN_ALLOWANCE, min(MAX_ALLOWANCE, free))

    def set_reserved(self, holder: MemoryHolder, count: int) -> None:
        """Set the number of bytes that a connection holds."""
        change = count - holder.reserved_bytes
        self.reserved += change
        self.buffered += change
        holder.reserved_bytes = count
        if count:
            self.holders[holder] = None
        else:
            self.holders.pop(holder, None)

    def relieve_if_needed(self) -> None:
        """Above the high-water mark, make holders give up what they hold down to the low-water mark.

        It has to be called from the event loop only, never while a connection processes its input.
        """
        if self.reserved > self.high_water:
            now = clock()
            if now >= self._next_relief:
                self.relieve(self.low_water, now)
                if self.reserved > self.low_water:
                    self._next_relief = now + RELIEF_PAUSE

    def relieve(self, target: int, now: int, last_rank: ReliefRank = ReliefRank.RECENT) -> bool:
        """Make holders give up what they hold until at most `target` bytes are held.

        Args:
            target: Bytes.
            now: Clock time (us).
            last_rank: Holders of a larger rank give up nothing.

        Returns:
            Whether any holder has given up anything.
        """
        self.peak = max(self.peak, self.reserved)
        relieved_before = self.relieved
        for holder in _by_rank(self.holders, now, last_rank):
            if self.reserved <= target:
                break
            holder.relieve()
            self.relieved += 1
        return self.relieved > relieved_before


def _by_rank(holders: Iterable[MemoryHolder], now: int, last_rank: ReliefRank) -> list[MemoryHolder]:
    """Return the holders that can give up anything: by rank, then the largest first."""
    ranked: list[tuple[int, int, int, MemoryHolder]] = []
    for holder in holders:
        rank = holder.relief_rank(now)
        if rank is not None and rank <= last_rank:
            ranked.append((rank, -holder.reserved_bytes, len(ranked), holder))
    return [entry[-1] for entry in sorted(ranked)]
