"""A table whose slots are reused, but whose handles are not."""

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

NO_HANDLE = -1


class HandleTable(Generic[T]):
    """A table of fixed capacity that stores items by handle.

    A handle stands for one use of a slot. After the item has been removed, its handle finds nothing, so that
    a late event never reaches the next item in the same slot.

    >>> table = HandleTable(1)
    >>> first = table.add("a"); table.add("b"), table.remove(first), table.get(first)
    (-1, 'a', None)
    >>> second = table.add("c"); second != first, table.get(first), table.get(second), len(table)
    (True, None, 'c', 1)
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.items: list[T | None] = []
        self.handles: list[int] = []  # by slot, handle of its current or last item
        self.free_slots: list[int] = []

    def __len__(self) -> int:
        return len(self.items) - len(self.free_slots)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self.items if item is not None])

    def add(self, item: T) -> int:
        """Store an item; return its handle, or `NO_HANDLE` if no slot is free."""
        if self.free_slots:
            slot = self.free_slots.pop()
            self.handles[slot] += self.capacity
            self.items[slot] = item
        elif len(self.items) < self.capacity:
            slot = len(self.items)
            self.handles.append(slot)
            self.items.append(item)
        else:
            return NO_HANDLE
        return self.handles[slot]

    def get(self, handle: int) -> T | None:
        """Return the item, or None if it has been removed."""
        slot = handle % self.capacity
        if slot < len(self.items) and self.handles[slot] == handle:
            return self.items[slot]
        return None

    def remove(self, handle: int) -> T | None:
        """Remove an item and return it; return None if it has been removed before."""
        item = self.get(handle)
        if item is not None:
            slot = handle % self.capacity
            self.items[slot] = None
            self.free_slots.append(slot)
        return item
