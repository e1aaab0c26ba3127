"""The requests that may have run and may not run again, by trace id, in all processes of an upgrade."""

from hashlib import blake2b
from typing import NamedTuple

from dahliabend.transport.timers import MICROSECONDS_PER_SECOND, clock

# Microseconds for which a request is remembered at least, and at most twice that.
RETENTION = 10 * MICROSECONDS_PER_SECOND
DIGEST_BYTES = 8
BUCKETS = 512
SLOTS_PER_BUCKET = 8
GENERATIONS = 2
SLOTS_PER_GENERATION = BUCKETS * SLOTS_PER_BUCKET
TABLE_BYTES = GENERATIONS * SLOTS_PER_GENERATION * DIGEST_BYTES
EMPTY = 0  # no digest


def digest_of(trace_id: bytes) -> int:
    """Return the digest of a trace id."""
    return int.from_bytes(blake2b(trace_id, digest_size=DIGEST_BYTES).digest(), "little") or 1


class DigestTable:
    """A set of digests of fixed size in a block of memory, which another process may read meanwhile.

    A digest is stored in one of the slots of its bucket. If all are taken, the oldest one is overwritten.

    >>> table = DigestTable(memoryview(bytearray(TABLE_BYTES)))
    >>> table.add(0, 7); table.contains(7), table.contains(8)
    (True, False)
    >>> table.discard(7); table.contains(7)
    False
    """

    def __init__(self, block: memoryview) -> None:
        """Use a block of `TABLE_BYTES` bytes."""
        self.slots = block.cast("Q")

    def _bucket(self, generation: int, digest: int) -> int:
        return generation * SLOTS_PER_GENERATION + digest % BUCKETS * SLOTS_PER_BUCKET

    def add(self, generation: int, digest: int) -> None:
        """Add a digest to a generation, as the newest of its bucket."""
        start = self._bucket(generation, digest)
        bucket = self.slots[start : start + SLOTS_PER_BUCKET].tolist()
        free = bucket.index(EMPTY) if EMPTY in bucket else None
        if free is None:
            for position in range(SLOTS_PER_BUCKET - 1):
                self.slots[start + position] = bucket[position + 1]
            free = SLOTS_PER_BUCKET - 1
        self.slots[start + free] = digest

    def contains(self, digest: int) -> bool:
        """Return whether any generation has a digest."""
        return any(
            digest in self.slots[start : start + SLOTS_PER_BUCKET].tolist()
            for start in (self._bucket(generation, digest) for generation in range(GENERATIONS))
        )

    def discard(self, digest: int) -> None:
        """Remove a digest."""
        for generation in range(GENERATIONS):
            start = self._bucket(generation, digest)
            for slot in range(start, start + SLOTS_PER_BUCKET):
                if self.slots[slot] == digest:
                    self.slots[slot] = EMPTY

    def clear(self, generation: int) -> None:
        """Remove all digests of a generation."""
        first = generation * SLOTS_PER_GENERATION
        empty = memoryview(bytearray(SLOTS_PER_GENERATION * DIGEST_BYTES)).cast("Q")
        self.slots[first : first + SLOTS_PER_GENERATION] = empty


class ForeignTable(NamedTuple):
    """The table of another process, and when it is forgotten (us); None while that process lives."""

    table: DigestTable
    forget_at: int | None


class ExecutedRequests:
    """Remembers the requests that may have run, so that one that comes again is not run twice.

    A request is added before its first attempt is sent, and removed if no attempt can have run or its client
    has the response. It counts as run, too, if another process on the same listening socket has added it.

    Attributes:
        table: The requests of this process; None before the first one, unless it is shared.
        foreign: The tables of other processes, by name.
    """

    def __init__(self) -> None:
        self.table: DigestTable | None = None
        self.foreign: dict[str, ForeignTable] = {}
        self._generation = 0
        self._rotate_at = 0

    def share(self, block: memoryview) -> None:
        """Keep the requests in a block of memory that other processes can read."""
        self.table = DigestTable(block)

    def add_foreign(self, name: str, block: memoryview, is_alive: bool) -> None:
        """Look at the requests of another process, too."""
        self.foreign[name] = ForeignTable(DigestTable(block), None if is_alive else clock() + RETENTION)

    def update_foreign(self, live: set[str], now: int) -> None:
        """Forget the requests of processes that ended some time ago, given the names of the live ones."""
        for name, entry in tuple(self.foreign.items()):
            if name in live:
                continue
            if entry.forget_at is None:
                self.foreign[name] = ForeignTable(entry.table, now + RETENTION)
            elif now >= entry.forget_at:
                del self.foreign[name]

    def try_add(self, trace_id: bytes) -> bool:
        """Add a request; return False if it may have run, here or in another process."""
        digest = digest_of(trace_id)
        table = self._current_table()
        if table.contains(digest):
            return False
        # Added before the others are looked at: of two processes that do so at the same time, none goes on.
        table.add(self._generation, digest)
        return not any(entry.table.contains(digest) for entry in self.foreign.values())

    def discard(self, trace_id: bytes) -> None:
        """Remove a request that cannot have run."""
        if self.table is not None:
            self.table.discard(digest_of(trace_id))

    def _current_table(self) -> DigestTable:
        """Return the table, after the older generation has been dropped if it is time."""
        if self.table is None:
            self.table = DigestTable(memoryview(bytearray(TABLE_BYTES)))
        now = clock()
        if now >= self._rotate_at:
            if now >= self._rotate_at + RETENTION:
                self.table.clear(self._generation)
            self._rotate_at = now + RETENTION
            self._generation = (self._generation + 1) % GENERATIONS
            self.table.clear(self._generation)
        return self.table
