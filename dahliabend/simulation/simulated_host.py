"""The simulated machine under the network code: its clocks, sockets, files and shared directories.

`SimulatedHost.installed` puts them in the place of the functions of `dahliabend.transport.host_info` for as
long as it lasts. One simulation at a time, in one thread.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from fnmatch import fnmatchcase

from dahliabend.simulation.event_loop import UNIX_TIME_AT_ZERO, Process, Scheduler
from dahliabend.simulation.network import Network
from dahliabend.simulation.sockets import ListenQueue, Socket
from dahliabend.transport import host_info

EBADF = 9
INHERITED_DESCRIPTOR = 3
NANOSECONDS_PER_MICROSECOND = 1_000
_REPLACED_FUNCTIONS = (
    "monotonic_ns",
    "time_ns",
    "process_id",
    "runtime_directory",
    "stream_socket",
    "inherited_socket",
    "read_file",
    "peer_has_closed",
)


class MemoryLock:
    """A locked file, with what its holder wrote."""

    def __init__(self, holder: Process) -> None:
        self.holder = holder
        self.data = b""

    def write(self, data: bytes) -> None:
        """Replace the content."""
        self.data = data


class MemoryDirectory:
    """The interface of `dahliabend.transport.runtime_directory`, in memory; locks end with their process."""

    def __init__(self, scheduler: Scheduler, files: dict[str, bytes | MemoryLock]) -> None:
        self.scheduler = scheduler
        self.files = files

    def make_directory(self, name: str = "") -> None:
        """Nothing to do: names may have any prefix."""

    def glob(self, pattern: str) -> list[str]:
        """The names that match, in order; a `*` does not match a slash."""
        depth = pattern.count("/")
        return sorted(n for n in self.files if n.count("/") == depth and fnmatchcase(n, pattern))

    def read(self, name: str) -> bytes | None:
        """A file's content, None if there is no such file."""
        found = self.files.get(name)
        return found if isinstance(found, bytes) else None

    def exists(self, name: str) -> bool:
        """Whether there is such a file."""
        return name in self.files

    def write(self, name: str, data: bytes) -> None:
        """Replace a file's content."""
        self.files[name] = data

    def remove(self, name: str) -> None:
        """Remove a file, if it is there."""
        self.files.pop(name, None)

    def create_locked(self, name: str) -> MemoryLock:
        """Create a file that is locked as long as the current process lives."""
        lock = MemoryLock(_current(self.scheduler))
        self.files[name] = lock
        return lock

    def read_locked(self, name: str) -> bytes | None:
        """A locked file's content; None, and the file removed, if nobody holds its lock."""
        found = self.files.get(name)
        if not isinstance(found, MemoryLock) or not found.holder.alive:
            self.files.pop(name, None)
            return None
        return found.data


class SimulatedHost:
    """The files, directories and inherited sockets of all machines of a simulation."""

    def __init__(self, scheduler: Scheduler, network: Network) -> None:
        self.scheduler = scheduler
        self.network = network
        self.files: dict[str, bytes] = {}
        self.directories: dict[str, dict[str, bytes | MemoryLock]] = {}
        self.inherited: dict[str, ListenQueue] = {}  # by the address of the machine

    def read_file(self, path: str) -> bytes:
        """A file's content.

        Raises:
            FileNotFoundError: there is no such file.
        """
        if path not in self.files:
            raise FileNotFoundError(2, "No such file or directory")
        return self.files[path]

    def runtime_directory(self, path: str) -> MemoryDirectory:
        """A directory that processes share."""
        return MemoryDirectory(self.scheduler, self.directories.setdefault(path, {}))

    def stream_socket(self) -> Socket:
        """A new socket of the current process."""
        return self.network.socket(_current(self.scheduler))

    def inherited_socket(self, number: int) -> Socket:
        """The listening socket that the platform hands to the current process.

        Raises:
            OSError: there is none of that number.
        """
        process = _current(self.scheduler)
        queue = self.inherited.get(process.address)
        if number != INHERITED_DESCRIPTOR or queue is None:
            raise OSError(EBADF, "bad file descriptor")
        return Socket(self.network, process, listen_queue=queue)

    def peer_has_closed(self, sock: Socket) -> bool:
        """Whether the other end has closed or reset the connection."""
        end = sock.connected_end
        return end.fin_received or end.reset_received

    def monotonic_ns(self) -> int:
        """Nanoseconds of the virtual clock."""
        return self.scheduler.now * NANOSECONDS_PER_MICROSECOND

    def time_ns(self) -> int:
        """Nanoseconds of virtual Unix time."""
        return (UNIX_TIME_AT_ZERO + self.scheduler.now) * NANOSECONDS_PER_MICROSECOND

    def process_id(self) -> int:
        """The id of the current process."""
        return _current(self.scheduler).process_id

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Stand in for the real machine until the context ends."""
        before = {name: getattr(host_info, name) for name in _REPLACED_FUNCTIONS}
        for name in _REPLACED_FUNCTIONS:
            setattr(host_info, name, getattr(self, name))
        try:
            yield
        finally:
            for name, value in before.items():
                setattr(host_info, name, value)


def _current(scheduler: Scheduler) -> Process:
    process = scheduler.current_process
    if process is None:
        raise RuntimeError("no simulated process runs now")
    return process
