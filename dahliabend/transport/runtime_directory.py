"""A directory of small files that processes share. Locked files show which processes are alive."""

import contextlib
import fcntl
import mmap
import os
from pathlib import Path

LOCKED_FILE_BYTES = 8  # that other processes read of a locked file


def _map_file(path: Path, access: int) -> memoryview:
    """Return the memory that a file is mapped to; it outlives the file's name."""
    with path.open("r+b" if access == mmap.ACCESS_WRITE else "rb") as file:
        return memoryview(mmap.mmap(file.fileno(), 0, access=access))


class LockedFile:
    """A file that this process keeps locked until it exits, with a few bytes for other processes to read."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def write(self, data: bytes) -> None:
        """Replace the content in place.

        A process on a shared listening socket writes its file ten times a second; creating a new file each
        time would make the event loop wait for a busy disk.
        """
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, data, 0)


class SharedLock:
    """A lock between processes, which the system releases when its holder ends."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def try_acquire(self) -> bool:
        """Acquire the lock unless another process holds it; return whether it was acquired."""
        try:
            fcntl.lockf(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return False
        return True

    def release(self) -> None:
        """Release the lock."""
        with contextlib.suppress(OSError):
            fcntl.lockf(self.descriptor, fcntl.LOCK_UN)


class RuntimeDirectory:
    """Files by name; a name may contain one `/`, for a subdirectory.

    All methods but `read`, `read_locked` and `exists` raise OSError if the file system reports an error.
    """

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        self.temporary_name = f"new-{os.getpid()}"

    def make_directory(self, name: str = "") -> None:
        """Create the directory, or a subdirectory, unless it exists."""
        (self.path / name).mkdir(parents=True, exist_ok=True)

    def glob(self, pattern: str) -> list[str]:
        """Return the names that match a pattern, sorted to be independent of the file system's order."""
        return sorted(str(path.relative_to(self.path)) for path in self.path.glob(pattern))

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it cannot be read."""
        try:
            return (self.path / name).read_bytes()
        except OSError:
            return None

    def exists(self, name: str) -> bool:
        """Return whether there is a file of that name."""
        return (self.path / name).exists()

    def write(self, name: str, data: bytes) -> None:
        """Write a file atomically: to a temporary file, which is then renamed."""
        temporary_path = self.path / self.temporary_name
        temporary_path.write_bytes(data)
        temporary_path.rename(self.path / name)

    def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        (self.path / name).unlink(missing_ok=True)

    def create_locked(self, name: str) -> LockedFile:
        """Create a file that this process keeps locked."""
        temporary_path = self.path / self.temporary_name
        descriptor = os.open(temporary_path, os.O_RDWR | os.O_CREAT, 0o600)
        # Locked before it is renamed: another process would remove an unlocked file as that of a crashed one.
        fcntl.lockf(descriptor, fcntl.LOCK_EX)
        temporary_path.rename(self.path / name)
        return LockedFile(descriptor)

    def create_shared(self, name: str, size: int) -> memoryview:
        """Create a file of zeros that other processes can read in memory while it changes."""
        temporary_path = self.path / self.temporary_name
        temporary_path.write_bytes(bytes(size))
        block = _map_file(temporary_path, mmap.ACCESS_WRITE)
        temporary_path.rename(self.path / name)
        return block

    def open_shared(self, name: str, size: int) -> memoryview | None:
        """Return the memory of a file that another process has created; None if there is no such file."""
        try:
            block = _map_file(self.path / name, mmap.ACCESS_READ)
        except (OSError, ValueError):
            return None
        return block if len(block) == size else None

    def open_lock(self, name: str) -> SharedLock:
        """Return the lock of a name, which all processes share; its file stays."""
        return SharedLock(os.open(self.path / name, os.O_RDWR | os.O_CREAT, 0o600))

    def read_locked(self, name: str) -> bytes | None:
        """Return what the process that keeps a file locked has written to it; None if no process does.

        A file without a lock is removed: a crash frees the lock, so a file that a crashed process left cannot
        mislead. Never call this for a file that this process has locked: opening and closing it here would
        drop the lock.
        """
        path = self.path / name
        try:
            descriptor = os.open(path, os.O_RDWR)
        except OSError:
            return None
        try:
            fcntl.lockf(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path.unlink(missing_ok=True)
        except OSError:
            return os.pread(descriptor, LOCKED_FILE_BYTES, 0)
        else:
            return None
        finally:
            os.close(descriptor)
