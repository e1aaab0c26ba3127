"""The file in which a member stores its membership state for the process that replaces it."""

import os

import msgspec

from dahliabend.membership.messages import Update
from dahliabend.membership.snapshot import MembershipSnapshot
from dahliabend.server.log import EventLog
from dahliabend.transport import host_info

NANOSECONDS_PER_MICROSECOND = 1000
MAX_AGE_PERIODS = (
    30  # protocol periods during which a successor may continue as the member that wrote the file
)


class StoredMembership(msgspec.Struct):
    """The content of the file. The names of its keys are a file format and must not change.

    Attributes:
        name: The member's name.
        address: The address that the other members send datagrams to.
        handed_over: Whether the next process continues as this member; otherwise it only uses the addresses
            in `members` as seeds.
        written_at: The time of writing, in Unix microseconds.
        generation: The member's generation.
        incarnation: The member's last incarnation number.
        sequence_number: The last sequence number that the member used.
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
        """Return the part that the membership protocol restores."""
        return MembershipSnapshot(self.generation, self.incarnation, self.sequence_number, self.members)


class MembershipFile:
    """The file of one member."""

    def __init__(self, path: str, *, label: str, name: str, address: str, period: int, log: EventLog) -> None:
        """Create an accessor of the file, which need not exist yet.

        Args:
            path: The path of the file.
            label: The path as written in the operator's file, for log lines.
            name: The member's name.
            address: The address that the other members send datagrams to.
            period: The member's protocol period in microseconds.
            log: The event log.
        """
        self.path = path
        self.label = label
        self.name = name
        self.address = address
        self.period = period
        self.log = log

    def read(self) -> StoredMembership | None:
        """Return the stored state; None if the file is missing, unreadable or of another member."""
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
        # If the file is too old, or the clock was set back, only its addresses are used.
        age = _unix_microseconds() - stored.written_at
        stored.handed_over = stored.handed_over and 0 <= age < self.period * MAX_AGE_PERIODS
        return stored

    def write(self, state: MembershipSnapshot, *, handed_over: bool) -> None:
        """Replace the file's content.

        Args:
            state: The member's state.
            handed_over: Whether the next process continues as this member.
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
