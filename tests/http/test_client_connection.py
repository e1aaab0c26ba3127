"""Client connections: time limits, pipelining and closing."""

import gc
from types import SimpleNamespace
from weakref import ref

from fake_endpoint import (
    endpoint_table,
    send_request,
)
from fake_transport import DISPATCHER, FakeTransport, feed, ignore, incoming_request
from helpers import MS, S
from http_messages import SIZED

from dahliabend.http.client_connection import ClientConnection
from dahliabend.http.request_parser import BODY_PAUSE_TIMEOUT
from dahliabend.http.serving_state import ServingState
from dahliabend.proxy.request import Request
from dahliabend.proxy.router import Router
from dahliabend.transport.connection import Connection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.handles import HandleTable
from dahliabend.transport.loop_budget import RECEIVE_AREA_BYTES
from dahliabend.transport.timers import clock


def test_a_client_that_pipelines_without_reading_is_not_read_from_any_further():
    client = ClientConnection(DescriptorBudget(100), endpoint_table().resources.timers, DISPATCHER, S)
    FakeTransport(client, 0)
    raw = b"GET /-/ready HTTP/1.1\r\n\r\n"
    feed(client, raw)
    feed(client, raw * (RECEIVE_AREA_BYTES // len(raw)))
    feed(client, raw * 9)
    assert client.parsing_blocked
    assert len(client.queue) <= RECEIVE_AREA_BYTES // len(raw)


def test_silent_and_trickling_clients_time_out_counted_from_connecting():
    for sent, status in ((b"", b""), (b"GET /-/re", b"HTTP/1.1 408")):
        client = ClientConnection(DescriptorBudget(100), endpoint_table().resources.timers, DISPATCHER, 9 * S)
        transport, connected_at = FakeTransport(client), clock()
        for byte in sent:
            feed(client, bytes([byte]))
        when, _, callback, _ = client.timeout_timer
        assert when <= connected_at + 3 * S - 250 * MS  # so that the response reaches the client within 3 s
        callback()
        assert transport.written[:12] == status
        assert status or transport.ended


def test_an_accepted_connection_not_yet_established_is_not_closed_as_idle():
    client = ClientConnection(DescriptorBudget(100), endpoint_table().resources.timers, DISPATCHER, S)
    client.close_if_idle(clock() - S // 2)
    assert not client.closed


def test_a_slow_head_and_a_steady_body_do_not_time_out_but_silence_does():
    client, connected_at = (
        ClientConnection(DescriptorBudget(100), endpoint_table().resources.timers, DISPATCHER, 9 * S),
        clock(),
    )
    FakeTransport(client)
    feed(client, SIZED % (b"t", 60_000))
    client.parser.head_complete_at = client.parser.last_body_byte_at = connected_at - BODY_PAUSE_TIMEOUT // 2
    client.request_timed_out()
    assert not client.parser.error_status
    assert client.timeout_timer[0] >= connected_at + BODY_PAUSE_TIMEOUT // 2 - MS
    client.parser.head_complete_at = client.parser.last_body_byte_at = connected_at - 2 * BODY_PAUSE_TIMEOUT
    client.request_timed_out()
    assert client.parser.error_status == 408 or client.transport.written.startswith(b"HTTP/1.1 408")


def test_a_request_pipelined_behind_a_streamed_response_is_not_lost_on_shutdown():
    dispatcher = SimpleNamespace(closing=lambda: True, ready=lambda: True)
    for queued_requests, is_kept_open in ((1, True), (0, False)):
        client = ClientConnection(DescriptorBudget(100), endpoint_table().resources.timers, dispatcher, S)
        FakeTransport(client)
        client.state, client.keep_alive = ServingState.SERVING, True
        client.queue.extend([()] * queued_requests)
        client.start_response(b"", 9, SimpleNamespace(reading_suspended=False))
        assert client.keep_alive is is_kept_open
        assert (b"Connection: close" in client.transport.written) is not is_kept_open


# Guards against review/6: a submission that ran was rejected for the beginning of the next request behind it.
def test_a_request_that_has_been_received_is_not_given_up_for_the_one_behind_it():
    client = ClientConnection(DescriptorBudget(100), endpoint_table().resources.timers, DISPATCHER, S)
    transport = FakeTransport(client)
    client.state, client.upload = (
        ServingState.SERVING,
        SimpleNamespace(is_complete=False, beginning=b"", input_consumed=ignore),
    )
    client.parser.received_at = client.last_input_at = clock()
    assert client.relief_rank(clock()) is not None
    client.upload.is_complete = True
    assert client.relief_rank(clock()) is None
    feed(client, b"POST /submit HTTP/1.1\r\nHost: a\r\n")
    assert not client.descriptors.receiving
    client.reject_incomplete()
    client.request_timed_out()
    assert transport.written == b""
    assert not client.parser.error_status


def test_closed_connections_and_finished_requests_leave_no_reference_cycles():
    gc.disable()
    try:
        for make_connection in (
            lambda: ClientConnection(DescriptorBudget(100), endpoint_table().resources.timers, DISPATCHER, S),
            lambda: send_request()[1],
        ):
            connection = make_connection()
            FakeTransport(connection)
            connection.connection_lost(None)
            weak_connection = ref(connection)
            del connection
            assert weak_connection() is None
        connection = Connection(DescriptorBudget(100))
        connection.class_name = b""
        connection.release()
        policy = SimpleNamespace(open_requests=1)
        request = Request(incoming_request(connection), 0, 0, policy)
        request.state, request.attempts = (
            SimpleNamespace(is_finished=True),
            [SimpleNamespace(request=request)],
        )
        router = SimpleNamespace(
            requests=HandleTable(4), trace_ids=set(), policies=[policy, SimpleNamespace(open_requests=0)]
        )
        Router.forget_if_finished(router, request)
        assert len(router.policies) == 1  # the outdated policy, now without open requests, is dropped as well
        weak_connection = ref(connection)
        del request, connection
        assert weak_connection() is None  # nothing refers to the finished request any more
    finally:
        gc.enable()
