"""The directory that two processes on one listening socket share, for a restart without an interruption.

It holds small files, each written as a whole under another name and renamed. One that can't be read is
skipped. In it stand: who lives, the state for a successor, and the upstreams that an operator has excluded.
"""

from collections.abc import Callable
from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

from dahliabend.server.log import EventLog
from dahliabend.transport import host_info
from dahliabend.transport.runtime_directory import LockedFile

VERSION = 1  # of the files' form: what another version wrote is not read
EXCLUSIONS_DIRECTORY = "excluded"
DIGEST_BYTES = 16  # of an upstream's name, in the name of its file


class ProcessKey(NamedTuple):
    """A process among those that share the directory; an older one compares as less.

    Attributes:
        generation: One more than that of the newest process at its start.
        process_id: Its number in the system.
    """

    generation: int
    process_id: int


def _file_suffix(process: tuple[int, int]) -> str:
    generation, process_id = process
    return f"{generation}-{process_id}"


class HotRestart:
    """This process among those that share the directory.

    The one in service writes its state for its successor. Exclusions are a file each, so that calls to either
    process can't undo one another.

    Attributes:
        process_key: This process; (0, 0) until `open`.
    """

    def __init__(self, path: str, log: EventLog) -> None:
        self.directory = host_info.runtime_directory(path)
        self.log = log
        self.process_key = ProcessKey(0, 0)
        self._alive_file: LockedFile | None = None
        self._last_successor: tuple[int, int] | None = None  # the state has been written for it

    def open(self) -> None:
        """Register this process as the newest, and remove what dead ones have left.

        Raises:
            OSError: The directory can't be used.
        """
        self.directory.make_directory(EXCLUSIONS_DIRECTORY)
        live = self.live_processes()
        for name in self.directory.glob("for-*"):
            if not any(name.endswith(f"-{_file_suffix(key)}") for key in live):
                self.directory.remove(name)
        newest = max((key.generation for key in live), default=0)
        self.process_key = ProcessKey(newest + 1, host_info.process_id())
        self._alive_file = self.directory.create_locked(f"alive-{_file_suffix(self.process_key)}")

    def live_processes(self) -> dict[ProcessKey, int]:
        """Return the others that hold their locks, oldest first, with their attempts in flight."""
        attempts_by_process = {}
        for name in self.directory.glob("alive-*-*"):
            generation, process_id = name.split("-")[1:]
            key = ProcessKey(int(generation), int(process_id))
            if key == self.process_key:
                continue
            in_flight = self.directory.read_locked(name)
            if in_flight is not None:
                attempts_by_process[key] = int(in_flight) if in_flight.strip().isdigit() else 0
        return dict(sorted(attempts_by_process.items()))

    # State for a successor.

    def write_state_for(
        self, successor: tuple[int, int], capture_state: Callable[[], dict[str, Any]]
    ) -> None:
        """Write the state for that process, once for each successor.

        Args:
            successor: The process that is to go on from it.
            state: Called for the state if it has to be written.
        """
        if successor == self._last_successor:
            return
        self._last_successor = successor
        content = {"version": VERSION, **capture_state()}
        try:
            self.directory.write(f"for-{_file_suffix(successor)}", orjson.dumps(content))
        except OSError as error:
            self.log("hot_restart.write_failed", reason=str(error))
        self.log("hot_restart.state_written", successor=successor[1])

    def read_state(self) -> dict[str, Any] | None:
        """Return the state that was written for this process, once; None if there is none to be read."""
        name = f"for-{_file_suffix(self.process_key)}"
        raw = self.directory.read(name)
        if raw is None:
            return None
        self.directory.remove(name)
        try:
            state: dict[str, Any] = orjson.loads(raw)
            version = state["version"]
        except (ValueError, TypeError, KeyError) as error:
            self.log("hot_restart.read_failed", reason=repr(error))
            return None
        if version != VERSION:
            self.log("hot_restart.read_failed", reason=f"version {version!r}")
            return None
        return state

    def publish_in_flight(self, attempts: int) -> None:
        """Tell the other processes how many attempts this one has in flight."""
        if self._alive_file is not None:
            self._alive_file.write(b"%8d" % attempts)

    # Exclusions.

    def exclusions(self) -> set[str]:
        """Return the names of all excluded upstreams."""
        names = set()
        for file_name in self.directory.glob(f"{EXCLUSIONS_DIRECTORY}/*"):
            try:
                names.add((self.directory.read(file_name) or b"").decode())
            except ValueError:
                continue
        return names - {""}  # removed between the two calls

    def set_excluded(self, name: str, excluded: bool) -> None:
        """Exclude an upstream in all processes, or include it again."""
        digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()
        path = f"{EXCLUSIONS_DIRECTORY}/{digest}"
        try:
            if not excluded:
                self.directory.remove(path)
            elif not self.directory.exists(path):
                self.directory.write(path, name.encode())
        except (OSError, ValueError) as error:
            self.log("hot_restart.write_failed", reason=str(error))
