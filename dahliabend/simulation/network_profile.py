"""The behaviour of a simulated network apart from faults."""

from dataclasses import dataclass


@dataclass(slots=True)
class NetworkProfile:
    """The behaviour of a network apart from faults. Times are in microseconds, sizes in bytes."""

    delay: int = 250  # one way, inside a zone
    cross_zone_delay: int = 3_000
    jitter: float = 0.3  # mean random addition to the delay, as a share of it
    bandwidth: int = 125  # bytes per microsecond, for each direction of a connection
    send_buffer: int = 256 * 1024  # bytes that may be written before the peer has received them
    receive_window: int = 64 * 1024  # bytes that may be unread or in flight
    max_segment: int = 0  # 0: the default limit, connections.MAX_SEGMENT
    path_idle_timeout: int = 0  # idle time after which the path silently drops a connection; 0: never
    resets_after_idle: bool = False  # whether data on a dropped connection is answered with a reset
