"""A connection that notices the peer's disconnect even while reading is paused."""

from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import Timer, TimerQueue, clock

DISCONNECT_CHECK_INTERVAL = 50_000  # microseconds; a disconnect has to be noticed within 0.1 s


class DisconnectDetectingConnection(Connection):
    """A connection that is checked at intervals while its reading is paused.

    Attributes:
        disconnect_timer: Fires when the next check is due.
    """

    def __init__(self, descriptors: DescriptorBudget, timers: TimerQueue) -> None:
        super().__init__(descriptors)
        self.timers = timers
        self.disconnect_timer: Timer | None = None

    def transport_paused(self) -> None:
        """Schedule the next check."""
        self.timers.cancel(self.disconnect_timer)
        self.disconnect_timer = self.timers.schedule(
            clock() + DISCONNECT_CHECK_INTERVAL, self.check_for_disconnect
        )

    def check_for_disconnect(self) -> None:
        """Close the connection if the peer has disconnected.

        Otherwise the requests that the peer sent before would be served although nobody reads the responses.
        """
        if not self.is_transport_paused or self.closed:
            return
        if self.peer_has_closed():
            self.abort()
        else:
            self.transport_paused()

    def connection_closed(self) -> None:
        """Cancel the next check."""
        self.timers.cancel(self.disconnect_timer)
