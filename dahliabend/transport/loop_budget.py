"""The division of each turn of the event loop among the connections that have input."""

import asyncio
from typing import Protocol

from dahliabend.transport.timers import clock

RECEIVE_AREA_BYTES = 8192  # largest single read
# Microseconds.
ITERATION_TIME = 5_000  # of processing input in one turn, for all connections together
CONNECTION_TIME = 1_000  # of that, for one connection
MIN_GAP = 2_000  # without input, after which no turn is under way that has had input
LONG_ITERATION = 20_000
MAX_WAIT = 100_000  # until a connection that waits is due, however much processing time it has had
WAIT_PER_ATTAINED = 32  # by what multiple of its processing time a connection is due later


class InputProcessor(Protocol):
    """A connection that has input to process.

    Attributes:
        attained_time: Processing time (us) that it has had since it last had no input left.
    """

    attained_time: int

    def process_input(self) -> None:
        """Process input until none is left or the connection's share of the turn is used up."""


class LoopBudget:
    """Divides the time of a turn: what can't be processed in it waits for the next turns.

    A connection that waits is due the later, the more processing time it has had, and the first one due goes
    first. So a small request is served ahead of large or endless ones, however many connections send these,
    and a large one is not put off for good by ever new small ones.

    One area receives the bytes of every read: they are processed, or copied, before the next one.

    Attributes:
        receive_area: The buffer of all reads.
        is_over: Whether the time of this turn is used up.
        was_long: Whether the last turn with input was so long that input has waited for it.
        long_since: Clock time (us) at which that turn began.
        longest_iteration: Longest time (us) between two turns with input, since `take_longest`.
        deferred: The connections that wait, each with the clock time (us) from which it is due.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None) -> None:
        """Create a budget.

        Args:
            loop: The event loop; None: turns have no end, as in tests without a loop.
        """
        self.loop = loop
        self.receive_area = memoryview(bytearray(RECEIVE_AREA_BYTES))
        self.is_over = False
        self.longest_iteration = 0
        self.was_long = False
        self.long_since = 0
        self.deferred: dict[InputProcessor, int] = {}
        self._began_at = 0
        self._burst_began_at = 0
        self._last_input_at = 0
        self._is_running = False  # whether the end of the turn is scheduled

    def read_view(self, limit: int) -> memoryview:
        """Return where the next read goes, `limit` bytes at most."""
        return self.receive_area[:limit]

    def has_time(self, now: int) -> bool:
        """Return whether input may be processed at `now` (us, clock time).

        A call in the next turn costs the event loop a turn more. So the turn is only watched once input has
        come without a gap for as long as a turn may last.
        """
        if self._is_running:
            if now >= self._began_at + ITERATION_TIME:
                self.is_over = True
            return not self.is_over
        if now - self._last_input_at > MIN_GAP:
            self._burst_began_at = now
        elif now - self._burst_began_at > ITERATION_TIME:
            self._begin(now)
        self._last_input_at = now
        return True

    def _begin(self, now: int) -> None:
        self._began_at = now
        self.is_over = False
        if self.loop is not None:
            self._is_running = True
            self.loop.call_soon(self._next_iteration)

    def defer(self, connection: InputProcessor) -> None:
        """Let a connection process its input in a later turn."""
        now = clock()
        self.deferred[connection] = now + min(MAX_WAIT, WAIT_PER_ATTAINED * connection.attained_time)
        if not self._is_running:
            self._begin(now)

    def forget(self, connection: InputProcessor) -> None:
        """Remove a connection that has been closed."""
        self.deferred.pop(connection, None)

    def _next_iteration(self) -> None:
        """Begin the next turn with the connections that wait."""
        now = clock()
        duration = now - self._began_at
        self.was_long = duration > LONG_ITERATION
        self.long_since = self._began_at
        self.longest_iteration = max(self.longest_iteration, duration)
        self._is_running = False
        self._burst_began_at = now
        if not self.deferred:
            self.is_over = False
            return
        self._begin(now)
        for connection in sorted(self.deferred, key=self.deferred.__getitem__):
            if connection not in self.deferred:  # another one's input has closed it
                continue
            del self.deferred[connection]
            connection.process_input()
            if not self.has_time(clock()):
                return

    def take_longest(self) -> int:
        """Return the longest turn (us) since the last call."""
        longest = self.longest_iteration
        self.longest_iteration = 0
        return longest
