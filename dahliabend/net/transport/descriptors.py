"""The table of connections, which is also the budget of descriptors."""

from dahliabend.net.transport.slots import Slots

RESERVE = 1 / 16  # of the limit: kept for the listener, the watch, the log, and callers told that we are full


class Descriptors:
    """Owns each connection's descriptor from `take` until `give_back`, the one place where it returns.

    Idle connections are remembered in the order in which they went idle; the oldest is closed when another
    is wanted and none is left.
    """

    def __init__(self, limit: int) -> None:
        self.connections: Slots = Slots(limit)
        self.room = limit - max(8, round(limit * RESERVE))
        self.idle: dict[int, int] = {}  # number: since when

    def full(self) -> bool:
        """Is none left but the reserve? Then the oldest idle connection is told to go."""
        if len(self.connections) < self.room:
            return False
        while self.idle:
            connection = self.connections.get(next(iter(self.idle)))
            self.idle.pop(next(iter(self.idle)))
            if connection is not None:
                connection.shut()  # its slot comes back once it is closed; until then the reserve bears it
                return len(self.connections) >= self.connections.size - 4
        return True

    def take(self, connection) -> int:
        return self.connections.put(connection)

    def rest(self, number: int, now: int) -> None:
        self.idle.pop(number, None)
        self.idle[number] = now

    def busy(self, number: int) -> None:
        self.idle.pop(number, None)

    def rested(self, before: int) -> list:
        """The connections idle since before then, oldest first."""
        old = []
        for number, since in self.idle.items():
            if since >= before:
                break
            old.append(self.connections.get(number))
        return old

    def give_back(self, number: int) -> None:
        self.idle.pop(number, None)
        self.connections.drop(number)
