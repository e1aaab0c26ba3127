"""The table of connections, which is also the budget of descriptors."""

from itertools import chain

from dahliabend.transport.handles import Slots

DOOR = 16  # of the limit: the operators' own, never lent to callers
OTHERS = 16  # what the program holds beside connections: standard streams, listener, loop, files at the start
RESERVE = 1 / 16  # of the limit: kept for callers who can only be told that there is no room for a hop


class Descriptors:
    """Owns each connection's descriptor from `take` until `give_back`, the one place where it returns.

    Idle connections are remembered in the order in which they went idle; the oldest is closed when another
    is wanted and none is left. Where none is idle, one goes that has long been slow to send: many that
    trickle would keep all others out.

    >>> budget = Descriptors(26)
    >>> [budget.take(n) for n in "abc"], budget.full(), budget.crowded, budget.exhausted()
    ([0, 1, 2], True, True, False)
    >>> [budget.take(n) for n in "defghij"], budget.exhausted(), budget.give_back(1), budget.exhausted()
    ([3, 4, 5, 6, 7, 8, 9], True, None, False)
    """

    def __init__(self, limit: int) -> None:
        self.connections: Slots = Slots(limit - OTHERS)
        self.idle: dict[int, int] = {}  # number: since when
        self.slow: dict[int, int] = {}  # of those that owe the rest of a request: when they count as slow
        self.leaving: set[int] = set()  # told to go, not yet closed
        self.reserve = max(8, round(limit * RESERVE))
        self.lend(1)

    def lend(self, part: float) -> None:
        """Only so much is this process's, another lives on the rest. Idle connections beyond are closed."""
        self.most = round(self.connections.size * part)
        self.room = max(1, self.most - self.reserve)
        for number in tuple(self.idle):
            connection = self.connections.get(number)
            if not self.crowded:
                break
            if connection.may_go():
                self.dismiss(number, connection)

    def dismiss(self, number: int, connection) -> None:
        """Its slot comes back once it is closed; until then the reserve bears it."""
        self.leaving.add(number)
        connection.shut()

    def full(self, now: int = 0) -> bool:
        """Is none left but the reserve? Then the oldest idle connection is told to go, and makes room."""
        if not self.crowded:
            return False
        late = (number for number, when in self.slow.items() if when <= now)
        for number in chain(self.idle, late):
            connection = self.connections.get(number)
            if connection.may_go():
                self.dismiss(number, connection)
                return self.exhausted()
        return True

    @property
    def crowded(self) -> bool:
        """Is the reserve in use? Then no connection is kept for later."""
        return len(self.connections) - len(self.leaving) >= self.room

    def exhausted(self) -> bool:
        """Is even the reserve gone?"""
        return len(self.connections) >= self.most

    def take(self, connection) -> int:
        return self.connections.put(connection)

    def rest(self, number: int, now: int) -> None:
        self.busy(number)
        self.idle[number] = now

    def owes(self, number: int, slow_at: int) -> None:
        self.idle.pop(number, None)
        self.slow[number] = slow_at

    def busy(self, number: int) -> None:
        self.idle.pop(number, None)
        self.slow.pop(number, None)

    def rested(self, before: int) -> list:
        """The connections idle since before then, oldest first."""
        old = []
        for number, since in self.idle.items():
            if since >= before:
                break
            old.append(self.connections.get(number))
        return old

    def give_back(self, number: int) -> None:
        self.busy(number)
        self.leaving.discard(number)
        self.connections.drop(number)
