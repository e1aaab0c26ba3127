"""What the endpoints of one pool share."""

from collections.abc import Callable
from dataclasses import dataclass

from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

REUSE_DELAY_DIVISOR = 8  # of the connect timeout


@dataclass(slots=True)
class EndpointResources:
    """What the endpoints of a pool, their connections and their requests are given to work with.

    Attributes:
        timers: Timers of the process.
        descriptors: The budget of descriptors that connections are counted against.
        connect_timeout: How long a connection may take to open (us).
        idle_timeout: How long an idle connection is used again (us), beginning with `reuse_delay`.
        log: Writes a line to the log at level debug.
    """

    timers: TimerQueue
    descriptors: DescriptorBudget
    connect_timeout: int
    idle_timeout: int
    log: Callable[..., None]

    @property
    def reuse_delay(self) -> int:
        """How long after a response its connection isn't used again (us): a surplus one may still come."""
        return self.connect_timeout // REUSE_DELAY_DIVISOR
