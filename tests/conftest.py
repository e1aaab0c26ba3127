"""Tests that are known to fail: `KNOWN-RED.txt` at the root, a line each: test | cause | issue.

They run, are printed, and have to fail; one that passes fails the run, as do a fourth line, a line without
all three parts, and a test that is not there. No file, or an empty one, is normal.
"""

from pathlib import Path

import pytest

MOST = 3


def read(path: Path) -> list[tuple[str, str, str]]:
    """Each line's test, cause and issue. UsageError names file, line and reason."""
    found = []
    text = path.read_text() if path.exists() else ""
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}:{number}: not `test | cause | issue`: {line!r}")
        if len(found) == MOST:
            raise pytest.UsageError(f"{path.name}:{number}: more than {MOST} tests are known to fail")
        found.append(tuple(parts))
    return found


def pytest_configure(config: pytest.Config) -> None:
    config.known_red = read(config.rootpath / "KNOWN-RED.txt")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    some = any(
        "::" in argument for argument in config.args
    )  # asked for by name: the others are not looked at
    for test, cause, issue in config.known_red:
        named = [item for item in items if item.nodeid == test or item.nodeid.startswith(f"{test}[")]
        file = test.partition("::")[0]
        missing = not (config.rootpath / file).exists() or any(
            item.nodeid.startswith(f"{file}::") for item in items
        )
        if not named and missing and not some:
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {test}")
        for item in named:
            item.add_marker(pytest.mark.xfail(reason=f"{cause} ({issue})", strict=True))


def pytest_report_header(config: pytest.Config) -> list[str]:
    return [f"known to fail: {test}: {cause} ({issue})" for test, cause, issue in config.known_red]


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    for line in pytest_report_header(config):  # also where the header is left out
        terminalreporter.write_line(line)
