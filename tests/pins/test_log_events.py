"""Names, levels and fields of every event in the log, and the form of a line, against golden files.

An event or field is renamed only together with `log_events.json`, in a commit of its own that has a table of
the old and the new names: operators search their logs for these.
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
    """Of each event its level and its fields in their order, as `dahliabend events --json` tells them."""
    done = subprocess.run(
        [sys.executable, "-m", "dahliabend", "events", "--json"], capture_output=True, cwd=ROOT, check=True
    )
    events = {
        name: {"level": event["level"], "fields": event["fields"]}
        for name, event in json.loads(done.stdout).items()
    }
    return as_json({"context": list(CONTEXT), "events": events})


def without_time(line: str) -> str:
    """The line with its time replaced, which has to be in ISO 8601 and in UTC."""
    at = json.loads(line)["at"]
    assert at.endswith(("Z", "+00:00"))
    assert at[10] == "T"
    return line.replace(at, TIME)


def produce_lines() -> str:
    """Lines of a balancer that goes by the platform's file, then of one with an operator's file."""
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


def test_events_keep_their_names_levels_and_fields() -> None:
    assert produce_events() == read_golden(EVENTS_GOLDEN)


def test_a_line_keeps_its_form() -> None:
    assert produce_lines() == read_golden(LINES_GOLDEN)


if __name__ == "__main__":
    write_golden(EVENTS_GOLDEN, produce_events())
    write_golden(LINES_GOLDEN, produce_lines())
