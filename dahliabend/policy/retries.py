"""A request and its attempts, and whether there may be another: idempotency, deduplication, hedges."""

from typing import TYPE_CHECKING

from dahliabend.model import DeduplicationScope, Effect, Outcome

if TYPE_CHECKING:
    from dahliabend.policy import balancer, selection

BUDGET_LIMIT = 10  # attempts after ones that may have executed, and hedges, that may be saved up
EARLY_TIMEOUT_LATENCIES = 8  # usual latencies, or half the objective, for an attempt that may be repeated


class Attempt:
    """One sending of a request. Cell and zone are those of then: there its repeats are known."""

    __slots__ = ("cell", "endpoint", "idle", "may_have_executed", "sent_at", "zone")

    def __init__(self, endpoint: "selection.Endpoint", now: int) -> None:
        self.endpoint, self.sent_at, self.may_have_executed = endpoint, now, True
        self.cell, self.zone = endpoint.cell, endpoint.zone
        self.idle = 0 if endpoint.in_flight else now - endpoint.last_ended_at  # its connection, before


class RequestState:
    """A request that was admitted: the handle on which the driver reports (`model.RequestHandle`)."""

    def __init__(self, home: "balancer.Balancer", ref: int, index: int, key: int | bytes) -> None:
        self.balancer, self.ref, self.key, self.deadline = home, ref, key, 0
        self.class_index, self.request_class = index, home.request_classes[index]
        self.priority, self.attempts = home.priorities[index], list[Attempt]()
        self.max_attempts = self.request_class.max_attempts or home.settings.max_attempts
        self.in_flight = self.hedges = 0
        self.body_pending = self.is_body_consumed = self.is_streaming = False
        self.is_answered = False  # or given up, or its client has left

    @property
    def is_finished(self) -> bool:
        return self.is_answered and not self.in_flight

    def first_possibly_executed(self) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.may_have_executed), None)

    def may_be_sent(self, now: int) -> bool:  # no effect comes twice, and no two attempts run at once
        kind, executed = self.request_class, [a for a in self.attempts if a.may_have_executed]
        most = kind.max_retries_after_execution
        if self.is_body_consumed or self.in_flight or 0 <= most < len(executed):
            return False
        if executed and kind.effect is Effect.DEDUPLICATED:
            return now < executed[0].sent_at + kind.deduplication_window
        return not executed or kind.effect is Effect.IDEMPOTENT

    def is_retryable(self) -> bool:  # after an attempt that may have executed
        has_more = len(self.attempts) < self.max_attempts and not self.is_body_consumed
        return has_more and self.request_class.effect is not Effect.NON_IDEMPOTENT

    def is_retryable_by_client(self) -> bool:  # through any balancer, at any endpoint
        kind = self.request_class
        is_known = kind.effect is Effect.DEDUPLICATED and kind.deduplication_scope is DeduplicationScope.ALL
        return kind.effect is Effect.IDEMPOTENT or is_known or not self.first_possibly_executed()

    def is_deduplicated_at(self, endpoint: "selection.Endpoint", first: Attempt) -> bool:
        scope, in_zone = self.request_class.deduplication_scope, endpoint.zone == first.zone
        in_cell = endpoint.cell == first.cell
        return in_cell if scope is DeduplicationScope.CELL else in_zone or scope is DeduplicationScope.ALL

    def early_timeout(self) -> int:  # for which an attempt is waited that may be repeated
        usual = self.balancer.usual[self.class_index]
        return max(self.request_class.latency_objective // 2, round(EARLY_TIMEOUT_LATENCIES * usual))

    def attempt_finished(
        self, now: int, number: int, outcome: Outcome, took: int, complete: bool, idle: int | None = None
    ) -> None:
        attempt, home = self.attempts[number], self.balancer
        attempt.idle = attempt.idle if idle is None else idle
        attempt.may_have_executed, self.in_flight = not outcome.proves_not_executed, self.in_flight - 1
        if attempt.idle and not self.is_answered:
            home.outliers.add_idle(attempt, now, outcome, took, home.usual[self.class_index])
        self.is_answered = self.is_answered or complete
        if self.key and outcome in (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
            home.key_queues.rest(self, now)
        home.learn(now, self, attempt.endpoint, outcome, took)
        if not self.is_answered and not self.in_flight:
            home.retry(self, now, outcome)
        elif self.is_answered and self.in_flight:
            home.cancel(self)
        home.key_queues.leave(self, now)

    def response_started(self, now: int, number: int) -> None:
        self.is_streaming = True  # the client has a part of it: its attempt is not cancelled any more
        self.balancer.count_out(self, self.attempts[number].endpoint)

    def body_consumed(self) -> None:
        self.is_body_consumed = True  # there is nothing whole to send once more

    def body_received(self, now: int, deadline: int) -> int:
        self.body_pending, self.deadline = False, self.balancer.useful_deadline(self, now, deadline)
        self.attempts[-1].sent_at = now  # it begins now, whatever the sending took
        self.balancer.count_in(self, self.attempts[-1])
        return self.balancer.attempt_timeout(self, now)

    def hedge_timer_fired(self, now: int) -> None:
        home, is_open = self.balancer, not (self.is_answered or self.is_streaming) and now < self.deadline
        may = is_open and self.in_flight == 1 and len(self.attempts) < self.max_attempts
        endpoint = home.selection.choose(self, now) if may and home.retry_budget >= 1 else None
        if endpoint and all(attempt.endpoint is not endpoint for attempt in self.attempts):
            home.retry_budget, self.hedges = home.retry_budget - 1, 1
            home.dispatch(self, endpoint, now)

    def client_disconnected(self, now: int) -> None:
        self.is_answered = True
        self.balancer.cancel(self)
        self.balancer.key_queues.leave(self, now)
