"""Reload of the configuration by SIGHUP, and changes of the endpoint list, in a running process."""

import json
import os
import signal
from contextlib import closing
from queue import Empty
from threading import Event

import pytest
from helpers import (
    CONF,
    PATIENCE,
    Client,
    DiscoveryAgent,
    Upstream,
    call_admin,
    make_response,
    readiness_status,
    reload_configuration,
    server_entry,
    start_balancer,
    wait_for_event,
)


def test_list_changes_take_effect_and_a_lost_watch_catches_up():
    first, second, third = Upstream(), Upstream(), Upstream()
    agent = DiscoveryAgent(server_entry("s-1", first))
    with start_balancer(first, second, third, agent=agent) as (address, _, _):
        client = Client(address)
        assert agent.watch_requests.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1"

        def reaches(upstream):
            """Send requests until one reaches the upstream: when the list is applied is not observable."""
            for n in range(1000):
                client.request(trace_id=f"r{n}")
                try:
                    return bool(upstream.received_requests.get(timeout=0.02))
                except Empty:
                    continue
            return False

        assert reaches(first)
        agent.send_update(2, False, server_entry("s-2", second), server_entry("s-1", first, "draining"))
        assert reaches(second)
        first.received_requests.queue.clear()
        assert [client.request()[0] for _ in range(6)] == [200] * 6
        assert first.received_requests.empty()
        agent.send_update(3, False, server_entry("s-2", third))  # the same upstream at another address
        assert reaches(third)
        agent.watch_connections[-1].shutdown(2)
        assert agent.watch_requests.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1&after=3"
        agent.send_update(
            4, True, server_entry("s-1", first)
        )  # s-2 is missing from a full list: it is removed
        assert reaches(first)
        agent.send_update(5, False, {"id": "s-1", "state": "removed"}, {"id": 7}, {"state": "up"})
        for _ in range(1000):
            if readiness_status(address) == 503:
                break
        assert readiness_status(address) == 503
        assert client.request()[0] == 503


def test_reload_moves_the_watch_and_a_faulty_file_changes_nothing():
    first, second, other = Upstream(), Upstream(), DiscoveryAgent()
    with (
        start_balancer(first, second, agent=DiscoveryAgent(server_entry("s-1", first))) as (
            address,
            process,
            agent,
        ),
        closing(other),
    ):
        reload_configuration(process, discovery="127.0.0.1:70000")
        assert wait_for_event(process, "reload.rejected")["reason"].startswith(
            f"{process.config_path}: discovery: "
        )
        assert Client(address).request()[0] == 200
        assert len(agent.watch_connections) == 1
        other.servers = [server_entry("s-2", second)]
        reload_configuration(process, discovery=other.address, log="debug")
        assert other.watch_requests.get(timeout=PATIENCE).split()[1] == "/api/targets?watch=1&after=1"
        other.send_update(2, True, server_entry("s-2", second))
        while wait_for_event(process, "endpoint_list.applied")["version"] < 2:
            pass
        assert Client(address).request(trace_id="t2")[0] == 200
        assert second.received_requests.get(timeout=PATIENCE)
        # The first address again; `log` stays, as a file without a key of the one in force is rejected.
        reload_configuration(process, log="info")
        assert agent.watch_requests.get(timeout=PATIENCE)
        assert agent.watch_requests.get(timeout=PATIENCE)


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
    first = Upstream(lambda conn, request: proceed.wait(PATIENCE) and conn.sendall(make_response()) is None)
    with start_balancer(first, Upstream()) as (address, process, agent):
        in_flight = [Client(address) for _ in range(6)]
        for n, client in enumerate(in_flight):
            client.send("submit", "POST", trace_id=f"h{n}")
        assert first.received_requests.get(timeout=PATIENCE)[0].startswith("POST /submit")
        reload_configuration(process, settings={**CHANGED_SETTINGS, "fees": {"cross-zone": -1}})
        assert "settings.fees.cross-zone" in wait_for_event(process, "reload.rejected")["reason"]
        reload_configuration(process, settings=CHANGED_SETTINGS)
        applied = wait_for_event(process, "settings.applied")
        assert applied["restored"] == 2
        assert not applied["new"]
        assert applied["requests_in_flight"] >= 1
        assert wait_for_event(process, "settings.ignored")["settings"] == ["caps.max-streams"]
        agent.send_update(2, False, server_entry("s-0", first, "draining"))
        while wait_for_event(process, "endpoint_list.applied")["version"] < 2:
            pass
        assert (
            Client(address).request("submit", trace_id="n1")[0] == 404
        )  # the new file has no class `submit`
        responses = [
            Client(address).request("upload", "POST", trace_id=f"u{n}", timeout_ms="1500") for n in range(4)
        ]
        assert [a[0] for a in responses] == [200] * 4
        assert not any("upload" in request[0] for request in first.received_requests.queue)
        proceed.set()
        assert [client.read()[0] for client in in_flight] == [200] * 6  # one each; connections stay open
        assert [client.request(trace_id=f"g{n}")[0] for n, client in enumerate(in_flight)] == [200] * 6
        restored_settings = {
            **CHANGED_SETTINGS,
            **CONF,
            "fees": {"cross-zone": 0},
            "caps": {**CONF["caps"], "max-streams": 1},
        }
        reload_configuration(process, settings={**restored_settings, "fees": {}})
        assert "settings.fees.cross-zone" in wait_for_event(process, "reload.rejected")["reason"]
        reload_configuration(process, settings=restored_settings)
        assert wait_for_event(process, "settings.applied")["restored"] == 2
        assert Client(address).request("submit", "POST", trace_id="n2")[0] == 200


def test_requests_in_flight_over_a_reload_go_to_no_draining_upstream():
    proceed = Event()

    def close_when_released(conn, request):
        proceed.wait(PATIENCE)

    first, second = Upstream(close_when_released), Upstream()
    with start_balancer(first, agent=DiscoveryAgent(server_entry("s-0", first))) as (address, process, agent):
        client = Client(address)
        client.send(trace_id="q1")
        first.received_requests.get(timeout=PATIENCE)
        reload_configuration(process, settings=CHANGED_SETTINGS)
        wait_for_event(process, "settings.applied")
        agent.send_update(2, False, server_entry("s-0", first, "draining"), server_entry("s-1", second))
        while wait_for_event(process, "endpoint_list.applied")["version"] < 2:
            pass
        proceed.set()
        assert client.read()[0] == 200
        assert second.received_requests.get(timeout=PATIENCE)
        assert first.received_requests.empty()
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
        ({"settings": {**CONF, "tenants": [{"allowance-per-s": 5.0}]}}, "settings.tenants[0].name"),
        ({"settings": {**CONF, "tenants": [{"name": "gold"}] * 2}}, "settings.tenants[1].name"),
        ({"settings": {**CONF, "profiles": [{**CONF["profiles"][0], "dedup-window": -1}]}}, "dedup-window"),
    ],
)  # fmt: skip
def test_an_invalid_file_is_rejected_on_reload_and_counted(running_balancer, text, key):
    address, process = running_balancer
    invalid = call_admin(process.admin, "/api/telemetry")[1]["cfg_invalid"]
    if isinstance(text, str):
        with open(f"{process.config_path}.new", "w") as file:
            file.write(text)
        os.replace(file.name, process.config_path)
        process.send_signal(signal.SIGHUP)
    else:
        reload_configuration(process, discovery="127.0.0.1:9", **text)
    assert key in wait_for_event(process, "reload.rejected")["reason"]
    telemetry = call_admin(process.admin, "/api/telemetry")[1]
    assert (telemetry["cfg_accepted"], telemetry["cfg_invalid"]) == (0, invalid + 1)
    assert Client(address).request("submit", "POST")[0] == 200


DEDUPLICATED_CLASS = {
    "name": "book", "service-goal": 1000.0, "hard-limit": 3000.0, "semantics": "deduplicated",
    "group": "cell", "dedup-window": 8000.0, "revenue": 2.0, "in-order": False,
}  # fmt: skip
NAMED_ENTRIES = {
    "profiles": [CONF["profiles"][0], DEDUPLICATED_CLASS],
    "tenants": [{"name": "gold", "allowance-per-s": 100.0}, {"name": "basic", "allowance-per-s": 5.0}],
}


def without(table, key):
    return {name: value for name, value in table.items() if name != key}


def is_rejected(process, key, reason="missing"):
    """Wait for the verdict on a reloaded file; return whether it was rejected for this key and counted."""
    while not (event := json.loads(process.log.get(timeout=PATIENCE)))["event"].startswith("reload."):
        pass
    telemetry = call_admin(process.admin, "/api/telemetry")[1]
    return (
        event["event"] == "reload.rejected"
        and event["reason"].startswith(f"{process.config_path}: {key}: {reason}")
        and (telemetry["cfg_accepted"], telemetry["cfg_invalid"]) == (0, 1)
    )


# Guards against a default in place of a key that an entry of a list has lost: without `group`, deduplicated
# requests were repeated in another cell and ran twice.
def test_no_request_runs_in_two_cells_after_a_reload_whose_class_lacks_its_group():
    failing = Upstream(lambda conn, request: conn.sendall(make_response(head="HTTP/1.1 500 Failed")) is None)
    other_cell = Upstream()
    agent = DiscoveryAgent(server_entry("s-0", failing), {**server_entry("s-1", other_cell), "cell": 1})
    with start_balancer(failing, other_cell, agent=agent, settings=NAMED_ENTRIES) as (address, process, _):
        profiles = [CONF["profiles"][0], without(DEDUPLICATED_CLASS, "group")]
        reload_configuration(process, settings={**CONF, **NAMED_ENTRIES, "profiles": profiles})
        rejected = is_rejected(process, 'settings.profiles["book"].group')
        client = Client(address)
        for n in range(20):
            client.request("book", "POST", b"x", trace_id=f"t{n}")
        trace_ids, other_trace_ids = (
            {headers["x-trace-id"] for _, headers, _ in upstream.received_requests.queue}
            for upstream in (failing, other_cell)
        )
        assert not trace_ids & other_trace_ids
        assert rejected


@pytest.mark.parametrize(
    ("list_key", "name", "key"),
    [
        *[("profiles", "book", key) for key in ("group", "dedup-window", "revenue", "in-order")],
        ("tenants", "basic", "allowance-per-s"),
    ],
)
def test_a_file_that_lacks_a_key_of_an_entry_in_force_is_rejected(list_key, name, key):
    with start_balancer(Upstream(), settings=NAMED_ENTRIES) as (address, process, _):
        entries = [
            without(entry, key) if entry["name"] == name else entry for entry in NAMED_ENTRIES[list_key]
        ]
        settings = {**CONF, **NAMED_ENTRIES, list_key: entries[::-1]}  # the order may change
        reload_configuration(process, settings=settings)
        assert is_rejected(process, f'settings.{list_key}["{name}"].{key}')
        assert Client(address).request("book", "POST", b"x")[0] == 200


def test_a_file_that_lacks_a_limit_in_force_is_rejected():
    with start_balancer(Upstream(), limits={"sockets": 256}) as (_, process, _):
        reload_configuration(process, limits={})
        assert is_rejected(process, "limits.sockets")


@pytest.mark.parametrize("key", ["group", "dedup-window"])
@pytest.mark.parametrize("before", [None, {**CONF["profiles"][1], "name": "book"}])
def test_a_class_that_becomes_deduplicated_has_to_say_where_and_how_long(before, key):
    profiles = [CONF["profiles"][0], *([before] if before else [])]
    with start_balancer(Upstream(), settings={"profiles": profiles}) as (_, process, _):
        changed = [CONF["profiles"][0], without(DEDUPLICATED_CLASS, key)]
        reload_configuration(process, settings={**CONF, "profiles": changed})
        assert is_rejected(process, f'settings.profiles["book"].{key}')


def test_entries_may_be_removed_and_added_as_a_whole():
    with start_balancer(Upstream(), settings=NAMED_ENTRIES) as (address, process, _):
        profiles = [{**DEDUPLICATED_CLASS, "name": "amend"}, CONF["profiles"][0]]
        tenants = NAMED_ENTRIES["tenants"][1:]
        reload_configuration(process, settings={**CONF, "profiles": profiles, "tenants": tenants})
        wait_for_event(process, "reload.applied")
        assert Client(address).request("amend", "POST", b"x")[0] == 200
        assert Client(address).request("book", "POST", b"x")[0] == 404


@pytest.fixture(scope="module")
def running_balancer():
    with start_balancer(Upstream()) as (address, process, _):
        yield address, process
