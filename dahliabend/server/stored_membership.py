"""The file in which a member keeps whom it knows, for the next process in its place."""

import os

import msgspec

from dahliabend.membership.messages import Update
from dahliabend.membership.snapshot import MembershipSnapshot
from dahliabend.server.log import EventLog
from dahliabend.transport import host_info

NANOSECONDS_PER_MICROSECOND = 1000  # in a microsecond
MAX_AGE_PERIODS = 30  # protocol periods for which a successor may go on as the member that wrote the file


class StoredMembership(msgspec.Struct):
    """What a process leaves for the next one in its place; the names that stand in the file are kept.

    Attributes:
        name: The member's name.
        address: Where the others send to.
        handed_over: Whether the next process goes on as this one; else it only knows whom to ask.
        written_at: In Unix microseconds.
        generation: The member's generation.
        incarnation: Its last incarnation number.
        sequence_number: The last one that it used.
        members: The last update of each other member.
    """

    name: str
    address: str = msgspec.field(name="place")
    handed_over: bool = msgspec.field(name="handed")
    written_at: int = msgspec.field(name="at")
    generation: int = msgspec.field(name="life")
    incarnation: int
    sequence_number: int = msgspec.field(name="serial")
    members: list[Update]

    def snapshot(self) -> MembershipSnapshot:
        """Return the part that the membership protocol goes on from."""
        return MembershipSnapshot(self.generation, self.incarnation, self.sequence_number, self.members)


class MembershipFile:
    """One member's file."""

    def __init__(self, path: str, *, label: str, name: str, address: str, period: int, log: EventLog) -> None:
        """Name a file; nothing is read yet.

        Args:
            path: Where it stands.
            label: The path as the operator's file has it, for log lines.
            name: The member's name.
            address: Its address, as the others send to it.
            period: Its protocol period in microseconds.
            log: The event log.
        """
        self.path = path
        self.label = label
        self.name = name
        self.address = address
        self.period = period
        self.log = log

    def read(self) -> StoredMembership | None:
        """Return what stands in the file; None if there is none, it is another member's, or unreadable."""
        try:
            stored = msgspec.json.decode(host_info.read_file(self.path), type=StoredMembership)
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self.log("hot_restart.read_failed", reason=f"{self.label}: {error}")
            return None
        if (stored.name, stored.address) != (self.name, self.address):
            self.log(
                "hot_restart.read_failed", reason=f"{self.label}: it is {stored.name}'s at {stored.address}"
            )
            return None
        # Written too long ago, or by a clock that was set back: only whom to ask is taken from it.
        age = _unix_microseconds() - stored.written_at
        stored.handed_over = stored.handed_over and 0 <= age < self.period * MAX_AGE_PERIODS
        return stored

    def write(self, state: MembershipSnapshot, *, handed_over: bool) -> None:
        """Replace the file.

        Args:
            state: The member's state.
            handed_over: Whether the next process is to go on as this one.
        """
        stored = StoredMembership(
            name=self.name,
            address=self.address,
            handed_over=handed_over,
            written_at=_unix_microseconds(),
            generation=state.generation,
            incarnation=state.incarnation,
            sequence_number=state.sequence_number,
            members=list(state.members),
        )
        directory, file_name = os.path.split(self.path)
        try:
            host_info.runtime_directory(directory).write(file_name, msgspec.json.encode(stored))
        except OSError as error:
            self.log("hot_restart.write_failed", reason=str(error))


def _unix_microseconds() -> int:
    return host_info.time_ns() // NANOSECONDS_PER_MICROSECOND
