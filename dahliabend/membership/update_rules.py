"""Which update about a member overrides which, and what follows from it."""

from msgspec.structs import replace

from dahliabend.membership.conflicts import ConflictReporter
from dahliabend.membership.dissemination import Disseminator
from dahliabend.membership.events import EventKind, EventLog
from dahliabend.membership.member_table import Member, MemberTable, PresenceChange
from dahliabend.membership.messages import PRESENT_STATUSES, MemberStatus, Update
from dahliabend.membership.probe_round import ProbeRound
from dahliabend.membership.replay_window import ReplayFilter
from dahliabend.membership.self_updates import SelfAnnouncer
from dahliabend.membership.suspicion import SuspicionTimers

# Senders whose datagrams are checked for replays; a member may be heard from several addresses.
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
        suspicions: SuspicionTimers,
        probe_round: ProbeRound,
        disseminator: Disseminator,
        announcer: SelfAnnouncer,
        conflicts: ConflictReporter,
        events: EventLog,
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
        """Apply an update about another member if it says something new.

        Args:
            now: Microseconds.
            update: The update.
        """
        member = self._table.members.get(update.name)
        if member is None:
            if update.status in PRESENT_STATUSES and not self._table.is_full:
                self.store(now, update, EventKind.JOINED)
            return
        known = member.update
        if update.generation != known.generation:
            self._apply_from_other_generation(now, member, update)
        elif update.incarnation > known.incarnation:
            self._apply_to_known_member(now, member, update, is_newer=True)
        elif update.incarnation == known.incarnation and update.status is not MemberStatus.ALIVE:
            self._apply_to_known_member(now, member, update, is_newer=False)

    def store(self, now: int, update: Update, event: EventKind | None) -> None:
        """Store an update whatever was known before, and disseminate it.

        Args:
            now: Microseconds.
            update: The update.
            event: The event to report; None for none.
        """
        name = update.name
        transition = self._table.put(now, update)
        if transition is PresenceChange.ARRIVED:
            self._probe_round.insert(name)
        elif transition is PresenceChange.DEPARTED:
            self._announcer.announce_not_unreachable(name)
        self._replay_filter.max_senders = MIN_REPLAY_SENDERS + REPLAY_SENDERS_PER_MEMBER * len(self._table)
        if event is not None:
            self._events.record(now, event, name, update.reported_by, update.incarnation)
        self._disseminator.enqueue(update, self._table.members[name].encoded_update)

    def _apply_from_other_generation(self, now: int, member: Member, update: Update) -> None:
        """Apply an update about another process of a known member's name."""
        if member.is_present and update.address != member.address:
            if update.status in PRESENT_STATUSES:
                self._conflicts.report(now, update)
        elif update.generation > member.update.generation:
            self._apply_to_known_member(now, member, update, is_newer=True)

    def _apply_to_known_member(self, now: int, member: Member, update: Update, *, is_newer: bool) -> None:
        """Apply an update about a known member; `is_newer`: of a later generation or incarnation."""
        if update.status is MemberStatus.DEAD and member.is_present:
            # Nobody is declared dead by hearsay: after a partition the word of the other side would kill
            # members that were reachable here all the time. It counts as a suspicion that everybody has
            # confirmed.
            suspicion = replace(update, status=MemberStatus.SUSPECT)
            self._confirm_suspicion(now, member, suspicion, self._suspicions.confirmations_needed + 1)
        elif update.status is MemberStatus.SUSPECT and not is_newer and member.is_present:
            self._confirm_suspicion(now, member, update, 1)
        elif is_newer or (update.status > member.update.status and update.status is not MemberStatus.SUSPECT):
            self.store(now, update, _event_kind(member, update))

    def _confirm_suspicion(self, now: int, member: Member, update: Update, confirmations: int) -> None:
        """Apply that one more member suspects this one, and how many confirmations that is worth."""
        known = member.update
        if known.status is not MemberStatus.SUSPECT or update.incarnation > known.incarnation:
            self.store(now, update, EventKind.SUSPECTED)
            member = self._table.members[update.name]
        elif self._suspicions.add_confirmation(member, update.reported_by):
            self._disseminator.enqueue(update)
        self._suspicions.shorten(now, member, update.reported_by, confirmations)


def _event_kind(member: Member, update: Update) -> EventKind | None:
    """Return the event that a new status of a known member is."""
    known = member.update
    if update.status is MemberStatus.SUSPECT:
        return EventKind.SUSPECTED
    if update.status is MemberStatus.LEFT:
        return EventKind.LEFT
    if update.status is MemberStatus.DEAD:
        return None  # it was departed before
    if not member.is_present or update.generation > known.generation:
        return EventKind.RETURNED
    return EventKind.REFUTED if known.status is MemberStatus.SUSPECT else None
