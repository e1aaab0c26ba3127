"""The state machine of membership: SWIM with suspicion, refutation by incarnation and local health awareness.

Feed a `Machine` `received` and `wake` with the time; it leaves datagrams in `out` and events in `events`, and
says in `due` when it wants to be woken. Times are whole microseconds of a clock that only moves on.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import ceil, log, log10
from random import Random

from msgspec.structs import replace

from dahliabend.membership import codec as wire
from dahliabend.membership.codec import (
    Ack,
    Ask,
    Body,
    Nack,
    Packet,
    Ping,
    Refused,
    Rumour,
    Said,
    Standing,
    Whole,
)
from dahliabend.membership.serials import Serials
from dahliabend.membership.view import Seen, State, View, mark

HERE = (Standing.ALIVE, Standing.SUSPECT)
MUTE, BACK = 8, 2  # probes that others had to help with until one is told as unreachable; each own answer
# takes back two: under even loss of three in ten datagrams, where half of the probes need help, it stays low
UNHEARD = 64  # sayings that wait to be taken at the most
KNOCKS = 6  # times that one thought dead is told the table while the whole is exchanged once
HEARD = 9 / 10  # of the members that another knows: one that joins knows enough
PARTS = 4  # datagrams of the table for one that asks for it,
FIT = PARTS * 48  # and rumours that could find room in them


@dataclass(frozen=True, slots=True)
class Terms:
    """Spans in microseconds; the rest are ratios to them or counts."""

    period: int = 1_000_000  # a member is probed in each
    answer: float = 1 / 2  # of the period: then a ping counts as unanswered, and others are asked
    others: int = 3  # who are asked to ping for one
    least: float = 4.0  # periods a suspicion lasts, times the logarithm of the members, confirmed by all
    longest: float = 4.0  # times that, confirmed by nobody
    health: int = 8  # how far it may doubt itself: its waits grow by so many times; 0: never
    late: float = 1 / 4  # of the period: a timer later than that is a sign of its own slowness
    spread: float = 4.0  # times the logarithm of the members: how often a rumour is passed on
    whole: int = 30  # periods between two exchanges of the whole table
    forget: int = 3_600_000_000  # the dead are forgotten after that
    cut: float = 1 / 3  # of the members, lost within the longest suspicion: this may be a part cut off
    most: int = 10_000  # members known at the most

    @property
    def at_once(self) -> int:
        """The longest suspicion of a small fleet: what is lost within it counts as lost at once."""
        return round(self.least * self.longest * self.period)


@dataclass(slots=True)
class Member:
    rumour: Rumour  # the newest
    packed: bytes  # as it goes out
    since: int
    until: int = 0  # when a suspicion began
    accusers: set[str] = field(default_factory=set)
    rung: bool = False  # its suspicion has ended once: it is buried at the next look
    helped: int = 0  # grows with each probe that only others had answered, see MUTE


@dataclass(frozen=True, slots=True)
class Event:
    """joined, suspected, refuted, left, died, returned; conflict (one name twice); unreached and reached
    (that one from here); paused (it was away itself), outcast and counted (by the others, itself)."""

    at: int
    what: str
    name: str
    by: str = ""
    incarnation: int = 0


@dataclass(slots=True)
class Probe:
    name: str
    number: int
    ends: int
    asks: int  # when others are asked; 0: they have been
    owed: int = 0  # nacks that have not come


class Machine:
    def __init__(
        self, name: str, life: int, address: str, terms: Terms, chance: Random, zone="", weight=1.0
    ) -> None:
        self.name, self.life, self.terms, self.chance = name, life, terms, chance
        self.me = Rumour(name, life, 0, Standing.ALIVE, address, zone, weight, name)
        self.members: dict[str, Member] = {}  # the others
        self.present: list[str] = []  # those that are here, in no order, and where each stands
        self.places: dict[str, int] = {}
        self.suspects: dict[str, None] = {}
        self.gone: dict[str, None] = {}
        self.out: list[tuple[str, bytes]] = []  # address and datagram
        self.events: list[Event] = []
        self.said: list[bytes] = []  # by members, for what stands on this
        self.fresh: dict[str, bytes] = {}  # rumours not passed on yet, packed
        self.told: dict[str, tuple[bytes, int]] = {}  # and how often those that were
        self.queue: list[str] = []  # whom to probe next, a shuffled round
        self.probe: Probe | None = None
        self.relayed: dict[int, tuple[str, int, int]] = {}  # pings for others: who asked, its number, until
        self.seeds: list[str] = []
        self.serials = Serials()
        self.number = chance.getrandbits(32)
        self.serial = self.score = self.version = self.heard = self.beats = self.beat = self.due = 0
        self.asking = 0  # until when it takes nothing that it knows for settled: it has just begun, or paused
        self.lost: dict[str, int] = {}  # those lost of late, and when
        self.severed: set[str] = set()  # of those still gone, the ones lost with so many others at once
        self.refused: Counter[str] = Counter()  # datagrams dropped, by kind
        self.outcast = ""
        self.deaf: Counter[str] = Counter()  # how many say of each that they can't reach it
        self.conflicts: dict[str, int] = {}  # names that are used twice, and when that was told
        self.leaving = False
        self.seen: tuple[int, tuple[Seen, ...], str] | None = None  # of which version
        self.last_settled: View | None = None

    # What comes in.

    def start(self, now: int, seeds: list[str]) -> None:
        """Begins with the addresses of some that may be there; its own does no harm."""
        self.heard = now
        self.beat = self.due = now + self.chance.randrange(self.terms.period)
        self.follow(seeds)
        if self.seeds:
            self.asking = now + self.terms.at_once
        self.tell(self.me)
        for seed in self.sample(self.seeds, 2 * self.terms.others):
            self.trade(seed)

    def follow(self, seeds: list[str]) -> None:
        """Other seeds, from now on."""
        self.seeds = [seed for seed in seeds if seed != self.me.address]

    def leave(self, now: int) -> None:
        """Spreads that it goes; the process may end a period later."""
        self.leaving = True
        self.change(now, standing=Standing.LEFT)
        for name in self.sample(self.present, 2 * self.terms.others):
            self.send(self.members[name].rumour.address, Whole(False, self.size()), [wire.pack(self.me)])

    def change(self, now: int, **of_me) -> None:
        """Says something new of itself: zone, weight, whom it can't reach."""
        before = self.me
        self.me = replace(before, incarnation=before.incarnation + 1, **of_me)
        self.count(before, self.me)
        self.version += 1
        self.tell(self.me)

    def hand(self) -> dict:
        """All that a successor in the same place needs to go on as this one: none sees a change."""
        rumours = [member.rumour for member in self.members.values()]
        return {
            "life": self.life,
            "incarnation": self.me.incarnation,
            "serial": self.serial,
            "members": rumours,
        }

    def resume(self, now: int, state: dict) -> None:
        """Goes on as a predecessor of the same name and place, before `start`. What it knew is asked about
        before anything is claimed of it."""
        self.life, self.serial = state["life"], state["serial"]
        self.me = replace(self.me, life=self.life, incarnation=state["incarnation"] + 1)
        for rumour in state["members"]:
            if rumour.name != self.name and rumour.standing in HERE:
                self.put(now, replace(rumour, standing=Standing.ALIVE), "")
        self.fresh.clear()

    def received(self, now: int, data: bytes, source: str) -> None:
        if now - self.due > self.terms.period:
            self.paused(now)  # what has waited in the socket may be read before the timer rings
        try:
            packet = wire.decode(data)
            if packet.sender == self.name and packet.life == self.life:
                return  # its own, come back
            origin = f"{packet.sender} {source}"  # another by the same name elsewhere is another sender
            if self.serials.former(origin, packet.life):
                self.correct(packet.sender, source)
                raise Refused("former")
            if not self.serials.fresh(origin, packet.life, packet.serial):
                raise Refused("replayed")
        except Refused as kind:
            self.refused[str(kind)] += 1
            return
        self.heard = now
        known = self.members.get(packet.sender)
        heeded = known is None or known.rumour.standing in HERE and not self.unreached(packet.sender)
        for rumour in packet.rumours:
            # Who is thought dead here, or reached by few, may have lost touch: what it says against others is
            # its own trouble.
            if heeded or rumour.standing not in (Standing.SUSPECT, Standing.DEAD) or rumour.name == self.name:
                self.learn(now, rumour)
        self.answer(now, packet, source)

    def answer(self, now: int, packet: Packet, source: str) -> None:
        body = packet.body
        if isinstance(body, Ping):
            if body.name == self.name:  # else it is meant for one that had this address
                self.send(source, Ack(body.number))
        elif isinstance(body, Ask):
            if len(self.relayed) < 4 * len(self.members):  # a bound for one that asks without end
                self.number += 1
                self.relayed[self.number] = source, body.number, now + self.wait(self.terms.answer)
                self.send(body.address, Ping(self.number, body.name))
                self.due = min(self.due, self.relayed[self.number][2])
        elif isinstance(body, Ack):
            self.answered(now, body)
        elif isinstance(body, Nack):
            if self.probe and self.probe.number == body.number:
                self.probe.owed -= 1
        elif isinstance(body, Said):
            known = self.members.get(packet.sender)
            here = known is not None and known.rumour.standing in HERE and known.rumour.life == packet.life
            if here and len(self.said) < UNHEARD:  # of one that is gone, or a former life, nothing counts
                self.said.append(body.data)
        elif body.wants:
            self.give_table(source, body.size, [rumour.name for rumour in packet.rumours])
        elif self.size() >= HEARD * body.size:
            self.asking = 0

    def answered(self, now: int, body: Ack) -> None:
        probe = self.probe
        if probe and probe.number == body.number:
            self.probe = None
            self.score = max(0, self.score - 1)
            if self.outcast == "dead":
                self.outcast = ""
                self.events.append(Event(now, "counted", self.name, probe.name))
            self.reach(now, probe.name, body.straight)
        elif body.number in self.relayed:
            source, theirs, _ = self.relayed.pop(body.number)
            self.send(source, Ack(theirs, False))

    def reach(self, now: int, name: str, straight: bool) -> None:
        """Whether another can be reached from here is a relation of the two, and told as such: a cut one way
        between two must neither kill one nor be suspected and refuted again and again."""
        member = self.members.get(name)
        if member is None:
            return
        helped, cannot = member.helped, self.me.cannot
        member.helped = max(0, helped - BACK) if straight else min(MUTE, helped + 1)
        if member.helped == MUTE and name not in cannot and len(cannot) < wire.MOST_CANNOT:
            self.change(now, cannot=(*cannot, name))
            self.events.append(Event(now, "unreached", name, self.name))
        elif member.helped == 0 and name in cannot:
            self.change(now, cannot=tuple(other for other in cannot if other != name))
            self.events.append(Event(now, "reached", name, self.name))

    # Time.

    def wait(self, periods: float) -> int:
        """One that doubts itself waits longer."""
        return round(self.terms.period * periods * (1 + self.score))

    def doubt(self, by: int) -> None:
        self.score = min(self.terms.health, self.score + by)

    def wake(self, now: int) -> None:
        late, period = now - self.due, self.terms.period
        if late > period:
            self.paused(now)
        elif late > self.terms.late * period:
            self.doubt(1)
            self.asking = max(self.asking, now + round(self.terms.late * period))
        for number in [n for n, (_, _, until) in self.relayed.items() if until <= now]:
            source, theirs, _ = self.relayed.pop(number)
            self.send(source, Nack(theirs))
        probe = self.probe
        if probe and probe.asks and now >= probe.asks:
            self.ask_others(probe)
        if probe and now >= probe.ends:
            self.probe = None
            # Had the others been there, their nacks would have come: it is itself that hears badly.
            self.doubt(max(1, probe.owed))
            self.accuse(now, probe.name)
        for name in list(self.suspects):
            member = self.members[name]
            if now >= max(self.asking, self.ends(member)):
                # Whatever kept it from its timer kept it from its socket too, where a refutation may lie
                # unread: it looks there once more in between.
                if member.rung:
                    self.bury(now, member)
                member.rung = True
        if now >= self.beat:
            self.on_beat(now)
        open_ends = [max(self.asking, self.ends(self.members[name])) for name in self.suspects]
        if self.probe:
            open_ends += [self.probe.asks or self.probe.ends, self.probe.ends]
        open_ends += [until for _, _, until in self.relayed.values()]
        self.due = max(now + 1, min([self.beat, *open_ends]))

    def on_beat(self, now: int) -> None:
        self.beat, self.beats = now + self.terms.period, self.beats + 1
        for name in list(self.gone):
            if now - self.members[name].since <= self.terms.forget:
                break  # the others went later
            del self.members[name]
            self.forget(name)
        if self.probe is None and not self.leaving:
            self.begin_probe(now)
        if self.beats % self.terms.whole == 0:
            self.exchange()
        elif now < self.asking:
            for name in self.sample(self.present, 1) or self.knock():
                self.trade(self.members[name].rumour.address)
        elif self.gone and self.beats % max(1, self.terms.whole // KNOCKS) == 0:
            self.knock_on_one_gone()
        # It asks before it buries: the refutation may have been lost on the way to this one alone.
        if self.suspects:
            doubts = [self.members[name].packed for name in self.suspects]
            for name in self.sample(self.present, max(1, self.terms.others)):
                body = Whole(True, self.size())
                self.send(self.members[name].rumour.address, body, [wire.pack(self.me), *doubts])
        self.settled(now)

    def paused(self, now: int) -> None:
        """It was away: no probe of then accuses, suspicions begin anew, and it asks before it claims. Else it
        would bury whoever was suspected when it fell asleep."""
        self.probe = None
        self.relayed.clear()
        self.score = self.terms.health
        for name in self.suspects:
            member = self.members[name]
            member.until, member.accusers, member.rung = now, set(), False
        self.lost.clear()
        self.events.append(Event(now, "paused", self.name, self.name))
        if self.present or self.seeds:
            self.asking = now + self.terms.at_once
        self.due = self.beat = now
        self.exchange()

    def begin_probe(self, now: int) -> None:
        while self.queue and self.queue[-1] not in self.places:
            self.queue.pop()
        if not self.queue:
            self.queue = self.present.copy()
            self.chance.shuffle(self.queue)
        if not self.queue:
            self.knock()
            return
        name = self.queue.pop()
        member = self.members[name]
        self.number += 1
        probe = self.probe = Probe(
            name, self.number, now + self.wait(1.0), now + self.wait(self.terms.answer)
        )
        # One that is suspected hears of it from who pings it: by chance alone it might hear too late.
        told = [member.packed, wire.pack(self.me)] if member.rumour.standing is Standing.SUSPECT else None
        self.send(member.rumour.address, Ping(self.number, name), told)
        if name in self.me.cannot:  # known not to answer this one: the others have all of the period
            self.ask_others(probe)

    def ask_others(self, probe: Probe) -> None:
        probe.asks = 0
        member = self.members.get(probe.name)
        if member is None:
            return
        for name in self.helpers(probe.name):
            probe.owed += 1
            body = Ask(probe.number, probe.name, member.rumour.address)
            self.send(self.members[name].rumour.address, body)

    def helpers(self, name: str) -> list[str]:
        """Some that don't say that they can't reach it either: asked of those, one that a few still reach
        would be suspected and refuted without end."""

        def able(other: str) -> bool:
            return other != name and name not in self.members[other].rumour.cannot

        some = self.sample(self.present, self.terms.others + 1)
        if not all(able(other) for other in some if other != name):
            some = self.sample([other for other in self.present if able(other)], self.terms.others)
        return [other for other in some if other != name][: self.terms.others]

    def exchange(self) -> None:
        """With one that is there, one thought dead (after a cut each side thinks so of the other), one seed
        that is not: where all start at once and first datagrams are lost, islands would stay."""
        for name in self.sample(self.present, 1):
            self.trade(self.members[name].rumour.address)
        self.knock_on_one_gone()
        if self.seeds:
            # Seeds that left and came back at one time know only each other: they are asked too.
            known = {self.members[name].rumour.address for name in self.present}
            for seed in self.sample([seed for seed in self.seeds if seed not in known], 1):
                self.trade(seed)
        if not self.present:
            self.knock()

    def knock_on_one_gone(self) -> None:
        dead = [name for name in self.gone if self.members[name].rumour.standing is Standing.DEAD]
        for name in self.sample(dead, 1):
            self.trade(self.members[name].rumour.address)

    def knock(self) -> list[str]:
        """With nobody left: the seeds, and those thought dead, which may think the same of this one."""
        places = self.seeds + [m.rumour.address for m in self.members.values()]
        for place in self.sample(places, self.terms.others):
            self.trade(place)
        return []

    # What is known.

    def accuse(self, now: int, name: str) -> None:
        member = self.members.get(name)
        if self.unreached(self.name):
            return  # it is itself that hears nobody
        if member and member.rumour.standing in HERE and now >= self.asking:
            self.learn(now, replace(member.rumour, standing=Standing.SUSPECT, by=self.name))

    def bury(self, now: int, member: Member) -> None:
        self.put(now, replace(member.rumour, standing=Standing.DEAD, by=self.name), "died")

    def confirmers(self) -> int:
        """How many have to say so of their own for the shortest suspicion."""
        return max(1, min(self.terms.others, len(self.members) - 1))

    def ends(self, member: Member) -> int:
        """A suspicion ends sooner, the more have said so of their own."""
        terms = self.terms
        least = terms.least * max(1.0, log10(len(self.members) + 1)) * terms.period
        share = min(1.0, log(max(1, len(member.accusers))) / log(self.confirmers() + 1))
        return member.until + round(least * (terms.longest - (terms.longest - 1) * share))

    def learn(self, now: int, rumour: Rumour) -> None:
        if rumour.name == self.name:
            return self.hear_of_myself(now, rumour)
        member = self.members.get(rumour.name)
        if member is None:
            if rumour.standing in HERE and len(self.members) < self.terms.most:
                self.put(now, rumour, "joined")
            return
        old = member.rumour
        if rumour.life != old.life and old.standing in HERE and rumour.address != old.address:
            if rumour.standing in HERE:
                self.conflict(now, rumour)
            return
        if rumour.life < old.life:
            return
        newer = rumour.incarnation > old.incarnation or rumour.life > old.life
        if not newer and rumour.incarnation < old.incarnation:
            return
        if rumour.standing is Standing.DEAD and old.standing in HERE:
            # Nobody is buried by hearsay: after a cut the other side's word would kill who was here always.
            # It counts as confirmed by all, and this instance's own time begins, or ends sooner.
            self.suspect(now, member, replace(rumour, standing=Standing.SUSPECT), self.confirmers() + 1)
        elif rumour.standing is Standing.SUSPECT and not newer and old.standing in HERE:
            self.suspect(now, member, rumour, 1)
        elif newer or rumour.standing > old.standing and rumour.standing is not Standing.SUSPECT:
            what = {Standing.SUSPECT: "suspected", Standing.DEAD: "", Standing.LEFT: "left"}
            back = "returned" if old.standing not in HERE or rumour.life > old.life else "refuted"
            if (
                rumour.standing is Standing.ALIVE
                and old.standing is Standing.ALIVE
                and rumour.life == old.life
            ):
                back = ""
            self.put(now, rumour, what.get(rumour.standing, back))

    def suspect(self, now: int, member: Member, rumour: Rumour, accusers: int) -> None:
        """One more says so; several at once where one tells of a death."""
        if member.rumour.standing is not Standing.SUSPECT or rumour.incarnation > member.rumour.incarnation:
            self.put(now, rumour, "suspected")
            member = self.members[rumour.name]
        elif rumour.by not in member.accusers and len(member.accusers) <= self.terms.others:
            member.accusers.add(rumour.by)
            self.tell(rumour)
        for number in range(len(member.accusers), accusers):
            member.accusers.add(f"{rumour.by}/{number}")
        self.due = min(self.due, max(now, self.ends(member)))

    def put(self, now: int, rumour: Rumour, what: str) -> None:
        name = rumour.name
        member = self.members.get(name)
        was = member.rumour if member else None
        same = was is not None and was.standing is rumour.standing and was.life == rumour.life
        self.count(was, rumour)
        made = self.members[name] = Member(rumour, b"", member.since if same else now)
        made.packed = wire.pack(rumour)
        if member is not None and was.life == rumour.life:
            made.helped = member.helped
        if rumour.standing is Standing.SUSPECT:
            made.until, made.accusers = now, {rumour.by}
            self.suspects[name] = None
        else:
            self.suspects.pop(name, None)
        if rumour.standing in HERE:
            self.forget(name)
            self.come_in(name)
        elif name not in self.gone:
            self.gone[name] = None
            self.go_out(name)
            if rumour.standing is Standing.DEAD and was is not None and was.standing in HERE:
                self.lose(now, name)
            if name in self.me.cannot:
                self.change(now, cannot=tuple(other for other in self.me.cannot if other != name))
        self.serials.most = 64 + 4 * len(self.members)
        if was is None or told(was) != told(rumour):
            self.version += 1
        if what:
            self.events.append(Event(now, what, name, rumour.by, rumour.incarnation))
        self.tell(rumour, made.packed)

    def lose(self, now: int, name: str) -> None:
        """Many lost at once: they, or this one, may be cut off. One that doubts itself takes longer."""
        since = now - 2 * self.terms.at_once
        self.lost = {other: at for other, at in self.lost.items() if at > since} | {name: now}
        if len(self.lost) > self.terms.cut * (self.size() + len(self.lost)):
            self.severed.update(self.lost)

    def forget(self, name: str) -> None:
        """It is no longer among those gone."""
        self.gone.pop(name, None)
        self.lost.pop(name, None)
        self.severed.discard(name)

    def come_in(self, name: str) -> None:
        if name not in self.places:
            self.places[name] = len(self.present)
            self.present.append(name)
            # Somewhere among those still to be probed in this round.
            self.queue.insert(self.chance.randrange(len(self.queue) + 1), name)

    def go_out(self, name: str) -> None:
        place = self.places.pop(name, None)
        if place is not None:
            last = self.present.pop()
            if last != name:
                self.present[place], self.places[last] = last, place

    def conflict(self, now: int, rumour: Rumour) -> None:
        """Two at once by one name: neither may win silently. Told once within the longest suspicion."""
        if now - self.conflicts.get(rumour.name, -self.terms.at_once) >= self.terms.at_once:
            if len(self.conflicts) > len(self.members):
                self.conflicts.clear()
            self.conflicts[rumour.name] = now
            self.events.append(Event(now, "conflict", rumour.name, rumour.by))

    def hear_of_myself(self, now: int, rumour: Rumour) -> None:
        if rumour.life != self.life and rumour.address != self.me.address:
            if rumour.standing in HERE:
                self.outcast = "conflict"
                self.conflict(now, rumour)
            return
        if rumour.life > self.life:
            # A clock set back since the process before it in this place: else all it says would be taken for
            # that one's, and none would ever hear of it.
            self.life = rumour.life + 1
            self.me = replace(self.me, life=self.life, incarnation=0)
            return self.tell(self.me)
        if self.leaving or rumour.incarnation < self.me.incarnation or rumour.life < self.life:
            return
        if rumour.standing is Standing.ALIVE and rumour.incarnation == self.me.incarnation:
            return
        if rumour.standing is Standing.DEAD and self.outcast != "dead":
            self.outcast = "dead"
            self.events.append(Event(now, "outcast", self.name, rumour.by))
        self.me = replace(self.me, incarnation=rumour.incarnation + 1)
        self.doubt(1)
        self.tell(self.me)
        accuser = self.members.get(rumour.by)
        if accuser and rumour.standing in HERE:
            self.send(accuser.rumour.address, Whole(False, self.size()), [wire.pack(self.me)])

    def correct(self, name: str, source: str) -> None:
        """One that speaks by a life that is over may be new, by a clock that was set back: it learns so."""
        member = self.members.get(name)
        if member and source == member.rumour.address:
            self.send(source, Whole(False, self.size()), [member.packed])

    # The view.

    def view(self, now: int) -> View:
        """The latest."""
        members, name = self.shown()
        lost = len(self.severed)
        age = now - self.heard
        alone = bool(self.present) and age > self.terms.at_once
        mine = next((member for member in members if member.name == self.name), None)
        outcast = self.outcast or ("unreached" if mine is not None and mine.state == "unreached" else "")
        return View(
            self.version, now, members, name,
            stable=not self.suspects and now >= self.asking,
            cut=alone or lost > self.terms.cut * (len(members) + lost),
            outcast=outcast, age=age,
            confidence=(1 - len(self.suspects) / len(members)) * (1 - self.score / (self.terms.health + 1)),
        )  # fmt: skip

    def shown(self) -> tuple[tuple[Seen, ...], str]:
        if self.seen is None or self.seen[0] != self.version:
            self.seen = self.version, *self.look()
        return self.seen[1:]

    def unreached(self, name: str) -> bool:
        """Do more than half of the others say that they can't reach it?"""
        return self.deaf[name] > len(self.present) / 2 and len(self.present) > 1

    def count(self, before: Rumour | None, after: Rumour) -> None:
        """Keeps up how many say of each that they can't reach it."""
        for rumour, by in ((before, -1), (after, 1)):
            if rumour is not None and rumour.standing in HERE:
                for name in rumour.cannot:
                    self.deaf[name] += by
                    if not self.deaf[name]:
                        del self.deaf[name]

    def settled(self, now: int) -> View | None:
        """The last one that was stable at a beat; None where there was none yet."""
        latest = self.view(now)
        if latest.stable:
            self.last_settled = latest
        return self.last_settled

    def look(self) -> tuple[tuple[Seen, ...], str]:
        mine = [self.me, *(self.members[name].rumour for name in self.present)]
        made = []
        for rumour in sorted(mine, key=by_name):
            state: State = "alive"
            if rumour.standing is Standing.SUSPECT:
                state = "suspected"
            elif self.unreached(rumour.name):
                state = "unreached"
            member = self.members.get(rumour.name)
            made.append(
                Seen(rumour.name, rumour.address, rumour.zone, rumour.weight, rumour.life, rumour.incarnation,
                     state, member.since if member else 0, rumour.by, rumour.cannot)
            )  # fmt: skip
        return tuple(made), mark(tuple(made))

    def size(self) -> int:
        return len(self.present) + 1

    # What goes out.

    def say(self, name: str, data: bytes) -> None:
        """To one member, for what stands on membership there."""
        member = self.members.get(name)
        if member is not None and member.rumour.standing in HERE:
            self.send(member.rumour.address, Said(data), [])

    def sample(self, names: list[str], count: int) -> list[str]:
        return self.chance.sample(names, min(count, len(names)))

    def table(self, first: Sequence[str] = ()) -> list[bytes]:
        """Itself, those asked about, then the others in no order: what finds no room goes later."""
        some = self.sample(self.present, FIT) + self.sample(list(self.gone), FIT // 8)
        self.chance.shuffle(some)
        others = [self.members[name].packed for name in some]
        return [
            wire.pack(self.me),
            *(self.members[name].packed for name in first if name in self.members),
            *others,
        ]

    def trade(self, address: str) -> None:
        """Its whole table for theirs."""
        self.send(address, Whole(True, self.size()), self.table())

    def give_table(self, address: str, theirs: int, first: Sequence[str]) -> None:
        """In some datagrams for one that knows few; it asks again. First what it has asked about."""
        body = Whole(False, self.size())
        if first and theirs >= HEARD * self.size():
            asked = [self.members[name].packed for name in first if name in self.members]
            self.send(address, body, [wire.pack(self.me), *asked])
            return
        left = self.table(first)
        for _ in range(1 if theirs >= HEARD * self.size() else PARTS):
            if left:
                del left[: max(1, self.send(address, body, left))]

    def tell(self, rumour: Rumour, packed: bytes = b"") -> None:
        self.told.pop(rumour.name, None)
        self.fresh[rumour.name] = packed or wire.pack(rumour)

    def send(self, address: str, body: Body, rumours: list[bytes] | None = None) -> int:
        """How many of the rumours went along; without any given, those that are news."""
        self.serial += 1
        if rumours is not None:
            data, count = wire.encode(self.name, self.life, self.serial, body, rumours)
            self.out.append((address, data))
            return count
        names = [*self.fresh, *self.told]  # the least told first
        given = [self.fresh[name] if name in self.fresh else self.told[name][0] for name in names]
        data, count = wire.encode(self.name, self.life, self.serial, body, given)
        most = ceil(self.terms.spread * log10(len(self.members) + 2)) + 1
        for name, packed in zip(names[:count], given, strict=False):
            times = 1 if name in self.fresh else self.told[name][1] + 1
            self.fresh.pop(name, None)
            self.told.pop(name, None)
            if times < most:
                self.told[name] = packed, times
        self.out.append((address, data))
        return count


def by_name(rumour: Rumour) -> str:
    return rumour.name


def told(rumour: Rumour) -> tuple:
    """What a view shows of it."""
    return rumour.standing, rumour.life, rumour.zone, rumour.weight, rumour.cannot
