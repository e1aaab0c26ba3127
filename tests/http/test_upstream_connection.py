"""Upstream connections: which bytes form a response, and what closes the connection."""

import socket
from contextlib import closing

from fake_endpoint import AFTER_REUSE_DELAY, RESPONSE, RecordingBodyRequest, send_request
from fake_transport import feed

from dahliabend.model import Outcome
from dahliabend.transport.buffered_output import WRITE_BYTES
from dahliabend.transport.timers import clock


def test_a_lost_connection_reports_whether_the_request_was_written():
    for length, accepted_bytes, outcome in (
        (9, 99, Outcome.RESET),
        (9, 8, Outcome.UNREACHABLE),
        (3 * WRITE_BYTES, 2 * WRITE_BYTES, Outcome.UNREACHABLE),
        (3 * WRITE_BYTES, 9 * WRITE_BYTES, Outcome.RESET),
    ):
        request, connection = send_request(accepted_bytes, length)
        connection.connection_lost(None)
        assert request.outcome is outcome


def test_a_timeout_closes_the_connection_before_it_is_reported():
    for accepted_bytes, outcome in ((99, Outcome.TIMED_OUT), (8, Outcome.UNREACHABLE)):
        request, connection = send_request(accepted_bytes)
        request.check_timeout()
        assert connection.closed
        assert connection.transport.ended
        assert request.outcome is outcome


def test_a_second_or_unrequested_response_closes_the_connection():
    for raw, is_kept_open in (
        (RESPONSE, True),
        (RESPONSE + RESPONSE, False),
        (RESPONSE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), False),
    ):
        request, connection = send_request()
        feed(connection, raw)
        assert request.outcome is Outcome.SUCCEEDED
        assert connection.closed is not is_kept_open
    request, connection = send_request()
    feed(connection, b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE)
    assert request.outcome is Outcome.SUCCEEDED
    assert not connection.closed
    feed(connection, b"H")
    assert connection.closed
    assert request.endpoint.take_idle_connection(clock() + AFTER_REUSE_DELAY)[0] is None


def test_bytes_behind_a_response_are_no_part_of_it_and_close_the_connection():
    early_hints = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    for raw, is_kept_open in (
        (RESPONSE + RESPONSE, False),
        (RESPONSE + RESPONSE[:20], False),
        (RESPONSE + b"\x00 noise", False),
        (early_hints * 2 + RESPONSE, True),
    ):
        request, connection = send_request(request_type=RecordingBodyRequest)
        feed(connection, raw)
        assert (request.outcome, request.body) == (Outcome.SUCCEEDED, b"ok")
        assert connection.closed is not is_kept_open


def test_unrequested_bytes_are_never_taken_for_the_next_response():
    # The bytes arrive, or the connection is closed, before the event loop reads either.
    for unrequested in (b"H", None):
        request, connection = send_request()
        feed(connection, RESPONSE)
        near, far = socket.socketpair()
        with closing(near), closing(far):
            near.setblocking(False)
            connection.sock = near
            far.send(unrequested) if unrequested else far.close()
            assert request.endpoint.take_idle_connection(clock() + AFTER_REUSE_DELAY)[0] is None
            assert connection.closed


def test_an_unreadable_response_fails_its_request_at_once():
    head = b"HTTP/1.1 200 OK\r\n"
    for raw in (
        head + b"Content-Length: 3000000000\r\n\r\n",
        head + b"X: " + b"x" * 3 * 8192,
        head + b"\r\nbody",
        head + b"Transfer-Encoding: gzip\r\n\r\n",
        RESPONSE.replace(b"2", b"2\r\nContent-Length: 2"),
        b"\x00" * 9,
        head + b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n",
        RESPONSE.replace(b"2\r", b"-2\r"),
        head + b"Transfer-Encoding: chunked\r\n\r\n2;" + b"x" * 3 * 8192,
    ):
        request, connection = send_request()
        feed(connection, raw)
        assert request.outcome is Outcome.RESET
        assert connection.closed  # the request may have been executed
