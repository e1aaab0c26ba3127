"""The operators' admin calls: bytes of each answer, and the keys and types of the larger JSON answers.

The program is built as it is at its start, but opens no socket; calls come through its admin connections.
"""

import asyncio
import json
import tempfile
from collections.abc import Callable
from pathlib import Path

import pytest
from golden_files import as_json, read_golden, write_golden
from http_harness import FakeTransport, feed_now, row_of, server
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
    """Takes the program's log lines and keeps none."""

    verbose = False

    def __call__(self, event: str, **fields: object) -> None: ...
    def debug(self, event: str, **fields: object) -> None: ...


def answer_to(program: PlatformServer, text: str) -> str:
    """All that an admin connection writes once this has come in."""
    operator = program.make_admin_connection()
    transport = FakeTransport(operator)
    feed_now(operator, text.encode())
    written = transport.take()
    operator.connection_lost(None)
    return written


def call(program: PlatformServer, method: str, path: str, body: str = "") -> str:
    """An operator's call, whole."""
    return answer_to(program, f"{method} {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n{body}")


def shape(value: object) -> object:
    """Keys as they are, and the type in place of each value; of a list the first item."""
    if isinstance(value, dict):
        return {key: shape(item) for key, item in value.items()}
    if isinstance(value, list):
        return [shape(item) for item in value[:1]]
    return type(value).__name__


def platform_program(directory: Path) -> PlatformServer:
    """The program as the platform's configuration has it, with two upstreams listed."""
    path = directory / "proxy.json"
    tree = {"listen": "10.0.1.1:80", "discovery": "10.0.1.2:81", "seed": "7", "settings": SETTINGS}
    path.write_text(json.dumps(tree))
    program = PlatformServer(config.read_server_settings({"PROXY_CONFIG": str(path)}), {}, QuietLog())
    program.router.endpoints_changed([row_of(server(number)) for number in range(2)], full=True)
    return program


def operator_program(directory: Path, text: str) -> OperatorFileServer:
    """The program as an operator's file has it."""
    (directory / "key").write_text("k" * 32 + "\n")
    path = directory / "file.toml"
    path.write_text(text)
    return OperatorFileServer(str(path), {"DAHLIABEND_SEED": "7"}, QuietLog())


def hear_others(program: OperatorFileServer) -> None:
    """Fills what the fleet's calls show: members here and gone, their reports, beliefs and leased tasks."""
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


def in_a_loop(act: Callable[[Path], dict]) -> dict:
    """What `act` returns, called within an event loop and given an empty directory."""

    async def run() -> dict:
        with tempfile.TemporaryDirectory() as directory:
            return act(Path(directory))

    return asyncio.run(run())


def answers(directory: Path) -> dict:
    """Each call's answer, byte for byte, in one order of calls."""
    program = platform_program(directory)
    found = [
        [f"{method} {path}", body[:40], call(program, method, path, body)] for method, path, body in CALLS
    ]
    found.append(["not HTTP", "", answer_to(program, "hello\r\n\r\n")])
    expecting = "PUT /api/exclude HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n{}"
    found.append(["Expect: 100-continue", "{}", answer_to(program, expecting)])
    # Ready once it listens and has asked for the list.
    program.discovery.first_attempt_finished = True
    program.listener.sock = program
    found.append(["GET /api/ready", "ready", call(program, "GET", "/api/ready")])
    program.evacuate()
    found.append(["GET /api/ready", "evacuated", call(program, "GET", "/api/ready")])
    return {"answers": found}


def counts(directory: Path) -> dict:
    """The counts after answers of each status, and what telemetry tells of them."""
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
            call(program, "GET", "/api/telemetry").partition("\r\n\r\n")[2].partition("<")[0]
        ),
    }


def shapes(directory: Path) -> dict:
    """Status and JSON of each call that reads, where an operator's file is in force."""
    found = {}
    for title, text in (("members", OPERATOR_FILE), ("no members", WITHOUT_MEMBERS)):
        program = operator_program(directory, text)
        if program.cluster_member is not None:
            hear_others(program)
        for method, path in ALL_CALLS:
            if method == "GET":
                head, _, body = call(program, method, path).partition("\r\n\r\n")
                told = json.loads(body.partition("<end")[0])
                found[f"{title}: {path}"] = [head.partition("\r\n")[0], shape(told)]
    return found


GOLDEN = {ANSWERS: answers, COUNTS: counts, SHAPES: shapes}


@pytest.mark.parametrize("name", GOLDEN)
def test_admin_calls_are_answered_as_before(name: str) -> None:
    assert json.loads(as_json(in_a_loop(GOLDEN[name]))) == json.loads(read_golden(name))


def test_every_call_that_the_program_knows_is_in_the_golden_file() -> None:
    known = in_a_loop(lambda directory: platform_program(directory).admin_api.calls)
    assert {(method.decode(), path.decode()) for path, (method, _) in known.items()} == set(ALL_CALLS)


if __name__ == "__main__":
    for golden, produce in GOLDEN.items():
        write_golden(golden, as_json(in_a_loop(produce)))
