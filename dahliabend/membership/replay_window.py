"""Detection of replayed datagrams by a sliding window of sequence numbers for each sender."""

from dataclasses import dataclass, replace

WINDOW_SIZE = 1024  # datagrams of one sender that may arrive out of order
WINDOW_MASK = (1 << WINDOW_SIZE) - 1


@dataclass(slots=True)
class _Window:
    """The sequence numbers received from one sender.

    Attributes:
        generation: Generation of the sender.
        highest: The highest sequence number received.
        received_bits: Bit n is set if the sequence number `highest - n` has been received.
    """

    generation: int
    highest: int
    received_bits: int

    def accept(self, sequence_number: int) -> bool:
        """Record a sequence number; return False if it is recorded already or lies before the window."""
        ahead = sequence_number - self.highest
        if ahead > 0:
            self.highest = sequence_number
            self.received_bits = (self.received_bits << ahead | 1) & WINDOW_MASK if ahead < WINDOW_SIZE else 1
            return True
        behind = -ahead
        if behind >= WINDOW_SIZE or self.received_bits >> behind & 1:
            return False
        self.received_bits |= 1 << behind
        return True


class ReplayFilter:
    """One window per sender, as in IPsec (RFC 4303, 3.4.3).

    At `max_senders` windows, a new sender evicts the one that was added first.

    >>> replay_filter = ReplayFilter()
    >>> [replay_filter.accept("a", 1, n) for n in (5, 3, 5, 4, 3)]
    [True, True, False, True, False]
    >>> replay_filter.accept("a", 1, 5 + WINDOW_SIZE), replay_filter.accept("a", 1, 5)
    (True, False)
    >>> replay_filter.accept("a", 2, 1), replay_filter.is_stale_generation("a", 1)
    (True, True)
    """

    __slots__ = ("_windows", "max_senders")

    def __init__(self, max_senders: int = 256) -> None:
        self.max_senders = max_senders
        self._windows: dict[str, _Window] = {}

    def __len__(self) -> int:
        """Return the number of senders that have a window."""
        return len(self._windows)

    def copy_state(self, original: "ReplayFilter") -> None:
        """Copy the state of another filter into this one."""
        self.max_senders = original.max_senders
        self._windows = {sender: replace(window) for sender, window in original._windows.items()}

    def is_stale_generation(self, sender: str, generation: int) -> bool:
        """Return whether a later generation of this sender has been accepted."""
        window = self._windows.get(sender)
        return window is not None and generation < window.generation

    def accept(self, sender: str, generation: int, sequence_number: int) -> bool:
        """Record a datagram.

        Args:
            sender: Name and address of its sender.
            generation: Generation of the sender.
            sequence_number: Number of the datagram, from 1.

        Returns:
            Whether the datagram is new: neither replayed, nor older than the window, nor of a stale
            generation.
        """
        if generation < 0 or sequence_number <= 0:
            return False
        window = self._windows.get(sender)
        if window is None:
            self._evict_oldest()
            self._windows[sender] = _Window(generation, sequence_number, 1)
            return True
        if generation > window.generation:
            self._windows[sender] = _Window(generation, sequence_number, 1)
            return True
        return generation == window.generation and window.accept(sequence_number)

    def _evict_oldest(self) -> None:
        while len(self._windows) >= self.max_senders:
            del self._windows[next(iter(self._windows))]
