"""The modelled network keeps what TCP promises, and shows what it does not."""

import asyncio
import socket
from random import Random

import pytest

from dahliabend.simulation.event_loop import CLOCK_START, Process, Scheduler, StepLimitError
from dahliabend.simulation.network import Network, NetworkProfile
from dahliabend.simulation.transports import Transport

PLACE = ("10.0.0.2", 80)


class Peer(asyncio.Protocol):
    """Keeps what it was told."""

    def __init__(self):
        self.got, self.paused, self.ended, self.error = b"", 0, False, None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.got += data

    def pause_writing(self):
        self.paused += 1

    def resume_writing(self):
        self.paused -= 1

    def eof_received(self):
        self.ended = True
        return True

    def connection_lost(self, error):
        self.error = error or True


class Pair:
    """Two machines, and one connection between them."""

    def __init__(self, listens=True, **profile):
        self.scheduler = Scheduler(100_000)
        self.network = Network(self.scheduler, NetworkProfile(jitter=0.0, **profile), Random(1))
        self.network.transport_factory = Transport
        self.network.zones = {"10.0.0.1": "a", "10.0.0.2": "b"}
        self.one, self.two = (
            Process(self.scheduler, n, a) for n, a in (("one", "10.0.0.1"), ("two", PLACE[0]))
        )
        self.one.loop.network = self.two.loop.network = self.network
        self.servers, self.near = [], Peer()
        self.failed = None
        if listens:
            self.spawn(self.two, self.two.loop.create_server(self.accepted, *PLACE))
        self.go(0)
        self.far = None

    def accepted(self):
        self.far = Peer()
        return self.far

    def spawn(self, process, coroutine):
        process.run(process.loop.create_task, coroutine)

    def dial(self):
        async def connect():
            try:
                await self.one.loop.create_connection(lambda: self.near, *PLACE)
            except OSError as error:
                self.failed = error

        self.spawn(self.one, connect())
        return self

    def up(self):
        self.dial()
        self.go(50_000)
        return self

    def go(self, span):
        self.scheduler.run_until(self.scheduler.now + span)


def test_bytes_come_whole_and_in_order_whatever_their_pieces():
    pair = Pair(max_segment=7, receive_window=50, send_buffer=100).up()
    said = bytes(range(256)) * 4
    pair.one.run(pair.near.transport.write, said)
    assert (
        pair.near.transport.get_write_buffer_size() == len(said) - 100
    )  # the system took what it has room for
    pair.go(10_000_000)
    assert pair.far.got == said
    assert not pair.near.transport.get_write_buffer_size()


def test_a_write_taken_in_part_pauses_the_writer_until_all_is_taken():
    pair = Pair(send_buffer=100, receive_window=100).up()
    pair.near.transport.set_write_buffer_limits(high=0)
    pair.two.run(pair.far.transport.pause_reading)
    pair.one.run(pair.near.transport.write, b"x" * 300)
    pair.go(1_000_000)
    assert pair.near.paused == 1
    assert pair.near.transport.get_write_buffer_size() == 100
    pair.two.run(pair.far.transport.resume_reading)
    pair.go(1_000_000)
    assert pair.near.paused == 0
    assert len(pair.far.got) == 300


def test_a_reset_loses_what_was_not_read():
    pair = Pair().up()
    pair.two.run(pair.far.transport.pause_reading)
    pair.one.run(pair.near.transport.write, b"unread")
    pair.go(100_000)
    pair.one.terminate("killed")
    pair.go(100_000)
    assert pair.far.got == b""
    assert pair.far.error is None
    pair.two.run(pair.far.transport.resume_reading)
    pair.go(100_000)
    assert pair.far.got == b""
    assert isinstance(pair.far.error, ConnectionResetError)


def test_a_half_closed_connection_goes_on_the_other_way():
    pair = Pair().up()
    pair.one.run(pair.near.transport.write_eof)
    pair.go(100_000)
    assert pair.far.ended
    pair.two.run(pair.far.transport.write, b"still here")
    pair.go(100_000)
    assert pair.near.got == b"still here"


def test_closing_with_bytes_unread_tells_the_other_by_a_reset():
    pair = Pair().up()
    pair.two.run(pair.far.transport.pause_reading)
    pair.one.run(pair.near.transport.write, b"request")
    pair.go(100_000)
    pair.two.run(pair.far.transport.abort)
    pair.go(100_000)
    assert isinstance(pair.near.error, ConnectionResetError)


def test_what_comes_to_a_closed_connection_is_answered_by_a_reset():
    pair = Pair().up()
    pair.two.run(pair.far.transport.abort)
    pair.one.run(pair.near.transport.write, b"crossing")
    pair.go(100_000)
    assert pair.near.ended
    assert isinstance(pair.near.error, ConnectionResetError)


@pytest.mark.parametrize("how", ["nobody", "refusing", "limit"])
def test_a_connection_is_refused(how):
    pair = Pair(listens=how != "nobody")
    if how == "refusing":
        pair.network.refusing_addresses.add(PLACE)
    if how == "limit":
        pair.network.connection_limits[PLACE] = 0
    pair.up()
    assert isinstance(pair.failed, ConnectionRefusedError)
    assert not pair.one.sockets


def test_a_connection_that_never_comes_up_leaves_nothing_when_given_up():
    pair = Pair()
    pair.network.unresponsive_addresses.add(PLACE)

    async def connect():
        await asyncio.wait_for(pair.one.loop.create_connection(lambda: pair.near, *PLACE), 0.2)

    pair.spawn(pair.one, connect())
    pair.one.loop.exception_handler = lambda *_: None
    pair.go(100_000)
    assert len(pair.one.sockets) == 1
    pair.network.unresponsive_addresses.clear()
    pair.go(5_000_000)
    assert not pair.one.sockets
    assert pair.far is None


def test_a_full_queue_of_connections_makes_them_wait():
    pair = Pair()
    listening = pair.network.listeners[PLACE]
    listening.backlog = 0
    pair.up()
    assert pair.far is None
    assert pair.failed is None
    listening.backlog = 1
    pair.go(1_000_000)
    assert pair.far is not None


@pytest.mark.parametrize("resets", [False, True])
def test_a_zone_cut_off_holds_bytes_back_and_its_return_resets_or_goes_on(resets):
    pair = Pair().up()
    pair.network.cut_zone("b")
    pair.one.run(pair.near.transport.write, b"lost?")
    pair.go(3_000_000)
    assert pair.far.got == b""
    assert pair.near.error is None
    pair.network.restore_zone("b", resets)
    pair.go(1_000_000)
    if resets:
        assert isinstance(pair.near.error, ConnectionResetError)
        assert pair.far.got == b""
    else:
        assert pair.far.got == b"lost?"
        assert pair.near.error is None


@pytest.mark.parametrize("resets", [False, True])
def test_an_idle_connection_dies_unseen(resets):
    pair = Pair(idle_timeout=500_000, reset_after_idle=resets)
    pair.network.tap_factory = lambda end: type(
        "Tap", (), {"data_sent": lambda *_: None, "data_received": lambda *_: None}
    )()
    pair.up()
    pair.go(1_000_000)
    assert pair.near.error is None
    pair.one.run(pair.near.transport.write, b"into nothing")
    pair.go(1_000_000)
    assert pair.far.got == b""
    assert (pair.near.error is not None) == resets


def test_a_peek_tells_what_is_there_an_end_and_a_reset():
    pair = Pair().up()
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


def test_a_process_has_no_more_descriptors_than_it_may():
    pair = Pair()
    noted = []
    pair.network.on_event = lambda *what: noted.append(what[0])
    pair.one.max_sockets = 0
    with pytest.raises(OSError):
        pair.network.socket(pair.one)
    assert noted == ["exhausted"]


def test_what_is_due_together_runs_in_the_order_asked_for_and_a_killed_process_runs_nothing():
    scheduler, said = Scheduler(), []
    one, two = Process(scheduler, "one", "a"), Process(scheduler, "two", "b")
    for number in range(3):
        one.loop.call_later(0.001, said.append, f"one {number}")
        two.loop.call_later(0.001, said.append, f"two {number}")
    scheduler.call_at(CLOCK_START + 1_000, None, two.terminate, "killed")
    one.loop.call_later(0.002, said.append, "later")
    two.loop.call_later(0.002, said.append, "never")
    scheduler.run_until(CLOCK_START + 5_000)
    assert said == ["one 0", "two 0", "one 1", "two 1", "one 2", "two 2", "later"]


def test_a_stalled_process_does_what_was_due_once_it_goes_on():
    scheduler, said = Scheduler(), []
    process = Process(scheduler, "one", "a")
    process.loop.call_later(0.010, lambda: said.append(scheduler.now - CLOCK_START))
    process.stall(30_000)
    scheduler.run_until(CLOCK_START + 20_000)
    assert not said
    scheduler.run_until(CLOCK_START + 40_000)
    assert said == [30_000]


def test_a_loop_that_never_waits_is_ended():
    scheduler = Scheduler(max_steps=1_000)
    process = Process(scheduler, "one", "a")

    def again():
        process.loop.call_soon(again)

    again()
    with pytest.raises(StepLimitError):
        scheduler.run_until(CLOCK_START + 1)
