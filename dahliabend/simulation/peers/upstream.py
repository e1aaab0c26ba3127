"""A simulated upstream with cores, slots, a queue, a warm-up period and faults."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple, cast

import httptools

from dahliabend.simulation.peers import RecordEvent
from dahliabend.simulation.peers.upstream_spec import UpstreamSpec

LONG_RESPONSE_SIZE = 150_000  # bytes
DUPLICATE_DELAY = 500, 6_000  # microseconds, shortest and longest, until a duplicate of a response is sent
CONTENTION_FACTOR = 1.5  # factor on the duration of work above the contention share
SUBMIT_FACTOR = 1.5  # factor on the work of a query
CHUNKED_SHARE = 0.2  # share of the successful responses with chunked encoding
UNHEALTHY_FAILURE_SHARE = 0.5  # above this share of failing requests, health checks fail too
FAILURE_TIME_DIVISOR = 50  # short requests of a failing upstream take the mean work divided by this
MIN_WORK_DIVISOR = 8  # the minimum work of a request is the mean work divided by this
UNLIMITED_CONNECTIONS = 1 << 20
MICROSECONDS_PER_SECOND = 1e6
REJECTED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 5\r\n\r\nfull\n"
FAILED_RESPONSE = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nbad\n"
HEALTH_CHECK_PREFIX = b"/-/"  # start of the paths of health checks


class Arrival(NamedTuple):
    """A request that arrived during an upstream's warm-up."""

    arrived_at: int  # microseconds of the loop's clock
    work: int  # microseconds of a core
    is_informed: bool  # whether the sending balancer knew of the start


@dataclass(slots=True, eq=False)
class Job:
    """A request that an upstream executes."""

    connection: "Connection"
    connection_number: int
    trace_id: str
    class_name: str
    target: bytes
    work: int  # microseconds of a core
    is_orphaned: bool = False  # whether its connection is lost, so that nothing awaits the response


class Upstream:
    """One process of an upstream."""

    def __init__(
        self,
        spec: UpstreamSpec,
        loop: asyncio.AbstractEventLoop,
        recorder: RecordEvent,
        rng: Random,
        started_at: int,
        knows_start: Callable[[str], bool],
    ) -> None:
        """Create a process that does not listen yet.

        Args:
            spec: the capacity and the settings of the upstream.
            loop: the event loop of the process.
            recorder: called with each event.
            rng: the random generator of work, failures and responses.
            started_at: the start in microseconds of the loop's clock; 0: long ago, so that it is warm.
            knows_start: called with a balancer's name, returns whether it knows of the start; called with "",
                returns whether all balancers do.
        """
        self.spec = spec
        self.loop = loop
        self.recorder = recorder
        self.rng = rng
        self.started_at = started_at
        self.knows_start = knows_start
        self.server: Any = None
        self.running = 0
        self.queue: deque[Job] = deque()
        self.connections: set[Connection] = set()
        self.recent_arrivals: deque[Arrival] = deque()  # of the last overload_window, during the warm-up
        self.recent_work = 0
        self.responses_made = 0
        # Calls the second tier with a trace id, a class name and a callback that takes whether it succeeded.
        self.call_second_tier: Callable[[str, str, Callable[[bool], None]], None] | None = None
        # Fault switches, which scenarios and tests set by name
        self.hung = False  # accepts requests and never responds
        self.draining = False  # rejects new requests
        self.resets_instead_of_responding = False  # executes requests, then resets the connection
        # Share of requests that fail. The same share, drawn independently, is shortened by
        # FAILURE_TIME_DIVISOR: a failing request may take its full time, a successful one the short time.
        self.failing = 0.0
        self.garbled = 0.0  # share of successful responses that are sent invalid
        self.duplicated_share = 0.0  # share of successful responses that are sent twice
        self.slower = 1.0  # factor on the duration of work
        self.read_rate = 0.0  # bytes per second that are read on each connection; 0: no limit
        self.connection_limit = UNLIMITED_CONNECTIONS
        self.is_overloaded = False  # whether too much work during the warm-up has made it hang for good

    async def open(self) -> None:
        """Start to listen at the address of the upstream."""
        address = self.spec.host, self.spec.port
        self.server = await self.loop.create_server(lambda: Connection(self), *address)

    def now(self) -> int:
        """Return the time of the loop's clock, in microseconds."""
        return round(self.loop.time() * MICROSECONDS_PER_SECOND)

    # Capacity

    def warmup_factor(self) -> float:
        """Return the available share of the full capacity, below 1 during the warm-up."""
        spec = self.spec
        age = self.now() - self.started_at
        if not self.started_at or age >= spec.warmup_time:
            return 1.0
        return spec.initial_capacity + (1 - spec.initial_capacity) * age / spec.warmup_time

    def record_work(self, work: int, process: str) -> None:
        """Count the work that arrives during the warm-up, rejected requests included.

        Too much work within the overload window makes the process hang for good.
        """
        now = self.now()
        spec = self.spec
        warmup_factor = self.warmup_factor()
        if warmup_factor >= 1.0:
            self.recent_arrivals.clear()
            self.recent_work = 0
            return
        balancer = process.partition("/")[0]
        self.recent_arrivals.append(Arrival(now, work, self.knows_start(balancer)))
        self.recent_work += work
        while self.recent_arrivals[0].arrived_at <= now - spec.overload_window:
            self.recent_work -= self.recent_arrivals.popleft().work
        capacity = warmup_factor * spec.cores * spec.overload_window
        if self._exceeds_overload_limit(capacity) and not self.is_overloaded:
            self.is_overloaded = True
            self.hung = True
            if self._were_balancers_informed():
                self.recorder("toppled", spec.name, self.recent_work / capacity)

    def _exceeds_overload_limit(self, capacity: float) -> bool:
        spec = self.spec
        if not spec.counts_requests:
            return bool(self.recent_work > spec.overload_multiple * capacity)
        # Requests count at their mean work, because balancers cannot foresee the work of a single one.
        mean_work = spec.mean_work * (MIN_WORK_DIVISOR + 1) / MIN_WORK_DIVISOR
        allowed = spec.overload_multiple * capacity / mean_work
        return bool(len(self.recent_arrivals) > allowed + 2 * allowed**0.5 + 2)

    def _were_balancers_informed(self) -> bool:
        """Return whether the balancers were informed of the start and so are responsible for the overload.

        That holds if all of them knew of the start or, where requests are counted, if more than two thirds
        of the requests came from balancers that did.
        """
        if not self.spec.counts_requests:
            return bool(self.knows_start(""))
        informed_count = sum(arrival.is_informed for arrival in self.recent_arrivals)
        return 3 * informed_count > 2 * len(self.recent_arrivals)

    # Requests

    def request_arrived(
        self, connection: "Connection", trace_id: str, class_name: str, target: bytes
    ) -> None:
        """Execute, queue or reject a request that has arrived."""
        spec = self.spec
        self.recorder("begun", trace_id, spec.name, connection.number)
        factor = SUBMIT_FACTOR if class_name == "submit" else 1.0
        work = int(spec.mean_work * factor * self.rng.expovariate(1.0)) + spec.mean_work // MIN_WORK_DIVISOR
        self.record_work(work, connection.transport.get_extra_info("initiator", ""))
        if self.hung:
            connection.is_busy = True
            return
        if self.draining or len(self.connections) > self.connection_limit:
            self.reject(connection, trace_id)
            return
        job = Job(connection, connection.number, trace_id, class_name, target, work)
        if self.running < spec.cores * spec.slots:
            connection.assign(job)
            self._start_job(job)
        elif len(self.queue) < spec.cores * spec.queue:
            connection.assign(job)
            self.queue.append(job)
        else:
            connection.job = None
            self.reject(connection, trace_id)

    def reject(self, connection: "Connection", trace_id: str) -> None:
        """Reject a request without executing it."""
        self.recorder("unrun", trace_id, self.spec.name, connection.number)
        connection.respond(REJECTED_RESPONSE)

    def _start_job(self, job: Job) -> None:
        """Start to execute a request; from here on it may have an effect."""
        spec = self.spec
        self.running += 1
        self.recorder("effect", job.trace_id, spec.name)
        core_share = max(1.0, self.running / spec.cores)
        is_contended = self.running > spec.contention_share * spec.cores * spec.slots
        contention = CONTENTION_FACTOR if is_contended else 1.0
        duration = job.work * core_share * contention * self.slower / self.warmup_factor()
        if self.failing and self.rng.random() < self.failing:
            duration = spec.mean_work // FAILURE_TIME_DIVISOR
        self.loop.call_later(duration / MICROSECONDS_PER_SECOND, self._work_done, job)

    def _work_done(self, job: Job) -> None:
        if self.call_second_tier is not None and not job.is_orphaned:
            self.call_second_tier(job.trace_id, job.class_name, lambda ok: self._finish_job(job, is_ok=ok))
        else:
            self._finish_job(job, is_ok=True)

    def _finish_job(self, job: Job, *, is_ok: bool) -> None:
        self.running -= 1
        while self.queue and self.running < self.spec.cores * self.spec.slots:
            self._start_job(self.queue.popleft())
        connection = job.connection
        if job.is_orphaned or self.hung:
            return
        connection.job = None
        if not is_ok or (self.failing and self.rng.random() < self.failing):
            self.recorder("done", job.trace_id, self.spec.name, job.connection_number, 500)
            connection.respond(FAILED_RESPONSE)
        else:
            self._respond_with_success(job, connection)

    def _respond_with_success(self, job: Job, connection: "Connection") -> None:
        """Send a successful response, or what an active fault turns it into."""
        body = self._make_body(job)
        self.recorder("made", job.trace_id, body)
        if self.resets_instead_of_responding:
            connection.transport.abort()
            return
        self.recorder("done", job.trace_id, self.spec.name, job.connection_number, 200)
        if self.garbled and self.rng.random() < self.garbled:
            connection.respond_invalid(body)
            return
        self.recorder("gave", job.trace_id, self.spec.name, job.connection_number)
        if self.rng.random() < CHUNKED_SHARE:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
            connection.respond(head + body + b"\r\n0\r\n\r\n")
            return
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        connection.respond(response)
        if self.duplicated_share and self.rng.random() < self.duplicated_share:
            shortest, longest = DUPLICATE_DELAY
            delay = shortest + (longest - shortest) * self.rng.random()
            self.loop.call_later(delay / MICROSECONDS_PER_SECOND, connection.respond_again, response)

    def _make_body(self, job: Job) -> bytes:
        self.responses_made += 1
        body = f"{job.trace_id} {self.spec.name} {self.responses_made} ".encode()
        if b"long" in job.target:
            body += b"%x" % self.rng.getrandbits(4) * (LONG_RESPONSE_SIZE - len(body))
        return body

    # Faults

    def drain(self) -> None:
        """Start to reject all requests."""
        self.draining = True

    def reset_all(self) -> None:
        """Reset all connections."""
        for connection in sorted(self.connections, key=lambda connection: connection.number):
            self.recorder("torn", connection.number)
            connection.transport.abort()


class Connection(asyncio.Protocol):
    """The upstream's end of a connection from a balancer."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.is_busy = False
        self.job: Job | None = None
        self.number = 0
        self.idle_timer: asyncio.TimerHandle | None = None
        self.target = b""
        self.trace_id = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement `asyncio.Protocol.connection_made`."""
        self.transport = cast(asyncio.Transport, transport)
        self.number = transport.get_extra_info("connection", id(self))
        self.upstream.connections.add(self)
        self._restart_idle_timer()

    def _restart_idle_timer(self) -> None:
        self._cancel_idle_timer()
        idle_timeout = self.upstream.spec.idle_timeout / MICROSECONDS_PER_SECOND
        self.idle_timer = self.upstream.loop.call_later(idle_timeout, self._idle_timer_fired)

    def _cancel_idle_timer(self) -> None:
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def _idle_timer_fired(self) -> None:
        if not self.is_busy:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Implement `asyncio.Protocol.data_received`."""
        if self.parser is None:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()
            return
        if self.upstream.read_rate:
            self.transport.pause_reading()
            self.upstream.loop.call_later(len(data) / self.upstream.read_rate, self._read_on)

    def _read_on(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def on_url(self, data: bytes) -> None:
        """Handle a part of the request target, parsed by httptools."""
        self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the trace id from the headers, parsed by httptools."""
        if name.lower() == b"x-trace-id":
            self.trace_id = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Handle a request or health check that httptools has parsed."""
        target = self.target
        trace_id = self.trace_id
        self.target = b""
        self.trace_id = ""
        self._cancel_idle_timer()
        upstream = self.upstream
        if target.startswith(HEALTH_CHECK_PREFIX):
            self._health_check_arrived()
            return
        if self.is_busy:
            upstream.recorder("unreadable", upstream.spec.name, "", "a request before the answer to the last")
        class_name = target[1:].partition(b"?")[0].decode("latin-1")
        upstream.request_arrived(self, trace_id, class_name, target)

    def _health_check_arrived(self) -> None:
        upstream = self.upstream
        upstream.recorder("probed", upstream.spec.name)
        if upstream.hung:
            return
        is_healthy = not (upstream.draining or upstream.failing > UNHEALTHY_FAILURE_SHARE)
        is_ok = upstream.spec.answers_health_checks and is_healthy
        status = b"200 OK" if is_ok else b"503 Service Unavailable"
        self.respond(b"HTTP/1.1 %b\r\nContent-Length: 3\r\n\r\nok\n" % status)

    def assign(self, job: Job) -> None:
        """Mark the connection as waiting for the response of a job."""
        self.is_busy = True
        self.job = job

    def respond(self, data: bytes) -> None:
        """Send a response."""
        self.is_busy = False
        if not self.transport.is_closing():
            self.transport.write(data)
            self._restart_idle_timer()

    def respond_again(self, data: bytes) -> None:
        """Send a duplicate of a response; a request that arrived meanwhile stays unanswered."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def respond_invalid(self, body: bytes) -> None:
        """Send a truncated response, one with an invalid head or one with an invalid chunk."""
        self.is_busy = False
        variant = self.upstream.rng.randrange(3)
        if variant == 0:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-3])
            self.transport.close()
        elif variant == 1:
            self.transport.write(b"HTTP/9 2x0 ??\r\n\r\n" + body)
        else:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + body)

    def connection_lost(self, _error: Exception | None) -> None:
        """Implement `asyncio.Protocol.connection_lost`."""
        self.parser = None
        self._cancel_idle_timer()
        upstream = self.upstream
        upstream.connections.discard(self)
        if self.job is not None:
            self.job.is_orphaned = True
            if self.job in upstream.queue:  # a queued job is never executed
                upstream.queue.remove(self.job)
            self.job = None
