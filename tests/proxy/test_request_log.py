"""Counters and log lines of how requests end; their keys and event names are an interface for operators."""

import orjson
import pytest
from fake_transport import incoming_request

from dahliabend.model import Outcome
from dahliabend.proxy import request_log
from dahliabend.proxy.request import AttemptRecord, Request
from dahliabend.proxy.request_log import RequestLog


class LogLines(list):
    """Records log lines as they would be encoded."""

    def __call__(self, event, **fields):
        self.append(orjson.loads(orjson.dumps({"event": event, **fields})))


def request_with_attempts(*records):
    request = Request(incoming_request(trace_id=b"t1"), 3, 0, None)
    request.attempt_records.extend(records)
    request.attempts.extend([None] * (len(records) + 1))  # one more attempt is in flight
    return request


FAILED_ATTEMPT = AttemptRecord("s-1", Outcome.RESET.name, 7)


def test_a_request_that_has_not_succeeded_is_logged_with_its_attempts():
    log = RequestLog(lines := LogLines())
    log.request_ended(request_log.REJECTED, request_with_attempts(FAILED_ATTEMPT))
    (line,) = lines
    duration = line.pop("duration_ms")
    assert line == {
        "event": "request.rejected",
        "trace_id": "t1",
        "request_class": 3,
        "attempts": [["s-1", "RESET", 7]],
        "attempts_in_flight": 1,
    }
    assert duration >= 0
    assert log.counts == {"rejected": 1}


def test_a_request_with_a_route_is_logged_with_the_route_instead_of_its_class():
    log = RequestLog(lines := LogLines())
    request = request_with_attempts()
    request.route_name = "orders"
    log.request_ended(request_log.FAILED, request)
    assert lines[0]["route"] == "orders"
    assert "request_class" not in lines[0]


def test_a_success_is_always_counted_but_logged_only_with_the_access_log():
    log = RequestLog(lines := LogLines())
    log.request_ended(request_log.SUCCEEDED, request_with_attempts())
    assert not lines
    log.logs_access = True
    log.request_ended(request_log.SUCCEEDED, request_with_attempts())
    assert [(line["event"], line["outcome"]) for line in lines] == [("request.finished", "succeeded")]
    assert log.counts == {"succeeded": 2}


@pytest.mark.parametrize(
    ("request_outcome", "events"),
    [
        (request_log.TRUNCATED, ["request.finished", "request.truncated"]),
        (request_log.CLIENT_DISCONNECTED, ["request.finished", "request.client_disconnected"]),
        (request_log.FORWARDED_TO_FALLBACK, ["request.sent_to_fallback"]),
    ],
)
def test_a_request_has_one_access_log_line_even_if_it_was_offered_to_several_pools(request_outcome, events):
    log = RequestLog(lines := LogLines())
    log.logs_access = True
    log.request_ended(request_outcome, request_with_attempts())
    assert [line["event"] for line in lines] == events
