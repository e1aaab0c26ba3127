"""An upstream: cores, slots, a queue, cold starts, and every way in which it can misbehave."""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import httptools

LONG = 150_000  # bytes of a long answer
SECOND = 500, 6_000  # microseconds: how long after an answer it comes once more
NEVER_RAN = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 5\r\n\r\nfull\n"


@dataclass(slots=True)
class UpstreamSpec:
    name: str
    host: str
    port: int
    zone: str
    cell: int
    cores: int = 2
    slots: int = 8  # jobs at once on a core; they share it
    queue: int = 8  # and those that wait, on a core
    choke_at: float = 1.0  # of its slots: beyond, all work takes longer by half
    work: int = 8_000  # microseconds of a core that a job takes in the mean
    cold: int = 2_000_000
    cold_share: float = 0.4
    fall_multiple: float = 4.0
    fall_window: int = 1_000_000
    rest: int = 2_000_000  # idle connections are closed after that
    may_probe: bool = True
    chance: bool = False  # of many balancers: it falls beyond N + 2 root of N + 2 jobs, N being allowed


class Job:
    __slots__ = ("connection", "name", "number", "over", "target", "trace", "work")

    def __init__(self, connection, number: int, trace: str, name: str, target: bytes, work: int) -> None:
        self.connection, self.number, self.trace, self.name = connection, number, trace, name
        self.target, self.work, self.over = target, work, False


class Upstream:
    """One process of an upstream, from its start until it ends. What it does wrong is in its switches."""

    def __init__(
        self,
        spec: UpstreamSpec,
        loop,
        witness: Callable,
        chance: Random,
        born: int,
        told: Callable[[str], bool],
    ) -> None:
        self.spec, self.loop, self.witness, self.chance = spec, loop, witness, chance
        self.born = born  # microseconds of the loop's clock; 0: long ago, it is warm
        self.told = told  # does that balancer know of its start? "": do all?
        self.running = 0
        self.queue: deque[Job] = deque()
        self.connections: set[Connection] = set()
        self.sent: deque[tuple[int, int, bool]] = (
            deque()
        )  # while cold: when, how much work, and from one told
        self.pressure = 0
        self.made = 0
        # Switches, for faults.
        self.hung = self.draining = self.fallen = self.mute = False
        self.failing = self.garbled = self.twice = 0.0  # `twice`: answers that come once more
        self.slower = 1.0
        self.limit = 1 << 20
        self.onward: Callable | None = None  # calls the next tier: (trace, name, until, done)
        self.server = None

    async def open(self) -> None:
        place = self.spec.host, self.spec.port
        self.server = await self.loop.create_server(lambda: Connection(self), *place)

    def now(self) -> int:
        return round(self.loop.time() * 1e6)

    # What it can do.

    def warmth(self) -> float:
        spec, age = self.spec, self.now() - self.born
        if not self.born or age >= spec.cold:
            return 1.0
        return spec.cold_share + (1 - spec.cold_share) * age / spec.cold

    def press(self, work: int, caller: str) -> None:
        """Every bit of work that comes counts, also what is turned away."""
        now, spec, warm = self.now(), self.spec, self.warmth()
        if warm >= 1.0:
            self.sent.clear()
            self.pressure = 0
            return
        self.sent.append((now, work, self.told(caller.partition("/")[0])))
        self.pressure += work
        while self.sent[0][0] <= now - spec.fall_window:
            self.pressure -= self.sent.popleft()[1]
        bears = warm * spec.cores * spec.fall_window
        over, came = self.pressure > spec.fall_multiple * bears, len(self.sent)
        if spec.chance:  # in jobs of mean work: what single ones happen to take is nobody's to know
            jobs = spec.fall_multiple * bears / (spec.work * 9 / 8)
            over = came > jobs + 2 * jobs**0.5 + 2
        if over and not self.fallen:
            self.fallen = self.hung = True
            if 3 * sum(knew for *_, knew in self.sent) > 2 * came if spec.chance else self.told(""):
                self.witness("toppled", self.spec.name, self.pressure / bears)

    # Jobs.

    def arrived(self, connection: "Connection", trace: str, name: str, target: bytes) -> None:
        spec = self.spec
        self.witness("begun", trace, spec.name, connection.number)
        factor = 1.5 if name == "submit" else 1.0
        work = int(spec.work * factor * self.chance.expovariate(1.0)) + spec.work // 8
        self.press(work, connection.transport.get_extra_info("caller", ""))
        if self.hung:
            connection.busy = True
            return
        if self.draining or len(self.connections) > self.limit:
            return self.turn_away(connection, trace)
        job = Job(connection, connection.number, trace, name, target, work)
        connection.busy = True
        connection.job = job
        if self.running < spec.cores * spec.slots:
            self.begin(job)
        elif len(self.queue) < spec.cores * spec.queue:
            self.queue.append(job)
        else:
            connection.job, connection.busy = None, False
            self.turn_away(connection, trace)

    def turn_away(self, connection: "Connection", trace: str) -> None:
        self.witness("unrun", trace, self.spec.name, connection.number)
        connection.answer(NEVER_RAN)

    def begin(self, job: Job) -> None:
        """From here on it may have an effect."""
        spec = self.spec
        self.running += 1
        self.witness("effect", job.trace, spec.name)
        shared = max(1.0, self.running / spec.cores)
        choked = 1.5 if self.running > spec.choke_at * spec.cores * spec.slots else 1.0
        took = job.work * shared * choked * self.slower / self.warmth()
        if self.failing and self.chance.random() < self.failing:
            took = spec.work // 50
        self.loop.call_later(took / 1e6, self.worked, job)

    def worked(self, job: Job) -> None:
        if self.onward is not None and not job.over:
            return self.onward(job.trace, job.name, lambda fine: self.end(job, fine))
        self.end(job, True)

    def end(self, job: Job, fine: bool) -> None:
        self.running -= 1
        while self.queue and self.running < self.spec.cores * self.spec.slots:
            self.begin(self.queue.popleft())
        connection = job.connection
        if job.over or self.hung:
            return
        connection.job = None
        failed = not fine or self.failing and self.chance.random() < self.failing
        if failed:
            self.witness("done", job.trace, self.spec.name, job.number, 500)
            return connection.answer(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nbad\n")
        self.made += 1
        body = f"{job.trace} {self.spec.name} {self.made} ".encode()
        if b"long" in job.target:
            body += b"%x" % self.chance.getrandbits(4) * (LONG - len(body))
        self.witness("made", job.trace, body)
        if self.mute:
            return connection.transport.abort()  # the answer is lost
        self.witness("done", job.trace, self.spec.name, job.number, 200)
        if self.garbled and self.chance.random() < self.garbled:
            return connection.garble(body)
        self.witness("gave", job.trace, self.spec.name, job.number)
        if self.chance.random() < 0.2:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
            return connection.answer(head + body + b"\r\n0\r\n\r\n")
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        connection.answer(answer)
        if self.twice and self.chance.random() < self.twice:
            late = SECOND[0] + (SECOND[1] - SECOND[0]) * self.chance.random()
            self.loop.call_later(late / 1e6, connection.answer_again, answer)

    # Faults.

    def drain(self) -> None:
        self.draining = True

    def reset_all(self) -> None:
        for connection in sorted(self.connections, key=lambda c: c.number):
            self.witness("torn", connection.number)
            connection.transport.abort()


class Connection(asyncio.Protocol):
    """One balancer's connection to it."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.busy = False
        self.job: Job | None = None
        self.number = 0
        self.rest = None
        self.fresh()

    def fresh(self) -> None:
        self.target, self.trace = b"", ""

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.number = transport.get_extra_info("connection", id(self))
        self.upstream.connections.add(self)
        self.idle()

    def idle(self) -> None:
        upstream = self.upstream
        if self.rest is not None:
            self.rest.cancel()
        self.rest = upstream.loop.call_later(upstream.spec.rest / 1e6, self.rested)

    def rested(self) -> None:
        if not self.busy:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-trace-id":
            self.trace = value.decode("latin-1")

    def on_message_complete(self) -> None:
        target, trace = self.target, self.trace
        self.fresh()
        self.rest.cancel()
        upstream = self.upstream
        if target.startswith(b"/-/"):
            upstream.witness("probed", upstream.spec.name)
            if upstream.hung:
                return
            well = not (upstream.draining or upstream.failing > 0.5)
            status = b"200 OK" if upstream.spec.may_probe and well else b"503 Service Unavailable"
            return self.answer(b"HTTP/1.1 %b\r\nContent-Length: 3\r\n\r\nok\n" % status)
        if self.busy:
            upstream.witness("unreadable", upstream.spec.name, "", "a request before the answer to the last")
        upstream.arrived(self, trace, target[1:].partition(b"?")[0].decode("latin-1"), target)

    def answer(self, data: bytes) -> None:
        self.busy = False
        if not self.transport.is_closing():
            self.transport.write(data)
            self.idle()

    def answer_again(self, data: bytes) -> None:
        """Whatever came on it meanwhile is still to be answered."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def garble(self, body: bytes) -> None:
        """An answer that can't be taken for whole: cut short, or with a spoilt head."""
        self.busy = False
        kind = self.upstream.chance.randrange(3)
        if kind == 0:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:-3])
            self.transport.close()
        elif kind == 1:
            self.transport.write(b"HTTP/9 2x0 ??\r\n\r\n" + body)
        else:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" + body)

    def connection_lost(self, error) -> None:
        self.parser = None
        if self.rest is not None:
            self.rest.cancel()
        upstream = self.upstream
        upstream.connections.discard(self)
        if self.job is not None:
            self.job.over = True
            if self.job in upstream.queue:  # it never ran
                upstream.queue.remove(self.job)
            self.job = None
