"""Ejection of endpoints that fail while others do not, their recovery, and connections that died idle."""

from dahliabend.model import Effect, EndpointState, Outcome, Port, Settings
from dahliabend.policy.retries import Attempt, RequestState
from dahliabend.policy.selection import Endpoint, EndpointSelection
from dahliabend.policy.throttling import FLOOR, LINGER, OUTLIER_REDUCTION, RECENT, STEP, updated_mean

SILENCE_LATENCIES = 4  # mean latencies with attempts out and no answer: the endpoint is ejected
CHECK_DOUBLINGS, TRIAL_DOUBLINGS = 5, 6  # of the wait before a health check, or a trial, at the most
RESET_SAMPLES = round(OUTLIER_REDUCTION / STEP)  # a quick reset proves what a time-out only suggests


class OutlierDetector:
    """Ejects endpoints, brings them back by health checks and trials, and finds dead idle connections."""

    def __init__(self, settings: Settings, port: Port, tick: int, selection: EndpointSelection) -> None:
        self.settings, self.port, self.tick, self.last_answer_at = settings, port, tick, 0  # of any endpoint
        self.selection, self.throttling = selection, selection.throttling
        self.can_try = any(kind.effect is Effect.IDEMPOTENT for kind in settings.request_classes)
        self.awaiting_trial = dict[Endpoint, None]()  # ejected for long enough
        self.fatal_idle_time = 0.0  # how long connections were idle that swallowed a request, in the mean

    def eject(self, endpoint: Endpoint, now: int) -> None:
        if not endpoint.is_ejected:
            endpoint.is_ejected, endpoint.ejected_since = True, now
            endpoint.consecutive_failures += 1
            self.selection.concurrency.in_flight -= len(endpoint.in_flight)  # no sign of overload elsewhere
            self.selection.select()

    def restore(self, endpoint: Endpoint, now: int) -> None:
        endpoint.is_ejected, endpoint.silent_since, endpoint.entries[-1].reduction = False, now, 0.0
        self.selection.concurrency.in_flight += len(endpoint.in_flight)
        self.selection.select()

    def trial_finished(self, endpoint: Endpoint, now: int, failed: bool) -> None:
        endpoint.ejected_since = now
        endpoint.consecutive_failures += failed
        if not failed:
            self.restore(endpoint, now)

    def eject_early(self, endpoint: Endpoint, now: int, is_unreachable: bool) -> None:  # or quick to fail
        own, is_tier_well = endpoint.entries[-1], self.throttling.tier.reduction < OUTLIER_REDUCTION / 2
        is_failing = own.sampled >= FLOOR and own.failed >= OUTLIER_REDUCTION * own.sampled
        is_silent = now - endpoint.answered_at >= self.throttling.validity  # else full, and it answers
        if is_silent if is_unreachable else is_tier_well and (endpoint.consecutive_failures or is_failing):
            self.eject(endpoint, now)

    def close_window(self, endpoint: Endpoint, now: int) -> None:
        for entry in endpoint.entries:
            entry.close_window(now, FLOOR, self.throttling.validity, self.throttling.span)
        reduction = endpoint.entries[-1].reduction
        if reduction >= OUTLIER_REDUCTION and self.throttling.tier.reduction < reduction / 2:
            self.eject(endpoint, now)

    def eject_if_hung(self, endpoint: Endpoint, now: int) -> bool:  # silent while others answer
        allowed = SILENCE_LATENCIES * self.selection.concurrency.mean_latency + self.tick
        is_hung = self.last_answer_at > endpoint.silent_since and now - endpoint.silent_since > allowed
        if is_hung and not all(self.throttling.class_outliers[r.class_index] for r in endpoint.in_flight):
            self.eject(endpoint, now)
        return endpoint.is_ejected

    def recover(self, endpoint: Endpoint, now: int) -> None:
        waited, failures = now - endpoint.ejected_since, endpoint.consecutive_failures
        wait = max(self.throttling.validity, self.throttling.span << min(failures, TRIAL_DOUBLINGS))
        if self.settings.can_health_check:
            wait = self.tick << min(failures, CHECK_DOUBLINGS)
            if waited >= wait and not endpoint.health_check_under_way:
                endpoint.health_check_under_way = True
                self.port.check_health(endpoint.index)
        elif waited >= LINGER * wait:
            self.restore(endpoint, now)  # nothing came by that may run again
        elif waited >= wait:
            self.awaiting_trial[endpoint] = None

    def health_check_finished(self, endpoint: Endpoint, now: int, outcome: Outcome) -> None:
        endpoint.health_check_under_way = False
        is_untried = self.can_try and endpoint not in self.awaiting_trial
        if endpoint.is_ejected and outcome is not Outcome.SUCCEEDED:
            self.trial_finished(endpoint, now, failed=True)  # it waits longer: checks are load too
        elif endpoint.is_ejected and is_untried and endpoint.consecutive_failures > 1:
            self.awaiting_trial[endpoint] = None  # found so again: back as it is if nothing tries it
        elif endpoint.is_ejected:
            self.restore(endpoint, now)

    def trial(self, request: RequestState, now: int, usual: float) -> Endpoint | None:
        can_try = usual and not request.attempts and request.request_class.effect is Effect.IDEMPOTENT
        if not can_try or not self.awaiting_trial:
            return None
        endpoint = self.awaiting_trial.popitem()[0]
        is_free = endpoint.is_ejected and endpoint.state is EndpointState.READY and not endpoint.in_flight
        return endpoint if is_free and self.selection.warm_share(endpoint, now) else None

    def add_idle(self, attempt: Attempt, now: int, outcome: Outcome, took: int, usual: float) -> None:
        is_unheard = now - attempt.endpoint.silent_since >= took
        is_lost = is_unheard and outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED)
        lost = RESET_SAMPLES if outcome is Outcome.RESET and took < usual * STEP else int(is_lost)
        if lost:
            self.fatal_idle_time = updated_mean(self.fatal_idle_time, attempt.idle, RECENT)
        if lost or (self.fatal_idle_time and attempt.idle >= self.fatal_idle_time / 2):
            self.throttling.idle_connections.add(lost, lost or 1)

    def must_close_idle(self, attempt: Attempt, now: int) -> bool:  # those idle for half the fatal time
        is_stale = attempt.endpoint.in_flight or attempt.idle >= self.fatal_idle_time / 2
        return bool(is_stale) and self.throttling.idle_connections.valid_reduction(now) >= OUTLIER_REDUCTION
