"""Plain types and interfaces shared by the decisions and whatever drives them. No I/O here.

All times are whole microseconds. Endpoints are small indices that the driver gives out.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

from msgspec import Struct, field


class Idempotency(IntEnum):
    """What a repeat of a request may do."""

    IDEMPOTENT = 0  # may run again
    DEDUPLICATED = 1  # carries a key by which a repeat is known inside its scope
    NON_IDEMPOTENT = 2  # must never run twice


class DeduplicationScope(IntEnum):
    """Which endpoints drop repeats of a deduplicated request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt or a health check ended."""

    SUCCEEDED = 1
    FAILED = 2  # the endpoint's own error; it may have run
    REJECTED = 3  # refused unseen
    TIMED_OUT = 4
    UNREACHABLE = 5  # it was not written completely, so it can't have run
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8  # never sent, for a reason on this side

    @property
    def proves_not_executed(self) -> bool:
        """Whether the endpoint can't have run the request."""
        return self in _UNEXECUTED_OUTCOMES


_UNEXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)  # a tuple: found by identity


class EndpointState(IntEnum):
    """What a list says of an endpoint, or an operator."""

    REMOVED = 0
    READY = 1
    DRAINING = 2
    EXCLUDED = 3  # by an operator, whatever the list says


class TimerToken(IntEnum):
    """What a timer of `Port.set_timer` is for; drivers pass it back as a number."""

    TICK = 0
    POLL = 1  # ask for the list of endpoints again
    KEY_PAUSE = 2  # the end of a key's rest


# What one balancer hands over. Records are stored as lists of fields in this order, numbers as they are.


class StoredLimit(Struct, array_like=True, forbid_unknown_fields=True):
    """The concurrency limit, as `policy.concurrency` has it. Times are microseconds."""

    limit: int | float
    mean_in_flight: int | float
    sustained_in_flight: int | float
    latency_ratio: int | float
    min_latency_ratio: int | float
    mean_latency: int | float
    ticks: int
    is_overloaded: bool


class StoredEndpoint(Struct, array_like=True, forbid_unknown_fields=True):
    """One endpoint, as `policy.records` has it. Times are microseconds."""

    started_at: int
    relative_latency: int | float
    silent_since: int
    answered_at: int
    position: int | float
    is_ejected: bool
    ejected_since: int
    consecutive_failures: int
    slow_start_budget: int | float
    budget_filled_at: int


class Snapshot(Struct):
    """What one balancer hands over; the stored keys are older than the names here.

    Attributes:
        limit_settings: Settings that the limit depends on: it fits only where they are the same.
        mean_latencies: By request class (us).
        fatal_idle_time: How long connections had been idle that swallowed a request (us).
        endpoints: By index.
        limit: The concurrency limit.
    """

    limit_settings: list[int] = field(name="shape")
    mean_latencies: list[int | float] = field(name="usual")
    fatal_idle_time: int | float = field(name="gap")
    endpoints: dict[int, StoredEndpoint] = field(name="upstreams")
    limit: StoredLimit = field(name="crowd")


class EndpointUpdate(NamedTuple):
    """What a list says of one endpoint."""

    endpoint: int  # its index
    state: EndpointState
    started_at: int  # of its process; 0: not told
    weight: float
    cell: int
    zone: int
    endpoint_id: bytes  # its id as listed, the same at every balancer


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What an operator says of one kind of requests."""

    effect: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # how long a repeat is known
    latency_objective: int
    deadline: int
    priority_weight: float
    late_weight: float  # of its priority, for an answer after the latency objective
    is_ordered: bool = False  # those of one key run one at a time, as admitted
    attempt_timeout: int = 0  # that one attempt may take; 0: what is left
    max_attempts: int = 0  # 0: as the settings say
    max_retries_after_execution: int = -1  # after attempts that may have executed; -1: as the effect allows
    hedge_delay: int = 0  # after which an attempt is reported as slow; 0: never


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """What the decisions of one balancer go by."""

    instance_count: int
    instance_index: int  # of this balancer among them; -1: unknown
    tier: int
    zone: int
    request_classes: tuple[RequestClass, ...]
    tenant_quotas: tuple[float, ...]  # by tenant: requests a second, all balancers together
    over_quota_weight: float  # of the priority, beyond the quota
    overall_weight: float  # of the total over all classes, in the operators' goal
    worst_class_weight: float  # of the worst-served class, in the same
    cross_zone_cost: float  # of an attempt beyond the own zone, in answers
    max_attempts: int
    can_cancel: bool
    can_health_check: bool
    sends_retry_after: bool  # clients are told when to come back
    max_retry_after: int
    polls_endpoints: bool
    poll_deadline: int
    initial_capacity: float
    warmup_time: int
    warmup_multiple: float
    key_pause: int = 0  # a key rests this long after an attempt that may go on
    can_use_removed_endpoints: bool = False  # one gone without draining may still be sent to
    retry_budget_ratio: float = 0.1  # of first attempts: retries that may have executed

    @property
    def is_entry_tier(self) -> bool:
        """Whether clients come here; behind, requests are calls of other services."""
        return self.tier == 0


class Port(Protocol):
    """What the decisions act through. `request_id` is whatever the driver gave to `Balancer.admit`."""

    def send(self, request_id: int, endpoint: int, timeout: int) -> None:
        """Send an attempt of a request to an endpoint; it is to be ended after the time-out."""

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer 503: the client may send the request again, after this time (us; 0: none is told).

        An idempotent request, or one deduplicated everywhere, may have been executed.
        """

    def fail(self, request_id: int) -> None:
        """Answer 502: the request failed, may have been executed and must not be sent again."""

    def cancel(self, request_id: int, attempt: int) -> None:
        """End an attempt, by its place among those of the request; its end is reported as any other."""

    def check_health(self, endpoint: int) -> None:
        """Check an endpoint, for `Balancer.health_check_finished`."""

    def close_idle_connections(self, endpoint: int, age: int) -> None:
        """Close connections to an endpoint that have been idle for longer than this."""

    def set_timer(self, at: int, token: int) -> None:
        """Have `Balancer.timer_fired` called at this time, with this token."""

    def poll_endpoints(self) -> None:
        """Ask for the list of endpoints."""

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        """Send bytes to another balancer."""


class RequestHandle(Protocol):
    """What `Balancer.admit` returns: the driver reports on it what becomes of the request."""

    deadline: int
    body_pending: bool  # its body is still being received
    request_class: RequestClass

    @property
    def is_finished(self) -> bool:
        """Whether the request is answered, or nobody waits for it, and none of its attempts is in flight."""

    def attempt_finished(
        self, now: int, number: int, outcome: Outcome, duration: int, complete: bool, idle: int | None = None
    ) -> None:
        """Report how an attempt ended; another is sent where one may follow.

        Args:
            now: The time.
            number: The place of the attempt among those of the request.
            outcome: How it ended.
            duration: How long it took.
            complete: Whether the client has its answer.
            idle: How long its connection had been idle before, where the driver can tell.
        """

    def response_started(self, now: int, number: int) -> None:
        """Report a streamed response: the client has a part of it, so the attempt is not cancelled."""

    def body_received(self, now: int, deadline: int) -> int:
        """Report that the attempt in flight has the last byte: it begins now. Return its time-out."""

    def body_consumed(self) -> None:
        """Report that a part of the body is gone, so that nothing whole is left to send again."""

    def hedge_timer_fired(self, now: int) -> None:
        """Report that the attempt in flight is slow: a hedge is sent where attempts and retries are left."""

    def client_disconnected(self, now: int) -> None:
        """Report that nobody waits for an answer any more."""


class BalancerEvents(Protocol):
    """The events of `policy.balancer.Balancer`, all on one thread; it acts through its `Port`."""

    def update_endpoints(self, now: int, rows: list[EndpointUpdate], full: bool) -> None:
        """Take over a list of endpoints, or (not `full`) changes of it."""

    def endpoint_poll_failed(self, now: int) -> None:
        """Report that the list was asked for in vain: it is asked for again after a while, at random."""

    def admit(
        self, now: int, request_id: int, class_index: int, tenant: int, deadline: int,
        repeat: bool = False, body_pending: bool = False, key: int | bytes = 0,
    ) -> RequestHandle:  # fmt: skip
        """Send a request, queues it behind others of its key, or rejects it.

        Args:
            now: The time.
            request_id: By which the `Port` is told of the request.
            class_index: Its request class.
            tenant: Its tenant; one beyond the quotas has none.
            deadline: When an answer is worth nothing.
            repeat: Whether its client sends it again after a rejection.
            body_pending: Whether its body is still being received.
            key: By which requests of ordered classes are sent one at a time; 0: none.
        """

    def health_check_finished(self, now: int, index: int, outcome: Outcome) -> None:
        """Report how a health check of an endpoint ended."""

    def add_peer_report(self, index: int, sampled: int, failed: int) -> None:
        """Count attempts of other balancers at an endpoint, so many as are believed, like own ones."""

    def timer_fired(self, now: int, token: int) -> None:
        """Report that a timer of `Port.set_timer` has come."""

    def snapshot(self, ends: bool) -> Snapshot:
        """Return what is known; `ends`: this balancer admits nothing more."""

    def restore(self, snapshot: Snapshot, class_pairs: list[tuple[int, int]]) -> int:
        """Go on from a snapshot, by pairs of own and former classes. Return how many endpoints fit."""
