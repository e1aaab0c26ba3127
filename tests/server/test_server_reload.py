"""Reload of the configuration by SIGHUP, and changes of the endpoint list, in a running process."""

import os
import signal
from contextlib import closing
from queue import Empty
from threading import Event

import pytest
from helpers import (
    CONF,
    PATIENCE,
    Agent,
    Caller,
    Upstream,
    answer,
    call,
    entry,
    is_ready,
    logged,
    program,
    replace,
)


def test_list_changes_take_effect_and_a_lost_watch_catches_up():
    first, second, third = Upstream(), Upstream(), Upstream()
    agent = Agent(entry("s-1", first))
    with program(first, second, third, agent=agent) as (address, _, _):
        client = Caller(address)
        assert agent.asked.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1"

        def reaches(upstream):
            """Send requests until one reaches the upstream: when the list is applied is not observable."""
            for n in range(1000):
                client.ask(trace=f"r{n}")
                try:
                    return bool(upstream.came.get(timeout=0.02))
                except Empty:
                    continue
            return False

        assert reaches(first)
        agent.tell(2, False, entry("s-2", second), entry("s-1", first, "draining"))
        assert reaches(second)
        first.came.queue.clear()
        assert [client.ask()[0] for _ in range(6)] == [200] * 6
        assert first.came.empty()
        agent.tell(3, False, entry("s-2", third))  # the same upstream at another address
        assert reaches(third)
        agent.watches[-1].shutdown(2)
        assert agent.asked.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1&after=3"
        agent.tell(4, True, entry("s-1", first))  # s-2 is missing from a full list: it is removed
        assert reaches(first)
        agent.tell(5, False, {"id": "s-1", "state": "removed"}, {"id": 7}, {"state": "up"})
        for _ in range(1000):
            if is_ready(address) == 503:
                break
        assert is_ready(address) == 503
        assert client.ask()[0] == 503


def test_reload_moves_the_watch_and_a_faulty_file_changes_nothing():
    first, second, other = Upstream(), Upstream(), Agent()
    with (
        program(first, second, agent=Agent(entry("s-1", first))) as (address, process, agent),
        closing(other),
    ):
        replace(process, discovery="127.0.0.1:70000")
        assert logged(process, "reload.rejected")["reason"].startswith(f"{process.path}: discovery: ")
        assert Caller(address).ask()[0] == 200
        assert len(agent.watches) == 1
        other.servers = [entry("s-2", second)]
        replace(process, discovery=other.address, log="debug")
        assert other.asked.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1&after=1"
        other.tell(2, True, entry("s-2", second))
        while logged(process, "endpoint_list.applied")["version"] < 2:
            pass
        assert Caller(address).ask(trace="t2")[0] == 200
        assert second.came.get(timeout=PATIENCE)
        # The first address again; `log` stays, as a file without a key of the one in force is rejected.
        replace(process, log="info")
        assert agent.asked.get(timeout=PATIENCE)
        assert agent.asked.get(timeout=PATIENCE)


CHANGED_SETTINGS = {
    **CONF, "balancers": 7, "localities": ["b", "a"], "locality": 1, "fees": {"cross-zone": 0.2},
    "profiles": [
        CONF["profiles"][0],
        {"name": "upload", "service-goal": 500.0, "hard-limit": 2000.0, "semantics": "at_most_once"},
    ],
    "caps": {**CONF["caps"], "probing": False, "max-streams": 100},
}  # fmt: skip


def test_settings_change_under_traffic_and_a_faulty_file_changes_nothing():
    proceed = Event()
    first = Upstream(lambda conn, request: proceed.wait(PATIENCE) and conn.sendall(answer()) is None)
    with program(first, Upstream()) as (address, process, agent):
        in_flight = [Caller(address) for _ in range(6)]
        for n, client in enumerate(in_flight):
            client.send("submit", "POST", trace=f"h{n}")
        assert first.came.get(timeout=PATIENCE)[0].startswith("POST /submit")
        replace(process, settings={**CHANGED_SETTINGS, "fees": {"cross-zone": -1}})
        assert "settings.fees.cross-zone" in logged(process, "reload.rejected")["reason"]
        replace(process, settings=CHANGED_SETTINGS)
        applied = logged(process, "settings.applied")
        assert applied["restored"] == 2
        assert not applied["new"]
        assert applied["requests_in_flight"] >= 1
        assert logged(process, "settings.ignored")["settings"] == ["caps.max-streams"]
        agent.tell(2, False, entry("s-0", first, "draining"))
        while logged(process, "endpoint_list.applied")["version"] < 2:
            pass
        assert Caller(address).ask("submit", trace="n1")[0] == 404  # the new file has no class `submit`
        responses = [Caller(address).ask("upload", "POST", trace=f"u{n}", expires="1500") for n in range(4)]
        assert [a[0] for a in responses] == [200] * 4
        assert not any("upload" in request[0] for request in first.came.queue)
        proceed.set()
        assert [client.read()[0] for client in in_flight] == [200] * 6  # one each; connections stay open
        assert [client.ask(trace=f"g{n}")[0] for n, client in enumerate(in_flight)] == [200] * 6
        restored_settings = {
            **CHANGED_SETTINGS,
            **CONF,
            "fees": {"cross-zone": 0},
            "caps": {**CONF["caps"], "max-streams": 1},
        }
        replace(process, settings={**restored_settings, "fees": {}})
        assert "settings.fees.cross-zone" in logged(process, "reload.rejected")["reason"]
        replace(process, settings=restored_settings)
        assert logged(process, "settings.applied")["restored"] == 2
        assert Caller(address).ask("submit", "POST", trace="n2")[0] == 200


def test_requests_in_flight_over_a_reload_go_to_no_draining_upstream():
    proceed = Event()

    def close_when_released(conn, request):
        proceed.wait(PATIENCE)

    first, second = Upstream(close_when_released), Upstream()
    with program(first, agent=Agent(entry("s-0", first))) as (address, process, agent):
        client = Caller(address)
        client.send(trace="q1")
        first.came.get(timeout=PATIENCE)
        replace(process, settings=CHANGED_SETTINGS)
        logged(process, "settings.applied")
        agent.tell(2, False, entry("s-0", first, "draining"), entry("s-1", second))
        while logged(process, "endpoint_list.applied")["version"] < 2:
            pass
        proceed.set()
        assert client.read()[0] == 200
        assert second.came.get(timeout=PATIENCE)
        assert first.came.empty()
    second.close()


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("", ""), ('{"settings": {"balan', ""), ("[]", ""),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "hard-limit": -5}]}}, "hard-limit"),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "hard-limit": True}]}}, "hard-limit"),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "hard-limit": "5"}]}}, "hard-limit"),
        ({"settings": {**CONF, "profiles": [{"name": "query", "semantics": "idempotent"}]}}, "profiles"),
        ({"settings": {**CONF, "caps": {**CONF["caps"], "most-hops": 0}}}, "settings.caps.most-hops"),
        ({"settings": {**CONF, "caps": {**CONF["caps"], "most-hops": float("nan")}}}, ""),
        ({"settings": {**CONF, "caps": {"most-hops": 4}}}, "settings.caps.conn-idle: missing"),
        ({"settings": {key: CONF[key] for key in CONF if key != "contract"}}, "contract"),
    ],
)  # fmt: skip
def test_an_invalid_file_is_rejected_on_reload_and_counted(running_balancer, text, key):
    address, process = running_balancer
    invalid = call(process.admin, "/api/telemetry")[1]["cfg_invalid"]
    if isinstance(text, str):
        with open(f"{process.path}.new", "w") as file:
            file.write(text)
        os.replace(file.name, process.path)
        process.send_signal(signal.SIGHUP)
    else:
        replace(process, discovery="127.0.0.1:9", **text)
    assert key in logged(process, "reload.rejected")["reason"]
    telemetry = call(process.admin, "/api/telemetry")[1]
    assert (telemetry["cfg_accepted"], telemetry["cfg_invalid"]) == (0, invalid + 1)
    assert Caller(address).ask("submit", "POST")[0] == 200


@pytest.fixture(scope="module")
def running_balancer():
    with program(Upstream()) as (address, process, _):
        yield address, process
