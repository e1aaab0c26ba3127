"""A connection that notices the peer's disconnect while reading is paused, and how long the pause is."""

from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import Timer, TimerQueue, clock

DISCONNECT_CHECK_INTERVAL = 50_000  # microseconds; a disconnect has to be noticed within 0.1 s

CLIENT_LEFT = "client left with input unread"  # reason for the log


class DisconnectDetectingConnection(Connection):
    """A connection that is checked at intervals while its reading is paused.

    Attributes:
        disconnect_timer: Fires when the next check is due.
        suspended_at: Clock time (us) at which reading was suspended; None while it is not.
    """

    def __init__(self, descriptors: DescriptorBudget, timers: TimerQueue) -> None:
        super().__init__(descriptors)
        self.timers = timers
        self.disconnect_timer: Timer | None = None
        self.suspended_at: int | None = None

    def suspend_reading(self) -> None:
        """Stop reading because the receiver of the bytes is slower."""
        if self.suspended_at is None:
            self.suspended_at = clock()
        super().suspend_reading()

    def resume_reading(self) -> None:
        """Resume reading in the next turn of the event loop, never in a call that dispatches or writes."""
        if self.suspended_at is not None:
            self.reading_resumed(clock() - self.suspended_at)
            self.suspended_at = None
        self.timers.loop.call_soon(super().resume_reading)

    def reading_resumed(self, pause: int) -> None:
        """Handle that reading was suspended for `pause` (us), in which the peer may have had to wait."""

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
            self.abort(CLIENT_LEFT)
        else:
            self.transport_paused()

    def connection_closed(self) -> None:
        """Cancel the next check."""
        self.timers.cancel(self.disconnect_timer)
