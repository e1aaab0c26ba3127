"""Bodies and answers too long to be kept, and all forms they come in."""

import os
from types import SimpleNamespace

import pytest
from helpers import MS, PATIENCE, Caller, S, Upstream, answer, balancer, call, program, until
from test_net import DESK, Pipe, feed, upstream_table

from dahliabend.http.client_connection import ClientConnection
from dahliabend.http.request_parser import BODY_PAUSE_TIMEOUT
from dahliabend.http.serving_state import ServingState
from dahliabend.model import Outcome
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import clock

LONG = bytes(range(256)) * 8192  # 2 MiB


def chunked(body, step=50_000):
    parts = (body[at : at + step] for at in range(0, len(body), step))
    return (
        b"".join(b"%X;note=1\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nX-Trailer: t\r\n\r\n"
    )


HEAD = b"POST /submit HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %b\r\nX-Expires-In-Ms: 3000\r\n"
SIZED, CHUNKED = HEAD + b"Content-Length: %d\r\n\r\n", HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def test_a_long_body_passes_unchanged_with_a_length_or_in_chunks_and_the_connection_goes_on():
    up = Upstream(lambda conn, request: conn.sendall(answer(b"%d" % len(request[2]))) is None)
    with program(up) as (address, process, _):
        caller = Caller(address)
        for raw, body in (
            (SIZED % (b"t1", len(LONG)) + LONG, LONG), (CHUNKED % b"t2" + chunked(LONG), LONG),
            (CHUNKED % b"t3" + chunked(b"short", 2), b"short"),
        ):  # fmt: skip
            caller.sock.sendall(raw)
            assert caller.read()[::2] == (200, b"%d" % len(body))
            assert up.came.get(timeout=PATIENCE)[2] == body
        assert caller.ask()[0] == 200 and call(process.admin, "/api/telemetry")[1]["relayed"] == 4


def sends(raw):
    return lambda conn, request: conn.sendall(raw) is None


def ends(raw):
    return lambda conn, request: conn.sendall(raw) is not None


@pytest.mark.parametrize(
    "play",
    [
        sends(answer(LONG)), sends(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG)),
        ends(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG),
    ],
)  # fmt: skip
def test_a_long_answer_passes_unchanged_in_whatever_form_it_comes(play):
    with program(Upstream(play)) as (address, _, _):
        caller = Caller(address)
        for trace in ("t1", "t2"):
            assert caller.ask(trace=trace)[::2] == (200, LONG)


def cuts(conn, request):
    conn.sendall(answer(LONG)[:100_000])


def cuts_chunks(conn, request):
    conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(LONG)[:200_000])


@pytest.mark.parametrize("play", [cuts, cuts_chunks])
def test_a_break_in_the_middle_of_a_long_answer_is_seen_by_the_caller_and_nothing_is_sent_again(play):
    up = Upstream(play)
    with program(up) as (address, process, _):
        caller = Caller(address)
        caller.send()
        assert caller.read() is None and up.came.qsize() == 1  # ended short
        shown = call(process.admin, "/api/telemetry")[1]["operations"]["query"]
        assert (shown["fulfilled"], shown["faulted"]) == (0, 1)


def test_a_body_of_which_a_part_has_gone_by_is_rolled_back_when_its_hop_breaks():
    up = Upstream()
    up.serve = lambda conn: (conn.recv(1000), up.ended.put(True))  # ends in the middle
    with program(up) as (address, _, _):
        caller = Caller(address)
        caller.sock.sendall(SIZED % (b"t", len(LONG)) + LONG[:300_000])
        assert caller.read()[0] == 503 and caller.read() is None


def test_more_long_messages_at_once_than_memory_holds_and_readers_that_stay():
    body = LONG * 8  # 16 MiB
    with program(Upstream(sends(answer(body)))) as (address, process, _):
        callers = [Caller(address) for _ in range(40)]
        for n, caller in enumerate(callers):
            caller.send("submit", "POST", b"x" * 200_000, trace=f"t{n}")
        until(lambda: call(process.admin, "/api/telemetry")[1]["relayed"] >= 40)
        assert callers[0].read()[2] == body  # while nobody else reads
        with open(f"/proc/{process.pid}/statm") as file:
            assert int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") < 80 << 20


def test_an_older_callers_answer_ends_with_its_connection_and_a_cut_one_with_a_reset():
    for play, whole in (
        (ends(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG), True),
        (cuts_chunks, False),
    ):
        with program(Upstream(play)) as (address, _, _):
            caller = Caller(address)
            caller.sock.sendall(
                b"GET http://api/query HTTP/1.0\r\nX-Trace-Id: o\r\nX-Expires-In-Ms: 2000\r\n\r\n"
            )
            if whole:
                assert caller.file.read().endswith(LONG)
            else:
                with pytest.raises(ConnectionResetError):
                    caller.file.read()


def test_a_slow_head_and_a_steady_body_are_waited_for_and_silence_is_not():
    caller, came = ClientConnection(DescriptorBudget(100), upstream_table().timers, DESK, 9 * S), clock()
    Pipe(caller)
    feed(caller, SIZED % (b"t", 60_000))
    caller.parser.head_complete_at = caller.parser.last_body_byte_at = came - BODY_PAUSE_TIMEOUT // 2
    caller.request_timed_out()
    assert not caller.parser.error_status and caller.stall_timer[0] >= came + BODY_PAUSE_TIMEOUT // 2 - MS
    caller.parser.head_complete_at = caller.parser.last_body_byte_at = came - 2 * BODY_PAUSE_TIMEOUT
    caller.request_timed_out()
    assert caller.parser.error_status == 408 or caller.transport.written.startswith(b"HTTP/1.1 408")


def test_a_body_that_comes_counts_as_in_flight_from_its_last_byte_on():
    made, port = balancer()
    request = made.admit(100 * S, 1, 2, 0, 900 * S, body_pending=True)
    upstream = made.selection.endpoints[port.of("send")[0][2]]
    assert made.concurrency.in_flight == 0 and not upstream.in_flight
    for n in range(30):  # others are heard, this upstream is not: nothing runs there yet
        made.outliers.last_answer_at = 100 * S + n * S
        made.timer_fired(100 * S + n * S, 0)
    assert not upstream.is_ejected
    assert request.body_received(130 * S, 134 * S) == 4 * S and made.concurrency.in_flight == 1
    request.response_started(131 * S, 0)
    assert made.concurrency.in_flight == 0 and not upstream.in_flight
    request.attempt_finished(190 * S, 0, Outcome.SUCCEEDED, S, True)
    assert made.concurrency.in_flight == 0 and request.is_finished


def test_what_has_gone_by_is_not_sent_again_and_never_ran():
    for passed, end in ((True, "reject"), (False, "send")):
        made, port = balancer()
        request = made.admit(100 * S, 1, 2, 0, 900 * S, body_pending=True)
        if passed:
            request.body_consumed()
        port.clear()
        request.attempt_finished(101 * S, 0, Outcome.UNREACHABLE, S, False)
        assert port[-1][0] == end


def test_a_request_behind_a_long_answer_is_not_lost_when_callers_are_sent_away():
    desk = SimpleNamespace(closing=lambda: True, ready=lambda: True)
    for behind, kept in ((1, True), (0, False)):
        caller = ClientConnection(DescriptorBudget(100), upstream_table().timers, desk, S)
        Pipe(caller)
        caller.state, caller.keep_alive = ServingState.SERVING, True
        caller.queue.extend([()] * behind)
        caller.start_response(b"", 9, SimpleNamespace(reading_suspended=False))
        assert caller.keep_alive is kept and (b"Connection: close" in caller.transport.written) is not kept
