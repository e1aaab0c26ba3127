"""Ordering keys over sockets: at most one request per key is in flight, also across reload and shutdown."""

import copy
import signal

from helpers import PATIENCE, reload_configuration, start_balancer, wait_for_event
from holding_upstream import ORDERED, ORDERED_WITH_LONG_DEADLINES, HoldingUpstream, send_ordered_request


def test_one_request_per_key_is_sent_at_a_time_even_across_a_reload():
    holding = HoldingUpstream()
    with start_balancer(holding.upstream, settings=ORDERED_WITH_LONG_DEADLINES) as (address, process, _):
        first = send_ordered_request(address, "a")
        assert holding.next_trace_id() == "a"
        second = send_ordered_request(address, "b")
        with_key_8 = send_ordered_request(address, "c", key="8")
        assert holding.next_trace_id() == "c"
        new_settings = copy.deepcopy(process.config["settings"])
        new_settings["caps"]["most-hops"] = 3
        reload_configuration(process, settings=new_settings)
        wait_for_event(process, "reload.applied")
        third = send_ordered_request(address, "d")
        with_key_7 = send_ordered_request(address, "e", key="7")
        assert holding.next_trace_id() == "e"  # requests with key 9 are queued, before and after the reload
        holding.release("a", "c", "e")
        assert {caller.read()[0] for caller in (first, with_key_8, with_key_7)} == {200}
        assert holding.next_trace_id() == "b"
        holding.release("b")
        assert second.read()[0] == 200
        assert holding.next_trace_id() == "d"
        holding.release("d")
        assert third.read()[0] == 200


def test_a_queued_request_is_rejected_at_its_deadline_and_its_trace_id_can_be_used_again():
    holding = HoldingUpstream()
    with start_balancer(holding.upstream, settings=ORDERED_WITH_LONG_DEADLINES) as (address, _, _):
        first = send_ordered_request(address, "a")
        assert holding.next_trace_id() == "a"
        queued = send_ordered_request(address, "b", timeout_ms="1000")
        status, headers, _ = queued.read()
        assert status == 503
        assert float(headers["retry-after"]) > 0
        with_same_trace_id = send_ordered_request(address, "b", key="8")
        assert holding.next_trace_id() == "b"
        holding.release("a", "b")
        assert first.read()[0] == with_same_trace_id.read()[0] == 200


def test_sigterm_answers_queued_requests_before_the_process_exits():
    holding = HoldingUpstream()
    with start_balancer(holding.upstream, settings=ORDERED) as (address, process, _):
        first = send_ordered_request(address, "a")
        assert holding.next_trace_id() == "a"
        queued = send_ordered_request(address, "b")
        process.send_signal(signal.SIGTERM)
        assert first.read()[0] in (502, 503)
        assert queued.read()[0] == 503
        assert process.wait(PATIENCE) == 0
