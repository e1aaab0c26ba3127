"""Responses of the admin interface, with the fields that the process tests read, by their published keys."""

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
        """Return the names of the members in the view."""
        return {member.name for member in self.members}


class PoolSubset(msgspec.Struct, rename={"chosen_by": "by"}):
    """The upstreams of a pool that an instance uses, and by what they were selected."""

    chosen_by: str
    weights: dict[str, float]


class SubsetResponse(msgspec.Struct):
    """The subsets of an instance, by pool."""

    pools: dict[str, PoolSubset]


class ReportUse(msgspec.Struct, rename={"used_reports": "told"}):
    """Whether an instance's policy has used the health reports of others."""

    used_reports: int
