"""A balancer process on loopback sockets, and fake upstreams, discovery and clients that it talks to.

No wait is unlimited: each ends with the expected event or fails after `PATIENCE`.
"""

import json
import os
import signal
import socket
import sys
import time
from contextlib import ExitStack, contextmanager, suppress
from queue import Queue
from subprocess import PIPE, Popen
from tempfile import NamedTemporaryFile
from threading import Thread

MS = 1_000  # microseconds in a millisecond
S = 1_000_000  # microseconds in a second

PATIENCE = 10.0  # seconds
CONF = {
    "balancers": 1,
    "discovery": "pushed",
    "self-index": 0,
    "localities": ["a"],
    "profiles": [
        {"name": "query", "service-goal": 1000.0, "hard-limit": 3000.0, "semantics": "idempotent"},
        {"name": "submit", "service-goal": 1000.0, "hard-limit": 3000.0, "semantics": "at_most_once"},
    ],
    "caps": {
        "most-hops": 4,
        "may-cancel": True,
        "probing": True,
        "retry-after": True,
        "max-retry-after": 3000.0,
        "conn-idle": 5000.0,
        "dial-timeout": 200.0,
    },
    "contract": {"cold-share": 0.5, "cold": 1000.0, "fall-multiple": 3.0},
}


def read_message(file):
    """Return a message's first line, headers (names in lower case) and body; None if the connection ended."""
    first = file.readline()
    if not first.endswith(b"\n"):
        return None
    headers = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") != "chunked":
        body = file.read(int(headers.get("content-length", 0)))
        # A truncated body means that the connection ended.
        return (
            (first.decode().strip(), headers, body)
            if len(body) == int(headers.get("content-length", 0))
            else None
        )
    parts = []
    while size := int(file.readline().partition(b";")[0] or b"-1", 16):
        if size < 0:
            return None
        parts.append(file.read(size))
        file.readline()
    while file.readline() not in (b"\r\n", b""):
        pass
    return first.decode().strip(), headers, b"".join(parts)


class Server:
    """A server on loopback that runs `serve` in a thread of its own for each connection."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.open = []
        Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        with suppress(OSError):
            while True:
                conn, _ = self.sock.accept()
                self.open.append(conn)
                Thread(target=self.handle_connection, args=(conn,), daemon=True).start()

    def handle_connection(self, conn):
        with suppress(OSError), conn:
            self.serve(conn)

    def close(self):
        for sock in (self.sock, *self.open):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


def make_response(body=b"done", head="HTTP/1.1 200 OK", extra_headers=""):
    return f"{head}\r\n{extra_headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Upstream(Server):
    """An upstream; `respond(conn, request)` sends the response and returns false to close the connection.

    Attributes:
        received_requests: Queue of the requests, without health checks.
        ended_connections: Queue with one item for each connection that the balancer closed.
    """

    def __init__(self, respond=None):
        self.received_requests, self.ended_connections = Queue(), Queue()
        self.respond = respond or (
            lambda conn, request: conn.sendall(make_response(request[2] or b"done")) is None
        )
        super().__init__()

    def serve(self, conn):
        with conn.makefile("rb") as file:
            while request := read_message(file):
                if request[0].startswith("GET /-/"):
                    conn.sendall(make_response(b"ok"))
                    continue
                self.received_requests.put(request)
                if not self.respond(conn, request):
                    return
        self.ended_connections.put(True)


class DiscoveryAgent(Server):
    """A discovery agent, which sends the given servers on the first watch.

    Attributes:
        watch_requests: Queue of the request lines of the watches.
        watch_connections: The connections of the watches; `send_update` writes to the newest.
    """

    def __init__(self, *servers):
        self.watch_requests, self.watch_connections, self.servers = Queue(), [], servers
        super().__init__()

    def serve(self, conn):
        with conn.makefile("rb") as file:
            request = read_message(file)
            conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.watch_connections.append(conn)
            if len(self.watch_connections) == 1:
                self.send_update(1, True, *self.servers)
            self.watch_requests.put(request[0])
            file.read()

    def send_update(self, version, full, *servers):
        line = json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n"
        self.watch_connections[-1].sendall(b"%x\r\n%b\r\n" % (len(line), line))


def server_entry(name, upstream, state="up"):
    return {"id": name, "addr": upstream.address, "zone": "a", "cell": 0, "state": state, "started_ms": 0}


class Client:
    """A client with one connection to a balancer."""

    def __init__(self, address):
        host, port = address.split(":")
        self.sock = socket.create_connection((host, int(port)), PATIENCE)
        self.file = self.sock.makefile("rb")

    def send(
        self,
        request_class="query",
        method="GET",
        body=b"",
        timeout_ms="2000",
        trace_id="t1",
        extra_headers="",
    ):
        head = f"{method} /{request_class}?a=b HTTP/1.1\r\nHost: api\r\nX-Trace-Id: {trace_id}\r\n"
        head += extra_headers
        head += f"X-Expires-In-Ms: {timeout_ms}\r\n" if timeout_ms else ""
        self.sock.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def request(self, *args, **options):
        """Send a request; return the status, headers and body of the response."""
        self.send(*args, **options)
        return self.read()

    def read(self):
        message = read_message(self.file)
        return message and (int(message[0].split()[1]), *message[1:])


def free_addresses(count=2):
    with ExitStack() as stack:
        servers = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(count)]
        return [f"127.0.0.1:{server.getsockname()[1]}" for server in servers]


def call_admin(admin, path, method="GET", body=b""):
    """Make an admin call; return its status and its JSON body, or its headers if the body is not JSON."""
    client = Client(admin)
    client.sock.sendall(
        b"%b %b HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (method.encode(), path.encode(), len(body)) + body
    )
    status, headers, text = client.read()
    assert client.read() is None  # the admin listener closes the connection after one call
    return status, json.loads(text) if "json" in headers.get("content-type", "") else headers


def wait_until(check):
    """Call `check` until its value is true, for at most `PATIENCE`; return that value."""
    end = time.monotonic() + PATIENCE
    while not (value := check()):
        assert time.monotonic() < end, f"the condition was not met within {PATIENCE} s"
        time.sleep(0.01)
    return value


@contextmanager
def start_balancer(*upstreams, ready=True, agent=None, settings=None, inherited=None, **top_level_keys):
    """Run a balancer in front of the upstreams; yield its address, its process and its discovery agent.

    The process has four extra attributes: `config_path` and `config`, the path and content of its
    configuration file, `log`, a queue of its log lines, and `admin`, the address of its admin listener.

    Args:
        upstreams: The upstreams, listed as `s-0`, `s-1` and so on unless `agent` is given.
        ready: Whether to wait until the balancer is ready.
        agent: The discovery agent to use instead of a new one.
        settings: Changes to `CONF`.
        inherited: A listening socket that the process inherits, and the runtime directory that it shares. The
            discovery agent and the upstreams then stay open at the end.
        top_level_keys: Further keys of the configuration file.
    """
    discovery = agent or DiscoveryAgent(*(server_entry(f"s-{n}", u) for n, u in enumerate(upstreams)))
    address, admin = free_addresses()
    env, passed_descriptors = {"PROXY_DISCOVERY": discovery.address}, ()
    if inherited:
        listener, directory = inherited
        address, passed_descriptors = f"127.0.0.1:{listener.getsockname()[1]}", (listener.fileno(),)
        env |= {"PROXY_FD": str(passed_descriptors[0]), "TMPDIR": directory}
    config = {
        "listen": address,
        "discovery": discovery.address,
        "admin": admin,
        "settings": {**CONF, **(settings or {})},
        **top_level_keys,
    }
    with NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(config, file)
        file.flush()
        process = Popen(
            [sys.executable, "-m", "dahliabend"],
            stderr=PIPE,
            pass_fds=passed_descriptors,
            env={**os.environ, "PROXY_CONFIG": file.name, **env},
        )
        process.config_path, process.config, process.log, process.admin = file.name, config, Queue(), admin
        try:
            first = b""
            while b'"server.started"' not in first:
                first = process.stderr.readline()
                assert first, "the balancer exited during its start"
                process.log.put(first)
            Thread(target=lambda: [process.log.put(line) for line in process.stderr], daemon=True).start()
            end = time.monotonic() + PATIENCE
            while ready and call_admin(admin, "/api/ready")[0] != 200:
                assert time.monotonic() < end, f"the balancer was not ready within {PATIENCE} s"
            yield address, process, discovery
        finally:
            process.kill()
            process.wait()
            for server in () if inherited else (discovery, *upstreams):
                server.close()


def wait_for_event(process, event):
    """Return the next log line with this event."""
    end = time.monotonic() + PATIENCE
    while (line := json.loads(process.log.get(timeout=PATIENCE)))["event"] != event:
        assert time.monotonic() < end, f"event {event} was not logged within {PATIENCE} s"
    return line


def reload_configuration(process, **changes):
    """Replace the configuration file of a process atomically, and send SIGHUP so that it is read again."""
    with open(f"{process.config_path}.new", "w") as file:
        json.dump({**process.config, **changes}, file)
    os.replace(file.name, process.config_path)
    process.send_signal(signal.SIGHUP)


def readiness_status(address):
    """Return the HTTP status of the readiness check."""
    client = Client(address)
    client.sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: api\r\n\r\n")
    return client.read()[0]
