"""Selection of the endpoint for an attempt: own zone first, a subset by rank, weighted round robin.

Times are in microseconds.
"""

from collections.abc import Callable, Sequence
from hashlib import blake2b

from dahliabend.model import (
    DeduplicationScope,
    EndpointState,
    EndpointUpdate,
    Idempotency,
    Outcome,
    PolicySettings,
)
from dahliabend.policy.concurrency import ConcurrencyLimit
from dahliabend.policy.moving_average import NEWEST_WEIGHT_SPARSE, ewma
from dahliabend.policy.records import Attempt, Endpoint, RequestState
from dahliabend.policy.slow_start import SlowStart
from dahliabend.policy.throttling import MIN_SAMPLES, Throttling

MIN_SUBSET = 2  # endpoints, inside and outside the own zone if crossing has a cost
MIN_SUBSET_CHANGE_DIVISOR = 4  # a smaller change than size / 4 leaves the subset as it is
MAX_LATENCY_RATIO = 10  # bound on what one attempt adds to the relative latency of its endpoint
NO_LOAD_LIMIT = float("inf")
RANK_BYTES = 8


def is_deduplicated_at(request: RequestState, endpoint: Endpoint, first: Attempt) -> bool:
    """Return whether an endpoint drops repeats of an attempt that may have executed.

    A repeat that is sent outside the deduplication scope takes effect a second time.
    """
    scope = request.request_class.deduplication_scope
    if scope is DeduplicationScope.CELL:
        return endpoint.cell == first.cell
    return scope is DeduplicationScope.ALL or endpoint.zone == first.zone


def permitted_endpoints(request: RequestState, endpoints: list[Endpoint]) -> list[Endpoint]:
    """Return the endpoints to which a request may be sent.

    If the request may have executed, these are the ones that drop its repeats; elsewhere a repeat would take
    effect a second time.
    """
    if request.request_class.effect is not Idempotency.DEDUPLICATED:
        return endpoints
    executed = request.first_possibly_executed()
    if executed is None:
        return endpoints
    return [endpoint for endpoint in endpoints if is_deduplicated_at(request, endpoint, executed)]


def available_endpoints(endpoints: list[Endpoint]) -> tuple[list[Endpoint], float]:
    """Return the given endpoints that are not ejected, and their load limit.

    The limit is their mean number of attempts in flight per weight; an endpoint above it is skipped. Round
    robin alone would queue requests at an endpoint that has become slow.
    """
    available = []
    weights = 0.0
    attempts = 0
    for endpoint in endpoints:
        if not endpoint.is_ejected:
            available.append(endpoint)
            weights += endpoint.weight
            attempts += len(endpoint.in_flight)
    return available, attempts / weights if weights else 0.0


class EndpointSelection:
    """The listed endpoints, the ready ones by rank, and the subsets of these that attempts are sent to.

    Attributes:
        endpoints: By index; all endpoints named by a list, except removed ones.
        ready: The endpoints whose listed state is ready, the highest rank first.
        selected: The subset of the own zone or, where crossing zones has no cost, of all ready endpoints.
        cross_zone: The subset of the other zones; empty where crossing zones has no cost.
        subset_size: The maximum size of each of these two subsets.
        max_ready: The largest number of ready endpoints so far.
        instance_count: Number of balancers that share the endpoints; drivers update it.
    """

    def __init__(
        self,
        settings: PolicySettings,
        random: Callable[[], float],
        throttling: Throttling,
        concurrency: ConcurrencyLimit,
        slow_start: SlowStart,
    ) -> None:
        self.settings = settings
        self.random = random
        self.throttling = throttling
        self.concurrency = concurrency
        self.slow_start = slow_start
        self.instance_count = float(settings.instance_count)
        self.endpoints: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.selected: list[Endpoint] = []
        self.cross_zone: list[Endpoint] = []
        self.subset_size = 0
        self.max_ready = 1

    # Endpoint list

    def update(self, now: int, updates: Sequence[EndpointUpdate], *, full: bool) -> None:
        """Apply the whole endpoint list (`full`), or only changes to it."""
        removed = {
            endpoint_update[0] for endpoint_update in updates if endpoint_update[1] is EndpointState.REMOVED
        }
        if full:
            removed |= self.endpoints.keys() - {endpoint_update[0] for endpoint_update in updates}
        for endpoint_update in updates:
            if endpoint_update[0] not in removed:
                self._update_endpoint(now, endpoint_update)
        for index in removed & self.endpoints.keys():
            self._mark_unlisted(self.endpoints[index])
        self._rank_endpoints()

    def _update_endpoint(self, now: int, endpoint_update: EndpointUpdate) -> None:
        index, state, started_at, weight, cell, zone, endpoint_id = endpoint_update
        if index not in self.endpoints:
            rank_key = b"%d" % self.settings.instance_index
            rank = blake2b(endpoint_id, key=rank_key, digest_size=RANK_BYTES).digest()
            self.endpoints[index] = Endpoint(index, rank, len(self.settings.request_classes))
        endpoint = self.endpoints[index]
        if started_at != endpoint.started_at:  # what is known of an earlier process does not apply
            if endpoint.is_ejected:
                self.concurrency.endpoint_restored(endpoint)
            endpoint.start(started_at, now, self.random())  # random, lest all balancers send to it at once
        endpoint.state = state
        endpoint.is_listed = True
        endpoint.cell = cell
        endpoint.zone = zone
        endpoint.weight = weight if weight > 0 else 1.0

    def _mark_unlisted(self, endpoint: Endpoint) -> None:
        endpoint.is_listed = False
        # A ready endpoint may be kept while it answers, because the list may be wrong.
        if not self.settings.can_use_removed_endpoints or endpoint.state is not EndpointState.READY:
            endpoint.state = EndpointState.REMOVED

    def remove_unlisted(self, now: int) -> None:
        """Remove endpoints that no list names and that have not answered for `warmup_time` before `now`.

        If they were kept for longer, an endpoint that has really gone would go on receiving requests.
        """
        warmup_time = self.settings.warmup_time
        stale = [each for each in self.ready if not each.is_listed and now - each.answered_at > warmup_time]
        for endpoint in stale:
            endpoint.state = EndpointState.REMOVED
        if stale:
            self._rank_endpoints()

    # Subset

    def _rank_endpoints(self) -> None:
        # Attempts in flight keep the record of a removed endpoint until they end.
        self.endpoints = {
            index: endpoint
            for index, endpoint in self.endpoints.items()
            if endpoint.state is not EndpointState.REMOVED
        }
        ready = (each for each in self.endpoints.values() if each.state is EndpointState.READY)
        self.ready = sorted(ready, key=lambda endpoint: endpoint.rank, reverse=True)
        self.max_ready = max(self.max_ready, len(self.ready))
        self.concurrency.ensure_limit(self.endpoints_per_instance())
        self.subset_size = self.subset_size or self.initial_subset_size()
        self.select()

    def endpoints_per_instance(self) -> float:
        """Return the number of ready endpoints per balancer."""
        return len(self.ready) / self.instance_count

    def initial_subset_size(self) -> int:
        """Return the initial size of the subset: all endpoints, unless balancers outnumber them.

        In that case an endpoint would not have enough connections for all balancers at once.
        """
        return max(MIN_SUBSET, self.max_ready if self.max_ready >= self.instance_count else 0)

    def resize_subset(self) -> None:
        """Adapt the subset to the send rate: all endpoints, or as many as get `MIN_SAMPLES` in a validity.

        Spread over more endpoints, the few attempts of one balancer would say nothing about any of them.
        """
        attempts = self.slow_start.send_rate * self.throttling.min_validity
        size = (
            self.max_ready if attempts >= self.max_ready else max(MIN_SUBSET, round(attempts / MIN_SAMPLES))
        )
        if abs(size - self.subset_size) > self.subset_size / MIN_SUBSET_CHANGE_DIVISOR:
            self.subset_size = size
            self.select()

    def select(self) -> None:
        """Select the endpoints of highest rank that are not ejected.

        Where crossing zones has a cost, those inside and outside the own zone are selected separately.
        """
        size = self.subset_size if self.settings.instance_index >= 0 else None
        zone = self.settings.zone
        cost = self.settings.cross_zone_cost
        healthy = [endpoint for endpoint in self.ready if not endpoint.is_ejected]
        self.selected = [each for each in healthy if not cost or each.zone == zone][:size]
        self.cross_zone = [each for each in healthy if cost and each.zone != zone][:size]

    # Choice

    def choose(self, request: RequestState, now: int, *, without_reduction: bool = False) -> Endpoint | None:
        """Return the endpoint for the next attempt of a request at `now`, None if there is none.

        Preferred are endpoints that the request has not tried and whose load is not above the mean: first
        from the subsets, then from all ready endpoints. If there is none, any ready endpoint is chosen. With
        `without_reduction`, only endpoints that are known to have no reduction qualify.
        """
        groups = (self.selected, self.cross_zone, self.ready)
        if self.cross_zone and self.prefers_cross_zone(now):
            groups = (self.cross_zone, self.selected, self.ready)
        without_reduction_for = request if without_reduction else None
        for group in groups:
            if not group:
                continue
            candidates, load_limit = available_endpoints(group)
            if request.attempts:
                tried = [attempt.endpoint for attempt in request.attempts]
                candidates = [endpoint for endpoint in candidates if endpoint not in tried]
                candidates = permitted_endpoints(request, candidates)
            best = self._next_in_rotation(candidates, load_limit, now, without_reduction_for)
            if best is not None:
                return best
        candidates = permitted_endpoints(request, self.ready)
        return self._next_in_rotation(candidates, NO_LOAD_LIMIT, now, without_reduction_for)

    def prefers_cross_zone(self, now: int) -> bool:
        """Return whether an attempt at `now` crosses zones: with the probability of the own zone's reduction.

        An overloaded zone would fail requests while others have capacity. Without a reduction, crossing only
        has a cost.
        """
        return self.random() < self.throttling.same_zone.valid_reduction(now)

    def _next_in_rotation(
        self,
        candidates: list[Endpoint],
        load_limit: float,
        now: int,
        without_reduction_for: RequestState | None,
    ) -> Endpoint | None:
        """Choose by smooth weighted round robin over weight, relative latency and slow-start share.

        Endpoints above the load limit (attempts in flight per weight) are skipped, and those where a
        reduction may apply to the request `without_reduction_for`.
        """
        warmup_time = self.settings.warmup_time
        best = None
        total = 0.0
        for endpoint in candidates:
            weight = endpoint.weight / endpoint.relative_latency
            if endpoint.started_at and now - endpoint.started_at < warmup_time:  # else 1.0, without a call
                weight *= self.slow_start.slow_start_share(endpoint, now, self.max_ready)
            if not weight or len(endpoint.in_flight) > load_limit * weight:
                continue
            if without_reduction_for is not None and not self.is_known_without_reduction(
                endpoint, without_reduction_for, now
            ):
                continue
            endpoint.position += weight
            total += weight
            if best is None or endpoint.position > best.position:
                best = endpoint
        if best is not None:
            best.position -= total
        return best

    def is_known_without_reduction(self, endpoint: Endpoint, request: RequestState, now: int) -> bool:
        """Return whether an endpoint has been sampled and no reduction applies to a request there at `now`.

        An endpoint that has not been sampled yet may be as faulty as the one that is avoided.
        """
        narrowest_entry = self.throttling.narrowest_entry(endpoint.entries, request.class_index, now)
        return endpoint.entries[-1].valid_until > 0 and not narrowest_entry.valid_reduction(now)

    def has_endpoint_past_slow_start(self, now: int) -> bool:
        """Return whether any ready endpoint has finished its slow start at `now`."""
        return any(now - endpoint.started_at >= self.settings.warmup_time for endpoint in self.ready)

    def record_latency(
        self, endpoint: Endpoint, outcome: Outcome, duration: int, mean_latency: float
    ) -> None:
        """Update an endpoint's relative latency by an attempt's duration and the mean of its class."""
        if mean_latency and outcome in (Outcome.SUCCEEDED, Outcome.TIMED_OUT):
            ratio = min(duration / mean_latency, MAX_LATENCY_RATIO)
            endpoint.relative_latency = ewma(endpoint.relative_latency, ratio, NEWEST_WEIGHT_SPARSE)
