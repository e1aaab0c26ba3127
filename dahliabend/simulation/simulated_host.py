"""The simulated host: the clocks, sockets, files and shared directories that the balancer's program uses.

While the context of `SimulatedHost.installed` is active, its methods replace the functions of
`dahliabend.transport.host_info`. Only one simulation can run at a time, in one thread.
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
    "peer_has_reset",
    "resident_bytes",
    "time_since_data",
    "unacknowledged_bytes",
)


class MemoryLock:
    """A locked file, its content and the process that holds the lock."""

    def __init__(self, holder: Process) -> None:
        self.holder = holder
        self.data = b""

    def write(self, data: bytes) -> None:
        """Replace the content of the file."""
        self.data = data


class UncontendedLock:
    """A lock between simulated processes, of which only one runs at a time."""

    def try_acquire(self) -> bool:
        """Return True: no other process can hold it now."""
        return True

    def release(self) -> None:
        """Do nothing."""


class MemoryDirectory:
    """An in-memory implementation of the interface of `dahliabend.transport.runtime_directory`.

    A lock is released when its process terminates.
    """

    def __init__(self, scheduler: Scheduler, files: dict[str, bytes | memoryview | MemoryLock]) -> None:
        self.scheduler = scheduler
        self.files = files

    def make_directory(self, name: str = "") -> None:
        """Do nothing: file names may have any prefix without their directory being created."""

    def glob(self, pattern: str) -> list[str]:
        """Return the sorted file names that match a pattern; `*` does not match a slash."""
        depth = pattern.count("/")
        return sorted(n for n in self.files if n.count("/") == depth and fnmatchcase(n, pattern))

    def read(self, name: str) -> bytes | None:
        """Return the content of an unlocked file, None if there is no such file."""
        content = self.files.get(name)
        return content if isinstance(content, bytes) else None

    def exists(self, name: str) -> bool:
        """Return whether a file of this name exists."""
        return name in self.files

    def write(self, name: str, data: bytes) -> None:
        """Create a file or replace its content."""
        self.files[name] = data

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        self.files.pop(name, None)

    def create_locked(self, name: str) -> MemoryLock:
        """Create a file that stays locked while the current process is alive."""
        lock = MemoryLock(_current_process(self.scheduler))
        self.files[name] = lock
        return lock

    def create_shared(self, name: str, size: int) -> memoryview:
        """Create a file of zeros that other processes can read in memory while it changes."""
        block = memoryview(bytearray(size))
        self.files[name] = block
        return block

    def open_shared(self, name: str, size: int) -> memoryview | None:
        """Return the memory of a file that another process has created; None if there is no such file."""
        block = self.files.get(name)
        return block if isinstance(block, memoryview) and len(block) == size else None

    def open_lock(self, _name: str) -> UncontendedLock:
        """Return the lock of a name."""
        return UncontendedLock()

    def read_locked(self, name: str) -> bytes | None:
        """Return the content of a locked file; if its lock is free, remove it and return None."""
        lock = self.files.get(name)
        if not isinstance(lock, MemoryLock) or not lock.holder.is_alive:
            self.files.pop(name, None)
            return None
        return lock.data


class SimulatedHost:
    """The files, runtime directories and inherited sockets of all hosts of a simulation."""

    def __init__(self, scheduler: Scheduler, network: Network) -> None:
        self.scheduler = scheduler
        self.network = network
        self.files: dict[str, bytes] = {}
        self.directories: dict[str, dict[str, bytes | memoryview | MemoryLock]] = {}
        self.inherited: dict[str, ListenQueue] = {}  # by host address

    def read_file(self, path: str) -> bytes:
        """Return the content of a file.

        Raises:
            FileNotFoundError: the file does not exist.
        """
        if path not in self.files:
            raise FileNotFoundError(2, "No such file or directory")
        return self.files[path]

    def runtime_directory(self, path: str) -> MemoryDirectory:
        """Return a runtime directory, which processes share."""
        return MemoryDirectory(self.scheduler, self.directories.setdefault(path, {}))

    def stream_socket(self) -> Socket:
        """Create a socket that belongs to the current process."""
        return self.network.socket(_current_process(self.scheduler))

    def inherited_socket(self, number: int) -> Socket:
        """Return the listening socket that the current process inherits from the platform.

        Raises:
            OSError: no socket is inherited under this descriptor number.
        """
        process = _current_process(self.scheduler)
        queue = self.inherited.get(process.address)
        if number != INHERITED_DESCRIPTOR or queue is None:
            raise OSError(EBADF, "bad file descriptor")
        return Socket(self.network, process, listen_queue=queue)

    def peer_has_closed(self, sock: Socket) -> bool:
        """Return whether the peer has closed or reset the connection."""
        end = sock.connected_end
        return end.fin_received or end.reset_received

    def peer_has_reset(self, sock: Socket) -> bool:
        """Return whether the peer has reset the connection."""
        return sock.connected_end.reset_received

    def time_since_data(self, _sock: Socket) -> int:
        """Return 0: not known."""
        return 0

    def unacknowledged_bytes(self, _sock: Socket) -> int:
        """Return 0: not known."""
        return 0

    def resident_bytes(self) -> int:
        """Return 0: simulated processes have no memory of their own."""
        return 0

    def monotonic_ns(self) -> int:
        """Return the time of the virtual clock, in nanoseconds."""
        return self.scheduler.now * NANOSECONDS_PER_MICROSECOND

    def time_ns(self) -> int:
        """Return the virtual Unix time, in nanoseconds."""
        return (UNIX_TIME_AT_ZERO + self.scheduler.now) * NANOSECONDS_PER_MICROSECOND

    def process_id(self) -> int:
        """Return the id of the current process."""
        return _current_process(self.scheduler).process_id

    @contextmanager
    def installed(self) -> Iterator[None]:
        """Replace the functions of `host_info` until the context ends."""
        originals = {name: getattr(host_info, name) for name in _REPLACED_FUNCTIONS}
        for name in _REPLACED_FUNCTIONS:
            setattr(host_info, name, getattr(self, name))
        try:
            yield
        finally:
            for name, value in originals.items():
                setattr(host_info, name, value)


def _current_process(scheduler: Scheduler) -> Process:
    process = scheduler.current_process
    if process is None:
        raise RuntimeError("no simulated process is running")
    return process
