"""The records that the policy works on: an endpoint, an attempt, a request. They refer to each other.

Times are in microseconds. Any module may read a field. The comment above a group of fields names the class
that keeps them up to date; `Endpoint.start` and `Endpoint.restore` set them as well.
"""

from typing import Protocol

from dahliabend.model import EndpointState, Outcome, PolicySettings, RequestClass, StoredEndpoint
from dahliabend.policy.throttling import ThrottleEntry

NOT_STARTED = -1  # no process yet; lists give 0 if they don't tell when a process started


class Endpoint:
    """What is known of one endpoint, while a list names it and its process is the same."""

    def __init__(self, index: int, rank: bytes, class_count: int) -> None:
        self.index = index
        self.rank = rank  # from a hash, different for each balancer
        # Endpoint list, updated by `EndpointSelection`:
        self.state = EndpointState.REMOVED
        self.started_at = NOT_STARTED
        self.weight = 1.0
        self.cell = 0
        self.zone = 0
        self.is_listed = False
        # Attempts in flight, updated by `ConcurrencyLimit`:
        self.in_flight: dict[RequestState, Attempt] = {}
        self.entries = [ThrottleEntry() for _ in range(class_count + 1)]
        self.start(NOT_STARTED, 0, 0.0)

    def start(self, started_at: int, now: int, random_start: float) -> None:
        """Forget what was known of an earlier process.

        `random_start`, a random number from 0 to 1, is the initial position in the rotation and the initial
        slow-start budget: otherwise all balancers would send to the endpoint at once.
        """
        self.started_at = started_at
        # Reductions by class, and the last one for all classes, updated by `Throttling`; reports of other
        # balancers are added by `Balancer`, windows closed and reductions ended by `OutlierDetector`:
        self.entries = [ThrottleEntry() for _ in self.entries]
        # Rotation, updated by `EndpointSelection`:
        self.position = random_start
        self.relative_latency = 1.0  # mean ratio of latency to the mean latency of the class
        # Slow start, updated by `SlowStart`:
        self.slow_start_budget = random_start  # attempts
        self.budget_filled_at = now
        # Faults, updated by `OutlierDetector`:
        self.silent_since = now  # no response since then, with attempts in flight
        self.answered_at = 0
        self.last_ended_at = now
        self.is_ejected = False
        self.ejected_since = 0
        self.consecutive_failures = 0  # ejections, failed trials and health checks since a success
        self.is_health_check_pending = False

    def snapshot(self, slow_start_budget: float) -> StoredEndpoint:
        """Return the state handed over to the next policy, with its share of the slow-start budget."""
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
        """Restore the state that the previous policy handed over."""
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
    """One transmission of a request.

    Cell and zone are those of the endpoint at that time: there, repeats are deduplicated.
    """

    __slots__ = ("cell", "endpoint", "idle", "may_have_executed", "sent_at", "zone")

    def __init__(self, endpoint: Endpoint, now: int) -> None:
        self.endpoint = endpoint
        self.sent_at = now
        self.may_have_executed = True
        self.cell = endpoint.cell
        self.zone = endpoint.zone
        # Estimate of how long its connection had been idle; the driver may report a better value at the end.
        self.idle = 0 if endpoint.in_flight else now - endpoint.last_ended_at


class RequestOwner(Protocol):
    """The balancer that a request was submitted to, to which the events of the request are reported."""

    settings: PolicySettings

    def send(self, request: "RequestState", now: int) -> None:
        """Send the next attempt of a request, or give the request up."""

    def give_up_if_out_of_time(self, request: "RequestState", now: int) -> None:
        """Give up a request that waits for its turn, if it has too little time left."""

    def attempt_ended(
        self, request: "RequestState", attempt: Attempt, now: int, outcome: Outcome, duration: int
    ) -> None:
        """Handle the end of an attempt."""

    def response_started(self, request: "RequestState", attempt: Attempt) -> None:
        """Handle the start of a response that is streamed to the client."""

    def body_received(self, request: "RequestState", now: int, deadline: int) -> int:
        """Handle that the attempt in flight has sent the last byte of the body; return its timeout."""

    def hedge_timer_fired(self, request: "RequestState", now: int) -> None:
        """Handle a slow attempt in flight."""

    def client_disconnected(self, request: "RequestState", now: int) -> None:
        """Handle the disconnection of the client."""


class RequestState:
    """A request submitted for admission: on it the driver reports its events (`model.RequestHandle`).

    Attributes:
        balancer: The balancer that handles its events.
        request_id: The driver's identifier of it.
        key: The ordering key; 0: none.
        deadline: When a response becomes worthless.
        priority: Between 0 and 1; lowered if its tenant is over quota.
        attempts: In the order in which they were sent.
        in_flight: Number of attempts that have not ended.
        hedges: Number of attempts that are hedges (at most 1).
        body_pending: Whether its body is still being received.
        is_body_consumed: Whether a part of its body has been dropped, so that it can't be sent again.
        is_streaming: Whether the client has received a part of the response.
        is_answered: Whether it needs no further attempt: it has been answered or given up, or its client has
            disconnected.
    """

    def __init__(
        self,
        balancer: RequestOwner,
        request_id: int,
        class_index: int,
        key: int | bytes,
        priority: float,
        *,
        body_pending: bool,
    ) -> None:
        self.balancer = balancer
        self.request_id = request_id
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
        """Whether it is answered, or its client has gone, and none of its attempts is in flight."""
        return self.is_answered and not self.in_flight

    def first_possibly_executed(self) -> Attempt | None:
        """Return the first attempt that may have executed, None if there is none."""
        return next((attempt for attempt in self.attempts if attempt.may_have_executed), None)

    # Recorded by the balancer

    def attempt_sent(self, attempt: Attempt) -> None:
        """Record a new attempt in flight."""
        self.in_flight += 1
        self.attempts.append(attempt)

    def mark_hedged(self) -> None:
        """Record that the next attempt is a hedge."""
        self.hedges = 1

    def give_up(self) -> None:
        """Record that the balancer answers the request without a success; nothing more is sent for it."""
        self.is_answered = True

    # Reported by the driver; `model.RequestHandle` describes the arguments

    def attempt_finished(
        self,
        now: int,
        attempt_index: int,
        outcome: Outcome,
        duration: int,
        is_answered: bool,
        idle: int | None = None,
    ) -> None:
        """Report how an attempt ended; another one is sent where it may follow."""
        attempt = self.attempts[attempt_index]
        if self.is_answered:
            attempt.idle = 0  # cancelled by this balancer, which says nothing about the connection
        elif idle is not None:
            attempt.idle = idle
        attempt.may_have_executed = not outcome.proves_not_executed
        self.in_flight -= 1
        self.is_answered = self.is_answered or is_answered
        self.balancer.attempt_ended(self, attempt, now, outcome, duration)

    def response_started(self, now: int, attempt_index: int) -> None:  # noqa: ARG002 - see `RequestHandle`
        """Report that the client has a part of the response, after which the attempt is not cancelled."""
        self.is_streaming = True
        self.balancer.response_started(self, self.attempts[attempt_index])

    def body_consumed(self) -> None:
        """Report that a part of the body has been dropped, so that it can't be sent again."""
        self.is_body_consumed = True

    def body_received(self, now: int, deadline: int) -> int:
        """Report that the last byte of the body has been sent on the attempt in flight; return its timeout.

        The duration and the timeout of the attempt begin at `now`, however long the transmission took.
        """
        self.body_pending = False
        self.attempts[-1].sent_at = now
        return self.balancer.body_received(self, now, deadline)

    def hedge_timer_fired(self, now: int) -> None:
        """Report that the attempt in flight is slow; a hedge is sent if attempts and budget are left."""
        self.balancer.hedge_timer_fired(self, now)

    def client_disconnected(self, now: int) -> None:
        """Report that the client has gone."""
        self.is_answered = True
        self.balancer.client_disconnected(self, now)
