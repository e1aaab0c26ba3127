"""The deadlines of requests that wait unread behind others on the same connection, over sockets."""

import time

import pytest
from helpers import Client, Upstream, make_response, start_balancer

TIMEOUT = 1.0  # seconds
GRACE = 0.55  # seconds after a timeout within which the final response has to come
COUNT = 150  # requests; more than the balancer's buffer of 8 KiB holds
WORK = 0.03  # seconds that the upstream takes for each


def respond_after_work(conn, request):
    time.sleep(WORK)
    return conn.sendall(make_response()) is None


def pipelined_request(number, padding=0):
    return (
        f"GET /query HTTP/1.1\r\nHost: a\r\nX-Trace-Id: t{number}\r\nX-Padding: {'x' * padding}\r\n"
        f"X-Expires-In-Ms: {1000 * TIMEOUT:.0f}\r\n\r\n"
    ).encode()


# Guards against responses after the deadline: the time of a request ran from when it was read, however long
# it had waited behind others.
def test_requests_that_wait_unread_get_their_responses_by_their_deadlines():
    with start_balancer(Upstream(respond_after_work)) as (address, _, _):
        client = Client(address)
        client.sock.sendall(b"".join(pipelined_request(number, padding=100) for number in range(COUNT)))
        sent_at = time.monotonic()
        statuses = [client.read()[0] for _ in range(COUNT)]
        assert time.monotonic() - sent_at <= TIMEOUT + GRACE
        assert statuses.count(200) >= TIMEOUT / WORK / 2
        assert set(statuses) == {200, 503}


def test_a_client_that_has_always_some_requests_waiting_is_served():
    with start_balancer(Upstream(respond_after_work)) as (address, _, _):
        client = Client(address)
        for number in range(4):
            client.sock.sendall(pipelined_request(number))
        for number in range(4, COUNT // 2):
            assert client.read()[0] == 200
            client.sock.sendall(pipelined_request(number))


LONG_BODY = b"x" * 100_000  # passed on to the upstream while it is received
LONG_SUBMISSION = {
    "name": "submit", "service-goal": 10_000.0, "hard-limit": 10_000.0, "semantics": "at_most_once",
}  # fmt: skip
SUBMISSION_WORK = 2.65  # seconds, more than a client gets to send a request


# Guards against review/6: what came behind a long body that had been received ended the request that ran.
@pytest.mark.parametrize("behind", [b"POST /submit HTTP/1.1\r\nX-Tr", b"\x00\x01 spoilt\r\n\r\n"])
def test_a_submission_that_runs_is_answered_whatever_comes_behind_its_long_body(behind):
    def respond(conn, request):
        time.sleep(SUBMISSION_WORK)
        return conn.sendall(make_response()) is None

    upstream = Upstream(respond)
    with start_balancer(upstream, settings={"profiles": [LONG_SUBMISSION]}) as (address, _, _):
        client = Client(address)
        client.send("submit", "POST", LONG_BODY, timeout_ms="10000")
        assert upstream.received_requests.get(timeout=5)[2] == LONG_BODY
        client.sock.sendall(behind)
        assert client.read()[0] == 200
        assert upstream.received_requests.empty()
