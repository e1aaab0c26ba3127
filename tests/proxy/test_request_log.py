"""How requests end, in the counts and in the log: keys and events are an interface for operators."""

import orjson
import pytest
from fake_transport import incoming_request

from dahliabend.model import Outcome
from dahliabend.proxy import request_log
from dahliabend.proxy.request import AttemptRecord, Request
from dahliabend.proxy.request_log import RequestLog


class LogLines(list):
    """Keeps the lines of a log as they would be written."""

    def __call__(self, event, **fields):
        self.append(orjson.loads(orjson.dumps({"event": event, **fields})))


def request_with_attempts(*records):
    request = Request(incoming_request(trace_id=b"t1"), 3, 0, None)
    request.attempt_records.extend(records)
    request.attempts.extend([None] * (len(records) + 1))  # one is still in flight
    return request


FAILED_ATTEMPT = AttemptRecord("s-1", Outcome.RESET.name, 7)


def test_a_request_that_has_not_succeeded_is_logged_with_its_attempts():
    log = RequestLog(lines := LogLines())
    log.request_ended(request_log.REJECTED, request_with_attempts(FAILED_ATTEMPT))
    (line,) = lines
    duration = line.pop("ms")
    assert line == {"event": "rolled_back", "tx": "t1", "profile": 3, "hops": [["s-1", "RESET", 7]], "out": 1}
    assert duration >= 0
    assert log.counts == {"rolled_back": 1}


def test_a_request_of_a_route_is_logged_by_the_route_in_place_of_its_class():
    log = RequestLog(lines := LogLines())
    request = request_with_attempts()
    request.route_name = "orders"
    log.request_ended(request_log.FAILED, request)
    assert lines[0]["route"] == "orders"
    assert "profile" not in lines[0]


def test_a_success_is_counted_and_logged_only_where_every_request_is():
    log = RequestLog(lines := LogLines())
    log.request_ended(request_log.SUCCEEDED, request_with_attempts())
    assert not lines
    log.logs_access = True
    log.request_ended(request_log.SUCCEEDED, request_with_attempts())
    assert [(line["event"], line["how"]) for line in lines] == [("access", "committed")]
    assert log.counts == {"committed": 2}


@pytest.mark.parametrize(
    ("ending", "events"),
    [
        (request_log.TRUNCATED, ["access", "cut"]),
        (request_log.CLIENT_DISCONNECTED, ["access", "left"]),
        (request_log.FORWARDED_TO_FALLBACK, ["passed_on"]),
    ],
)
def test_every_request_has_one_access_line_though_several_pools_may_have_been_offered_it(ending, events):
    log = RequestLog(lines := LogLines())
    log.logs_access = True
    log.request_ended(ending, request_with_attempts())
    assert [line["event"] for line in lines] == events
