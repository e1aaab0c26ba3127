"""The directory that processes with one listening socket share, for a restart without an interruption.

It holds three sorts of small files: a locked one for each live process, the state for a successor, and one
for each upstream that an operator has excluded. Files are written under a temporary name and renamed; a file
that can't be read is skipped.
"""

from collections.abc import Callable, Collection
from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

from dahliabend.proxy import executed_requests, shared_key_order
from dahliabend.server.log import EventLog
from dahliabend.transport import host_info
from dahliabend.transport.runtime_directory import LockedFile, SharedLock

VERSION = 1  # of the state's format; state of another version is ignored
EXCLUSIONS_DIRECTORY = "excluded"
KEY_ORDER_LOCK = "order.lock"
DIGEST_BYTES = 16  # length of the digest of an upstream's name that names its file


class ProcessKey(NamedTuple):
    """The key of a process that uses the directory; keys sort by the start of their processes.

    Attributes:
        start_order: One more than the highest start order among the processes that were alive at its start.
        process_id: The operating system's process id.
    """

    start_order: int
    process_id: int


class SharedTable(NamedTuple):
    """A sort of table that each process has in memory that the others can read.

    Attributes:
        prefix: First part of the names of its files.
        size: Size in bytes.
    """

    prefix: str
    size: int


EXECUTED_TABLE = SharedTable("executed-", executed_requests.TABLE_BYTES)  # requests that may have run
KEY_ORDER_TABLE = SharedTable("order-", shared_key_order.TABLE_BYTES)  # ordering keys in use


def _file_suffix(process: tuple[int, int]) -> str:
    start_order, process_id = process
    return f"{start_order}-{process_id}"


class HotRestart:
    """Access of one process to the directory that it shares with its predecessors and successors.

    A process writes its state for its successor. Each exclusion is a file of its own, so that admin
    calls to two processes can't overwrite each other's changes.

    Attributes:
        process_key: The key of this process; (0, 0) before `open`.
    """

    def __init__(self, path: str, log: EventLog) -> None:
        self.directory = host_info.runtime_directory(path)
        self.log = log
        self.process_key = ProcessKey(0, 0)
        self._alive_file: LockedFile | None = None
        self._last_successor: tuple[int, int] | None = None  # the process that state was last written for

    def open(self) -> None:
        """Register this process as the newest, and remove state written for processes that are dead.

        Raises:
            OSError: The directory can't be created or written to.
        """
        self.directory.make_directory(EXCLUSIONS_DIRECTORY)
        live = self.live_processes()
        for name in self.directory.glob("for-*"):
            if not any(name.endswith(f"-{_file_suffix(key)}") for key in live):
                self.directory.remove(name)
        newest = max((key.start_order for key in live), default=0)
        self.process_key = ProcessKey(newest + 1, host_info.process_id())
        self._alive_file = self.directory.create_locked(f"alive-{_file_suffix(self.process_key)}")

    def live_processes(self) -> dict[ProcessKey, int]:
        """Return the other live processes, oldest first, with the number of their attempts in flight.

        A process is live if it holds the lock on its file.
        """
        attempts_by_process = {}
        for name in self.directory.glob("alive-*-*"):
            start_order, process_id = name.split("-")[1:]
            key = ProcessKey(int(start_order), int(process_id))
            if key == self.process_key:
                continue
            in_flight = self.directory.read_locked(name)
            if in_flight is not None:
                attempts_by_process[key] = int(in_flight) if in_flight.strip().isdigit() else 0
        return dict(sorted(attempts_by_process.items()))

    # State for a successor

    def write_state_for(
        self, successor: tuple[int, int], capture_state: Callable[[], dict[str, Any]]
    ) -> None:
        """Write the state for a successor; repeated calls for the same one do nothing.

        Args:
            successor: The key of the process that restores the state.
            capture_state: Returns the state; called only if it has to be written.
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
        """Return the state written for this process and remove its file; None without readable state."""
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
        """Write this process's number of attempts in flight to its file, for the other processes."""
        if self._alive_file is not None:
            self._alive_file.write(b"%8d" % attempts)

    # Tables in memory that the processes share

    def create_table(self, table: SharedTable) -> memoryview:
        """Return the memory of this process's table, which the others can read.

        Raises:
            OSError: The file can't be created.
        """
        return self.directory.create_shared(f"{table.prefix}{_file_suffix(self.process_key)}", table.size)

    def foreign_tables(self, table: SharedTable, known: Collection[str]) -> dict[str, memoryview]:
        """Return the tables of the other processes that are not known yet, by the suffix of their files."""
        tables = {}
        for name in self.directory.glob(f"{table.prefix}[0-9]*"):
            suffix = name.removeprefix(table.prefix)
            if suffix not in known and suffix != _file_suffix(self.process_key):
                block = self.directory.open_shared(name, table.size)
                if block is not None:
                    tables[suffix] = block
        return tables

    def remove_dead_tables(self, table: SharedTable, needed: Collection[str] = ()) -> None:
        """Remove the files of processes that have ended, but for those with a needed suffix.

        Where a process has mapped a file, the content stays in its memory.
        """
        live = {_file_suffix(key) for key in self.live_processes()} | {_file_suffix(self.process_key)}
        for name in self.directory.glob(f"{table.prefix}[0-9]*"):
            suffix = name.removeprefix(table.prefix)
            if suffix not in live and suffix not in needed:
                self.directory.remove(name)

    def open_key_order_lock(self) -> SharedLock:
        """Return the lock under which a request takes the turn of its key.

        Raises:
            OSError: The file can't be created.
        """
        return self.directory.open_lock(KEY_ORDER_LOCK)

    # Exclusions

    def exclusions(self) -> set[str]:
        """Return the names of the upstreams that are excluded in all processes."""
        names = set()
        for file_name in self.directory.glob(f"{EXCLUSIONS_DIRECTORY}/*"):
            try:
                names.add((self.directory.read(file_name) or b"").decode())
            except ValueError:
                continue
        return names - {""}  # "": a file that was removed after the listing

    def set_excluded(self, name: str, excluded: bool) -> None:
        """Exclude an upstream in all processes that share the directory, or include it again."""
        digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()
        path = f"{EXCLUSIONS_DIRECTORY}/{digest}"
        try:
            if not excluded:
                self.directory.remove(path)
            elif not self.directory.exists(path):
                self.directory.write(path, name.encode())
        except (OSError, ValueError) as error:
            self.log("hot_restart.write_failed", reason=str(error))
