"""Resources shared by the endpoints of a pool."""

from collections.abc import Callable
from dataclasses import dataclass

from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

REUSE_DELAY_DIVISOR = 8  # the reuse delay is the connect timeout divided by this


@dataclass(slots=True)
class EndpointResources:
    """Resources shared by the endpoints of a pool, their connections and their requests.

    Attributes:
        timers: Timers of the process.
        descriptors: Budget of file descriptors that connections are counted against.
        connect_timeout: How long opening a connection may take (us).
        idle_timeout: How long a connection may have been idle when it is reused (us); `reuse_delay` is the
            shortest idle time.
        log: Writes a line to the log at level debug.
    """

    timers: TimerQueue
    descriptors: DescriptorBudget
    connect_timeout: int
    idle_timeout: int
    log: Callable[..., None]

    @property
    def reuse_delay(self) -> int:
        """How long a connection is not reused after a response (us): a surplus response may still arrive."""
        return self.connect_timeout // REUSE_DELAY_DIVISOR
