"""The specification of a simulated upstream."""

from dataclasses import dataclass


@dataclass(slots=True)
class UpstreamSpec:
    """The address, capacity and settings of an upstream. All times are in microseconds."""

    name: str
    host: str
    port: int
    zone: str
    cell: int
    cores: int = 2
    slots: int = 8  # requests that a core executes concurrently, sharing its time
    queue: int = 8  # requests that wait, per core
    contention_share: float = 1.0  # share of the slots in use above which all work takes longer
    mean_work: int = 8_000  # core time of a request
    warmup_time: int = 2_000_000
    initial_capacity: float = 0.4  # share of the full capacity at the start of the warm-up
    overload_multiple: float = 4.0  # multiple of the warm-up capacity above which it hangs for good
    overload_window: int = 1_000_000  # time over which arriving work is summed up
    idle_timeout: int = 2_000_000  # time after which idle connections are closed
    answers_health_checks: bool = True
    # Whether the overload limit counts requests instead of their work, for simulations with many balancers.
    # Where N requests are allowed, the upstream hangs for good above N + 2 sqrt(N) + 2 of them.
    counts_requests: bool = False
