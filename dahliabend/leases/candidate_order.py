"""In which order the members of a view come to a duty: rendezvous hashing, its own zone first."""

from collections.abc import Iterable
from hashlib import blake2b


def rank_candidates(task: str, members: Iterable[tuple[str, str]], zone: str = "") -> list[str]:
    """Names, the owner first; members are pairs of name and zone. The same wherever the view is the same.

    >>> rank_candidates("probe u1", [("b0", "a"), ("b1", "b"), ("b2", "b")], "a")[0]
    'b0'
    """

    def rank(member: tuple[str, str]) -> tuple[bool, bytes]:
        name, at = member
        return at == zone, blake2b(f"{task}\0{name}".encode(), digest_size=8).digest()

    return [name for name, _ in sorted(members, key=rank, reverse=True)]
