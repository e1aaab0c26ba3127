"""Tables of numbered slots."""

from typing import Generic, TypeVar

T = TypeVar("T")


class Slots(Generic[T]):
    """Items by number. A number names one stay in a slot: once it is over, the number finds nothing,
    so a late event never reaches whoever has the slot next.

    >>> table = Slots(1)
    >>> first = table.put("a"); table.put("b"), table.drop(first), table.get(first)
    (-1, 'a', None)
    >>> second = table.put("c"); second != first, table.get(first), table.get(second), len(table)
    (True, None, 'c', 1)
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.items: list[T | None] = []
        self.numbers: list[int] = []
        self.free: list[int] = []

    def __len__(self) -> int:
        return len(self.items) - len(self.free)

    def __iter__(self):
        return iter([item for item in self.items if item is not None])

    def put(self, item: T) -> int:
        """The number of its stay; -1 where no slot is free."""
        if self.free:
            slot = self.free.pop()
            self.numbers[slot] += self.size
            self.items[slot] = item
        elif len(self.items) < self.size:
            slot = len(self.items)
            self.numbers.append(slot)
            self.items.append(item)
        else:
            return -1
        return self.numbers[slot]

    def get(self, number: int) -> T | None:
        slot = number % self.size
        return self.items[slot] if slot < len(self.items) and self.numbers[slot] == number else None

    def drop(self, number: int) -> T | None:
        item = self.get(number)
        if item is not None:
            slot = number % self.size
            self.items[slot] = None
            self.free.append(slot)
        return item
