"""Rules by which a received update about another member overrides what is known about it."""

from msgspec.structs import replace

from dahliabend.membership.conflicts import ConflictReporter
from dahliabend.membership.dissemination import Disseminator
from dahliabend.membership.events import EventKind, EventQueue
from dahliabend.membership.member_table import Member, MemberTable, PresenceChange
from dahliabend.membership.messages import PRESENT_STATUSES, MemberStatus, Update
from dahliabend.membership.probe_round import ProbeRound
from dahliabend.membership.replay_window import ReplayFilter
from dahliabend.membership.self_updates import SelfAnnouncer
from dahliabend.membership.suspicion import SuspicionDeadlines

# Number of senders for which replay windows are kept; a member may send from several addresses.
MIN_REPLAY_SENDERS = 64
REPLAY_SENDERS_PER_MEMBER = 4


class UpdateRules:
    """Applies updates about other members to the table."""

    __slots__ = (
        "_announcer", "_conflicts", "_disseminator", "_events", "_probe_round", "_replay_filter",
        "_suspicions", "_table",
    )  # fmt: skip

    def __init__(
        self,
        table: MemberTable,
        suspicions: SuspicionDeadlines,
        probe_round: ProbeRound,
        disseminator: Disseminator,
        announcer: SelfAnnouncer,
        conflicts: ConflictReporter,
        events: EventQueue,
        replay_filter: ReplayFilter,
    ) -> None:
        self._table = table
        self._suspicions = suspicions
        self._probe_round = probe_round
        self._disseminator = disseminator
        self._announcer = announcer
        self._conflicts = conflicts
        self._events = events
        self._replay_filter = replay_filter

    def apply(self, now: int, update: Update) -> None:
        """Apply an update about another member if it is news.

        Args:
            now: Current time in microseconds.
            update: The update.
        """
        member = self._table.members.get(update.name)
        if member is None:
            if update.status in PRESENT_STATUSES and not self._table.is_full:
                self.store(now, update, EventKind.JOINED)
            return
        current = member.update
        if update.generation != current.generation:
            self._apply_from_other_generation(now, member, update)
        elif update.incarnation > current.incarnation:
            self._apply_to_known_member(now, member, update, is_newer=True)
        elif update.incarnation == current.incarnation and update.status is not MemberStatus.ALIVE:
            self._apply_to_known_member(now, member, update, is_newer=False)

    def store(self, now: int, update: Update, event: EventKind | None) -> None:
        """Store an update, overriding what is known about the member, and disseminate it.

        Args:
            now: Current time in microseconds.
            update: The update.
            event: Kind of the event to record; None to record none.
        """
        name = update.name
        transition = self._table.put(now, update)
        if transition is PresenceChange.ARRIVED:
            self._probe_round.insert(name)
        elif transition is PresenceChange.DEPARTED:
            self._announcer.withdraw_unreachable_report(name)
        self._replay_filter.max_senders = MIN_REPLAY_SENDERS + REPLAY_SENDERS_PER_MEMBER * len(self._table)
        if event is not None:
            self._events.record(now, event, name, update.reported_by, update.incarnation)
        self._disseminator.enqueue(update, self._table.members[name].encoded_update)

    def _apply_from_other_generation(self, now: int, member: Member, update: Update) -> None:
        """Apply an update about another process with the name of a known member."""
        if member.is_present and update.address != member.address:
            if update.status in PRESENT_STATUSES:
                self._conflicts.report(now, update)
        elif update.generation > member.update.generation:
            self._apply_to_known_member(now, member, update, is_newer=True)

    def _apply_to_known_member(self, now: int, member: Member, update: Update, *, is_newer: bool) -> None:
        """Apply an update about a known member.

        Args:
            now: Current time in microseconds.
            member: The member.
            update: The update.
            is_newer: Whether the update is of a later generation or incarnation than the known one.
        """
        if update.status is MemberStatus.DEAD and member.is_present:
            # A report by others that a member is dead is not stored as such, but counts as a suspicion with
            # all confirmations. Otherwise, after a partition, the reports of one side would remove members
            # that the other side could reach all the time.
            suspicion = replace(update, status=MemberStatus.SUSPECT)
            self._confirm_suspicion(now, member, suspicion, self._suspicions.confirmations_needed + 1)
        elif update.status is MemberStatus.SUSPECT and not is_newer and member.is_present:
            self._confirm_suspicion(now, member, update, 1)
        elif is_newer or (update.status > member.update.status and update.status is not MemberStatus.SUSPECT):
            self.store(now, update, _event_kind(member, update))

    def _confirm_suspicion(self, now: int, member: Member, update: Update, min_reporters: int) -> None:
        """Apply a report that a member is suspected; the suspicion then has at least `min_reporters`."""
        current = member.update
        if current.status is not MemberStatus.SUSPECT or update.incarnation > current.incarnation:
            self.store(now, update, EventKind.SUSPECTED)
            member = self._table.members[update.name]
        elif self._suspicions.add_confirmation(member, update.reported_by):
            self._disseminator.enqueue(update)
        self._suspicions.shorten(now, member, update.reported_by, min_reporters)


def _event_kind(member: Member, update: Update) -> EventKind | None:
    """Return the kind of event to record when an update changes a known member; None for no event."""
    current = member.update
    if update.status is MemberStatus.SUSPECT:
        return EventKind.SUSPECTED
    if update.status is MemberStatus.LEFT:
        return EventKind.LEFT
    if update.status is MemberStatus.DEAD:
        return None  # the member had departed already
    if not member.is_present or update.generation > current.generation:
        return EventKind.RETURNED
    return EventKind.REFUTED if current.status is MemberStatus.SUSPECT else None
