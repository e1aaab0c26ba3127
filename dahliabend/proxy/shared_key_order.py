"""The order of requests with the same key over all processes of an upgrade, in memory that they share."""

from typing import NamedTuple, Protocol

from dahliabend.policy.key_order import KeyState
from dahliabend.proxy.executed_requests import digest_of

SLOTS = 4096
FIELDS_PER_SLOT = 2
BUSY_UNTIL = 0  # index of a field: until when an attempt may run if its process is killed; 0: none is out
WAITING_SINCE = 1  # when the earliest request that waits was admitted; 0: none waits
FIELD_BYTES = 8
TABLE_BYTES = SLOTS * FIELDS_PER_SLOT * FIELD_BYTES


class Lock(Protocol):
    """A lock between the processes, which the system releases when its holder ends."""

    def try_acquire(self) -> bool:
        """Acquire the lock unless another process holds it; return whether it was acquired."""

    def release(self) -> None:
        """Release the lock."""


class ForeignProcess(NamedTuple):
    """The table of another process.

    Attributes:
        fields: The fields of its slots.
        is_alive: Whether the process lives.
    """

    fields: memoryview
    is_alive: bool


class SharedKeyOrder:
    """Decides whether a request's turn has come among the processes on one listening socket.

    Each process writes a table of its own, which the others read. Keys with the same slot wait for each other
    in different processes, as if they were one key, so that a table has a fixed size. A request may begin if
    no other process has a request of the slot out, and none that was admitted earlier waits there. The clock
    of admission is that of the machine, which all processes share.

    A process that is killed leaves its table: what it had out counts as out until its deadline, and what
    waited there counts no more.

    Attributes:
        foreign: The tables of other processes, by name.
    """

    def __init__(self, block: memoryview, lock: Lock) -> None:
        """Use a block of `TABLE_BYTES` bytes that other processes can read."""
        self.fields = block.cast("Q")
        self.lock = lock
        self.foreign: dict[str, ForeignProcess] = {}
        self._states: dict[int, dict[bytes, KeyState]] = {}  # of this process, by slot and key

    # Other processes

    def add_foreign(self, name: str, block: memoryview, *, is_alive: bool) -> None:
        """Consider the table of another process."""
        self.foreign[name] = ForeignProcess(block.cast("Q"), is_alive)

    def update_foreign(self, live: set[str], now: int) -> None:
        """Note which processes live, and forget those that have ended and have nothing out any more."""
        for name, entry in tuple(self.foreign.items()):
            if name in live:
                continue
            if max(entry.fields[BUSY_UNTIL::FIELDS_PER_SLOT].tolist()) <= now:
                del self.foreign[name]
            elif entry.is_alive:
                self.foreign[name] = entry._replace(is_alive=False)

    # Keys of this process

    def publish(self, key: bytes, state: KeyState) -> None:
        """Tell the other processes what is out and what waits for a key; both 0: the key is not in use."""
        slot = digest_of(key) % SLOTS
        states = self._states.setdefault(slot, {})
        states[key] = state
        if not any(state):
            del states[key]
        busy_until = max((each.busy_until for each in states.values()), default=0)
        waiting_since = min((each.waiting_since for each in states.values() if each.waiting_since), default=0)
        self.fields[slot * FIELDS_PER_SLOT + BUSY_UNTIL] = busy_until
        self.fields[slot * FIELDS_PER_SLOT + WAITING_SINCE] = waiting_since
        if not states:
            del self._states[slot]

    def withdraw_all(self) -> None:
        """Tell the other processes that no key is in use."""
        for states in tuple(self._states.values()):
            for key in tuple(states):
                self.publish(key, KeyState(0, 0))

    def try_begin(self, key: bytes, admitted_at: int, now: int, state: KeyState) -> bool:
        """Publish a state with a request out if its turn has come; return whether it has.

        Args:
            key: The key of the request.
            admitted_at: When the request was admitted.
            now: The current time.
            state: What is published if its turn has come.
        """
        if not self.lock.try_acquire():
            return False  # another process is just taking a turn
        try:
            slot = digest_of(key) % SLOTS
            if any(_is_before(entry, slot, admitted_at, now) for entry in self.foreign.values()):
                return False
            self.publish(key, state)
            return True
        finally:
            self.lock.release()


def _is_before(entry: ForeignProcess, slot: int, admitted_at: int, now: int) -> bool:
    """Return whether a request that was admitted here has to wait for another process."""
    busy_until = entry.fields[slot * FIELDS_PER_SLOT + BUSY_UNTIL]
    if not entry.is_alive:
        return bool(now < busy_until)
    waiting_since = entry.fields[slot * FIELDS_PER_SLOT + WAITING_SINCE]
    return bool(busy_until or 0 < waiting_since < admitted_at)
