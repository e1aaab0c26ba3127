"""The order in which members are probed: each once per round, in random order."""

from random import Random

from dahliabend.membership.member_table import MemberTable


class ProbeRound:
    """The members still to be probed in the current round.

    Attributes:
        queue: Names of these members, the next one last; some may have departed since.
    """

    __slots__ = ("_random", "_table", "queue")

    def __init__(self, random: Random, table: MemberTable) -> None:
        self._random = random
        self._table = table
        self.queue: list[str] = []

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        self.queue.insert(self._random.randrange(len(self.queue) + 1), name)

    def next(self) -> str | None:
        """Return the next member to probe, or None if no member is present.

        A new round is begun when the current one is over.
        """
        while self.queue and not self._table.is_present(self.queue[-1]):
            self.queue.pop()
        if not self.queue:
            self.queue = self._table.present.copy()
            self._random.shuffle(self.queue)
        return self.queue.pop() if self.queue else None

    def clear(self) -> None:
        """Discard the current round, so that the next probe begins a new one."""
        self.queue = []
