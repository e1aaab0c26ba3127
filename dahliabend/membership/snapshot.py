"""State that one process hands over to its successor."""

from collections.abc import Sequence
from dataclasses import dataclass

from dahliabend.membership.messages import Update


@dataclass(frozen=True, slots=True)
class MembershipSnapshot:
    """What a successor process in the same place needs, so that nobody sees a change.

    Attributes:
        generation: Generation of the member.
        incarnation: Its last incarnation number.
        sequence_number: Number of its last datagram.
        members: The newest update of each other member, departed ones included.
    """

    generation: int
    incarnation: int
    sequence_number: int
    members: Sequence[Update]
