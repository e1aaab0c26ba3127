"""This member's updates about itself: changed fields, refutations, and which members it cannot reach."""

from dahliabend.membership.anti_entropy import AntiEntropy
from dahliabend.membership.codec import MAX_UNREACHABLE_PEERS
from dahliabend.membership.conflicts import ConflictReporter
from dahliabend.membership.dissemination import Disseminator
from dahliabend.membership.events import EventKind, EventQueue
from dahliabend.membership.local_health import LocalHealth
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import PRESENT_STATUSES, MemberStatus, Update
from dahliabend.membership.view import Exclusion

UNREACHABLE_SCORE = 8  # a member with this many probes answered only indirectly is reported as unreachable
# A direct ack lowers the score by two, which keeps it low at a datagram loss of 30%, where half of the probes
# need indirect pings.
DIRECT_ACK_CREDIT = 2


class SelfAnnouncer:
    """Creates new updates about this member and disseminates them."""

    __slots__ = ("_disseminator", "_local", "_table")

    def __init__(self, local: LocalMember, table: MemberTable, disseminator: Disseminator) -> None:
        self._local = local
        self._table = table
        self._disseminator = disseminator

    def announce(self, **fields: object) -> None:
        """Disseminate a new incarnation of this member with new values of these fields of `Update`."""
        before = self._local.update
        self._local.update_fields(incarnation=before.incarnation + 1, **fields)
        self._table.update_unreachable_reports(before, self._local.update)
        self._table.version += 1
        self._disseminator.enqueue(self._local.update)

    def withdraw_unreachable_report(self, name: str) -> None:
        """Withdraw the report, if there is one, that this member cannot reach the named one."""
        unreachable = self._local.update.unreachable_peers
        if name not in unreachable:
            return
        self.announce(unreachable_peers=tuple(other for other in unreachable if other != name))


class Reachability:
    """Tracks which members this one can reach directly.

    Unreachability is reported as a relation between two members, separately from their status: a loss of
    connection in one direction must not get a member declared dead, nor have it suspected again and again,
    each time until it refutes the suspicion.
    """

    __slots__ = ("_announcer", "_events", "_local", "_table")

    def __init__(
        self, local: LocalMember, table: MemberTable, announcer: SelfAnnouncer, events: EventQueue
    ) -> None:
        self._local = local
        self._table = table
        self._announcer = announcer
        self._events = events

    def record_ack(self, now: int, name: str, *, direct: bool) -> None:
        """Record that a probe was answered.

        Args:
            now: Current time in microseconds.
            name: Name of the probed member.
            direct: Whether it answered the direct ping, not only an indirect one.
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
                self._announcer.withdraw_unreachable_report(name)
                self._events.record(now, EventKind.REACHABLE, name, self._local.name)
        elif member.indirect_only_score == UNREACHABLE_SCORE and len(unreachable) < MAX_UNREACHABLE_PEERS:
            self._announcer.announce(unreachable_peers=(*unreachable, name))
            self._events.record(now, EventKind.UNREACHABLE, name, self._local.name)


class Refuter:
    """Handles updates of other members about this one, and refutes wrong ones."""

    __slots__ = ("_anti_entropy", "_conflicts", "_disseminator", "_events", "_health", "_local", "_table")

    def __init__(
        self,
        local: LocalMember,
        table: MemberTable,
        disseminator: Disseminator,
        anti_entropy: AntiEntropy,
        health: LocalHealth,
        conflicts: ConflictReporter,
        events: EventQueue,
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
            now: Current time in microseconds.
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
        """Take a generation above that of an earlier process of this name and address.

        The clock was set back since that process started. Otherwise the other members would treat this
        member's updates as outdated ones of the earlier process.
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
