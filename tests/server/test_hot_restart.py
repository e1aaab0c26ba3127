"""Hot restart: a second process on the same listening socket takes over without interrupting service."""

import os
import signal
from threading import Event, Thread

from helpers import PATIENCE, Client, Upstream, call_admin, make_response, wait_for_event, wait_until
from processes_on_one_listener import set_excluded, start_processes, telemetry_value

from dahliabend.server.hot_restart import VERSION, HotRestart


def test_two_restarts_in_a_row_under_load_lose_no_request():
    stop, statuses = Event(), []

    def send_requests(address, reuses_connection, number):
        client, n = None, 0
        while not stop.is_set():
            client, n = client or Client(address), n + 1
            response = client.request(trace_id=f"l{number}-{n}")
            if response is None and reuses_connection:  # closed between requests: clients retry once
                client = Client(address)
                response = client.request(trace_id=f"l{number}-{n}")
            statuses.append(response and response[0])
            if not reuses_connection or response is None or "connection" in response[1]:
                client = None

    with start_processes(Upstream(), Upstream()) as start:
        address, old_process, _ = start()
        # Few enough clients for the concurrency limit, even while both processes count the same attempts.
        threads = [Thread(target=send_requests, args=(address, n % 2, n), daemon=True) for n in range(3)]
        for thread in threads:
            thread.start()
        try:
            for _ in range(2):
                new_process = start()[1]
                assert wait_for_event(new_process, "hot_restart.resumed")["restored"] == 2
                old_process.send_signal(signal.SIGTERM)
                assert old_process.wait(PATIENCE) == 0
                count, old_process = len(statuses), new_process
                wait_until(lambda count=count: len(statuses) > count + 50)
        finally:
            stop.set()
            for thread in threads:
                thread.join(PATIENCE)
    assert set(statuses) == {200}


def test_an_exclusion_holds_in_both_processes_and_over_the_restart():
    first, second, third = Upstream(), Upstream(), Upstream()
    with start_processes(first, second, third) as start:
        address, old, _ = start()
        assert set_excluded(old, True, "s-0") == 200
        new = start()[1]
        assert telemetry_value(new, "out_of_rotation") == 1
        assert set_excluded(old, True, "s-1") == 200
        assert wait_until(lambda: telemetry_value(new, "out_of_rotation") == 2)
        assert set_excluded(new, False, "s-0") == 200
        assert wait_until(lambda: telemetry_value(old, "out_of_rotation") == 1)
        assert set_excluded(new, True, "s-9") == 404
        old.kill()  # SIGKILL: no handover of state
        last = start()[1]
        new.send_signal(signal.SIGTERM)
        assert new.wait(PATIENCE) == 0
        assert telemetry_value(last, "out_of_rotation") == 1
        second.received_requests.queue.clear()
        assert [Client(address).request(trace_id=f"t{n}")[0] for n in range(9)] == [200] * 9
        assert second.received_requests.empty()
        assert set_excluded(last, False, "s-1") == 200
        assert telemetry_value(last, "out_of_rotation") == 0


def test_a_successor_that_dies_during_its_start_leaves_the_process_in_service_unchanged():
    with start_processes(Upstream()) as start:
        address, old, _ = start()
        dying = start(ready=False)[1]
        dying.kill()
        dying.wait()
        assert [Client(address).request(trace_id=f"t{n}")[0] for n in range(9)] == [200] * 9
        new = start()[1]
        old.send_signal(signal.SIGTERM)
        assert old.wait(PATIENCE) == 0
        assert Client(address).request()[0] == 200
        assert call_admin(new.admin, "/api/ready")[0] == 200


def test_truncated_state_and_state_of_another_version_is_ignored(tmp_path):
    logged_events = []
    hot_restart = HotRestart(str(tmp_path / "shared"), lambda event, **_: logged_events.append(event))
    hot_restart.open()
    path = hot_restart.directory.path / f"for-{hot_restart.process_key[0]}-{hot_restart.process_key[1]}"
    assert hot_restart.read_state() is None
    assert not logged_events
    for raw in (b"", b'{"version": 1, "li', b"[]", b'{"version": 99}'):
        path.write_bytes(raw)
        assert hot_restart.read_state() is None
        assert logged_events.pop() == "hot_restart.read_failed"
        assert not path.exists()
    path.write_bytes(b'{"version": %d, "a": 1}' % VERSION)
    assert hot_restart.read_state()["a"] == 1


def test_files_of_processes_without_a_lock_are_ignored_and_their_state_is_removed(tmp_path):
    hot_restart = HotRestart(str(tmp_path), print)
    (tmp_path / "alive-7-1").touch()  # not locked
    (tmp_path / "for-7-1").touch()
    hot_restart.open()
    assert hot_restart.process_key == (1, os.getpid())
    assert hot_restart.live_processes() == {}
    assert not (tmp_path / "for-7-1").exists()
    hot_restart.set_excluded("s-1/../x", True)
    assert hot_restart.exclusions() == {"s-1/../x"}
    hot_restart.set_excluded("s-1/../x", False)
    assert hot_restart.exclusions() == set()


# Guards against issue 60 (c): an id ran twice when it came again at the other process of an upgrade.
def test_an_id_whose_request_may_have_run_is_refused_by_the_successor():
    held = Event()

    def respond(conn, request):
        if request[1]["x-trace-id"] == "left":
            held.wait(PATIENCE)
        conn.sendall(make_response())
        return True

    upstream = Upstream(respond)
    with start_processes(upstream) as start:
        address, predecessor, _ = start()
        client = Client(address)
        client.send("submit", "POST", trace_id="left")
        upstream.received_requests.get(timeout=PATIENCE)
        client.sock.close()
        client.file.close()
        wait_for_event(predecessor, "request.client_disconnected")
        start()
        predecessor.send_signal(signal.SIGTERM)
        assert predecessor.wait(PATIENCE) == 0
        assert Client(address).request("submit", "POST", trace_id="left")[0] == 409
        assert upstream.received_requests.empty()
        assert Client(address).request("submit", "POST", trace_id="new")[0] == 200
        held.set()
