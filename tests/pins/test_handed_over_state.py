"""What one process leaves for the next: files of today are read, and what is written stays byte for byte.

Three forms: the runtime directory that two processes of a balancer share (`PROXY_FD`), the state in it that a
successor goes on from, and the file in which a member keeps who was known, also handed over on SIGUSR2.
"""

import asyncio
import json
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
import pytest
from golden_files import DATA, as_json, read_golden, write_golden

from dahliabend.config.operator_file.schema import MembershipSettings
from dahliabend.config.operator_file.units import Duration
from dahliabend.config.platform import read_server_settings
from dahliabend.membership.messages import Ping
from dahliabend.server.clustering import ClusterMember
from dahliabend.server.hot_restart import VERSION, HotRestart
from dahliabend.server.platform_server import PlatformServer
from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

FOLDER = DATA / "handed_over"
STATE = "for-2-12434"  # the second process in the folder, and its process id
HANDED_ON_GOLDEN = "handed_over/for-3-99"
KEPT = "member.keep"
KEPT_AGAIN_GOLDEN = "handed_over/member_again.keep"
SUCCESSOR_GOLDEN = "handed_over/successor.json"
KEPT_AT = 1_764_653_000_000_000  # Unix microseconds


class LogLines(list):
    """A log that keeps its events with their fields."""

    verbose = False

    def __call__(self, event: str, **fields) -> None:
        self.append([event, fields])

    def debug(self, event: str, **fields) -> None:
        self(event, **fields)


def copy(name: str, folder: Path) -> None:
    """A file of the data, into a folder that a process may change."""
    (folder / name).write_bytes((FOLDER / name).read_bytes())


# The state of a balancer in service.


def handed_on(folder: Path) -> tuple[str, LogLines, dict[str, list]]:
    """A successor reads the state written for it, and writes its own for the one after it.

    Returns that file, the log, and what the decisions of the successor go by, by upstream and over all.
    """
    log, values = LogLines(), {}

    async def go_on() -> None:
        node = read_server_settings({"PROXY_CONFIG": str(FOLDER / "platform.json")})
        program = PlatformServer(node, {}, log)
        mine = HotRestart(str(folder), log)
        mine.process_key = (2, 12434)
        state = mine.read_state()
        assert state is not None
        program.restore_state(state)
        decisions, upstreams = program.router.balancer, program.router.table.endpoints
        for index, u in sorted(decisions.selection.endpoints.items()):
            values[upstreams[index].name] = [
                u.started_at, u.relative_latency, u.silent_since, u.answered_at, u.position, u.is_ejected,
                u.ejected_since, u.consecutive_failures, u.slow_start_budget, u.budget_filled_at,
            ]  # fmt: skip
        limit = decisions.concurrency
        values["all"] = [
            limit.limit, limit.mean_in_flight, limit.sustained_in_flight, limit.latency_ratio,
            limit.min_latency_ratio, limit.mean_latency, limit.ticks, limit.is_overloaded,
            decisions.outliers.fatal_idle_time, *decisions.deadlines.mean_latencies,
        ]  # fmt: skip
        mine.write_state_for((3, 99), program.capture_state)

    asyncio.run(go_on())
    return (folder / "for-3-99").read_text(), log, values


def test_state_of_the_version_before_is_read_and_handed_on_byte_for_byte(tmp_path: Path) -> None:
    copy(STATE, tmp_path)
    written, log, _ = handed_on(tmp_path)
    assert written == read_golden(HANDED_ON_GOLDEN)
    assert ["endpoint_list.applied", {"version": 12, "full": True, "entries": 3}] in log
    assert ["hot_restart.resumed", {"restored": 3, "upstreams": 3}] in log
    assert ["hot_restart.state_written", {"successor": 99}] in log
    assert "hot_restart.read_failed" not in {event for event, _ in log}
    assert not (tmp_path / STATE).exists()


def test_each_value_of_the_state_reaches_the_decisions_it_was_taken_from(tmp_path: Path) -> None:
    """The lists of the file go by place: one that changes its place would pass for another."""
    copy(STATE, tmp_path)
    state = json.loads((FOLDER / STATE).read_text())
    expected = state["upstreams"] | {"all": [*state["crowd"], state["gap"], *state["usual"]]}
    assert handed_on(tmp_path)[2] == expected


def test_handed_on_state_is_what_was_read_but_for_the_halved_budgets() -> None:
    """So the golden file shows that each value came through, and none is a default."""
    before, after = (json.loads((FOLDER / name).read_text()) for name in (STATE, "for-3-99"))
    for values in before["upstreams"].values():
        values[8] /= 2
    for state in (before, after):  # in the order in which they were last named
        state["once"].sort()
        state["list"]["servers"].sort(key=lambda server: server["id"])
    assert after == before
    assert list(after) == [
        "version", "shape", "usual", "gap", "upstreams", "crowd", "epoch", "profiles", "returned", "once",
        "list", "discovery",
    ]  # fmt: skip


# The runtime directory.


def test_names_and_contents_of_the_runtime_directory(tmp_path: Path) -> None:
    shared = tmp_path / "dahliabend"
    log, own = LogLines(), os.getpid()
    mine = HotRestart(str(shared), log)
    mine.open()
    mine.publish_in_flight(37)
    mine.set_excluded("s-1", True)
    mine.set_excluded("s-1/../bälter", True)
    mine.write_state_for((2, 4711), lambda: {"epoch": 5, "list": {"version": 1}})
    files = {str(path.relative_to(shared)): path for path in shared.rglob("*") if path.is_file()}
    assert {name: path.read_bytes().decode() for name, path in files.items()} == {
        f"alive-1-{own}": "      37",
        "excluded/d8f869c69505c294cde2a4fffd0d696e": "s-1",
        "excluded/a40d7184ecfec4237917bfe1837ebae3": "s-1/../bälter",
        "for-2-4711": '{"version":1,"epoch":5,"list":{"version":1}}',
    }
    assert files[f"alive-1-{own}"].stat().st_mode & 0o777 == 0o600
    assert log == [["hot_restart.state_written", {"successor": 4711}]]
    assert VERSION == 1
    mine.set_excluded("s-1", False)
    assert mine.exclusions() == {"s-1/../bälter"}


def test_exclusions_written_by_the_version_before_hold(tmp_path: Path) -> None:
    (tmp_path / "excluded").mkdir()
    (tmp_path / "excluded" / "d8f869c69505c294cde2a4fffd0d696e").write_bytes(b"s-1")
    mine = HotRestart(str(tmp_path), LogLines())
    mine.open()
    assert mine.exclusions() == {"s-1"}
    mine.set_excluded("s-1", False)
    assert mine.exclusions() == set()


def test_the_runtime_directory_is_where_it_was() -> None:
    platform = {"PROXY_CONFIG": str(FOLDER / "platform.json")}
    assert read_server_settings(platform).shared_directory == ""
    assert read_server_settings({**platform, "PROXY_FD": "7"}).shared_directory == "/tmp/dahliabend"
    assert (
        read_server_settings({**platform, "PROXY_FD": "7", "TMPDIR": "/run/b1"}).shared_directory
        == "/run/b1/dahliabend"
    )


# What a member keeps.


@contextmanager
def wall_clock(microseconds: int) -> Iterator[None]:
    """The wall clock stands at a time."""
    real = host_info.time_ns
    host_info.time_ns = lambda: microseconds * 1_000
    try:
        yield
    finally:
        host_info.time_ns = real


def member(folder: Path, log: LogLines) -> ClusterMember:
    """The member whose file it is, as it starts; nothing is opened."""
    (folder / "key").write_text("k" * 32)
    settings = MembershipSettings(
        address="127.0.0.1:7946", name="b1", zone="zone-a", key_files=["key"], keep=KEPT,
        seeds=["10.0.0.9:7946"], period=Duration(1_000_000),
    )  # fmt: skip
    loop = asyncio.new_event_loop()
    try:
        return ClusterMember(settings, str(folder), TimerQueue(loop), DescriptorBudget(64), 1, log)
    finally:
        loop.close()


def succeed(folder: Path) -> tuple[dict, str]:
    """A successor goes on from the file half a second later: what it is then, and what it hands over."""
    log = LogLines()
    with wall_clock(KEPT_AT + 500_000):
        successor = member(folder, log)
        assert successor.stored is not None
        assert successor.stored.handed_over
        machine = successor.protocol
        machine.restore(7_000_000, successor.stored.snapshot())
        machine.send("10.0.0.2:7946", Ping(1, "b2"), [])
        found = {
            "seeds": successor.seeds(), "life": machine.generation,
            "incarnation": machine.self_update.incarnation,
            "datagrams": [[address, data.hex()] for address, data in machine.outgoing],
            "members": [msgspec.to_builtins(each.update) for each in machine.members.values()],
        }  # fmt: skip
        successor.store(handed_over=True)
    assert not log
    return found, (folder / KEPT).read_text()


def test_a_members_file_of_the_version_before_is_read_and_written_again(tmp_path: Path) -> None:
    copy(KEPT, tmp_path)
    found, written = succeed(tmp_path)
    assert as_json(found) == read_golden(SUCCESSOR_GOLDEN)
    assert written == read_golden(KEPT_AGAIN_GOLDEN)
    assert {path.name for path in tmp_path.iterdir()} == {"key", KEPT}


@pytest.mark.parametrize(("later", "goes_on"), [(29_999_999, True), (30_000_000, False), (-1, False)])
def test_a_members_file_is_gone_on_from_for_thirty_periods(tmp_path: Path, later: int, goes_on: bool) -> None:
    copy(KEPT, tmp_path)
    with wall_clock(KEPT_AT + later):
        successor = member(tmp_path, LogLines())
    assert successor.stored is not None
    assert successor.stored.handed_over is goes_on
    assert successor.protocol.generation == KEPT_AT + max(
        later, 1_000_001
    )  # newer than the life that was kept


if __name__ == "__main__":
    from tempfile import TemporaryDirectory

    with TemporaryDirectory() as scratch:
        copy(STATE, Path(scratch))
        write_golden(HANDED_ON_GOLDEN, handed_on(Path(scratch))[0])
        copy(KEPT, Path(scratch))
        kept_found, kept_written = succeed(Path(scratch))
        write_golden(SUCCESSOR_GOLDEN, as_json(kept_found))
        write_golden(KEPT_AGAIN_GOLDEN, kept_written)
