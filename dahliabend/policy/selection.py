"""Which endpoint gets an attempt: own zone first, a rendezvous subset, weighted round robin, slow start."""

from collections.abc import Callable, Sequence
from hashlib import blake2b

from dahliabend.model import Effect, EndpointRow, EndpointState, Settings
from dahliabend.policy.concurrency import INITIAL_LIMIT, ConcurrencyLimit
from dahliabend.policy.retries import Attempt, RequestState
from dahliabend.policy.throttling import FLOOR, ThrottleEntry

LEAST_SUBSET = 2  # endpoints selected at the least, of each side of a zone border that costs


class Endpoint:
    """The one record of an endpoint."""

    def __init__(self, index: int, rank: bytes, class_count: int) -> None:
        self.index, self.rank, self.state = index, rank, EndpointState.REMOVED
        self.entries = [ThrottleEntry() for _ in range(class_count + 1)]  # by class; the last is of all
        self.started_at, self.is_ejected, self.in_flight = -1, False, dict[RequestState, Attempt]()
        self.weight, self.cell, self.zone, self.is_listed = 1.0, 0, 0, False

    def start(self, started_at: int, now: int, position: float) -> None:  # 0: the list does not tell when
        self.started_at, self.relative_latency = started_at, 1.0  # a mean, by the usual latency of each class
        self.entries = [ThrottleEntry() for _ in self.entries]
        self.position = self.slow_start_budget = position  # in the round robin
        self.silent_since = self.budget_filled_at = self.last_ended_at = now  # silent with attempts out
        self.is_ejected = self.health_check_under_way = False
        self.ejected_since = self.answered_at = self.consecutive_failures = 0  # failures: also of checks


class EndpointSelection:
    """The endpoints listed, those ready by rank, and the subsets used: in the own zone, or beyond it."""

    def __init__(self, settings: Settings, random: Callable[[], float], limit: ConcurrencyLimit) -> None:
        self.settings, self.random, self.concurrency = settings, random, limit
        self.throttling, self.instance_count = limit.throttling, float(settings.instance_count)
        self.endpoints, self.ready = dict[int, Endpoint](), list[Endpoint]()
        self.selected, self.cross_zone = list[Endpoint](), list[Endpoint]()
        self.subset_size, self.most_ready, self.send_rate = 0, 1, 0.0  # most: ever; attempts a microsecond
        self.sent = self.new_requests = 0  # attempts in this window, and requests that no client repeats

    def update(self, now: int, rows: Sequence[EndpointRow], full: bool) -> None:
        gone = {row[0] for row in rows if row[1] is EndpointState.REMOVED}
        gone |= self.endpoints.keys() - {row[0] for row in rows} if full else set()
        for index, state, started_at, weight, cell, zone, identity in (r for r in rows if r[0] not in gone):
            if index not in self.endpoints:
                rank = blake2b(identity, key=b"%d" % self.settings.instance_index, digest_size=8).digest()
                self.endpoints[index] = Endpoint(index, rank, len(self.settings.request_classes))
            endpoint = self.endpoints[index]
            if started_at != endpoint.started_at:  # nothing known of an earlier process holds
                self.concurrency.in_flight += len(endpoint.in_flight) if endpoint.is_ejected else 0
                endpoint.start(started_at, now, self.random())  # else all balancers turn to it at once
            endpoint.state, endpoint.is_listed, endpoint.cell, endpoint.zone = state, True, cell, zone
            endpoint.weight = weight if weight > 0 else 1.0
        for endpoint in (self.endpoints[index] for index in gone & self.endpoints.keys()):
            endpoint.is_listed = False
            if not self.settings.only_draining_binds or endpoint.state is not EndpointState.READY:
                endpoint.state = EndpointState.REMOVED  # else kept while it answers, against a wrong list
        self.rank()

    def rank(self) -> None:  # attempts in flight keep the record of one that is gone until they end
        self.endpoints = {i: e for i, e in self.endpoints.items() if e.state is not EndpointState.REMOVED}
        ready = (e for e in self.endpoints.values() if e.state is EndpointState.READY)
        self.ready = sorted(ready, key=lambda endpoint: endpoint.rank, reverse=True)
        self.most_ready = max(self.most_ready, len(self.ready))
        each = len(self.ready) / self.instance_count  # where that is below 1 the root allows for chance
        self.concurrency.limit = self.concurrency.limit or INITIAL_LIMIT * max(each, each**0.5)
        fits = self.most_ready >= self.instance_count  # else connections would not suffice for all at once
        self.subset_size = self.subset_size or max(LEAST_SUBSET, self.most_ready if fits else 0)
        self.select()

    def select(self) -> None:  # as many of the highest ranks as this balancer's few attempts tell of
        size = self.subset_size if self.settings.instance_index >= 0 else None
        zone, cost = self.settings.zone, self.settings.cross_zone_cost
        healthy = [endpoint for endpoint in self.ready if not endpoint.is_ejected]
        self.selected = [endpoint for endpoint in healthy if not cost or endpoint.zone == zone][:size]
        self.cross_zone = [endpoint for endpoint in healthy if cost and endpoint.zone != zone][:size]

    def choose(self, request: RequestState, now: int, *, unthrottled: bool = False) -> Endpoint | None:
        crosses = self.cross_zone and self.random() < self.throttling.same_zone.valid_reduction(now)
        first, second = (self.cross_zone, self.selected) if crosses else (self.selected, self.cross_zone)
        tried, kind = [attempt.endpoint for attempt in request.attempts], request.request_class
        executed = request.first_possibly_executed() if kind.effect is Effect.DEDUPLICATED else None
        for pool, is_last in (first, False), (second, False), (self.ready, False), (self.ready, True):
            candidates, load_limit = pool, float("inf")
            if not is_last:
                healthy = [endpoint for endpoint in pool if not endpoint.is_ejected]
                weights, loads = sum([e.weight for e in healthy]), sum([len(e.in_flight) for e in healthy])
                load_limit = loads / weights if weights else 0.0  # the mean
                candidates = [endpoint for endpoint in healthy if endpoint not in tried] if tried else healthy
            if executed:
                candidates = [e for e in candidates if request.is_deduplicated_at(e, executed)]
            best, total = None, 0.0
            for endpoint in candidates:  # smooth weighted round robin, by weight and latency
                weight = endpoint.weight / endpoint.relative_latency
                if endpoint.started_at:
                    weight *= self.warm_share(endpoint, now)
                is_throttled = unthrottled and not self.is_unthrottled(endpoint, request, now)
                if not weight or is_throttled or len(endpoint.in_flight) > load_limit * weight:
                    continue
                endpoint.position += weight
                total += weight
                if best is None or endpoint.position > best.position:
                    best = endpoint
            if best is not None:
                best.position -= total
                return best
        return None

    def is_unthrottled(self, endpoint: Endpoint, request: RequestState, now: int) -> bool:  # known to be so
        governing = self.throttling.governing(endpoint.entries, request.class_index, now)
        return endpoint.entries[-1].valid_until > 0 and not governing.valid_reduction(now)

    def warm_share(self, endpoint: Endpoint, now: int) -> float:  # of its capacity; 0: its budget is spent
        age, initial = now - endpoint.started_at, self.settings.initial_capacity
        if not endpoint.started_at or age >= self.settings.warmup_time:
            return 1.0
        warm = initial + (1 - initial) * max(0, age) / self.settings.warmup_time
        rate = self.send_rate / self.most_ready * warm * (self.settings.warmup_multiple / 2)
        earned, endpoint.budget_filled_at = (now - endpoint.budget_filled_at) * rate, now
        endpoint.slow_start_budget = min(1.0, endpoint.slow_start_budget + earned)
        return warm if endpoint.slow_start_budget >= 1 else 0.0

    def remove_unlisted(self, now: int) -> None:  # what has not answered for as long as a start takes
        stale = [e for e in self.ready if not e.is_listed and now - e.answered_at > self.settings.warmup_time]
        for endpoint in stale:
            endpoint.state = EndpointState.REMOVED
        if stale:
            self.rank()

    def close_window(self, now: int) -> None:
        some_warm = any(now - endpoint.started_at >= self.settings.warmup_time for endpoint in self.ready)
        rate = (self.sent if some_warm else self.new_requests) / self.throttling.window  # else few are sent
        self.send_rate += (rate - self.send_rate) / 4 if self.send_rate else rate
        self.sent = self.new_requests = 0
        attempts = self.send_rate * self.throttling.span  # to each of all, or to the floor of each selected
        size = self.most_ready if attempts >= self.most_ready else max(LEAST_SUBSET, round(attempts / FLOOR))
        if abs(size - self.subset_size) > self.subset_size / 4:
            self.subset_size = size
            self.select()
