"""Endpoints and classes at fault: ejection, recovery by health checks and trials, dead idle connections."""

from collections.abc import Callable

from dahliabend.model import EndpointState, Idempotency, Outcome, PolicySettings, Port
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.deadlines import Deadlines
from dahliabend.policy.moving_average import NEWEST_WEIGHT_SPARSE, ewma
from dahliabend.policy.records import Attempt, Endpoint, RequestState
from dahliabend.policy.selection import EndpointSelection
from dahliabend.policy.throttling import LINGER_VALIDITIES, MIN_SAMPLES, OUTLIER_REDUCTION, Throttling

SILENCE_LATENCIES = 4  # mean latencies with attempts in flight and no answer: the endpoint is ejected
MAX_CHECK_DOUBLINGS = 5  # of the wait before a health check
MAX_TRIAL_DOUBLINGS = 6  # of the wait before a trial request
QUICK_FAILURE_RATIO = 1 / 20  # of the mean latency: a failure within it comes from a fault, not from load
LOSSES_PER_QUICK_RESET = 8  # it proves what a time-out only suggests
STALE_IDLE_FRACTION = 1 / 2  # of the fatal idle time, from which connections are counted, and closed
_RESPONSE_OUTCOMES = (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED)  # the endpoint itself said so


class OutlierDetector:
    """Ejects endpoints, brings them back by health checks and trials, and finds dead idle connections.

    Attributes:
        last_answer_at: When any endpoint answered last (us).
        awaiting_trial: Endpoints ejected for long enough to be tried; the last one added goes first.
        fatal_idle_time: Mean of how long connections had been idle that swallowed a request (us).
    """

    def __init__(
        self,
        settings: PolicySettings,
        port: Port,
        random: Callable[[], float],
        selection: EndpointSelection,
        deadlines: Deadlines,
    ) -> None:
        self.settings = settings
        self.port = port
        self.random = random
        self.tick = deadlines.tick
        self.deadlines = deadlines
        self.selection = selection
        self.concurrency: ConcurrencyLimit = selection.concurrency
        self.throttling: Throttling = selection.throttling
        self.has_idempotent_class = any(
            each.effect is Idempotency.IDEMPOTENT for each in settings.request_classes
        )
        self.last_answer_at = 0
        self.awaiting_trial: dict[Endpoint, None] = {}
        self.fatal_idle_time = 0.0

    # Classes.

    def must_reject_class(self, request: RequestState, now: int) -> bool:
        """Return whether a request is rejected at a time (us) because its class fails at every endpoint.

        Asked of classes that are outliers. By the class's reduction, and only where the limit is nearly
        reached: it would hold places that others need until it fails too.
        """
        if not self.concurrency.is_nearly_full():
            return False
        reduction = self.throttling.classes[request.class_index].valid_reduction(now)
        return reduction > 0 and self.random() < reduction

    # Ejection.

    def eject(self, endpoint: Endpoint, now: int) -> None:
        """Take an endpoint out of the rotation at a time (us)."""
        if not endpoint.is_ejected:
            endpoint.is_ejected = True
            endpoint.ejected_since = now
            endpoint.consecutive_failures += 1
            self.concurrency.endpoint_ejected(endpoint)
            self.selection.select()

    def restore(self, endpoint: Endpoint, now: int) -> None:
        """Take an endpoint back into the rotation at a time (us), without the reduction that it held."""
        endpoint.is_ejected = False
        endpoint.silent_since = now
        endpoint.entries[-1].end_reduction()
        self.concurrency.endpoint_restored(endpoint)
        self.selection.select()

    def is_failing(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's reduction makes it an outlier: the tier holds less than half of it.

        Where the tier fails as a whole, ejecting endpoints would leave the rest the load of all.
        """
        reduction = endpoint.entries[-1].reduction
        return reduction >= OUTLIER_REDUCTION and self.throttling.tier.reduction < reduction / 2

    def is_failing_quickly(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that fails quickly is an outlier before its window ends.

        Quick failures free its places, and so draw the load of all. One that was ejected and has not
        succeeded since is one at once.
        """
        if self.throttling.tier.reduction >= OUTLIER_REDUCTION / 2:
            return False
        entry = endpoint.entries[-1]
        is_failing = entry.sampled >= MIN_SAMPLES and entry.failed >= OUTLIER_REDUCTION * entry.sampled
        return endpoint.consecutive_failures > 0 or is_failing

    def is_gone(self, endpoint: Endpoint, now: int) -> bool:
        """Return whether an unreachable endpoint has not answered for a validity before a time (us).

        One that has answered lately is full, not gone.
        """
        return now - endpoint.answered_at >= self.throttling.validity

    def is_hung(self, endpoint: Endpoint, now: int) -> bool:
        """Return whether an endpoint is silent at a time (us) while others answer.

        Its attempts would only end by their time-outs. Attempts of classes that fail everywhere don't count.
        """
        if self.last_answer_at <= endpoint.silent_since:
            return False
        max_silence = SILENCE_LATENCIES * self.concurrency.mean_latency + self.tick
        if now - endpoint.silent_since <= max_silence:
            return False
        class_outliers = self.throttling.class_outliers
        return not all(class_outliers[request.class_index] for request in endpoint.in_flight)

    def eject_if_hung(self, endpoint: Endpoint, now: int) -> None:
        """Eject an endpoint if it is hung at a time (us)."""
        if self.is_hung(endpoint, now):
            self.eject(endpoint, now)

    def eject_early(
        self, endpoint: Endpoint, now: int, outcome: Outcome, duration: int, mean_latency: float
    ) -> None:
        """Eject an endpoint before its window ends, by the end of an attempt.

        Takes how long it took and the class's mean latency (us).
        """
        if outcome is Outcome.UNREACHABLE:
            is_outlier = self.is_gone(endpoint, now)
        elif outcome is Outcome.FAILED and duration < mean_latency * QUICK_FAILURE_RATIO:
            is_outlier = self.is_failing_quickly(endpoint)
        else:
            is_outlier = False
        if is_outlier:
            self.eject(endpoint, now)

    def close_window(self, endpoint: Endpoint, now: int) -> None:
        """Close the windows of an endpoint's entries at a time (us), and ejects it if it is failing."""
        for entry in endpoint.entries:
            entry.close_window(now, MIN_SAMPLES, self.throttling.validity, self.throttling.min_validity)
        if self.is_failing(endpoint):
            self.eject(endpoint, now)

    # Recovery.

    def health_check_delay(self, endpoint: Endpoint) -> int:
        """Return how long an ejected endpoint is left alone before a health check (us).

        Doubled by each failure: checks are load too.
        """
        return self.tick << min(endpoint.consecutive_failures, MAX_CHECK_DOUBLINGS)

    def trial_delay(self, endpoint: Endpoint) -> int:
        """Return how long an ejected endpoint is left alone before a trial request (us).

        Doubled by each failure: trials are clients' requests.
        """
        doublings = min(endpoint.consecutive_failures, MAX_TRIAL_DOUBLINGS)
        return max(self.throttling.validity, self.throttling.min_validity << doublings)

    def advance_recovery(self, endpoint: Endpoint, now: int) -> None:
        """Go on with the recovery of an ejected endpoint at a time (us)."""
        waited = now - endpoint.ejected_since
        if self.settings.can_health_check:
            if waited >= self.health_check_delay(endpoint) and not endpoint.health_check_under_way:
                endpoint.health_check_under_way = True
                self.port.check_health(endpoint.index)
            return
        wait = self.trial_delay(endpoint)
        if waited >= LINGER_VALIDITIES * wait:
            self.restore(endpoint, now)  # nothing came by that may run again
        elif waited >= wait:
            self.awaiting_trial[endpoint] = None

    def needs_trial(self, endpoint: Endpoint) -> bool:
        """Return whether a health check that succeeds is not enough to restore an endpoint.

        Ejected again after it was back, it answers checks and fails requests: one request tries it first. If
        none has come by at its next check, it is back.
        """
        is_untried = self.has_idempotent_class and endpoint not in self.awaiting_trial
        return is_untried and endpoint.consecutive_failures > 1

    def health_check_finished(self, endpoint: Endpoint, now: int, outcome: Outcome) -> None:
        """Go on after a health check ended so at a time (us)."""
        endpoint.health_check_under_way = False
        if not endpoint.is_ejected:
            return
        if outcome is not Outcome.SUCCEEDED:
            self.trial_finished(endpoint, now, is_failed=True)
        elif self.needs_trial(endpoint):
            self.awaiting_trial[endpoint] = None
        else:
            self.restore(endpoint, now)

    def choose_trial_endpoint(self, request: RequestState, now: int) -> Endpoint | None:
        """Return the ejected endpoint that a request tries at a time (us), None if there is none.

        Only an idempotent request's first attempt: it can go elsewhere if the trial fails. Its class has a
        mean latency, so that it is timed out early.
        """
        if not self.awaiting_trial or request.attempts:
            return None
        has_mean_latency = self.deadlines.mean_latencies[request.class_index] > 0
        if not has_mean_latency or request.request_class.effect is not Idempotency.IDEMPOTENT:
            return None
        endpoint = self.awaiting_trial.popitem()[0]
        if not endpoint.is_ejected or endpoint.state is not EndpointState.READY or endpoint.in_flight:
            return None
        max_ready = self.selection.max_ready
        return endpoint if self.selection.slow_start.warm_share(endpoint, now, max_ready) else None

    def record_trial_result(self, endpoint: Endpoint, now: int, duration: int, *, is_failed: bool) -> None:
        """Take an attempt that ended now, after so long (us), for a trial if it was sent after the ejection.

        One sent before says nothing new.
        """
        if now - duration > endpoint.ejected_since:
            self.trial_finished(endpoint, now, is_failed=is_failed)

    def trial_finished(self, endpoint: Endpoint, now: int, *, is_failed: bool) -> None:
        """Restore an endpoint after a trial at a time (us), or makes it wait for longer."""
        endpoint.ejected_since = now
        if is_failed:
            endpoint.consecutive_failures += 1
        else:
            self.restore(endpoint, now)

    # Attempts.

    def attempt_began(self, attempt: Attempt) -> None:
        """An attempt is about to be in flight: with no other there, the endpoint's silence begins."""
        if not attempt.endpoint.in_flight:
            attempt.endpoint.silent_since = attempt.sent_at

    def attempt_ended(self, endpoint: Endpoint, now: int, outcome: Outcome) -> None:
        """An attempt has ended so at a time (us)."""
        endpoint.last_ended_at = now
        if outcome in _RESPONSE_OUTCOMES:
            endpoint.silent_since = now
            endpoint.answered_at = now
            self.last_answer_at = now
        if outcome is Outcome.SUCCEEDED:
            endpoint.consecutive_failures = 0

    # Idle connections.

    def idle_losses(
        self, attempt: Attempt, now: int, outcome: Outcome, duration: int, mean_latency: float
    ) -> int:
        """Return as how many losses on an idle connection an attempt's end counts.

        Takes how long it took and the class's mean latency (us). A peer or a middlebox that forgot the
        connection swallows the request.
        """
        if outcome is Outcome.RESET and duration < mean_latency * QUICK_FAILURE_RATIO:
            return LOSSES_PER_QUICK_RESET
        is_endpoint_silent = now - attempt.endpoint.silent_since >= duration
        return int(is_endpoint_silent and outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED))

    def record_idle_outcome(
        self, attempt: Attempt, now: int, outcome: Outcome, duration: int, mean_latency: float
    ) -> None:
        """Learn from an attempt on a connection that had been idle; arguments as for `idle_losses`."""
        lost = (
            0
            if outcome is Outcome.SUCCEEDED
            else self.idle_losses(attempt, now, outcome, duration, mean_latency)
        )
        if lost:
            self.fatal_idle_time = ewma(self.fatal_idle_time, attempt.idle, NEWEST_WEIGHT_SPARSE)
        if lost or (self.fatal_idle_time and attempt.idle >= self.fatal_idle_time * STALE_IDLE_FRACTION):
            self.throttling.add_idle_sample(lost)

    def should_close_idle_connections(self, attempt: Attempt, now: int) -> bool:
        """Return whether stale idle connections are closed before an attempt is sent at a time (us).

        It may be sent on one of them, and be lost.
        """
        entry = self.throttling.idle_connections
        if entry.reduction < OUTLIER_REDUCTION or entry.valid_reduction(now) < OUTLIER_REDUCTION:
            return False
        return bool(attempt.endpoint.in_flight) or attempt.idle >= self.fatal_idle_time * STALE_IDLE_FRACTION

    def close_idle_connections(self, attempt: Attempt) -> None:
        """Close the connections to an attempt's endpoint that have been idle for too long."""
        max_idle = round(self.fatal_idle_time * STALE_IDLE_FRACTION)
        self.port.close_idle_connections(attempt.endpoint.index, max_idle)
        attempt.idle = 0  # tells nothing of idle connections any more
