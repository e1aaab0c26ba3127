"""The event log: the table of events matches the calls in the code, and lines have the documented form."""

import ast
import json
import os
import re
from pathlib import Path

import dahliabend
from dahliabend.config.operator_file.schema import LogSettings
from dahliabend.config.operator_file.units import Fraction
from dahliabend.server import log as log_module
from dahliabend.server.log_events import CONTEXT, EVENTS, EVENTS_BY_FORMER_NAME, REQUEST_FIELDS, page
from dahliabend.server.structured_log import StructuredLog

ROOT = Path(dahliabend.__file__).parent
LOGGING_PACKAGES = ("transport", "http", "discovery", "proxy", "server", "leases")  # whose calls are checked
REQUEST_OUTCOME_EVENTS = {
    "request.succeeded",
    "request.truncated",
    "request.client_disconnected",
    "request.rejected",
    "request.failed",
    "request.sent_to_fallback",
}  # logged by `RequestLog.request_ended`, which computes their names


def log_calls():
    """Yield event name, field names and source line of each logging call with a literal event name."""
    for path in sorted(path for package in LOGGING_PACKAGES for path in (ROOT / package).rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            names = {part.attr if isinstance(part, ast.Attribute) else getattr(part, "id", "")
                     for part in ast.walk(node.func)}  # fmt: skip
            event_argument = node.args[0]
            name_nodes = [event_argument] if isinstance(event_argument, ast.Constant) else []
            if isinstance(event_argument, ast.IfExp):
                name_nodes = [event_argument.body, event_argument.orelse]
            if "log" in names and all(isinstance(each.value, str) for each in name_nodes):
                for each in name_nodes:
                    yield (
                        each.value,
                        {keyword.arg for keyword in node.keywords if keyword.arg},
                        f"{path.name}:{node.lineno}",
                    )


def test_every_logged_event_is_in_the_table_with_its_fields():
    seen = set(REQUEST_OUTCOME_EVENTS)
    for event, fields, place in log_calls():
        seen.add(event)
        assert event in EVENTS, (event, place)
        assert fields <= {*EVENTS[event].fields, *CONTEXT}, (event, place, fields)
    assert len(seen) > 30
    assert not EVENTS.keys() - seen - {"server.start_failed"}
    assert all(EVENTS[event].fields == REQUEST_FIELDS for event in REQUEST_OUTCOME_EVENTS)


def test_the_page_of_events_is_generated_from_the_table():
    assert (ROOT.parent / "docs" / "events.md").read_text() == page()


def take_lines(log):
    decoded = [json.loads(line) for line in bytes(log.lines).splitlines()]
    log.lines.clear()
    return decoded


def buffering_log(**settings):
    """Return a structured log with these settings, whose lines stay in its buffer."""
    log = StructuredLog("b", sink=-1)
    log.write = lambda: None
    log.apply_settings(LogSettings(**settings))
    return log


def test_a_line_has_event_level_time_and_context():
    log = buffering_log()
    log.bind(pool="main")(
        "attempt.failed",
        trace_id="t",
        upstream="u",
        outcome="RESET",
        duration_ms=3,
        attempt_index=0,
        reason="",
    )
    (line,) = take_lines(log)
    assert line["event"] == "attempt.failed"
    assert line["level"] == "info"
    assert line["pool"] == "main"
    assert line["balancer"] == "b"
    assert line["at"].endswith("Z")
    assert line["outcome"] == "RESET"


def test_an_event_is_logged_at_its_own_level_if_the_settings_want_that_level():
    log = buffering_log(level="warning")
    for event in ("health_check.finished", "attempt.failed", "watch.timed_out", "exception.unhandled"):
        log(event)
    assert [line["event"] for line in take_lines(log)] == ["watch.timed_out", "exception.unhandled"]
    log.apply_settings(LogSettings(level="debug"))
    log.debug("health_check.finished")
    assert [line["level"] for line in take_lines(log)] == ["debug"]


def test_sampling_drops_lines_of_the_sampled_event_only():
    log = buffering_log(sample={"attempt.failed": Fraction(0.1)})
    for _ in range(2_000):
        log("attempt.failed")
        log("endpoint_list.applied")
    counts = [line["event"] for line in take_lines(log)]
    assert counts.count("endpoint_list.applied") == 2_000
    assert 140 < counts.count("attempt.failed") < 260


def test_settings_may_name_an_event_by_its_former_name():
    assert not EVENTS_BY_FORMER_NAME.keys() & EVENTS.keys()
    assert len(set(EVENTS_BY_FORMER_NAME.values())) == len(EVENTS_BY_FORMER_NAME)
    assert set(EVENTS_BY_FORMER_NAME.values()) <= EVENTS.keys()
    for former, event in EVENTS_BY_FORMER_NAME.items():
        log = buffering_log(level="debug", sample={former: Fraction(0.0)})
        log(event)
        log("watch.ended")
        assert [line["event"] for line in take_lines(log)] == ["watch.ended"]


def test_the_on_call_page_lists_every_former_event_name():
    page_text = (ROOT.parent / "docs" / "on-call.md").read_text()
    table = page_text.split("| event until 0.2 | event now |\n| --- | --- |\n")[1].split("\n\n")[0]
    rows = dict(re.findall(r"^\| `([^`]+)` \| `([^`]+)` \|$", table, re.MULTILINE))
    assert rows == EVENTS_BY_FORMER_NAME


def test_secrets_are_redacted():
    log = buffering_log()
    log(
        "exception.unhandled",
        message={"Authorization": "Bearer x1", "deep": [{"password": "x2"}]},
        token="x3",
        reason="fine",
    )
    text = bytes(log.lines)
    assert not any(secret in text for secret in (b"x1", b"x2", b"x3"))
    assert b"fine" in text


def test_lines_beyond_the_buffer_are_dropped_and_counted(monkeypatch):
    monkeypatch.setattr(log_module, "MAX_BUFFERED_BYTES", 2_000)
    reader, writer = os.pipe()
    log = StructuredLog("b", sink=writer)
    log.loop, log.write_scheduled = object(), True  # a pending write: nothing is written at once
    for _ in range(100):
        log("endpoint_list.applied", version=1)
    assert log.lost_lines > 50
    assert len(log.lines) < 2_500
    lost_lines = log.lost_lines
    log.lines.clear()
    log("endpoint_list.applied", version=2)
    assert json.loads(bytes(log.lines))["lines_lost"] == lost_lines
    assert log.lost_lines == 0
    os.close(reader)
    os.close(writer)
