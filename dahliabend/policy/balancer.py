"""The policy of one balancer instance: a driver reports events to it, and it acts through a `Port`.

This module passes each request through the other modules and holds no rules; docs/decisions.md lists these.
Times are in microseconds.
"""

from random import Random

from dahliabend.model import EndpointUpdate, Outcome, PolicySettings, Port, Snapshot, TimerToken
from dahliabend.policy.admission import Admission
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.deadlines import Deadlines, time_left
from dahliabend.policy.key_order import KeyQueues
from dahliabend.policy.outliers import OutlierDetector
from dahliabend.policy.records import Attempt, Endpoint, RequestState
from dahliabend.policy.retries import Retries, cancellable_attempts, is_retryable_by_client, may_attempt
from dahliabend.policy.sampling import Sampling
from dahliabend.policy.selection import EndpointSelection
from dahliabend.policy.slow_start import SlowStart
from dahliabend.policy.throttling import WINDOW_TICKS, Throttling

TICKS_PER_LATENCY_OBJECTIVE = 4  # in the shortest objective of all classes
MIN_TICK = 1000
POLL_BACKOFFS_PER_DEADLINE = 8  # a failed poll is repeated after at most deadline / 8
_UNINFORMATIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.NOT_SENT)  # they say nothing about the endpoint


class Balancer:
    """Handles the events (`model.BalancerEvents`); drivers may read the public fields of its components."""

    def __init__(self, settings: PolicySettings, port: Port, seed: int) -> None:
        self.settings = settings
        self.port = port
        self.random = Random(seed).random
        self.request_classes = settings.request_classes
        objective = min(each.latency_objective for each in self.request_classes)
        self.tick = max(MIN_TICK, round(objective / TICKS_PER_LATENCY_OBJECTIVE))
        self.throttling = Throttling(len(self.request_classes), self.tick * WINDOW_TICKS)
        self.concurrency = ConcurrencyLimit(settings, self.throttling)
        self.sampling = Sampling(settings, self.throttling, self.concurrency)
        self.slow_start = SlowStart(settings, self.throttling.window)
        self.key_queues = KeyQueues(settings.key_pause, port)
        self.retries = Retries(settings)
        self.deadlines = Deadlines(settings, self.tick, self.retries, self.throttling)
        self.selection = EndpointSelection(
            settings, self.random, self.throttling, self.concurrency, self.slow_start
        )
        self.outliers = OutlierDetector(settings, port, self.random, self.selection, self.deadlines)
        self.admission = Admission(settings, self.random, self.selection, self.deadlines)
        self.limit_settings = [settings.instance_count, settings.tier, self.throttling.window]
        self.is_started = False
        backoff = settings.poll_deadline // POLL_BACKOFFS_PER_DEADLINE
        self.poll_backoff = backoff if settings.polls_endpoints else 0

    # Endpoints

    def update_endpoints(self, now: int, updates: list[EndpointUpdate], full: bool) -> None:
        """Apply the whole endpoint list (`full`), or only changes to it."""
        if not self.is_started:
            self.is_started = True
            self.throttling.open(now)
            self.port.set_timer(now + self.tick, TimerToken.TICK)
            if self.poll_backoff:
                self.port.poll_endpoints()
        self.selection.update(now, updates, full=full)

    def endpoint_poll_failed(self, now: int) -> None:
        """Report that a poll of the endpoint list failed; it is repeated after a random delay.

        Without the randomness all balancers would poll an overloaded registry at the same time.
        """
        if self.poll_backoff:
            wait = round(self.poll_backoff * (1 + self.random()) / 2)
            self.port.set_timer(now + wait, TimerToken.POLL)

    def health_check_finished(self, now: int, endpoint_index: int, outcome: Outcome) -> None:
        """Report the outcome of a health check of an endpoint."""
        endpoint = self.selection.endpoints.get(endpoint_index)
        if endpoint is not None:
            self.outliers.health_check_finished(endpoint, now, outcome)

    def add_peer_report(self, endpoint_index: int, sampled: int, failed: int) -> None:
        """Add attempts that other balancers report, and how many of them failed, to an endpoint's window."""
        endpoint = self.selection.endpoints.get(endpoint_index)
        if endpoint is not None:
            endpoint.entries[-1].add(failed, sampled)

    # Timers

    def timer_fired(self, now: int, token: int) -> None:
        """Report that a timer set by `Port.set_timer` has fired."""
        if token == TimerToken.TICK:
            self._tick(now)
        elif token == TimerToken.KEY_PAUSE:
            self.key_queues.timer_fired(now)
        else:
            self.port.poll_endpoints()

    def _tick(self, now: int) -> None:
        self.port.set_timer(now + self.tick, TimerToken.TICK)
        for request in self.key_queues.waiting_requests():
            request.balancer.give_up_if_out_of_time(request, now)
        for endpoint in self.selection.ready:
            if endpoint.is_ejected:
                self.outliers.advance_recovery(endpoint, now)
                continue
            self.outliers.eject_if_hung(endpoint, now)
            if endpoint.is_ejected:
                self._cancel_overdue_attempts(endpoint, now)
        self.concurrency.tick(now, self.selection.endpoints_per_instance())
        if self.concurrency.ticks % WINDOW_TICKS == 0:
            self.close_windows(now)

    def close_windows(self, now: int) -> None:
        """Close the windows of all samples, and derive from them the state for the next windows."""
        self.throttling.close_windows(now)
        self.selection.remove_unlisted(now)
        for endpoint in self.selection.ready:
            self.outliers.close_window(endpoint, now)
        has_endpoint_past_slow_start = self.selection.has_endpoint_past_slow_start(now)
        self.slow_start.close_window(
            self.admission.take_new_requests(), has_endpoint_past_slow_start=has_endpoint_past_slow_start
        )
        self.selection.resize_subset()
        self.throttling.set_validity(self.slow_start.send_rate)

    # Snapshots

    def snapshot(self, is_final: bool) -> Snapshot:
        """Return the state for the next policy; with `is_final`, this one admits no more requests."""
        return Snapshot(
            limit_settings=self.limit_settings,
            mean_latencies=self.deadlines.mean_latencies,
            fatal_idle_time=self.outliers.fatal_idle_time,
            endpoints={
                index: endpoint.snapshot(self.slow_start.hand_over_budget(endpoint, is_final=is_final))
                for index, endpoint in self.selection.endpoints.items()
            },
            limit=self.concurrency.snapshot(),
        )

    def restore(self, snapshot: Snapshot, class_pairs: list[tuple[int, int]]) -> int:
        """Restore a snapshot, and return how many endpoints matched.

        `class_pairs` holds the indices of corresponding request classes, here and in the snapshot.
        """
        for index, previous_index in class_pairs:
            self.deadlines.mean_latencies[index] = snapshot.mean_latencies[previous_index]
        self.outliers.fatal_idle_time = snapshot.fatal_idle_time
        if snapshot.limit_settings == self.limit_settings:  # otherwise the limit starts anew
            self.concurrency.restore(snapshot.limit)
        restored = 0
        for index, stored in snapshot.endpoints.items():
            endpoint = self.selection.endpoints.get(index)
            if endpoint is not None and endpoint.started_at == stored.started_at:  # still the same process
                endpoint.restore(stored)
                restored += 1
        self.selection.select()
        return restored

    # Requests

    def admit(
        self, now: int, request_id: int, class_index: int, tenant: int, deadline: int,
        is_client_retry: bool = False, body_pending: bool = False, key: int | bytes = 0,
    ) -> RequestState:  # fmt: skip
        """Send a request, queue it behind others of its key, or reject it (`model.BalancerEvents`)."""
        request_class = self.request_classes[class_index]
        key = key if request_class.is_ordered else 0
        priority = self.admission.priorities[class_index]
        request = RequestState(self, request_id, class_index, key, priority, body_pending=body_pending)
        request.deadline = deadline
        if not body_pending:  # otherwise set once the body has been received
            request.deadline = self.deadlines.useful_deadline(request_class, now, deadline)
        if not self.admission.admits(request, tenant, now, is_client_retry=is_client_retry):
            self.give_up(request)
        elif key:
            self._queue(request, now)
        else:
            self.send(request, now)
        return request

    def _queue(self, request: RequestState, now: int) -> None:
        queue_position = self.key_queues.queue_position(request.key)
        wait = self.deadlines.queue_wait(request.class_index, queue_position)
        if queue_position and not self.admission.may_queue(request, now, wait):
            self.give_up(request, wait)
        elif self.key_queues.join(request, now):
            self.send(request, now)
            self.key_queues.leave(request, now)
        elif request.body_pending:  # another process has one of the key out; see `may_queue`
            self.give_up(request, wait)
            self.key_queues.leave(request, now)

    def send(self, request: RequestState, now: int) -> None:
        """Send the next attempt of a request, or give the request up if no attempt is allowed or possible."""
        is_first = not request.attempts
        if time_left(request, now) <= 0 or not may_attempt(request, now):
            self.give_up(request)
            return
        is_class_outlier = self.throttling.class_outliers[request.class_index]
        if is_class_outlier and self.outliers.must_reject_class(request, now):
            self.give_up(request)
            return
        endpoint = self.outliers.choose_trial_endpoint(request, now) if self.outliers.awaiting_trial else None
        endpoint = endpoint or self.selection.choose(request, now)
        if endpoint is not None and is_first:
            endpoint = self.admission.apply_reductions(request, endpoint, now)
        if endpoint is None:
            self.give_up(request)
            return
        if is_first:
            self.retries.deposit()
        self._start_attempt(request, endpoint, now)

    def _start_attempt(self, request: RequestState, endpoint: Endpoint, now: int) -> None:
        self.slow_start.spend(endpoint)
        attempt = Attempt(endpoint, now)
        if self.outliers.should_close_idle_connections(attempt, now):
            self.outliers.close_idle_connections(attempt)
        if not request.body_pending:  # the endpoint starts no work before the last byte
            self.outliers.attempt_began(attempt)
            self.concurrency.attempt_began(request, attempt)
        request.attempt_sent(attempt)
        self.port.send(request.request_id, endpoint.index, self.deadlines.attempt_timeout(request, now))

    def body_received(self, request: RequestState, now: int, deadline: int) -> int:
        """Handle that the attempt in flight has sent the last byte of the body; return its timeout."""
        request.deadline = self.deadlines.useful_deadline(request.request_class, now, deadline)
        self.outliers.attempt_began(request.attempts[-1])
        self.concurrency.attempt_began(request, request.attempts[-1])
        if request.key:
            self.key_queues.deadline_changed(request)
        return self.deadlines.attempt_timeout(request, now)

    def response_started(self, request: RequestState, attempt: Attempt) -> None:
        """Stop counting an attempt whose response streams to the client: its endpoint has done the work."""
        self.concurrency.attempt_ended(request, attempt.endpoint)

    def hedge_timer_fired(self, request: RequestState, now: int) -> None:
        """Send a hedge beside the slow attempt in flight, if one is allowed."""
        endpoint = self.selection.choose(request, now) if self.retries.may_hedge(request, now) else None
        if endpoint is not None and all(attempt.endpoint is not endpoint for attempt in request.attempts):
            self.retries.withdraw_for_hedge()
            request.mark_hedged()
            self._start_attempt(request, endpoint, now)

    # End of attempts and requests

    def attempt_ended(
        self, request: RequestState, attempt: Attempt, now: int, outcome: Outcome, duration: int
    ) -> None:
        """Record the outcome of an attempt, and retry, cancel or finish its request."""
        if attempt.idle:
            mean_latency = self.deadlines.mean_latencies[request.class_index]
            self.outliers.record_idle_outcome(attempt, now, outcome, duration, mean_latency)
        if request.key and self.key_queues.needs_pause(outcome):
            self.key_queues.pause(request, now)
        self._record_outcome(request, attempt.endpoint, now, outcome, duration)
        if not request.is_answered and not request.in_flight:
            self._retry(request, now, outcome)
        elif request.is_answered and request.in_flight:
            self.cancel(request)
        if request.key:
            self.key_queues.leave(request, now)

    def _record_outcome(
        self, request: RequestState, endpoint: Endpoint, now: int, outcome: Outcome, duration: int
    ) -> None:
        """Report the end of an attempt to the components, in a fixed order."""
        index = request.class_index
        mean_latency = self.deadlines.mean_latencies[index]  # before this attempt
        is_failed = outcome is not Outcome.SUCCEEDED
        self.concurrency.attempt_ended(request, endpoint)
        self.outliers.attempt_ended(endpoint, now, outcome)
        if outcome in _UNINFORMATIVE_OUTCOMES:
            return
        self.selection.record_latency(endpoint, outcome, duration, mean_latency)
        if not is_failed:
            self.deadlines.record_latency(index, duration)
            self.concurrency.record_success(duration)
        self.throttling.add_class_sample(index, outcome)
        is_class_outlier = self.throttling.class_outliers[index]
        if endpoint.is_ejected and not (is_failed and is_class_outlier):
            self.outliers.record_trial_result(endpoint, now, duration, is_failed=is_failed)
        if is_class_outlier:  # neither an endpoint's fault nor an overload
            return
        self.sampling.record_outcome(request, endpoint, now, outcome, duration)
        if is_failed:
            self.outliers.eject_early(endpoint, now, outcome, duration, mean_latency)

    def _retry(self, request: RequestState, now: int, outcome: Outcome) -> None:
        if not self.retries.may_retry(outcome):
            self.give_up(request)
            return
        self.retries.withdraw_for_retry(outcome)
        self.send(request, now)

    def give_up(self, request: RequestState, wait: int = 0) -> None:
        """End a request without a success: reject it if its client may safely send it again, else fail it.

        `wait` is the time that the request would have had to wait for its turn.
        """
        request.give_up()
        self.cancel(request)
        if is_retryable_by_client(request):
            retry_after = self.deadlines.retry_after(request.request_class, wait)
            self.port.reject(request.request_id, retry_after)
        else:
            self.port.fail(request.request_id)

    def give_up_if_out_of_time(self, request: RequestState, now: int) -> None:
        """Give up a request that waits for its turn, if it has too little time left."""
        if not self.deadlines.can_wait(request, now):
            self.give_up(request)
            self.key_queues.leave(request, now)

    def client_disconnected(self, request: RequestState, now: int) -> None:
        """Cancel the attempts of a request whose client has gone, and remove it from its queue."""
        self.cancel(request)
        self.key_queues.leave(request, now)

    def cancel(self, request: RequestState) -> None:
        """Cancel the attempts of a request that are in flight, if the driver can."""
        if self.settings.can_cancel:
            for attempt_index in cancellable_attempts(request):
                self.port.cancel(request.request_id, attempt_index)

    def _cancel_overdue_attempts(self, endpoint: Endpoint, now: int) -> None:
        for request, attempt in tuple(endpoint.in_flight.items()):
            if self.deadlines.has_early_timeout_passed(request, attempt, now):
                self.cancel(request)
