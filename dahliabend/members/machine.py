"""The state machine of membership: SWIM with suspicion, refutation by incarnation and local health awareness.

Feed a `Machine` `received` and `wake` with the time; it leaves datagrams in `out` and events in `events`, and
says in `due` when it wants to be woken. Times are whole microseconds of a clock that only moves on.
"""

from dataclasses import dataclass, field
from math import ceil, log, log10
from random import Random

from msgspec.structs import replace

from dahliabend.members import wire
from dahliabend.members.wire import Ack, Ask, Body, Nack, Ping, Rumour, Standing, Whole

HERE = (Standing.ALIVE, Standing.SUSPECT)


@dataclass(frozen=True, slots=True)
class Terms:
    """Spans in microseconds; the rest are ratios to them or counts."""

    period: int = 1_000_000  # a member is probed in each
    answer: float = 1 / 2  # of the period: then a ping counts as unanswered, and others are asked
    others: int = 3  # who are asked to ping for one
    least: float = 4.0  # periods a suspicion lasts, times the logarithm of the members, confirmed by all
    longest: float = 4.0  # times that, confirmed by nobody
    health: int = (
        8  # how far an instance may doubt itself: its waits are up to so many times longer; 0: never
    )
    spread: float = 4.0  # times the logarithm of the members: how often a rumour is passed on
    whole: int = 30  # periods between two exchanges of the whole table
    forget: int = 3_600_000_000  # the dead are forgotten after that
    cut: float = 1 / 3  # of the members, lost within the longest suspicion: this may be a part cut off

    @property
    def at_once(self) -> int:
        """The longest suspicion of a small fleet: what is lost within it counts as lost at once."""
        return round(self.least * self.longest * self.period)


@dataclass(slots=True)
class Member:
    rumour: Rumour  # the newest
    since: int
    until: int = 0  # of a suspicion
    accusers: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class View:
    """Who is there. `stable`: no suspicion is open. `cut`: so many were lost at once that it may be cut off.
    `age`: since this instance last heard from anybody."""

    version: int
    members: tuple[Rumour, ...]
    stable: bool
    cut: bool
    age: int


@dataclass(frozen=True, slots=True)
class Event:
    """joined, suspected, refuted, left, died, returned, conflict, paused."""

    at: int
    what: str
    name: str
    by: str = ""


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
        self.out: list[tuple[str, bytes]] = []  # address and datagram
        self.events: list[Event] = []
        self.news: dict[str, tuple[Rumour, int]] = {}  # rumours by member, and how often each was passed on
        self.queue: list[str] = []  # whom to probe next, a shuffled round
        self.probe: Probe | None = None
        self.relayed: dict[
            int, tuple[str, int, int]
        ] = {}  # pings for others: who asked, its number, until when
        self.seeds: list[str] = []
        self.number = self.score = self.version = self.heard = self.beats = self.beat = self.due = 0
        self.lost: list[int] = []  # when members were lost
        self.refused = 0  # datagrams that can't be read
        self.leaving = False

    # What comes in.

    def start(self, now: int, seeds: list[str]) -> None:
        """Begins with the addresses of some that may be there; its own does no harm."""
        self.seeds = [seed for seed in seeds if seed != self.me.address]
        self.heard = now
        self.beat = self.due = now + self.chance.randrange(self.terms.period)
        self.tell(self.me)
        for seed in self.seeds:
            self.trade(seed)

    def leave(self, now: int) -> None:
        """Spreads that it goes; the process may end a period later."""
        self.leaving = True
        self.me = replace(self.me, incarnation=self.me.incarnation + 1, standing=Standing.LEFT)
        self.tell(self.me)
        for name in self.sample(self.here(), 2 * self.terms.others):
            self.send(self.members[name].rumour.address, Whole(False), [self.me])

    def received(self, now: int, data: bytes, source: str) -> None:
        try:
            packet = wire.decode(data)
        except ValueError:
            self.refused += 1
            return
        if packet.sender == self.name and packet.life == self.life:
            return  # its own, come back
        self.heard = now
        for rumour in packet.rumours:
            self.learn(now, rumour)
        body = packet.body
        if isinstance(body, Ping):
            if body.name == self.name:  # else it is meant for one that had this address
                self.send(source, Ack(body.number))
        elif isinstance(body, Ask):
            self.number += 1
            self.relayed[self.number] = source, body.number, now + self.wait(self.terms.answer)
            self.send(body.address, Ping(self.number, body.name))
        elif isinstance(body, Ack):
            self.answered(now, body.number)
        elif isinstance(body, Nack):
            if self.probe and self.probe.number == body.number:
                self.probe.owed -= 1
        elif body.wants:
            self.send(source, Whole(False), self.table([rumour.name for rumour in packet.rumours]))

    def answered(self, now: int, number: int) -> None:
        if self.probe and self.probe.number == number:
            self.probe = None
            self.score = max(0, self.score - 1)
        elif number in self.relayed:
            source, theirs, _ = self.relayed.pop(number)
            self.send(source, Ack(theirs))

    # Time.

    def wait(self, periods: float) -> int:
        """One that doubts itself waits longer."""
        return round(self.terms.period * periods * (1 + self.score))

    def wake(self, now: int) -> None:
        late, period = now - self.due, self.terms.period
        if late > period:
            self.paused(now)
        for number in [n for n, (_, _, until) in self.relayed.items() if until <= now]:
            source, theirs, _ = self.relayed.pop(number)
            self.send(source, Nack(theirs))
        probe = self.probe
        if probe and probe.asks and now >= probe.asks:
            self.ask_others(probe)
        if probe and now >= probe.ends:
            self.probe = None
            # Had the others been there, their nacks would have come: it is itself that hears badly.
            self.score = min(self.terms.health, self.score + max(1, probe.owed))
            self.accuse(now, probe.name)
        for name, member in list(self.members.items()):
            standing = member.rumour.standing
            if standing is Standing.SUSPECT and now >= self.ends(member):
                self.bury(now, member)
            elif standing not in HERE and now - member.since > self.terms.forget:
                del self.members[name]
        if now >= self.beat:
            self.beat, self.beats = now + period, self.beats + 1
            if self.probe is None and not self.leaving:
                self.begin_probe(now)
            if self.beats % self.terms.whole == 0:
                self.exchange()
            # It asks before it buries: the refutation may have been lost on the way to this one alone.
            doubts = [m.rumour for m in self.members.values() if m.rumour.standing is Standing.SUSPECT]
            for name in self.sample(self.here(), 1) if doubts else ():
                self.send(self.members[name].rumour.address, Whole(True), [self.me, *doubts])
        open_ends = [self.ends(m) for m in self.members.values() if m.rumour.standing is Standing.SUSPECT]
        if self.probe:
            open_ends += [self.probe.asks or self.probe.ends, self.probe.ends]
        open_ends += [until for _, _, until in self.relayed.values()]
        self.due = max(now + 1, min([self.beat, *open_ends]))

    def paused(self, now: int) -> None:
        """It was away: no probe of then accuses, suspicions begin anew, and it asks before it claims."""
        self.probe = None
        self.relayed.clear()
        self.score = self.terms.health
        for member in self.members.values():
            if member.rumour.standing is Standing.SUSPECT:
                member.until, member.accusers = now, set()
        self.events.append(Event(now, "paused", self.name, self.name))
        self.exchange()

    def begin_probe(self, now: int) -> None:
        self.queue = [name for name in self.queue if name in self.members]
        if not self.queue:
            self.queue = self.here()
            self.chance.shuffle(self.queue)
        while self.queue and self.members[self.queue[-1]].rumour.standing not in HERE:
            self.queue.pop()
        if not self.queue:
            return self.knock()
        name = self.queue.pop()
        self.number += 1
        self.probe = Probe(name, self.number, now + self.wait(1.0), now + self.wait(self.terms.answer))
        rumour = self.members[name].rumour
        # One that is suspected hears of it from who pings it: by chance alone it might hear too late.
        told = [rumour, self.me] if rumour.standing is Standing.SUSPECT else None
        self.send(rumour.address, Ping(self.number, name), told)

    def ask_others(self, probe: Probe) -> None:
        probe.asks = 0
        for name in self.sample([n for n in self.here() if n != probe.name], self.terms.others):
            probe.owed += 1
            target = self.members[probe.name].rumour.address
            self.send(self.members[name].rumour.address, Ask(probe.number, probe.name, target))

    def exchange(self) -> None:
        """With one that is there, one thought dead (after a cut each side thinks so of the other), one seed
        never heard of: where all start at once and first datagrams are lost, islands would stay."""
        here = self.here()
        names = self.sample(here, 1) + self.sample([name for name in self.members if name not in here], 1)
        for name in names:
            self.trade(self.members[name].rumour.address)
        known = {member.rumour.address for member in self.members.values()}
        for seed in self.sample([seed for seed in self.seeds if seed not in known], 1):
            self.trade(seed)
        if not here:
            self.knock()

    def knock(self) -> None:
        """With nobody left: the seeds, and those thought dead, which may think the same of this one."""
        places = self.seeds + [m.rumour.address for m in self.members.values()]
        for place in self.sample(places, self.terms.others):
            self.trade(place)

    # What is known.

    def accuse(self, now: int, name: str) -> None:
        member = self.members.get(name)
        if member and member.rumour.standing in HERE:
            self.learn(now, replace(member.rumour, standing=Standing.SUSPECT, by=self.name))

    def bury(self, now: int, member: Member) -> None:
        self.learn(now, replace(member.rumour, standing=Standing.DEAD, by=self.name))

    def ends(self, member: Member) -> int:
        """A suspicion ends sooner, the more have said so of their own."""
        terms, others = self.terms, max(1, min(self.terms.others, len(self.members) - 1))
        least = terms.least * max(1.0, log10(len(self.members) + 1)) * terms.period
        share = min(1.0, log(max(1, len(member.accusers))) / log(others + 1))
        return member.until + round(least * (terms.longest - (terms.longest - 1) * share))

    def learn(self, now: int, rumour: Rumour) -> None:
        if rumour.name == self.name:
            return self.hear_of_myself(now, rumour)
        member = self.members.get(rumour.name)
        if member is None:
            if rumour.standing in HERE:
                self.put(now, rumour, "joined")
            return
        old = member.rumour
        if rumour.life != old.life and old.standing in HERE and rumour.address != old.address:
            if rumour.standing in HERE:  # two at once by one name: neither may win silently
                self.events.append(Event(now, "conflict", rumour.name, rumour.by))
            return
        newer = rumour.incarnation > old.incarnation or rumour.life > old.life
        same = rumour.incarnation == old.incarnation and rumour.life == old.life
        if same and rumour.standing is Standing.SUSPECT is old.standing:
            if rumour.by not in member.accusers and len(member.accusers) <= self.terms.others:
                member.accusers.add(rumour.by)
                self.tell(rumour)
        elif rumour.life >= old.life and (newer or same and rumour.standing > old.standing):
            what = {Standing.SUSPECT: "suspected", Standing.DEAD: "died", Standing.LEFT: "left"}
            back = "returned" if old.standing not in HERE else "refuted"
            self.put(now, rumour, what.get(rumour.standing, back if old.standing else ""))

    def put(self, now: int, rumour: Rumour, what: str) -> None:
        member = self.members.get(rumour.name)
        was = member.rumour.standing if member else None
        made = self.members[rumour.name] = Member(rumour, now)
        if rumour.standing is Standing.SUSPECT:
            made.until, made.accusers = now, {rumour.by}
        if was in HERE and rumour.standing is Standing.DEAD:
            self.lost = [*(at for at in self.lost if at > now - self.terms.at_once), now]
        if was is None or was is not rumour.standing:
            self.version += 1
        if what:
            self.events.append(Event(now, what, rumour.name, rumour.by))
        self.tell(rumour)

    def hear_of_myself(self, now: int, rumour: Rumour) -> None:
        if rumour.life != self.life and rumour.standing in HERE and rumour.address != self.me.address:
            self.events.append(Event(now, "conflict", rumour.name, rumour.by))
            return
        ahead = rumour.incarnation >= self.me.incarnation and rumour.life <= self.life
        if ahead and not self.leaving and (rumour.standing is not Standing.ALIVE or rumour.life != self.life):
            self.me = replace(self.me, incarnation=rumour.incarnation + 1)
            self.score = min(self.terms.health, self.score + 1)
            self.tell(self.me)
            accuser = self.members.get(rumour.by)
            if accuser and rumour.standing in HERE:
                self.send(accuser.rumour.address, Whole(False), [self.me])

    def view(self, now: int) -> View:
        here = [m.rumour for m in self.members.values() if m.rumour.standing in HERE]
        stable = all(r.standing is Standing.ALIVE for r in here)
        lost = sum(at > now - self.terms.at_once for at in self.lost)
        cut = lost > self.terms.cut * (len(here) + 1 + lost)
        return View(self.version, tuple(sorted([*here, self.me], key=by_name)), stable, cut, now - self.heard)

    # What goes out.

    def here(self) -> list[str]:
        return [name for name, member in self.members.items() if member.rumour.standing in HERE]

    def sample(self, names: list[str], count: int) -> list[str]:
        return self.chance.sample(names, min(count, len(names)))

    def table(self, first: list[str] | None = None) -> list[Rumour]:
        """Itself, those asked about, then the others in no order: what finds no room goes later."""
        asked = [self.members[name].rumour for name in first or () if name in self.members]
        others = [m.rumour for m in self.members.values()]
        self.chance.shuffle(others)
        return [self.me, *asked, *others]

    def trade(self, address: str) -> None:
        """Its whole table for theirs."""
        self.send(address, Whole(True), self.table())

    def tell(self, rumour: Rumour) -> None:
        self.news[rumour.name] = rumour, 0

    def send(self, address: str, body: Body, rumours: list[Rumour] | None = None) -> None:
        most = ceil(self.terms.spread * log10(len(self.members) + 2)) + 1
        fresh = sorted(self.news.values(), key=times) if rumours is None else []
        given = [rumour for rumour, _ in fresh] if rumours is None else rumours
        data, count = wire.encode(self.name, self.life, body, given)
        for rumour, told in fresh[:count]:
            self.news[rumour.name] = rumour, told + 1
            if told + 1 >= most:
                del self.news[rumour.name]
        self.out.append((address, data))


def by_name(rumour: Rumour) -> str:
    return rumour.name


def times(told: tuple[Rumour, int]) -> int:
    return told[1]
