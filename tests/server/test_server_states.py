"""The states of a server from its start to its shutdown, with a fake clock."""

import pytest
from fake_draining_server import FakeDrainingServer

from dahliabend.server import lifecycle
from dahliabend.server.lifecycle import (
    ACCEPT_PERIOD,
    ANSWER_MARGIN,
    CLIENT_CLOSE_TIMEOUT,
    KILL_MARGIN,
    ServerState,
)


@pytest.fixture
def make_server(monkeypatch):
    """Return a function that creates servers; the lifecycle's clock is that of the last one's timers."""

    def make(clients, **options):
        server = FakeDrainingServer(clients, **options)
        monkeypatch.setattr(lifecycle, "clock", lambda: server.timers.now)
        return server

    return make


def test_a_server_serves_once_it_has_started(make_server):
    server = make_server(0)
    assert server.lifecycle.state is ServerState.STARTING
    server.lifecycle.mark_serving()
    assert server.lifecycle.state is ServerState.SERVING


def test_a_server_that_was_stopped_during_its_start_keeps_draining(make_server):
    server = make_server(1)
    server.lifecycle.drain()
    server.lifecycle.mark_serving()
    assert server.lifecycle.state is ServerState.DRAINING


def test_draining_accepts_late_connections_and_stops_once_all_clients_have_gone(make_server):
    server = make_server(2)
    server.lifecycle.mark_serving()
    server.lifecycle.drain()
    start_time = server.timers.now
    server.timers.run_until(start_time + ACCEPT_PERIOD - 1)
    assert server.lifecycle.state is ServerState.DRAINING
    assert server.events == ["shutdown.started"]
    server.timers.run_until(start_time + ACCEPT_PERIOD)
    assert server.lifecycle.state is ServerState.CLOSING
    assert server.events == ["shutdown.started", "listener closed"]
    server.clients = 0
    server.timers.run_until(start_time + 2 * ACCEPT_PERIOD)
    assert server.lifecycle.state is ServerState.STOPPED
    assert server.lifecycle.stopped.done()


def test_an_inherited_listener_is_closed_at_once(make_server):
    server = make_server(1, shared_listener=True)
    server.lifecycle.drain()
    server.timers.run_until(server.timers.now)
    assert server.lifecycle.state is ServerState.CLOSING


def test_the_server_stops_after_a_timeout_if_clients_stay_connected(make_server):
    server = make_server(1)
    server.lifecycle.drain()
    deadline = server.timers.now + server.max_request_time + KILL_MARGIN - ANSWER_MARGIN
    assert server.router.shutdown_deadline == deadline
    server.timers.run_until(deadline + CLIENT_CLOSE_TIMEOUT - 1)
    assert server.lifecycle.state is ServerState.CLOSING
    server.timers.run_until(deadline + CLIENT_CLOSE_TIMEOUT + lifecycle.CLIENT_CHECK_INTERVAL)
    assert server.lifecycle.state is ServerState.STOPPED


def test_a_second_stop_changes_nothing(make_server):
    server = make_server(1)
    server.lifecycle.drain()
    server.timers.run_until(server.timers.now + ACCEPT_PERIOD)
    deadline = server.router.shutdown_deadline
    server.lifecycle.drain()
    assert server.events == ["shutdown.started", "listener closed"]
    assert server.router.shutdown_deadline == deadline
