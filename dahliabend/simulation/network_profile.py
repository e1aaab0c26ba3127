"""How a simulated network without faults behaves."""

from dataclasses import dataclass


@dataclass(slots=True)
class NetworkProfile:
    """A network without faults; microseconds and bytes."""

    delay: int = 250  # one way, inside a zone
    cross_zone_delay: int = 3_000
    jitter: float = 0.3  # of the delay, the mean of what comes on top
    bandwidth: int = 125  # bytes a microsecond of one connection
    send_buffer: int = 256 * 1024  # that the sender's system accepts before it blocks
    receive_window: int = 64 * 1024  # that may lie unread at the receiver
    max_segment: int = 0  # 0: no limit of its own
    idle_timeout: int = 0  # after which the path forgets an idle connection, unseen; 0: never
    reset_after_idle: bool = False  # what is sent on a forgotten one is answered by a reset, not by silence
