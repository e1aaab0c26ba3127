"""Race conditions on real connections: clients and upstreams force the unfavourable order of events."""

import signal
import socket
from contextlib import closing, suppress
from queue import Queue
from threading import Event

from helpers import (
    PATIENCE,
    Client,
    Upstream,
    call_admin,
    make_response,
    server_entry,
    start_balancer,
    wait_for_event,
    wait_until,
)
from late_upstream import (
    LONG_PROFILES,
    LateAfterFirstUpstream,
    late_upstream,
    settings_with_capabilities,
    wait_until_connecting,
)


def received_trace_ids(upstream):
    """Return the trace ids of the requests that an upstream has received and the test has not read yet."""
    return [
        upstream.received_requests.get(timeout=PATIENCE)[1]["x-trace-id"]
        for _ in range(upstream.received_requests.qsize())
    ]


def wait_for_disconnect(conn, request):
    """Send no response, and return once the balancer has closed the connection."""
    return conn.recv(1) == b""


def test_a_client_that_disconnects_behind_unread_requests_is_noticed():
    upstream = Upstream(wait_for_disconnect)
    with start_balancer(upstream, settings={"profiles": LONG_PROFILES}) as (address, process, _):
        caller = Client(address)
        caller.send("submit", "POST", b"x", "60000")
        upstream.received_requests.get(timeout=PATIENCE)
        for n in range(200):  # far more than the buffers hold
            caller.send("query", body=b"y" * 400, timeout_ms="60000", trace_id=f"more{n}")
        caller.sock.shutdown(socket.SHUT_RDWR)
        assert upstream.ended_connections.get(timeout=PATIENCE)  # otherwise the attempt lasts a minute
        assert wait_for_event(process, "request.client_disconnected")["trace_id"] == "t1"
        assert Client(address).request(trace_id="other", timeout_ms="300")[0] == 503
        assert upstream.received_requests.get(timeout=PATIENCE)[1]["x-trace-id"] == "other"


def test_nothing_is_sent_for_a_client_that_disconnects_while_the_upstream_connection_is_opened():
    upstream = late_upstream()
    conf = settings_with_capabilities(**{"may-cancel": False, "dial-timeout": 5000.0})
    with start_balancer(upstream, settings=conf) as (address, process, _):
        caller = Client(address)
        caller.send("submit", "POST", b"x", "8000", "t1")
        wait_until_connecting(upstream)
        caller.sock.close()
        caller.file.close()
        assert (
            wait_for_event(process, "attempt.failed")["outcome"] == "CANCELLED"
        )  # connecting has been cancelled
        upstream.accept_all()
        assert Client(address).request("submit", "POST", b"y", trace_id="t2")[0] == 200
        assert received_trace_ids(upstream) == ["t2"]


def test_an_upstream_that_begins_draining_while_its_connection_is_opened_receives_nothing():
    draining, ready = late_upstream(), Upstream()
    conf = settings_with_capabilities(**{"dial-timeout": 5000.0})
    with closing(ready), start_balancer(draining, settings=conf) as (address, process, agent):
        caller = Client(address)
        caller.send("submit", "POST", b"x", "8000")
        wait_until_connecting(draining)
        agent.send_update(2, False, server_entry("s-0", draining, "draining"), server_entry("s-1", ready))
        while wait_for_event(process, "endpoint_list.applied")["version"] != 2:
            pass
        draining.accept_all()
        assert caller.read()[0] == 200
        assert draining.received_requests.empty()
        assert ready.received_requests.get(timeout=PATIENCE)[1]["x-trace-id"] == "t1"


def test_a_retry_whose_connection_is_open_only_after_the_deduplication_window_is_not_sent():
    profiles = [{**LONG_PROFILES[0], "name": "book", "semantics": "deduplicated", "dedup-window": 700.0}]
    conf = {**settings_with_capabilities(**{"dial-timeout": 5000.0}), "profiles": profiles}
    upstream = LateAfterFirstUpstream()
    with start_balancer(upstream, settings=conf) as (address, _, _):
        caller = Client(address)
        caller.send("book", "POST", b"x", "8000")
        upstream.received_requests.get(timeout=PATIENCE)
        # The retry's first connection packet is dropped; the system sends the next one after the window.
        wait_until_connecting(upstream)
        upstream.accept_all()
        assert caller.read()[0] == 503
        assert Client(address).request("book", "POST", b"y", "8000", "t2")[0] == 200
        assert received_trace_ids(upstream) == ["t2"]


def test_the_forwarded_timeout_is_the_time_left_after_connecting():
    upstream = late_upstream()
    with start_balancer(upstream, settings=settings_with_capabilities(**{"dial-timeout": 5000.0})) as (
        address,
        _process,
        _,
    ):
        caller = Client(address)
        caller.send("submit", "POST", b"x", "8000")
        wait_until_connecting(upstream)
        upstream.accept_all()
        assert caller.read()[0] == 200
        # The first connection packet is dropped; the system repeats it after a second at the earliest.
        assert 0 < int(upstream.received_requests.get(timeout=PATIENCE)[1]["x-expires-in-ms"]) <= 8000 - 900


def test_a_surplus_response_is_never_taken_for_the_response_to_the_next_request():
    used_connections = Queue()

    def respond_twice(conn, request):
        if conn in used_connections.queue:  # a surplus response to the previous request on this connection
            conn.sendall(make_response(b"the one before"))
        used_connections.put(conn)
        conn.sendall(make_response(request[2]))
        return True

    with start_balancer(
        Upstream(respond_twice), settings=settings_with_capabilities(**{"dial-timeout": 4000.0})
    ) as (address, _, _):
        caller = Client(address)
        caller.send("submit", "POST", b"one", trace_id="t1")
        caller.send("submit", "POST", b"two", trace_id="t2")  # arrives before the first one is answered
        assert [caller.read()[2] for _ in range(2)] == [b"one", b"two"]


def test_input_after_the_final_request_neither_resets_its_response_nor_is_forwarded():
    body, may_respond = b"z" * 200_000, Event()
    slow = Upstream(
        lambda conn, request: may_respond.wait(PATIENCE) and conn.sendall(make_response(body)) is None
    )
    with start_balancer(slow, settings={"profiles": LONG_PROFILES}) as (address, process, _):

        def is_response_written():
            with suppress(OSError, TypeError):  # the process may have exited already
                return not call_admin(process.admin, "/api/telemetry")[1]["open_requests"]
            return True

        caller = Client.__new__(Client)
        caller.sock = socket.socket()
        # Most of the response stays in the balancer's send buffer.
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.sock.connect((address.split(":")[0], int(address.split(":")[1])))
        caller.sock.settimeout(PATIENCE)
        caller.file = caller.sock.makefile("rb")
        caller.send("submit", "POST", b"x", "60000")
        slow.received_requests.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        wait_for_event(process, "shutdown.started")
        caller.sock.sendall(b"POST /submit HTTP/1.1\r\nX-Trace-Id: t2\r\n")
        may_respond.set()
        wait_until(is_response_written)
        caller.sock.sendall(b"X-Expires-In-Ms: 2000\r\nContent-Length: 1\r\n\r\ny")
        assert caller.read()[2] == body
        assert caller.sock.recv(1) == b""
        caller.file.close()
        caller.sock.close()
        assert process.wait(PATIENCE) == 0
        assert slow.received_requests.empty()
