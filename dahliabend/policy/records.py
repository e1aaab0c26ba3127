"""The records that the decisions go by: an endpoint, an attempt, a request. They refer to each other.

Times are microseconds. A field is written by the one part that its comment names, and read by all.
"""

from typing import Protocol

from dahliabend.model import EndpointState, Outcome, RequestClass, Settings, StoredEndpoint
from dahliabend.policy.throttling import ThrottleEntry

NOT_STARTED = -1  # of no process yet; lists give 0 where they don't tell when one started


class Endpoint:
    """What is known of one endpoint, for as long as a list names it and its process is the same."""

    def __init__(self, index: int, rank: bytes, class_count: int) -> None:
        self.index = index
        self.rank = rank  # among all endpoints, for this balancer
        # As listed: `EndpointSelection`.
        self.state = EndpointState.REMOVED
        self.started_at = NOT_STARTED
        self.weight = 1.0
        self.cell = 0
        self.zone = 0
        self.is_listed = False
        # What runs there: `ConcurrencyLimit`.
        self.in_flight: dict[RequestState, Attempt] = {}
        self.entries = [ThrottleEntry() for _ in range(class_count + 1)]
        self.start(NOT_STARTED, 0, 0.0)

    def start(self, started_at: int, now: int, position: float) -> None:
        """Forget what was known of an earlier process; `position` is the first one in the rotation."""
        self.started_at = started_at
        # Reductions, by class; the last is of all classes: `Throttling`.
        self.entries = [ThrottleEntry() for _ in self.entries]
        # The rotation: `EndpointSelection`.
        self.position = position
        self.relative_latency = 1.0  # mean of latencies by the mean latency of their class
        # Slow start: `SlowStart`.
        self.slow_start_budget = position  # attempts; random, so that not all balancers send at once
        self.budget_filled_at = now
        # Faults: `OutlierDetector`.
        self.silent_since = now  # with attempts in flight
        self.answered_at = 0
        self.last_ended_at = now
        self.is_ejected = False
        self.ejected_since = 0
        self.consecutive_failures = 0  # ejections, and trials and health checks failed since
        self.health_check_under_way = False

    def snapshot(self, slow_start_budget: float) -> StoredEndpoint:
        """Return what is handed over to the decisions that follow, with their part of the budget."""
        return StoredEndpoint(
            started_at=self.started_at,
            relative_latency=self.relative_latency,
            silent_since=self.silent_since,
            answered_at=self.answered_at,
            position=self.position,
            is_ejected=self.is_ejected,
            ejected_since=self.ejected_since,
            consecutive_failures=self.consecutive_failures,
            slow_start_budget=slow_start_budget,
            budget_filled_at=self.budget_filled_at,
        )

    def restore(self, stored: StoredEndpoint) -> None:
        """Go on from what was handed over."""
        self.started_at = stored.started_at
        self.relative_latency = stored.relative_latency
        self.silent_since = stored.silent_since
        self.answered_at = stored.answered_at
        self.position = stored.position
        self.is_ejected = stored.is_ejected
        self.ejected_since = stored.ejected_since
        self.consecutive_failures = stored.consecutive_failures
        self.slow_start_budget = stored.slow_start_budget
        self.budget_filled_at = stored.budget_filled_at


class Attempt:
    """One sending of a request. Cell and zone are those of then: there its repeats are known."""

    __slots__ = ("cell", "endpoint", "idle", "may_have_executed", "sent_at", "zone")

    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint = endpoint
        self.sent_at = now
        self.may_have_executed = True
        self.cell = endpoint.cell
        self.zone = endpoint.zone
        # How long its connection had been idle before; the driver may tell better at the end.
        self.idle = 0 if endpoint.in_flight else now - endpoint.last_ended_at


class RequestOwner(Protocol):
    """The balancer that admitted a request: what happens to the request is reported to it."""

    settings: Settings

    def send(self, request: "RequestState", now: int) -> None:
        """The request's turn has come: sends an attempt or gives it up."""

    def give_up_if_late(self, request: "RequestState", now: int) -> None:
        """Give up a request that waits for its turn, if too little time is left for it."""

    def attempt_ended(
        self, request: "RequestState", attempt: Attempt, now: int, outcome: Outcome, duration: int
    ) -> None:
        """An attempt has ended, after so long (us)."""

    def response_started(self, request: "RequestState", attempt: Attempt) -> None:
        """The answer of an attempt streams to the client."""

    def body_received(self, request: "RequestState", now: int, deadline: int) -> int:
        """The attempt in flight has the last byte of the body. Return its time-out (us)."""

    def hedge_timer_fired(self, request: "RequestState", now: int) -> None:
        """The attempt in flight is slow."""

    def client_disconnected(self, request: "RequestState", now: int) -> None:
        """Nobody waits for the answer any more."""


class RequestState:
    """A request that was admitted: the handle on which the driver reports (`model.RequestHandle`).

    Attributes:
        balancer: Where its events go.
        ref: By which the driver knows it.
        key: By which requests are sent one at a time; 0: none.
        deadline: When its answer is worth nothing (us).
        priority: Between 0 and 1; lowered where its tenant is over quota.
        attempts: In the order in which they were sent.
        in_flight: How many of them have not ended.
        hedges: How many of them are hedges (1 at most).
        body_pending: Its body is still being received.
        is_body_consumed: A part of its body is gone, so that nothing whole is left to send again.
        is_streaming: The client has a part of the answer.
        is_answered: It is answered, given up, or its client has left.
    """

    def __init__(
        self,
        balancer: RequestOwner,
        ref: int,
        class_index: int,
        key: int | bytes,
        priority: float,
        *,
        body_pending: bool,
    ) -> None:
        self.balancer = balancer
        self.ref = ref
        self.key = key
        self.deadline = 0
        self.class_index = class_index
        self.request_class: RequestClass = balancer.settings.request_classes[class_index]
        self.priority = priority
        self.attempts: list[Attempt] = []
        self.max_attempts = self.request_class.max_attempts or balancer.settings.max_attempts
        self.in_flight = 0
        self.hedges = 0
        self.body_pending = body_pending
        self.is_body_consumed = False
        self.is_streaming = False
        self.is_answered = False

    @property
    def is_finished(self) -> bool:
        """Whether it is answered, or nobody waits for it, and none of its attempts is in flight."""
        return self.is_answered and not self.in_flight

    def first_possibly_executed(self) -> Attempt | None:
        """Return the first attempt that may have executed, None if there is none."""
        return next((attempt for attempt in self.attempts if attempt.may_have_executed), None)

    # What the balancer records here.

    def attempt_sent(self, attempt: Attempt) -> None:
        """One more attempt is in flight."""
        self.in_flight += 1
        self.attempts.append(attempt)

    def mark_hedged(self) -> None:
        """The next attempt is a hedge."""
        self.hedges = 1

    def give_up(self) -> None:
        """The balancer answers it without a success: nothing is sent for it any more."""
        self.is_answered = True

    # What the driver reports (`model.RequestHandle` has the arguments).

    def attempt_finished(
        self, now: int, number: int, outcome: Outcome, duration: int, complete: bool, idle: int | None = None
    ) -> None:
        """Report how an attempt ended; another is sent where one may follow."""
        attempt = self.attempts[number]
        if self.is_answered:
            attempt.idle = 0  # cancelled here: it tells nothing of its connection
        elif idle is not None:
            attempt.idle = idle
        attempt.may_have_executed = not outcome.proves_not_executed
        self.in_flight -= 1
        self.is_answered = self.is_answered or complete
        self.balancer.attempt_ended(self, attempt, now, outcome, duration)

    def response_started(self, now: int, number: int) -> None:  # noqa: ARG002 - the handle has it
        """Report a streamed response: the client has a part of it, so the attempt is not cancelled."""
        self.is_streaming = True
        self.balancer.response_started(self, self.attempts[number])

    def body_consumed(self) -> None:
        """Report that a part of the body is gone, so that nothing whole is left to send again."""
        self.is_body_consumed = True

    def body_received(self, now: int, deadline: int) -> int:
        """Report that the attempt in flight has the last byte: it begins now. Return its time-out (us)."""
        self.body_pending = False
        self.attempts[-1].sent_at = now  # whatever the sending took
        return self.balancer.body_received(self, now, deadline)

    def hedge_timer_fired(self, now: int) -> None:
        """Report that the attempt in flight is slow: a hedge is sent where attempts and retries are left."""
        self.balancer.hedge_timer_fired(self, now)

    def client_disconnected(self, now: int) -> None:
        """Report that nobody waits for an answer any more."""
        self.is_answered = True
        self.balancer.client_disconnected(self, now)
