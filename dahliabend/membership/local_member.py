"""This member itself."""

from dataclasses import dataclass

from msgspec.structs import replace

from dahliabend.membership.messages import MemberStatus, Update
from dahliabend.membership.view import Exclusion


@dataclass(slots=True)
class LocalMember:
    """This member.

    Attributes:
        name: Its name.
        update: The newest update of it, made by itself.
        is_leaving: It has announced that it leaves.
        exclusion: Why others may not count it as a member; empty if they do.
    """

    name: str
    update: Update
    is_leaving: bool = False
    exclusion: Exclusion = Exclusion.NONE

    @classmethod
    def create(cls, name: str, generation: int, address: str, zone: str, weight: float) -> "LocalMember":
        """Return a member that starts; the arguments are those of `Update`."""
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
        """Replace fields of the update; those of `Update`."""
        self.update = replace(self.update, **fields)
