"""The modelled network keeps what TCP promises, and shows what it does not."""

import asyncio
import socket

import pytest
from connection_pair import ADDRESS, ConnectionPair

from dahliabend.simulation.event_loop import CLOCK_START, Process, Scheduler, StepLimitError


def test_bytes_arrive_complete_and_in_order_whatever_the_segments():
    pair = ConnectionPair(max_segment=7, receive_window=50, send_buffer=100).up()
    sent = bytes(range(256)) * 4
    pair.one.run(pair.near.transport.write, sent)
    assert (
        pair.near.transport.get_write_buffer_size() == len(sent) - 100
    )  # the system took what it has room for
    pair.go(10_000_000)
    assert pair.far.received == sent
    assert not pair.near.transport.get_write_buffer_size()


def test_a_partial_write_pauses_the_writer_until_all_is_accepted():
    pair = ConnectionPair(send_buffer=100, receive_window=100).up()
    pair.near.transport.set_write_buffer_limits(high=0)
    pair.two.run(pair.far.transport.pause_reading)
    pair.one.run(pair.near.transport.write, b"x" * 300)
    pair.go(1_000_000)
    assert pair.near.paused == 1
    assert pair.near.transport.get_write_buffer_size() == 100
    pair.two.run(pair.far.transport.resume_reading)
    pair.go(1_000_000)
    assert pair.near.paused == 0
    assert len(pair.far.received) == 300


def test_a_reset_loses_what_was_not_read():
    pair = ConnectionPair().up()
    pair.two.run(pair.far.transport.pause_reading)
    pair.one.run(pair.near.transport.write, b"unread")
    pair.go(100_000)
    pair.one.terminate("killed")
    pair.go(100_000)
    assert pair.far.received == b""
    assert pair.far.error is None
    pair.two.run(pair.far.transport.resume_reading)
    pair.go(100_000)
    assert pair.far.received == b""
    assert isinstance(pair.far.error, ConnectionResetError)


def test_a_half_closed_connection_still_works_in_the_other_direction():
    pair = ConnectionPair().up()
    pair.one.run(pair.near.transport.write_eof)
    pair.go(100_000)
    assert pair.far.ended
    pair.two.run(pair.far.transport.write, b"still here")
    pair.go(100_000)
    assert pair.near.received == b"still here"


def test_closing_with_unread_bytes_resets_the_connection():
    pair = ConnectionPair().up()
    pair.two.run(pair.far.transport.pause_reading)
    pair.one.run(pair.near.transport.write, b"request")
    pair.go(100_000)
    pair.two.run(pair.far.transport.abort)
    pair.go(100_000)
    assert isinstance(pair.near.error, ConnectionResetError)


def test_data_for_a_closed_connection_is_answered_by_a_reset():
    pair = ConnectionPair().up()
    pair.two.run(pair.far.transport.abort)
    pair.one.run(pair.near.transport.write, b"crossing")
    pair.go(100_000)
    assert pair.near.ended
    assert isinstance(pair.near.error, ConnectionResetError)


@pytest.mark.parametrize("how", ["nobody", "refusing", "limit"])
def test_a_connection_is_refused(how):
    pair = ConnectionPair(listens=how != "nobody")
    if how == "refusing":
        pair.network.refusing_addresses.add(ADDRESS)
    if how == "limit":
        pair.network.connection_limits[ADDRESS] = 0
    pair.up()
    assert isinstance(pair.failed, ConnectionRefusedError)
    assert not pair.one.sockets


def test_a_connect_that_times_out_leaves_nothing_behind():
    pair = ConnectionPair()
    pair.network.unresponsive_addresses.add(ADDRESS)

    async def connect():
        await asyncio.wait_for(pair.one.loop.create_connection(lambda: pair.near, *ADDRESS), 0.2)

    pair.spawn(pair.one, connect())
    pair.one.loop.exception_handler = lambda *_: None
    pair.go(100_000)
    assert len(pair.one.sockets) == 1
    pair.network.unresponsive_addresses.clear()
    pair.go(5_000_000)
    assert not pair.one.sockets
    assert pair.far is None


def test_a_full_listen_queue_delays_connections():
    pair = ConnectionPair()
    listening = pair.network.listeners[ADDRESS]
    listening.backlog = 0
    pair.up()
    assert pair.far is None
    assert pair.failed is None
    listening.backlog = 1
    pair.go(1_000_000)
    assert pair.far is not None


@pytest.mark.parametrize("resets", [False, True])
def test_a_cut_zone_blocks_bytes_and_its_return_resets_or_resumes(resets):
    pair = ConnectionPair().up()
    pair.network.cut_zone("b")
    pair.one.run(pair.near.transport.write, b"lost?")
    pair.go(3_000_000)
    assert pair.far.received == b""
    assert pair.near.error is None
    pair.network.restore_zone("b", resets)
    pair.go(1_000_000)
    if resets:
        assert isinstance(pair.near.error, ConnectionResetError)
        assert pair.far.received == b""
    else:
        assert pair.far.received == b"lost?"
        assert pair.near.error is None


@pytest.mark.parametrize("resets", [False, True])
def test_an_idle_connection_is_lost_silently(resets):
    pair = ConnectionPair(idle_timeout=500_000, reset_after_idle=resets)
    pair.network.tap_factory = lambda end: type(
        "Tap", (), {"data_sent": lambda *_: None, "data_received": lambda *_: None}
    )()
    pair.up()
    pair.go(1_000_000)
    assert pair.near.error is None
    pair.one.run(pair.near.transport.write, b"into nothing")
    pair.go(1_000_000)
    assert pair.far.received == b""
    assert (pair.near.error is not None) == resets


def test_a_peek_shows_data_the_end_and_a_reset():
    pair = ConnectionPair().up()
    pair.two.run(pair.far.transport.pause_reading)
    sock = pair.far.transport.get_extra_info("socket")
    with pytest.raises(BlockingIOError):
        sock.recv(1, socket.MSG_PEEK)
    pair.one.run(pair.near.transport.write, b"ab")
    pair.go(100_000)
    assert sock.recv(1, socket.MSG_PEEK) == b"a" == sock.recv(1, socket.MSG_PEEK)
    pair.one.run(pair.near.transport.close)
    pair.go(100_000)
    assert sock.recv(9) == b"ab"
    assert sock.recv(1, socket.MSG_PEEK) == b""
    sock.end.reset_arrived()
    with pytest.raises(ConnectionResetError):
        sock.recv(1, socket.MSG_PEEK)


def test_a_process_cannot_exceed_its_descriptor_limit():
    pair = ConnectionPair()
    noted = []
    pair.network.on_event = lambda *what: noted.append(what[0])
    pair.one.max_sockets = 0
    with pytest.raises(OSError, match="too many open files"):
        pair.network.socket(pair.one)
    assert noted == ["exhausted"]


def test_simultaneous_calls_run_in_the_order_scheduled_and_a_killed_process_runs_none():
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


def test_a_loop_that_never_waits_is_stopped():
    scheduler = Scheduler(max_steps=1_000)
    process = Process(scheduler, "one", "a")

    def again():
        process.loop.call_soon(again)

    again()
    with pytest.raises(StepLimitError):
        scheduler.run_until(CLOCK_START + 1)
