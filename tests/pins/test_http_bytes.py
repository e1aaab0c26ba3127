"""HTTP/1.1 on the wire: requests of clients, their forms at upstreams, and responses on both sides.

A step is a pair of an actor and the data that it sends. The golden file has what is then written to each
connection.
"""

import json
import re
import tempfile
from pathlib import Path

import pytest
from golden_files import as_json, read_golden, write_golden
from http_harness import FakeProxy, feed, server_settings_of, stopped_clock

from dahliabend.model import Outcome

GOLDEN = "http_exchanges.json"
SETTINGS = {
    "balancers": 1, "discovery": "pushed", "self-index": 0, "localities": ["north"],
    "profiles": [
        {"name": "query", "service-goal": 1000, "hard-limit": 3000, "semantics": "idempotent"},
        {"name": "amend", "service-goal": 1000, "hard-limit": 3000, "semantics": "deduplicated",
         "dedup-window": 2000, "group": "all"},
        {"name": "submit", "service-goal": 1000, "hard-limit": 3000, "semantics": "at_most_once"},
        {"name": "ordered", "service-goal": 1000, "hard-limit": 3000, "semantics": "idempotent",
         "in-order": True},
    ],
    "tenants": [{"name": "gold", "allowance-per-s": 100}],
    "report": {"fields": ["util", "queue"], "source": "on_probe"},
    "caps": {"most-hops": 3, "may-cancel": True, "probing": True, "retry-after": True,
             "max-retry-after": 3000, "conn-idle": 15000, "dial-timeout": 200},
    "contract": {"cold-share": 0.5, "cold": 1000, "fall-multiple": 3, "order-pause": 50},
}  # fmt: skip

CLIENT, UPSTREAM, RESET, WAIT, EVACUATE, DISCONNECT = (
    "client",
    "upstream",
    "reset",
    "wait",
    "evacuate",
    "leave",
)
SECOND_CLIENT = "another client"
Step = tuple[str, str | int]


def request(
    path: str = "/query/1?a=b", method: str = "GET", body: str = "", timeout_ms: str = "2000",
    trace_id: str = "t-1", headers: str = "", is_sized: bool = True, version: str = "1.1",
) -> str:  # fmt: skip
    """Return a client's request."""
    head = f"{method} {path} HTTP/{version}\r\nHost: api.example\r\n"
    head += f"X-Trace-Id: {trace_id}\r\n" if trace_id else ""
    head += f"X-Expires-In-Ms: {timeout_ms}\r\n" if timeout_ms else ""
    head += f"Content-Length: {len(body)}\r\n" if body and is_sized else ""
    return head + headers + "\r\n" + body


def response(status: str = "200 OK", body: str = "done", headers: str = "") -> str:
    """Return an upstream's response."""
    return f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n{body}"


NOT_EXECUTED = response("503 Service Unavailable", "", "X-Never-Ran: 1\r\n")
REQUEST_HEADERS = (
    "Connection: keep-alive, X-Private\r\nX-Private: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"
    "Proxy-Authorization: x\r\nProxy-Connection: close\r\nUpgrade-Insecure-Requests: 1\r\n"
    "Accept: */*\r\nX-Customer: gold\r\nX-Item: 17\r\nX-Second-Try: 1\r\nX-Own: kept\r\n"
)
RESPONSE_HEADERS = (
    "Connection: X-Private\r\nX-Private: 1\r\nKeep-Alive: timeout=5\r\nX-Never-Ran: 0\r\n"
    "Endpoint-Load-Metrics: TEXT util=0.4\r\nDate: today\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
    "Content-Type: text/plain\r\n"
)
LONG_BODY = "x" * 70_000
LONG_RUN = re.compile("x{100,}")

CASES: dict[str, list[Step]] = {
    "answered": [(CLIENT, request()), (WAIT, 20), (UPSTREAM, response())],
    "answered, with headers on both sides": [
        (CLIENT, request(headers=REQUEST_HEADERS)), (UPSTREAM, response(headers=RESPONSE_HEADERS)),
    ],
    "a body is passed on": [
        (CLIENT, request("/submit", "POST", "content")), (UPSTREAM, response(body="stored")),
    ],
    "an empty answer": [(CLIENT, request()), (UPSTREAM, response(body=""))],
    "a chunked body is measured": [
        (CLIENT, request("/submit", "POST", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", is_sized=False,
                         headers="Transfer-Encoding: chunked\r\n")),
        (UPSTREAM, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    ],
    "an absolute target": [(CLIENT, request("http://api.example/query/1")), (UPSTREAM, response())],
    "expect: 100-continue": [
        (CLIENT, "POST /submit HTTP/1.1\r\nX-Trace-Id: t-1\r\nX-Expires-In-Ms: 900\r\n"
                 "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"),
        (CLIENT, "ab"), (UPSTREAM, "HTTP/1.1 100 Continue\r\n\r\n"), (UPSTREAM, response()),
    ],
    "two requests ahead of answers": [
        (CLIENT, request() + request(trace_id="t-2", headers="Connection: close\r\n")),
        (UPSTREAM, response(body="1")), (UPSTREAM, response(body="2")),
    ],
    "http/1.0": [(CLIENT, request(version="1.0")), (UPSTREAM, response())],
    "the upstream closes": [(CLIENT, request()), (UPSTREAM, response(headers="Connection: close\r\n"))],
    "retried where it never ran": [
        (CLIENT, request("/submit", "POST", "once")), (WAIT, 30), (UPSTREAM, NOT_EXECUTED),
        (UPSTREAM, response()),
    ],
    "rejected: nobody takes it": [
        (CLIENT, request("/submit", "POST", "once")), (UPSTREAM, NOT_EXECUTED), (UPSTREAM, NOT_EXECUTED),
        (UPSTREAM, NOT_EXECUTED),
    ],
    "retried after an error, idempotent": [
        (CLIENT, request()), (WAIT, 250), (UPSTREAM, response("500 Internal Server Error", "bad")),
        (UPSTREAM, response()),
    ],
    "rejected after errors, idempotent": [
        (CLIENT, request()), (UPSTREAM, response("500 Internal Server Error")),
        (UPSTREAM, response("404 Not Found")),
    ],
    "retried after a reset, deduplicated": [
        (CLIENT, request("/amend", "POST", "new")), (RESET, ""), (UPSTREAM, response()),
    ],
    "rejected after resets, deduplicated in all": [
        (CLIENT, request("/amend", "POST", "new")), (RESET, ""), (RESET, ""),
    ],
    "failed: an error, at most once": [
        (CLIENT, request("/submit", "POST", "once")), (UPSTREAM, response("500 Internal Server Error")),
    ],
    "failed: a reset, at most once": [(CLIENT, request("/submit", "POST", "once")), (RESET, "")],
    "failed: no answer in time": [
        (CLIENT, request("/submit", "POST", "once", timeout_ms="500")), (WAIT, 600),
    ],
    "failed: an answer that can't be read": [
        (CLIENT, request("/submit", "POST", "once")), (UPSTREAM, "what?\r\n\r\n"),
    ],
    "the limit of the class holds": [(CLIENT, request(timeout_ms="60000")), (UPSTREAM, response())],
    "one of a key at a time": [
        (CLIENT, request("/ordered", headers="X-Item: 5\r\n")),
        (SECOND_CLIENT, request("/ordered", headers="X-Item: 5\r\n", trace_id="t-2")),
        (UPSTREAM, response(body="1")), (UPSTREAM, response(body="2")),
    ],
    "an id that is open": [(CLIENT, request()), (SECOND_CLIENT, request()), (UPSTREAM, response())],
    "the client leaves": [(CLIENT, request()), (DISCONNECT, "")],
    "a long answer of known length": [
        (CLIENT, request()), (UPSTREAM, response(body=LONG_BODY, headers="X-Own: kept\r\n")),
    ],
    "a long answer in chunks": [
        (CLIENT, request()),
        (UPSTREAM, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   f"{len(LONG_BODY):x}\r\n{LONG_BODY}\r\n"),
        (UPSTREAM, "3\r\nend\r\n0\r\n\r\n"),
    ],
    "a long answer that is cut": [
        (CLIENT, request()), (UPSTREAM, response(body=LONG_BODY)[:-10]), (RESET, ""),
    ],
    "a long body of known length": [
        (CLIENT, request("/submit", "POST", LONG_BODY)), (UPSTREAM, response()),
    ],
    "a long body in chunks": [
        (CLIENT, request("/submit", "POST", f"{len(LONG_BODY):x}\r\n{LONG_BODY}\r\n", is_sized=False,
                         headers="Transfer-Encoding: chunked\r\n")),
        (CLIENT, "2\r\nyz\r\n0\r\n\r\n"), (UPSTREAM, response()),
    ],
    "ready": [(CLIENT, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")],
    "not ready, evacuated": [(EVACUATE, ""), (CLIENT, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")],
    "answered while evacuated": [(EVACUATE, ""), (CLIENT, request()), (UPSTREAM, response())],
    "malformed: no HTTP": [(CLIENT, "hello\r\n\r\n")],
    "malformed: behind an answered request": [
        (CLIENT, request()), (UPSTREAM, response()), (CLIENT, "GET\r\n\r\n"),
    ],
    "malformed: no id": [(CLIENT, request(trace_id=""))],
    "malformed: an id too long": [(CLIENT, request(trace_id="t" * 129))],
    "malformed: two ids": [(CLIENT, request(headers="X-Trace-Id: t-2\r\n"))],
    "malformed: no time": [(CLIENT, request(timeout_ms=""))],
    "malformed: time is no number": [(CLIENT, request(timeout_ms="soon"))],
    "malformed: no time left": [(CLIENT, request(timeout_ms="0"))],
    "malformed: an upgrade": [(CLIENT, request(headers="Connection: upgrade\r\nUpgrade: websocket\r\n"))],
    "no such class": [(CLIENT, request("/other"))],
    "no such method": [(CLIENT, request(method="DELETE"))],
    "a body too long": [(CLIENT, "POST /submit HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n")],
    "a head too long": [(CLIENT, request(headers=f"X-Own: {'x' * 17000}\r\n"))],
    "half a request": [(CLIENT, request()[:-4]), (WAIT, 2600)],
    "half a request behind an answered one": [
        (CLIENT, request()), (UPSTREAM, response()), (CLIENT, "GET /que"), (WAIT, 2600),
    ],
}  # fmt: skip


class Exchange:
    """The connections of one case, and what is written to them."""

    def __init__(self, proxy: FakeProxy) -> None:
        self.proxy, self.clients = proxy, {CLIENT: proxy.client(), SECOND_CLIENT: proxy.client()}
        self.busy_connections: list = []  # upstream connections with a request in flight, oldest first

    def apply_step(self, actor: str, data: str | int) -> None:
        if actor in self.clients:
            feed(self.clients[actor][0], str(data).encode(), self.proxy.loop)
        elif actor == UPSTREAM:
            connection = self.busy_connections[0]
            feed(connection, str(data).encode(), self.proxy.loop)
        elif actor == RESET:
            self.busy_connections.pop(0).connection_lost(None)
        elif actor == WAIT:
            self.proxy.advance(int(data))
        elif actor == EVACUATE:
            self.proxy.router.evacuated = True
        else:
            self.clients[CLIENT][0].connection_lost(None)
        self.proxy.loop.run_callbacks()

    def take_writes(self) -> dict[str, str]:
        """Return what was written to each connection since the last call."""
        writes = {}
        for name, connection, text in self.proxy.take_upstream_writes():
            writes[f"to {name}"] = abbreviate(text)
            if connection not in self.busy_connections:
                self.busy_connections.append(connection)
        for actor, (_, transport) in self.clients.items():
            if text := transport.take_written():
                writes[f"to {actor}"] = abbreviate(text)
        self.busy_connections = [
            connection for connection in self.busy_connections if connection.handler is not None
        ]
        return writes


def abbreviate(text: str) -> str:
    """Replace each long run of `x` by its length."""
    return LONG_RUN.sub(lambda run: f"{{{len(run[0])} times x}}", text)


def nonzero_counts(proxy: FakeProxy) -> dict[str, dict[str, int]]:
    """Return the nonzero telemetry counters of each request class."""
    counts = {
        name: {counter: count for counter, count in class_counts.items() if count}
        for name, class_counts in proxy.metrics.snapshot()["operations"].items()
    }
    return {name: class_counts for name, class_counts in counts.items() if class_counts}


def run_case(case: str, path: str, upstreams: int = 3) -> list:
    """Run a case; return its steps, each with what was written, and the counters at the end."""
    with stopped_clock() as fake_clock:
        proxy = FakeProxy(fake_clock, server_settings_of(SETTINGS, path), upstreams)
        exchange, results = Exchange(proxy), []
        for actor, data in CASES[case]:
            exchange.apply_step(actor, data)
            results.append([actor, abbreviate(str(data)), exchange.take_writes()])
        results.append(["counts", nonzero_counts(proxy), dict(proxy.router.counts)])
        return results


def run_health_checks(path: str) -> dict:
    """Return the request and outcome of health checks, by source of load reports and kind of response."""
    responses = {
        "healthy": response(body="ok"),
        "with load": response(body="TEXT util=0.25, queue=3, x=1"),
        "ill": response("503 Service Unavailable", "no"),
        "never ran": NOT_EXECUTED,
        "unreadable": "what?\r\n\r\n",
    }
    results = {}
    for source in ("on_probe", "off"):
        for title, text in responses.items():
            with stopped_clock() as fake_clock:
                settings = {**SETTINGS, "report": {**SETTINGS["report"], "source": source}}
                proxy = FakeProxy(fake_clock, server_settings_of(settings, path), 1)
                outcomes: list = []
                policy = proxy.router.policies[-1]
                upstream = proxy.router.table.get_or_create("s-0")
                policy.start_health_check(
                    upstream, lambda _, outcome, outcomes=outcomes: outcomes.append(int(outcome))
                )
                ((_, connection, written),) = proxy.take_upstream_writes()
                feed(connection, text.encode(), proxy.loop)
                proxy.loop.run_callbacks()
                results[f"{source}: {title}"] = {"request": written, "outcome": outcomes}
    return results


def requests_without_upstream(path: str) -> list:
    """Return requests and their responses while the endpoint list is empty."""
    with stopped_clock() as fake_clock:
        proxy = FakeProxy(fake_clock, server_settings_of(SETTINGS, path), 0)
        exchange = Exchange(proxy)
        exchanges = []
        for text in (request(), request("/submit", "POST", "once"), "GET /-/ready HTTP/1.1\r\n\r\n"):
            exchange.apply_step(CLIENT, text)
            exchanges.append([text, exchange.take_writes()])
        return exchanges


def produce() -> str:
    """Return the text of the golden file: all cases."""
    with tempfile.TemporaryDirectory() as directory:
        path = str(Path(directory) / "proxy.json")
        cases = {case: run_case(case, path) for case in CASES}
        return as_json(
            {**cases, "no upstream": requests_without_upstream(path), "probes": run_health_checks(path)}
        )


GOLDEN_CASES = json.loads(read_golden(GOLDEN)) if __name__ != "__main__" else {}


@pytest.mark.parametrize("case", CASES)
def test_bytes_written_in_each_case_equal_the_golden_file(case: str, tmp_path: Path) -> None:
    assert json.loads(as_json(run_case(case, str(tmp_path / "proxy.json")))) == GOLDEN_CASES[case]


def test_requests_without_an_upstream_are_rejected_as_in_the_golden_file(tmp_path: Path) -> None:
    assert requests_without_upstream(str(tmp_path / "proxy.json")) == GOLDEN_CASES["no upstream"]


def test_health_check_requests_and_outcomes_equal_the_golden_file(tmp_path: Path) -> None:
    assert run_health_checks(str(tmp_path / "proxy.json")) == GOLDEN_CASES["probes"]


def test_outcomes_keep_the_numbers_used_in_the_golden_file() -> None:
    assert (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.RESET) == (
        1, 2, 3, 5, 6,
    )  # fmt: skip


if __name__ == "__main__":
    write_golden(GOLDEN, produce())
