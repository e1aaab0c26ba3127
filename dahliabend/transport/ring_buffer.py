"""A ring of bytes of fixed size."""


class RingBuffer:
    """Bytes go in at the tail and out at the head; both ends hand out views, so nothing is copied twice.

    >>> ring = RingBuffer(4)
    >>> ring.write_from(b"abcdef", 0), bytes(ring.readable_view())
    (4, b'abcd')
    >>> ring.consume(3); ring.write_from(b"ef", 0), bytes(ring.readable_view())
    (2, b'd')
    >>> ring.consume(1); bytes(ring.readable_view())
    b'ef'
    """

    __slots__ = ("count", "head", "size", "view")

    def __init__(self, size: int) -> None:
        self.view = memoryview(bytearray(size))
        self.size, self.head, self.count = size, 0, 0

    def writable_view(self) -> memoryview:
        """The free bytes that lie together behind the tail; empty only when the ring is full."""
        tail = self.head + self.count
        if tail >= self.size:
            return self.view[tail - self.size : self.head]
        return self.view[tail:]

    def commit(self, count: int) -> None:
        self.count += count

    def readable_view(self) -> memoryview:
        """The oldest bytes, as far as they lie together."""
        return self.view[self.head : min(self.head + self.count, self.size)]

    def consume(self, count: int) -> None:
        self.count -= count
        self.head = (self.head + count) % self.size if self.count else 0

    def write_from(self, data: bytes, start: int) -> int:
        """Copies as much of `data` from `start` on as there is room for; how many bytes that was."""
        done = start
        while done < len(data) and self.count < self.size:
            room = self.writable_view()
            part = min(len(room), len(data) - done)
            room[:part] = data[done : done + part]
            self.commit(part)
            done += part
        return done - start
