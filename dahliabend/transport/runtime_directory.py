"""A folder of small files that processes share: written and read whole, and locks that tell who lives."""

import contextlib
import fcntl
import os
from pathlib import Path


class LockedFile:
    """A file that this process holds locked until it ends, with a few bytes to tell the others."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor

    def write(self, data: bytes) -> None:
        """Written in place: made anew ten times a second, a file would have the loop wait for a busy disk."""
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, data, 0)


class RuntimeDirectory:
    """Names may hold one `/`, for a folder within. All but reads raise OSError where the disk refuses."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        self.temporary = f"new-{os.getpid()}"

    def make_directory(self, name: str = "") -> None:
        (self.path / name).mkdir(parents=True, exist_ok=True)

    def glob(self, pattern: str) -> list[str]:
        """Those that fit the pattern, sorted: what comes of them must not hang on the disk's order."""
        return sorted(str(path.relative_to(self.path)) for path in self.path.glob(pattern))

    def read(self, name: str) -> bytes | None:
        try:
            return (self.path / name).read_bytes()
        except OSError:
            return None

    def exists(self, name: str) -> bool:
        return (self.path / name).exists()

    def write(self, name: str, data: bytes) -> None:
        """Whole or not at all: under another name first."""
        temporary = self.path / self.temporary
        temporary.write_bytes(data)
        temporary.rename(self.path / name)

    def remove(self, name: str) -> None:
        (self.path / name).unlink(missing_ok=True)

    def create_locked(self, name: str) -> LockedFile:
        temporary = self.path / self.temporary
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT, 0o600)
        # Locked before it has its name: seen unlocked, it would be taken for a dead one's and cleared away.
        fcntl.lockf(descriptor, fcntl.LOCK_EX)
        temporary.rename(self.path / name)
        return LockedFile(descriptor)

    def read_locked(self, name: str) -> bytes | None:
        """What the process that holds it tells; None where none does, and then it goes. A crash frees a lock,
        so no old file misleads. Never of a claim of this process: opened and closed here, its lock would be
        lost."""
        path = self.path / name
        try:
            descriptor = os.open(path, os.O_RDWR)
        except OSError:
            return None
        try:
            fcntl.lockf(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path.unlink(missing_ok=True)
            return None
        except OSError:
            return os.pread(descriptor, 8, 0)
        finally:
            os.close(descriptor)
