"""Outlier detection: ejection of endpoints, recovery by health checks and trials, stale idle connections.

Times are in microseconds.
"""

from collections.abc import Callable

from dahliabend.model import EndpointState, Idempotency, Outcome, PolicySettings, Port
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.deadlines import Deadlines
from dahliabend.policy.moving_average import NEWEST_WEIGHT_SPARSE, ewma
from dahliabend.policy.records import Attempt, Endpoint, RequestState
from dahliabend.policy.selection import EndpointSelection
from dahliabend.policy.throttling import LINGER_VALIDITIES, MIN_SAMPLES, OUTLIER_REDUCTION, Throttling

SILENCE_LATENCIES = 4  # mean latencies without a response, with attempts in flight, after which it is hung
MAX_CHECK_DOUBLINGS = 5  # of the delay before a health check
MAX_TRIAL_DOUBLINGS = 6  # of the delay before a trial request
QUICK_FAILURE_RATIO = 1 / 20  # of the mean latency; a quicker failure comes from a fault, not from load
LOSSES_PER_QUICK_RESET = 8  # a quick reset proves a loss; a timeout, counted as one, may have another cause
STALE_IDLE_FRACTION = 1 / 2  # of the fatal idle time; from it on, an idle connection is stale
_RESPONSE_OUTCOMES = (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED)  # the endpoint answered


class OutlierDetector:
    """Ejects endpoints, restores them after health checks and trial requests, and closes stale connections.

    Attributes:
        last_answer_at: When any endpoint last answered.
        awaiting_trial: Endpoints ejected for long enough to get a trial request; the last one added goes
            first.
        fatal_idle_time: Mean idle time of connections on which a request was then lost. Connections that have
            been idle for `STALE_IDLE_FRACTION` of it are stale: attempts on them are sampled, and if many are
            lost, stale connections are closed.
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

    # Classes

    def must_reject_class(self, request: RequestState, now: int) -> bool:
        """Return whether a request is rejected at `now` because its class fails at every endpoint.

        Called for classes that are outliers. They are rejected with the probability of their reduction, and
        only where the limit is nearly reached: until it fails, such a request would occupy a place that
        others need.
        """
        if not self.concurrency.is_all_priorities_share_full():
            return False
        reduction = self.throttling.classes[request.class_index].valid_reduction(now)
        return reduction > 0 and self.random() < reduction

    # Ejection

    def eject(self, endpoint: Endpoint, now: int) -> None:
        """Take an endpoint out of the rotation."""
        if not endpoint.is_ejected:
            endpoint.is_ejected = True
            endpoint.ejected_since = now
            endpoint.consecutive_failures += 1
            self.concurrency.endpoint_ejected(endpoint)
            self.selection.select()

    def restore(self, endpoint: Endpoint, now: int) -> None:
        """Put an endpoint back into the rotation, and end its reduction."""
        endpoint.is_ejected = False
        endpoint.silent_since = now
        endpoint.entries[-1].end_reduction()
        self.concurrency.endpoint_restored(endpoint)
        self.selection.select()

    def is_failing(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's reduction is high and more than twice that of the tier.

        It is high from `OUTLIER_REDUCTION` on. If endpoints were ejected while the whole tier fails, the
        remaining ones would get all the load.
        """
        reduction = endpoint.entries[-1].reduction
        return reduction >= OUTLIER_REDUCTION and self.throttling.tier.reduction < reduction / 2

    def is_quickly_failing_outlier(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is an outlier before its window ends; called after a quick failure.

        An endpoint that fails quickly always has capacity left and so attracts the load of all others. One
        that has been ejected and has not succeeded since is an outlier at once.
        """
        if self.throttling.tier.reduction >= OUTLIER_REDUCTION / 2:
            return False
        entry = endpoint.entries[-1]
        is_failing = entry.sampled >= MIN_SAMPLES and entry.failed >= OUTLIER_REDUCTION * entry.sampled
        return endpoint.consecutive_failures > 0 or is_failing

    def is_gone(self, endpoint: Endpoint, now: int) -> bool:
        """Return whether an unreachable endpoint has not answered for a validity before `now`.

        One that has answered recently is full, not gone.
        """
        return now - endpoint.answered_at >= self.throttling.validity

    def is_hung(self, endpoint: Endpoint, now: int) -> bool:
        """Return whether an endpoint has not answered for too long at `now` while others answer.

        Without an ejection, its attempts would end only by their timeouts. Attempts of classes that fail
        everywhere don't count.
        """
        if self.last_answer_at <= endpoint.silent_since:
            return False
        max_silence = SILENCE_LATENCIES * self.concurrency.mean_latency + self.tick
        if now - endpoint.silent_since <= max_silence:
            return False
        class_outliers = self.throttling.class_outliers
        return not all(class_outliers[request.class_index] for request in endpoint.in_flight)

    def eject_if_hung(self, endpoint: Endpoint, now: int) -> None:
        """Eject an endpoint if it is hung at `now`."""
        if self.is_hung(endpoint, now):
            self.eject(endpoint, now)

    def eject_early(
        self, endpoint: Endpoint, now: int, outcome: Outcome, duration: int, mean_latency: float
    ) -> None:
        """Eject an endpoint before its window ends, if the end of an attempt shows that it is faulty.

        Args:
            endpoint: The endpoint.
            now: The current time.
            outcome: How the attempt ended.
            duration: How long the attempt took.
            mean_latency: The mean latency of the request class.
        """
        if outcome is Outcome.UNREACHABLE:
            is_outlier = self.is_gone(endpoint, now)
        elif outcome is Outcome.FAILED and duration < mean_latency * QUICK_FAILURE_RATIO:
            is_outlier = self.is_quickly_failing_outlier(endpoint)
        else:
            is_outlier = False
        if is_outlier:
            self.eject(endpoint, now)

    def close_window(self, endpoint: Endpoint, now: int) -> None:
        """Close the windows of an endpoint's entries, and eject the endpoint if it is failing."""
        for entry in endpoint.entries:
            entry.close_window(now, MIN_SAMPLES, self.throttling.validity, self.throttling.min_validity)
        if self.is_failing(endpoint):
            self.eject(endpoint, now)

    # Recovery

    def health_check_delay(self, endpoint: Endpoint) -> int:
        """Return how long an ejected endpoint is left alone before a health check.

        Doubled by each failure, because health checks add load too.
        """
        return self.tick << min(endpoint.consecutive_failures, MAX_CHECK_DOUBLINGS)

    def trial_delay(self, endpoint: Endpoint) -> int:
        """Return how long an ejected endpoint is left alone before a trial request.

        Doubled by each failure, because trial requests are requests of clients.
        """
        doublings = min(endpoint.consecutive_failures, MAX_TRIAL_DOUBLINGS)
        return max(self.throttling.validity, self.throttling.min_validity << doublings)

    def advance_recovery(self, endpoint: Endpoint, now: int) -> None:
        """Start a health check or a trial of an ejected endpoint, or restore it, if that is due at `now`."""
        waited = now - endpoint.ejected_since
        if self.settings.can_health_check:
            if waited >= self.health_check_delay(endpoint) and not endpoint.is_health_check_pending:
                endpoint.is_health_check_pending = True
                self.port.check_health(endpoint.index)
            return
        wait = self.trial_delay(endpoint)
        if waited >= LINGER_VALIDITIES * wait:
            self.restore(endpoint, now)  # no request came that is safe to retry
        elif waited >= wait:
            self.awaiting_trial[endpoint] = None

    def needs_trial(self, endpoint: Endpoint) -> bool:
        """Return whether a successful health check is not enough to restore an endpoint.

        An endpoint that is ejected again after its return passes health checks but fails requests, so one
        trial request is sent first. If none has come by the next health check, the endpoint is restored
        without a trial.
        """
        is_untried = self.has_idempotent_class and endpoint not in self.awaiting_trial
        return is_untried and endpoint.consecutive_failures > 1

    def health_check_finished(self, endpoint: Endpoint, now: int, outcome: Outcome) -> None:
        """Continue the recovery of an ejected endpoint after a health check.

        After a success it is restored or gets a trial request; after a failure it waits for longer.
        """
        endpoint.is_health_check_pending = False
        if not endpoint.is_ejected:
            return
        if outcome is not Outcome.SUCCEEDED:
            self.trial_finished(endpoint, now, is_failed=True)
        elif self.needs_trial(endpoint):
            self.awaiting_trial[endpoint] = None
        else:
            self.restore(endpoint, now)

    def choose_trial_endpoint(self, request: RequestState, now: int) -> Endpoint | None:
        """Return the ejected endpoint that gets a request as its trial at `now`, None if there is none.

        Only the first attempt of an idempotent request is used, which can be retried elsewhere if the trial
        fails. Its class must have a mean latency, so that the attempt is timed out early.
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
        return endpoint if self.selection.slow_start.slow_start_share(endpoint, now, max_ready) else None

    def record_trial_result(self, endpoint: Endpoint, now: int, duration: int, *, is_failed: bool) -> None:
        """Count an attempt that ended at `now` as a trial, if it was sent after the ejection.

        One that was sent before gives no new evidence.
        """
        if now - duration > endpoint.ejected_since:
            self.trial_finished(endpoint, now, is_failed=is_failed)

    def trial_finished(self, endpoint: Endpoint, now: int, *, is_failed: bool) -> None:
        """Restore an endpoint after a successful trial, or let it wait for longer after a failed one."""
        endpoint.ejected_since = now
        if is_failed:
            endpoint.consecutive_failures += 1
        else:
            self.restore(endpoint, now)

    # Attempts

    def attempt_began(self, attempt: Attempt) -> None:
        """Restart the time without a response of an endpoint that has no other attempt in flight."""
        if not attempt.endpoint.in_flight:
            attempt.endpoint.silent_since = attempt.sent_at

    def attempt_ended(self, endpoint: Endpoint, now: int, outcome: Outcome) -> None:
        """Record the end of an attempt, and whether the endpoint answered."""
        endpoint.last_ended_at = now
        if outcome in _RESPONSE_OUTCOMES:
            endpoint.silent_since = now
            endpoint.answered_at = now
            self.last_answer_at = now
        if outcome is Outcome.SUCCEEDED:
            endpoint.consecutive_failures = 0

    # Idle connections

    def idle_losses(
        self, attempt: Attempt, now: int, outcome: Outcome, duration: int, mean_latency: float
    ) -> int:
        """Return the number of losses on idle connections that the end of an attempt counts for.

        A request is lost if the peer or a middlebox has dropped the state of the connection.

        Args:
            attempt: The attempt.
            now: The current time.
            outcome: How the attempt ended.
            duration: How long the attempt took.
            mean_latency: The mean latency of the request class.
        """
        if outcome is Outcome.RESET and duration < mean_latency * QUICK_FAILURE_RATIO:
            return LOSSES_PER_QUICK_RESET
        is_endpoint_silent = now - attempt.endpoint.silent_since >= duration
        return int(is_endpoint_silent and outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED))

    def record_idle_outcome(
        self, attempt: Attempt, now: int, outcome: Outcome, duration: int, mean_latency: float
    ) -> None:
        """Record an attempt on a connection that had been idle; arguments as for `idle_losses`."""
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
        """Return whether stale idle connections are closed before an attempt is sent at `now`.

        Otherwise the attempt may be sent on one of them, and be lost.
        """
        entry = self.throttling.idle_connections
        if entry.reduction < OUTLIER_REDUCTION or entry.valid_reduction(now) < OUTLIER_REDUCTION:
            return False
        return bool(attempt.endpoint.in_flight) or attempt.idle >= self.fatal_idle_time * STALE_IDLE_FRACTION

    def close_idle_connections(self, attempt: Attempt) -> None:
        """Close the connections to the endpoint of an attempt that have been idle for too long."""
        max_idle = round(self.fatal_idle_time * STALE_IDLE_FRACTION)
        self.port.close_idle_connections(attempt.endpoint.index, max_idle)
        attempt.idle = 0  # its connection is no longer an idle one
