"""Races on real connections: what the peers send forces the bad order."""

import signal
import socket
from contextlib import closing, suppress
from queue import Queue
from threading import Event

from helpers import (
    PATIENCE,
    Caller,
    Upstream,
    answer,
    call,
    entry,
    logged,
    program,
    until,
)
from late_upstream import (
    LONG_PROFILES,
    LateAfterFirstUpstream,
    capabilities,
    late_upstream,
    wait_until_connecting,
)


def wait_for_disconnect(conn, request):
    """Answers nothing, and ends with the connection."""
    return conn.recv(1) == b""


def test_a_client_that_disconnects_behind_unread_requests_is_noticed():
    with program(up := Upstream(wait_for_disconnect), conf={"profiles": LONG_PROFILES}) as (
        address,
        process,
        _,
    ):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "60000")
        up.came.get(timeout=PATIENCE)
        for n in range(200):  # far more than the rings hold
            caller.send("query", body=b"y" * 400, expires="60000", trace=f"more{n}")
        caller.sock.shutdown(socket.SHUT_RDWR)
        assert up.ended.get(timeout=PATIENCE)  # it would go on for a minute
        assert logged(process, "request.client_disconnected")["trace_id"] == "t1"
        assert Caller(address).ask(trace="other", expires="300")[0] == 503
        assert up.came.get(timeout=PATIENCE)[1]["x-trace-id"] == "other"


def test_nothing_is_sent_for_a_client_that_disconnects_while_the_connection_comes_up():
    up = late_upstream()
    with program(up, conf=capabilities(**{"may-cancel": False, "dial-timeout": 5000.0})) as (
        address,
        process,
        _,
    ):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "8000", "t1")
        wait_until_connecting(up)
        caller.sock.close()
        caller.file.close()
        assert logged(process, "attempt.failed")["outcome"] == "CANCELLED"  # it is not left to come up
        up.open_up()
        assert Caller(address).ask("submit", "POST", b"y", trace="t2")[0] == 200
        assert [up.came.get(timeout=PATIENCE)[1]["x-trace-id"] for _ in range(up.came.qsize())] == ["t2"]


def test_an_upstream_that_begins_draining_while_its_connection_comes_up_receives_nothing():
    up, other = late_upstream(), Upstream()
    conf = capabilities(**{"dial-timeout": 5000.0})
    with closing(other), program(up, conf=conf) as (address, process, agent):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "8000")
        wait_until_connecting(up)
        agent.tell(2, False, entry("s-0", up, "draining"), entry("s-1", other))
        while logged(process, "endpoint_list.applied")["version"] != 2:
            pass
        up.open_up()
        assert caller.read()[0] == 200
        assert up.came.empty()
        assert other.came.get(timeout=PATIENCE)[1]["x-trace-id"] == "t1"


def test_a_retry_whose_connection_comes_up_after_its_deduplication_window_is_not_sent():
    profiles = [{**LONG_PROFILES[0], "name": "book", "semantics": "deduplicated", "dedup-window": 700.0}]
    conf = {**capabilities(**{"dial-timeout": 5000.0}), "profiles": profiles}
    with program(up := LateAfterFirstUpstream(), conf=conf) as (address, _, _):
        caller = Caller(address)
        caller.send("book", "POST", b"x", "8000")
        up.came.get(timeout=PATIENCE)
        wait_until_connecting(
            up
        )  # the repeat's first packet was dropped; the next one comes after the window
        up.open_up()
        assert caller.read()[0] == 503
        assert Caller(address).ask("book", "POST", b"y", "8000", "t2")[0] == 200
        assert [up.came.get(timeout=PATIENCE)[1]["x-trace-id"] for _ in range(up.came.qsize())] == ["t2"]


def test_the_forwarded_timeout_is_what_is_left_once_the_connection_is_up():
    up = late_upstream()
    with program(up, conf=capabilities(**{"dial-timeout": 5000.0})) as (address, _process, _):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "8000")
        wait_until_connecting(up)
        up.open_up()
        assert caller.read()[0] == 200
        # The first packet was dropped, and the system sends it again a second later at the soonest.
        assert 0 < int(up.came.get(timeout=PATIENCE)[1]["x-expires-in-ms"]) <= 8000 - 900


def test_a_late_second_response_is_never_taken_for_the_next_requests_one():
    seen = Queue()

    def twice(conn, request):
        if conn in seen.queue:  # the one before on this connection is answered once more
            conn.sendall(answer(b"the one before"))
        seen.put(conn)
        conn.sendall(answer(request[2]))
        return True

    with program(Upstream(twice), conf=capabilities(**{"dial-timeout": 4000.0})) as (address, _, _):
        caller = Caller(address)
        caller.send("submit", "POST", b"one", trace="t1")
        caller.send("submit", "POST", b"two", trace="t2")  # comes before the first is answered
        assert [caller.read()[2] for _ in range(2)] == [b"one", b"two"]


def test_bytes_behind_the_final_response_neither_reset_it_nor_are_forwarded():
    body, go = b"z" * 200_000, Event()
    slow = Upstream(lambda conn, request: go.wait(PATIENCE) and conn.sendall(answer(body)) is None)
    with program(slow, conf={"profiles": LONG_PROFILES}) as (address, process, _):

        def written():
            with suppress(OSError, TypeError):  # it may have ended already
                return not call(process.admin, "/api/telemetry")[1]["open_requests"]
            return True

        caller = Caller.__new__(Caller)
        caller.sock = socket.socket()
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # most of the answer waits behind
        caller.sock.connect((address.split(":")[0], int(address.split(":")[1])))
        caller.sock.settimeout(PATIENCE)
        caller.file = caller.sock.makefile("rb")
        caller.send("submit", "POST", b"x", "60000")
        slow.came.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        logged(process, "shutdown.started")
        caller.sock.sendall(b"POST /submit HTTP/1.1\r\nX-Trace-Id: t2\r\n")
        go.set()
        until(written)
        caller.sock.sendall(b"X-Expires-In-Ms: 2000\r\nContent-Length: 1\r\n\r\ny")
        assert caller.read()[2] == body
        assert caller.sock.recv(1) == b""
        caller.file.close()
        caller.sock.close()
        assert process.wait(PATIENCE) == 0
        assert slow.came.empty()
