"""Signals during a reload of a bad file and during shutdown, in a running process."""

import signal
import time
from threading import Event

import pytest
from helpers import (
    PATIENCE,
    Client,
    Upstream,
    make_response,
    start_balancer,
    wait_for_event,
)
from late_upstream import (
    LONG_PROFILES,
)


@pytest.mark.parametrize("text", [b"", b'{"listen": "127.0.0.1:1", "settings": {"prof', b"{}", b"[]"])
def test_an_empty_or_truncated_file_is_named_and_the_one_in_force_stays(text):
    with start_balancer(Upstream()) as (address, process, _):
        with open(process.config_path, "wb") as file:
            file.write(text)
        process.send_signal(signal.SIGHUP)
        assert process.config_path in wait_for_event(process, "reload.rejected")["reason"]
        assert Client(address).request("submit", "POST")[0] == 200


@pytest.mark.parametrize(
    "further_signals", [[signal.SIGTERM], [signal.SIGHUP], [signal.SIGHUP, signal.SIGTERM]]
)
def test_a_second_signal_during_shutdown_changes_nothing(further_signals):
    proceed = Event()
    upstream = Upstream(
        lambda conn, request: proceed.wait(PATIENCE) and conn.sendall(make_response()) is None
    )
    with start_balancer(upstream, settings={"profiles": LONG_PROFILES}) as (address, process, _):
        client = Client(address)
        client.send("submit", "POST", b"x", "60000")
        upstream.received_requests.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        wait_for_event(process, "shutdown.started")
        for number in further_signals:
            process.send_signal(number)
        if signal.SIGHUP in further_signals:
            wait_for_event(process, "reload.applied")
        proceed.set()
        assert client.read()[0] == 200
        assert client.read() is None
        client.sock.close()
        client.file.close()
        assert process.wait(PATIENCE) == 0


def test_connections_waiting_in_the_systems_queue_at_sigterm_are_accepted_and_answered():
    with start_balancer(upstream := Upstream()) as (address, process, _):
        process.send_signal(signal.SIGTERM)
        wait_for_event(process, "shutdown.started")
        process.send_signal(signal.SIGSTOP)
        clients = []
        for n in range(100):
            clients.append(Client(address))
            clients[-1].send("submit", "POST", b"x", trace_id=f"t{n}")
        time.sleep(0.6)  # longer than ACCEPT_PERIOD: the listener's closing is due when the process continues
        process.send_signal(signal.SIGCONT)
        responses = [client.read() for client in clients]  # None, or a reset, for a lost connection
        assert {status for status, *_ in responses} <= {200, 503}  # 503: above the concurrency limit
        assert process.wait(PATIENCE) == 0
        assert upstream.received_requests.qsize() == [a[0] for a in responses].count(200) > 0
