"""State that one process leaves for the next: recorded files are read, and written files stay byte for byte.

There are three forms: the runtime directory that two processes of a balancer share (`PROXY_FD`), the state in
it from which a successor resumes, and the file in which a member stores the members that it knows, which is
also handed over on SIGUSR2.
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
STATE = "for-2-12434"  # for the second process that uses the directory, with its process ID
HANDED_OVER_GOLDEN = "handed_over/for-3-99"
MEMBER_FILE = "member.keep"
MEMBER_FILE_AGAIN_GOLDEN = "handed_over/member_again.keep"
SUCCESSOR_GOLDEN = "handed_over/successor.json"
STORED_AT = 1_764_653_000_000_000  # Unix microseconds


class LogLines(list):
    """A log that records events with their fields."""

    verbose = False

    def __call__(self, event: str, **fields) -> None:
        self.append([event, fields])

    def debug(self, event: str, **fields) -> None:
        self(event, **fields)


def copy_data(name: str, folder: Path) -> None:
    """Copy a data file into a folder whose files a process may change."""
    (folder / name).write_bytes((FOLDER / name).read_bytes())


# State handed over in a hot restart


def resume_and_hand_over(folder: Path) -> tuple[str, LogLines, dict[str, list]]:
    """Resume from the state in a folder as its successor, and write the state for the next process.

    Returns:
        The written file, the log, and the restored values of the policy: by upstream name, and under `all`.
    """
    log, values = LogLines(), {}

    async def resume() -> None:
        settings = read_server_settings({"PROXY_CONFIG": str(FOLDER / "platform.json")})
        program = PlatformServer(settings, {}, log)
        hot_restart = HotRestart(str(folder), log)
        hot_restart.process_key = (2, 12434)
        state = hot_restart.read_state()
        assert state is not None
        program.restore_state(state)
        policy, upstreams = program.router.balancer, program.router.table.endpoints
        for index, u in sorted(policy.selection.endpoints.items()):
            values[upstreams[index].name] = [
                u.started_at, u.relative_latency, u.silent_since, u.answered_at, u.position, u.is_ejected,
                u.ejected_since, u.consecutive_failures, u.slow_start_budget, u.budget_filled_at,
            ]  # fmt: skip
        limit = policy.concurrency
        values["all"] = [
            limit.limit, limit.mean_in_flight, limit.sustained_in_flight, limit.latency_ratio,
            limit.min_latency_ratio, limit.mean_latency, limit.ticks, limit.is_overloaded,
            policy.outliers.fatal_idle_time, *policy.deadlines.mean_latencies,
        ]  # fmt: skip
        hot_restart.write_state_for((3, 99), program.capture_state)

    asyncio.run(resume())
    return (folder / "for-3-99").read_text(), log, values


def test_recorded_state_is_read_and_handed_over_byte_for_byte(tmp_path: Path) -> None:
    copy_data(STATE, tmp_path)
    written, log, _ = resume_and_hand_over(tmp_path)
    assert written == read_golden(HANDED_OVER_GOLDEN)
    assert ["endpoint_list.applied", {"version": 12, "full": True, "entries": 3}] in log
    assert ["hot_restart.resumed", {"restored": 3, "upstreams": 3}] in log
    assert ["hot_restart.state_written", {"successor": 99}] in log
    assert "hot_restart.read_failed" not in {event for event, _ in log}
    assert not (tmp_path / STATE).exists()


def test_each_value_of_the_state_is_restored_to_the_attribute_it_was_taken_from(tmp_path: Path) -> None:
    """Lists in the file are positional, so a value that moved would be read as another one."""
    copy_data(STATE, tmp_path)
    state = json.loads((FOLDER / STATE).read_text())
    expected = state["upstreams"] | {"all": [*state["crowd"], state["gap"], *state["usual"]]}
    assert resume_and_hand_over(tmp_path)[2] == expected


def test_handed_over_state_equals_the_state_that_was_read_except_halved_budgets() -> None:
    """This shows that the golden file contains each value that was read, and no defaults."""
    before, after = (json.loads((FOLDER / name).read_text()) for name in (STATE, "for-3-99"))
    for values in before["upstreams"].values():
        values[8] /= 2
    # These lists are written in the order in which entries were last named.
    for state in (before, after):
        state["once"].sort()
        state["list"]["servers"].sort(key=lambda server: server["id"])
    assert after == before
    assert list(after) == [
        "version", "shape", "usual", "gap", "upstreams", "crowd", "epoch", "profiles", "returned", "once",
        "list", "discovery",
    ]  # fmt: skip


# Runtime directory


def test_names_and_contents_of_the_runtime_directory(tmp_path: Path) -> None:
    shared = tmp_path / "dahliabend"
    log, process_id = LogLines(), os.getpid()
    hot_restart = HotRestart(str(shared), log)
    hot_restart.open()
    hot_restart.publish_in_flight(37)
    hot_restart.set_excluded("s-1", True)
    hot_restart.set_excluded("s-1/../bälter", True)
    hot_restart.write_state_for((2, 4711), lambda: {"epoch": 5, "list": {"version": 1}})
    files = {str(path.relative_to(shared)): path for path in shared.rglob("*") if path.is_file()}
    assert {name: path.read_bytes().decode() for name, path in files.items()} == {
        f"alive-1-{process_id}": "      37",
        "excluded/d8f869c69505c294cde2a4fffd0d696e": "s-1",
        "excluded/a40d7184ecfec4237917bfe1837ebae3": "s-1/../bälter",
        "for-2-4711": '{"version":1,"epoch":5,"list":{"version":1}}',
    }
    assert files[f"alive-1-{process_id}"].stat().st_mode & 0o777 == 0o600
    assert log == [["hot_restart.state_written", {"successor": 4711}]]
    assert VERSION == 1
    hot_restart.set_excluded("s-1", False)
    assert hot_restart.exclusions() == {"s-1/../bälter"}


def test_recorded_exclusions_are_read_and_can_be_removed(tmp_path: Path) -> None:
    (tmp_path / "excluded").mkdir()
    (tmp_path / "excluded" / "d8f869c69505c294cde2a4fffd0d696e").write_bytes(b"s-1")
    hot_restart = HotRestart(str(tmp_path), LogLines())
    hot_restart.open()
    assert hot_restart.exclusions() == {"s-1"}
    hot_restart.set_excluded("s-1", False)
    assert hot_restart.exclusions() == set()


def test_runtime_directory_keeps_its_path() -> None:
    platform = {"PROXY_CONFIG": str(FOLDER / "platform.json")}
    assert read_server_settings(platform).shared_directory == ""
    assert read_server_settings({**platform, "PROXY_FD": "7"}).shared_directory == "/tmp/dahliabend"
    assert (
        read_server_settings({**platform, "PROXY_FD": "7", "TMPDIR": "/run/b1"}).shared_directory
        == "/run/b1/dahliabend"
    )


# File of known members


@contextmanager
def wall_clock(microseconds: int) -> Iterator[None]:
    """Stop the wall clock at a Unix time."""
    real_time_ns = host_info.time_ns
    host_info.time_ns = lambda: microseconds * 1_000
    try:
        yield
    finally:
        host_info.time_ns = real_time_ns


def new_member(folder: Path, log: LogLines) -> ClusterMember:
    """Return the member that stores its file in a folder, before it opens a socket."""
    (folder / "key").write_text("k" * 32)
    settings = MembershipSettings(
        address="127.0.0.1:7946", name="b1", zone="zone-a", key_files=["key"], keep=MEMBER_FILE,
        seeds=["10.0.0.9:7946"], period=Duration(1_000_000),
    )  # fmt: skip
    loop = asyncio.new_event_loop()
    try:
        return ClusterMember(settings, str(folder), TimerQueue(loop), DescriptorBudget(64), 1, log)
    finally:
        loop.close()


def resume_member(folder: Path) -> tuple[dict, str]:
    """Resume a member from its file half a second later; return its state and the file that it hands over."""
    log = LogLines()
    with wall_clock(STORED_AT + 500_000):
        successor = new_member(folder, log)
        assert successor.stored is not None
        assert successor.stored.handed_over
        protocol = successor.protocol
        protocol.restore(7_000_000, successor.stored.snapshot())
        protocol.send("10.0.0.2:7946", Ping(1, "b2"), [])
        state = {
            "seeds": successor.seeds(), "life": protocol.generation,
            "incarnation": protocol.self_update.incarnation,
            "datagrams": [[address, data.hex()] for address, data in protocol.outgoing],
            "members": [msgspec.to_builtins(member.update) for member in protocol.members.values()],
        }  # fmt: skip
        successor.store(handed_over=True)
    assert not log
    return state, (folder / MEMBER_FILE).read_text()


def test_recorded_member_file_is_read_and_written_again_byte_for_byte(tmp_path: Path) -> None:
    copy_data(MEMBER_FILE, tmp_path)
    state, written = resume_member(tmp_path)
    assert as_json(state) == read_golden(SUCCESSOR_GOLDEN)
    assert written == read_golden(MEMBER_FILE_AGAIN_GOLDEN)
    assert {path.name for path in tmp_path.iterdir()} == {"key", MEMBER_FILE}


@pytest.mark.parametrize(
    ("age", "is_resumed"),  # age in microseconds; the period is a second
    [(29_999_999, True), (30_000_000, False), (-1, False)],
)
def test_member_resumes_from_a_file_younger_than_thirty_periods(
    tmp_path: Path, age: int, is_resumed: bool
) -> None:
    copy_data(MEMBER_FILE, tmp_path)
    with wall_clock(STORED_AT + age):
        successor = new_member(tmp_path, LogLines())
    assert successor.stored is not None
    assert successor.stored.handed_over is is_resumed
    # The generation must be newer than the stored one.
    assert successor.protocol.generation == STORED_AT + max(age, 1_000_001)


if __name__ == "__main__":
    from tempfile import TemporaryDirectory

    with TemporaryDirectory() as scratch:
        copy_data(STATE, Path(scratch))
        write_golden(HANDED_OVER_GOLDEN, resume_and_hand_over(Path(scratch))[0])
        copy_data(MEMBER_FILE, Path(scratch))
        resumed_state, stored_text = resume_member(Path(scratch))
        write_golden(SUCCESSOR_GOLDEN, as_json(resumed_state))
        write_golden(MEMBER_FILE_AGAIN_GOLDEN, stored_text)


def _without_key(state: dict, path: tuple) -> dict:
    copied = json.loads(json.dumps(state))
    table = copied
    for key in path[:-1]:
        table = table[key]
    del table[path[-1]]
    return copied


REQUIRED_STATE_KEYS = [
    *(
        (key,)
        for key in ("shape", "usual", "gap", "upstreams", "crowd", "epoch", "profiles", "returned", "once")
    ),
    ("list",),
    ("discovery",),
    ("list", "servers"),
    *(("list", "servers", 0, key) for key in ("id", "addr", "zone", "cell", "weight", "state", "started_ms")),
]


# Guards against state that is restored in part, and against a default in place of a key that it lacks.
@pytest.mark.parametrize("path", REQUIRED_STATE_KEYS, ids=lambda path: ".".join(map(str, path)))
def test_state_that_lacks_a_key_changes_nothing(path: tuple) -> None:
    state = _without_key(json.loads((FOLDER / STATE).read_text()), path)

    async def resume() -> None:
        settings = read_server_settings({"PROXY_CONFIG": str(FOLDER / "platform.json")})
        program = PlatformServer(settings, {}, LogLines())
        before = program.capture_state()
        with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
            program.restore_state(state)
        assert program.capture_state() == before
        assert not program.discovery.first_attempt_finished

    asyncio.run(resume())
