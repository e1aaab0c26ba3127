"""What instances answer to admin calls, as far as the process tests look at it, by the published keys."""

import msgspec


class MemberRow(msgspec.Struct):
    """A member that an instance counts as present."""

    name: str


class MembershipView(msgspec.Struct, rename={"checksum": "mark", "members": "here"}):
    """An instance's view of the cluster."""

    stable: bool
    checksum: str
    members: list[MemberRow]

    def names(self) -> set[str]:
        """The names of its members."""
        return {member.name for member in self.members}


class PoolSubset(msgspec.Struct, rename={"chosen_by": "by"}):
    """The upstreams of a pool that an instance uses, and what chose them."""

    chosen_by: str
    weights: dict[str, float]


class SubsetAnswer(msgspec.Struct):
    """The subsets of an instance, by pool."""

    pools: dict[str, PoolSubset]


class ReportUse(msgspec.Struct, rename={"used_reports": "told"}):
    """Whether an instance's policy has used the health reports of others."""

    used_reports: int
