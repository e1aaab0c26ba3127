"""A directory of small files that processes share: written and read whole, with locks that show who lives."""

import contextlib
import fcntl
import os
from pathlib import Path

LOCKED_FILE_BYTES = 8  # that others read of a locked file


class LockedFile:
    """A file that this process holds locked until it ends, with a few bytes for the others to read."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def write(self, data: bytes) -> None:
        """Replaces the content in place.

        Written anew ten times a second, a file would have the event loop wait for a busy disk.
        """
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, data, 0)


class RuntimeDirectory:
    """Files by name; a name may have one `/`, for a directory within.

    All methods but `read`, `read_locked` and `exists` raise OSError if the disk refuses.
    """

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        self.temporary = f"new-{os.getpid()}"

    def make_directory(self, name: str = "") -> None:
        """Creates the directory, or one within it, unless it exists."""
        (self.path / name).mkdir(parents=True, exist_ok=True)

    def glob(self, pattern: str) -> list[str]:
        """The names that match a pattern, sorted, so that nothing depends on the disk's order."""
        return sorted(str(path.relative_to(self.path)) for path in self.path.glob(pattern))

    def read(self, name: str) -> bytes | None:
        """The content, or None if it cannot be read."""
        try:
            return (self.path / name).read_bytes()
        except OSError:
            return None

    def exists(self, name: str) -> bool:
        """Whether there is a file of that name."""
        return (self.path / name).exists()

    def write(self, name: str, data: bytes) -> None:
        """Writes a file, whole or not at all: under another name first."""
        temporary = self.path / self.temporary
        temporary.write_bytes(data)
        temporary.rename(self.path / name)

    def remove(self, name: str) -> None:
        """Removes a file, if it is there."""
        (self.path / name).unlink(missing_ok=True)

    def create_locked(self, name: str) -> LockedFile:
        """Creates a file that this process holds locked."""
        temporary = self.path / self.temporary
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT, 0o600)
        # Locked before it has its name: seen unlocked, it would be taken for a dead one's and removed.
        fcntl.lockf(descriptor, fcntl.LOCK_EX)
        temporary.rename(self.path / name)
        return LockedFile(descriptor)

    def read_locked(self, name: str) -> bytes | None:
        """What the process that holds a file locked has written there; None if no process does.

        A file that no process holds is removed: a crash frees the lock, so that no old file misleads. Never
        call it for a file of this process: opened and closed here, its lock would be lost.
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
