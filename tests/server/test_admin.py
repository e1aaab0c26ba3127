"""Admin calls to a running process, over sockets."""

from threading import Event

import pytest
from helpers import (
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
    until,
)

from dahliabend.server.metrics import MAX_CLASSES, Metrics


def telemetry(process):
    return call(process.admin, "/api/telemetry")[1]


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
    response, headers = call(process.admin, path, method, body)
    assert response == status
    assert is_ready(address) == 200
    assert status != 405 or headers["allow"] == ("GET" if "telemetry" in path else "PUT")


@pytest.fixture(scope="module")
def admin_process():
    with program(Upstream()) as (address, process, _):
        yield address, process


def test_silent_and_incomplete_calls_do_not_keep_operators_out(admin_process):
    silent = [Caller(admin_process[1].admin) for _ in range(60)]
    for client in silent[::2]:
        client.sock.sendall(b"PUT /api/evac")
    assert [call(admin_process[1].admin, "/api/ready")[0] for _ in range(5)] == [200] * 5
    assert silent[-1].read() is None  # closed by the idle timeout


def test_a_call_that_arrives_byte_by_byte_is_answered(admin_process):
    client, head = Caller(admin_process[1].admin), b"GET /api/ready?x HTTP/1.1\r\nExpect: 100-continue\r\n"
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
            return conn.sendall(answer(head="HTTP/1.1 503 No", extra="X-Never-Ran: 1\r\n")) is None
        if len(connections) % 7 == 0:
            return False
        if request[1].get("x-wait"):
            proceed.wait(PATIENCE)
        return conn.sendall(answer()) is None

    with program(Upstream(count_and_respond), Upstream(count_and_respond)) as (address, process, _):
        statuses_by_class = {
            name: {200: 0, 503: 0, 502: 0, 409: 0, 400: 0} for name in ("query", "submit", "upload")
        }

        def send_requests(count, name, method, **options):
            for n in range(count):
                status = Caller(address).ask(name, method, **{"trace": f"{name}{n}", **options})[0]
                statuses_by_class[name][status] += 1

        send_requests(30, "query", "GET")
        send_requests(30, "submit", "POST")
        send_requests(1, "submit", "POST", expires="never")  # rejected because of its invalid deadline
        waiting_client, leaving_client = Caller(address), Caller(address)
        for client, trace in ((waiting_client, "h"), (leaving_client, "g")):
            client.send("query", trace=trace, extra="X-Wait: 1\r\n")
        until(lambda: telemetry(process)["open_requests"] == 2)
        send_requests(1, "query", "GET", trace="h")  # rejected: a request with this trace ID is open
        disconnect(leaving_client)
        until(lambda: telemetry(process)["open_requests"] == 1)
        profiles = process.conf["settings"]["profiles"]
        settings = {**process.conf["settings"], "profiles": [profiles[0], {**profiles[1], "name": "upload"}]}
        replace(process, settings=settings)
        logged(process, "reload.applied")
        replace(process, settings={**settings, "profiles": []})
        logged(process, "reload.rejected")
        send_requests(9, "upload", "POST")
        proceed.set()
        statuses_by_class["query"][waiting_client.read()[0]] += 1
        telemetry_after = until(lambda: (now := telemetry(process))["open_requests"] == 0 and now)
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
            (not request[1].get("x-wait") or proceed.wait(PATIENCE)) and conn.sendall(answer()) is None
        )
    )
    with program(upstream) as (address, process, _):
        idle, busy = Caller(address), Caller(address)
        assert idle.ask(trace="i")[0] == 200
        busy.send(trace="b", extra="X-Wait: 1\r\n")
        until(lambda: telemetry(process)["open_requests"] == 1)
        assert [call(process.admin, "/api/evacuate", "PUT")[0] for _ in range(2)] == [200, 200]
        assert is_ready(address) == 503
        assert idle.read() is None
        late = Caller(address).ask(trace="l")
        assert late[0] == 200
        assert late[1]["connection"] == "close"
        proceed.set()
        response = busy.read()
        assert response[0] == 200
        assert response[1]["connection"] == "close"
        assert busy.read() is None
        assert [call(process.admin, "/api/rejoin", "PUT")[0] for _ in range(2)] == [200, 200]
        again = Caller(address)
        assert is_ready(address) == 200
        assert "connection" not in again.ask(trace="a")[1]
        assert again.ask(trace="a2")[0] == 200


def test_an_excluded_upstream_gets_no_request_until_it_is_included_again():
    first, second = Upstream(), Upstream()
    agent = Agent(entry("s-1", first), entry("s-2", second))
    with program(first, second, agent=agent) as (address, process, _):
        client, target = Caller(address), b'{"target":"s-1"}'

        def all_succeed(count=8):
            return [client.ask(trace=f"t{n}")[0] for n in range(count)] == [200] * count

        def update_list(version, *servers, full=False):
            agent.tell(version, full, *servers)
            while logged(process, "endpoint_list.applied")["version"] < version:
                pass

        assert all_succeed()
        assert first.came.qsize()
        assert [call(process.admin, "/api/exclude", "PUT", target)[0] for _ in range(3)] == [200] * 3
        assert first.ended.get(timeout=PATIENCE)  # its idle connections are closed
        first.came.queue.clear()
        update_list(2, entry("s-1", first, "draining"))
        update_list(3, {"id": "s-1", "state": "removed"})
        assert all_succeed()
        assert telemetry(process)["out_of_rotation"] == 0
        update_list(4, entry("s-1", first))
        update_list(5, entry("s-1", first), entry("s-2", second), full=True)
        replace(process, settings={**process.conf["settings"], "balancers": 3})
        logged(process, "settings.applied")
        assert all_succeed()
        assert first.came.empty()
        assert telemetry(process)["out_of_rotation"] == 1
        assert call(process.admin, "/api/include", "PUT", target)[0] == 200  # undoes all three exclusions
        until(lambda: all_succeed() and not first.came.empty())
        assert telemetry(process)["out_of_rotation"] == 0
