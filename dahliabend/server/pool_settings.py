"""Conversion of a pool's settings in an operator's file to the settings of its router."""

from dataclasses import dataclass
from typing import Any

from dahliabend.config.operator_file import schema
from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.config.server_settings import IDLE_REUSE_RATIO, ServerSettings
from dahliabend.model import DeduplicationScope, Idempotency, PolicySettings, RequestClass
from dahliabend.routing_rules.treatment import EffectiveTreatment, target_pools
from dahliabend.transport import host_info

MAX_IN_FLIGHT = 20_000  # requests of a pool
DEADLINE_SLACK = 20_000  # microseconds; a client's deadline may be that much nearer than it appears
MAX_RETRY_AFTER = 3_000_000  # microseconds
DEFAULT_RETRY_RATIO = 0.1  # for a pool whose routes set no `retry-share`
NANOSECONDS_PER_MICROSECOND = 1000

_EFFECTS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "journalled": Idempotency.DEDUPLICATED,
    "non-idempotent": Idempotency.NON_IDEMPOTENT,
}
_SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}

_UNUSED_CLASS = RequestClass(  # for a pool without routes: a policy requires at least one class
    effect=Idempotency.IDEMPOTENT,
    deduplication_scope=DeduplicationScope.ALL,
    deduplication_window=0,
    latency_objective=1_000_000,
    deadline=2_000_000,
    priority_weight=1.0,
    late_weight=0.0,
)


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """The settings of a pool's router and the request classes of its routes.

    Attributes:
        server: The settings of the router; fields that concern a whole server are empty.
        class_by_route: The index of each route's request class, by the route's position in the file.
    """

    server: ServerSettings
    class_by_route: dict[int, int]


def make_pool_settings(file: OperatorFile, name: str, *, seed: int, descriptor_limit: int) -> PoolSettings:
    """Convert the settings of a pool and its routes.

    Args:
        file: The operator's file.
        name: The name of the pool.
        seed: The seed of the policy's random number generator.
        descriptor_limit: The maximum number of descriptors that the process may have open.
    """
    pool = file.pools[name]
    routes = _routes_to_pool(file, name)
    settings = _policy_settings(file, pool, routes)
    zones = sorted({member.zone for member in pool.members or ()})
    server = ServerSettings(
        name=name,
        listen=("", 0),
        discovery=("", 0),
        admin=None,
        listener_descriptor=None,
        shared_directory="",
        seed=seed,
        descriptor_limit=descriptor_limit,
        memory_limit=0,
        known_endpoints={},
        verbose=False,
        settings=settings,
        class_indices={file.routes[route].name.encode(): index for index, route in enumerate(routes)},
        tenant_indices={},
        zone_indices={zone: index for index, zone in enumerate(zones)},
        class_deadlines=tuple(request_class.deadline for request_class in settings.request_classes),
        deadline_slack=DEADLINE_SLACK,
        connect_timeout=pool.dial_time,
        idle_reuse_time=round(pool.idle * IDLE_REUSE_RATIO),
        health_check_timeout=2 * pool.dial_time,
        max_in_flight=MAX_IN_FLIGHT,
        report_fields=(),
        unsupported_keys=(),
        present_keys=frozenset(),
        monotonic_offset=host_info.monotonic_ns() // NANOSECONDS_PER_MICROSECOND
        - host_info.time_ns() // NANOSECONDS_PER_MICROSECOND,
    )
    return PoolSettings(server, {route: index for index, route in enumerate(routes)})


def endpoint_entries(endpoints: list[schema.EndpointSettings]) -> list[dict[str, Any]]:
    """Return a pool's `members` as entries in the discovery service's format."""
    return [
        {
            "id": endpoint.id,
            "addr": endpoint.address,
            "zone": endpoint.zone,
            "cell": endpoint.cell,
            "weight": endpoint.weight,
            "state": "up",
        }
        for endpoint in endpoints
    ]


def _routes_to_pool(file: OperatorFile, pool: str) -> list[int]:
    """Return the positions of the routes whose requests may be sent to a pool."""
    return [number for number, route in enumerate(file.routes) if pool in _reachable_pools(file, route)]


def _reachable_pools(file: OperatorFile, route: schema.RouteSettings) -> set[str]:
    """Return the names of a route's pools, its mirror, and the fallbacks of all of these."""
    reachable: set[str] = set()
    unvisited = [*target_pools(route), route.mirror, route.fallback]
    while unvisited:
        name = unvisited.pop()
        if name is not None and name not in reachable:
            reachable.add(name)
            unvisited.append(file.pools[name].fallback)
    return reachable


def _request_class(file: OperatorFile, number: int) -> RequestClass:
    """Return a route's request class: that of its settings, with the route's timeouts and attempt counts."""
    route = file.routes[number]
    settings = file.classes[route.class_]
    treatment = EffectiveTreatment(file, route, number)
    deadline = min(settings.hard_limit, treatment.total_time)
    return RequestClass(
        effect=_EFFECTS[settings.effect],
        deduplication_scope=_SCOPES[settings.group],
        deduplication_window=settings.repeat_window,
        latency_objective=min(settings.service_goal, deadline),
        deadline=deadline,
        priority_weight=settings.revenue,
        late_weight=float(settings.late_share),
        attempt_timeout=treatment.attempt_timeout or 0,
        max_attempts=treatment.attempts,
        max_retries_after_execution=treatment.replays,
        hedge_delay=treatment.second_copy_after or 0,
    )


def _policy_settings(file: OperatorFile, pool: schema.PoolSettings, routes: list[int]) -> PolicySettings:
    classes = tuple(_request_class(file, number) for number in routes)
    return PolicySettings(
        instance_count=pool.balancers,
        instance_index=-1,
        tier=0,
        zone=0,
        request_classes=classes or (_UNUSED_CLASS,),
        tenant_quotas=(),
        over_quota_weight=1.0,
        overall_weight=1.0,
        worst_class_weight=0.0,
        cross_zone_cost=0.0,
        max_attempts=max((request_class.max_attempts for request_class in classes), default=1),
        can_cancel=pool.cancels,
        can_health_check=pool.probes,
        sends_retry_after=True,
        max_retry_after=MAX_RETRY_AFTER,
        polls_endpoints=False,
        poll_deadline=0,
        initial_capacity=float(pool.slow_start.share),
        warmup_time=pool.slow_start.time,
        warmup_multiple=pool.slow_start.multiple,
        retry_budget_ratio=_retry_ratio(file, routes),
    )


def _retry_ratio(file: OperatorFile, routes: list[int]) -> float:
    """Return the lowest `retry-share` of the routes, or `DEFAULT_RETRY_RATIO` if none sets one."""
    ratios = [EffectiveTreatment(file, file.routes[number], number).retry_share for number in routes]
    return float(min((ratio for ratio in ratios if ratio is not None), default=DEFAULT_RETRY_RATIO))
