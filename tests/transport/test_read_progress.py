"""Clients that go on reading, however slowly, and clients that have stopped, on loopback sockets."""

import socket
import time
from contextlib import suppress

import pytest

from dahliabend.transport import host_info
from dahliabend.transport.read_progress import READ_TIMEOUT, ReadProgress

START = 1_000_000  # microseconds
STEP = READ_TIMEOUT // 3


def fill(sock):
    with suppress(BlockingIOError):
        while True:
            sock.send(b"x" * 8192)


@pytest.fixture
def full_connection():
    """A connection of which neither kernel takes more, and the client's socket."""
    with socket.create_server(("127.0.0.1", 0)) as server, socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
        client.connect(server.getsockname())
        sock, _ = server.accept()
        with sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
            for _ in range(3):  # the kernel sends on between the rounds
                fill(sock)
                time.sleep(0.05)
            yield sock, client


def wait_for_change(sock, before):
    deadline = time.monotonic() + 5
    while host_info.unacknowledged_bytes(sock) == before and time.monotonic() < deadline:
        time.sleep(0.01)


def test_a_client_that_reads_nothing_has_stopped_after_the_timeout(full_connection):
    sock, _ = full_connection
    progress = ReadProgress()
    assert not progress.has_stopped(sock, START, START)
    assert not progress.has_stopped(sock, START, START + READ_TIMEOUT)
    assert progress.has_stopped(sock, START, START + READ_TIMEOUT + 1)


def test_a_client_that_reads_a_little_from_time_to_time_has_not_stopped(full_connection):
    sock, client = full_connection
    progress = ReadProgress()
    now = START
    for _ in range(4):
        assert not progress.has_stopped(sock, START, now)
        before = host_info.unacknowledged_bytes(sock)
        client.recv(16 * 1024, socket.MSG_WAITALL)
        wait_for_change(sock, before)
        now += READ_TIMEOUT
    assert not progress.has_stopped(sock, START, now)


def test_a_write_that_the_kernel_took_since_the_last_look_is_progress(full_connection):
    sock, _ = full_connection
    progress = ReadProgress()
    assert not progress.has_stopped(sock, START, START)
    paused_again_at = START + 3 * STEP
    assert not progress.has_stopped(sock, paused_again_at, START + 4 * STEP)


def test_what_is_not_known_of_a_closed_socket_is_no_progress():
    sock = socket.socket()
    sock.close()
    assert host_info.unacknowledged_bytes(sock) == 0
