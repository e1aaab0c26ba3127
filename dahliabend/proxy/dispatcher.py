"""Dispatches requests to pools by the routes of an operator's file; every pool has a router of its own."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.http.dispatch import Client, IncomingRequest
from dahliabend.http.headers import TIMEOUT_HEADER, TRACE_ID_HEADER, HeaderFields
from dahliabend.http.responses import retry_after_header
from dahliabend.proxy.base_dispatcher import BaseDispatcher, RequestMetrics
from dahliabend.proxy.mirroring import TRACE_ID_SUFFIX, DiscardingClient, mirror_headers
from dahliabend.proxy.pool import Pool
from dahliabend.proxy.pool_state import PoolTelemetry
from dahliabend.proxy.request import Request
from dahliabend.proxy.router import Router
from dahliabend.routing_rules.compiled_route import CompiledRoute, compile_routes
from dahliabend.routing_rules.route_table import HTTP_METHODS, RouteTable
from dahliabend.transport.handles import NO_HANDLE
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, clock

MAX_POOLS = 1024  # at the same time; request handle % MAX_POOLS equals pool number % MAX_POOLS
MAX_LIMIT_RETRY_AFTER = 1_000_000  # microseconds; upper bound of Retry-After for a request over its limit
LIMIT_EXCEEDED_BODY = b"too many of this route\n"


class DispatcherTelemetry(PoolTelemetry):
    """Counts of endpoints over all pools and per pool, and of requests rejected by the limits of routes."""

    pools: dict[str, PoolTelemetry]
    limited: int


@dataclass(slots=True)
class ActiveRoutes:
    """The current routes, replaced as a whole by a reload; open requests keep the routes they came by.

    Attributes:
        file: The operator's file that defines the routes.
        table: Finds the route of a request.
        compiled_routes: The compiled routes, in the order of the file.
        matched_headers: Lower-case names of the headers that any route matches or splits by.
        class_indices: For each pool by name, the request class index in that pool by route number.
    """

    file: OperatorFile
    table: RouteTable
    compiled_routes: list[CompiledRoute]
    matched_headers: tuple[str, ...] = ()
    class_indices: dict[str, dict[int, int]] = field(default_factory=dict)


class Dispatcher(BaseDispatcher):
    """Hands each request to the pools of its route. The handle of a request also encodes its pool.

    Attributes:
        methods: HTTP methods that are served.
        pools: All pools by number, including retired ones.
        pools_by_name: Pools that are not retired, by name.
        routes: The current routes; set by the first call of `apply_routes`.
        excluded: Ids of endpoints that an operator has excluded.
        limited: Number of requests that the limits of routes have rejected.
    """

    methods = frozenset(method.encode() for method in HTTP_METHODS)
    routes: ActiveRoutes

    def __init__(self, metrics: RequestMetrics, log: Callable[..., None], seed: int) -> None:
        super().__init__(metrics, log)
        self.random = Random(seed)
        self.pools: dict[int, Pool] = {}
        self.pools_by_name: dict[str, Pool] = {}
        self.next_pool_number = 0
        self.excluded: set[str] = set()
        self.limited = 0

    # Pools and routes

    def add_pool(self, name: str, router: Router) -> Pool:
        """Add a pool, with the endpoints excluded that an operator has excluded so far."""
        pool = Pool(name, self.next_pool_number, router)
        self.next_pool_number += 1
        self.pools[pool.number] = pool
        self.pools_by_name[name] = pool
        for endpoint_id in self.excluded:
            router.table.remember_id(endpoint_id)
            router.exclude(endpoint_id, excluded=True)
        return pool

    def retire_pool(self, name: str) -> None:
        """Stop sending requests to a pool; `remove_finished_pools` removes it after its last request."""
        pool = self.pools_by_name.pop(name)
        pool.retired = True

    def remove_finished_pools(self) -> list[Pool]:
        """Remove and return the retired pools without open requests; the caller releases their resources."""
        finished = [pool for pool in self.pools.values() if pool.retired and not len(pool.router.requests)]
        for pool in finished:
            del self.pools[pool.number]
        return finished

    def apply_routes(self, file: OperatorFile, class_indices: dict[str, dict[int, int]]) -> None:
        """Apply the routes of a file.

        A route takes over the state of the limit and the split of a previous route of the same name.

        Args:
            file: The operator's file.
            class_indices: For each pool by name, the request class index in that pool by route number.
        """
        current = getattr(self, "routes", None)
        previous = {route.name: route for route in current.compiled_routes} if current is not None else {}
        compiled = compile_routes(file, previous)
        headers = {name.lower() for route in file.routes for name in (*route.headers, route.split_by or "")}
        matched_headers = tuple(sorted(headers - {""}))
        self.routes = ActiveRoutes(file, RouteTable(file.routes), compiled, matched_headers, class_indices)
        self.metrics.set_active_classes([name.encode() for name in file.classes])

    # Requests from clients

    def classify(self, method: bytes, path: bytes, headers: HeaderFields) -> tuple[bytes, int] | None:
        """Return the name of a request's class and the number of its route, or None if no route matches."""
        routes = self.routes
        matched = {name: headers.find(name.encode()).decode("latin-1") for name in routes.matched_headers}
        number = routes.table.find(method.decode("latin-1"), path.decode("latin-1"), matched)
        return None if number is None else (routes.compiled_routes[number].class_name, number)

    def read_trace_id_and_timeout(self, route_number: int, headers: HeaderFields) -> tuple[bytes, bytes]:
        """Return a request's trace id and its client's timeout in milliseconds, as digits.

        Where the client sends no such header, the trace id is generated at random and the timeout is the
        route's.
        """
        trace_id = headers.get(TRACE_ID_HEADER) or b"%032x" % self.random.getrandbits(128)
        timeout_ms = self.routes.compiled_routes[route_number].total_timeout // MICROSECONDS_PER_MILLISECOND
        return trace_id, headers.get(TIMEOUT_HEADER) or b"%d" % timeout_ms

    def dispatch(self, incoming: IncomingRequest, route_number: int) -> int:
        """Hand a request to the pools of its route, unless the route's limit rejects it.

        Returns:
            The request's handle, or `NO_HANDLE` if the request has already been answered.
        """
        now = clock()
        route = self.routes.compiled_routes[route_number]
        if not route.limit.try_acquire(now):
            self._reject_by_limit(incoming.client, route, now)
            return NO_HANDLE
        incoming.client.on_request_finished = route.limit.release
        split_key = incoming.fields.find(route.split_by) if route.split_by else b""
        candidates = route.candidate_pools(split_key, self.ready_fraction)
        if not incoming.fields.get(TRACE_ID_HEADER):
            headers = incoming.headers + b"X-Trace-Id: %b\r\n" % incoming.trace_id
            incoming = incoming._replace(headers=headers)
        if route.mirror and incoming.upload is None and self.random.random() < route.mirror_share:
            self._mirror(incoming, route.mirror, route_number)
        return self._dispatch_to_pools(incoming, candidates, route_number)

    def _reject_by_limit(self, client: Client, route: CompiledRoute, now: int) -> None:
        self.limited += 1
        retry_after = min(MAX_LIMIT_RETRY_AFTER, route.limit.time_until_token(now))
        client.send_response(503, retry_after_header(retry_after), LIMIT_EXCEEDED_BODY)

    def _mirror(self, incoming: IncomingRequest, pool_name: str, route_number: int) -> None:
        """Send a copy of a request to the mirror pool, whose responses are dropped."""
        trace_id = incoming.trace_id + TRACE_ID_SUFFIX
        copy = incoming._replace(
            client=DiscardingClient(incoming.client.class_name),
            headers=mirror_headers(incoming.headers, trace_id),
            trace_id=trace_id,
        )
        class_index = self.routes.class_indices[pool_name][route_number]
        self.pools_by_name[pool_name].router.dispatch(copy, class_index)

    def _dispatch_to_pools(self, incoming: IncomingRequest, candidates: list[str], route_number: int) -> int:
        """Offer a request to pools in order, until one of them does not reject it at once.

        If all reject it, the client receives the rejection of the last pool.
        """
        class_indices = self.routes.class_indices
        for name in candidates:
            pool = self.pools_by_name[name]
            rejected_handles: list[int] = []
            on_rejected = rejected_handles.append if name != candidates[-1] else None
            handle = pool.router.dispatch(incoming, class_indices[name][route_number], on_rejected)
            if not rejected_handles:
                break
        return NO_HANDLE if handle == NO_HANDLE else handle * MAX_POOLS + pool.number % MAX_POOLS

    def ready_fraction(self, name: str) -> float:
        """Return the fraction of a pool's endpoints that requests can be sent to."""
        return self.pools_by_name[name].ready_fraction

    def client_disconnected(self, handle: int) -> None:
        """Handle the disconnection of a request's client."""
        pool_handle, slot = divmod(handle, MAX_POOLS)
        for pool in self.pools.values():
            if pool.number % MAX_POOLS == slot:
                pool.router.client_disconnected(pool_handle)

    def response_settled(self, trace_id: bytes, *, has_response: bool) -> None:
        """Tell all pools whether a client has a response; one of them has sent its request."""
        for pool in self.pools.values():
            pool.router.response_settled(trace_id, has_response=has_response)

    # Status and operations, called by the server

    def ready(self) -> bool:
        """Return whether every route has a pool, fallbacks included, with an endpoint that is ready."""
        return not self.closing() and all(
            any(self.ready_fraction(name) > 0 for name in route.reachable_pools)
            for route in self.routes.compiled_routes
        )

    def exclude(self, endpoint_id: str, excluded: bool) -> bool:
        """Exclude an endpoint from every pool that has it, or include it again.

        Returns:
            Whether any pool has done so; False if no pool remembers an endpoint with that id.
        """
        results = [pool.router.exclude(endpoint_id, excluded) for pool in self.pools.values()]
        if not any(results):
            return False
        if excluded:
            self.excluded.add(endpoint_id)
        else:
            self.excluded.discard(endpoint_id)
        return True

    def shut_down_by(self, deadline: int) -> None:
        """Begin to shut down all pools; requests that are still open at `deadline` (us) are ended."""
        super().shut_down_by(deadline)
        for pool in self.pools.values():
            pool.router.shut_down_by(deadline)

    @property
    def requests(self) -> list[Request]:
        """The open requests of all pools."""
        return [request for pool in self.pools.values() for request in pool.router.requests]

    @property
    def counts(self) -> dict[str, dict[str, int]]:
        """Number of ended requests by pool and by outcome, as named in `request_log`."""
        return {pool.name: pool.router.counts for pool in self.pools.values()}

    def telemetry(self) -> DispatcherTelemetry:
        """Return counts of endpoints, in total and by pool, and of requests rejected by limits of routes."""
        by_pool = {pool.name: pool.router.telemetry() for pool in self.pools.values()}
        return {
            "registry_entries": sum(counts["registry_entries"] for counts in by_pool.values()),
            "out_of_rotation": sum(counts["out_of_rotation"] for counts in by_pool.values()),
            "pools": by_pool,
            "limited": self.limited,
        }

    def __iter__(self) -> Iterator[Pool]:
        return iter(list(self.pools.values()))
