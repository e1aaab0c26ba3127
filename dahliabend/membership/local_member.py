"""The local member: what this process announces about itself."""

from dataclasses import dataclass

from msgspec.structs import replace

from dahliabend.membership.messages import MemberStatus, Update
from dahliabend.membership.view import Exclusion


@dataclass(slots=True)
class LocalMember:
    """The local member.

    Attributes:
        name: Name of this member.
        update: Its newest update about itself.
        is_leaving: Whether it has announced that it leaves.
        exclusion: Why the other members might not count it as present; empty if nothing suggests so.
    """

    name: str
    update: Update
    is_leaving: bool = False
    exclusion: Exclusion = Exclusion.NONE

    @classmethod
    def create(cls, name: str, generation: int, address: str, zone: str, weight: float) -> "LocalMember":
        """Create the local member with incarnation 0; the arguments are fields of `Update`."""
        return cls(name, Update(name, generation, 0, MemberStatus.ALIVE, address, zone, weight, name))

    @property
    def generation(self) -> int:
        """Generation of this member."""
        return self.update.generation

    @property
    def incarnation(self) -> int:
        """Incarnation of this member."""
        return self.update.incarnation

    def update_fields(self, **fields: object) -> None:
        """Replace fields of this member's `Update`."""
        self.update = replace(self.update, **fields)
