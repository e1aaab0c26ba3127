"""Balancers and upstreams named by a prefix and a number."""

from collections.abc import Iterable

from dahliabend.subsetting.selection import Participant

SECOND = 1_000_000


def participants(prefix: str, numbers: Iterable[int]) -> list[Participant]:
    return [Participant(f"{prefix}{number}") for number in numbers]
