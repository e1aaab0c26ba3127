"""Stand-ins and helpers of the review's cases: one balancer process, discovery, upstreams, clients, a record.

Only the standard library is used. Everything listens on 127.0.0.1, on ports that the system chooses.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from contextlib import suppress
from io import BufferedReader
from pathlib import Path
from threading import Lock, Thread
from types import TracebackType
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit status: the rule held, it was broken, the case could not run
START_TIME = 20.0  # seconds within which the balancer has to be ready
RUN_TIME = 110  # seconds after which a case gives up
HEARTBEAT = 2.0  # seconds between two empty lines of a watch
HTTP_OK = 200


class CaseError(Exception):
    """The case could not run."""


class Message(NamedTuple):
    """An HTTP message: its first line, its headers with names in lower case, its body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split()[1])


def read_head(file: BufferedReader) -> tuple[str, dict[str, str]] | None:
    """Read the head of a message; None if the connection has ended."""
    first = file.readline()
    if not first.endswith(b"\n"):
        return None
    headers: dict[str, str] = {}
    while True:
        line = file.readline()
        if line == b"\r\n":
            return first.decode("latin-1").strip(), headers
        if not line.endswith(b"\n"):
            return None
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()


def read_message(file: BufferedReader) -> Message | None:
    """Read a message with a length or with chunks; None if the connection ended before its end."""
    head = read_head(file)
    if head is None:
        return None
    first, headers = head
    if headers.get("transfer-encoding") != "chunked":
        length = int(headers.get("content-length", "0"))
        body = file.read(length) if length else b""
        return Message(first, headers, body) if len(body) == length else None
    parts = []
    while True:
        size_line = file.readline()
        if not size_line.endswith(b"\n"):
            return None
        size = int(size_line.partition(b";")[0], 16)
        part = file.read(size + 2)
        if len(part) != size + 2:
            return None
        if not size:
            return Message(first, headers, b"".join(parts))
        parts.append(part[:size])


def response(status: int, body: bytes = b"") -> bytes:
    """Return a response with a length."""
    return b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = Lock()
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")
            self._file.flush()


class Server:
    """A server on loopback with a thread for each connection; subclasses override `serve`."""

    def __init__(self) -> None:
        self._listener = socket.create_server((LOOPBACK, 0), backlog=128)
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                Thread(target=self._serve_safely, args=(sock,), daemon=True).start()

    def _serve_safely(self, sock: socket.socket) -> None:
        with suppress(OSError), sock:
            self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        """Serve a connection until it ends."""
        raise NotImplementedError


class Discovery(Server):
    """The discovery agent: answers a watch with the whole list, then with an empty line every 2 s."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries = entries
        super().__init__()

    def serve(self, sock: socket.socket) -> None:
        """Answer one watch; the list never changes."""
        with sock.makefile("rb") as file:
            if read_head(file) is None:
                return
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        line = json.dumps({"version": 1, "full": True, "servers": self.entries}).encode() + b"\n"
        while True:
            sock.sendall(b"%x\r\n%b\r\n" % (len(line), line))
            line = b"\n"
            time.sleep(HEARTBEAT)


class Upstream(Server):
    """An upstream that answers probes; subclasses override `answer`."""

    def __init__(self, name: str, cell: int = 0) -> None:
        self.name = name
        self.cell = cell
        super().__init__()

    @property
    def entry(self) -> dict[str, Any]:
        """Return the upstream's entry in the list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "a",
            "kind": "std",
            "cell": self.cell,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }

    def serve(self, sock: socket.socket) -> None:
        """Answer the requests of a connection, one after the other."""
        with sock.makefile("rb") as file:
            while True:
                message = read_message(file)
                if message is None:
                    return
                if message.first.startswith("GET /-/"):
                    sock.sendall(response(HTTP_OK, b"ok\n"))
                else:
                    self.answer(sock, message)

    def answer(self, sock: socket.socket, message: Message) -> None:
        """Answer a request."""
        raise NotImplementedError


class Client:
    """A client with one connection to the balancer."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=10)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.sock.makefile("rb")

    def request(self, method: str, path: str, headers: dict[str, str], body: bytes = b"") -> Message | None:
        """Send a request and return its answer; None if the connection ended without one."""
        self.send(method, path, headers, body)
        return read_message(self.file)

    def send(self, method: str, path: str, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a request; return when the system has taken its last byte."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if body or method != "GET":
            lines += f"Content-Length: {len(body)}\r\n"
        self.sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: api.internal\r\n{lines}\r\n".encode())
        if body:
            self.sock.sendall(body)

    def close(self) -> None:
        """Close the connection."""
        self.file.close()
        self.sock.close()


def free_addresses(count: int) -> list[str]:
    """Return addresses on loopback whose ports are free."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    addresses = [f"{LOOPBACK}:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class Balancer:
    """One balancer, started by `run` of the deploy file, with a configuration in a temporary folder."""

    def __init__(self, settings: dict[str, Any], discovery: Discovery, record: Record) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.address, self.admin = free_addresses(2)
        self._path = Path(self._folder.name) / "config.json"
        self._record = record
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": self.address,
            "discovery": discovery.address,
            "admin": self.admin,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": discovery.entries},
            "settings": settings,
        }
        self.write(self.config)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = Path(self._folder.name) / "tmp"
        temporary.mkdir()
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env={
                **os.environ,
                "PROXY_NAME": "n0",
                "PROXY_LISTEN": self.address,
                "PROXY_DISCOVERY": discovery.address,
                "PROXY_ADMIN": self.admin,
                "PROXY_CONFIG": str(self._path),
                "TMPDIR": str(temporary),
            },
            stdout=subprocess.DEVNULL,
            stderr=(Path(self._folder.name) / "log").open("wb"),
        )

    def __enter__(self) -> "Balancer":
        end = time.monotonic() + START_TIME
        while time.monotonic() < end and self.process.poll() is None:
            with suppress(OSError):
                client = Client(self.address)
                answer = client.request("GET", "/-/ready", {})
                client.close()
                if answer is not None and answer.status == HTTP_OK:
                    self._record("the balancer is ready")
                    return self
            time.sleep(0.1)
        self.__exit__(None, None, None)
        raise CaseError("the balancer is not ready")

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.process.kill()
        self.process.wait()
        self._folder.cleanup()

    def write(self, config: dict[str, Any]) -> None:
        """Replace the configuration file as a whole."""
        new = self._path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self._path)

    def reload(self, config: dict[str, Any]) -> None:
        """Replace the configuration file and send SIGHUP."""
        self.write(config)
        self.process.send_signal(signal.SIGHUP)

    def check_alive(self) -> None:
        """Raise an error if the process has ended."""
        if self.process.poll() is not None:
            raise CaseError(f"the balancer has ended with status {self.process.returncode}")

    def telemetry(self) -> dict[str, Any]:
        """Return the figures of the admin listener."""
        client = Client(self.admin)
        answer = client.request("GET", "/api/telemetry", {})
        client.close()
        if answer is None or answer.status != HTTP_OK:
            raise CaseError("no figures")
        figures: dict[str, Any] = json.loads(answer.body)
        return figures


def profile(name: str, semantics: str, goal: float, limit: float, **more: object) -> dict[str, Any]:
    """Return a request class of the settings."""
    return {
        "name": name,
        "semantics": semantics,
        "service-goal": goal,
        "hard-limit": limit,
        "revenue": 1.0,
        "tardy-revenue": 0.25,
        "stream": False,
        **more,
    }


def settings(*profiles: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of a small deployment: one balancer, one zone, lists pushed, probes allowed."""
    return {
        "balancers": 1,
        "self-index": 0,
        "tier": 0,
        "discovery": "pushed",
        "locality": 0,
        "localities": ["a"],
        "profiles": list(profiles),
        "tenants": [],
        "excess-revenue": 1.0,
        "caps": {
            "conn-idle": 5000.0,
            "dial-timeout": 75.0,
            "max-retry-after": 3000.0,
            "max-streams": 1,
            "may-cancel": True,
            "may-duplicate": False,
            "may-tell": False,
            "most-held": 20000,
            "most-hops": 5,
            "probing": True,
            "retry-after": True,
        },
        "contract": {
            "answer-slack": 20.0,
            "ask-within": 10000.0,
            "cold": 7800.0,
            "cold-share": 0.32,
            "fall-multiple": 4.0,
            "stop-sending-within": 1500.0,
            "tip-after": 1000.0,
        },
        "fees": {"cross-zone": 0.0},
        "goal": {"whole": 0.65, "worst-class": 0.2, "worst-window": 0.15},
        "report": {"fields": [], "source": "off"},
    }


def _interrupted(number: int, _frame: object) -> None:
    raise CaseError(f"ended by signal {number} (an alarm after {RUN_TIME} s, or from outside)")


def run_case(folder: Path, case: Callable[[Record, bool], bool]) -> None:
    """Run a case and exit with its result.

    Args:
        folder: The folder of the case, which gets `record.txt`.
        case: Returns whether the rule was broken; gets the record and whether to play the disruption.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _interrupted)
    signal.alarm(RUN_TIME)
    try:
        record(f"the disruption is {'played' if trouble else 'left out'}")
        status = BROKEN if case(record, trouble) else HELD
        record(f"RESULT: the rule {'was broken' if status else 'held'}")
    except Exception:
        record(f"RESULT: the case could not run\n{traceback.format_exc()}")
        status = NOT_RUN
    print((folder / "record.txt").read_text().splitlines()[-1], flush=True)
    sys.stdout.flush()
    os._exit(status)  # the threads of the stand-ins end with the process
