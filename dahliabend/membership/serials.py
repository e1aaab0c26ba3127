"""Which datagrams of each sender have come: one that comes again, or of a life that is over, is known."""

WINDOW = 1024  # datagrams of one sender that may come out of order


class Serials:
    """A window a sender, as IPsec keeps it (RFC 4303, 3.4.3); the oldest sender is forgotten for a new one.

    >>> serials = Serials()
    >>> [serials.fresh("a", 1, n) for n in (5, 3, 5, 4, 3)], serials.fresh("a", 1, 5 + WINDOW)
    ([True, True, False, True, False], True)
    >>> serials.fresh("a", 1, 5), serials.fresh("a", 2, 1), serials.former("a", 1)
    (False, True, True)
    """

    def __init__(self, most: int = 256) -> None:
        self.most = most
        self.seen: dict[str, tuple[int, int, int]] = {}  # life, highest serial, a bit for each below it

    def former(self, sender: str, life: int) -> bool:
        return sender in self.seen and life < self.seen[sender][0]

    def fresh(self, sender: str, life: int, serial: int) -> bool:
        known, highest, bits = self.seen.get(sender, (-1, 0, 0))
        if life < max(known, 0) or serial <= 0:
            return False
        if life > known:
            highest, bits = serial, 1
            while known < 0 and len(self.seen) >= self.most:
                del self.seen[next(iter(self.seen))]
        elif serial > highest:
            ahead = serial - highest
            bits = (bits << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            highest = serial
        else:
            bit = highest - serial
            if bit >= WINDOW or bits >> bit & 1:
                return False
            bits |= 1 << bit
        self.seen[sender] = life, highest, bits
        return True
