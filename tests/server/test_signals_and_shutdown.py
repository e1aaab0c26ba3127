"""Signals at bad moments, over sockets."""

import signal
import time
from threading import Event

import pytest
from helpers import (
    PATIENCE,
    Caller,
    Upstream,
    answer,
    logged,
    program,
)
from late_upstream import (
    LONG_PROFILES,
)


@pytest.mark.parametrize("text", [b"", b'{"listen": "127.0.0.1:1", "settings": {"prof', b"{}", b"[]"])
def test_an_empty_or_truncated_file_is_named_and_the_one_in_force_stays(text):
    with program(Upstream()) as (address, process, _):
        with open(process.path, "wb") as file:
            file.write(text)
        process.send_signal(signal.SIGHUP)
        assert process.path in logged(process, "reload.rejected")["reason"]
        assert Caller(address).ask("submit", "POST")[0] == 200


@pytest.mark.parametrize("more", [[signal.SIGTERM], [signal.SIGHUP], [signal.SIGHUP, signal.SIGTERM]])
def test_a_second_signal_during_shutdown_changes_nothing(more):
    go = Event()
    slow = Upstream(lambda conn, request: go.wait(PATIENCE) and conn.sendall(answer()) is None)
    with program(slow, conf={"profiles": LONG_PROFILES}) as (address, process, _):
        caller = Caller(address)
        caller.send("submit", "POST", b"x", "60000")
        slow.came.get(timeout=PATIENCE)
        process.send_signal(signal.SIGTERM)
        logged(process, "shutdown.started")
        for number in more:
            process.send_signal(number)
        if signal.SIGHUP in more:
            logged(process, "reload.applied")
        go.set()
        assert caller.read()[0] == 200
        assert caller.read() is None
        caller.sock.close()
        caller.file.close()
        assert process.wait(PATIENCE) == 0


def test_connections_waiting_in_the_systems_queue_at_sigterm_are_accepted_and_answered():
    with program(up := Upstream()) as (address, process, _):
        process.send_signal(signal.SIGTERM)
        logged(process, "shutdown.started")
        process.send_signal(signal.SIGSTOP)
        callers = []
        for n in range(100):
            callers.append(Caller(address))
            callers[-1].send("submit", "POST", b"x", trace=f"t{n}")
        time.sleep(0.6)  # its time for accepting runs out meanwhile, so that the closing comes first
        process.send_signal(signal.SIGCONT)
        answers = [caller.read() for caller in callers]  # None, or a reset, for one that was lost
        assert {status for status, *_ in answers} <= {200, 503}  # some are beyond the first crowd
        assert process.wait(PATIENCE) == 0
        assert up.came.qsize() == [a[0] for a in answers].count(200) > 0
