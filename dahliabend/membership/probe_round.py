"""The order in which members are probed: each once a round, the order of a round is random."""

from random import Random

from dahliabend.membership.member_table import MemberTable


class ProbeRound:
    """Members to probe in this round.

    Attributes:
        queue: Their names, the next one last; some may have departed.
    """

    __slots__ = ("_random", "_table", "queue")

    def __init__(self, random: Random, table: MemberTable) -> None:
        self._random = random
        self._table = table
        self.queue: list[str] = []

    def insert(self, name: str) -> None:
        """Put a new member somewhere among those still to be probed."""
        self.queue.insert(self._random.randrange(len(self.queue) + 1), name)

    def next(self) -> str | None:
        """Take the next member, from a new round if need be; None if nobody is present."""
        while self.queue and not self._table.is_present(self.queue[-1]):
            self.queue.pop()
        if not self.queue:
            self.queue = self._table.present.copy()
            self._random.shuffle(self.queue)
        return self.queue.pop() if self.queue else None

    def clear(self) -> None:
        """Begin a new round with the next probe."""
        self.queue = []
