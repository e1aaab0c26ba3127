"""A ring buffer of bytes of fixed size."""


class RingBuffer:
    """Adds bytes at the tail and removes them at the head; both ends are views, so nothing is copied twice.

    >>> ring = RingBuffer(4)
    >>> ring.write_from(b"abcdef", 0), bytes(ring.readable_view())
    (4, b'abcd')
    >>> ring.consume(3); ring.write_from(b"ef", 0), bytes(ring.readable_view())
    (2, b'd')
    >>> ring.consume(1); bytes(ring.readable_view())
    b'ef'

    Attributes:
        size: Capacity in bytes.
        head: Position of the oldest byte.
        count: Number of bytes stored.
    """

    __slots__ = ("count", "head", "size", "view")

    def __init__(self, size: int) -> None:
        self.view = memoryview(bytearray(size))
        self.size = size
        self.head = 0
        self.count = 0

    def writable_view(self) -> memoryview:
        """Return the contiguous free bytes after the tail; empty only if the ring is full."""
        tail = self.head + self.count
        if tail >= self.size:
            return self.view[tail - self.size : self.head]
        return self.view[tail:]

    def commit(self, count: int) -> None:
        """Add the first `count` bytes of the writable view, which have been written."""
        self.count += count

    def readable_view(self) -> memoryview:
        """Return the oldest bytes, as far as they are contiguous."""
        return self.view[self.head : min(self.head + self.count, self.size)]

    def consume(self, count: int) -> None:
        """Remove the oldest `count` bytes."""
        self.count -= count
        self.head = (self.head + count) % self.size if self.count else 0

    def write_from(self, data: bytes, start: int) -> int:
        """Copy `data` from `start` on, as far as there is space; return the number of bytes copied."""
        end = start
        while end < len(data) and self.count < self.size:
            space = self.writable_view()
            count = min(len(space), len(data) - end)
            space[:count] = data[end : end + count]
            self.count += count
            end += count
        return end - start
