"""Race conditions on real connections: clients and upstreams force the unfavourable order of events."""

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


def received_trace_ids(upstream):
    """Return the trace ids of the requests that an upstream has received and the test has not read yet."""
    return [upstream.came.get(timeout=PATIENCE)[1]["x-trace-id"] for _ in range(upstream.came.qsize())]


def wait_for_disconnect(conn, request):
    """Send no response, and return once the balancer has closed the connection."""
    return conn.recv(1) == b""


def test_a_client_that_disconnects_behind_unread_requests_is_noticed():
    upstream = Upstream(wait_for_disconnect)
    with program(upstream, conf={"profiles": LONG_PROFILES}) as (address, process, _):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "60000")
        upstream.came.get(timeout=PATIENCE)
        for n in range(200):  # far more than the buffers hold
            caller.send("query", body=b"y" * 400, expires="60000", trace=f"more{n}")
        caller.sock.shutdown(socket.SHUT_RDWR)
        assert upstream.ended.get(timeout=PATIENCE)  # otherwise the attempt lasts a minute
        assert logged(process, "request.client_disconnected")["trace_id"] == "t1"
        assert Caller(address).ask(trace="other", expires="300")[0] == 503
        assert upstream.came.get(timeout=PATIENCE)[1]["x-trace-id"] == "other"


def test_nothing_is_sent_for_a_client_that_disconnects_while_the_upstream_connection_is_opened():
    upstream = late_upstream()
    conf = capabilities(**{"may-cancel": False, "dial-timeout": 5000.0})
    with program(upstream, conf=conf) as (address, process, _):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "8000", "t1")
        wait_until_connecting(upstream)
        caller.sock.close()
        caller.file.close()
        assert logged(process, "attempt.failed")["outcome"] == "CANCELLED"  # connecting has been cancelled
        upstream.open_up()
        assert Caller(address).ask("submit", "POST", b"y", trace="t2")[0] == 200
        assert received_trace_ids(upstream) == ["t2"]


def test_an_upstream_that_begins_draining_while_its_connection_is_opened_receives_nothing():
    draining, ready = late_upstream(), Upstream()
    conf = capabilities(**{"dial-timeout": 5000.0})
    with closing(ready), program(draining, conf=conf) as (address, process, agent):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "8000")
        wait_until_connecting(draining)
        agent.tell(2, False, entry("s-0", draining, "draining"), entry("s-1", ready))
        while logged(process, "endpoint_list.applied")["version"] != 2:
            pass
        draining.open_up()
        assert caller.read()[0] == 200
        assert draining.came.empty()
        assert ready.came.get(timeout=PATIENCE)[1]["x-trace-id"] == "t1"


def test_a_retry_whose_connection_is_open_only_after_the_deduplication_window_is_not_sent():
    profiles = [{**LONG_PROFILES[0], "name": "book", "semantics": "deduplicated", "dedup-window": 700.0}]
    conf = {**capabilities(**{"dial-timeout": 5000.0}), "profiles": profiles}
    upstream = LateAfterFirstUpstream()
    with program(upstream, conf=conf) as (address, _, _):
        caller = Caller(address)
        caller.send("book", "POST", b"x", "8000")
        upstream.came.get(timeout=PATIENCE)
        # The retry's first connection packet is dropped; the system sends the next one after the window.
        wait_until_connecting(upstream)
        upstream.open_up()
        assert caller.read()[0] == 503
        assert Caller(address).ask("book", "POST", b"y", "8000", "t2")[0] == 200
        assert received_trace_ids(upstream) == ["t2"]


def test_the_forwarded_timeout_is_the_time_left_after_connecting():
    upstream = late_upstream()
    with program(upstream, conf=capabilities(**{"dial-timeout": 5000.0})) as (address, _process, _):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "8000")
        wait_until_connecting(upstream)
        upstream.open_up()
        assert caller.read()[0] == 200
        # The first connection packet is dropped; the system repeats it after a second at the earliest.
        assert 0 < int(upstream.came.get(timeout=PATIENCE)[1]["x-expires-in-ms"]) <= 8000 - 900


def test_a_surplus_response_is_never_taken_for_the_response_to_the_next_request():
    used_connections = Queue()

    def respond_twice(conn, request):
        if conn in used_connections.queue:  # a surplus response to the previous request on this connection
            conn.sendall(answer(b"the one before"))
        used_connections.put(conn)
        conn.sendall(answer(request[2]))
        return True

    with program(Upstream(respond_twice), conf=capabilities(**{"dial-timeout": 4000.0})) as (address, _, _):
        caller = Caller(address)
        caller.send("submit", "POST", b"one", trace="t1")
        caller.send("submit", "POST", b"two", trace="t2")  # arrives before the first one is answered
        assert [caller.read()[2] for _ in range(2)] == [b"one", b"two"]


def test_input_after_the_final_request_neither_resets_its_response_nor_is_forwarded():
    body, may_respond = b"z" * 200_000, Event()
    slow = Upstream(lambda conn, request: may_respond.wait(PATIENCE) and conn.sendall(answer(body)) is None)
    with program(slow, conf={"profiles": LONG_PROFILES}) as (address, process, _):

        def is_response_written():
            with suppress(OSError, TypeError):  # the process may have exited already
                return not call(process.admin, "/api/telemetry")[1]["open_requests"]
            return True

        caller = Caller.__new__(Caller)
        caller.sock = socket.socket()
        # Most of the response stays in the balancer's send buffer.
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.sock.connect((address.split(":")[0], int(address.split(":")[1])))
        caller.sock.settimeout(PATIENCE)
        caller.file = caller.sock.makefile("rb")
        caller.send("submit", "POST", b"x", "60000")
        slow.came.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        logged(process, "shutdown.started")
        caller.sock.sendall(b"POST /submit HTTP/1.1\r\nX-Trace-Id: t2\r\n")
        may_respond.set()
        until(is_response_written)
        caller.sock.sendall(b"X-Expires-In-Ms: 2000\r\nContent-Length: 1\r\n\r\ny")
        assert caller.read()[2] == body
        assert caller.sock.recv(1) == b""
        caller.file.close()
        caller.sock.close()
        assert process.wait(PATIENCE) == 0
        assert slow.came.empty()
