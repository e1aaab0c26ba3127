"""The simulated network keeps the guarantees of TCP and simulates what TCP leaves open."""

import asyncio
import socket

import pytest
from connection_pair import ADDRESS, ConnectionPair

from dahliabend.simulation.event_loop import CLOCK_START, Process, Scheduler, StepLimitError


def test_bytes_arrive_complete_and_in_order_with_any_segmentation():
    pair = ConnectionPair(max_segment=7, receive_window=50, send_buffer=100).connect()
    sent = bytes(range(256)) * 4
    pair.client_process.run(pair.client.transport.write, sent)
    # The send buffer has accepted the first 100 bytes.
    assert pair.client.transport.get_write_buffer_size() == len(sent) - 100
    pair.advance(10_000_000)
    assert pair.server.received == sent
    assert not pair.client.transport.get_write_buffer_size()


def test_a_partial_write_pauses_the_writer_until_all_is_accepted():
    pair = ConnectionPair(send_buffer=100, receive_window=100).connect()
    pair.client.transport.set_write_buffer_limits(high=0)
    pair.server_process.run(pair.server.transport.pause_reading)
    pair.client_process.run(pair.client.transport.write, b"x" * 300)
    pair.advance(1_000_000)
    assert pair.client.pause_depth == 1
    assert pair.client.transport.get_write_buffer_size() == 100
    pair.server_process.run(pair.server.transport.resume_reading)
    pair.advance(1_000_000)
    assert pair.client.pause_depth == 0
    assert len(pair.server.received) == 300


def test_a_reset_discards_unread_bytes():
    pair = ConnectionPair().connect()
    pair.server_process.run(pair.server.transport.pause_reading)
    pair.client_process.run(pair.client.transport.write, b"unread")
    pair.advance(100_000)
    pair.client_process.terminate("killed")
    pair.advance(100_000)
    assert pair.server.received == b""
    assert pair.server.error is None
    pair.server_process.run(pair.server.transport.resume_reading)
    pair.advance(100_000)
    assert pair.server.received == b""
    assert isinstance(pair.server.error, ConnectionResetError)


def test_a_half_closed_connection_still_transmits_in_the_open_direction():
    pair = ConnectionPair().connect()
    pair.client_process.run(pair.client.transport.write_eof)
    pair.advance(100_000)
    assert pair.server.has_eof
    pair.server_process.run(pair.server.transport.write, b"still here")
    pair.advance(100_000)
    assert pair.client.received == b"still here"


def test_closing_with_unread_bytes_resets_the_connection():
    pair = ConnectionPair().connect()
    pair.server_process.run(pair.server.transport.pause_reading)
    pair.client_process.run(pair.client.transport.write, b"request")
    pair.advance(100_000)
    pair.server_process.run(pair.server.transport.abort)
    pair.advance(100_000)
    assert isinstance(pair.client.error, ConnectionResetError)


def test_data_for_a_closed_connection_is_answered_by_a_reset():
    pair = ConnectionPair().connect()
    pair.server_process.run(pair.server.transport.abort)
    pair.client_process.run(pair.client.transport.write, b"crossing")
    pair.advance(100_000)
    assert pair.client.has_eof
    assert isinstance(pair.client.error, ConnectionResetError)


@pytest.mark.parametrize("reason", ["no listener", "refusing address", "connection limit"])
def test_a_connection_is_refused(reason):
    pair = ConnectionPair(listens=reason != "no listener")
    if reason == "refusing address":
        pair.network.refusing_addresses.add(ADDRESS)
    if reason == "connection limit":
        pair.network.connection_limits[ADDRESS] = 0
    pair.connect()
    assert isinstance(pair.connect_error, ConnectionRefusedError)
    assert not pair.client_process.sockets


def test_a_connect_that_times_out_leaves_no_socket_and_no_connection():
    pair = ConnectionPair()
    pair.network.unresponsive_addresses.add(ADDRESS)

    async def connect():
        await asyncio.wait_for(pair.client_process.loop.create_connection(lambda: pair.client, *ADDRESS), 0.2)

    pair.spawn(pair.client_process, connect())
    pair.client_process.loop.exception_handler = lambda *_: None
    pair.advance(100_000)
    assert len(pair.client_process.sockets) == 1
    pair.network.unresponsive_addresses.clear()
    pair.advance(5_000_000)
    assert not pair.client_process.sockets
    assert pair.server is None


def test_a_full_listen_queue_delays_connections():
    pair = ConnectionPair()
    listen_queue = pair.network.listeners[ADDRESS]
    listen_queue.backlog = 0
    pair.connect()
    assert pair.server is None
    assert pair.connect_error is None
    listen_queue.backlog = 1
    pair.advance(1_000_000)
    assert pair.server is not None


@pytest.mark.parametrize("resets", [False, True])
def test_a_cut_zone_blocks_bytes_until_its_restoration_resets_or_resumes_the_connection(resets):
    pair = ConnectionPair().connect()
    pair.network.cut_zone("b")
    pair.client_process.run(pair.client.transport.write, b"lost?")
    pair.advance(3_000_000)
    assert pair.server.received == b""
    assert pair.client.error is None
    pair.network.restore_zone("b", resets)
    pair.advance(1_000_000)
    if resets:
        assert isinstance(pair.client.error, ConnectionResetError)
        assert pair.server.received == b""
    else:
        assert pair.server.received == b"lost?"
        assert pair.client.error is None


@pytest.mark.parametrize("resets", [False, True])
def test_data_on_a_dropped_idle_connection_is_lost_or_answered_by_a_reset(resets):
    pair = ConnectionPair(path_idle_timeout=500_000, resets_after_idle=resets)
    pair.network.tap_factory = lambda end: type(
        "Tap", (), {"data_sent": lambda *_: None, "data_received": lambda *_: None}
    )()
    pair.connect()
    pair.advance(1_000_000)
    assert pair.client.error is None
    pair.client_process.run(pair.client.transport.write, b"into nothing")
    pair.advance(1_000_000)
    assert pair.server.received == b""
    assert (pair.client.error is not None) == resets


def test_a_peek_returns_data_and_reports_eof_and_a_reset():
    pair = ConnectionPair().connect()
    pair.server_process.run(pair.server.transport.pause_reading)
    sock = pair.server.transport.get_extra_info("socket")
    with pytest.raises(BlockingIOError):
        sock.recv(1, socket.MSG_PEEK)
    pair.client_process.run(pair.client.transport.write, b"ab")
    pair.advance(100_000)
    assert sock.recv(1, socket.MSG_PEEK) == b"a" == sock.recv(1, socket.MSG_PEEK)
    pair.client_process.run(pair.client.transport.close)
    pair.advance(100_000)
    assert sock.recv(9) == b"ab"
    assert sock.recv(1, socket.MSG_PEEK) == b""
    sock.end.reset_arrived()
    with pytest.raises(ConnectionResetError):
        sock.recv(1, socket.MSG_PEEK)


def test_a_process_cannot_exceed_its_descriptor_limit():
    pair = ConnectionPair()
    event_names = []
    pair.network.on_event = lambda *event: event_names.append(event[0])
    pair.client_process.max_sockets = 0
    with pytest.raises(OSError, match="too many open files"):
        pair.network.socket(pair.client_process)
    assert event_names == ["exhausted"]


def test_calls_due_at_once_run_in_scheduled_order_and_a_killed_process_runs_none():
    scheduler, calls = Scheduler(), []
    one, two = Process(scheduler, "one", "a"), Process(scheduler, "two", "b")
    for number in range(3):
        one.loop.call_later(0.001, calls.append, f"one {number}")
        two.loop.call_later(0.001, calls.append, f"two {number}")
    scheduler.call_at(CLOCK_START + 1_000, None, two.terminate, "killed")
    one.loop.call_later(0.002, calls.append, "later")
    two.loop.call_later(0.002, calls.append, "never")
    scheduler.run_until(CLOCK_START + 5_000)
    assert calls == ["one 0", "two 0", "one 1", "two 1", "one 2", "two 2", "later"]


def test_a_stalled_process_runs_its_due_calls_once_it_resumes():
    scheduler, calls = Scheduler(), []
    process = Process(scheduler, "one", "a")
    process.loop.call_later(0.010, lambda: calls.append(scheduler.now - CLOCK_START))
    process.stall(30_000)
    scheduler.run_until(CLOCK_START + 20_000)
    assert not calls
    scheduler.run_until(CLOCK_START + 40_000)
    assert calls == [30_000]


def test_a_run_whose_calls_never_let_time_pass_exceeds_the_step_limit():
    scheduler = Scheduler(max_steps=1_000)
    process = Process(scheduler, "one", "a")

    def reschedule():
        process.loop.call_soon(reschedule)

    reschedule()
    with pytest.raises(StepLimitError):
        scheduler.run_until(CLOCK_START + 1)
