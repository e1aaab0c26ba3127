"""Which datagrams of each sender have come: one that comes again, or of a life that is over, is known."""

WINDOW = 1024  # datagrams of one sender that may come out of order


class ReplayFilter:
    """A window a sender, as IPsec keeps it (RFC 4303, 3.4.3); the oldest sender is forgotten for a new one.

    >>> replay_filter = ReplayFilter()
    >>> [replay_filter.accept("a", 1, n) for n in (5, 3, 5, 4, 3)]
    [True, True, False, True, False]
    >>> replay_filter.accept("a", 1, 5 + WINDOW)
    True
    >>> replay_filter.accept("a", 1, 5), replay_filter.accept("a", 2, 1)
    (False, True)
    >>> replay_filter.is_stale_generation("a", 1)
    True
    """

    def __init__(self, max_senders: int = 256) -> None:
        self.max_senders = max_senders
        self.windows: dict[str, tuple[int, int, int]] = {}  # life, highest serial, a bit for each below it

    def is_stale_generation(self, sender: str, generation: int) -> bool:
        return sender in self.windows and generation < self.windows[sender][0]

    def accept(self, sender: str, generation: int, sequence_number: int) -> bool:
        known, highest, bits = self.windows.get(sender, (-1, 0, 0))
        if generation < max(known, 0) or sequence_number <= 0:
            return False
        if generation > known:
            highest, bits = sequence_number, 1
            while known < 0 and len(self.windows) >= self.max_senders:
                del self.windows[next(iter(self.windows))]
        elif sequence_number > highest:
            ahead = sequence_number - highest
            bits = (bits << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            highest = sequence_number
        else:
            bit = highest - sequence_number
            if bit >= WINDOW or bits >> bit & 1:
                return False
            bits |= 1 << bit
        self.windows[sender] = generation, highest, bits
        return True
