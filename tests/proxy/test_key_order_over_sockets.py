"""Order for each key, over sockets: one of a key at an upstream at a time, through a switch and an end."""

import copy
import signal
from queue import Empty, Queue

from helpers import CONF, PATIENCE, Caller, Upstream, answer, logged, program, replace

ORDERED = copy.deepcopy(CONF)
ORDERED["profiles"].append(
    {"name": "amend", "service-goal": 1000.0, "hard-limit": 3000.0, "semantics": "deduplicated",
     "dedup-window": 4000.0, "in-order": True}
)  # fmt: skip
LONG_EXPIRES = "60000"  # milliseconds; more than PATIENCE
ORDERED["contract"]["order-pause"] = 100.0
# On a busy machine a request that the test holds back must neither reach its deadline nor be retried early.
UNHURRIED = copy.deepcopy(ORDERED)
UNHURRIED["profiles"][-1].update({"service-goal": 30_000.0, "hard-limit": 60_000.0})


TRACE_IDS = ("a", "b", "c", "d", "e")


class HoldingUpstream:
    """An upstream that answers each request once it is released, by its trace id.

    With one queue of releases for all, a request that arrives late could take the release of an earlier one.
    """

    def __init__(self):
        self.releases = {trace_id: Queue() for trace_id in TRACE_IDS}
        self.upstream = Upstream(self.hold)

    def hold(self, conn, request):
        try:
            self.releases[request[1]["x-trace-id"]].get(timeout=PATIENCE)
        except Empty:
            return False  # the test is over
        return conn.sendall(answer()) is None

    def came(self):
        return self.upstream.came.get(timeout=PATIENCE)[1]["x-trace-id"]

    def release(self, *trace_ids):
        for trace_id in trace_ids:
            self.releases[trace_id].put(True)


def amend(address, trace, key="9", expires=LONG_EXPIRES):
    caller = Caller(address)
    caller.send("amend", "POST", expires=expires, trace=trace, extra=f"X-Item: {key}\r\n")
    return caller


def test_one_of_a_key_is_sent_at_a_time_also_across_a_switch_of_settings():
    held = HoldingUpstream()
    with program(held.upstream, conf=UNHURRIED) as (address, process, _):
        first = amend(address, "a")
        assert held.came() == "a"
        second, other = amend(address, "b"), amend(address, "c", key="8")
        assert held.came() == "c"
        changed = copy.deepcopy(process.conf["settings"])
        changed["caps"]["most-hops"] = 3
        replace(process, settings=changed)
        logged(process, "reload.applied")
        third = amend(address, "d")
        other2 = amend(address, "e", key="7")
        assert held.came() == "e"  # those of key 9 wait, before the switch and after it
        held.release("a", "c", "e")
        assert {caller.read()[0] for caller in (first, other, other2)} == {200}
        assert held.came() == "b"
        held.release("b")
        assert second.read()[0] == 200
        assert held.came() == "d"
        held.release("d")
        assert third.read()[0] == 200


def test_one_whose_limit_comes_in_line_is_answered_and_leaves_nothing_open():
    held = HoldingUpstream()
    with program(held.upstream, conf=UNHURRIED) as (address, _, _):
        first = amend(address, "a")
        assert held.came() == "a"
        second = amend(address, "b", expires="1000")
        status, headers, _ = second.read()
        assert status == 503
        assert float(headers["retry-after"]) > 0
        again = amend(address, "b", key="8")  # its id is free once more
        assert held.came() == "b"
        held.release("a", "b")
        assert first.read()[0] == again.read()[0] == 200


def test_sigterm_leaves_nothing_in_line_unanswered():
    held = HoldingUpstream()
    with program(held.upstream, conf=ORDERED) as (address, process, _):
        first = amend(address, "a")
        assert held.came() == "a"
        second = amend(address, "b")
        process.send_signal(signal.SIGTERM)
        assert first.read()[0] in (502, 503)
        assert second.read()[0] == 503
        assert process.wait(PATIENCE) == 0
