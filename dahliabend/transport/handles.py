"""Tables of numbered slots."""

from typing import Generic, TypeVar

T = TypeVar("T")


class HandleTable(Generic[T]):
    """Items by number. A number names one stay in a slot: once it is over, the number finds nothing,
    so a late event never reaches whoever has the slot next.

    >>> table = HandleTable(1)
    >>> first = table.add("a"); table.add("b"), table.remove(first), table.get(first)
    (-1, 'a', None)
    >>> second = table.add("c"); second != first, table.get(first), table.get(second), len(table)
    (True, None, 'c', 1)
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.items: list[T | None] = []
        self.handles: list[int] = []
        self.free_slots: list[int] = []

    def __len__(self) -> int:
        return len(self.items) - len(self.free_slots)

    def __iter__(self):
        return iter([item for item in self.items if item is not None])

    def add(self, item: T) -> int:
        """The number of its stay; -1 where no slot is free."""
        if self.free_slots:
            slot = self.free_slots.pop()
            self.handles[slot] += self.capacity
            self.items[slot] = item
        elif len(self.items) < self.capacity:
            slot = len(self.items)
            self.handles.append(slot)
            self.items.append(item)
        else:
            return -1
        return self.handles[slot]

    def get(self, handle: int) -> T | None:
        slot = handle % self.capacity
        return self.items[slot] if slot < len(self.items) and self.handles[slot] == handle else None

    def remove(self, handle: int) -> T | None:
        item = self.get(handle)
        if item is not None:
            slot = handle % self.capacity
            self.items[slot] = None
            self.free_slots.append(slot)
        return item
