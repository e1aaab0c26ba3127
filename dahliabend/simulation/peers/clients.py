"""Clients: an open loop of requests over kept connections, with retries, impatience and bad manners."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import httptools

LARGE = 60_000  # bytes that may not all lie in the other end's buffer
AFTER = 600_000  # microseconds past its limit: then a client gives a request up for lost


@dataclass(slots=True)
class Ask:
    """One request, and how its client behaves."""

    trace: str
    name: str
    expires: int
    limit: int = 0
    body: bytes = b""
    target: bytes = b""
    path: str = ""  # where it is not the name
    method: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    key: str = ""  # what it concerns, where order is kept among those of one
    again: int = 0  # which try this is
    tries: int = 1
    leaves_after: int = 0  # microseconds; 0: it stays
    trickle: int = 0  # microseconds between the pieces in which it is sent
    fresh: bool = False
    honours: bool = True
    resent: bool = False
    done: Callable | None = None  # told the final status, or 0

    def message(self) -> bytes:
        method = self.method.encode() or (b"GET" if self.name == "query" else b"POST")
        path = self.path.encode() or b"/" + self.name.encode()
        head = b"%b %b%b HTTP/1.1\r\nHost: api\r\nX-Trace-Id: %b\r\nX-Expires-In-Ms: %d\r\n" % (
            method, path, self.target, self.trace.encode(), self.expires // 1000,
        )  # fmt: skip
        for name, value in self.headers:
            head += f"{name}: {value}\r\n".encode()
        if self.key:
            head += f"X-Item: {self.key}\r\n".encode()
        if self.again:
            head += b"X-Second-Try: 1\r\n"
        if self.body or method == b"POST":
            head += b"Content-Length: %d\r\n" % len(self.body)
        return head + b"\r\n" + self.body


class Front:
    """Deals out connections among the balancers in rotation, each by its address."""

    def __init__(self, places: list[tuple[str, int]]) -> None:
        self.places, self.turn = list(places), 0
        self.out: set[tuple[str, int]] = set()

    def next(self) -> tuple[str, int] | None:
        ready = [place for place in self.places if place not in self.out]
        if not ready:
            return None
        self.turn += 1
        return ready[self.turn % len(ready)]


class Clients:
    """All clients of one machine."""

    def __init__(
        self, loop, witness: Callable, chance: Random, front: Front, prefix: str, advised: int = 0
    ) -> None:
        self.loop, self.witness, self.chance, self.front = loop, witness, chance, front
        self.prefix, self.advised = prefix, advised
        self.idle: list[Calling] = []
        self.waiting: set[Calling] = set()  # those with a request out
        self.count = 0
        self.out = 0  # requests without an end yet
        self.tasks: set[asyncio.Task] = set()

    def name(self) -> str:
        self.count += 1
        return f"{self.prefix}{self.count}"

    def ask(self, ask: Ask) -> None:
        self.out += 1
        self.send(ask)

    def send(self, ask: Ask) -> None:
        while self.idle and not ask.fresh:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection.ask(ask)
        place = self.front.next()
        if place is None:
            self.witness("nobody", ask.name)
            return self.retry(ask, 0, 0)
        task = self.loop.create_task(self.connect(ask, place))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def come_behind(self, ask: Ask, more: Ask, place: tuple[str, int]) -> None:
        """On a connection of its own, `more` as soon as the other end has ended its sending."""
        try:
            _, connection = await self.loop.create_connection(lambda: Behind(self, place, more), *place)
        except OSError:
            return
        self.out += 1
        connection.ask(ask)

    async def connect(self, ask: Ask, place: tuple[str, int]) -> None:
        try:
            coming = self.loop.create_connection(lambda: Calling(self, place), *place)
            _, connection = await asyncio.wait_for(coming, ask.expires / 1e6)
        except (TimeoutError, OSError):
            return self.retry(ask, 0, 0)
        connection.ask(ask)

    def end(self, ask: Ask, status: int) -> None:
        self.out -= 1
        if ask.done is not None:
            ask.done(status)

    def retry(self, ask: Ask, status: int, wait: int) -> None:
        """A new request with a new id, where the client tries again."""
        if status == 200 or ask.again + 1 >= ask.tries:
            return self.end(ask, status)
        ask.again += 1
        back_off = 50_000 << ask.again
        wait = wait if wait and ask.honours else round(back_off * (0.5 + self.chance.random()))
        ask.trace, ask.resent, ask.leaves_after = self.name(), False, 0
        self.loop.call_later(wait / 1e6, self.send, ask)


class Calling(asyncio.Protocol):
    """One connection to a balancer: one request at a time."""

    def __init__(self, clients: Clients, place: tuple[str, int]) -> None:
        self.clients, self.place = clients, place
        self.asked: Ask | None = None
        self.used = 0
        self.last: Ask | None = None
        self.timer = self.leaving = None
        self.parser: httptools.HttpResponseParser | None = None
        self.whole = self.sent = False

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.number = transport.get_extra_info("connection", id(self))

    def is_usable(self) -> bool:
        return not self.transport.is_closing() and self.place not in self.clients.front.out

    def ask(self, ask: Ask) -> None:
        loop, clients = self.clients.loop, self.clients
        self.asked, self.sent, self.whole = ask, False, False
        clients.waiting.add(self)
        self.used += 1
        self.fresh()
        clients.witness("asked", ask.trace, ask.name, self.number, ask.expires)
        if ask.key:
            clients.witness("keyed", ask.trace, ask.key)
        if ask.leaves_after:
            self.leaving = loop.call_later(ask.leaves_after / 1e6, self.leave)
        message = ask.message()
        if ask.trickle:
            cut = max(1, len(message) // 5)
            pieces = [message[at : at + cut] for at in range(0, len(message), cut)]
            self.piece(ask, pieces)
        else:
            self.write_last(ask, message)

    def piece(self, ask: Ask, pieces: list[bytes]) -> None:
        if self.asked is not ask or self.transport.is_closing():
            return
        if len(pieces) == 1:
            return self.write_last(ask, pieces[0])
        self.transport.write(pieces.pop(0))
        self.clients.loop.call_later(ask.trickle / 1e6, self.piece, ask, pieces)

    def write_last(self, ask: Ask, data: bytes) -> None:
        self.transport.write(data)
        if len(ask.body) > LARGE or self.transport.get_write_buffer_size():
            self.write_on(ask)
        else:
            self.went(ask)

    def write_on(self, ask: Ask) -> None:
        """The time of a long body begins once its last byte is read: whoever passes it on holds it back
        while the next one is slower, and can't know for how long it has lain there."""
        if self.asked is not ask or self.transport.is_closing():
            return
        unsent = self.transport.get_extra_info("unsent")
        if self.transport.get_write_buffer_size() or unsent is not None and unsent():
            self.clients.loop.call_later(0.001, self.write_on, ask)
        else:
            self.went(ask)

    def went(self, ask: Ask) -> None:
        self.sent = True
        self.clients.witness("written", ask.trace)
        self.timer = self.clients.loop.call_later((ask.expires + AFTER) / 1e6, self.give_up)

    def pause_writing(self) -> None: ...

    def resume_writing(self) -> None: ...

    def leave(self) -> None:
        ask = self.asked
        if ask is not None:
            self.over()
            self.clients.witness("left", ask.trace)
            self.transport.abort()
            self.clients.end(ask, 0)

    give_up = leave

    def over(self) -> None:
        for timer in (self.timer, self.leaving):
            if timer is not None:
                timer.cancel()
        self.timer = self.leaving = None
        self.last, self.asked = self.asked, None
        self.clients.waiting.discard(self)

    # The answer.

    def fresh(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body: list[bytes] = []
        self.headers: dict[bytes, bytes] = {}
        self.status = 0

    def data_received(self, data: bytes) -> None:
        if self.asked is None:
            trace = self.last.trace if self.last is not None else "nothing"
            self.clients.witness("extra", trace, data[:100])
            return self.transport.abort()
        ask = self.asked
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            if self.asked is ask:
                self.clients.witness("spoilt", ask.trace, str(error))
            else:
                self.clients.witness("extra", ask.trace, data[-100:])
            self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, part: bytes) -> None:
        whole = int(self.headers.get(b"content-length", 1 << 30))
        if not self.body and self.asked is not None and len(part) < whole:
            self.clients.witness("began", self.asked.trace)
        self.body.append(part)

    def on_message_complete(self) -> None:
        if self.status < 200 or self.asked is None:
            return
        ask, keep = self.asked, self.parser.should_keep_alive()
        sent = self.sent
        self.over()
        self.clients.witness("answer", ask.trace, self.status, b"".join(self.body))
        wait = round(float(self.headers.get(b"retry-after", 0)) * 1e6)
        self.rest(keep and sent)
        self.clients.retry(ask, self.status, wait)

    def rest(self, keep: bool) -> None:
        if keep:
            self.clients.idle.append(self)
        else:
            self.transport.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error) -> None:
        self.parser = None
        if self in self.clients.idle:
            self.clients.idle.remove(self)
        ask = self.asked
        if ask is None:
            return
        self.over()
        if self.used > 1 and not error and not self.status and not ask.resent:
            # Closed in order between requests, this one unread: once more on a new connection.
            ask.resent = ask.fresh = True
            return self.clients.send(ask)
        how = "reset" if error else "closed"
        if self.status == 200:
            self.clients.witness("cut", ask.trace)
        else:
            self.clients.witness("lost", ask.trace, how)
        self.clients.retry(ask, 0, 0)


class Behind(Calling):
    """Rests after its answer until the balancer ends its sending, and asks once more on what is left."""

    def __init__(self, clients: Clients, place: tuple[str, int], more: Ask) -> None:
        super().__init__(clients, place)
        self.more: Ask | None = more

    def rest(self, keep: bool) -> None: ...

    def eof_received(self) -> bool:
        more, self.more = self.more, None
        if self.asked is not None or more is None or not self.used:
            return False
        self.clients.witness("asked", more.trace, more.name, self.number, more.expires)
        self.transport.write(more.message())
        self.clients.loop.call_later(0.05, self.go, more)
        return True

    def go(self, more: Ask) -> None:
        self.clients.witness("left", more.trace)
        self.transport.abort()


class Flooding(asyncio.Protocol):
    """Sends many requests at once, reads what comes, and goes soon after without waiting for all."""

    def __init__(self, loop, witness: Callable, traces: list[str], expires: int, chance: Random) -> None:
        self.loop, self.witness, self.traces, self.expires = loop, witness, traces, expires
        self.stays = 0.02 + 0.2 * chance.random()
        self.gone = False

    async def come(self, place: tuple[str, int]) -> None:
        with contextlib.suppress(OSError):
            await self.loop.create_connection(lambda: self, *place)

    def connection_made(self, transport) -> None:
        self.transport = transport
        number = transport.get_extra_info("connection", id(self))
        for trace in self.traces:
            ask = Ask(trace, "query", self.expires, body=b"z" * 300)
            self.witness("asked", trace, "query", number, self.expires)
            transport.write(ask.message())
        self.loop.call_later(self.stays, self.leave)

    def leave(self) -> None:
        if not self.gone:
            self.gone = True
            for trace in self.traces:
                self.witness("left", trace)
            self.transport.abort()

    def connection_lost(self, error) -> None:
        self.leave()


class Rude(asyncio.Protocol):
    """Says something that is no request, or half of one, and stays."""

    SAID = (
        b"",
        b"GET /query HT",
        b"\x16\x03\x01\x02\x00",
        b"GET /nowhere HTTP/1.1\r\n\r\n",
        b"G" * 20_000,
        b"POST /mark HTTP/1.1\r\nX-Trace-Id: r\r\nX-Expires-In-Ms: 500\r\nContent-Length: 99999999\r\n\r\n",
        b"GET /query HTTP/1.1\r\nX-Expires-In-Ms: -5\r\nX-Trace-Id: rude\r\n\r\n",
        b"GET /query HTTP/1.1\r\nX-Trace-Id: a\r\nX-Trace-Id: b\r\nX-Expires-In-Ms: 5\r\n\r\n",
        b"POST /mark HTTP/1.1\r\nX-Trace-Id: r\r\nX-Expires-In-Ms: 5\r\nContent-Length: 50\r\n\r\nhalf",
    )

    def __init__(self, chance: Random) -> None:
        self.said = chance.choice(self.SAID)

    def connection_made(self, transport) -> None:
        if self.said:
            transport.write(self.said)
