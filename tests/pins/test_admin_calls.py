"""Admin calls: the bytes of each response, and the keys and types of the larger JSON responses.

The program is built as at its start but opens no sockets; the tests feed calls to its admin connections.
"""

import asyncio
import json
import tempfile
from collections.abc import Callable
from pathlib import Path

import pytest
from golden_files import as_json, read_golden, write_golden
from http_harness import FakeTransport, feed_at_once, list_entry, raw_list_entry
from msgspec.structs import replace

from dahliabend.config import platform as config
from dahliabend.health_gossip.reports import HealthReport, UpstreamCounts
from dahliabend.leases.candidate_order import Candidate
from dahliabend.membership.messages import MemberStatus, Update
from dahliabend.model import Outcome
from dahliabend.server.metrics import Metrics
from dahliabend.server.operator_file_server import OperatorFileServer
from dahliabend.server.platform_server import PlatformServer
from dahliabend.transport.timers import clock

ANSWERS = "admin_answers.json"
COUNTS = "admin_counts.json"
SHAPES = "admin_shapes.json"

SETTINGS = {
    "balancers": 1,
    "discovery": "pushed",
    "localities": ["north"],
    "profiles": [
        {"name": "query", "service-goal": 1000, "hard-limit": 3000, "semantics": "idempotent"},
        {"name": "submit", "service-goal": 1000, "hard-limit": 3000, "semantics": "at_most_once"},
    ],
    "caps": {"most-hops": 3},
    "contract": {"cold-share": 0.5, "cold": 1000, "fall-multiple": 3},
}
OPERATOR_FILE = """
[members]
name = "b1"
address = "127.0.0.1:7946"
key-files = ["key"]
signals = true
probing = "4s"
[listeners.callers]
address = "127.0.0.1:8080"
[pools.plain]
members = [{ id = "u-0", address = "127.0.0.1:9" }, { id = "u-1", address = "127.0.0.1:10" }]
[pools.narrow]
members = [{ id = "n-0", address = "127.0.0.1:11" }, { id = "n-1", address = "127.0.0.1:12" }]
[pools.narrow.subset]
least = 2
[classes.query]
effect = "idempotent"
service-goal = "1s"
hard-limit = "2s"
[[routes]]
name = "all"
class = "query"
pool = "plain"
shared = true
rate = "100/s"
[[routes]]
name = "some"
path = "/some"
class = "query"
pool = "narrow"
"""
WITHOUT_MEMBERS = OPERATOR_FILE[OPERATOR_FILE.index("[listeners") :].replace("shared = true\n", "")

GET, PUT = "GET", "PUT"
ALL_CALLS = (
    (GET, "/api/ready"),
    (GET, "/api/telemetry"),
    (GET, "/api/members"),
    (GET, "/api/subsets"),
    (GET, "/api/signals"),
    (GET, "/api/turns"),
    (PUT, "/api/evacuate"),
    (PUT, "/api/rejoin"),
    (PUT, "/api/exclude"),
    (PUT, "/api/include"),
)
TARGET = '{"target":"s-1"}'
CALLS: tuple[tuple[str, str, str], ...] = (
    *((method, path, "") for method, path in ALL_CALLS),
    *((PUT if method == GET else GET, path, "") for method, path in ALL_CALLS),
    (GET, "/api/ready?a=b", ""),
    (GET, "/api/other", ""),
    (GET, "/", ""),
    (PUT, "/api/exclude", TARGET),
    (GET, "/api/telemetry", ""),
    (PUT, "/api/exclude", TARGET),
    (PUT, "/api/include", TARGET),
    (GET, "/api/telemetry", ""),
    (PUT, "/api/include", TARGET),
    (PUT, "/api/exclude", '{"target":"s-9"}'),
    (PUT, "/api/include", '{"target":"s-9"}'),
    (PUT, "/api/exclude", "[1]"),
    (PUT, "/api/exclude", '{"target":'),
    (PUT, "/api/exclude", "{}"),
    (PUT, "/api/exclude", '{"target":7}'),
    (PUT, "/api/exclude", '{"target":""}'),
    (PUT, "/api/evacuate", "x" * 9000),
)


class QuietLog:
    """A log that discards all events."""

    verbose = False

    def __call__(self, event: str, **fields: object) -> None: ...
    def debug(self, event: str, **fields: object) -> None: ...


def response_to(program: PlatformServer, text: str) -> str:
    """Return what a new admin connection writes after it has received a text."""
    operator = program.make_admin_connection()
    transport = FakeTransport(operator)
    feed_at_once(operator, text.encode())
    written = transport.take_written()
    operator.connection_lost(None)
    return written


def call_admin(program: PlatformServer, method: str, path: str, body: str = "") -> str:
    """Make a complete admin call; return the response."""
    return response_to(program, f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}")


def shape_of(value: object) -> object:
    """Replace each value by the name of its type, and each list by its first item."""
    if isinstance(value, dict):
        return {key: shape_of(item) for key, item in value.items()}
    if isinstance(value, list):
        return [shape_of(item) for item in value[:1]]
    return type(value).__name__


def platform_program(directory: Path) -> PlatformServer:
    """Return the program with a platform configuration and two upstreams."""
    path = directory / "proxy.json"
    tree = {"listen": "10.0.1.1:80", "discovery": "10.0.1.2:81", "seed": "7", "settings": SETTINGS}
    path.write_text(json.dumps(tree))
    program = PlatformServer(config.read_server_settings({"PROXY_CONFIG": str(path)}), {}, QuietLog())
    program.router.endpoints_changed([list_entry(raw_list_entry(number)) for number in range(2)], full=True)
    return program


def operator_program(directory: Path, text: str) -> OperatorFileServer:
    """Return the program with an operator file."""
    (directory / "key").write_text("k" * 32 + "\n")
    path = directory / "file.toml"
    path.write_text(text)
    return OperatorFileServer(str(path), {"DAHLIABEND_SEED": "7"}, QuietLog())


def add_cluster_state(program: OperatorFileServer) -> None:
    """Add the state that cluster calls show: present and departed members, health reports and leases."""
    cluster_member, exchange, now = program.cluster_member, program.cluster_member.gossip, clock()
    for name in ("b2", "b3", "b4", "b5"):
        alive = Update(name, 1, 1, MemberStatus.ALIVE, f"127.0.0.1:{name[1:]}", unreachable_peers=("b9",))
        cluster_member.protocol.store_update(now, alive, "")
        if name == "b5":
            cluster_member.protocol.store_update(now, replace(alive, status=MemberStatus.LEFT), "")
        else:
            exchange.gossip.report_table.merge(
                now, HealthReport(name, 1, 1, 0, 0, [UpstreamCounts("plain", "u-0", 200, 200)])
            )
    for _ in range(20):
        exchange.record_outcome("plain", "u-0", Outcome.FAILED)
    exchange.health_checks.tick(
        [Candidate("b1", zone=""), Candidate("b2", zone="")], True, program.pools.active_routers()
    )
    exchange.tick()


def run_in_event_loop(produce: Callable[[Path], dict]) -> dict:
    """Call `produce` with an empty directory inside an event loop; return its result."""

    async def run() -> dict:
        with tempfile.TemporaryDirectory() as directory:
            return produce(Path(directory))

    return asyncio.run(run())


def produce_responses(directory: Path) -> dict:
    """Return the response to each call, byte for byte, in the order of the calls."""
    program = platform_program(directory)
    results = [
        [f"{method} {path}", body[:40], call_admin(program, method, path, body)]
        for method, path, body in CALLS
    ]
    results.append(["not HTTP", "", response_to(program, "hello\r\n\r\n")])
    expecting = "PUT /api/exclude HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}"
    results.append(["Expect: 100-continue", "{}", response_to(program, expecting)])
    # The program is ready once it listens and has requested the endpoint list.
    program.discovery.first_attempt_finished = True
    program.listener.sock = program
    results.append(["GET /api/ready", "ready", call_admin(program, "GET", "/api/ready")])
    program.evacuate()
    results.append(["GET /api/ready", "evacuated", call_admin(program, "GET", "/api/ready")])
    return {"answers": results}


def produce_counts(directory: Path) -> dict:
    """Return the counters of a new program, and those in telemetry after responses of each status."""
    program = platform_program(directory)
    metrics = program.metrics
    for status in (200, 200, 400, 404, 405, 408, 409, 413, 429, 431, 500, 502, 503, 504):
        metrics.count_response(b"query", status)
    for _ in range(3):
        metrics.count_attempt(b"query")
    metrics.count_attempt(b"submit")
    metrics.count_response(b"gone", 503)
    metrics.open_requests, metrics.configs_accepted, metrics.configs_rejected = 4, 5, 6
    return {
        "new": Metrics().snapshot(),
        "counted": json.loads(
            call_admin(program, "GET", "/api/telemetry").partition("\r\n\r\n")[2].partition("<")[0]
        ),
    }


def produce_shapes(directory: Path) -> dict:
    """Return the status and the JSON types of each GET call of a program with an operator file."""
    results = {}
    for title, text in (("members", OPERATOR_FILE), ("no members", WITHOUT_MEMBERS)):
        program = operator_program(directory, text)
        if program.cluster_member is not None:
            add_cluster_state(program)
        for method, path in ALL_CALLS:
            if method == "GET":
                head, _, body = call_admin(program, method, path).partition("\r\n\r\n")
                content = json.loads(body.partition("<end")[0])
                results[f"{title}: {path}"] = [head.partition("\r\n")[0], shape_of(content)]
    return results


GOLDEN = {ANSWERS: produce_responses, COUNTS: produce_counts, SHAPES: produce_shapes}


@pytest.mark.parametrize("name", GOLDEN)
def test_responses_to_admin_calls_equal_the_golden_files(name: str) -> None:
    assert json.loads(as_json(run_in_event_loop(GOLDEN[name]))) == json.loads(read_golden(name))


def test_every_admin_call_of_the_program_is_in_the_golden_file() -> None:
    calls = run_in_event_loop(lambda directory: platform_program(directory).admin_api.calls)
    assert {(method.decode(), path.decode()) for path, (method, _) in calls.items()} == set(ALL_CALLS)


if __name__ == "__main__":
    for golden, produce in GOLDEN.items():
        write_golden(golden, as_json(run_in_event_loop(produce)))
