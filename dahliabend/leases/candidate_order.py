"""The order in which members become holder of a task's lease: rendezvous hashing, the task's zone first."""

from collections.abc import Iterable
from hashlib import blake2b

HASH_BYTES = 8


def rank_candidates(task: str, members: Iterable[tuple[str, str]], zone: str = "") -> list[str]:
    """Return the names of the members in their order for a task; the same wherever the view is the same.

    Args:
        task: Name of the leased task.
        members: Name and zone of each member.
        zone: Zone of the task; its members come first.

    >>> rank_candidates("probe u1", [("b0", "a"), ("b1", "b"), ("b2", "b")], "a")[0]
    'b0'
    """

    def rank(member: tuple[str, str]) -> tuple[bool, bytes]:
        """Return the sort key of a member; the highest comes first."""
        name, member_zone = member
        digest = blake2b(f"{task}\0{name}".encode(), digest_size=HASH_BYTES).digest()
        return member_zone == zone, digest

    return [name for name, _ in sorted(members, key=rank, reverse=True)]
