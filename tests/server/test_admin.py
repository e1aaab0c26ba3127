"""What operators ask of the program, over sockets."""

from threading import Event

import pytest
from helpers import (
    PATIENCE,
    Agent,
    Caller,
    Upstream,
    answer,
    call,
    entry,
    is_ready,
    logged,
    program,
    replace,
    until,
)

from dahliabend.server.metrics import MAX_CLASSES, Metrics


def telemetry(process):
    return call(process.admin, "/api/telemetry")[1]


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/api/other", b"", 404), ("PUT", "/api/telemetry", b"", 405),
        ("GET", "/api/evacuate", b"", 405),
        ("PUT", "/api/rejoin", b"x" * 9000, 413), ("PUT", "/api/exclude", b"", 400),
        ("PUT", "/api/exclude", b"[1]", 400), ("PUT", "/api/exclude", b'{"target":', 400),
        ("PUT", "/api/include", b"{}", 400), ("PUT", "/api/exclude", b'{"target":7}', 400),
        ("PUT", "/api/exclude", b'{"target":"s-9"}', 404), ("PUT", "/api/include", b'{"target":"s-9"}', 404),
    ],
)  # fmt: skip
def test_a_faulty_call_gets_a_plain_no_and_changes_nothing(served, method, path, body, status):
    address, process = served
    got, headers = call(process.admin, path, method, body)
    assert got == status and is_ready(address) == 200
    assert status != 405 or headers["allow"] == ("GET" if "telemetry" in path else "PUT")


@pytest.fixture(scope="module")
def served():
    with program(Upstream()) as (address, process, _):
        yield address, process


def test_silent_and_half_sent_calls_keep_no_operator_out(served):
    silent = [Caller(served[1].admin) for _ in range(60)]
    for caller in silent[::2]:
        caller.sock.sendall(b"PUT /api/evac")
    assert [call(served[1].admin, "/api/ready")[0] for _ in range(5)] == [200] * 5
    assert silent[-1].read() is None  # it ends after a while


def test_a_call_in_pieces_is_understood(served):
    caller, head = Caller(served[1].admin), b"GET /api/ready?x HTTP/1.1\r\nExpect: 100-continue\r\n"
    for byte in head + b"Transfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\n\r\n":
        caller.sock.sendall(bytes([byte]))
    assert [caller.read()[0] for _ in range(2)] == [100, 200]


def test_the_figures_are_what_the_peers_saw():
    go, came, played = Event(), [], []

    def play(conn, request):
        came.append(request[0].split()[1][1:].partition("?")[0])
        played.append(conn)
        if len(played) % 5 == 0:
            return conn.sendall(answer(head="HTTP/1.1 503 No", extra="X-Never-Ran: 1\r\n")) is None
        if len(played) % 7 == 0:
            return False
        if request[1].get("x-wait"):
            go.wait(PATIENCE)
        return conn.sendall(answer()) is None

    with program(Upstream(play), Upstream(play)) as (address, process, _):
        seen = {name: {200: 0, 503: 0, 502: 0, 409: 0, 400: 0} for name in ("query", "submit", "upload")}

        def ask(count, name, method, **more):
            for n in range(count):
                status = Caller(address).ask(name, method, **{"trace": f"{name}{n}", **more})[0]
                seen[name][status] += 1

        ask(30, "query", "GET")
        ask(30, "submit", "POST")
        ask(1, "submit", "POST", expires="never")  # refused before it is taken
        held, gone = Caller(address), Caller(address)
        for caller, trace in ((held, "h"), (gone, "g")):
            caller.send("query", trace=trace, extra="X-Wait: 1\r\n")
        until(lambda: telemetry(process)["open_requests"] == 2)
        ask(1, "query", "GET", trace="h")  # that id is open
        gone.file.close()
        gone.sock.close()
        until(lambda: telemetry(process)["open_requests"] == 1)
        profiles = process.conf["settings"]["profiles"]
        settings = {**process.conf["settings"], "profiles": [profiles[0], {**profiles[1], "name": "upload"}]}
        replace(process, settings=settings)
        logged(process, "reloaded")
        replace(process, settings={**settings, "profiles": []})
        logged(process, "reload.refused")
        ask(9, "upload", "POST")
        go.set()
        seen["query"][held.read()[0]] += 1
        shown = until(lambda: (now := telemetry(process))["open_requests"] == 0 and now)
        for name, got in seen.items():
            counts = shown["operations"][name]
            assert counts["fulfilled"] == got[200] and counts["throttled"] == got[503]
            assert counts["faulted"] == got[502] + got[409] + got[400]
            assert counts["relayed"] == came.count(name)
        assert shown["relayed"] == len(came) and shown["registry_entries"] == 2
        assert (shown["cfg_accepted"], shown["cfg_invalid"]) == (1, 1)


def test_ever_new_classes_do_not_make_the_figures_grow():
    metrics = Metrics()
    for n in range(5 * MAX_CLASSES):
        metrics.set_active_classes([b"%d" % n, b"kept"])
        metrics.count_response(b"kept", 200)
    assert len(metrics.classes) == MAX_CLASSES and metrics.classes[b"kept"][0] == 5 * MAX_CLASSES


def test_an_evacuated_balancer_lets_callers_go_and_loses_nothing():
    go = Event()
    up = Upstream(
        lambda conn, request: (
            (not request[1].get("x-wait") or go.wait(PATIENCE)) and conn.sendall(answer()) is None
        )
    )
    with program(up) as (address, process, _):
        idle, busy = Caller(address), Caller(address)
        assert idle.ask(trace="i")[0] == 200
        busy.send(trace="b", extra="X-Wait: 1\r\n")
        until(lambda: telemetry(process)["open_requests"] == 1)
        assert [call(process.admin, "/api/evacuate", "PUT")[0] for _ in range(2)] == [200, 200]
        assert is_ready(address) == 503 and idle.read() is None
        late = Caller(address).ask(trace="l")
        assert late[0] == 200 and late[1]["connection"] == "close"
        go.set()
        got = busy.read()
        assert got[0] == 200 and got[1]["connection"] == "close" and busy.read() is None
        assert [call(process.admin, "/api/rejoin", "PUT")[0] for _ in range(2)] == [200, 200]
        again = Caller(address)
        assert is_ready(address) == 200 and "connection" not in again.ask(trace="a")[1]
        assert again.ask(trace="a2")[0] == 200


def test_an_excluded_upstream_gets_nothing_until_it_is_put_back_whatever_the_list_says():
    one, two = Upstream(), Upstream()
    agent = Agent(entry("s-1", one), entry("s-2", two))
    with program(one, two, agent=agent) as (address, process, _):
        caller, target = Caller(address), b'{"target":"s-1"}'

        def serves(count=8):
            return [caller.ask(trace=f"t{n}")[0] for n in range(count)] == [200] * count

        def listed(version, *servers, full=False):
            agent.tell(version, full, *servers)
            while logged(process, "list")["version"] < version:
                pass

        assert serves() and one.came.qsize()
        assert [call(process.admin, "/api/exclude", "PUT", target)[0] for _ in range(3)] == [200] * 3
        assert one.ended.get(timeout=PATIENCE)  # its idle connections close
        one.came.queue.clear()
        listed(2, entry("s-1", one, "draining"))
        listed(3, {"id": "s-1", "state": "removed"})
        assert serves() and telemetry(process)["out_of_rotation"] == 0
        listed(4, entry("s-1", one))
        listed(5, entry("s-1", one), entry("s-2", two), full=True)
        replace(process, settings={**process.conf["settings"], "balancers": 3})
        logged(process, "switched")
        assert serves() and one.came.empty() and telemetry(process)["out_of_rotation"] == 1
        assert call(process.admin, "/api/include", "PUT", target)[0] == 200  # once, however often it was out
        until(lambda: serves() and not one.came.empty())
        assert telemetry(process)["out_of_rotation"] == 0
