"""The order of the candidates for a task's lease: rendezvous hashing, with the task's zone first."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

HASH_BYTES = 8


class Candidate(NamedTuple):
    """A member that may hold a lease.

    Attributes:
        name: Name of the member.
        zone: Zone that the member runs in; empty if it has none.
    """

    name: str
    zone: str


def rank_candidates(task: str, members: Iterable[Candidate], zone: str = "") -> list[str]:
    """Return the names of the members in the order in which they may take a task's lease.

    Balancers with the same view get the same order.

    Args:
        task: Name of the leased task.
        members: All members.
        zone: Zone of the task; members of this zone come first.

    >>> members = [Candidate("b0", "a"), Candidate("b1", "b"), Candidate("b2", "b")]
    >>> rank_candidates("probe u1", members, "a")[0]
    'b0'
    """

    def sort_key(member: Candidate) -> tuple[bool, bytes]:
        """Return the sort key of a member; the member with the highest key comes first."""
        digest = blake2b(f"{task}\0{member.name}".encode(), digest_size=HASH_BYTES).digest()
        return member.zone == zone, digest

    return [member.name for member in sorted(members, key=sort_key, reverse=True)]
