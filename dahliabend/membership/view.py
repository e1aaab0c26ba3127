"""The membership as one instance sees it at one time, for the components that build on it. Immutable."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from zlib import crc32


class MemberState(StrEnum):
    """How a present member is seen; operators see the word."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    UNREACHABLE = "unreached"


class Exclusion(StrEnum):
    """Why the others may not count a member; operators see the word. `NONE` is false."""

    NONE = ""
    DEAD = "dead"  # it was declared dead
    UNREACHABLE = "unreached"  # more than half of the others cannot reach it
    CONFLICT = "conflict"  # its name is used elsewhere


@dataclass(frozen=True, slots=True)
class MemberView:
    """A present member.

    Attributes:
        name: Its name.
        address: Host and port that it listens on.
        zone: Zone that it runs in.
        weight: Its share of the work, relative to the other members.
        generation: Tells the processes of one name apart.
        incarnation: Counts what it has said of itself.
        state: `UNREACHABLE`: more than half of the others cannot reach it. It is not dead, as its datagrams
            still arrive, and nothing should be sent to it.
        since: Microseconds of the viewer's clock; when the viewer first saw it so. 0 for the viewer itself.
        reported_by: The member that reported it.
        unreachable_peers: Members that it cannot reach itself.
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
        """Whether something may be sent to it."""
        return self.state is not MemberState.UNREACHABLE


@dataclass(frozen=True, slots=True)
class MembershipView:
    """All present members.

    Attributes:
        version: Counts the changes that this instance has seen.
        at: Microseconds; when the view was made.
        members: The members by name, this instance included.
        checksum: The same wherever the same members are in the same states.
        stable: Nobody is suspected, and this instance has asked the others since it started or was stopped.
        possibly_partitioned: So many were lost at once that this instance may be cut off from them.
        exclusion: Why the others may not count this instance as a member; empty if they do.
        time_since_contact: Microseconds since a datagram of any member arrived.
        confidence: From 0 to 1: the part of the members not suspected, lowered by this instance's health
            score.
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
    """Return eight hexadecimal digits for names, generations, states, zones and weights.

    >>> member = MemberView("a", "h:1", "z", 1.0, 1, 0, MemberState.ALIVE, 5, "a", ())
    >>> checksum(()), checksum((member,))
    ('00000000', '3e3d22fb')
    """
    fields = [(m.name, m.generation, m.state.value, m.zone, m.weight) for m in members]
    return f"{crc32(repr(fields).encode()) if fields else 0:08x}"
