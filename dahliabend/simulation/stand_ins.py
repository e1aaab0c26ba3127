"""The modelled machine under the network code: its clocks, sockets, files and shared folders.

`standing_in` puts them in the place of `dahliabend.transport.host_info`'s for as long as it lasts. One
world at a time, in one thread.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from fnmatch import fnmatchcase

from dahliabend.simulation.event_loop import EPOCH, Kernel, Process
from dahliabend.simulation.network import Listening, Network, Socket
from dahliabend.transport import host_info

_NAMES = (
    "monotonic_ns",
    "time_ns",
    "process_id",
    "runtime_directory",
    "stream_socket",
    "inherited_socket",
    "read_file",
    "peer_has_closed",
)


class MemoryClaim:
    def __init__(self, holder: Process) -> None:
        self.holder, self.told = holder, b""

    def write(self, data: bytes) -> None:
        self.told = data


class MemoryFolder:
    """As `dahliabend.transport.runtime_directory.Folder`, in memory; locks end with their process."""

    def __init__(self, kernel: Kernel, files: dict[str, bytes | MemoryClaim]) -> None:
        self.kernel, self.files = kernel, files

    def make_directory(self, name: str = "") -> None: ...

    def glob(self, pattern: str) -> list[str]:
        depth = pattern.count("/")
        return sorted(n for n in self.files if n.count("/") == depth and fnmatchcase(n, pattern))

    def read(self, name: str) -> bytes | None:
        found = self.files.get(name)
        return found if isinstance(found, bytes) else None

    def exists(self, name: str) -> bool:
        return name in self.files

    def write(self, name: str, data: bytes) -> None:
        self.files[name] = data

    def remove(self, name: str) -> None:
        self.files.pop(name, None)

    def create_locked(self, name: str) -> MemoryClaim:
        made = self.files[name] = MemoryClaim(self.kernel.current)
        return made

    def read_locked(self, name: str) -> bytes | None:
        found = self.files.get(name)
        if not isinstance(found, MemoryClaim) or not found.holder.alive:
            self.files.pop(name, None)
            return None
        return found.told


class Machines:
    """The files and inherited sockets of all machines of a world."""

    def __init__(self, kernel: Kernel, network: Network) -> None:
        self.kernel, self.network = kernel, network
        self.files: dict[str, bytes] = {}
        self.folders: dict[str, dict] = {}
        self.inherited: dict[str, Listening] = {}  # by the address of the machine

    def read_file(self, path: str) -> bytes:
        if path not in self.files:
            raise FileNotFoundError(2, "No such file or directory")
        return self.files[path]

    def runtime_directory(self, path: str) -> MemoryFolder:
        return MemoryFolder(self.kernel, self.folders.setdefault(path, {}))

    def stream_socket(self) -> Socket:
        return self.network.socket(self.kernel.current)

    def inherited_socket(self, number: int) -> Socket:
        process = self.kernel.current
        listening = self.inherited.get(process.address)
        if number != 3 or listening is None:
            raise OSError(9, "bad file descriptor")
        return Socket(self.network, process, listening=listening)

    def peer_has_closed(self, sock: Socket) -> bool:
        return sock.end.fin_seen or sock.end.reset_seen

    def monotonic_ns(self) -> int:
        return self.kernel.now * 1000

    def time_ns(self) -> int:
        return (EPOCH + self.kernel.now) * 1000

    def process_id(self) -> int:
        return self.kernel.current.number

    @contextmanager
    def standing_in(self) -> Iterator[None]:
        before = {name: getattr(host_info, name) for name in _NAMES}
        for name in _NAMES:
            setattr(host_info, name, getattr(self, name))
        try:
            yield
        finally:
            for name, value in before.items():
                setattr(host_info, name, value)
