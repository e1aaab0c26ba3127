"""What this member knows of the others."""

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
        update: The newest update about it.
        encoded_update: The same, as it stands in a datagram.
        since: Microseconds; when it came to this status in this generation.
        suspected_at: Microseconds; when its suspicion began.
        confirmations: Who has reported the suspicion independently.
        expired_once: Its suspicion has ended once; the next time it is declared dead.
        indirect_only_score: Grows with each probe that was answered only by way of others.
    """

    update: Update
    encoded_update: bytes
    since: int
    suspected_at: int = 0
    confirmations: set[str] = field(default_factory=set)
    expired_once: bool = False
    indirect_only_score: int = 0

    @property
    def is_present(self) -> bool:
        """Alive or suspected."""
        return self.update.status in PRESENT_STATUSES

    @property
    def address(self) -> str:
        """Host and port that it listens on."""
        return self.update.address

    def copy(self) -> "Member":
        """Return a member with the same state that changes on its own."""
        return Member(
            self.update,
            self.encoded_update,
            self.since,
            self.suspected_at,
            self.confirmations.copy(),
            self.expired_once,
            self.indirect_only_score,
        )

    def state_key(self) -> tuple[object, ...]:
        """Return all that later behaviour depends on."""
        confirmations = tuple(sorted(self.confirmations))
        return self.update, self.suspected_at, self.expired_once, confirmations, self.indirect_only_score


class PresenceChange(Enum):
    """What an update has changed of a member's presence."""

    ARRIVED = auto()  # present, and was not
    DEPARTED = auto()  # dead or left, and was not
    UNCHANGED = auto()


class MemberTable:
    """The other members by name, and who of them is present, suspected or departed.

    Attributes:
        members: All of them, departed ones included.
        present: Names of those alive or suspected, in no order.
        suspects: Names of those suspected, the oldest first.
        departed: Names of those dead or left, the oldest first.
        version: Counts the changes that a view shows; this member's own updates included.
        partitions: Watches the losses.
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
        self._positions: dict[str, int] = {}  # in `present`
        self._unreachable_reports: dict[str, int] = {}  # by name: members that cannot reach it

    def __len__(self) -> int:
        """Return the number of other members known, departed ones included."""
        return len(self.members)

    @property
    def cluster_size(self) -> int:
        """Members present, this one included."""
        return len(self.present) + 1

    @property
    def is_full(self) -> bool:
        """Tell whether no further member will be remembered."""
        return len(self.members) >= self._config.max_members

    def copy_state(self, other: "MemberTable") -> None:
        """Take over a copy of another one's state."""
        self.members = {name: member.copy() for name, member in other.members.items()}
        self.present = other.present.copy()
        self.suspects = other.suspects.copy()
        self.departed = other.departed.copy()
        self.version = other.version
        self.partitions.copy_state(other.partitions)
        self._positions = other._positions.copy()
        self._unreachable_reports = other._unreachable_reports.copy()

    def is_present(self, name: str) -> bool:
        """Tell whether a member of this name is present."""
        return name in self._positions

    def suspected_members(self) -> list[Member]:
        """Return the members that are suspected, the oldest suspicion first."""
        return [self.members[name] for name in self.suspects]

    def members_named(self, names: Iterable[str]) -> list[Member]:
        """Return the members of these names; all of them have to be known."""
        return [self.members[name] for name in names]

    def put(self, now: int, update: Update) -> PresenceChange:
        """Replace what is known of a member.

        Args:
            now: Microseconds.
            update: The newest update about it.

        Returns:
            What it has changed of the member's presence.
        """
        name = update.name
        known = self.members.get(name)
        previous = known.update if known is not None else None
        self.count_unreachable_reports(previous, update)
        self.members[name] = _updated_member(now, known, update)
        if update.status is MemberStatus.SUSPECT:
            self.suspects[name] = None
        else:
            self.suspects.pop(name, None)
        if previous is None or _visible_fields(previous) != _visible_fields(update):
            self.version += 1
        if update.status in PRESENT_STATUSES:
            return self._add_to_present(name)
        transition = self._remove_from_present(name)
        died = update.status is MemberStatus.DEAD and known is not None and known.is_present
        if died and transition is PresenceChange.DEPARTED:
            self.partitions.record_loss(now, name, self.cluster_size)
        return transition

    def replace_all(self, now: int, updates: Iterable[Update], encoded: Mapping[str, bytes]) -> None:
        """Forget all members and know these ones as present.

        Args:
            now: Microseconds.
            updates: The newest update about each.
            encoded: The same, encoded, by name.
        """
        self.members = {update.name: Member(update, encoded[update.name], now) for update in updates}
        self.present = list(self.members)
        self._positions = {name: position for position, name in enumerate(self.present)}
        self.version += 1

    def remove_expired(self, now: int) -> None:
        """Forget members that departed `SwimConfig.dead_retention` ago; `now` is in microseconds."""
        for name in list(self.departed):
            if now - self.members[name].since <= self._config.dead_retention:
                break  # the others departed later
            del self.members[name]
            del self.departed[name]
            self.partitions.forget(name)

    def count_unreachable_reports(self, before: Update | None, after: Update) -> None:
        """Keep the number of members that cannot reach a member up to date, as one of them reports anew."""
        if before is not None and before.status in PRESENT_STATUSES:
            self._add_unreachable_reports(before.unreachable_peers, -1)
        if after.status in PRESENT_STATUSES:
            self._add_unreachable_reports(after.unreachable_peers, 1)

    def is_unreachable(self, name: str) -> bool:
        """Tell whether more than half of the others report that they cannot reach this member."""
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


def _updated_member(now: int, known: Member | None, update: Update) -> Member:
    """Return the member as this update leaves it."""
    member = Member(update, encode_update(update), now)
    if known is not None and known.update.generation == update.generation:
        member.indirect_only_score = known.indirect_only_score
        if known.update.status is update.status:
            member.since = known.since
    if update.status is MemberStatus.SUSPECT:
        member.suspected_at = now
        member.confirmations = {update.reported_by}
    return member


def _visible_fields(update: Update) -> tuple[object, ...]:
    """Return what a view shows of a member."""
    return update.status, update.generation, update.zone, update.weight, update.unreachable_peers
