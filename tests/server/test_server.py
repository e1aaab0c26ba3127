"""The program, started and spoken to over sockets."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack, closing
from queue import Empty
from threading import Event
from types import SimpleNamespace

import pytest
from helpers import (
    CONF,
    PATIENCE,
    Agent,
    Caller,
    Server,
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

SETTLE = CONF["caps"]["dial-timeout"] / 8 / 1000  # seconds in which a second answer may still come


def test_a_transaction_passes_unchanged_and_connections_are_kept():
    up = Upstream()
    with program(up) as (address, _, _):
        caller, body = Caller(address), b"x" * 65536
        for trace in ("t1", "t2"):
            got = caller.ask(
                "submit", "POST", body, "1500", trace, extra="X-Own: 7\r\nConnection: x-hop\r\nX-Hop: 1\r\n"
            )
            assert got[0] == 200 and got[2] == body
            first, headers, sent = up.came.get(timeout=PATIENCE)
            assert first == "POST /submit?a=b HTTP/1.1" and sent == body and headers["x-trace-id"] == trace
            assert 0 < int(headers["x-expires-in-ms"]) <= 1500
            assert headers["x-own"] == "7" and "x-hop" not in headers
            time.sleep(SETTLE)
        assert len(up.open) == 1


def closed(conn, request):
    return False


def cut(conn, request):
    conn.sendall(answer(b"whole", extra="")[:-2])


def endless(conn, request):
    conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nno length, so no end but the connection's")


def says(head, extra="", body=b""):
    return lambda conn, request: conn.sendall(answer(body, head, extra)) is None


UNRUN = "X-Never-Ran: 1\r\n"


@pytest.mark.parametrize(
    ("play", "again"),
    [
        (closed, False), (cut, False), (endless, False), (says("HTTP/1.1 500 No"), False),
        (says("HTTP/1.1 503 No"), False), (says("HTTP/1.1 400 No", UNRUN), False),
        (says("HTTP/1.1 200 OK", "Content-Length: 33554433\r\n"), False), (says("rubbish"), False),
        (says("HTTP/1.1 503 No", UNRUN), True), (says("HTTP/1.1 504 No", UNRUN), True),
    ],
)  # fmt: skip
def test_what_may_have_run_is_never_sent_again_and_what_never_ran_is(play, again):
    asked = []

    def first_only(conn, request):
        asked.append(request)
        return play(conn, request) if len(asked) == 1 else conn.sendall(answer()) is None

    with program(Upstream(first_only), Upstream(first_only)) as (address, _, _):
        status = Caller(address).ask("submit", "POST", b"x")[0]
        assert (status, len(asked)) == ((200, 2) if again else (502, 1))


def test_an_answer_longer_than_a_request_may_be_is_passed_on_whole():
    with program(Upstream(says("HTTP/1.1 200 OK", body=b"x" * 380_000))) as (address, _, _):
        assert Caller(address).ask("submit", "POST")[::2] == (200, b"x" * 380_000)


def test_a_refused_connection_is_a_hop_that_never_ran():
    with (
        socket.socket() as bound,
        program(up := Upstream(), ready=False, agent=Agent()) as (address, _, agent),
    ):
        bound.bind(("127.0.0.1", 0))  # and not listening: nobody else can get this port
        dead = SimpleNamespace(address=f"127.0.0.1:{bound.getsockname()[1]}")
        agent.asked.get(timeout=PATIENCE)
        agent.tell(2, True, entry("s-0", dead), entry("s-1", up))
        assert until(lambda: is_ready(address) == 200)
        assert [Caller(address).ask("submit", "POST", trace=f"t{n}")[0] for n in range(4)] == [200] * 4


def test_a_silent_upstream_costs_the_hop_and_the_caller_is_answered_by_its_limit():
    silent = Event()
    with program(Upstream(lambda conn, request: silent.wait(PATIENCE))) as (address, _, _):
        caller = Caller(address)
        assert caller.ask("submit", "POST", expires="300")[0] == 502
        got = caller.ask("query", expires="300")
        assert got[0] == 503 and 0 < float(got[1]["retry-after"]) <= 3
        silent.set()


def test_a_connection_that_never_comes_up_ends_in_time():
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full, ExitStack() as stack:
        for _ in range(4):  # its queue is full: the system drops what comes now, and says nothing
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(full.getsockname())
        silent = SimpleNamespace(address=f"127.0.0.1:{full.getsockname()[1]}", close=lambda: None)
        with program(silent) as (address, _, _):
            assert Caller(address).ask("submit", "POST")[0] == 503
            assert Caller(address).ask("submit", "POST", expires="90")[0] == 503


GOOD = "POST /submit HTTP/1.1\r\nX-Trace-Id: t\r\nX-Expires-In-Ms: 900\r\n"


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        ("rubbish\r\n\r\n", 400), ("\x16\x03\x01\x02\x00\x01\x00", 400),
        (GOOD.replace("X-Trace-Id: t\r\n", "") + "\r\n", 400),
        (GOOD.replace("submit", "other") + "\r\n", 404),
        (GOOD.replace("900", "soon") + "\r\n", 400), (GOOD.replace("900", "0") + "\r\n", 400),
        (GOOD.replace("900", "-5") + "\r\n", 400),
        (GOOD.replace("X-Expires-In-Ms: 900\r\n", "") + "\r\n", 400),
        (GOOD + "X-Expires-In-Ms: 800\r\n\r\n", 400), (GOOD + "Content-Length: 33554433\r\n\r\n", 413),
        (GOOD + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (GOOD + "Transfer-Encoding: chunked\r\n\r\n" + ("80000\r\n" + "x" * (1 << 19) + "\r\n") * 65, 413),
        (GOOD + "X-Long: " + "x" * 20000 + "\r\n\r\n", 431), (GOOD + "X-Endless: " + "x" * 40000, 431),
        (GOOD + "Upgrade: h2c\r\nConnection: upgrade\r\nContent-Length: 2\r\n\r\nok", 400),
        ("DELETE" + GOOD[4:] + "\r\n", 405),
        ("GET /-/other HTTP/1.1\r\n\r\n", 404), ("GET " + "/x" * 20000 + " HTTP/1.1\r\n\r\n", 431),
    ],
)  # fmt: skip
def test_callers_faults_get_a_plain_answer_and_harm_no_other(served, raw, status):
    address, up = served
    other, bad = Caller(address), Caller(address)
    bad.sock.sendall(raw.encode("latin-1"))
    got = bad.read()
    assert (
        got[0] == status and other.ask()[0] == 200 and up.came.get(timeout=PATIENCE)[1]["x-trace-id"] == "t1"
    )


@pytest.fixture(scope="module")
def served():
    up = Upstream()
    with program(up) as (address, _, _):
        yield address, up


def test_pipelined_and_trickled_requests_are_answered_in_order(served):
    address, up = served
    caller = Caller(address)
    raw = (GOOD + "Content-Length: 1\r\n\r\n%d").encode()
    caller.sock.sendall(b"".join(raw % n for n in range(5)))
    assert [caller.read()[2] for _ in range(5)] == [b"%d" % n for n in range(5)]
    for n in raw % 7:
        caller.sock.sendall(bytes([n]))
    assert caller.read()[::2] == (200, b"7")
    for _ in range(6):
        up.came.get(timeout=PATIENCE)


def test_an_id_that_is_open_is_refused_and_the_first_is_not_disturbed():
    go = Event()
    up = Upstream(lambda conn, request: go.wait(PATIENCE) and conn.sendall(answer(b"first")) is None)
    with program(up) as (address, _, _):
        first, other = Caller(address), Caller(address)
        first.send("submit", "POST")
        up.came.get(timeout=PATIENCE)
        assert other.ask("submit", "POST")[0] == 409 and up.came.empty()
        go.set()
        assert first.read()[::2] == (200, b"first") and other.ask("submit", "POST")[0] == 200


def test_a_caller_that_asked_once_and_stays_is_closed(served):
    caller = Caller(served[0])
    assert caller.ask()[0] == 200 and served[1].came.get(timeout=PATIENCE) and caller.read() is None


def test_a_caller_that_leaves_takes_its_hop_with_it():
    up = Upstream(lambda conn, request: True)
    with program(up) as (address, _, _):
        caller = Caller(address)
        caller.send()
        up.came.get(timeout=PATIENCE)
        caller.file.close()
        caller.sock.close()
        assert up.ended.get(timeout=PATIENCE)


def test_idle_connections_to_upstreams_close_before_their_time():
    up = Upstream()
    caps = {**CONF["caps"], "conn-idle": 400.0}
    with program(up, conf={"caps": caps}) as (address, _, _):
        assert Caller(address).ask()[0] == 200 and up.ended.get(timeout=PATIENCE)


def test_the_list_drains_moves_and_removes_and_a_lost_watch_learns_what_it_missed():
    one, two, three = Upstream(), Upstream(), Upstream()
    agent = Agent(entry("s-1", one))
    with program(one, two, three, agent=agent) as (address, _, _):
        caller = Caller(address)
        assert agent.asked.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1"

        def reaches(upstream):
            """The list arrives when it does: asked until it has."""
            for n in range(1000):
                caller.ask(trace=f"r{n}")
                try:
                    return bool(upstream.came.get(timeout=0.02))
                except Empty:
                    continue
            return False

        assert reaches(one)
        agent.tell(2, False, entry("s-2", two), entry("s-1", one, "draining"))
        assert reaches(two)
        one.came.queue.clear()
        assert [caller.ask()[0] for _ in range(6)] == [200] * 6 and one.came.empty()
        agent.tell(3, False, entry("s-2", three))  # the same upstream at another address
        assert reaches(three)
        agent.watches[-1].shutdown(2)
        assert agent.asked.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1&after=3"
        agent.tell(4, True, entry("s-1", one))  # left out of a full list is gone
        assert reaches(one)
        agent.tell(5, False, {"id": "s-1", "state": "removed"}, {"id": 7}, {"state": "up"})
        for _ in range(1000):
            if is_ready(address) == 503:
                break
        assert is_ready(address) == 503 and caller.ask()[0] == 503


def test_sighup_moves_the_watch_to_the_files_discovery_and_a_faulty_file_changes_nothing():
    one, two, other = Upstream(), Upstream(), Agent()
    with program(one, two, agent=Agent(entry("s-1", one))) as (address, process, agent), closing(other):
        replace(process, discovery="127.0.0.1:70000")
        assert logged(process, "reload.refused")["why"].startswith(f"{process.path}: discovery: ")
        assert Caller(address).ask()[0] == 200 and len(agent.watches) == 1
        other.servers = [entry("s-2", two)]
        replace(process, discovery=other.address, log="debug")
        assert other.asked.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1&after=1"
        other.tell(2, True, entry("s-2", two))
        while logged(process, "list")["version"] < 2:
            pass
        assert Caller(address).ask(trace="t2")[0] == 200 and two.came.get(timeout=PATIENCE)
        replace(process, log="info")  # a file that leaves out what the one in force names is turned down
        assert agent.asked.get(timeout=PATIENCE) and agent.asked.get(timeout=PATIENCE)


MOVED = {
    **CONF, "balancers": 7, "localities": ["b", "a"], "locality": 1, "fees": {"cross-zone": 0.2},
    "profiles": [
        CONF["profiles"][0],
        {"name": "upload", "service-goal": 500.0, "hard-limit": 2000.0, "semantics": "at_most_once"},
    ],
    "caps": {**CONF["caps"], "probing": False, "max-streams": 100},
}  # fmt: skip


def test_settings_switch_under_traffic_and_back_and_a_faulty_file_changes_nothing():
    go = Event()
    one = Upstream(lambda conn, request: go.wait(PATIENCE) and conn.sendall(answer()) is None)
    with program(one, Upstream()) as (address, process, agent):
        held = [Caller(address) for _ in range(6)]
        for n, caller in enumerate(held):
            caller.send("submit", "POST", trace=f"h{n}")
        assert one.came.get(timeout=PATIENCE)[0].startswith("POST /submit")
        replace(process, settings={**MOVED, "fees": {"cross-zone": -1}})
        assert "settings.fees.cross-zone" in logged(process, "reload.refused")["why"]
        replace(process, settings=MOVED)
        switched = logged(process, "switched")
        assert switched["kept"] == 2 and not switched["afresh"] and switched["held"] >= 1
        assert logged(process, "unmet")["settings"] == ["caps.max-streams"]
        agent.tell(2, False, entry("s-0", one, "draining"))
        while logged(process, "list")["version"] < 2:
            pass
        assert Caller(address).ask("submit", trace="n1")[0] == 404  # dropped by the new file
        answers = [Caller(address).ask("upload", "POST", trace=f"u{n}", expires="1500") for n in range(4)]
        assert [a[0] for a in answers] == [200] * 4
        assert not any("upload" in request[0] for request in one.came.queue)
        go.set()
        assert [caller.read()[0] for caller in held] == [200] * 6  # each once: the connections go on
        assert [caller.ask(trace=f"g{n}")[0] for n, caller in enumerate(held)] == [200] * 6
        back = {**MOVED, **CONF, "fees": {"cross-zone": 0}, "caps": {**CONF["caps"], "max-streams": 1}}
        replace(process, settings={**back, "fees": {}})
        assert "settings.fees.cross-zone" in logged(process, "reload.refused")["why"]
        replace(process, settings=back)
        assert logged(process, "switched")["kept"] == 2
        assert Caller(address).ask("submit", "POST", trace="n2")[0] == 200


def test_after_a_switch_transactions_in_hand_go_on_to_none_that_drains():
    go = Event()

    def breaks(conn, request):
        go.wait(PATIENCE)

    one, two = Upstream(breaks), Upstream()
    with program(one, agent=Agent(entry("s-0", one))) as (address, process, agent):
        caller = Caller(address)
        caller.send(trace="q1")
        one.came.get(timeout=PATIENCE)
        replace(process, settings=MOVED)
        logged(process, "switched")
        agent.tell(2, False, entry("s-0", one, "draining"), entry("s-1", two))
        while logged(process, "list")["version"] < 2:
            pass
        go.set()
        assert caller.read()[0] == 200 and two.came.get(timeout=PATIENCE)
        assert one.came.empty()
    two.close()


class SilentAgent(Server):
    def serve(self, conn):
        while conn.recv(1024):
            pass


@pytest.mark.parametrize("silent", [False, True])
def test_it_starts_from_the_list_it_had_with_discovery_down(silent):
    up, agent = Upstream(), SilentAgent()
    if not silent:
        agent.close()
    known = {"version": 41, "full": True, "servers": [entry("s-1", up)]}
    with program(up, agent=agent, known=known) as (address, _, _):
        assert Caller(address).ask()[0] == 200


def test_it_is_not_ready_with_nobody_to_send_to():
    with program(ready=False) as (address, _, _):
        assert is_ready(address) == 503 and Caller(address).ask()[0] == 503


def test_sigterm_answers_what_is_held_takes_the_last_connections_and_ends():
    go = Event()

    def wait(conn, request):
        return go.wait(PATIENCE) and conn.sendall(answer()) is None

    up = Upstream(wait)
    with program(up) as (address, process, _):
        idle, busy = Caller(address), Caller(address)
        go.set()
        assert idle.ask()[0] == 200 and up.came.get(timeout=PATIENCE)
        go.clear()
        busy.send(expires="3000")
        up.came.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        assert idle.read() is None  # closed between requests
        late = Caller(address)
        late.send(trace="t2", expires="3000")
        up.came.get(timeout=PATIENCE)
        go.set()
        for caller in (busy, late):
            got = caller.read()
            assert got[0] == 200 and got[1]["connection"] == "close" and caller.read() is None
        assert process.wait(PATIENCE) == 0


def test_sigterm_leaves_nothing_unanswered_at_a_silent_upstream():
    silent = Event()
    up = Upstream(lambda conn, request: silent.wait(PATIENCE))
    profiles = [{**p, "hard-limit": 9000.0, "tardy-revenue": 0.5} for p in CONF["profiles"]]
    with program(up, conf={"profiles": profiles}) as (address, process, _):
        caller = Caller(address)
        caller.send("submit", "POST", expires="9000")
        up.came.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        assert caller.read()[0] == 502 and process.wait(PATIENCE) == 0
        silent.set()


def test_with_few_sockets_no_request_is_lost():
    go = Event()
    up = Upstream(lambda conn, request: go.wait(PATIENCE) and conn.sendall(answer()) is None)
    with program(up, limits={"sockets": 64}, conf={"balancers": 1}) as (address, _, _):
        kept = [Caller(address) for _ in range(20)]
        go.set()
        assert [caller.ask(trace="k")[0] for caller in kept] == [200] * 20
        go.clear()
        callers = [Caller(address) for _ in range(150)]
        for n, caller in enumerate(callers):
            caller.send(trace=f"t{n}", expires="3000")  # the kept ones make room for these
        up.came.get(timeout=PATIENCE)
        go.set()
        statuses = [(caller.read() or (0,))[0] for caller in callers]
        assert set(statuses) <= {200, 503} and 200 in statuses


def test_callers_that_trickle_do_not_keep_others_out():
    with program(Upstream(), limits={"sockets": 80}) as (address, _, _):
        slow = [Caller(address) for _ in range(60)]
        for caller in slow:
            caller.sock.sendall(b"POST /submit HTTP/1.1\r\nX-Tr")
        assert [Caller(address).ask(trace=f"t{n}")[0] for n in range(5)] == [200] * 5


@pytest.mark.parametrize(
    ("raw", "key"),
    [
        ({"settings": None}, "settings"), ({"seed": "xyz"}, "seed"), ({"listen": "localhost:80"}, "listen"),
        ({"discovery": "127.0.0.1:99999"}, "discovery"), ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"limits": {"sockets": "x"}}, "limits.sockets"), ({"log": "loud"}, "log"),
        ({"known": {"servers": []}}, "known.version"), ({"known": [1]}, "known"),
        ({"settings": {**CONF, "profiles": []}}, "settings.profiles"),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "name": ""}]}}, "profiles[0].name"),
        ({"settings": {**CONF, "caps": {"most-hops": 0}}}, "settings.caps.most-hops"),
        ({"settings": {**CONF, "balancers": "two"}}, "settings.balancers"),
        ({"settings": {**CONF, "balancers": -4}}, "settings.balancers"),
        ({"settings": {**CONF, "fees": {"cross-zone": -1}}}, "settings.fees.cross-zone"),
        ({"settings": {**CONF, "fees": {"cross-zone": "dear"}}}, "settings.fees.cross-zone"),
        ({"settings": {**CONF, "caps": {"most-hops": 4, "max-streams": 0}}}, "settings.caps.max-streams"),
        ({"settings": {**CONF, "caps": {"most-hops": 4, "may-tell": "no"}}}, "settings.caps.may-tell"),
    ],
)  # fmt: skip
def test_a_faulty_configuration_ends_with_one_line_that_names_the_key(tmp_path, raw, key):
    path = tmp_path / "config.json"
    whole = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": CONF, **raw}
    path.write_text(json.dumps(whole))
    done = subprocess.run(
        [sys.executable, "-m", "dahliabend"],
        env={**os.environ, "PROXY_CONFIG": str(path)},
        capture_output=True,
    )
    assert done.returncode == 2 and key in done.stderr.decode() and done.stderr.count(b"\n") == 1


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("", ""), ('{"settings": {"balan', ""), ("[]", ""),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "hard-limit": -5}]}}, "hard-limit"),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "hard-limit": True}]}}, "hard-limit"),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "hard-limit": "5"}]}}, "hard-limit"),
        ({"settings": {**CONF, "profiles": [{"name": "query", "semantics": "idempotent"}]}}, "profiles"),
        ({"settings": {**CONF, "caps": {**CONF["caps"], "most-hops": 0}}}, "settings.caps.most-hops"),
        ({"settings": {**CONF, "caps": {**CONF["caps"], "most-hops": float("nan")}}}, ""),
        ({"settings": {**CONF, "caps": {"most-hops": 4}}}, "settings.caps.conn-idle: missing"),
        ({"settings": {key: CONF[key] for key in CONF if key != "contract"}}, "contract"),
    ],
)  # fmt: skip
def test_a_faulty_file_is_turned_down_whole_and_counted(standing, text, key):
    address, process = standing
    invalid = call(process.admin, "/api/telemetry")[1]["cfg_invalid"]
    if isinstance(text, str):
        with open(f"{process.path}.new", "w") as file:
            file.write(text)
        os.replace(file.name, process.path)
        process.send_signal(signal.SIGHUP)
    else:
        replace(process, discovery="127.0.0.1:9", **text)
    assert key in logged(process, "reload.refused")["why"]
    shown = call(process.admin, "/api/telemetry")[1]
    assert (shown["cfg_accepted"], shown["cfg_invalid"]) == (0, invalid + 1)
    assert Caller(address).ask("submit", "POST")[0] == 200


@pytest.fixture(scope="module")
def standing():
    with program(Upstream()) as (address, process, _):
        yield address, process
