"""Bodies and responses too long to be buffered, in every framing, over sockets."""

import os
import time
from contextlib import suppress

import pytest
from helpers import PATIENCE, Client, Upstream, call_admin, make_response, start_balancer, wait_until
from http_messages import CHUNKED, LONG, SIZED, chunked


def test_a_long_body_passes_unchanged_with_a_length_or_in_chunks_and_the_connection_stays_open():
    upstream = Upstream(lambda conn, request: conn.sendall(make_response(b"%d" % len(request[2]))) is None)
    with start_balancer(upstream) as (address, process, _):
        client = Client(address)
        for raw, body in (
            (SIZED % (b"t1", len(LONG)) + LONG, LONG), (CHUNKED % b"t2" + chunked(LONG), LONG),
            (CHUNKED % b"t3" + chunked(b"short", 2), b"short"),
        ):  # fmt: skip
            client.sock.sendall(raw)
            assert client.read()[::2] == (200, b"%d" % len(body))
            assert upstream.received_requests.get(timeout=PATIENCE)[2] == body
        assert client.request()[0] == 200
        assert call_admin(process.admin, "/api/telemetry")[1]["relayed"] == 4


def respond_and_keep_open(raw):
    return lambda conn, request: conn.sendall(raw) is None


def respond_and_close(raw):
    return lambda conn, request: conn.sendall(raw) is not None


@pytest.mark.parametrize(
    "respond",
    [
        respond_and_keep_open(make_response(LONG)),
        respond_and_keep_open(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG)),
        respond_and_close(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG),
    ],
)  # fmt: skip
def test_a_long_response_passes_unchanged_in_every_framing(respond):
    with start_balancer(Upstream(respond)) as (address, _, _):
        client = Client(address)
        for trace in ("t1", "t2"):
            assert client.request(trace_id=trace)[::2] == (200, LONG)


def close_within_sized_response(conn, request):
    conn.sendall(make_response(LONG)[:100_000])


def close_within_chunked_response(conn, request):
    conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG)[:200_000])


@pytest.mark.parametrize("respond", [close_within_sized_response, close_within_chunked_response])
def test_a_connection_lost_within_a_long_response_is_seen_by_the_client_and_not_retried(respond):
    upstream = Upstream(respond)
    with start_balancer(upstream) as (address, process, _):
        client = Client(address)
        client.send()
        assert client.read() is None  # the response is incomplete
        assert upstream.received_requests.qsize() == 1
        query_counts = call_admin(process.admin, "/api/telemetry")[1]["operations"]["query"]
        assert (query_counts["fulfilled"], query_counts["faulted"]) == (0, 1)


CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNSIZED_RESPONSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def respond_in_parts(parts, pause):
    def respond(conn, request):
        for part in parts:
            conn.sendall(part)
            time.sleep(pause)

    return respond


# Guards against a client without a final response in time: once a response was streamed, only a stall of 20 s
# ended it, also if it was short.
@pytest.mark.parametrize(
    "parts",
    [
        [CHUNKED_RESPONSE + b"3\r\nabc\r\n", b"0\r\n\r\n"],
        [UNSIZED_RESPONSE + b"abc", b"def"],
        [CHUNKED_RESPONSE, *[b"3\r\nabc\r\n"] * 30],
    ],
)
def test_a_short_response_of_unknown_length_ends_by_its_deadline(parts):
    with start_balancer(Upstream(respond_in_parts(parts, 6 / len(parts)))) as (address, _, _):
        client = Client(address)
        sent_at = time.monotonic()
        client.send(timeout_ms="1000")
        client.sock.settimeout(3)
        with suppress(ConnectionResetError):
            assert not client.file.read().endswith(
                b"0\r\n\r\n"
            )  # the client can tell that it is not complete
        assert time.monotonic() - sent_at <= 1.55


def test_a_long_response_of_unknown_length_may_end_after_its_deadline():
    raw = CHUNKED_RESPONSE + chunked(LONG)
    with start_balancer(Upstream(respond_in_parts([raw[:500_000], raw[500_000:]], 1.5))) as (address, _, _):
        assert Client(address).request(timeout_ms="1000")[::2] == (200, LONG)


def test_a_partly_consumed_body_is_rejected_when_its_attempt_fails():
    upstream = Upstream()
    # The upstream closes the connection in the middle of the body.
    upstream.serve = lambda conn: (conn.recv(1000), upstream.ended_connections.put(True))
    with start_balancer(upstream) as (address, _, _):
        client = Client(address)
        client.sock.sendall(SIZED % (b"t", len(LONG)) + LONG[:300_000])
        assert client.read()[0] == 503
        assert client.read() is None


def test_many_long_messages_at_once_with_slow_readers_stay_within_memory():
    body = LONG * 8  # 16 MiB
    with start_balancer(Upstream(respond_and_keep_open(make_response(body)))) as (address, process, _):
        clients = [Client(address) for _ in range(40)]
        for n, client in enumerate(clients):
            client.send("submit", "POST", b"x" * 200_000, trace_id=f"t{n}")
        wait_until(lambda: call_admin(process.admin, "/api/telemetry")[1]["relayed"] >= 40)
        assert clients[0].read()[2] == body  # while no other client reads
        with open(f"/proc/{process.pid}/statm") as file:
            assert int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") < 80 << 20


def test_a_response_to_http_1_0_ends_with_its_connection_and_a_cut_one_with_a_reset():
    for respond, is_whole in (
        (respond_and_close(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG), True),
        (close_within_chunked_response, False),
    ):
        with start_balancer(Upstream(respond)) as (address, _, _):
            client = Client(address)
            client.sock.sendall(
                b"GET http://api/query HTTP/1.0\r\nX-Trace-Id: o\r\nX-Expires-In-Ms: 2000\r\n\r\n"
            )
            if is_whole:
                assert client.file.read().endswith(LONG)
            else:
                with pytest.raises(ConnectionResetError):
                    client.file.read()
