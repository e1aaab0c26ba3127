"""Requests that are admitted while their body is still being received."""

from fake_port import S, make_balancer

from dahliabend.model import Outcome


def test_request_counts_as_in_flight_once_its_body_is_received():
    balancer, port = make_balancer()
    request = balancer.admit(100 * S, 1, 2, 0, 900 * S, body_pending=True)
    endpoint = balancer.selection.endpoints[port.calls_to("send")[0][2]]
    assert balancer.concurrency.in_flight == 0
    assert not endpoint.in_flight
    for n in range(30):  # other endpoints answer; nothing runs at this one yet
        balancer.outliers.last_answer_at = 100 * S + n * S
        balancer.timer_fired(100 * S + n * S, 0)
    assert not endpoint.is_ejected
    assert request.body_received(130 * S, 134 * S) == 4 * S
    assert balancer.concurrency.in_flight == 1
    request.response_started(131 * S, 0)
    assert balancer.concurrency.in_flight == 0
    assert not endpoint.in_flight
    request.attempt_finished(190 * S, 0, Outcome.SUCCEEDED, S, True)
    assert balancer.concurrency.in_flight == 0
    assert request.is_finished


def test_request_whose_body_was_consumed_is_not_retried():
    for is_consumed, action in ((True, "reject"), (False, "send")):
        balancer, port = make_balancer()
        request = balancer.admit(100 * S, 1, 2, 0, 900 * S, body_pending=True)
        if is_consumed:
            request.body_consumed()
        port.clear()
        request.attempt_finished(101 * S, 0, Outcome.UNREACHABLE, S, False)
        assert port[-1][0] == action
