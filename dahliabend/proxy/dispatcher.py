"""Takes requests by an operator's routes to the pools, each with a router and a policy of its own."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.http.dispatch import Client, IncomingRequest
from dahliabend.http.headers import TIMEOUT_HEADER, TRACE_ID_HEADER
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

MAX_POOLS = 1024  # at once; the handle of a request modulo this is its pool's number modulo this
MAX_LIMIT_RETRY_AFTER = 1_000_000  # microseconds
LIMIT_EXCEEDED_BODY = b"too many of this route\n"


class DispatcherTelemetry(PoolTelemetry):
    """The counts of all pools together and of each, and of requests that limits have rejected."""

    pools: dict[str, PoolTelemetry]
    limited: int


@dataclass(slots=True)
class ActiveRoutes:
    """The routes in force. A request keeps those that it was dispatched by.

    Attributes:
        file: The file that they stand in.
        table: Finds the route of a request.
        compiled_routes: The routes, by number, as requests are decided by them.
        matched_headers: Names of the headers that any route looks at.
        class_indices: By pool, the class index there of each route that leads to it.
    """

    file: OperatorFile
    table: RouteTable
    compiled_routes: list[CompiledRoute]
    matched_headers: tuple[str, ...] = ()
    class_indices: dict[str, dict[int, int]] = field(default_factory=dict)


class Dispatcher(BaseDispatcher):
    """Hands each request to the pools that its route names. Handles of requests name their pool too.

    Attributes:
        methods: Request methods that are served.
        pools: The pools by number, retired ones among them.
        pools_by_name: Those in force, by name.
        routes: The routes in force, from the first `apply_routes` on.
        excluded: Ids of endpoints that an operator has excluded.
        limited: How many requests a route's limit has rejected.
    """

    methods = frozenset(method.encode() for method in HTTP_METHODS)
    routes: ActiveRoutes

    def __init__(self, metrics: RequestMetrics, log: Callable[..., None], seed: int) -> None:
        super().__init__(metrics)
        self.log = log
        self.random = Random(seed)
        self.pools: dict[int, Pool] = {}
        self.pools_by_name: dict[str, Pool] = {}
        self.next_pool_number = 0
        self.excluded: set[str] = set()
        self.limited = 0

    # Pools and routes.

    def add_pool(self, name: str, router: Router) -> Pool:
        """Add a pool; endpoints that an operator has excluded are excluded there too."""
        pool = Pool(name, self.next_pool_number, router)
        self.next_pool_number += 1
        self.pools[pool.number] = pool
        self.pools_by_name[name] = pool
        for endpoint_name in self.excluded:
            router.table.remember_id(endpoint_name)
            router.exclude(endpoint_name, excluded=True)
        return pool

    def retire_pool(self, name: str) -> None:
        """Send nothing more to a pool. It is removed once its last request has ended."""
        pool = self.pools_by_name.pop(name)
        pool.retired = True

    def remove_finished_pools(self) -> list[Pool]:
        """Remove the retired pools without requests; the caller stops what belongs to them."""
        finished = [pool for pool in self.pools.values() if pool.retired and not len(pool.router.requests)]
        for pool in finished:
            del self.pools[pool.number]
        return finished

    def apply_routes(self, file: OperatorFile, class_indices: dict[str, dict[int, int]]) -> None:
        """Put the routes of a file in force.

        A route goes on with its limits and its split if there was one of its name before.

        Args:
            file: The file.
            class_indices: By pool, the class index there of each route that leads to it.
        """
        routes_before = getattr(self, "routes", None)
        before = (
            {route.name: route for route in routes_before.compiled_routes}
            if routes_before is not None
            else {}
        )
        compiled = compile_routes(file, before)
        headers = {name.lower() for route in file.routes for name in (*route.headers, route.split_by or "")}
        matched_headers = tuple(sorted(headers - {""}))
        self.routes = ActiveRoutes(file, RouteTable(file.routes), compiled, matched_headers, class_indices)
        self.metrics.set_active_classes([name.encode() for name in file.classes])

    # Requests from clients.

    def classify(self, method: bytes, path: bytes, headers: dict[bytes, bytes]) -> tuple[bytes, int] | None:
        """Return the name of a request's class and the number of its route, None if no route matches."""
        routes = self.routes
        matched = {name: headers.get(name.encode(), b"").decode("latin-1") for name in routes.matched_headers}
        number = routes.table.find(method.decode("latin-1"), path.decode("latin-1"), matched)
        return None if number is None else (routes.compiled_routes[number].class_name, number)

    def read_trace_id_and_timeout(
        self, route_number: int, headers: dict[bytes, bytes]
    ) -> tuple[bytes, bytes]:
        """Return a request's id and the milliseconds that its client waits.

        An id is made up, and the route's timeout taken, where the client says nothing.
        """
        trace_id = headers.get(TRACE_ID_HEADER) or b"%032x" % self.random.getrandbits(128)
        timeout_ms = self.routes.compiled_routes[route_number].total_timeout // MICROSECONDS_PER_MILLISECOND
        return trace_id, headers.get(TIMEOUT_HEADER) or b"%d" % timeout_ms

    def dispatch(self, incoming: IncomingRequest, route_number: int) -> int:
        """Hand a request to its route's pools.

        Returns:
            The request's handle, or `NO_HANDLE` if it has its response already.
        """
        now = clock()
        route = self.routes.compiled_routes[route_number]
        if not route.limit.try_acquire(now):
            self._reject_by_limit(incoming.client, route, now)
            return NO_HANDLE
        incoming.client.on_request_finished = route.limit.release
        split_key = incoming.fields.get(route.split_by, b"") if route.split_by else b""
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
        """Send a copy of a request to a pool whose responses are dropped."""
        trace_id = incoming.trace_id + TRACE_ID_SUFFIX
        copy = incoming._replace(
            client=DiscardingClient(incoming.client.class_name),
            headers=mirror_headers(incoming.headers, trace_id),
            trace_id=trace_id,
        )
        class_index = self.routes.class_indices[pool_name][route_number]
        self.pools_by_name[pool_name].router.dispatch(copy, class_index)

    def _dispatch_to_pools(self, incoming: IncomingRequest, candidates: list[str], route_number: int) -> int:
        """Offer a request to pools in order, until one of them doesn't reject it at once.

        The rejection of the last one is the response.
        """
        class_indices = self.routes.class_indices
        for name in candidates:
            pool = self.pools_by_name[name]
            rejected: list[int] = []
            on_rejected = rejected.append if name != candidates[-1] else None
            handle = pool.router.dispatch(incoming, class_indices[name][route_number], on_rejected)
            if not rejected:
                break
        return NO_HANDLE if handle == NO_HANDLE else handle * MAX_POOLS + pool.number % MAX_POOLS

    def ready_fraction(self, name: str) -> float:
        """Return the fraction of a pool's endpoints that requests can be sent to."""
        return self.pools_by_name[name].ready_fraction

    def client_disconnected(self, handle: int) -> None:
        """Handle that the client of a request has gone."""
        pool_handle, slot = divmod(handle, MAX_POOLS)
        for pool in self.pools.values():
            if pool.number % MAX_POOLS == slot:
                pool.router.client_disconnected(pool_handle)

    # What the server asks.

    def ready(self) -> bool:
        """Tell whether every route has a pool, or a fallback, with an endpoint that is ready."""
        return not self.closing() and all(
            any(self.ready_fraction(name) > 0 for name in route.reachable_pools)
            for route in self.routes.compiled_routes
        )

    def exclude(self, name: str, excluded: bool) -> bool:
        """Exclude an endpoint in every pool that has it, or include it again.

        Returns:
            False if no pool has ever had an endpoint with that id.
        """
        known = [pool.router.exclude(name, excluded) for pool in self.pools.values()]
        if not any(known):
            return False
        if excluded:
            self.excluded.add(name)
        else:
            self.excluded.discard(name)
        return True

    def shut_down_by(self, deadline: int) -> None:
        """Give every request of every pool until `deadline` (us) at the most."""
        super().shut_down_by(deadline)
        for pool in self.pools.values():
            pool.router.shut_down_by(deadline)

    @property
    def requests(self) -> list[Request]:
        """The open requests of all pools."""
        return [request for pool in self.pools.values() for request in pool.router.requests]

    @property
    def counts(self) -> dict[str, dict[str, int]]:
        """By pool, ended requests by the operators' names of their ends."""
        return {pool.name: pool.router.counts for pool in self.pools.values()}

    def telemetry(self) -> DispatcherTelemetry:
        """Return counts of endpoints, in total and by pool, and of requests that limits have rejected."""
        by_pool = {pool.name: pool.router.telemetry() for pool in self.pools.values()}
        return {
            "registry_entries": sum(counts["registry_entries"] for counts in by_pool.values()),
            "out_of_rotation": sum(counts["out_of_rotation"] for counts in by_pool.values()),
            "pools": by_pool,
            "limited": self.limited,
        }

    def __iter__(self) -> Iterator[Pool]:
        return iter(list(self.pools.values()))
