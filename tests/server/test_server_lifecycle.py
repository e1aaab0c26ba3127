"""Start, readiness and graceful shutdown of a running process."""

import json
import os
import signal
import subprocess
import sys
from threading import Event

import pytest
from fake_silent_discovery import SilentDiscovery
from helpers import (
    CONF,
    PATIENCE,
    Client,
    Upstream,
    make_response,
    readiness_status,
    server_entry,
    start_balancer,
)


@pytest.mark.parametrize("silent", [False, True])
def test_a_server_starts_from_the_configured_list_when_discovery_is_down(silent):
    upstream, agent = Upstream(), SilentDiscovery()
    if not silent:
        agent.close()
    known_endpoints = {"version": 41, "full": True, "servers": [server_entry("s-1", upstream)]}
    with start_balancer(upstream, agent=agent, known=known_endpoints) as (address, _, _):
        assert Client(address).request()[0] == 200


def test_a_server_without_upstreams_is_not_ready():
    with start_balancer(ready=False) as (address, _, _):
        assert readiness_status(address) == 503
        assert Client(address).request()[0] == 503


def test_sigterm_drains_requests_in_flight_and_late_connections():
    proceed = Event()

    def wait(conn, request):
        return proceed.wait(PATIENCE) and conn.sendall(make_response()) is None

    upstream = Upstream(wait)
    with start_balancer(upstream) as (address, process, _):
        idle, busy = Client(address), Client(address)
        proceed.set()
        assert idle.request()[0] == 200
        assert upstream.received_requests.get(timeout=PATIENCE)
        proceed.clear()
        busy.send(timeout_ms="3000")
        upstream.received_requests.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        assert idle.read() is None  # an idle connection is closed at once
        late_client = Client(address)
        late_client.send(trace_id="t2", timeout_ms="3000")
        upstream.received_requests.get(timeout=PATIENCE)
        proceed.set()
        for client in (busy, late_client):
            response = client.read()
            assert response[0] == 200
            assert response[1]["connection"] == "close"
            assert client.read() is None
        assert process.wait(PATIENCE) == 0


def test_sigterm_answers_requests_at_a_silent_upstream():
    silent = Event()
    upstream = Upstream(lambda conn, request: silent.wait(PATIENCE))
    profiles = [{**p, "hard-limit": 9000.0, "tardy-revenue": 0.5} for p in CONF["profiles"]]
    with start_balancer(upstream, settings={"profiles": profiles}) as (address, process, _):
        client = Client(address)
        client.send("submit", "POST", timeout_ms="9000")
        upstream.received_requests.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        assert client.read()[0] == 502
        assert process.wait(PATIENCE) == 0
        silent.set()


@pytest.mark.parametrize(
    ("overrides", "key"),
    [
        ({"settings": None}, "settings"), ({"seed": "xyz"}, "seed"), ({"listen": "localhost:80"}, "listen"),
        ({"discovery": "127.0.0.1:99999"}, "discovery"), ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"limits": {"sockets": "x"}}, "limits.sockets"), ({"log": "loud"}, "log"),
        ({"known": {"servers": []}}, "known.version"), ({"known": [1]}, "known"),
        ({"settings": {**CONF, "profiles": []}}, "settings.profiles"),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "name": ""}]}}, "profiles[0].name"),
        ({"settings": {**CONF, "caps": {"most-hops": 0}}}, "settings.caps.most-hops"),
        ({"settings": {**CONF, "balancers": "two"}}, "settings.balancers"),
        ({"settings": {**CONF, "balancers": -4}}, "settings.balancers"),
        ({"settings": {**CONF, "fees": {"cross-zone": -1}}}, "settings.fees.cross-zone"),
        ({"settings": {**CONF, "fees": {"cross-zone": "dear"}}}, "settings.fees.cross-zone"),
        ({"settings": {**CONF, "caps": {"most-hops": 4, "max-streams": 0}}}, "settings.caps.max-streams"),
        ({"settings": {**CONF, "caps": {"most-hops": 4, "may-tell": "no"}}}, "settings.caps.may-tell"),
    ],
)  # fmt: skip
def test_an_invalid_configuration_ends_the_start_with_one_line_that_names_the_key(tmp_path, overrides, key):
    path = tmp_path / "config.json"
    configuration = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": CONF, **overrides}
    path.write_text(json.dumps(configuration))
    finished = subprocess.run(
        [sys.executable, "-m", "dahliabend"],
        env={**os.environ, "PROXY_CONFIG": str(path)},
        capture_output=True,
    )
    assert finished.returncode == 2
    assert key in finished.stderr.decode()
    assert finished.stderr.count(b"\n") == 1


def test_without_arguments_nothing_of_the_command_line_is_imported():
    code = (
        "import sys, dahliabend.__main__ as program; sys.argv = ['dahliabend']; status = program.main(); "
        "print(status, sorted(name for name in sys.modules if name.startswith(('dahliabend.cli', 'click'))))"
    )
    environment = {name: value for name, value in os.environ.items() if name != "PROXY_CONFIG"}
    finished = subprocess.run([sys.executable, "-c", code], env=environment, capture_output=True)
    assert finished.stdout == b"2 []\n"
    assert finished.stderr == b"dahliabend: PROXY_CONFIG: not set; it names the configuration file\n"
