"""Requests that are decided on while their body still comes."""

from fake_port import S, make_balancer

from dahliabend.model import Outcome


def test_a_request_counts_as_in_flight_from_the_last_byte_of_its_body_on():
    made, port = make_balancer()
    request = made.admit(100 * S, 1, 2, 0, 900 * S, body_pending=True)
    upstream = made.selection.endpoints[port.of("send")[0][2]]
    assert made.concurrency.in_flight == 0
    assert not upstream.in_flight
    for n in range(30):  # others are heard, this upstream is not: nothing runs there yet
        made.outliers.last_answer_at = 100 * S + n * S
        made.timer_fired(100 * S + n * S, 0)
    assert not upstream.is_ejected
    assert request.body_received(130 * S, 134 * S) == 4 * S
    assert made.concurrency.in_flight == 1
    request.response_started(131 * S, 0)
    assert made.concurrency.in_flight == 0
    assert not upstream.in_flight
    request.attempt_finished(190 * S, 0, Outcome.SUCCEEDED, S, True)
    assert made.concurrency.in_flight == 0
    assert request.is_finished


def test_a_request_whose_body_was_consumed_is_rejected_and_not_retried():
    for passed, end in ((True, "reject"), (False, "send")):
        made, port = make_balancer()
        request = made.admit(100 * S, 1, 2, 0, 900 * S, body_pending=True)
        if passed:
            request.body_consumed()
        port.clear()
        request.attempt_finished(101 * S, 0, Outcome.UNREACHABLE, S, False)
        assert port[-1][0] == end
