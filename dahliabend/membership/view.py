"""Immutable views of the membership, as one member sees it at one time, for other components."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from zlib import crc32


class MemberState(StrEnum):
    """State of a present member in a view; the values are shown to operators."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    UNREACHABLE = "unreached"


class Exclusion(StrEnum):
    """Why other members might not count this one as present; the values are shown to operators.

    `NONE` is falsy.
    """

    NONE = ""
    DEAD = "dead"  # others have declared it dead
    UNREACHABLE = "unreached"  # more than half of the others cannot reach it
    CONFLICT = "conflict"  # another process uses its name


@dataclass(frozen=True, slots=True)
class MemberView:
    """A present member.

    Attributes:
        name: Name of the member.
        address: Host and port that it listens on.
        zone: Zone that it runs in.
        weight: Its share of the work, relative to the other members.
        generation: Start time of the member's process, raised above earlier ones of the same name.
        incarnation: Number that rises with each of the member's updates about itself in this generation.
        state: State of the member. `UNREACHABLE` means that more than half of the others cannot reach it: it
            is not dead, as its datagrams still arrive, but nothing should be sent to it.
        since: Time since which the viewing member has seen this one as alive, or as suspected, in
            microseconds of the viewing member's clock; 0 for the viewing member itself. A change to
            `UNREACHABLE` or back does not change it.
        reported_by: Name of the member that reported it as alive or suspected.
        unreachable_peers: Names of the members that it cannot reach directly.
    """

    name: str
    address: str
    zone: str
    weight: float
    generation: int
    incarnation: int
    state: MemberState
    since: int
    reported_by: str
    unreachable_peers: tuple[str, ...]

    @property
    def is_reachable(self) -> bool:
        """Whether datagrams may be sent to the member."""
        return self.state is not MemberState.UNREACHABLE


@dataclass(frozen=True, slots=True)
class MembershipView:
    """All present members at one time.

    Attributes:
        version: Number of changes that this member has seen.
        at: Time of the view in microseconds.
        members: The members sorted by name, this member included.
        checksum: Checksum of the members and their states; equal in members with equal views.
        stable: Whether no member is suspected, and this member's table is settled: up to date since
            this member started or was paused.
        possibly_partitioned: Whether this member may be cut off from the others: many members were lost at
            the same time, or no datagram has arrived for `SwimConfig.small_cluster_suspicion_time`.
        exclusion: Why the other members might not count this member as present; empty if nothing suggests
            so.
        time_since_contact: Microseconds since a datagram of any member arrived.
        confidence: From 0 to 1: the fraction of the members that is not suspected, lowered by this member's
            local health score.
    """

    version: int
    at: int
    members: tuple[MemberView, ...]
    checksum: str
    stable: bool
    possibly_partitioned: bool
    exclusion: Exclusion
    time_since_contact: int
    confidence: float

    def names(self) -> set[str]:
        """Return the names of the members."""
        return {member.name for member in self.members}


def checksum(members: Sequence[MemberView]) -> str:
    """Return a checksum, of eight hexadecimal digits, of names, generations, states, zones and weights.

    >>> member = MemberView("a", "h:1", "z", 1.0, 1, 0, MemberState.ALIVE, 5, "a", ())
    >>> checksum(()), checksum((member,))
    ('00000000', '3e3d22fb')
    """
    fields = [(m.name, m.generation, m.state.value, m.zone, m.weight) for m in members]
    return f"{crc32(repr(fields).encode()) if fields else 0:08x}"
