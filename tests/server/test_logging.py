"""The log: every event stands in one table, and lines keep to it."""

import ast
import json
import os
from pathlib import Path

import dahliabend
from dahliabend.config.operator_file.schema import LogSettings
from dahliabend.config.operator_file.units import Fraction
from dahliabend.server import log as plain
from dahliabend.server.log_events import CONTEXT, EVENTS, REQUEST_FIELDS, page
from dahliabend.server.structured_log import StructuredLog

ROOT = Path(dahliabend.__file__).parent
LOGGING = ("transport", "http", "discovery", "proxy", "server", "leases")  # packages that log events
OUTCOMES = {
    "committed",
    "cut",
    "left",
    "rolled_back",
    "abandoned",
    "passed_on",
}  # `how`, in Router.record_outcome


def calls():
    """Each call of a log in the network code, or of turns, that names its event; its fields, the place."""
    for path in sorted(path for package in LOGGING for path in (ROOT / package).rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            names = {part.attr if isinstance(part, ast.Attribute) else getattr(part, "id", "")
                     for part in ast.walk(node.func)}  # fmt: skip
            first = node.args[0]
            said = [first] if isinstance(first, ast.Constant) else []
            if isinstance(first, ast.IfExp):
                said = [first.body, first.orelse]
            if "log" in names and all(isinstance(each.value, str) for each in said):
                for each in said:
                    yield (
                        each.value,
                        {word.arg for word in node.keywords if word.arg},
                        f"{path.name}:{node.lineno}",
                    )


def test_every_event_that_is_logged_stands_in_the_table_with_its_fields():
    seen = set(OUTCOMES)
    for event, fields, place in calls():
        seen.add(event)
        assert event in EVENTS, (event, place)
        assert fields <= {*EVENTS[event].fields, *CONTEXT}, (event, place, fields)
    assert len(seen) > 30 and not EVENTS.keys() - seen - {"failed"}
    assert all(EVENTS[how].fields == REQUEST_FIELDS for how in OUTCOMES)


def test_the_page_is_made_of_the_table():
    assert (ROOT.parent / "docs" / "events.md").read_text() == page()


def lines(log):
    made = [json.loads(line) for line in bytes(log.lines).splitlines()]
    log.lines.clear()
    return made


def quiet(**settings):
    """One whose lines stay in its buffer."""
    log = StructuredLog("b", sink=-1)
    log.write = lambda: None
    log.apply_settings(LogSettings(**settings))
    return log


def test_a_line_has_its_event_level_time_and_context():
    log = quiet()
    log.bind(pool="main")("hop", tx="t", upstream="u", outcome="RESET", ms=3, order=0, why="")
    (line,) = lines(log)
    assert line["event"] == "hop" and line["level"] == "info" and line["pool"] == "main"
    assert line["balancer"] == "b" and line["at"].endswith("Z") and line["outcome"] == "RESET"


def test_levels_are_an_events_own_and_the_least_is_the_files():
    log = quiet(level="warning")
    for event in ("probe", "hop", "watch.silent", "error"):
        log(event)
    assert [line["event"] for line in lines(log)] == ["watch.silent", "error"]
    log.apply_settings(LogSettings(level="debug"))
    log.debug("probe")
    assert [line["level"] for line in lines(log)] == ["debug"]


def test_a_sampled_event_keeps_its_share_and_others_all():
    log = quiet(sample={"hop": Fraction(0.1)})
    for _ in range(2_000):
        log("hop")
        log("list")
    counts = [line["event"] for line in lines(log)]
    assert counts.count("list") == 2_000 and 140 < counts.count("hop") < 260


def test_a_secret_is_never_in_a_line():
    log = quiet()
    log("error", what={"Authorization": "Bearer x1", "deep": [{"password": "x2"}]}, token="x3", why="fine")
    text = bytes(log.lines)
    assert not any(secret in text for secret in (b"x1", b"x2", b"x3")) and b"fine" in text


def test_lines_that_nobody_reads_are_dropped_and_counted(monkeypatch):
    monkeypatch.setattr(plain, "MAX_BUFFERED_BYTES", 2_000)
    reader, writer = os.pipe()
    log = StructuredLog("b", sink=writer)
    log.loop, log.write_scheduled = object(), True  # as if a write were due: nothing is written now
    for _ in range(100):
        log("list", version=1)
    assert log.lost_lines > 50 and len(log.lines) < 2_500
    lost_lines = log.lost_lines
    log.lines.clear()
    log("list", version=2)
    assert json.loads(bytes(log.lines))["lines_lost"] == lost_lines and log.lost_lines == 0
    os.close(reader)
    os.close(writer)
