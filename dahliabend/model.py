"""Types and interfaces shared by the policy and its drivers. This module does no I/O.

All times are whole microseconds. Endpoints are small integers assigned by the driver.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol

from msgspec import Struct, field


class Idempotency(IntEnum):
    """Whether a request may safely be executed more than once."""

    IDEMPOTENT = 0  # may be executed again
    DEDUPLICATED = 1  # carries a key by which endpoints within its scope drop repeats
    NON_IDEMPOTENT = 2  # must never be executed twice


class DeduplicationScope(IntEnum):
    """The endpoints that drop repeats of a deduplicated request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How an attempt or a health check ended."""

    SUCCEEDED = 1
    FAILED = 2  # the endpoint answered with an error; the request may have been executed
    REJECTED = 3  # the endpoint refused it without executing it
    TIMED_OUT = 4
    UNREACHABLE = 5  # not sent completely, so it can't have been executed
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8  # not sent, for a reason within this process

    @property
    def proves_not_executed(self) -> bool:
        """Whether the endpoint can't have executed the request."""
        return self in _UNEXECUTED_OUTCOMES


# A tuple, whose members are compared by identity.
_UNEXECUTED_OUTCOMES = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)


class EndpointState(IntEnum):
    """The state of an endpoint, as given by an endpoint list or an operator."""

    REMOVED = 0
    READY = 1
    DRAINING = 2
    EXCLUDED = 3  # by an operator, which overrides the list


class TimerToken(IntEnum):
    """The purpose of a timer set by `Port.set_timer`; drivers pass it back as a number."""

    TICK = 0
    POLL = 1  # poll the endpoint list again
    KEY_PAUSE = 2  # the end of an ordering key's pause


# State handed over to the next policy. Records are stored as lists of fields in this order; integers and
# floats are stored as such.


class StoredLimit(Struct, array_like=True, forbid_unknown_fields=True):
    """The state of the concurrency limit, as in `policy.concurrency`. Times are in microseconds."""

    limit: int | float
    mean_in_flight: int | float
    sustained_in_flight: int | float
    latency_ratio: int | float
    min_latency_ratio: int | float
    mean_latency: int | float
    ticks: int
    is_overloaded: bool


class StoredEndpoint(Struct, array_like=True, forbid_unknown_fields=True):
    """The state of one endpoint, as in `policy.records`. Times are in microseconds."""

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
    """The state that one policy hands over to the next, stored under keys that must not change.

    Attributes:
        limit_settings: Settings that the limit depends on; the limit is restored only if they are the same.
        mean_latencies: By request class (us).
        fatal_idle_time: Mean idle time of connections on which a request was lost (us).
        endpoints: By index.
        limit: The concurrency limit.
    """

    limit_settings: list[int] = field(name="shape")
    mean_latencies: list[int | float] = field(name="usual")
    fatal_idle_time: int | float = field(name="gap")
    endpoints: dict[int, StoredEndpoint] = field(name="upstreams")
    limit: StoredLimit = field(name="crowd")


class EndpointUpdate(NamedTuple):
    """The state of one endpoint according to an endpoint list."""

    endpoint: int  # the driver's index of it
    state: EndpointState
    started_at: int  # start of its process; 0: unknown
    weight: float
    cell: int
    zone: int
    endpoint_id: bytes  # as listed, the same at every balancer


@dataclass(frozen=True, slots=True)
class RequestClass:
    """The operator's settings for one class of requests."""

    effect: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int  # for how long repeats are dropped
    latency_objective: int
    deadline: int
    priority_weight: float
    late_weight: float  # share of `priority_weight` that a response after the latency objective is worth
    is_ordered: bool = False  # requests of one key are executed one at a time, in the order of admission
    attempt_timeout: int = 0  # 0: until the deadline
    max_attempts: int = 0  # 0: as in `PolicySettings`
    max_retries_after_execution: int = -1  # -1: as many as `effect` allows
    hedge_delay: int = 0  # after which the driver reports an attempt as slow; 0: never


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """The settings of one balancer's policy."""

    instance_count: int
    instance_index: int  # of this balancer; -1: unknown
    tier: int
    zone: int
    request_classes: tuple[RequestClass, ...]
    tenant_quotas: tuple[float, ...]  # by tenant: requests per second, of all balancers together
    over_quota_weight: float  # factor on the priority of requests over quota
    overall_weight: float  # in the operators' goal, of the total over all classes
    worst_class_weight: float  # in the operators' goal, of the worst-served class
    cross_zone_cost: float  # of an attempt outside the own zone, in responses
    max_attempts: int
    can_cancel: bool
    can_health_check: bool
    sends_retry_after: bool  # with rejections
    max_retry_after: int
    polls_endpoints: bool
    poll_deadline: int
    initial_capacity: float
    warmup_time: int
    warmup_multiple: float  # times its share of the load, at which a starting endpoint begins to fail
    key_pause: int = 0  # of an ordering key, after an attempt that may still run
    can_use_removed_endpoints: bool = False  # if removed without draining
    retry_budget_ratio: float = 0.1  # retries after attempts that may have executed, per first attempt

    @property
    def is_entry_tier(self) -> bool:
        """Whether requests come from clients; at the tiers behind, they are calls of other services."""
        return self.tier == 0


class Port(Protocol):
    """The actions of the policy. `request_id` is the number that the driver passed to `Balancer.admit`."""

    def send(self, request_id: int, endpoint_index: int, timeout: int) -> None:
        """Send an attempt of a request to an endpoint, and end the attempt after the timeout."""

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer 503: the client may send the request again, after this time (us; 0: no time is given).

        Only an idempotent request, or one deduplicated by all endpoints, may have been executed before.
        """

    def fail(self, request_id: int) -> None:
        """Answer 502: the request failed, may have been executed and must not be sent again."""

    def cancel(self, request_id: int, attempt_index: int) -> None:
        """End an attempt, given by its index within the request; its end is reported like any other."""

    def check_health(self, endpoint_index: int) -> None:
        """Start a health check of an endpoint, reported by `Balancer.health_check_finished`."""

    def close_idle_connections(self, endpoint_index: int, age: int) -> None:
        """Close the connections to an endpoint that have been idle for at least `age`."""

    def set_timer(self, at: int, token: int) -> None:
        """Schedule a call of `Balancer.timer_fired` with this token."""

    def poll_endpoints(self) -> None:
        """Request the endpoint list."""

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        """Send bytes to another balancer."""


class RequestHandle(Protocol):
    """A request as returned by `Balancer.admit`, on which the driver reports its events."""

    deadline: int
    body_pending: bool  # its body is still being received
    request_class: RequestClass

    @property
    def is_finished(self) -> bool:
        """Whether the request is answered, or its client has gone, and none of its attempts is in flight."""

    def attempt_finished(
        self,
        now: int,
        attempt_index: int,
        outcome: Outcome,
        duration: int,
        is_answered: bool,
        idle: int | None = None,
    ) -> None:
        """Report how an attempt ended; another one is sent where it may follow.

        Args:
            now: The current time.
            attempt_index: The index of the attempt within the request.
            outcome: How the attempt ended.
            duration: How long the attempt took.
            is_answered: Whether the request needs no further attempt: it is answered, or its client has gone.
            idle: How long the connection had been idle before, if the driver knows.
        """

    def response_started(self, now: int, attempt_index: int) -> None:
        """Report that the client has a part of the response, after which the attempt is not cancelled."""

    def body_received(self, now: int, deadline: int) -> int:
        """Report that the last byte of the body has been sent on the attempt in flight; return its timeout.

        The duration and the timeout of the attempt begin at `now`.
        """

    def body_consumed(self) -> None:
        """Report that a part of the body has been dropped, so that it can't be sent again."""

    def hedge_timer_fired(self, now: int) -> None:
        """Report that the attempt in flight is slow; a hedge is sent if attempts and budget are left."""

    def client_disconnected(self, now: int) -> None:
        """Report that the client has gone."""


class BalancerEvents(Protocol):
    """The events that `policy.balancer.Balancer` handles, all on one thread; it acts through its `Port`."""

    def update_endpoints(self, now: int, updates: list[EndpointUpdate], full: bool) -> None:
        """Apply entries of the endpoint list.

        `full` says whether the entries are the whole list; otherwise they are only its changes.
        """

    def endpoint_poll_failed(self, now: int) -> None:
        """Report that a poll of the endpoint list failed; it is repeated after a random delay."""

    def admit(
        self, now: int, request_id: int, class_index: int, tenant: int, deadline: int,
        is_client_retry: bool = False, body_pending: bool = False, key: int | bytes = 0,
    ) -> RequestHandle:  # fmt: skip
        """Send a request, queue it behind others of its key, or reject it.

        Args:
            now: The current time.
            request_id: Identifies the request in calls of the `Port`.
            class_index: Index of its request class.
            tenant: Index of its tenant; an index beyond the quotas has no quota.
            deadline: When a response becomes worthless.
            is_client_retry: Whether its client says that it sends the request again, after a rejection.
            body_pending: Whether its body is still being received.
            key: The ordering key, by which requests of ordered classes are sent one at a time; 0: none.
        """

    def health_check_finished(self, now: int, endpoint_index: int, outcome: Outcome) -> None:
        """Report the outcome of a health check of an endpoint."""

    def add_peer_report(self, endpoint_index: int, sampled: int, failed: int) -> None:
        """Add attempts that other balancers report to the window of an endpoint.

        Args:
            endpoint_index: Index of the endpoint.
            sampled: Number of attempts; the driver limits how many it passes on.
            failed: Number of these that failed.
        """

    def timer_fired(self, now: int, token: int) -> None:
        """Report that a timer set by `Port.set_timer` has fired."""

    def snapshot(self, is_final: bool) -> Snapshot:
        """Return the state for the next policy; with `is_final`, this one admits no more requests."""

    def restore(self, snapshot: Snapshot, class_pairs: list[tuple[int, int]]) -> int:
        """Restore a snapshot, and return how many endpoints matched.

        `class_pairs` holds the indices of corresponding request classes, here and in the snapshot.
        """
