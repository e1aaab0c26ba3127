"""Plain types shared by the decisions and whatever protocol drives them. No I/O here.

All times are whole microseconds. Upstreams are small indices given out at the door.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class Effect(IntEnum):
    """What a repeat of a transaction may do."""

    IDEMPOTENT = 0  # may run again
    DEDUPLICATED = 1  # carries a mark by which a repeat is known inside its group
    NON_IDEMPOTENT = 2  # must never run twice


class DeduplicationScope(IntEnum):
    """Which upstreams drop a journalled transaction's repeats."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How a hop or a probe ended."""

    SUCCEEDED = 1
    FAILED = 2  # the upstream's own error; it may have run
    REJECTED = 3  # turned away unseen
    TIMED_OUT = 4
    UNREACHABLE = 5  # no connection in time
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8  # never sent

    @property
    def proves_not_executed(self) -> bool:
        return self in _NOT_EXECUTED


_NOT_EXECUTED = frozenset({Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT})


class EndpointState(IntEnum):
    """What a list says of an upstream, or an operator."""

    REMOVED = 0
    READY = 1
    DRAINING = 2
    EXCLUDED = 3  # by an operator, whatever the list says


@dataclass(frozen=True, slots=True)
class RequestClass:
    effect: Effect
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # how long a group remembers a journalled transaction
    latency_objective: int
    deadline: int
    priority_weight: float
    late_weight: float  # of the revenue, for an answer after the service goal
    is_ordered: bool = False  # those of one key run one at a time, as taken
    attempt_timeout: int = 0  # that one hop may take; 0: what is left
    max_attempts: int = 0  # 0: as the settings say
    max_retries_after_execution: int = (
        -1
    )  # hops after ones that may have run; -1: as many as the effect allows
    hedge_delay: int = 0  # from a hop's sending until its handle is told that it is slow; 0: never


@dataclass(frozen=True, slots=True)
class Settings:
    instance_count: int
    instance_index: int  # of this balancer among them; -1: not told
    tier: int
    zone: int
    request_classes: tuple[RequestClass, ...]
    tenant_quotas: tuple[float, ...]  # by customer: transactions a second, all balancers together
    over_quota_weight: float  # of the revenue, beyond the allowance
    overall_weight: float  # what the whole run weighs in the operators' goal
    worst_class_weight: float  # and what the worst-served profile weighs
    cross_zone_cost: float
    max_attempts: int
    can_cancel: bool
    can_health_check: bool
    sends_retry_after: bool  # clients are handed a time to come back
    max_retry_after: int
    polls_endpoints: bool
    poll_deadline: int
    initial_capacity: float
    warmup_time: int
    warmup_multiple: float
    key_rest: int = 0  # a key rests this long after a hop that may go on
    only_draining_binds: bool = False  # only draining binds: one that is gone without it may still be sent to
    retry_budget_ratio: float = 0.1  # of first hops: what may be spent on hops after one that may have run


class Port(Protocol):
    """What the decisions act through. `ref` is whatever the driver gave to `Balancer.take`."""

    def send(self, ref: int, upstream: int, timeout: int) -> None: ...
    def reject(self, ref: int, retry_after: int) -> None: ...
    def fail(self, ref: int) -> None: ...
    def cancel(self, ref: int, hop: int) -> None: ...
    def check_health(self, upstream: int) -> None: ...
    def close_idle_connections(self, upstream: int, age: int) -> None: ...  # those idle for longer, or all
    def set_timer(self, at: int, token: int) -> None: ...
    def poll_endpoints(self) -> None: ...
    def send_to_peer(self, peer: int, payload: bytes) -> None: ...
