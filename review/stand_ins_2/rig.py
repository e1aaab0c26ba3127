"""Stand-ins and helpers of the second review: discovery, upstreams, clients and the balancer's process.

Every address is a loopback address. All stand-ins of a case run in the process of its script; the balancers
are processes of their own, started by the line `run` of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
HEARTBEAT = 2.0  # seconds between the empty lines of a watch
READY_TIMEOUT = 30.0  # seconds within which a balancer has to be ready
CASE_TIMEOUT = 112.0  # seconds after which a case counts as not run
HEAD_END = b"\r\n\r\n"
STATUS_OK = 200
MIN_STATUS_PARTS = 2
REASONS = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}

Address = tuple[str, int]


def show(address: Address) -> str:
    """Return an address as it stands in settings and lists."""
    return f"{address[0]}:{address[1]}"


def trouble() -> bool:
    """Return whether the case plays its disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, written to `record.txt` beside the script."""

    def __init__(self, path: Path) -> None:
        self.began_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began_at

    def add(self, text: str) -> None:
        """Write a line with the time."""
        self.file.write(f"{self.now():9.4f} {text}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self.file.close()


@dataclass
class Message:
    """One HTTP message: its first line, its headers by name in lower case, and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes
    began_at: float = 0.0
    ended_at: float = 0.0


async def read_message(
    reader: asyncio.StreamReader,
    clock: Callable[[], float],
    on_begin: Callable[[], None] = lambda: None,
    first: bytes = b"",
) -> Message | None:
    """Read a message with a length or in chunks; None at an orderly end before it.

    Args:
        reader: Its connection.
        clock: Returns the time.
        on_begin: Called at the first byte.
        first: The first byte, if it has been read already.
    """
    first = first or await reader.read(1)
    if not first:
        return None
    on_begin()
    began_at = clock()
    head = first + await reader.readuntil(HEAD_END)
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first_line, headers, body, began_at, clock())


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks."""
    body = b""
    while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readuntil(b"\n")).strip():
        pass
    return body


def encode(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body


class Server:
    """A stand-in that listens on a loopback address."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address: Address = ("", 0)
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    async def open(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Begin to listen."""
        self.server = await asyncio.start_server(self._accepted, host, port, backlog=1024)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in tuple(self.tasks):
            task.cancel()


class Discovery(Server):
    """The agent of the discovery service: the whole list, and watches in chunks with one object a line.

    While it is down it is silent. A watch that has fallen silent, or was opened meanwhile, stays silent: it
    is broken and has to be opened anew.

    Attributes:
        entries: The list by id.
        changes: All changes with their versions.
        version: Version of the list.
        is_down: Whether the service is down.
        first_byte_delay: Seconds from a call to the first byte of its answer.
    """

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.version = 1
        self.is_down = False
        self.first_byte_delay = 0.0
        self.calls = 0
        self.watches: set[asyncio.Queue[bytes]] = set()

    def put(self, *, tell: bool = True, **entry: Any) -> None:  # noqa: ANN401
        """Add or change one entry, and tell it to the open watches."""
        self.put_all([entry], tell=tell)

    def put_all(self, entries: list[dict[str, Any]], *, tell: bool = True) -> None:
        """Add or change entries in one version, and tell them to the open watches."""
        self.version += 1
        for entry in entries:
            if entry["state"] == "removed":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
            self.changes.append((self.version, entry))
        if tell and not self.is_down:
            line = self._line(self.version, entries, full=False)
            for queue in self.watches:
                queue.put_nowait(line)

    def go_down(self) -> None:
        """Fall silent."""
        self.is_down = True
        self.watches.clear()
        self.record.add("discovery: down, all watches silent")

    def come_back(self) -> None:
        """Answer new calls again."""
        self.is_down = False
        self.record.add(f"discovery: back, version {self.version}")

    def listing(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def _line(self, version: int, entries: list[dict[str, Any]], *, full: bool) -> bytes:
        return json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n"

    def _first_line(self, after: int) -> bytes:
        if after < 1 or after > self.version:
            return self._line(self.version, list(self.entries.values()), full=True)
        changed = {entry["id"]: entry for version, entry in self.changes if version > after}
        if not changed:
            return b"\n"
        return self._line(self.version, list(changed.values()), full=False)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call; a watch lasts until its connection ends."""
        message = await read_message(reader, self.record.now)
        if message is None:
            return
        self.calls += 1
        target = message.first_line.split(" ")[1]
        self.record.add(f"discovery: call {target}{' (down, no answer)' if self.is_down else ''}")
        if self.is_down:
            await reader.read()  # silent until the caller closes
            return
        if self.first_byte_delay:
            closed = asyncio.ensure_future(reader.read())
            done, _ = await asyncio.wait([closed], timeout=self.first_byte_delay)
            if done:
                self.record.add("discovery: the caller has closed before the first byte")
                return
        if "watch=1" not in target:
            body = json.dumps(self.listing()).encode()
            writer.write(encode("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
            await writer.drain()
            return
        _, _, after = target.partition("after=")
        await self._watch(writer, int(after.partition("&")[0] or 0))

    async def _watch(self, writer: asyncio.StreamWriter, after: int) -> None:
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.watches.add(queue)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        queue.put_nowait(self._first_line(after))
        try:
            while not writer.is_closing():
                try:
                    line = await asyncio.wait_for(queue.get(), HEARTBEAT)
                except TimeoutError:
                    line = b"\n"
                if queue not in self.watches:
                    await asyncio.sleep(CASE_TIMEOUT)  # fallen silent
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
        finally:
            self.watches.discard(queue)


@dataclass
class Arrival:
    """A request that an upstream has received in full."""

    upstream: str
    trace_id: str
    path: str
    headers: dict[str, str]
    began_at: float
    ended_at: float
    answered_at: float = 0.0


class Upstream(Server):
    """A sound upstream: it answers each request with a body that names the request.

    Attributes:
        name: Its id in the list.
        work: Returns the seconds that a request takes.
        arrivals: The requests that came, in order.
    """

    def __init__(self, record: Record, name: str, work: Callable[[], float]) -> None:
        super().__init__(record)
        self.name = name
        self.work = work
        self.arrivals: list[Arrival] = []

    def entry(self, state: str = "up", **changes: Any) -> dict[str, Any]:  # noqa: ANN401
        """Return its entry of the list."""
        host, port = self.address
        return {
            "id": self.name, "addr": f"{host}:{port}", "zone": "a", "kind": "std", "cell": 1, "state": state,
            "weight": 1.0, "started_ms": 0,
        } | changes  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of a connection one by one."""
        while (message := await read_message(reader, self.record.now)) is not None:
            path = message.first_line.split(" ")[1]
            if path.startswith("/-/"):
                writer.write(encode("HTTP/1.1 200 OK", {}, b"ok\n"))
                continue
            trace_id = message.headers.get("x-trace-id", "")
            arrival = Arrival(self.name, trace_id, path, message.headers, message.began_at, message.ended_at)
            self.arrivals.append(arrival)
            self.record.add(f"{self.name}: run {trace_id} {path}")
            await asyncio.sleep(self.work())
            writer.write(encode("HTTP/1.1 200 OK", {}, self.body_for(trace_id)))
            await writer.drain()
            arrival.answered_at = self.record.now()
            await self.answered(writer)

    def body_for(self, trace_id: str) -> bytes:
        """Return the body of the answer to a request."""
        return f"answer to {trace_id}\n".encode()

    async def answered(self, writer: asyncio.StreamWriter) -> None:
        """Do what follows an answer: nothing."""


@dataclass
class Answer:
    """What a client got for one request; status 0: a close or nothing."""

    trace_id: str
    path: str
    status: int
    body: bytes
    sent_at: float
    ended_at: float
    note: str = ""


@dataclass
class Client:
    """A sound client: one request at a time on a connection; connections are kept and reused.

    If a kept connection ends before any byte of the answer, the request is sent once more on a new one.
    """

    record: Record
    address: Address
    name: str = "client"
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)

    async def call(
        self, method: str, path: str, expires_ms: int, headers: dict[str, str] | None = None
    ) -> Answer:
        """Send a request and wait for its answer, for half a second more than its time."""
        trace_id = uuid.uuid4().hex[:16]
        fields = {"Host": "api.internal", "X-Trace-Id": trace_id, "X-Expires-In-Ms": str(expires_ms)}
        body = b"x" * 64 if method == "POST" else b""
        data = encode(f"{method} {path} HTTP/1.1", fields | (headers or {}), body)
        sent_at = self.record.now()
        self.record.add(f"{self.name}: send {trace_id} {method} {path}")
        answer = Answer(trace_id, path, 0, b"", sent_at, 0.0, "no answer")
        try:
            async with asyncio.timeout(expires_ms / 1000 + 0.55):
                await self._exchange(data, answer)
        except (OSError, EOFError, TimeoutError) as error:
            answer.note = type(error).__name__
        answer.ended_at = self.record.now()
        self.answers.append(answer)
        self.record.add(f"{self.name}: got {trace_id} {answer.status} {answer.note} {answer.body[:60]!r}")
        return answer

    async def _exchange(self, data: bytes, answer: Answer) -> None:
        if self.idle:
            connection = self.idle.pop()
            if await self._try(connection, data, answer):
                return
            answer.note = "sent once more"
        connection = await asyncio.open_connection(*self.address)
        await self._try(connection, data, answer)

    async def _try(
        self, connection: tuple[asyncio.StreamReader, asyncio.StreamWriter], data: bytes, answer: Answer
    ) -> bool:
        reader, writer = connection
        has_begun = False

        def begin() -> None:
            nonlocal has_begun
            has_begun = True

        try:
            writer.write(data)
            message = await read_message(reader, self.record.now, begin)
        except (OSError, EOFError):
            writer.close()
            if has_begun:
                raise
            return False
        except asyncio.CancelledError:
            writer.close()
            raise
        if message is None:
            writer.close()
            return False
        answer.status = int(message.first_line.split(" ")[1])
        answer.body = message.body
        answer.note = answer.note if answer.note == "sent once more" else ""
        if message.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append(connection)
        return True

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self.idle:
            writer.close()
        self.idle.clear()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def profile(name: str, semantics: str, goal: float, limit: float, **more: Any) -> dict[str, Any]:  # noqa: ANN401
    """Return a request class of the settings."""
    return {
        "name": name, "semantics": semantics, "service-goal": goal, "hard-limit": limit, "group": "all",
        "dedup-window": 5000.0, "revenue": 1.0, "stream": False, "tardy-revenue": 0.25,
    } | more  # fmt: skip


def settings(profiles: list[dict[str, Any]], **changes: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a small deployment, with some tables changed key by key."""
    tables: dict[str, Any] = {
        "balancers": 2,
        "caps": {
            "conn-idle": 5000.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 613746, "dial-timeout": 75.0,
            "max-retry-after": 3000.0, "max-streams": 1, "may-cancel": True, "may-duplicate": False,
            "may-tell": False, "most-held": 24549, "most-hops": 5, "probing": True, "retry-after": True,
        },
        "clients": {"marks-retry": True},
        "contract": {
            "answer-slack": 20.0, "ask-within": 10000.0, "cold": 7800.0, "cold-share": 0.32,
            "fall-multiple": 4.0, "stop-sending-within": 1500.0, "tip-after": 1000.0,
        },
        "discovery": "pushed",
        "excess-revenue": 1.0,
        "family": "chain",
        "family-info": {"passes-deadline": True},
        "fees": {"cross-zone": 0.0, "late-fail": 0.062, "probe": 0.01, "waste": 0.04},
        "goal": {"whole": 0.65, "worst-class": 0.2, "worst-window": 0.15},
        "localities": ["a"],
        "locality": 0,
        "profiles": profiles,
        "report": {"fields": [], "source": "off"},
        "revenue-by": "request",
        "self-index": 0,
        "shapes": ["std"],
        "stages": ["gateway"],
        "tenants": [],
        "tick": 5.0,
        "tier": 0,
        "weight-source": "off",
    }  # fmt: skip
    for key, value in changes.items():
        name = key.replace("_", "-")
        tables[name] = tables[name] | value if isinstance(value, dict) else value
    return tables


class Balancer:
    """A balancer, started by the line `run` of the deploy file.

    Attributes:
        address: Where clients connect.
        admin: The second address, for operators.
    """

    def __init__(self, record: Record, name: str, folder: Path) -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.address: Address = ("127.0.0.1", free_port())
        self.admin: Address = ("127.0.0.1", free_port())
        self.process: asyncio.subprocess.Process | None = None
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"

    def write_config(self, discovery: Address, known: dict[str, Any], table: dict[str, Any]) -> None:
        """Write the file of the configuration."""
        config = {
            "name": self.name, "listen": show(self.address), "discovery": show(discovery),
            "seed": uuid.uuid4().hex[:16], "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known, "settings": table,
        }  # fmt: skip
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(config))
        temporary.rename(self.config_path)

    async def start(
        self, discovery: Address, tmpdir: Path | None = None, listener: socket.socket | None = None
    ) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        tmpdir = tmpdir or self.folder / f"{self.name}.tmp"
        tmpdir.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("PROXY_")}
        environment |= {
            "PROXY_NAME": self.name, "PROXY_LISTEN": show(self.address),
            "PROXY_DISCOVERY": show(discovery), "PROXY_CONFIG": str(self.config_path),
            "PROXY_ADMIN": show(self.admin), "TMPDIR": str(tmpdir),
        }  # fmt: skip
        environment.pop("PYTHONPATH", None)
        descriptors: tuple[int, ...] = ()
        if listener is not None:
            descriptors = (listener.fileno(),)
            environment["PROXY_FD"] = str(listener.fileno())
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, pass_fds=descriptors,
            )  # fmt: skip
        self.record.add(f"{self.name}: started")

    async def wait_ready(self, address: Address | None = None, path: str = "/-/ready") -> None:
        """Wait until it says that it is ready.

        Raises:
            CaseError: It has ended, or takes too long.
        """
        deadline = self.record.now() + READY_TIMEOUT
        while self.record.now() < deadline:
            if self.process is None or self.process.returncode is not None:
                raise CaseError(f"{self.name} has ended: {self.log_path.read_text()[-2000:]}")
            if await get_status(address or self.address, "GET", path) == STATUS_OK:
                self.record.add(f"{self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready: {self.log_path.read_text()[-2000:]}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.record.add(f"{self.name}: {number.name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def get_status(address: Address, method: str, path: str, body: bytes = b"") -> int:
    """Send one call on a connection of its own; return the status, 0 without an answer."""
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": "api.internal"}, body))
                head = await reader.readuntil(HEAD_END)
                parts = head.split(b" ")
                return int(parts[1]) if len(parts) >= MIN_STATUS_PARTS else 0
            finally:
                writer.close()
    return 0


class Case:
    """The surroundings of one case: its record, a temporary folder, and what has to be ended."""

    def __init__(self, script: str) -> None:
        self.record = Record(Path(script).resolve().parent / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.balancers: list[Balancer] = []
        self.servers: list[Server] = []
        self.clients: list[Client] = []

    def balancer(self, name: str) -> Balancer:
        """Create a balancer that is killed at the end."""
        balancer = Balancer(self.record, name, self.folder)
        self.balancers.append(balancer)
        return balancer

    async def discovery(self) -> Discovery:
        """Open a discovery stand-in."""
        discovery = Discovery(self.record)
        await discovery.open()
        self.servers.append(discovery)
        return discovery

    async def upstreams(self, count: int, work: Callable[[], float]) -> list[Upstream]:
        """Open upstreams."""
        upstreams = [Upstream(self.record, f"s-{number}", work) for number in range(count)]
        for upstream in upstreams:
            await upstream.open()
        self.servers += upstreams
        return upstreams

    def client(self, address: Address, name: str = "client") -> Client:
        """Create a client."""
        client = Client(self.record, address, name)
        self.clients.append(client)
        return client

    async def end(self) -> None:
        """End all processes and stand-ins, and remove the temporary folder."""
        for client in self.clients:
            client.close()
        for balancer in self.balancers:
            await balancer.kill()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(script: str, play: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Play a case, and exit with 1 if it returns breaks of its rule, 0 if none, 2 if it could not run."""
    case = Case(script)

    async def run() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(CASE_TIMEOUT):
                return list(await play(case))
        finally:
            await case.end()

    try:
        breaks = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        case.record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        status = NOT_RUN
    else:
        for text in breaks:
            case.record.add(f"BROKEN: {text}")
        shown = f"{len(breaks)} breaks, first: {breaks[0]}" if breaks else "the rule held"
        case.record.add(shown)
        print(shown)
        status = BROKEN if breaks else HELD
    case.record.close()
    sys.exit(status)
