"""What others build on: who is there, as one instance sees it at one time. Immutable."""

from dataclasses import dataclass
from typing import Literal
from zlib import crc32

MemberState = Literal["alive", "suspected", "unreached"]


@dataclass(frozen=True, slots=True)
class MemberView:
    """A member of the fleet. `unreached`: more than half of the others can't reach it; what it says still
    comes, so it is not dead, and nothing should be asked of it."""

    name: str
    address: str
    zone: str
    weight: float
    generation: int
    incarnation: int
    state: MemberState
    since: int  # when this instance first saw it so; microseconds of its own clock
    reported_by: str  # who said so
    unreachable_peers: tuple[str, ...]  # whom it can't reach itself


@dataclass(frozen=True, slots=True)
class MembershipView:
    """`version` counts the changes that this instance has seen. `mark` is the same wherever the same members
    are in the same states. `stable`: nobody is suspected, and this instance has asked since it began or
    paused. `cut`: so many were lost at once that it may be cut off from them. `outcast`: why the others may
    not count this one in ("" where they do). `age`: microseconds since it heard from anybody. `confidence`:
    from 0 to 1, the share not suspected, less what it doubts itself by."""

    version: int
    at: int
    members: tuple[MemberView, ...]
    checksum: str
    stable: bool
    possibly_partitioned: bool
    exclusion: Literal["", "dead", "unreached", "conflict"]
    time_since_contact: int
    confidence: float

    def names(self) -> set[str]:
        return {member.name for member in self.members}


def checksum(members: tuple[MemberView, ...]) -> str:
    """Eight hexadecimal digits for who is there, of which life, in which state, with what weight.

    >>> checksum(()), len(checksum((MemberView("a", "h:1", "z", 1.0, 1, 0, "alive", 5, "a", ()),)))
    ('00000000', 8)
    """
    told = [(m.name, m.generation, m.state, m.zone, m.weight) for m in members]
    return f"{crc32(repr(told).encode()) if told else 0:08x}"
