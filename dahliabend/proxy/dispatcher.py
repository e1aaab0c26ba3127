"""Takes callers' requests by an operator's routes, into pools that have decisions of their own."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from dahliabend.config.operator_file.schema import OperatorFile
from dahliabend.http.headers import EXPIRES, TRACE
from dahliabend.http.streaming import StreamingBody
from dahliabend.proxy.router import Router
from dahliabend.routing_rules.checks import HTTP_METHODS
from dahliabend.routing_rules.compiled_route import CompiledRoute, compile_routes
from dahliabend.routing_rules.route_table import RouteTable
from dahliabend.transport.timers import clock

MAX_POOLS = 1024  # at once; a transaction's number tells its pool by the rest
ADVICE = 1_000_000  # microseconds at the most that a limit's turning away tells a caller to wait
NO_ROOM = b"too many of this route\n"


class DiscardingClient:
    """The caller of a mirrored transaction: its answer is for nobody."""

    __slots__ = ("closed", "profile")

    def __init__(self, profile: bytes) -> None:
        self.profile, self.closed = profile, False

    def send_response(self, status: int, headers: bytes, body: bytes) -> None: ...
    def send_error(self, status: int) -> None: ...
    def start_response(self, headers: bytes, length: int | None, source) -> None: ...
    def send_part(self, part: bytes) -> None: ...
    def finish_response(self) -> None: ...
    def abort_response(self) -> None: ...


def renamed(passed: bytes, trace: bytes) -> bytes:
    """Header lines of a copy, with an id of its own: else an upstream in both pools would know it already.

    >>> renamed(b"Host: a\\r\\nx-trace-id: 7\\r\\n", b"7-m")
    b'Host: a\\r\\nX-Trace-Id: 7-m\\r\\nX-Mirror: 1\\r\\n'
    """
    kept = [line for line in passed.split(b"\r\n") if line and not line.lower().startswith(TRACE + b":")]
    return b"".join(line + b"\r\n" for line in (*kept, b"X-Trace-Id: " + trace, b"X-Mirror: 1"))


@dataclass(slots=True)
class Pool:
    """One pool as it runs. `stop` ends what keeps its list."""

    name: str
    number: int
    router: Router
    stop: Callable[[], None] = lambda: None
    file: str = ""
    retired: bool = False  # not in the file any more: it ends what it has
    subset_settings: object = None  # of its subset, where it has one
    subset_filter: object = None  # and what stands between its list and its router then

    @property
    def ready_fraction(self) -> float:
        """Of its upstreams, how many can be sent to."""
        balancer = self.router.balancer
        return sum(not u.is_ejected for u in balancer.selection.ready) / max(
            1, len(balancer.selection.endpoints)
        )


@dataclass(slots=True)
class ActiveRoutes:
    """The routes in force. A transaction keeps those that it was taken by."""

    file: OperatorFile
    table: RouteTable
    choices: list[CompiledRoute]
    seen: tuple[str, ...] = ()  # headers that any route asks for
    profiles: dict[str, dict[int, int]] = field(default_factory=dict)  # by pool: of each route its profile


class Dispatcher:
    """What callers are served by. Numbers of transactions tell the pool too."""

    methods = frozenset(method.encode() for method in HTTP_METHODS)

    def __init__(self, metrics, log: Callable, seed: int) -> None:
        self.metrics, self.log = metrics, log
        self.count_response = metrics.count_response
        self.chance = Random(seed)
        self.pools: dict[int, Pool] = {}
        self.pools_by_name: dict[str, Pool] = {}
        self.next = 0
        self.routes: ActiveRoutes | None = None
        self.excluded: set[str] = set()
        self.evacuated, self.shutdown_deadline = False, 0
        self.turned_away = 0
        self.fields: dict[bytes, bytes] = {}

    # Pools.

    def add_pool(self, name: str, router: Router) -> Pool:
        made = self.pools[self.next] = self.pools_by_name[name] = Pool(name, self.next, router)
        self.next += 1
        for upstream in self.excluded:
            router.table.remember_id(upstream)
            router.exclude(upstream, True)
        return made

    def retire_pool(self, name: str) -> None:
        """It takes nothing new; gone once its last transaction has ended."""
        pool = self.pools_by_name.pop(name)
        pool.retired = True

    def remove_finished_pools(self) -> list[Pool]:
        """Pools that have retired and hold nothing: forgotten here, for whoever owns their parts to end."""
        done = [pool for pool in self.pools.values() if pool.retired and not len(pool.router.requests)]
        for pool in done:
            del self.pools[pool.number]
        return done

    def apply_routes(self, file: OperatorFile, profiles: dict[str, dict[int, int]]) -> None:
        """These routes from now on. Turns and buckets go on where a route of that name was there before."""
        before = {c.name: c for c in self.routes.choices} if self.routes is not None else {}
        made = compile_routes(file, before)
        seen = {name.lower() for route in file.routes for name in (*route.headers, route.split_by or "")}
        self.routes = ActiveRoutes(file, RouteTable(file.routes), made, tuple(sorted(seen - {""})), profiles)
        self.metrics.set_active_classes([name.encode() for name in file.classes])

    # What callers bring.

    def classify(self, method: bytes, path: bytes, fields: dict[bytes, bytes]) -> tuple[bytes, int] | None:
        routes = self.routes
        headers = {name: fields.get(name.encode(), b"").decode("latin-1") for name in routes.seen}
        number = routes.table.find(method.decode("latin-1"), path.decode("latin-1"), headers)
        return None if number is None else (routes.choices[number].class_name, number)

    def identify(self, number: int, fields: dict[bytes, bytes]) -> tuple[bytes, bytes]:
        """The transaction's id and how long its caller waits; made here where it names neither."""
        self.fields = fields  # of the request that is taken next: its caller may be reading another by now
        trace = fields.get(TRACE) or b"%032x" % self.chance.getrandbits(128)
        return trace, fields.get(EXPIRES) or b"%d" % (self.routes.choices[number].total_timeout // 1000)

    def dispatch(
        self,
        client,
        number: int,
        method: bytes,
        target: bytes,
        passed: bytes,
        body: bytes,
        *,
        client_timeout: int,
        received_at: int,
        tenant: bytes,
        is_retry: bool,
        trace_id: bytes,
        upload: StreamingBody | None = None,
        key: bytes = b"",
    ) -> int:
        routes, now = self.routes, clock()
        choice = routes.choices[number]
        if not choice.limit.try_acquire(now):
            self.turned_away += 1
            wait = min(ADVICE, choice.limit.time_until_token(now))
            advice = b"Retry-After: %.3f\r\n" % (wait / 1e6) if wait else b""
            client.send_response(503, advice, NO_ROOM)
            return -1
        client.on_request_finished = choice.limit.release
        split = self.fields.get(choice.split_by, b"") if choice.split_by else b""
        names = choice.candidate_pools(split, self.ready_fraction)
        if not self.fields.get(TRACE):
            passed += b"X-Trace-Id: %b\r\n" % trace_id
        common = {
            "client_timeout": client_timeout,
            "received_at": received_at,
            "tenant": tenant,
            "is_retry": is_retry,
            "key": key,
        }
        if choice.mirror and upload is None and self.chance.random() < choice.mirror_share:
            self.pools_by_name[choice.mirror].router.dispatch(
                DiscardingClient(client.profile), routes.profiles[choice.mirror][number], method, target,
                renamed(passed, trace_id + b"-m"), body, trace_id=trace_id + b"-m", **common,
            )  # fmt: skip
        for name in names:
            pool, turned_away = self.pools_by_name[name], []
            request = pool.router.dispatch(
                client, routes.profiles[name][number], method, target, passed, body, trace_id=trace_id,
                upload=upload, on_rejected=turned_away.append if name != names[-1] else None, **common,
            )  # fmt: skip
            if not turned_away:
                break
        return -1 if request < 0 else request * MAX_POOLS + pool.number % MAX_POOLS

    def ready_fraction(self, name: str) -> float:
        return self.pools_by_name[name].ready_fraction

    def client_disconnected(self, number: int) -> None:
        request, slot = divmod(number, MAX_POOLS)
        for pool in self.pools.values():
            if pool.number % MAX_POOLS == slot:
                pool.router.client_disconnected(request)

    # What the program asks.

    def ready(self) -> bool:
        """Every pool that a route goes to first has somebody to send to, itself or its fallback."""
        return not self.closing() and all(
            any(self.ready_fraction(name) > 0 for name in choice.reachable_pools)
            for choice in self.routes.choices
        )

    def closing(self) -> bool:
        return self.shutdown_deadline > 0 or self.evacuated

    def request_opened(self) -> None:
        self.metrics.open_requests += 1

    def request_closed(self) -> None:
        self.metrics.open_requests -= 1

    def exclude(self, name: str, out: bool) -> bool:
        """In every pool that has it: its exclusion is the upstream's, not a pool's."""
        known = [pool.router.exclude(name, out) for pool in self.pools.values()]
        if any(known):
            (self.excluded.add if out else self.excluded.discard)(name)
        return any(known)

    def shut_down_by(self, when: int) -> None:
        self.shutdown_deadline = when
        for pool in self.pools.values():
            pool.router.shut_down_by(when)

    @property
    def requests(self) -> list:
        return [request for pool in self.pools.values() for request in pool.router.requests]

    @property
    def counts(self) -> dict[str, dict[str, int]]:
        return {pool.name: pool.router.counts for pool in self.pools.values()}

    def telemetry(self) -> dict:
        by_pool = {pool.name: pool.router.telemetry() for pool in self.pools.values()}
        whole = {name: sum(shown[name] for shown in by_pool.values())
                 for name in ("registry_entries", "out_of_rotation")}  # fmt: skip
        return whole | {"pools": by_pool, "limited": self.turned_away}

    def __iter__(self) -> Iterator[Pool]:
        return iter(list(self.pools.values()))
