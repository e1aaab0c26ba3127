"""What an upstream of a simulation is and can do."""

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamSpec:
    """What an upstream is and can do. Times are microseconds."""

    name: str
    host: str
    port: int
    zone: str
    cell: int
    cores: int = 2
    slots: int = 8  # requests executed at once on a core, which they share
    queue: int = 8  # and waiting, on a core
    contention_share: float = 1.0  # of its slots: beyond, all work takes longer
    mean_work: int = 8_000  # of a core for a request
    warmup_time: int = 2_000_000
    initial_capacity: float = 0.4  # the share of its capacity at the start of the warm-up
    overload_multiple: float = 4.0  # times its capacity while warming up: it fails for good beyond that
    overload_window: int = 1_000_000
    idle_timeout: int = 2_000_000  # of connections
    answers_health_checks: bool = True
    # With many balancers, requests are counted in place of their work: it fails beyond N + 2 sqrt(N) + 2 of
    # them, where N are allowed.
    counts_requests: bool = False
