"""The state machine of membership: SWIM with suspicion, refutation by incarnation and local health awareness.

Feed a `Machine` `received` and `wake` with the time; it leaves datagrams in `out` and events in `events`, and
says in `due` when it wants to be woken. Times are whole microseconds of a clock that only moves on.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from copy import copy
from dataclasses import dataclass, field
from math import ceil, log, log10
from random import Random

from msgspec.structs import replace

from dahliabend.membership import codec
from dahliabend.membership.codec import (
    Ack,
    DatagramError,
    MemberStatus,
    Message,
    Nack,
    Packet,
    Ping,
    PingRequest,
    Sync,
    Update,
    UserMessage,
)
from dahliabend.membership.replay_window import ReplayFilter
from dahliabend.membership.view import MembershipView, MemberState, MemberView, checksum

PRESENT_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
UNREACHABLE_SCORE, DIRECT_ACK_CREDIT = (
    8,
    2,
)  # probes that others had to help with until one is told as unreachable; each own answer
# takes back two: under even loss of three in ten datagrams, where half of the probes need help, it stays low
MAX_PENDING_USER_MESSAGES = 64  # sayings that wait to be taken at the most
DEAD_SYNCS_PER_INTERVAL = 6  # times that one thought dead is told the table while the whole is exchanged once
SUFFICIENT_TABLE_RATIO = 9 / 10  # of the members that another knows: one that joins knows enough
MAX_SYNC_DATAGRAMS = 4  # datagrams of the table for one that asks for it,
MAX_SYNC_UPDATES = MAX_SYNC_DATAGRAMS * 48  # and rumours that could find room in them


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Spans in microseconds; the rest are ratios to them or counts."""

    period: int = 1_000_000  # a member is probed in each
    ping_timeout_ratio: float = 1 / 2  # of the period: then a ping counts as unanswered, and others are asked
    indirect_probes: int = 3  # who are asked to ping for one
    suspicion_multiplier: float = (
        4.0  # periods a suspicion lasts, times the logarithm of the members, confirmed by all
    )
    max_suspicion_factor: float = 4.0  # times that, confirmed by nobody
    max_health_score: int = 8  # how far it may doubt itself: its waits grow by so many times; 0: never
    late_timer_ratio: float = 1 / 4  # of the period: a timer later than that is a sign of its own slowness
    retransmit_multiplier: float = 4.0  # times the logarithm of the members: how often a rumour is passed on
    sync_interval: int = 30  # periods between two exchanges of the whole table
    dead_retention: int = 3_600_000_000  # the dead are forgotten after that
    partition_ratio: float = (
        1 / 3
    )  # of the members, lost within the longest suspicion: this may be a part cut off
    max_members: int = 10_000  # members known at the most

    @property
    def max_suspicion_time(self) -> int:
        """The longest suspicion of a small fleet: what is lost within it counts as lost at once."""
        return round(self.suspicion_multiplier * self.max_suspicion_factor * self.period)


@dataclass(slots=True)
class Member:
    update: Update  # the newest
    encoded_update: bytes  # as it goes out
    since: int
    suspected_at: int = 0  # when a suspicion began
    confirmations: set[str] = field(default_factory=set)
    expired_once: bool = False  # its suspicion has ended once: it is buried at the next look
    indirect_only_score: int = 0  # grows with each probe that only others had answered, see UNREACHABLE_SCORE


@dataclass(frozen=True, slots=True)
class Event:
    """joined, suspected, refuted, left, died, returned; conflict (one name twice); unreached and reached
    (that one from here); paused (it was away itself), outcast and counted (by the others, itself)."""

    at: int
    kind: str
    name: str
    reported_by: str = ""
    incarnation: int = 0


@dataclass(slots=True)
class Probe:
    name: str
    probe_number: int
    deadline: int
    indirect_at: int  # when others are asked; 0: they have been
    pending_nacks: int = 0  # nacks that have not come


class MembershipProtocol:
    def __init__(
        self, name: str, life: int, address: str, config: SwimConfig, random: Random, zone="", weight=1.0
    ) -> None:
        self.name, self.generation, self.config, self.random = name, life, config, random
        self.self_update = Update(name, life, 0, MemberStatus.ALIVE, address, zone, weight, name)
        self.members: dict[str, Member] = {}  # the others
        self.present: list[str] = []  # those that are here, in no order, and where each stands
        self.positions: dict[str, int] = {}
        self.suspects: dict[str, None] = {}
        self.departed: dict[str, None] = {}
        self.outgoing: list[tuple[str, bytes]] = []  # address and datagram
        self.events: list[Event] = []
        self.user_messages: list[bytes] = []  # by members, for what stands on this
        self.unsent_updates: dict[str, bytes] = {}  # rumours not passed on yet, packed
        self.sent_updates: dict[str, tuple[bytes, int]] = {}  # and how often those that were
        self.probe_queue: list[str] = []  # whom to probe next, a shuffled round
        self.probe: Probe | None = None
        self.relayed_probes: dict[
            int, tuple[str, int, int]
        ] = {}  # pings for others: who asked, its number, until
        self.seeds: list[str] = []
        self.replay_filter = ReplayFilter()
        self.last_probe_number = random.getrandbits(32)
        self.sequence_number = self.health_score = self.version = self.last_received_at = self.periods = (
            self.period_due
        ) = self.timer_due = 0
        self.unsettled_until = (
            0  # until when it takes nothing that it knows for settled: it has just begun, or paused
        )
        self.recently_lost: dict[str, int] = {}  # those lost of late, and when
        self.partitioned: set[str] = set()  # of those still gone, the ones lost with so many others at once
        self.dropped_datagrams: Counter[str] = Counter()  # datagrams dropped, by kind
        self.exclusion = ""
        self.unreachable_reports: Counter[str] = Counter()  # how many say of each that they can't reach it
        self.conflicts_reported_at: dict[str, int] = {}  # names that are used twice, and when that was told
        self.leaving = False
        self.cached_members: tuple[int, tuple[MemberView, ...], str] | None = None  # of which version
        self.cached_stable_view: MembershipView | None = None

    # What comes in.

    def start(self, now: int, seeds: list[str]) -> None:
        """Begins with the addresses of some that may be there; its own does no harm."""
        self.last_received_at = now
        self.period_due = self.timer_due = now + self.random.randrange(self.config.period)
        self.set_seeds(seeds)
        if self.seeds:
            self.unsettled_until = now + self.config.max_suspicion_time
        self.enqueue_update(self.self_update)
        for seed in self.sample(self.seeds, 2 * self.config.indirect_probes):
            self.request_sync(seed)

    def set_seeds(self, seeds: list[str]) -> None:
        """Other seeds, from now on."""
        self.seeds = [seed for seed in seeds if seed != self.self_update.address]

    def leave(self, now: int) -> None:
        """Spreads that it goes; the process may end a period later."""
        self.leaving = True
        self.update_self(now, status=MemberStatus.LEFT)
        for name in self.sample(self.present, 2 * self.config.indirect_probes):
            self.send(
                self.members[name].update.address,
                Sync(False, self.size()),
                [codec.encode_update(self.self_update)],
            )

    def update_self(self, now: int, **of_me) -> None:
        """Says something new of itself: zone, weight, whom it can't reach."""
        before = self.self_update
        self.self_update = replace(before, incarnation=before.incarnation + 1, **of_me)
        self.count_unreachable_reports(before, self.self_update)
        self.version += 1
        self.enqueue_update(self.self_update)

    def snapshot(self) -> dict:
        """All that a successor in the same place needs to go on as this one: none sees a change."""
        updates = [member.update for member in self.members.values()]
        return {
            "life": self.generation,
            "incarnation": self.self_update.incarnation,
            "serial": self.sequence_number,
            "members": updates,
        }

    def restore(self, now: int, state: dict) -> None:
        """Goes on as a predecessor of the same name and place, before `start`. What it knew is asked about
        before anything is claimed of it."""
        self.generation, self.sequence_number = state["life"], state["serial"]
        self.self_update = replace(
            self.self_update, generation=self.generation, incarnation=state["incarnation"] + 1
        )
        for update in state["members"]:
            if update.name != self.name and update.status in PRESENT_STATUSES:
                self.store_update(now, replace(update, status=MemberStatus.ALIVE), "")
        self.unsent_updates.clear()

    def receive_datagram(self, now: int, data: bytes, source: str) -> None:
        if now - self.timer_due > self.config.period:
            self.recover_from_pause(now)  # what has waited in the socket may be read before the timer rings
        try:
            packet = codec.decode_packet(data)
            if packet.sender == self.name and packet.generation == self.generation:
                return  # its own, come back
            origin = f"{packet.sender} {source}"  # another by the same name elsewhere is another sender
            if self.replay_filter.is_stale_generation(origin, packet.generation):
                self.correct_stale_sender(packet.sender, source)
                raise DatagramError("former")
            if not self.replay_filter.accept(origin, packet.generation, packet.sequence_number):
                raise DatagramError("replayed")
        except DatagramError as kind:
            self.dropped_datagrams[str(kind)] += 1
            return
        self.last_received_at = now
        known = self.members.get(packet.sender)
        heeded = (
            known is None
            or known.update.status in PRESENT_STATUSES
            and not self.is_unreachable(packet.sender)
        )
        for update in packet.updates:
            # Who is thought dead here, or reached by few, may have lost touch: what it says against others is
            # its own trouble.
            if (
                heeded
                or update.status not in (MemberStatus.SUSPECT, MemberStatus.DEAD)
                or update.name == self.name
            ):
                self.apply_update(now, update)
        self.handle_message(now, packet, source)

    def handle_message(self, now: int, packet: Packet, source: str) -> None:
        body = packet.message
        if isinstance(body, Ping):
            if body.name == self.name:  # else it is meant for one that had this address
                self.send(source, Ack(body.probe_number))
        elif isinstance(body, PingRequest):
            if len(self.relayed_probes) < 4 * len(self.members):  # a bound for one that asks without end
                self.last_probe_number += 1
                self.relayed_probes[self.last_probe_number] = (
                    source,
                    body.probe_number,
                    now + self.timeout(self.config.ping_timeout_ratio),
                )
                self.send(body.address, Ping(self.last_probe_number, body.name))
                self.timer_due = min(self.timer_due, self.relayed_probes[self.last_probe_number][2])
        elif isinstance(body, Ack):
            self.handle_ack(now, body)
        elif isinstance(body, Nack):
            if self.probe and self.probe.probe_number == body.probe_number:
                self.probe.pending_nacks -= 1
        elif isinstance(body, UserMessage):
            known = self.members.get(packet.sender)
            here = (
                known is not None
                and known.update.status in PRESENT_STATUSES
                and known.update.generation == packet.generation
            )
            if (
                here and len(self.user_messages) < MAX_PENDING_USER_MESSAGES
            ):  # of one that is gone, or a former life, nothing counts
                self.user_messages.append(body.data)
        elif body.reply_requested:
            self.send_table(source, body.member_count, [update.name for update in packet.updates])
        elif self.size() >= SUFFICIENT_TABLE_RATIO * body.member_count:
            self.unsettled_until = 0

    def handle_ack(self, now: int, body: Ack) -> None:
        probe = self.probe
        if probe and probe.probe_number == body.probe_number:
            self.probe = None
            self.health_score = max(0, self.health_score - 1)
            if self.exclusion == "dead":
                self.exclusion = ""
                self.events.append(Event(now, "counted", self.name, probe.name))
            self.record_reachability(now, probe.name, body.direct)
        elif body.probe_number in self.relayed_probes:
            source, theirs, _ = self.relayed_probes.pop(body.probe_number)
            self.send(source, Ack(theirs, False))

    def record_reachability(self, now: int, name: str, straight: bool) -> None:
        """Whether another can be reached from here is a relation of the two, and told as such: a cut one way
        between two must neither kill one nor be suspected and refuted again and again."""
        member = self.members.get(name)
        if member is None:
            return
        helped, cannot = member.indirect_only_score, self.self_update.unreachable_peers
        member.indirect_only_score = (
            max(0, helped - DIRECT_ACK_CREDIT) if straight else min(UNREACHABLE_SCORE, helped + 1)
        )
        if (
            member.indirect_only_score == UNREACHABLE_SCORE
            and name not in cannot
            and len(cannot) < codec.MAX_UNREACHABLE_PEERS
        ):
            self.update_self(now, unreachable_peers=(*cannot, name))
            self.events.append(Event(now, "unreached", name, self.name))
        elif member.indirect_only_score == 0 and name in cannot:
            self.update_self(now, unreachable_peers=tuple(other for other in cannot if other != name))
            self.events.append(Event(now, "reached", name, self.name))

    # Time.

    def timeout(self, periods: float) -> int:
        """One that doubts itself waits longer."""
        return round(self.config.period * periods * (1 + self.health_score))

    def increase_health_score(self, by: int) -> None:
        self.health_score = min(self.config.max_health_score, self.health_score + by)

    def timer_fired(self, now: int) -> None:
        late, period = now - self.timer_due, self.config.period
        if late > period:
            self.recover_from_pause(now)
        elif late > self.config.late_timer_ratio * period:
            self.increase_health_score(1)
            self.unsettled_until = max(
                self.unsettled_until, now + round(self.config.late_timer_ratio * period)
            )
        for number in [n for n, (_, _, until) in self.relayed_probes.items() if until <= now]:
            source, theirs, _ = self.relayed_probes.pop(number)
            self.send(source, Nack(theirs))
        probe = self.probe
        if probe and probe.indirect_at and now >= probe.indirect_at:
            self.ask_others(probe)
        if probe and now >= probe.deadline:
            self.probe = None
            # Had the others been there, their nacks would have come: it is itself that hears badly.
            self.increase_health_score(max(1, probe.pending_nacks))
            self.suspect_member(now, probe.name)
        for name in list(self.suspects):
            member = self.members[name]
            if now >= max(self.unsettled_until, self.suspicion_deadline(member)):
                # Whatever kept it from its timer kept it from its socket too, where a refutation may lie
                # unread: it looks there once more in between.
                if member.expired_once:
                    self.declare_dead(now, member)
                member.expired_once = True
        if now >= self.period_due:
            self.run_period(now)
        open_ends = [
            max(self.unsettled_until, self.suspicion_deadline(self.members[name])) for name in self.suspects
        ]
        if self.probe:
            open_ends += [self.probe.indirect_at or self.probe.deadline, self.probe.deadline]
        open_ends += [until for _, _, until in self.relayed_probes.values()]
        self.timer_due = max(now + 1, min([self.period_due, *open_ends]))

    def run_period(self, now: int) -> None:
        self.period_due, self.periods = now + self.config.period, self.periods + 1
        for name in list(self.departed):
            if now - self.members[name].since <= self.config.dead_retention:
                break  # the others went later
            del self.members[name]
            self.forget_departed(name)
        if self.probe is None and not self.leaving:
            self.begin_probe(now)
        if self.periods % self.config.sync_interval == 0:
            self.sync_periodically()
        elif now < self.unsettled_until:
            for name in self.sample(self.present, 1) or self.sync_with_seeds():
                self.request_sync(self.members[name].update.address)
        elif (
            self.departed and self.periods % max(1, self.config.sync_interval // DEAD_SYNCS_PER_INTERVAL) == 0
        ):
            self.sync_with_dead_member()
        # It asks before it buries: the refutation may have been lost on the way to this one alone.
        if self.suspects:
            doubts = [self.members[name].encoded_update for name in self.suspects]
            for name in self.sample(self.present, max(1, self.config.indirect_probes)):
                body = Sync(True, self.size())
                self.send(
                    self.members[name].update.address, body, [codec.encode_update(self.self_update), *doubts]
                )
        self.last_stable_view(now)

    def recover_from_pause(self, now: int) -> None:
        """It was away: no probe of then accuses, suspicions begin anew, and it asks before it claims. Else it
        would bury whoever was suspected when it fell asleep."""
        self.probe = None
        self.relayed_probes.clear()
        self.health_score = self.config.max_health_score
        for name in self.suspects:
            member = self.members[name]
            member.suspected_at, member.confirmations, member.expired_once = now, set(), False
        self.recently_lost.clear()
        self.events.append(Event(now, "paused", self.name, self.name))
        if self.present or self.seeds:
            self.unsettled_until = now + self.config.max_suspicion_time
        self.timer_due = self.period_due = now
        self.sync_periodically()

    def begin_probe(self, now: int) -> None:
        while self.probe_queue and self.probe_queue[-1] not in self.positions:
            self.probe_queue.pop()
        if not self.probe_queue:
            self.probe_queue = self.present.copy()
            self.random.shuffle(self.probe_queue)
        if not self.probe_queue:
            self.sync_with_seeds()
            return
        name = self.probe_queue.pop()
        member = self.members[name]
        self.last_probe_number += 1
        probe = self.probe = Probe(
            name,
            self.last_probe_number,
            now + self.timeout(1.0),
            now + self.timeout(self.config.ping_timeout_ratio),
        )
        # One that is suspected hears of it from who pings it: by chance alone it might hear too late.
        visible_fields = (
            [member.encoded_update, codec.encode_update(self.self_update)]
            if member.update.status is MemberStatus.SUSPECT
            else None
        )
        self.send(member.update.address, Ping(self.last_probe_number, name), visible_fields)
        if (
            name in self.self_update.unreachable_peers
        ):  # known not to answer this one: the others have all of the period
            self.ask_others(probe)

    def ask_others(self, probe: Probe) -> None:
        probe.indirect_at = 0
        member = self.members.get(probe.name)
        if member is None:
            return
        for name in self.helpers(probe.name):
            probe.pending_nacks += 1
            body = PingRequest(probe.probe_number, probe.name, member.update.address)
            self.send(self.members[name].update.address, body)

    def helpers(self, name: str) -> list[str]:
        """Some that don't say that they can't reach it either: asked of those, one that a few still reach
        would be suspected and refuted without end."""

        def able(other: str) -> bool:
            return other != name and name not in self.members[other].update.unreachable_peers

        some = self.sample(self.present, self.config.indirect_probes + 1)
        if not all(able(other) for other in some if other != name):
            some = self.sample([other for other in self.present if able(other)], self.config.indirect_probes)
        return [other for other in some if other != name][: self.config.indirect_probes]

    def sync_periodically(self) -> None:
        """With one that is there, one thought dead (after a cut each side thinks so of the other), one seed
        that is not: where all start at once and first datagrams are lost, islands would stay."""
        for name in self.sample(self.present, 1):
            self.request_sync(self.members[name].update.address)
        self.sync_with_dead_member()
        if self.seeds:
            # Seeds that left and came back at one time know only each other: they are asked too.
            known = {self.members[name].update.address for name in self.present}
            for seed in self.sample([seed for seed in self.seeds if seed not in known], 1):
                self.request_sync(seed)
        if not self.present:
            self.sync_with_seeds()

    def sync_with_dead_member(self) -> None:
        dead = [name for name in self.departed if self.members[name].update.status is MemberStatus.DEAD]
        for name in self.sample(dead, 1):
            self.request_sync(self.members[name].update.address)

    def sync_with_seeds(self) -> list[str]:
        """With nobody left: the seeds, and those thought dead, which may think the same of this one."""
        places = self.seeds + [m.update.address for m in self.members.values()]
        for place in self.sample(places, self.config.indirect_probes):
            self.request_sync(place)
        return []

    # What is known.

    def suspect_member(self, now: int, name: str) -> None:
        member = self.members.get(name)
        if self.is_unreachable(self.name):
            return  # it is itself that hears nobody
        if member and member.update.status in PRESENT_STATUSES and now >= self.unsettled_until:
            self.apply_update(now, replace(member.update, status=MemberStatus.SUSPECT, reported_by=self.name))

    def declare_dead(self, now: int, member: Member) -> None:
        self.store_update(
            now, replace(member.update, status=MemberStatus.DEAD, reported_by=self.name), "died"
        )

    def confirmers(self) -> int:
        """How many have to say so of their own for the shortest suspicion."""
        return max(1, min(self.config.indirect_probes, len(self.members) - 1))

    def suspicion_deadline(self, member: Member) -> int:
        """A suspicion ends sooner, the more have said so of their own."""
        terms = self.config
        least = terms.suspicion_multiplier * max(1.0, log10(len(self.members) + 1)) * terms.period
        share = min(1.0, log(max(1, len(member.confirmations))) / log(self.confirmers() + 1))
        return member.suspected_at + round(
            least * (terms.max_suspicion_factor - (terms.max_suspicion_factor - 1) * share)
        )

    def apply_update(self, now: int, update: Update) -> None:
        if update.name == self.name:
            return self.refute(now, update)
        member = self.members.get(update.name)
        if member is None:
            if update.status in PRESENT_STATUSES and len(self.members) < self.config.max_members:
                self.store_update(now, update, "joined")
            return
        old = member.update
        if (
            update.generation != old.generation
            and old.status in PRESENT_STATUSES
            and update.address != old.address
        ):
            if update.status in PRESENT_STATUSES:
                self.report_conflict(now, update)
            return
        if update.generation < old.generation:
            return
        newer = update.incarnation > old.incarnation or update.generation > old.generation
        if not newer and update.incarnation < old.incarnation:
            return
        if update.status is MemberStatus.DEAD and old.status in PRESENT_STATUSES:
            # Nobody is buried by hearsay: after a cut the other side's word would kill who was here always.
            # It counts as confirmed by all, and this instance's own time begins, or ends sooner.
            self.confirm_suspicion(
                now, member, replace(update, status=MemberStatus.SUSPECT), self.confirmers() + 1
            )
        elif update.status is MemberStatus.SUSPECT and not newer and old.status in PRESENT_STATUSES:
            self.confirm_suspicion(now, member, update, 1)
        elif newer or update.status > old.status and update.status is not MemberStatus.SUSPECT:
            what = {MemberStatus.SUSPECT: "suspected", MemberStatus.DEAD: "", MemberStatus.LEFT: "left"}
            back = (
                "returned"
                if old.status not in PRESENT_STATUSES or update.generation > old.generation
                else "refuted"
            )
            if (
                update.status is MemberStatus.ALIVE
                and old.status is MemberStatus.ALIVE
                and update.generation == old.generation
            ):
                back = ""
            self.store_update(now, update, what.get(update.status, back))

    def confirm_suspicion(self, now: int, member: Member, update: Update, accusers: int) -> None:
        """One more says so; several at once where one tells of a death."""
        if member.update.status is not MemberStatus.SUSPECT or update.incarnation > member.update.incarnation:
            self.store_update(now, update, "suspected")
            member = self.members[update.name]
        elif (
            update.reported_by not in member.confirmations
            and len(member.confirmations) <= self.config.indirect_probes
        ):
            member.confirmations.add(update.reported_by)
            self.enqueue_update(update)
        for number in range(len(member.confirmations), accusers):
            member.confirmations.add(f"{update.reported_by}/{number}")
        self.timer_due = min(self.timer_due, max(now, self.suspicion_deadline(member)))

    def store_update(self, now: int, update: Update, what: str) -> None:
        name = update.name
        member = self.members.get(name)
        was = member.update if member else None
        same = was is not None and was.status is update.status and was.generation == update.generation
        self.count_unreachable_reports(was, update)
        made = self.members[name] = Member(update, b"", member.since if same else now)
        made.encoded_update = codec.encode_update(update)
        if member is not None and was.generation == update.generation:
            made.indirect_only_score = member.indirect_only_score
        if update.status is MemberStatus.SUSPECT:
            made.suspected_at, made.confirmations = now, {update.reported_by}
            self.suspects[name] = None
        else:
            self.suspects.pop(name, None)
        if update.status in PRESENT_STATUSES:
            self.forget_departed(name)
            self.add_present(name)
        elif name not in self.departed:
            self.departed[name] = None
            self.remove_present(name)
            if update.status is MemberStatus.DEAD and was is not None and was.status in PRESENT_STATUSES:
                self.record_loss(now, name)
            if name in self.self_update.unreachable_peers:
                self.update_self(
                    now,
                    unreachable_peers=tuple(
                        other for other in self.self_update.unreachable_peers if other != name
                    ),
                )
        self.replay_filter.max_senders = 64 + 4 * len(self.members)
        if was is None or visible_fields(was) != visible_fields(update):
            self.version += 1
        if what:
            self.events.append(Event(now, what, name, update.reported_by, update.incarnation))
        self.enqueue_update(update, made.encoded_update)

    def record_loss(self, now: int, name: str) -> None:
        """Many lost at once: they, or this one, may be cut off. One that doubts itself takes longer."""
        since = now - 2 * self.config.max_suspicion_time
        self.recently_lost = {other: at for other, at in self.recently_lost.items() if at > since} | {
            name: now
        }
        if len(self.recently_lost) > self.config.partition_ratio * (self.size() + len(self.recently_lost)):
            self.partitioned.update(self.recently_lost)

    def forget_departed(self, name: str) -> None:
        """It is no longer among those gone."""
        self.departed.pop(name, None)
        self.recently_lost.pop(name, None)
        self.partitioned.discard(name)

    def add_present(self, name: str) -> None:
        if name not in self.positions:
            self.positions[name] = len(self.present)
            self.present.append(name)
            # Somewhere among those still to be probed in this round.
            self.probe_queue.insert(self.random.randrange(len(self.probe_queue) + 1), name)

    def remove_present(self, name: str) -> None:
        place = self.positions.pop(name, None)
        if place is not None:
            last = self.present.pop()
            if last != name:
                self.present[place], self.positions[last] = last, place

    def report_conflict(self, now: int, update: Update) -> None:
        """Two at once by one name: neither may win silently. Told once within the longest suspicion."""
        if (
            now - self.conflicts_reported_at.get(update.name, -self.config.max_suspicion_time)
            >= self.config.max_suspicion_time
        ):
            if len(self.conflicts_reported_at) > len(self.members):
                self.conflicts_reported_at.clear()
            self.conflicts_reported_at[update.name] = now
            self.events.append(Event(now, "conflict", update.name, update.reported_by))

    def refute(self, now: int, update: Update) -> None:
        if update.generation != self.generation and update.address != self.self_update.address:
            if update.status in PRESENT_STATUSES:
                self.exclusion = "conflict"
                self.report_conflict(now, update)
            return
        if update.generation > self.generation:
            # A clock set back since the process before it in this place: else all it says would be taken for
            # that one's, and none would ever hear of it.
            self.generation = update.generation + 1
            self.self_update = replace(self.self_update, generation=self.generation, incarnation=0)
            return self.enqueue_update(self.self_update)
        if (
            self.leaving
            or update.incarnation < self.self_update.incarnation
            or update.generation < self.generation
        ):
            return
        if update.status is MemberStatus.ALIVE and update.incarnation == self.self_update.incarnation:
            return
        if update.status is MemberStatus.DEAD and self.exclusion != "dead":
            self.exclusion = "dead"
            self.events.append(Event(now, "outcast", self.name, update.reported_by))
        self.self_update = replace(self.self_update, incarnation=update.incarnation + 1)
        self.increase_health_score(1)
        self.enqueue_update(self.self_update)
        accuser = self.members.get(update.reported_by)
        if accuser and update.status in PRESENT_STATUSES:
            self.send(
                accuser.update.address, Sync(False, self.size()), [codec.encode_update(self.self_update)]
            )

    def correct_stale_sender(self, name: str, source: str) -> None:
        """One that speaks by a life that is over may be new, by a clock that was set back: it learns so."""
        member = self.members.get(name)
        if member and source == member.update.address:
            self.send(source, Sync(False, self.size()), [member.encoded_update])

    # What its owner takes.

    def take_outgoing(self) -> list[tuple[str, bytes]]:
        """Datagrams to send, each with its address, since the last call."""
        outgoing, self.outgoing = self.outgoing, []
        return outgoing

    def take_events(self) -> list[Event]:
        """Events since the last call."""
        events, self.events = self.events, []
        return events

    def take_user_messages(self) -> list[bytes]:
        """Payloads of user messages received since the last call."""
        user_messages, self.user_messages = self.user_messages, []
        return user_messages

    # Support of simulations and of the model checker.

    def assume_members(self, now: int, updates: Iterable[Update], encoded: Mapping[str, bytes]) -> None:
        """Replaces the member table by these, as after a long time: all settled, nothing to disseminate.

        Args:
            now: Microseconds.
            updates: The newest update of each member; that of this member is passed over.
            encoded: The same updates as `encode_update` gives them, by name; may be shared.
        """
        self.members = {
            update.name: Member(update, encoded[update.name], now)
            for update in updates
            if update.name != self.name
        }
        self.present = list(self.members)
        self.positions = {name: position for position, name in enumerate(self.present)}
        self.unsent_updates.clear()
        self.probe_queue = []
        self.unsettled_until = 0
        self.version += 1

    def start_with_members(self, now: int, updates: Iterable[Update], first_period_at: int) -> None:
        """Starts with these members known and nothing to disseminate; the first protocol period is given."""
        self.start(now, [])
        for update in updates:
            if update.name != self.name:
                self.store_update(now, update, "")
        self.unsent_updates.clear()
        self.events.clear()
        self.period_due = self.timer_due = first_period_at

    def duplicate(self) -> "MembershipProtocol":
        """A copy with state of its own, for a model checker that follows several histories."""
        duplicate = copy(self)
        for name, value in vars(self).items():
            if isinstance(value, dict | list | set):
                setattr(duplicate, name, value.copy())
        duplicate.replay_filter = copy(self.replay_filter)
        duplicate.replay_filter.windows = self.replay_filter.windows.copy()
        duplicate.probe = copy(self.probe)
        for name, member in self.members.items():
            duplicate.members[name] = copied = copy(member)
            copied.confirmations = member.confirmations.copy()
        return duplicate

    def state_key(self) -> tuple:
        """Everything that later behaviour depends on: neither events nor counts of dropped datagrams."""
        members = tuple(
            (
                name,
                m.update,
                m.suspected_at,
                m.expired_once,
                tuple(sorted(m.confirmations)),
                m.indirect_only_score,
            )
            for name, m in self.members.items()
        )
        probe = self.probe
        probing = (
            (probe.name, probe.probe_number, probe.deadline, probe.indirect_at, probe.pending_nacks)
            if probe
            else None
        )
        return (
            self.self_update, self.generation, self.sequence_number, self.health_score, self.unsettled_until,
            self.period_due, self.periods, self.timer_due, probing, self.last_probe_number,
            tuple(self.relayed_probes.items()), tuple(self.probe_queue), members,
            tuple(self.unsent_updates.items()), tuple(self.sent_updates.items()), self.exclusion,
        )  # fmt: skip

    # The view.

    def view(self, now: int) -> MembershipView:
        """The latest."""
        members, name = self.view_members()
        lost = len(self.partitioned)
        age = now - self.last_received_at
        alone = bool(self.present) and age > self.config.max_suspicion_time
        mine = next((member for member in members if member.name == self.name), None)
        outcast = self.exclusion or ("unreached" if mine is not None and mine.state == "unreached" else "")
        return MembershipView(
            self.version, now, members, name,
            stable=not self.suspects and now >= self.unsettled_until,
            possibly_partitioned=alone or lost > self.config.partition_ratio * (len(members) + lost),
            exclusion=outcast, time_since_contact=age,
            confidence=(1 - len(self.suspects) / len(members))
            * (1 - self.health_score / (self.config.max_health_score + 1)),
        )  # fmt: skip

    def view_members(self) -> tuple[tuple[MemberView, ...], str]:
        if self.cached_members is None or self.cached_members[0] != self.version:
            self.cached_members = self.version, *self.build_members()
        return self.cached_members[1:]

    def is_unreachable(self, name: str) -> bool:
        """Do more than half of the others say that they can't reach it?"""
        return self.unreachable_reports[name] > len(self.present) / 2 and len(self.present) > 1

    def count_unreachable_reports(self, before: Update | None, after: Update) -> None:
        """Keeps up how many say of each that they can't reach it."""
        for update, by in ((before, -1), (after, 1)):
            if update is not None and update.status in PRESENT_STATUSES:
                for name in update.unreachable_peers:
                    self.unreachable_reports[name] += by
                    if not self.unreachable_reports[name]:
                        del self.unreachable_reports[name]

    def last_stable_view(self, now: int) -> MembershipView | None:
        """The last one that was stable at a beat; None where there was none yet."""
        latest = self.view(now)
        if latest.stable:
            self.cached_stable_view = latest
        return self.cached_stable_view

    def build_members(self) -> tuple[tuple[MemberView, ...], str]:
        mine = [self.self_update, *(self.members[name].update for name in self.present)]
        made = []
        for update in sorted(mine, key=by_name):
            state: MemberState = "alive"
            if update.status is MemberStatus.SUSPECT:
                state = "suspected"
            elif self.is_unreachable(update.name):
                state = "unreached"
            member = self.members.get(update.name)
            made.append(
                MemberView(update.name, update.address, update.zone, update.weight,
                     update.generation, update.incarnation, state,
                     member.since if member else 0, update.reported_by, update.unreachable_peers)
            )  # fmt: skip
        return tuple(made), checksum(tuple(made))

    def size(self) -> int:
        return len(self.present) + 1

    # What goes out.

    def send_user_message(self, name: str, data: bytes) -> None:
        """To one member, for what stands on membership there."""
        member = self.members.get(name)
        if member is not None and member.update.status in PRESENT_STATUSES:
            self.send(member.update.address, UserMessage(data), [])

    def sample(self, names: list[str], count: int) -> list[str]:
        return self.random.sample(names, min(count, len(names)))

    def encode_table(self, first: Sequence[str] = ()) -> list[bytes]:
        """Itself, those asked about, then the others in no order: what finds no room goes later."""
        some = self.sample(self.present, MAX_SYNC_UPDATES) + self.sample(
            list(self.departed), MAX_SYNC_UPDATES // 8
        )
        self.random.shuffle(some)
        others = [self.members[name].encoded_update for name in some]
        return [
            codec.encode_update(self.self_update),
            *(self.members[name].encoded_update for name in first if name in self.members),
            *others,
        ]

    def request_sync(self, address: str) -> None:
        """Its whole table for theirs."""
        self.send(address, Sync(True, self.size()), self.encode_table())

    def send_table(self, address: str, theirs: int, first: Sequence[str]) -> None:
        """In some datagrams for one that knows few; it asks again. First what it has asked about."""
        body = Sync(False, self.size())
        if first and theirs >= SUFFICIENT_TABLE_RATIO * self.size():
            asked = [self.members[name].encoded_update for name in first if name in self.members]
            self.send(address, body, [codec.encode_update(self.self_update), *asked])
            return
        left = self.encode_table(first)
        for _ in range(1 if theirs >= SUFFICIENT_TABLE_RATIO * self.size() else MAX_SYNC_DATAGRAMS):
            if left:
                del left[: max(1, self.send(address, body, left))]

    def enqueue_update(self, update: Update, packed: bytes = b"") -> None:
        self.sent_updates.pop(update.name, None)
        self.unsent_updates[update.name] = packed or codec.encode_update(update)

    def send(self, address: str, body: Message, updates: list[bytes] | None = None) -> int:
        """How many of the rumours went along; without any given, those that are news."""
        self.sequence_number += 1
        if updates is not None:
            data, count = codec.encode_packet(self.name, self.generation, self.sequence_number, body, updates)
            self.outgoing.append((address, data))
            return count
        names = [*self.unsent_updates, *self.sent_updates]  # the least told first
        given = [
            self.unsent_updates[name] if name in self.unsent_updates else self.sent_updates[name][0]
            for name in names
        ]
        data, count = codec.encode_packet(self.name, self.generation, self.sequence_number, body, given)
        most = ceil(self.config.retransmit_multiplier * log10(len(self.members) + 2)) + 1
        for name, packed in zip(names[:count], given, strict=False):
            times = 1 if name in self.unsent_updates else self.sent_updates[name][1] + 1
            self.unsent_updates.pop(name, None)
            self.sent_updates.pop(name, None)
            if times < most:
                self.sent_updates[name] = packed, times
        self.outgoing.append((address, data))
        return count


def by_name(update: Update) -> str:
    return update.name


def visible_fields(update: Update) -> tuple:
    """What a view shows of it."""
    return update.status, update.generation, update.zone, update.weight, update.unreachable_peers
