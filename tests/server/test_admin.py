"""Admin calls to a running process, over sockets."""

from threading import Event

import pytest
from helpers import (
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
    wait_until,
)

from dahliabend.server.metrics import MAX_CLASSES, Metrics


def telemetry(process):
    return call_admin(process.admin, "/api/telemetry")[1]


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/api/other", b"", 404), ("PUT", "/api/telemetry", b"", 405),
        ("GET", "/api/evacuate", b"", 405),
        ("PUT", "/api/rejoin", b"x" * 9000, 413), ("PUT", "/api/exclude", b"", 400),
        ("PUT", "/api/exclude", b"[1]", 400), ("PUT", "/api/exclude", b'{"target":', 400),
        ("PUT", "/api/include", b"{}", 400), ("PUT", "/api/exclude", b'{"target":7}', 400),
        ("PUT", "/api/exclude", b'{"target":"s-9"}', 404), ("PUT", "/api/include", b'{"target":"s-9"}', 404),
    ],
)  # fmt: skip
def test_an_invalid_call_gets_an_error_and_changes_nothing(admin_process, method, path, body, status):
    address, process = admin_process
    response, headers = call_admin(process.admin, path, method, body)
    assert response == status
    assert readiness_status(address) == 200
    assert status != 405 or headers["allow"] == ("GET" if "telemetry" in path else "PUT")


@pytest.fixture(scope="module")
def admin_process():
    with start_balancer(Upstream()) as (address, process, _):
        yield address, process


def test_silent_and_incomplete_calls_do_not_keep_operators_out(admin_process):
    silent = [Client(admin_process[1].admin) for _ in range(60)]
    for client in silent[::2]:
        client.sock.sendall(b"PUT /api/evac")
    assert [call_admin(admin_process[1].admin, "/api/ready")[0] for _ in range(5)] == [200] * 5
    assert silent[-1].read() is None  # closed by the idle timeout


def test_a_call_that_arrives_byte_by_byte_is_answered(admin_process):
    client, head = Client(admin_process[1].admin), b"GET /api/ready?x HTTP/1.1\r\nExpect: 100-continue\r\n"
    for byte in head + b"Transfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\n\r\n":
        client.sock.sendall(bytes([byte]))
    assert [client.read()[0] for _ in range(2)] == [100, 200]


def disconnect(client):
    client.file.close()
    client.sock.close()


def test_the_counts_match_what_clients_and_upstreams_saw():
    proceed, paths, connections = Event(), [], []

    def count_and_respond(conn, request):
        paths.append(request[0].split()[1][1:].partition("?")[0])
        connections.append(conn)
        if len(connections) % 5 == 0:
            return (
                conn.sendall(make_response(head="HTTP/1.1 503 No", extra_headers="X-Never-Ran: 1\r\n"))
                is None
            )
        if len(connections) % 7 == 0:
            return False
        if request[1].get("x-wait"):
            proceed.wait(PATIENCE)
        return conn.sendall(make_response()) is None

    with start_balancer(Upstream(count_and_respond), Upstream(count_and_respond)) as (address, process, _):
        statuses_by_class = {
            name: {200: 0, 503: 0, 502: 0, 409: 0, 400: 0} for name in ("query", "submit", "upload")
        }

        def send_requests(count, name, method, **options):
            for n in range(count):
                status = Client(address).request(name, method, **{"trace_id": f"{name}{n}", **options})[0]
                statuses_by_class[name][status] += 1

        send_requests(30, "query", "GET")
        send_requests(30, "submit", "POST")
        send_requests(1, "submit", "POST", timeout_ms="never")  # rejected because of its invalid deadline
        waiting_client, leaving_client = Client(address), Client(address)
        for client, trace in ((waiting_client, "h"), (leaving_client, "g")):
            client.send("query", trace_id=trace, extra_headers="X-Wait: 1\r\n")
        wait_until(lambda: telemetry(process)["open_requests"] == 2)
        send_requests(1, "query", "GET", trace_id="h")  # rejected: a request with this trace ID is open
        disconnect(leaving_client)
        wait_until(lambda: telemetry(process)["open_requests"] == 1)
        profiles = process.config["settings"]["profiles"]
        settings = {
            **process.config["settings"],
            "profiles": [profiles[0], {**profiles[1], "name": "upload"}],
        }
        reload_configuration(process, settings=settings)
        wait_for_event(process, "reload.applied")
        reload_configuration(process, settings={**settings, "profiles": []})
        wait_for_event(process, "reload.rejected")
        send_requests(9, "upload", "POST")
        proceed.set()
        statuses_by_class["query"][waiting_client.read()[0]] += 1
        telemetry_after = wait_until(lambda: (now := telemetry(process))["open_requests"] == 0 and now)
        for name, statuses in statuses_by_class.items():
            counts = telemetry_after["operations"][name]
            assert counts["fulfilled"] == statuses[200]
            assert counts["throttled"] == statuses[503]
            assert counts["faulted"] == statuses[502] + statuses[409] + statuses[400]
            assert counts["relayed"] == paths.count(name)
        assert telemetry_after["relayed"] == len(paths)
        assert telemetry_after["registry_entries"] == 2
        assert (telemetry_after["cfg_accepted"], telemetry_after["cfg_invalid"]) == (1, 1)


def test_the_table_of_classes_is_bounded_when_reloads_keep_adding_classes():
    metrics = Metrics()
    for n in range(5 * MAX_CLASSES):
        metrics.set_active_classes([b"%d" % n, b"kept"])
        metrics.count_response(b"kept", 200)
    assert len(metrics.classes) == MAX_CLASSES
    assert metrics.classes[b"kept"][0] == 5 * MAX_CLASSES


def test_an_evacuated_balancer_closes_client_connections_and_loses_no_request():
    proceed = Event()
    upstream = Upstream(
        lambda conn, request: (
            (not request[1].get("x-wait") or proceed.wait(PATIENCE)) and conn.sendall(make_response()) is None
        )
    )
    with start_balancer(upstream) as (address, process, _):
        idle, busy = Client(address), Client(address)
        assert idle.request(trace_id="i")[0] == 200
        busy.send(trace_id="b", extra_headers="X-Wait: 1\r\n")
        wait_until(lambda: telemetry(process)["open_requests"] == 1)
        assert [call_admin(process.admin, "/api/evacuate", "PUT")[0] for _ in range(2)] == [200, 200]
        assert readiness_status(address) == 503
        assert idle.read() is None
        late = Client(address).request(trace_id="l")
        assert late[0] == 200
        assert late[1]["connection"] == "close"
        proceed.set()
        response = busy.read()
        assert response[0] == 200
        assert response[1]["connection"] == "close"
        assert busy.read() is None
        assert [call_admin(process.admin, "/api/rejoin", "PUT")[0] for _ in range(2)] == [200, 200]
        again = Client(address)
        assert readiness_status(address) == 200
        assert "connection" not in again.request(trace_id="a")[1]
        assert again.request(trace_id="a2")[0] == 200


def test_an_excluded_upstream_gets_no_request_until_it_is_included_again():
    first, second = Upstream(), Upstream()
    agent = DiscoveryAgent(server_entry("s-1", first), server_entry("s-2", second))
    with start_balancer(first, second, agent=agent) as (address, process, _):
        client, target = Client(address), b'{"target":"s-1"}'

        def all_succeed(count=8):
            return [client.request(trace_id=f"t{n}")[0] for n in range(count)] == [200] * count

        def update_list(version, *servers, full=False):
            agent.send_update(version, full, *servers)
            while wait_for_event(process, "endpoint_list.applied")["version"] < version:
                pass

        assert all_succeed()
        assert first.received_requests.qsize()
        assert [call_admin(process.admin, "/api/exclude", "PUT", target)[0] for _ in range(3)] == [200] * 3
        assert first.ended_connections.get(timeout=PATIENCE)  # its idle connections are closed
        first.received_requests.queue.clear()
        update_list(2, server_entry("s-1", first, "draining"))
        update_list(3, {"id": "s-1", "state": "removed"})
        assert all_succeed()
        assert telemetry(process)["out_of_rotation"] == 0
        update_list(4, server_entry("s-1", first))
        update_list(5, server_entry("s-1", first), server_entry("s-2", second), full=True)
        reload_configuration(process, settings={**process.config["settings"], "balancers": 3})
        wait_for_event(process, "settings.applied")
        assert all_succeed()
        assert first.received_requests.empty()
        assert telemetry(process)["out_of_rotation"] == 1
        assert (
            call_admin(process.admin, "/api/include", "PUT", target)[0] == 200
        )  # undoes all three exclusions
        wait_until(lambda: all_succeed() and not first.received_requests.empty())
        assert telemetry(process)["out_of_rotation"] == 0
