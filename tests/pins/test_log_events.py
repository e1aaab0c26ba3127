"""Names, levels and fields of all log events, and the format of log lines, compared with golden files.

Operators search their logs for these names. Rename an event or field only together with `log_events.json`, in
a commit of its own whose message has a table of the old and new names.
"""

import json
import subprocess
import sys
from pathlib import Path

from golden_files import as_json, read_golden, write_golden

from dahliabend.config.operator_file.schema import LogSettings
from dahliabend.server.log import Log as PlainLog
from dahliabend.server.log_events import CONTEXT
from dahliabend.server.structured_log import StructuredLog

ROOT = Path(__file__).parents[2]
EVENTS_GOLDEN = "log_events.json"
LINES_GOLDEN = "log_lines.txt"
TIME = "TIME"


def produce_events() -> str:
    """Return the level and the ordered fields of each event, from `dahliabend events --json`."""
    completed = subprocess.run(
        [sys.executable, "-m", "dahliabend", "events", "--json"], capture_output=True, cwd=ROOT, check=True
    )
    events = {
        name: {"level": event["level"], "fields": event["fields"]}
        for name, event in json.loads(completed.stdout).items()
    }
    return as_json({"context": list(CONTEXT), "events": events})


def without_time(line: str) -> str:
    """Replace the time of a line, which must be in ISO 8601 and UTC."""
    at = json.loads(line)["at"]
    assert at.endswith(("Z", "+00:00"))
    assert at[10] == "T"
    return line.replace(at, TIME)


def produce_lines() -> str:
    """Return log lines of a balancer with a platform configuration, then of one with an operator file."""
    plain, structured = PlainLog("b1", sink=-1), StructuredLog("b1", sink=-1)
    for log in (plain, structured):
        log.write = lambda: None
    plain("server.started", address="127.0.0.1:1", entry_tier=True)
    plain("exception.unhandled", message="why", reason=ValueError("wrong"))
    plain.debug("health_check.finished", upstream="s-1")
    structured("server.started", address="127.0.0.1:1", entry_tier=True, pools=["a"])
    structured.bind(pool="a")(
        "attempt.failed",
        trace_id="t-1",
        attempt_index=0,
        upstream="s-1",
        outcome="RESET",
        duration_ms=1.5,
        reason="",
    )
    structured(
        "exception.unhandled", message={"Authorization": "Bearer x"}, reason=ValueError("wrong"), token="x"
    )
    structured("watch.timed_out", version=3)
    structured.debug("health_check.finished", upstream="s-1")
    structured.apply_settings(LogSettings(level="debug"))
    structured.debug("health_check.finished", upstream="s-1", outcome="COMMITTED", duration_ms=1, load=None)
    lines = [line for log in (plain, structured) for line in bytes(log.lines).decode().splitlines()]
    return "\n".join(without_time(line) for line in lines) + "\n"


def test_names_levels_and_fields_of_events_equal_the_golden_file() -> None:
    assert produce_events() == read_golden(EVENTS_GOLDEN)


def test_log_lines_equal_the_golden_file() -> None:
    assert produce_lines() == read_golden(LINES_GOLDEN)


if __name__ == "__main__":
    write_golden(EVENTS_GOLDEN, produce_events())
    write_golden(LINES_GOLDEN, produce_lines())
