"""The table of the other members, as this member knows them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from dahliabend.membership.codec import encode_update
from dahliabend.membership.messages import PRESENT_STATUSES, MemberStatus, Update
from dahliabend.membership.partition_detector import PartitionDetector
from dahliabend.membership.swim_config import SwimConfig


@dataclass(slots=True)
class Member:
    """Another member.

    Attributes:
        update: The newest update about the member.
        encoded_update: The same update, encoded for a datagram.
        since: Time in microseconds since which the member has had this status; a new generation of the member
            starts it again.
        suspected_at: Time in microseconds at which the suspicion began.
        reporters: Names of the members that have reported the suspicion independently, the first included.
        expired_once: Whether the suspicion was found expired once; the second time the member is declared
            dead.
        indirect_only_score: Score that rises with each probe that was answered only through other members,
            and falls with each direct ack.
    """

    update: Update
    encoded_update: bytes
    since: int
    suspected_at: int = 0
    reporters: set[str] = field(default_factory=set)
    expired_once: bool = False
    indirect_only_score: int = 0

    @property
    def is_present(self) -> bool:
        """Whether the member is alive or suspected."""
        return self.update.status in PRESENT_STATUSES

    @property
    def address(self) -> str:
        """Host and port that the member listens on."""
        return self.update.address

    def copy(self) -> "Member":
        """Return an independent copy."""
        return Member(
            self.update,
            self.encoded_update,
            self.since,
            self.suspected_at,
            self.reporters.copy(),
            self.expired_once,
            self.indirect_only_score,
        )

    def state_key(self) -> tuple[object, ...]:
        """Return everything that later behaviour depends on, as a hashable value."""
        reporters = tuple(sorted(self.reporters))
        return self.update, self.suspected_at, self.expired_once, reporters, self.indirect_only_score


class PresenceChange(Enum):
    """How an update has changed whether a member is present."""

    ARRIVED = auto()  # the member was not present, and is now
    DEPARTED = auto()  # the member was not dead or left, and is now
    UNCHANGED = auto()


class MemberTable:
    """The other members by name, with indexes of those that are present, suspected or departed.

    Attributes:
        members: All other members by name, departed ones included.
        present: Names of the alive and suspected members, in no particular order.
        suspects: Names of the suspected members, the oldest suspicion first.
        departed: Names of the members that are dead or have left, the earliest departure first.
        version: Number of changes that are visible in a view, those of this member's own update included.
        partitions: Detects network partitions from simultaneous losses.
    """

    __slots__ = (
        "_config", "_positions", "_unreachable_reports", "departed", "members", "partitions", "present",
        "suspects", "version",
    )  # fmt: skip

    def __init__(self, config: SwimConfig) -> None:
        self._config = config
        self.partitions = PartitionDetector(config)
        self.members: dict[str, Member] = {}
        self.present: list[str] = []
        self.suspects: dict[str, None] = {}
        self.departed: dict[str, None] = {}
        self.version = 0
        self._positions: dict[str, int] = {}  # index of each name in `present`
        self._unreachable_reports: dict[str, int] = {}  # by name: number of members that cannot reach it

    def __len__(self) -> int:
        """Return the number of other known members, departed ones included."""
        return len(self.members)

    @property
    def cluster_size(self) -> int:
        """Number of present members, this one included."""
        return len(self.present) + 1

    @property
    def is_full(self) -> bool:
        """Whether the table has no room for another member."""
        return len(self.members) >= self._config.max_members

    def copy_state(self, original: "MemberTable") -> None:
        """Copy the state of another table into this one."""
        self.members = {name: member.copy() for name, member in original.members.items()}
        self.present = original.present.copy()
        self.suspects = original.suspects.copy()
        self.departed = original.departed.copy()
        self.version = original.version
        self.partitions.copy_state(original.partitions)
        self._positions = original._positions.copy()
        self._unreachable_reports = original._unreachable_reports.copy()

    def is_present(self, name: str) -> bool:
        """Return whether a member of this name is present."""
        return name in self._positions

    def suspected_members(self) -> list[Member]:
        """Return the suspected members, the oldest suspicion first."""
        return [self.members[name] for name in self.suspects]

    def members_named(self, names: Iterable[str]) -> list[Member]:
        """Return the members of these names, all of which must be in the table."""
        return [self.members[name] for name in names]

    def put(self, now: int, update: Update) -> PresenceChange:
        """Store the newest update about a member.

        Args:
            now: Current time in microseconds.
            update: The update.

        Returns:
            How the update has changed whether the member is present.
        """
        name = update.name
        member = self.members.get(name)
        previous = member.update if member is not None else None
        self.update_unreachable_reports(previous, update)
        self.members[name] = _updated_member(now, member, update)
        if update.status is MemberStatus.SUSPECT:
            self.suspects[name] = None
        else:
            self.suspects.pop(name, None)
        if previous is None or _visible_fields(previous) != _visible_fields(update):
            self.version += 1
        if update.status in PRESENT_STATUSES:
            return self._add_to_present(name)
        change = self._remove_from_present(name)
        died = update.status is MemberStatus.DEAD and member is not None and member.is_present
        if died and change is PresenceChange.DEPARTED:
            self.partitions.record_loss(now, name, self.cluster_size)
        return change

    def replace_all(self, now: int, updates: Iterable[Update], encoded: Mapping[str, bytes]) -> None:
        """Replace all members by these, all of them present.

        Args:
            now: Current time in microseconds.
            updates: The newest update about each member.
            encoded: The encoded updates by name.
        """
        self.members = {update.name: Member(update, encoded[update.name], now) for update in updates}
        self.present = list(self.members)
        self._positions = {name: position for position, name in enumerate(self.present)}
        self.version += 1

    def remove_expired(self, now: int) -> None:
        """Remove the members that departed more than `SwimConfig.dead_retention` ago.

        Args:
            now: Current time in microseconds.
        """
        for name in list(self.departed):
            if now - self.members[name].since <= self._config.dead_retention:
                break  # the remaining members departed later
            del self.members[name]
            del self.departed[name]
            self.partitions.forget(name)

    def update_unreachable_reports(self, before: Update | None, after: Update) -> None:
        """Update, by a member's new update, how many members report each name as unreachable.

        Args:
            before: The previous update about the reporting member; None if there was none.
            after: Its new update.
        """
        if before is not None and before.status in PRESENT_STATUSES:
            self._add_unreachable_reports(before.unreachable_peers, -1)
        if after.status in PRESENT_STATUSES:
            self._add_unreachable_reports(after.unreachable_peers, 1)

    def is_unreachable(self, name: str) -> bool:
        """Return whether more than half of the other members report that they cannot reach the named one."""
        others = len(self.present)
        return others > 1 and self._unreachable_reports.get(name, 0) > others / 2

    def _add_unreachable_reports(self, names: Iterable[str], count: int) -> None:
        reports = self._unreachable_reports
        for name in names:
            reports[name] = reports.get(name, 0) + count
            if not reports[name]:
                del reports[name]

    def _add_to_present(self, name: str) -> PresenceChange:
        self.departed.pop(name, None)
        if name in self._positions:
            return PresenceChange.UNCHANGED
        self.partitions.forget(name)
        self._positions[name] = len(self.present)
        self.present.append(name)
        return PresenceChange.ARRIVED

    def _remove_from_present(self, name: str) -> PresenceChange:
        if name in self.departed:
            return PresenceChange.UNCHANGED
        self.departed[name] = None
        position = self._positions.pop(name, None)
        if position is not None:
            last = self.present.pop()
            if last != name:
                self.present[position] = last
                self._positions[last] = position
        return PresenceChange.DEPARTED


def _updated_member(now: int, previous: Member | None, update: Update) -> Member:
    """Return the table entry of a member after an update, given the entry before it."""
    member = Member(update, encode_update(update), now)
    if previous is not None and previous.update.generation == update.generation:
        member.indirect_only_score = previous.indirect_only_score
        if previous.update.status is update.status:
            member.since = previous.since
    if update.status is MemberStatus.SUSPECT:
        member.suspected_at = now
        member.reporters = {update.reported_by}
    return member


def _visible_fields(update: Update) -> tuple[object, ...]:
    """Return the fields of an update that a change of `MemberTable.version` reports."""
    return update.status, update.generation, update.zone, update.weight, update.unreachable_peers
