"""What two processes before the same callers share: who lives, what is known, who is excluded.

A folder of small files, each written whole under another name and renamed. One that can't be read is
passed over.
"""

from collections.abc import Callable
from hashlib import blake2b

import orjson

from dahliabend.transport import host_info
from dahliabend.transport.runtime_directory import LockedFile

VERSION = 1  # of the files' form: what another version wrote is not read
BANS = "excluded"


class HotRestart:
    """This process among those that share the folder. The one in service writes what it knows for its
    successor; exclusions are a file each, so that calls to either process can't undo one another."""

    def __init__(self, folder: str, log: Callable) -> None:
        self.folder, self.log = host_info.runtime_directory(folder), log
        self.process_key = (0, 0)
        self.claim: LockedFile | None = None
        self.written_for: tuple[int, int] | None = None  # the successor that has been written for

    def open(self) -> None:
        """Takes a place behind those that live; what the dead have left goes. OSError: it has no folder."""
        self.folder.make_directory(BANS)
        live_processes = self.live_processes()
        for name in self.folder.glob("for-*"):
            if not any(name.endswith(f"-{number}-{pid}") for number, pid in live_processes):
                self.folder.remove(name)
        self.process_key = (max((n for n, _ in live_processes), default=0) + 1, host_info.process_id())
        self.claim = self.folder.create_locked(f"alive-{self.process_key[0]}-{self.process_key[1]}")

    def live_processes(self) -> dict[tuple[int, int], int]:
        """The others that hold their locks, oldest first, with their hops in flight."""
        found = {}
        for name in self.folder.glob("alive-*-*"):
            number, pid = name.split("-")[1:]
            process_key = int(number), int(pid)
            if process_key != self.process_key and (out := self.folder.read_locked(name)) is not None:
                found[process_key] = int(out) if out.strip().isdigit() else 0
        return dict(sorted(found.items()))

    # What is known.

    def write_state_for(self, successor: tuple[int, int], state: Callable[[], dict]) -> None:
        """Once for each successor."""
        if successor != self.written_for:
            self.written_for = successor
            self.write(f"for-{successor[0]}-{successor[1]}", {"version": VERSION, **state()})
            self.log("handed_over", to=successor[1])

    def read_state(self) -> dict | None:
        """What the one in service has written for this one, if it has and it can be read."""
        name = f"for-{self.process_key[0]}-{self.process_key[1]}"
        raw = self.folder.read(name)
        if raw is None:
            return None
        self.folder.remove(name)
        try:
            state = orjson.loads(raw)
            if state["version"] == VERSION:
                return state
            self.log("handover.unread", why=f"version {state['version']!r}")
        except (ValueError, TypeError, KeyError) as error:
            self.log("handover.unread", why=repr(error))
        return None

    def write(self, name: str, value) -> None:
        try:
            self.folder.write(name, orjson.dumps(value))
        except OSError as error:
            self.log("handover.unwritten", why=str(error))

    def publish_in_flight(self, out: int) -> None:
        """How many hops this one has in flight."""
        self.claim.write(b"%8d" % out)

    # Exclusions.

    def exclusions(self) -> set[str]:
        names = set()
        for name in self.folder.glob(f"{BANS}/*"):
            try:
                names.add((self.folder.read(name) or b"").decode())
            except ValueError:
                continue
        return names - {""}  # ended meanwhile

    def set_excluded(self, name: str, out: bool) -> None:
        digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=16).hexdigest()
        path = f"{BANS}/{digest}"
        try:
            if out and not self.folder.exists(path):
                self.folder.write(path, name.encode())
            elif not out:
                self.folder.remove(path)
        except (OSError, ValueError) as error:
            self.log("handover.unwritten", why=str(error))
