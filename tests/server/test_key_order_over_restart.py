"""Requests with the same key run one at a time while a process is replaced, and after one was killed."""

import signal
import time
from queue import Empty

import pytest
from helpers import PATIENCE, wait_for_event
from holding_upstream import ORDERED_WITH_LONG_DEADLINES, HoldingUpstream, send_ordered_request
from processes_on_one_listener import start_processes


# Guards against review/10: requests of one key ran beside each other while the process was replaced.
def test_a_request_waits_for_one_of_its_key_in_the_predecessor():
    holding = HoldingUpstream()
    with start_processes(holding.upstream) as start:
        address, predecessor, _ = start(settings=ORDERED_WITH_LONG_DEADLINES)
        first = send_ordered_request(address, "a")
        assert holding.next_trace_id() == "a"
        successor = start(settings=ORDERED_WITH_LONG_DEADLINES)[1]
        wait_for_event(successor, "hot_restart.resumed")
        predecessor.send_signal(signal.SIGTERM)
        time.sleep(0.3)  # until it accepts nothing more
        second = send_ordered_request(address, "b")
        with_key_8 = send_ordered_request(address, "c", key="8")
        assert holding.next_trace_id() == "c"
        with pytest.raises(Empty):
            holding.upstream.received_requests.get(timeout=0.5)
        holding.release("a", "c")
        assert first.read()[0] == with_key_8.read()[0] == 200
        assert holding.next_trace_id() == "b"
        holding.release("b")
        assert second.read()[0] == 200


# Guards against review/10: what a killed process had out may still run; it blocks its key no longer.
def test_a_key_is_free_at_the_deadline_of_a_request_whose_process_was_killed():
    holding = HoldingUpstream()
    with start_processes(holding.upstream) as start:
        address, predecessor, _ = start(settings=ORDERED_WITH_LONG_DEADLINES)
        sent_at = time.monotonic()
        lost = send_ordered_request(address, "a", timeout_ms="2500")
        assert holding.next_trace_id() == "a"
        successor = start(settings=ORDERED_WITH_LONG_DEADLINES)[1]
        wait_for_event(successor, "hot_restart.resumed")
        predecessor.kill()
        assert predecessor.wait(PATIENCE) == -signal.SIGKILL
        assert lost.read() is None
        second = send_ordered_request(address, "b")
        assert holding.next_trace_id() == "b"
        assert time.monotonic() - sent_at > 2.0  # the deadline that the request had, less its margin
        holding.release("b")
        assert second.read()[0] == 200
