"""HTTP/1.1 on the wire: what a client sends, what upstreams get and answer, and what it gets back.

A step is a pair: who acts, and what comes in. What is then written to each connection is the golden part.
"""

import json
import re
import tempfile
from pathlib import Path

import pytest
from golden_files import as_json, read_golden, write_golden
from http_harness import Proxy, feed, node_of, stopped_clock

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

CLIENT, UPSTREAM, RESET, WAIT, EVACUATE, LEAVE = "client", "upstream", "reset", "wait", "evacuate", "leave"
ANOTHER = "another client"
Step = tuple[str, str | int]


def request(
    path: str = "/query/1?a=b", method: str = "GET", body: str = "", expires: str = "2000",
    trace: str = "t-1", extra: str = "", length: bool = True, version: str = "1.1",
) -> str:  # fmt: skip
    """A client's request."""
    head = f"{method} {path} HTTP/{version}\r\nHost: api.example\r\n"
    head += f"X-Trace-Id: {trace}\r\n" if trace else ""
    head += f"X-Expires-In-Ms: {expires}\r\n" if expires else ""
    head += f"Content-Length: {len(body)}\r\n" if body and length else ""
    return head + extra + "\r\n" + body


def response(status: str = "200 OK", body: str = "done", extra: str = "") -> str:
    """An upstream's answer."""
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n{body}"


NOT_RUN = response("503 Service Unavailable", "", "X-Never-Ran: 1\r\n")
HOP_HEADERS = (
    "Connection: keep-alive, X-Private\r\nX-Private: 1\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"
    "Proxy-Authorization: x\r\nProxy-Connection: close\r\nUpgrade-Insecure-Requests: 1\r\n"
    "Accept: */*\r\nX-Customer: gold\r\nX-Item: 17\r\nX-Second-Try: 1\r\nX-Own: kept\r\n"
)
ANSWER_HEADERS = (
    "Connection: X-Private\r\nX-Private: 1\r\nKeep-Alive: timeout=5\r\nX-Never-Ran: 0\r\n"
    "Endpoint-Load-Metrics: TEXT util=0.4\r\nDate: today\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
    "Content-Type: text/plain\r\n"
)
LONG = "x" * 70_000
LONG_RUN = re.compile("x{100,}")

CASES: dict[str, list[Step]] = {
    "answered": [(CLIENT, request()), (WAIT, 20), (UPSTREAM, response())],
    "answered, with headers on both sides": [
        (CLIENT, request(extra=HOP_HEADERS)), (UPSTREAM, response(extra=ANSWER_HEADERS)),
    ],
    "a body is passed on": [
        (CLIENT, request("/submit", "POST", "content")), (UPSTREAM, response(body="stored")),
    ],
    "an empty answer": [(CLIENT, request()), (UPSTREAM, response(body=""))],
    "a chunked body is measured": [
        (CLIENT, request("/submit", "POST", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", length=False,
                         extra="Transfer-Encoding: chunked\r\n")),
        (UPSTREAM, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    ],
    "an absolute target": [(CLIENT, request("http://api.example/query/1")), (UPSTREAM, response())],
    "expect: 100-continue": [
        (CLIENT, "POST /submit HTTP/1.1\r\nX-Trace-Id: t-1\r\nX-Expires-In-Ms: 900\r\n"
                 "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"),
        (CLIENT, "ab"), (UPSTREAM, "HTTP/1.1 100 Continue\r\n\r\n"), (UPSTREAM, response()),
    ],
    "two requests ahead of answers": [
        (CLIENT, request() + request(trace="t-2", extra="Connection: close\r\n")),
        (UPSTREAM, response(body="1")), (UPSTREAM, response(body="2")),
    ],
    "http/1.0": [(CLIENT, request(version="1.0")), (UPSTREAM, response())],
    "the upstream closes": [(CLIENT, request()), (UPSTREAM, response(extra="Connection: close\r\n"))],
    "retried where it never ran": [
        (CLIENT, request("/submit", "POST", "once")), (WAIT, 30), (UPSTREAM, NOT_RUN), (UPSTREAM, response()),
    ],
    "rejected: nobody takes it": [
        (CLIENT, request("/submit", "POST", "once")), (UPSTREAM, NOT_RUN), (UPSTREAM, NOT_RUN),
        (UPSTREAM, NOT_RUN),
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
    "failed: no answer in time": [(CLIENT, request("/submit", "POST", "once", expires="500")), (WAIT, 600)],
    "failed: an answer that can't be read": [
        (CLIENT, request("/submit", "POST", "once")), (UPSTREAM, "what?\r\n\r\n"),
    ],
    "the limit of the class holds": [(CLIENT, request(expires="60000")), (UPSTREAM, response())],
    "one of a key at a time": [
        (CLIENT, request("/ordered", extra="X-Item: 5\r\n")),
        (ANOTHER, request("/ordered", extra="X-Item: 5\r\n", trace="t-2")),
        (UPSTREAM, response(body="1")), (UPSTREAM, response(body="2")),
    ],
    "an id that is open": [(CLIENT, request()), (ANOTHER, request()), (UPSTREAM, response())],
    "the client leaves": [(CLIENT, request()), (LEAVE, "")],
    "a long answer of known length": [
        (CLIENT, request()), (UPSTREAM, response(body=LONG, extra="X-Own: kept\r\n")),
    ],
    "a long answer in chunks": [
        (CLIENT, request()),
        (UPSTREAM, f"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{len(LONG):x}\r\n{LONG}\r\n"),
        (UPSTREAM, "3\r\nend\r\n0\r\n\r\n"),
    ],
    "a long answer that is cut": [
        (CLIENT, request()), (UPSTREAM, response(body=LONG)[:-10]), (RESET, ""),
    ],
    "a long body of known length": [
        (CLIENT, request("/submit", "POST", LONG)), (UPSTREAM, response()),
    ],
    "a long body in chunks": [
        (CLIENT, request("/submit", "POST", f"{len(LONG):x}\r\n{LONG}\r\n", length=False,
                         extra="Transfer-Encoding: chunked\r\n")),
        (CLIENT, "2\r\nyz\r\n0\r\n\r\n"), (UPSTREAM, response()),
    ],
    "ready": [(CLIENT, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")],
    "not ready, evacuated": [(EVACUATE, ""), (CLIENT, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")],
    "answered while evacuated": [(EVACUATE, ""), (CLIENT, request()), (UPSTREAM, response())],
    "malformed: no HTTP": [(CLIENT, "hello\r\n\r\n")],
    "malformed: behind an answered request": [
        (CLIENT, request()), (UPSTREAM, response()), (CLIENT, "GET\r\n\r\n"),
    ],
    "malformed: no id": [(CLIENT, request(trace=""))],
    "malformed: an id too long": [(CLIENT, request(trace="t" * 129))],
    "malformed: two ids": [(CLIENT, request(extra="X-Trace-Id: t-2\r\n"))],
    "malformed: no time": [(CLIENT, request(expires=""))],
    "malformed: time is no number": [(CLIENT, request(expires="soon"))],
    "malformed: no time left": [(CLIENT, request(expires="0"))],
    "malformed: an upgrade": [(CLIENT, request(extra="Connection: upgrade\r\nUpgrade: websocket\r\n"))],
    "no such class": [(CLIENT, request("/other"))],
    "no such method": [(CLIENT, request(method="DELETE"))],
    "a body too long": [(CLIENT, "POST /submit HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n")],
    "a head too long": [(CLIENT, request(extra=f"X-Own: {'x' * 17000}\r\n"))],
    "half a request": [(CLIENT, request()[:-4]), (WAIT, 2600)],
    "half a request behind an answered one": [
        (CLIENT, request()), (UPSTREAM, response()), (CLIENT, "GET /que"), (WAIT, 2600),
    ],
}  # fmt: skip


class UpstreamRequest:
    """One case as it is played: the connections and what was written to them."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy, self.clients = proxy, {CLIENT: proxy.client(), ANOTHER: proxy.client()}
        self.waiting: list = []  # connections to upstreams with a request out, the oldest first

    def act(self, who: str, what: str | int) -> None:
        if who in self.clients:
            feed(self.clients[who][0], str(what).encode(), self.proxy.loop)
        elif who == UPSTREAM:
            link = self.waiting[0]
            feed(link, str(what).encode(), self.proxy.loop)
        elif who == RESET:
            self.waiting.pop(0).connection_lost(None)
        elif who == WAIT:
            self.proxy.advance(int(what))
        elif who == EVACUATE:
            self.proxy.router.evacuated = True
        else:
            self.clients[CLIENT][0].connection_lost(None)
        self.proxy.loop.turn()

    def written(self) -> dict[str, str]:
        """What stands newly on each connection."""
        found = {}
        for name, link, text in self.proxy.asked():
            found[f"to {name}"] = shortened(text)
            if link not in self.waiting:
                self.waiting.append(link)
        for who, (_, transport) in self.clients.items():
            if text := transport.take():
                found[f"to {who}"] = shortened(text)
        self.waiting = [link for link in self.waiting if link.handler is not None]
        return found


def shortened(text: str) -> str:
    """With each long run of filling replaced by its length."""
    return LONG_RUN.sub(lambda run: f"{{{len(run[0])} times x}}", text)


def counted(proxy: Proxy) -> dict[str, dict[str, int]]:
    """The operators' counts by class, without those at zero."""
    counts = {
        name: {kind: count for kind, count in kinds.items() if count}
        for name, kinds in proxy.metrics.snapshot()["operations"].items()
    }
    return {name: kinds for name, kinds in counts.items() if kinds}


def play(case: str, path: str, upstreams: int = 3) -> list:
    """The steps of a case, each with what is written then."""
    with stopped_clock() as fake_clock:
        proxy = Proxy(fake_clock, node_of(SETTINGS, path), upstreams)
        exchange, played = UpstreamRequest(proxy), []
        for who, what in CASES[case]:
            exchange.act(who, what)
            played.append([who, shortened(str(what)), exchange.written()])
        played.append(["counts", counted(proxy), dict(proxy.router.counts)])
        return played


def probes(path: str) -> dict:
    """A probe's request and outcome by what the upstream answers, with and without a load report."""
    answers = {
        "healthy": response(body="ok"),
        "with load": response(body="TEXT util=0.25, queue=3, x=1"),
        "ill": response("503 Service Unavailable", "no"),
        "never ran": NOT_RUN,
        "unreadable": "what?\r\n\r\n",
    }
    found = {}
    for source in ("on_probe", "off"):
        for title, text in answers.items():
            with stopped_clock() as fake_clock:
                settings = {**SETTINGS, "report": {**SETTINGS["report"], "source": source}}
                proxy = Proxy(fake_clock, node_of(settings, path), 1)
                told: list = []
                policy = proxy.router.policies[-1]
                upstream = proxy.router.table.get_or_create("s-0")
                policy.start_health_check(upstream, lambda _, outcome, told=told: told.append(int(outcome)))
                ((_, link, asked),) = proxy.asked()
                feed(link, text.encode(), proxy.loop)
                proxy.loop.turn()
                found[f"{source}: {title}"] = {"request": asked, "outcome": told}
    return found


def unserved(path: str) -> list:
    """A request while the list has no upstream."""
    with stopped_clock() as fake_clock:
        proxy = Proxy(fake_clock, node_of(SETTINGS, path), 0)
        exchange = UpstreamRequest(proxy)
        texts = []
        for text in (request(), request("/submit", "POST", "once"), "GET /-/ready HTTP/1.1\r\n\r\n"):
            exchange.act(CLIENT, text)
            texts.append([text, exchange.written()])
        return texts


def produce() -> str:
    """All cases as text."""
    with tempfile.TemporaryDirectory() as directory:
        path = str(Path(directory) / "proxy.json")
        cases = {case: play(case, path) for case in CASES}
        return as_json({**cases, "no upstream": unserved(path), "probes": probes(path)})


GOLDEN_CASES = json.loads(read_golden(GOLDEN)) if __name__ != "__main__" else {}


@pytest.mark.parametrize("case", CASES)
def test_an_exchange_stands_on_the_wire_as_before(case: str, tmp_path: Path) -> None:
    assert json.loads(as_json(play(case, str(tmp_path / "proxy.json")))) == GOLDEN_CASES[case]


def test_without_an_upstream_requests_are_rejected_as_before(tmp_path: Path) -> None:
    assert unserved(str(tmp_path / "proxy.json")) == GOLDEN_CASES["no upstream"]


def test_a_probe_is_asked_and_read_as_before(tmp_path: Path) -> None:
    assert probes(str(tmp_path / "proxy.json")) == GOLDEN_CASES["probes"]


def test_outcomes_have_the_numbers_of_the_golden_file() -> None:
    assert (Outcome.SUCCEEDED, Outcome.FAILED, Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.RESET) == (
        1, 2, 3, 5, 6,
    )  # fmt: skip


if __name__ == "__main__":
    write_golden(GOLDEN, produce())
