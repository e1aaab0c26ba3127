"""Connections that notice that the peer has gone also while nothing is read from it."""

from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import Timer, TimerQueue, clock

HANGUP_CHECK_INTERVAL = 50_000  # microseconds; a client that has gone counts within 0.1 s


class HangupDetectingConnection(Connection):
    """A connection that is checked from time to time while its reading is paused.

    Attributes:
        hangup_timer: Fires at the next check.
    """

    def __init__(self, descriptors: DescriptorBudget, timers: TimerQueue) -> None:
        super().__init__(descriptors)
        self.timers = timers
        self.hangup_timer: Timer | None = None

    def transport_paused(self) -> None:
        """Schedules the next check."""
        self.timers.cancel(self.hangup_timer)
        self.hangup_timer = self.timers.schedule(clock() + HANGUP_CHECK_INTERVAL, self.check_hangup)

    def check_hangup(self) -> None:
        """Closes it if the peer has gone: what it sent ahead would be served for nobody."""
        if not self.reading_paused or self.closed:
            return
        if self.peer_has_closed():
            self.abort()
        else:
            self.transport_paused()

    def connection_closed(self) -> None:
        """Checks no more."""
        self.timers.cancel(self.hangup_timer)
