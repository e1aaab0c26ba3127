"""The membership state that one process hands over to its successor."""

from collections.abc import Sequence
from dataclasses import dataclass

from dahliabend.membership.messages import Update


@dataclass(frozen=True, slots=True)
class MembershipSnapshot:
    """The state that lets a successor process continue without a change visible to the other members.

    Attributes:
        generation: Generation of the member.
        incarnation: Last incarnation number of the member.
        sequence_number: Number of the last datagram sent.
        members: The newest update about each other member, departed ones included.
    """

    generation: int
    incarnation: int
    sequence_number: int
    members: Sequence[Update]
