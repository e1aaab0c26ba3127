"""Two processes before the same callers: a replacement without a moment in which nobody serves."""

import json
import os
import signal
import socket
from contextlib import ExitStack, closing, contextmanager
from tempfile import TemporaryDirectory
from threading import Event, Thread

from helpers import PATIENCE, Agent, Caller, Upstream, call, entry, logged, program, until

from dahliabend.server.hot_restart import VERSION, HotRestart


@contextmanager
def platform(*upstreams):
    """What all processes of a balancer share; a function that starts one more."""
    agent = Agent(*(entry(f"s-{n}", u) for n, u in enumerate(upstreams)))
    with ExitStack() as stack:
        for server in (agent, *upstreams):
            stack.enter_context(closing(server))
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=512))
        folder = stack.enter_context(TemporaryDirectory())

        def start(**more):
            return stack.enter_context(program(*upstreams, agent=agent, beside=(listener, folder), **more))

        yield start


def banned(process, out, target="s-0"):
    path = "/api/exclude" if out else "/api/include"
    return call(process.admin, path, "PUT", json.dumps({"target": target}).encode())[0]


def shown(process, name):
    return call(process.admin, "/api/telemetry")[1][name]


def test_two_upgrades_in_a_row_under_load_lose_no_request():
    stop, got = Event(), []

    def load(address, kept, number):
        caller, n = None, 0
        while not stop.is_set():
            caller, n = caller or Caller(address), n + 1
            answered = caller.ask(trace=f"l{number}-{n}")
            if answered is None and kept:  # closed between requests: a client asks once more
                caller = Caller(address)
                answered = caller.ask(trace=f"l{number}-{n}")
            got.append(answered and answered[0])
            if not kept or answered is None or "connection" in answered[1]:
                caller = None

    with platform(Upstream(), Upstream()) as start:
        address, before, _ = start()
        # Few enough that the crowd let in holds them all, even while both processes count the same ones.
        threads = [Thread(target=load, args=(address, n % 2, n), daemon=True) for n in range(3)]
        for thread in threads:
            thread.start()
        try:
            for _ in range(2):
                after = start()[1]
                assert logged(after, "followed")["kept"] == 2
                before.send_signal(signal.SIGTERM)
                assert before.wait(PATIENCE) == 0
                many, before = len(got), after
                until(lambda many=many: len(got) > many + 50)
        finally:
            stop.set()
            for thread in threads:
                thread.join(PATIENCE)
    assert set(got) == {200}


def test_an_exclusion_holds_in_both_processes_wherever_the_call_came_and_over_the_upgrade():
    one, two, three = Upstream(), Upstream(), Upstream()
    with platform(one, two, three) as start:
        address, old, agent = start()
        assert banned(old, True, "s-0") == 200
        new = start()[1]
        assert shown(new, "out_of_rotation") == 1
        assert banned(old, True, "s-1") == 200 and until(lambda: shown(new, "out_of_rotation") == 2)
        assert banned(new, False, "s-0") == 200 and until(lambda: shown(old, "out_of_rotation") == 1)
        assert banned(new, True, "s-9") == 404
        old.kill()  # outright
        last = start()[1]
        new.send_signal(signal.SIGTERM)
        assert new.wait(PATIENCE) == 0 and shown(last, "out_of_rotation") == 1
        two.came.queue.clear()
        assert [Caller(address).ask(trace=f"t{n}")[0] for n in range(9)] == [200] * 9 and two.came.empty()
        assert banned(last, False, "s-1") == 200 and shown(last, "out_of_rotation") == 0


def test_a_successor_that_dies_before_its_yes_leaves_the_one_in_service_as_it_was():
    with platform(Upstream()) as start:
        address, old, _ = start()
        dying = start(ready=False)[1]
        dying.kill()
        dying.wait()
        assert [Caller(address).ask(trace=f"t{n}")[0] for n in range(9)] == [200] * 9
        new = start()[1]
        old.send_signal(signal.SIGTERM)
        assert old.wait(PATIENCE) == 0 and Caller(address).ask()[0] == 200
        assert call(new.admin, "/api/ready")[0] == 200


def test_what_is_cut_short_or_of_another_version_is_passed_over(tmp_path):
    said = []
    made = HotRestart(str(tmp_path / "shared"), lambda event, **_: said.append(event))
    made.open()
    path = made.directory.path / f"for-{made.process_key[0]}-{made.process_key[1]}"
    assert made.read_state() is None and not said
    for raw in (b"", b'{"version": 1, "li', b"[]", b'{"version": 99}'):
        path.write_bytes(raw)
        assert made.read_state() is None and said.pop() == "handover.unread" and not path.exists()
    path.write_bytes(b'{"version": %d, "a": 1}' % VERSION)
    assert made.read_state()["a"] == 1


def test_the_dead_are_told_from_the_living_by_their_locks(tmp_path):
    made = HotRestart(str(tmp_path), print)
    (tmp_path / "alive-7-1").touch()  # nobody holds it
    (tmp_path / "for-7-1").touch()
    made.open()
    assert (
        made.process_key == (1, os.getpid())
        and made.live_processes() == {}
        and not (tmp_path / "for-7-1").exists()
    )
    made.set_excluded("s-1/../x", True)
    assert made.exclusions() == {"s-1/../x"}
    made.set_excluded("s-1/../x", False)
    assert made.exclusions() == set()
