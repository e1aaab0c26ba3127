"""The port of the decisions on sockets: transactions, their hops, the list, probes and wakings."""

from collections.abc import Callable

from dahliabend.config.server_settings import ServerSettings
from dahliabend.discovery.watch import DiscoveryClient
from dahliabend.http.client_connection import ClientConnection
from dahliabend.http.headers import EXPIRES, TRACE
from dahliabend.model import Effect, EndpointState, Outcome
from dahliabend.policy.balancer import Balancer
from dahliabend.policy.retries import RequestState
from dahliabend.proxy.endpoint_table import MAX_REMEMBERED_IDS, Endpoint, EndpointTable, UpstreamRequest
from dahliabend.proxy.health_checks import HealthCheck
from dahliabend.transport.handles import HandleTable
from dahliabend.transport.timers import TimerQueue, clock

STANDSTILL = 20_000_000  # peers may take seconds to read or write; this long without a byte is an end
HURRY = 500_000  # how long an answer of unknown length is kept
NO_DEADLINE = 1 << 50  # microseconds: no limit yet


class Request:
    """A transaction taken: its caller, its handle and its hops."""

    __slots__ = (
        "answered",
        "body",
        "client",
        "client_timeout",
        "state",
        "head",
        "attempts",
        "name",
        "number",
        "on_rejected",
        "passed",
        "profile",
        "route",
        "policy",
        "taken",
        "trace_id",
        "trail",
        "upload",
    )

    def __init__(
        self, client: ClientConnection, profile: int, head: bytes, passed: bytes, body: bytes, trace: bytes
    ):
        self.client, self.profile, self.head, self.passed, self.body = client, profile, head, passed, body
        self.trace_id, self.taken, self.answered, self.number = trace, clock(), False, -1
        self.name = b""  # of its profile, as on the wire
        self.on_rejected: Callable | None = None
        self.route = ""  # its name, where it came by an operator's
        self.client_timeout, self.upload = 0, None  # how long its caller waits; a body that still comes
        self.state: RequestState | None = None
        self.policy: PolicyPort | None = None
        self.attempts: list[Attempt] = []
        self.trail: list[tuple] = []  # of its hops: upstream, outcome, milliseconds

    def body_consumed(self) -> None:
        self.state.body_consumed()

    def close(self, by: "Attempt | None" = None) -> None:
        """It has its answer, which `by` may still bring, or its caller has gone. Nothing more is sent."""
        self.answered = True
        for hop in tuple(self.attempts):
            if hop is not by:
                hop.cancel_unsent()


def deduplication_deadline(handle: RequestState | None) -> int:
    """Until when its newest hop may go out beside earlier ones that may have run: their group remembers them
    for the repeat window, which goes on while a connection comes up."""
    if handle is None or handle.request_class.effect is not Effect.DEDUPLICATED:
        return NO_DEADLINE
    first = handle.first_possibly_executed()
    return (
        NO_DEADLINE
        if first is None or first is handle.attempts[-1]
        else first.sent_at + handle.request_class.deduplication_window
    )


class Attempt(UpstreamRequest):
    """One sending of a transaction."""

    def __init__(self, router: "Router", request: Request, upstream, timeout: int) -> None:
        self.upload = request.upload
        super().__init__(upstream, request.head, request.body, timeout)
        self.send_deadline = min(self.expires_at, deduplication_deadline(request.state))
        self.router, self.request, self.order = router, request, len(request.attempts)
        self.flowing, self.moved, self.first = False, 0, 0  # `first`: when a long answer's first byte came
        self.hurry: list | None = None
        self.late: list | None = None  # when a second hop beside this one is asked for

    def is_awaited(self) -> bool:
        return not self.request.answered

    def build_head(self, left: int) -> bytes:
        # Told when it was chosen, the time would be too long by what the connection took to come up.
        request, length = self.request, len(self.body)
        if self.upload is not None:
            length, left = self.upload.length, min(left, request.client_timeout)
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        return b"%bX-Expires-In-Ms: %d\r\n%b%b\r\n\r\n" % (
            self.head,
            max(1, left // 1000),
            request.passed,
            framing,
        )

    def slow(self) -> None:
        self.request.state.hedge_timer_fired(clock())

    def start(self) -> None:
        super().start()
        if (
            self.upload is not None
            and not self.is_finished
            and self.expires_at > self.started_at + self.request.client_timeout
        ):
            self.endpoint.table.timers.cancel(self.timeout_timer)
            self.look_again(self.started_at + self.request.client_timeout)

    def request_written(self) -> None:
        request, self.moved = self.request, clock()
        self.router.metrics.count_attempt(request.name)
        after = request.policy.balancer.request_classes[request.profile].hedge_delay
        if after and not self.order and request.upload is None:
            self.late = self.endpoint.table.timers.schedule(self.started_at + after, self.slow)
        if request.upload is not None and request.state.body_pending:
            # Until now nothing could run there: what the caller took to send counts against nobody.
            wait = request.state.body_received(self.moved, request.upload.ended_at + request.client_timeout)
            self.started_at, self.expires_at = self.moved, self.moved + wait
            self.endpoint.table.timers.cancel(self.timeout_timer)
            self.timeout_timer = self.endpoint.table.timers.schedule(self.expires_at, self.timed_out)

    def timed_out(self) -> None:
        """A body that comes, or an answer that has begun, ends only once nothing moves for long."""
        coming = self.upload is not None and self.request.state.body_pending
        now, wait = clock(), STANDSTILL
        if coming and (self.connection is None or self.connection.unsent_bytes):
            # It is the upstream that takes nothing, and its caller may have sent all: held back, that can't
            # be seen. Waited for as long as for a slow caller, it would go unanswered past its limit.
            wait = min(wait, self.request.client_timeout)
        moved = self.moved if self.flowing else self.upload.last_progress if coming else now - wait
        if coming and self.connect_task is not None:
            self.look_again(now + wait)
        elif now - moved < wait:
            self.look_again(moved + wait)
        else:
            if coming:
                self.request.body_consumed()  # its time has gone by: none is left for another hop
            super().timed_out()

    def look_again(self, when: int) -> None:
        self.timeout_timer = self.endpoint.table.timers.schedule(when, self.timed_out)

    def unsized_response_started(self) -> None:
        # It may be a long one: held back for 2 s, it would be lost.
        self.hurry = self.endpoint.table.timers.schedule(clock() + HURRY, self.connection.start_streaming)

    def response_started(self, passed: bytes, length: int | None) -> None:
        request = self.request
        if request.answered:  # the hop beside it was quicker: two answers would be one too many
            return self.give_up(Outcome.CANCELLED)
        self.flowing, self.moved, self.first = True, clock(), clock()
        request.close(by=self)
        request.state.response_started(self.moved, self.order)
        request.client.start_response(passed, length, self.connection)
        self.endpoint.table.timers.cancel(self.timeout_timer)
        self.timed_out()

    def response_part(self, part: bytes) -> None:
        self.moved = clock()
        self.request.client.send_part(part)

    def mark_finished(self) -> None:
        super().mark_finished()
        self.endpoint.table.timers.cancel(self.hurry)
        self.endpoint.table.timers.cancel(self.late)

    def on_finished(self, outcome: Outcome, took: int, answer: tuple | None) -> None:
        self.router.attempt_finished(self, outcome, took, answer)


class PolicyPort:
    """One set of decisions and its port: what it alone is told, and the settings that it goes by. One that
    has been followed stays until its last transaction has ended."""

    def __init__(self, router: "Router", node: ServerSettings) -> None:
        self.router, self.open_requests, self.zones = router, 0, node.zone_indices
        self.probe_time, self.report_fields = node.health_check_timeout, node.report_fields
        self.send, self.reject, self.fail = router.send, router.reject, router.fail
        self.cancel, self.poll_endpoints = router.cancel, router.poll_endpoints
        self.close_idle_connections = router.close_idle_connections
        self.balancer = Balancer(node.settings, self, node.seed)

    def endpoints_changed(self, upstreams: list[tuple[Endpoint, EndpointState]], full: bool) -> None:
        out = self.router.excluded
        rows = [
            (
                u.index,
                EndpointState.EXCLUDED if u.name in out and state is not EndpointState.REMOVED else state,
                max(u.started_at, u.included_at),
                u.weight,
                u.cell,
                self.zones.get(u.zone, -1),
                u.name.encode(),
            )
            for u, state in upstreams
        ]
        self.balancer.update_endpoints(clock(), rows, full)

    def check_health(self, upstream: int) -> None:
        known = self.router.table.endpoints[upstream]
        if self.router.health_check_delegate is None or not self.router.health_check_delegate(known, self):
            self.start_health_check(known, self.health_check_finished)

    def start_health_check(self, upstream: Endpoint, told: Callable) -> None:
        HealthCheck(upstream, self.report_fields, self.probe_time, told).start()

    def health_check_finished(self, upstream: int, outcome: Outcome) -> None:
        self.balancer.health_check_finished(clock(), upstream, outcome)

    def set_timer(self, at: int, token: int) -> None:
        self.router.timers.schedule(at, self.timer_fired, token)

    def timer_fired(self, token: int) -> None:
        if self in self.router.policies:
            self.balancer.timer_fired(clock(), token)

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        """Balancers have no way to each other here."""


class Router:
    methods = frozenset((b"GET", b"POST"))

    def __init__(
        self, node: ServerSettings, timers: TimerQueue, table: EndpointTable, metrics, log: Callable
    ) -> None:
        self.timers, self.table, self.metrics, self.log = timers, table, metrics, log
        self.count_response = metrics.count_response
        self.evacuated = False  # an operator has sent the callers elsewhere
        self.excluded: set[str] = set()  # upstreams that an operator has taken out, by id
        self.discovery: DiscoveryClient | None = None
        self.epoch = node.monotonic_offset
        self.requests: HandleTable[Request] = HandleTable(node.max_in_flight)
        self.trace_ids: set[bytes] = set()  # the ids of those
        self.shutdown_deadline = 0  # when all that is still held is given up; 0: not stopping
        self.counts: dict[str, int] = {}
        self.logs_access = False  # is every transaction logged?
        self.on_attempt_finished: Callable | None = None  # told of each hop's end: upstream and outcome
        self.health_check_delegate: Callable | None = (
            None  # asked whether another probes an upstream, and tells
        )
        self.route_names: list[str] = []  # by profile, where an operator's routes are profiles
        self.policies: list[PolicyPort] = []  # the last takes new transactions; the others end theirs
        self.install(node)

    @property
    def balancer(self) -> Balancer:
        return self.policies[-1].balancer

    def install(self, node: ServerSettings) -> None:
        self.profiles, self.customers = node.class_indices, node.tenant_indices
        self.metrics.set_active_classes(node.class_indices)
        self.longest, self.slack = node.class_deadlines, node.deadline_slack
        self.policies.append(PolicyPort(self, node))

    def apply_settings(self, node: ServerSettings) -> int:
        """Other settings take over: a fresh set of decisions for what comes from now on. What is in hand ends
        under those it began with, lest it get two answers or none. How many upstreams kept what is known."""
        before, profiles = self.balancer, self.profiles
        self.policies = [policy for policy in self.policies if policy.open_requests]
        self.install(node)
        self.policies[-1].endpoints_changed([(u, u.state) for u in self.table.endpoints.values()], full=True)
        # Else one of a key could be sent beside another that the ones before still have out.
        self.balancer.key_queues.take_over(before.key_queues)
        return self.balancer.restore(before.snapshot(ends=True), self.pairs(profiles))

    def pairs(self, before: dict[bytes, int]) -> list[tuple[int, int]]:
        return [(new, before[name]) for name, new in self.profiles.items() if name in before]

    def snapshot(self) -> dict:
        """What a successor in another process goes on from, upstreams and profiles by name."""
        known, upstreams = self.balancer.snapshot(ends=False), self.table.endpoints
        known["upstreams"] = {upstreams[i].name: values for i, values in known["upstreams"].items()}
        return known | {
            "epoch": self.epoch,
            "profiles": {name.decode("latin-1"): number for name, number in self.profiles.items()},
            "returned": {u.name: u.included_at for u in upstreams.values() if u.included_at},
            "once": list(self.table.known_ids),
        }

    def restore(self, known: dict) -> int:
        """Goes on from that; of how many upstreams what is known holds on."""
        indices = self.table.indices
        upstreams = {indices[name]: values for name, values in known["upstreams"].items() if name in indices}
        profiles = {name.encode("latin-1"): number for name, number in known["profiles"].items()}
        return self.balancer.restore({**known, "upstreams": upstreams}, self.pairs(profiles))

    def attempts_in_flight(self) -> int:
        """Hops in flight, of all sets of decisions."""
        return sum(policy.balancer.concurrency.in_flight for policy in self.policies)

    def endpoint_entries(self) -> list[dict]:
        """The list as it stands, in discovery's form."""
        return [
            {
                "id": u.name,
                "addr": f"{u.address[0]}:{u.address[1]}",
                "zone": u.zone,
                "cell": u.cell,
                "weight": u.weight,
                "state": "up" if u.state is EndpointState.READY else "draining",
                "started_ms": (u.started_at - self.epoch) // 1000 if u.started_at else 0,
            }
            for u in self.table.endpoints.values()
        ]

    # What callers and the list bring.

    def classify(self, method: bytes, path: bytes, fields: dict[bytes, bytes]) -> tuple[bytes, int] | None:
        """The first segment names the profile."""
        name = path[1:].partition(b"/")[0]
        profile = self.profiles.get(name) if path[:1] == b"/" else None
        return None if profile is None else (name, profile)

    def identify(self, profile: int, fields: dict[bytes, bytes]) -> tuple[bytes, bytes]:
        return fields.get(TRACE, b""), fields.get(EXPIRES, b"")

    def dispatch(
        self,
        client,
        profile,
        method,
        target,
        passed,
        body,
        *,
        client_timeout,
        received_at,
        tenant,
        is_retry,
        trace_id,
        upload=None,
        on_rejected=None,
        key=b"",
    ) -> int:
        """Takes a request; `on_rejected`, if given, is called instead of answering one rejected at once."""
        if trace_id in self.trace_ids:
            # Another's open transaction: sent on, it would be a second copy of that one at an upstream.
            client.send_error(409)
            return -1
        head = b"%b %b HTTP/1.1\r\n" % (method, target)
        request = Request(client, profile, head, passed, body, trace_id)
        request.name, request.on_rejected = client.profile, on_rejected
        request.route = self.route_names[profile] if self.route_names else ""
        request.number = number = self.requests.add(request)
        if number < 0:
            # The table is full: the caller is told at once, nothing has run.
            self.log("no_room", requests=len(self.requests))
            client.send_response(503, b"", b"too many transactions\n")
            return -1
        self.trace_ids.add(trace_id)
        # The time runs from the caller's sending; on a busy machine the bytes have lain unread for a while,
        # and so will the answer. One at the very limit would come after it.
        client_timeout = min(client_timeout, self.longest[profile])
        request.client_timeout, request.upload = client_timeout - min(self.slack, client_timeout // 8), upload
        deadline = clock() + NO_DEADLINE if upload is not None else received_at + request.client_timeout
        if self.shutdown_deadline:
            deadline = min(deadline, self.shutdown_deadline)
        request.policy = policy = self.policies[-1]
        policy.open_requests += 1
        request.state = policy.balancer.admit(
            request.taken,
            number,
            profile,
            self.customers.get(tenant, len(self.customers)),
            deadline,
            is_retry,
            upload is not None,
            key,
        )
        if upload is not None:
            upload.observer = request
        request.on_rejected = None
        self.forget_if_finished(request)
        return -1 if request.answered else number

    def client_disconnected(self, number: int) -> None:
        """The caller has gone away."""
        request = self.requests.get(number)
        if request is None:
            return
        if not request.answered:
            request.close()
            self.record_outcome("left", request)
            request.state.client_disconnected(clock())
            self.forget_if_finished(request)
        else:  # in the middle of a long answer
            for hop in tuple(request.attempts):
                hop.give_up(Outcome.CANCELLED)

    def ready(self) -> bool:
        """Able to serve: the list has been asked for, and names somebody to send to."""
        asked = self.discovery is not None and self.discovery.attempted
        return asked and bool(self.balancer.selection.ready) and not self.closing()

    def closing(self) -> bool:
        """Are callers to go elsewhere?"""
        return self.shutdown_deadline > 0 or self.evacuated

    def request_opened(self) -> None:
        self.metrics.open_requests += 1

    def request_closed(self) -> None:
        self.metrics.open_requests -= 1

    def telemetry(self) -> dict:
        """Of the list: how many upstreams it has, and how many of them nothing is sent to now."""
        ejected = sum(
            u.is_ejected or u.state is not EndpointState.READY
            for u in self.balancer.selection.endpoints.values()
        )
        return {"registry_entries": len(self.table.endpoints), "out_of_rotation": ejected}

    def endpoints_changed(self, rows: list[tuple], full: bool) -> None:
        told = []
        for name, address, state, started, weight, cell, zone in rows:
            if state is EndpointState.REMOVED and name not in self.table.indices:
                continue
            upstream = self.table.get_or_create(name)
            if not (
                state is EndpointState.REMOVED
                and self.balancer.settings.only_draining_binds
                and upstream.state is EndpointState.READY
            ):
                upstream.state = state
            upstream.weight, upstream.cell, upstream.zone = weight, cell, zone
            upstream.started_at = (started * 1000 + self.epoch or 1) if started else 0
            if state is not EndpointState.REMOVED:
                upstream.set_address(address)
            self.update_connection_reuse(upstream)
            told.append((upstream, state))
        for (
            policy
        ) in self.policies:  # also those that only end what they have: a drain holds for their hops too
            policy.endpoints_changed(told, full)
        for index in tuple(self.table.endpoints):
            # Where only draining binds, the decisions keep some that the list has lost, to be sent to.
            if not any(index in policy.balancer.selection.endpoints for policy in self.policies):
                self.table.remove(index)

    def update_connection_reuse(self, upstream: Endpoint) -> None:
        """May connections rest there?"""
        if upstream.state is EndpointState.READY and upstream.name not in self.excluded:
            upstream.enable()
        else:
            upstream.disable()

    def exclude(self, name: str, out: bool) -> bool:
        """Takes an upstream out, or puts it back, whatever the list says meanwhile. False: never listed."""
        if name not in self.table.known_ids and name not in self.excluded:
            return False
        if out is not (name in self.excluded):
            if len(self.excluded) >= MAX_REMEMBERED_IDS and out:
                return False  # more than were ever listed at once: a script has gone wild
            (self.excluded.add if out else self.excluded.discard)(name)
            upstream = self.table.endpoints.get(self.table.indices.get(name, -1))
            if upstream is not None:
                # The list may not know yet that it was started again meanwhile: taken for warm, all
                # balancers would push it over.
                upstream.included_at = upstream.included_at if out else clock()
                self.update_connection_reuse(upstream)
                for policy in self.policies:
                    policy.endpoints_changed([(upstream, upstream.state)], full=False)
        return True

    def endpoint_poll_failed(self) -> None:
        for policy in self.policies:
            policy.balancer.endpoint_poll_failed(clock())

    # The port.

    def send(self, ref: int, upstream: int, timeout: int) -> None:
        request = self.requests.get(ref)
        hop = Attempt(self, request, self.table.endpoints[upstream], timeout)
        request.attempts.append(hop)
        if self.shutdown_deadline and clock() >= self.shutdown_deadline:
            hop.finish_soon(Outcome.NOT_SENT)  # the program ends before this could
        else:
            hop.start()

    def reject(self, ref: int, retry_after: int) -> None:
        request = self.requests.get(ref)
        if request is not None and request.on_rejected is not None and not request.attempts:
            request.close()
            self.record_outcome("passed_on", request)
            return request.on_rejected(ref)
        advice = b"Retry-After: %.3f\r\n" % (retry_after / 1e6) if retry_after else b""
        self.respond(ref, "rolled_back", 503, advice, b"rolled back\n")
        if request is not None and request.state is not None and not request.attempts:
            self.forget_if_finished(request)  # it waited for its turn: no hop's end will come for it

    def fail(self, ref: int) -> None:
        self.respond(ref, "abandoned", 502, b"", b"abandoned\n")

    def cancel(self, ref: int, hop: int) -> None:
        request = self.requests.get(ref)
        if request is not None:
            request.attempts[hop].give_up(Outcome.CANCELLED)

    def close_idle_connections(self, upstream: int, age: int) -> None:
        self.table.endpoints[upstream].close_idle(clock() - age)

    def poll_endpoints(self) -> None:
        if self.discovery is not None:
            self.discovery.poll()

    # What comes of it.

    def attempt_finished(self, hop: Attempt, outcome: Outcome, took: int, answer: tuple | None) -> None:
        request = hop.request
        request.trail.append((hop.endpoint.name, outcome.name, took // 1000))
        if self.on_attempt_finished is not None:
            self.on_attempt_finished(hop.endpoint.name, outcome)
        if outcome is not Outcome.SUCCEEDED:
            self.log(
                "hop",
                tx=request.trace_id.decode("latin-1"),
                order=hop.order,
                upstream=hop.endpoint.name,
                outcome=outcome.name,
                ms=took // 1000,
                why=hop.failure_reason,
            )
        if hop.flowing:  # its answer's time is that of the first byte
            took = hop.first - hop.started_at
            whole = outcome is Outcome.SUCCEEDED
            self.record_outcome("committed" if whole else "cut", request)
            request.client.finish_response() if whole else request.client.abort_response()
        elif outcome is Outcome.SUCCEEDED:
            self.respond(request.number, "committed", 200, *answer[:2])
        request.state.attempt_finished(
            clock(), hop.order, outcome, took, request.answered, hop.connection_idle_time
        )
        self.forget_if_finished(request)

    def respond(self, ref: int, how: str, status: int, headers: bytes, body: bytes) -> None:
        """The one answer; what comes later finds it answered and is dropped."""
        request = self.requests.get(ref)
        if request is None or request.answered:
            return
        request.close()
        self.record_outcome(how, request)
        request.client.send_response(status, headers, body)

    def record_outcome(self, how: str, request: Request) -> None:
        self.counts[how] = self.counts.get(how, 0) + 1
        if self.logs_access and how != "passed_on":
            self.log(
                "access",
                tx=request.trace_id.decode("latin-1"),
                how=how,
                hops=request.trail,
                ms=(clock() - request.taken) // 1000,
                **self.kind_of(request),
            )
        if how != "committed":
            self.log(
                how,
                tx=request.trace_id.decode("latin-1"),
                **self.kind_of(request),
                hops=request.trail,
                out=len(request.attempts) - len(request.trail),
                ms=(clock() - request.taken) // 1000,
            )

    def kind_of(self, request: Request) -> dict:
        """For a line of the log."""
        return {"route": request.route} if request.route else {"profile": request.profile}

    def forget_if_finished(self, request: Request) -> None:
        if request.state.is_finished:
            request.policy.open_requests -= 1
            if not request.policy.open_requests and request.policy is not self.policies[-1]:
                self.policies.remove(request.policy)
            self.requests.remove(request.number)
            self.trace_ids.discard(request.trace_id)
            # Its hops name it: left so, each transaction and its body would wait for the garbage collector.
            request.attempts.clear()

    def shut_down_by(self, when: int) -> None:
        """From now on transactions are given until then at the most."""
        self.shutdown_deadline = when
        for request in self.requests:
            if not request.attempts:  # in line: without a hop nothing would end it when the program does
                request.state.deadline = min(request.state.deadline, when)
        self.timers.schedule(when, self.give_up_all)

    def give_up_all(self) -> None:
        """The program is killed soon: what is out counts as timed out, lest it end without an answer."""
        for request in self.requests:
            for hop in request.attempts:
                hop.give_up(Outcome.TIMED_OUT)
