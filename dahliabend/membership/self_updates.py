"""What this member says of itself: changes, refutations, and whom it cannot reach."""

from dahliabend.membership.anti_entropy import AntiEntropy
from dahliabend.membership.codec import MAX_UNREACHABLE_PEERS
from dahliabend.membership.conflicts import ConflictReporter
from dahliabend.membership.dissemination import Disseminator
from dahliabend.membership.events import EventKind, EventLog
from dahliabend.membership.local_health import LocalHealth
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import PRESENT_STATUSES, MemberStatus, Update
from dahliabend.membership.view import Exclusion

UNREACHABLE_SCORE = 8  # probes answered only by way of others, until a member is reported as unreachable
# A direct answer takes back two: with three in ten datagrams lost, when half of the probes need help, the
# score stays low.
DIRECT_ACK_CREDIT = 2


class SelfAnnouncer:
    """Makes new updates about this member and disseminates them."""

    __slots__ = ("_disseminator", "_local", "_table")

    def __init__(self, local: LocalMember, table: MemberTable, disseminator: Disseminator) -> None:
        self._local = local
        self._table = table
        self._disseminator = disseminator

    def announce(self, **fields: object) -> None:
        """Disseminate a new incarnation in which these fields of `Update` have other values."""
        before = self._local.update
        self._local.update_fields(incarnation=before.incarnation + 1, **fields)
        self._table.count_unreachable_reports(before, self._local.update)
        self._table.version += 1
        self._disseminator.enqueue(self._local.update)

    def announce_not_unreachable(self, name: str) -> None:
        """Take a member off the list of those that this one cannot reach, if it is on it."""
        unreachable = self._local.update.unreachable_peers
        if name not in unreachable:
            return
        self.announce(unreachable_peers=tuple(other for other in unreachable if other != name))


class Reachability:
    """Finds out which members this one can reach directly.

    Whether another can be reached is a relation between two, and reported as such: a one-way loss of
    connection must neither kill a member nor make it suspected and refuted again and again.
    """

    __slots__ = ("_announcer", "_events", "_local", "_table")

    def __init__(
        self, local: LocalMember, table: MemberTable, announcer: SelfAnnouncer, events: EventLog
    ) -> None:
        self._local = local
        self._table = table
        self._announcer = announcer
        self._events = events

    def record_ack(self, now: int, name: str, *, direct: bool) -> None:
        """Record that a probe was answered.

        Args:
            now: Microseconds.
            name: The member that was probed.
            direct: It answered itself, not by way of another member.
        """
        member = self._table.members.get(name)
        if member is None:
            return
        if direct:
            member.indirect_only_score = max(0, member.indirect_only_score - DIRECT_ACK_CREDIT)
        else:
            member.indirect_only_score = min(UNREACHABLE_SCORE, member.indirect_only_score + 1)
        unreachable = self._local.update.unreachable_peers
        if name in unreachable:
            if member.indirect_only_score == 0:
                self._announcer.announce_not_unreachable(name)
                self._events.record(now, EventKind.REACHABLE, name, self._local.name)
        elif member.indirect_only_score == UNREACHABLE_SCORE and len(unreachable) < MAX_UNREACHABLE_PEERS:
            self._announcer.announce(unreachable_peers=(*unreachable, name))
            self._events.record(now, EventKind.UNREACHABLE, name, self._local.name)


class Refuter:
    """Answers what others say of this member."""

    __slots__ = ("_anti_entropy", "_conflicts", "_disseminator", "_events", "_health", "_local", "_table")

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        disseminator: Disseminator,
        anti_entropy: AntiEntropy,
        health: LocalHealth,
        conflicts: ConflictReporter,
        events: EventLog,
    ) -> None:
        self._local = local
        self._table = table
        self._disseminator = disseminator
        self._anti_entropy = anti_entropy
        self._health = health
        self._conflicts = conflicts
        self._events = events

    def receive(self, now: int, update: Update) -> None:
        """Apply an update about this member, and refute it if it is wrong.

        Args:
            now: Microseconds.
            update: The update.
        """
        local = self._local
        if update.generation != local.generation and update.address != local.update.address:
            if update.status in PRESENT_STATUSES:
                local.exclusion = Exclusion.CONFLICT
                self._conflicts.report(now, update)
        elif update.generation > local.generation:
            self._raise_generation(update.generation)
        elif self._needs_refutation(update):
            self._refute(now, update)

    def _raise_generation(self, generation: int) -> None:
        """Take a generation above that of an earlier process in this place.

        The clock was set back since. Else all that this member says would be taken for the earlier one's.
        """
        self._local.update_fields(generation=generation + 1, incarnation=0)
        self._disseminator.enqueue(self._local.update)

    def _needs_refutation(self, update: Update) -> bool:
        local = self._local
        if local.is_leaving or update.generation < local.generation or update.incarnation < local.incarnation:
            return False
        return update.status is not MemberStatus.ALIVE or update.incarnation != local.incarnation

    def _refute(self, now: int, update: Update) -> None:
        local = self._local
        if update.status is MemberStatus.DEAD and local.exclusion is not Exclusion.DEAD:
            local.exclusion = Exclusion.DEAD
            self._events.record(now, EventKind.EXCLUDED, local.name, update.reported_by)
        local.update_fields(incarnation=update.incarnation + 1)
        self._health.worsen()
        self._disseminator.enqueue(local.update)
        reporter = self._table.members.get(update.reported_by)
        if reporter is not None and update.status in PRESENT_STATUSES:
            self._anti_entropy.announce(reporter.address)
