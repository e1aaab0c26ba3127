"""Every decision of one balancer instance: a driver feeds it events, and it acts through a `Port`."""

from random import Random

from dahliabend.model import STORED_ENDPOINT, STORED_LIMIT, EndpointRow, Outcome, Port, Settings, Snapshot
from dahliabend.policy.concurrency import EQUAL_SHARE, ConcurrencyLimit
from dahliabend.policy.key_order import REST_TIMER, KeyQueues
from dahliabend.policy.outliers import OutlierDetector
from dahliabend.policy.retries import BUDGET_LIMIT, Attempt, RequestState
from dahliabend.policy.selection import Endpoint, EndpointSelection
from dahliabend.policy.throttling import EASING, RECENT, STEP, WINDOW_TICKS, Throttling, updated_mean

TICK_OBJECTIVES, RETRY_AFTER_OBJECTIVES = 1 / 4, 1 / 4  # of the shortest latency objective; of the class's
LATE = 3 / 4  # of the latency objective: in an overload, a slower attempt counts as failed
LATENCY_RATIO_CAP = 10  # the most that one attempt tells of its endpoint's relative latency
TICK_TIMER, POLL_TIMER = 0, 1  # tokens of timers


class Balancer:
    """The events, and the way of a request through the parts, whose public fields drivers may read."""

    def __init__(self, settings: Settings, port: Port, seed: int) -> None:
        self.settings, self.port, self.random = settings, port, Random(seed).random
        self.request_classes = kinds = settings.request_classes
        self.usual, self.retry_budget = [0.0] * len(kinds), 1.0  # mean latencies of successes, by class
        self.tick = max(1000, round(min(kind.latency_objective for kind in kinds) * TICK_OBJECTIVES))
        self.throttling = Throttling(len(kinds), self.tick * WINDOW_TICKS)
        self.concurrency = ConcurrencyLimit(settings, self.throttling)
        self.selection = EndpointSelection(settings, self.random, self.concurrency)
        self.outliers = OutlierDetector(settings, port, self.tick, self.selection)
        self.key_queues = KeyQueues(settings.key_rest, port)
        self.shape = [settings.instance_count, settings.tier, self.throttling.window]
        bias = settings.overall_weight / ((settings.overall_weight + settings.worst_class_weight) or 1.0)
        top = max(kind.priority_weight for kind in kinds) or 1.0
        self.priorities = [1 - bias * (1 - kind.priority_weight / top) for kind in kinds]  # by class
        self.is_entry_tier = settings.tier == 0  # calls of the tiers behind are work already paid for
        self.most_retry_after = settings.max_retry_after * settings.sends_retry_after
        self.is_started, self.poll_backoff = False, settings.poll_deadline // 8 * settings.polls_endpoints

    def update_endpoints(self, now: int, rows: list[EndpointRow], full: bool) -> None:
        if not self.is_started:
            self.is_started, self.throttling.tier.opened_at = True, now
            self.port.set_timer(now + self.tick, TICK_TIMER)
            if self.poll_backoff:
                self.port.poll_endpoints()
        self.selection.update(now, rows, full)

    def endpoint_poll_failed(self, now: int) -> None:
        if self.poll_backoff:  # at random: a registry that failed under load is not stormed
            self.port.set_timer(now + round(self.poll_backoff * (1 + self.random()) / 2), POLL_TIMER)

    def health_check_finished(self, now: int, index: int, outcome: Outcome) -> None:
        if endpoint := self.selection.endpoints.get(index):
            self.outliers.health_check_finished(endpoint, now, outcome)

    def add_peer_report(self, index: int, sampled: int, failed: int) -> None:
        if endpoint := self.selection.endpoints.get(index):
            endpoint.entries[-1].add(failed, sampled)

    def timer_fired(self, now: int, token: int) -> None:
        if token:
            return self.key_queues.timer_fired(now) if token == REST_TIMER else self.port.poll_endpoints()
        self.port.set_timer(now + self.tick, TICK_TIMER)
        for request in [request for queue in self.key_queues.queues.values() for request in queue.waiting]:
            if request.deadline - now <= request.balancer.least_time(request):
                request.balancer.give_up(request)  # unsent at its deadline, it would have no answer in time
                request.balancer.key_queues.leave(request, now)
        for endpoint in self.selection.ready:
            if endpoint.is_ejected:
                self.outliers.recover(endpoint, now)
            elif self.outliers.eject_if_hung(endpoint, now):
                for request, attempt in tuple(endpoint.in_flight.items()):
                    is_late = now - attempt.sent_at >= request.early_timeout()
                    if is_late and not request.is_answered and request.is_retryable():
                        self.cancel(request)
        self.concurrency.tick(now, len(self.selection.ready) / self.selection.instance_count)
        if self.concurrency.ticks % WINDOW_TICKS == 0:
            self.close_windows(now)

    def close_windows(self, now: int) -> None:
        self.throttling.close_windows(now)
        self.selection.remove_unlisted(now)
        for endpoint in self.selection.ready:
            self.outliers.close_window(endpoint, now)
        self.selection.close_window(now)
        self.throttling.set_validity(self.selection.send_rate)

    def snapshot(self, ends: bool) -> Snapshot:  # `ends`: this balancer admits nothing more
        endpoints, gap = {}, self.outliers.fatal_idle_time
        for index, endpoint in self.selection.endpoints.items():
            endpoint.slow_start_budget /= 1 if ends else 2  # a cold endpoint has one budget
            endpoints[index] = STORED_ENDPOINT.read(endpoint)
            endpoint.slow_start_budget = float("-inf") if ends else endpoint.slow_start_budget
        limit = STORED_LIMIT.read(self.concurrency)
        return {"shape": self.shape, "usual": self.usual, "gap": gap, "upstreams": endpoints, "crowd": limit}

    def restore(self, known: Snapshot, same_classes: list[tuple[int, int]]) -> int:
        for index, former in same_classes:
            self.usual[index] = known["usual"][former]
        self.outliers.fatal_idle_time, taken_over = known["gap"], 0
        if known["shape"] == self.shape:  # the limit would grow anew from its start
            STORED_LIMIT.write(self.concurrency, known["crowd"])
        for index, values in known["upstreams"].items():
            endpoint = self.selection.endpoints.get(index)
            if endpoint is not None and endpoint.started_at == values[0]:  # the same process still
                STORED_ENDPOINT.write(endpoint, values)
                taken_over += 1
        self.selection.select()
        return taken_over

    def admit(
        self, now: int, ref: int, class_index: int, tenant: int, deadline: int,
        repeat: bool = False, body_pending: bool = False, key: int | bytes = 0,
    ) -> RequestState:  # fmt: skip
        key = key if self.request_classes[class_index].is_ordered else 0
        request = RequestState(self, ref, class_index, key)
        request.body_pending = body_pending
        request.deadline = deadline if body_pending else self.useful_deadline(request, now, deadline)
        self.selection.new_requests += not repeat
        if self.is_entry_tier:
            if tenant < len(self.concurrency.quotas) and not self.concurrency.is_within_quota(tenant, now):
                request.priority *= self.settings.over_quota_weight  # else its burst costs all the others
            if not self.concurrency.admits(request.priority):
                self.give_up(request)
                return request
        ahead = self.key_queues.ahead(key)  # 0 where it has no key
        wait = round(ahead * self.usual[class_index])
        if ahead and (body_pending or request.deadline - now <= wait + self.least_time(request)):
            self.give_up(request, wait)  # its queue would grow beyond what can still be served in time
        elif not key or self.key_queues.join(request):
            self.send(request, now)
            self.key_queues.leave(request, now)
        return request

    def least_time(self, request: RequestState) -> int:  # that has to be left at its turn
        return max(self.tick, round(self.usual[request.class_index]))

    def useful_deadline(self, request: RequestState, now: int, deadline: int) -> int:
        late_is_useless = self.is_entry_tier and not request.request_class.late_weight  # then no work for it
        return min(deadline, now + request.request_class.latency_objective) if late_is_useless else deadline

    def send(self, request: RequestState, now: int) -> None:
        is_over, index = now >= request.deadline, request.class_index
        if is_over or len(request.attempts) >= request.max_attempts or not request.may_be_sent(now):
            return self.give_up(request)
        is_full = self.concurrency.in_flight >= EQUAL_SHARE * self.concurrency.limit
        reduction = self.throttling.classes[index].valid_reduction(now) if is_full else 0.0
        if reduction and self.throttling.class_outliers[index] and self.random() < reduction:
            return self.give_up(request)  # it would hold places until it fails too
        endpoint = self.outliers.trial(request, now, self.usual[index]) or self.selection.choose(request, now)
        if endpoint and not request.attempts:
            endpoint = self.throttled(request, endpoint, now)
        if not endpoint:
            return self.give_up(request)
        if not request.attempts:
            self.retry_budget = min(BUDGET_LIMIT, self.retry_budget + self.settings.retry_budget_ratio)
        return self.dispatch(request, endpoint, now)

    def throttled(self, request: RequestState, endpoint: Endpoint, now: int) -> Endpoint | None:
        governing = self.throttling.governing(endpoint.entries, request.class_index, now)
        if governing is not self.throttling.tier:
            if self.random() >= governing.valid_reduction(now):
                return endpoint
            if clean := self.selection.choose(request, now, unthrottled=True):
                return clean  # where all hold reductions none is in trouble alone: the tier's governs
        reduction = self.throttling.tier.valid_reduction(now) if self.is_entry_tier else 0.0
        excess = 1 + self.concurrency.mean_priority - request.priority
        return None if reduction and self.random() < reduction * excess else endpoint

    def attempt_timeout(self, request: RequestState, now: int) -> int:
        left = request.deadline - now
        is_calm = self.usual[request.class_index] and not self.throttling.tier.reduction
        may_retry = is_calm and self.retry_budget >= 1 and request.is_retryable()
        timeout = request.early_timeout() if may_retry else left
        return max(1, min(left, request.request_class.attempt_timeout or left, timeout))

    def dispatch(self, request: RequestState, endpoint: Endpoint, now: int) -> None:
        endpoint.slow_start_budget -= 1
        attempt = Attempt(endpoint, now)
        if self.outliers.must_close_idle(attempt, now):
            self.port.close_idle_connections(endpoint.index, round(self.outliers.fatal_idle_time / 2))
            attempt.idle = 0  # tells nothing of idle connections any more
        if not request.body_pending:  # nothing runs there before the last byte
            self.count_in(request, attempt)
        self.selection.sent += 1
        request.in_flight += 1
        request.attempts.append(attempt)
        self.port.send(request.ref, endpoint.index, self.attempt_timeout(request, now))

    def count_in(self, request: RequestState, attempt: Attempt) -> None:
        endpoint = attempt.endpoint
        endpoint.silent_since = endpoint.silent_since if endpoint.in_flight else attempt.sent_at
        endpoint.in_flight[request] = attempt
        self.concurrency.in_flight += not endpoint.is_ejected

    def count_out(self, request: RequestState, endpoint: Endpoint) -> None:
        if endpoint.in_flight.pop(request, None) is not None and not endpoint.is_ejected:
            self.concurrency.in_flight -= 1

    def retry(self, request: RequestState, now: int, outcome: Outcome) -> None:
        costs = not outcome.proves_not_executed  # retries multiply across tiers
        if outcome is Outcome.NOT_SENT or (costs and self.retry_budget < 1):
            return self.give_up(request)
        self.retry_budget -= costs
        return self.send(request, now)

    def give_up(self, request: RequestState, wait: int = 0) -> None:
        request.is_answered = True
        self.cancel(request)
        if not request.is_retryable_by_client():
            return self.port.fail(request.ref)
        after = max(wait, round(request.request_class.latency_objective * RETRY_AFTER_OBJECTIVES))
        return self.port.reject(request.ref, min(self.most_retry_after, after))

    def cancel(self, request: RequestState) -> None:
        if self.settings.can_cancel and request.in_flight and not request.is_streaming:
            for number in range(len(request.attempts) - 1 - request.hedges, len(request.attempts)):
                self.port.cancel(request.ref, number)

    def learn(self, now: int, request: RequestState, endpoint: Endpoint, outcome: Outcome, took: int) -> None:
        self.count_out(request, endpoint)
        endpoint.last_ended_at, index = now, request.class_index
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        if outcome in (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED):
            endpoint.silent_since = endpoint.answered_at = self.outliers.last_answer_at = now
        failed, is_timed = outcome is not Outcome.SUCCEEDED, outcome in (Outcome.SUCCEEDED, Outcome.TIMED_OUT)
        usual, objective = self.usual[index], request.request_class.latency_objective
        if usual and is_timed:
            ratio = min(took / usual, LATENCY_RATIO_CAP)
            endpoint.relative_latency = updated_mean(endpoint.relative_latency, ratio, RECENT)
        if not failed:
            self.usual[index] = updated_mean(usual, took)
            self.concurrency.mean_latency = updated_mean(self.concurrency.mean_latency, took)
            self.concurrency.succeeded += 1
            endpoint.consecutive_failures = 0
        self.throttling.classes[index].add(failed and not outcome.proves_not_executed)
        is_class_outlier = self.throttling.class_outliers[index]  # no endpoint's fault, and no overload
        if endpoint.is_ejected and now - took > endpoint.ejected_since and not (failed and is_class_outlier):
            self.outliers.trial_finished(endpoint, now, failed)  # sent before, it would say nothing new
        if is_class_outlier:
            return
        if is_timed and endpoint.silent_since > now - took:  # one silent endpoint is hardly an overload
            self.concurrency.add_latency(took / objective, endpoint.relative_latency)
        late, overloaded = took > LATE * objective, self.concurrency.is_overloaded
        failed = failed or (overloaded and late)
        for entry in (endpoint.entries[index], endpoint.entries[-1]):
            entry.add(failed)
        if (cost := self.settings.cross_zone_cost) and endpoint.zone == self.settings.zone:
            self.throttling.same_zone.add((failed or late) - cost * EASING)
        if request.attempts[0].endpoint is endpoint:  # one that finds five full in a row would count as five
            self.throttling.tier.add(failed and (overloaded or outcome.proves_not_executed))
        if outcome is Outcome.UNREACHABLE or (outcome is Outcome.FAILED and took < usual * STEP):
            self.outliers.eject_early(endpoint, now, outcome is Outcome.UNREACHABLE)
