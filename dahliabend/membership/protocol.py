"""The membership protocol of one member: SWIM (2002) with the extensions of Lifeguard (2017).

The protocol does no I/O. Its owner calls `receive_datagram` and `timer_fired` with the current time, takes
datagrams, events and user messages after each call, and calls `timer_fired` again at `timer_due`. Times are
those of a monotonic clock. All random choices come from one generator, so that a seed replays a run.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from copy import copy
from random import Random

from msgspec.structs import replace

from dahliabend.membership.codec import DropReason
from dahliabend.membership.components import ProtocolComponents
from dahliabend.membership.dissemination import Datagram
from dahliabend.membership.events import Event, EventKind
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import Member
from dahliabend.membership.message_handler import MessageHandler
from dahliabend.membership.messages import PRESENT_STATUSES, MemberStatus, Message, Update, UserMessage
from dahliabend.membership.snapshot import MembershipSnapshot
from dahliabend.membership.swim_config import SwimConfig
from dahliabend.membership.view import Exclusion, MembershipView

PROBE_NUMBER_BITS = 32


class MembershipProtocol:
    """One member of the cluster; all times are microseconds.

    Attributes:
        name: Name of this member.
        config: Parameters of the protocol.
    """

    def __init__(
        self,
        name: str,
        generation: int,
        address: str,
        config: SwimConfig,
        random: Random,
        zone: str = "",
        weight: float = 1.0,
    ) -> None:
        """Create a member that has not started.

        Args:
            name: Name of this member.
            generation: Start time of this process, raised above the generations of earlier ones of this name.
            address: Host and port that the other members send to.
            config: Parameters of the protocol.
            random: Generator of all random choices.
            zone: Zone that this member runs in.
            weight: This member's share of the work, relative to the other members.
        """
        self.name = name
        self.config = config
        self._random = random
        local = LocalMember.create(name, generation, address, zone, weight)
        self._set_components(
            ProtocolComponents(
                config, random, local, first_probe_number=random.getrandbits(PROBE_NUMBER_BITS)
            )
        )

    def _set_components(self, components: ProtocolComponents) -> None:
        self._components = components
        self._schedule = components.schedule
        self._messages = MessageHandler(components)

    # State and output for the owner

    @property
    def generation(self) -> int:
        """Generation of this member."""
        return self._components.local.generation

    @property
    def self_update(self) -> Update:
        """The newest update about this member."""
        return self._components.local.update

    @property
    def exclusion(self) -> Exclusion:
        """Why other members might not count this one as present; empty if nothing suggests so."""
        return self._components.local.exclusion

    @property
    def sequence_number(self) -> int:
        """Number of the last datagram of this generation."""
        return self._components.disseminator.sequence_number

    @property
    def health_score(self) -> int:
        """The local health score; 0 is healthy."""
        return self._components.health.score

    @property
    def timer_due(self) -> int:
        """Time at which `timer_fired` has to be called next."""
        return self._schedule.timer_due

    @property
    def unsettled_until(self) -> int:
        """Time before which this member itself suspects nobody and declares nobody dead."""
        return self._schedule.unsettled_until

    @property
    def seeds(self) -> list[str]:
        """Configured addresses at which other members may listen."""
        return self._components.anti_entropy.seeds

    @property
    def members(self) -> dict[str, Member]:
        """The other members by name, departed ones included."""
        return self._components.table.members

    @property
    def suspects(self) -> dict[str, None]:
        """Names of the suspected members, the oldest suspicion first."""
        return self._components.table.suspects

    @property
    def departed(self) -> dict[str, None]:
        """Names of the members that are dead or have left, the earliest departure first."""
        return self._components.table.departed

    @property
    def dropped_datagrams(self) -> Counter[str]:
        """Number of dropped datagrams by reason."""
        return self._components.receiver.dropped

    @property
    def outgoing(self) -> list[Datagram]:
        """Datagrams that the owner has not taken yet."""
        return self._components.disseminator.outgoing

    @property
    def events(self) -> list[Event]:
        """Events that the owner has not taken yet."""
        return self._components.events.pending

    @property
    def user_messages(self) -> list[bytes]:
        """Payloads of user messages that the owner has not taken yet."""
        return self._messages.user_messages

    def take_outgoing(self) -> list[Datagram]:
        """Return the datagrams to send that were queued since the last call."""
        return self._components.disseminator.take_outgoing()

    def take_events(self) -> list[Event]:
        """Return the events recorded since the last call."""
        return self._components.events.take()

    def take_user_messages(self) -> list[bytes]:
        """Return the payloads of user messages received since the last call."""
        return self._messages.take_user_messages()

    def view(self, now: int) -> MembershipView:
        """Return the view of the membership at this time."""
        return self._components.views.latest(now)

    def last_stable_view(self, now: int) -> MembershipView | None:
        """Return the last view that was stable at a call or at the start of a period; None if none was."""
        return self._components.views.last_stable(now)

    # Commands of the owner

    def start(self, now: int, seeds: Iterable[str]) -> None:
        """Join the cluster.

        Args:
            now: Current time.
            seeds: Addresses at which other members may listen; this member's own address is filtered out.
        """
        self._components.receiver.last_received_at = now
        self._schedule.restart(now + self._random.randrange(self.config.period))
        self._components.anti_entropy.set_seeds(seeds)
        if self.seeds:
            self._schedule.unsettled_until = now + self.config.small_cluster_suspicion_time
        self._components.disseminator.enqueue(self._components.local.update)
        self._components.anti_entropy.contact_seeds()

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds while running."""
        self._components.anti_entropy.set_seeds(seeds)

    def leave(self, _now: int) -> None:
        """Announce that this member leaves; the process may end one protocol period later."""
        self._components.local.is_leaving = True
        self._components.announcer.announce(status=MemberStatus.LEFT)
        self._components.anti_entropy.announce_to_sample()

    def update_self(self, _now: int, **fields: object) -> None:
        """Disseminate new values of fields of this member's `Update`, for instance `zone` or `weight`."""
        self._components.announcer.announce(**fields)

    def send_user_message(self, name: str, data: bytes) -> None:
        """Send a payload of another component to a member; it is dropped if the member is not present."""
        member = self.members.get(name)
        if member is not None and member.is_present:
            self._components.disseminator.send(member.address, UserMessage(data), [])

    def send(self, address: str, message: Message, updates: Sequence[bytes]) -> None:
        """Send a message with these encoded updates, and with no others."""
        self._components.disseminator.send(address, message, updates)

    def record_dropped(self, reason: DropReason) -> None:
        """Count a datagram that the owner has dropped."""
        self._components.receiver.dropped[reason] += 1

    def snapshot(self) -> MembershipSnapshot:
        """Return the state that lets a successor process continue without a visible change."""
        return MembershipSnapshot(
            generation=self.generation,
            incarnation=self._components.local.incarnation,
            sequence_number=self.sequence_number,
            members=[member.update for member in self.members.values()],
        )

    def restore(self, now: int, state: MembershipSnapshot) -> None:
        """Continue in place of a predecessor process of the same name and address; call it before `start`.

        The member table of the predecessor is not settled until other members have been asked for theirs.

        Args:
            now: Current time.
            state: Snapshot of the predecessor.
        """
        self._components.local.update_fields(generation=state.generation, incarnation=state.incarnation + 1)
        self._components.disseminator.sequence_number = state.sequence_number
        for update in state.members:
            if update.name != self.name and update.status in PRESENT_STATUSES:
                self.store_update(now, replace(update, status=MemberStatus.ALIVE), None)
        self._components.disseminator.clear_unsent()

    # Datagrams

    def receive_datagram(self, now: int, data: bytes, source: str) -> None:
        """Process a datagram.

        Args:
            now: Current time.
            data: The datagram without its authentication tag.
            source: Address of its sender.
        """
        if now - self.timer_due > self.config.period:
            self.recover_from_pause(now)  # the socket may be read before the overdue timer fires
        packet = self._components.receiver.receive(now, data, source)
        if packet is None:
            return
        for update in self._components.receiver.credible_updates(packet):
            self.apply_update(now, update)
        self._messages.handle(now, packet, source)

    # Updates

    def apply_update(self, now: int, update: Update) -> None:
        """Apply an update about any member, this one included, if it is news."""
        if update.name == self.name:
            self._components.refuter.receive(now, update)
        else:
            self._components.rules.apply(now, update)

    def store_update(self, now: int, update: Update, event: EventKind | None) -> None:
        """Store an update about another member, overriding what is known, and record the event, if any."""
        self._components.rules.store(now, update, event or None)

    def suspect_member(self, now: int, name: str) -> None:
        """Suspect a member that did not answer, unless this member itself may have lost contact."""
        member = self.members.get(name)
        if member is None or not member.is_present:
            return
        if self._schedule.is_settled(now) and not self._components.table.is_unreachable(self.name):
            update = replace(member.update, status=MemberStatus.SUSPECT, reported_by=self.name)
            self.apply_update(now, update)

    def declare_dead(self, now: int, member: Member) -> None:
        """Store and disseminate that a member is dead, as this member's own observation."""
        update = replace(member.update, status=MemberStatus.DEAD, reported_by=self.name)
        self.store_update(now, update, EventKind.DIED)

    # Timer

    def timer_fired(self, now: int) -> None:
        """Perform the actions that are due at this time."""
        self._check_timer_lateness(now)
        self._components.detector.expire_relayed(now)
        failed = self._components.detector.check_probe(now)
        if failed is not None:
            # Each member asked for an indirect ping that has sent no nack is a sign that this member itself
            # receives datagrams badly.
            self._components.health.worsen(max(1, failed.pending_nacks))
            self.suspect_member(now, failed.name)
        for member in self._components.suspicions.expire(now):
            self.declare_dead(now, member)
        if now >= self._schedule.period_due:
            self._begin_period(now)
        deadlines = [
            self._schedule.period_due,
            *self._components.suspicions.deadlines(),
            *self._components.detector.deadlines(),
        ]
        self._schedule.timer_due = max(now + 1, min(deadlines))

    def recover_from_pause(self, now: int) -> None:
        """Reset all timeouts after this process was paused for longer than a protocol period.

        The probe in flight is discarded, suspicions start again, and no member is declared dead before this
        member has requested the tables of others. Otherwise every member that was suspected when the process
        was paused would be declared dead.

        Args:
            now: Current time.
        """
        self._components.detector.abort()
        self._components.health.set_worst()
        self._components.suspicions.restart(now)
        self._components.table.partitions.forget_recent()
        self._components.events.record(now, EventKind.PAUSED, self.name, self.name)
        if self._components.table.present or self.seeds:
            self._schedule.unsettled_until = now + self.config.small_cluster_suspicion_time
        self._schedule.restart(now)
        self._components.anti_entropy.sync_periodically()

    def _check_timer_lateness(self, now: int) -> None:
        """Treat a late timer as a sign that this process is slow or was paused."""
        late = now - self.timer_due
        tolerance = self.config.late_timer_ratio * self.config.period
        if late > self.config.period:
            self.recover_from_pause(now)
        elif late > tolerance:
            self._components.health.worsen()
            self._schedule.unsettled_until = max(self.unsettled_until, now + round(tolerance))

    def _begin_period(self, now: int) -> None:
        self._schedule.begin_period(now)
        self._components.table.remove_expired(now)
        if (
            self._components.detector.probe is None
            and not self._components.local.is_leaving
            and not self._components.detector.begin_probe(now)
        ):
            self._components.anti_entropy.sync_with_absent_members()
        self._components.anti_entropy.sync(
            self._schedule.period_count, is_settled=self._schedule.is_settled(now)
        )
        self._components.anti_entropy.query_suspects()
        self._components.views.last_stable(now)

    # Simulations and the model checker

    def assume_members(self, now: int, updates: Iterable[Update], encoded: Mapping[str, bytes]) -> None:
        """Replace the member table as if the cluster had run for long: settled, with nothing to disseminate.

        Args:
            now: Current time.
            updates: The newest update about each member; one about this member is skipped.
            encoded: The encoded updates by name; the mapping may be shared between members.
        """
        self._components.table.replace_all(
            now, [update for update in updates if update.name != self.name], encoded
        )
        self._components.disseminator.clear_unsent()
        self._components.detector.probe_round.clear()
        self._schedule.unsettled_until = 0

    def start_with_members(self, now: int, updates: Iterable[Update], first_period_at: int) -> None:
        """Start with known members and with nothing to disseminate.

        Args:
            now: Current time.
            updates: The newest update about each member; one about this member is skipped.
            first_period_at: Time at which the first protocol period begins.
        """
        self.start(now, [])
        for update in updates:
            if update.name != self.name:
                self.store_update(now, update, None)
        self._components.disseminator.clear_unsent()
        self._components.events.take()
        self._schedule.restart(first_period_at)

    def duplicate(self) -> "MembershipProtocol":
        """Return an independent copy of this member; both share the random number generator."""
        duplicate = copy(self)
        duplicate._set_components(self._components.duplicate())
        duplicate._messages.user_messages = self.user_messages.copy()
        return duplicate

    def state_key(self) -> tuple[object, ...]:
        """Return everything that later behaviour depends on; events and drop counts are not part of it."""
        return self._components.state_key()
