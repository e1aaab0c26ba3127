"""Periodic duties: each done about once a period by one of the members, taken over within one period.

What was done is told with its fencing number, and telling is what renews the lease: a later number outdoes
an earlier one, and of one number only its owner's counts. Who comes next in the order claims the next number
a while before its turn, and works only if nobody has outdone the claim by then. After a pause, or while the
view is not settled, nothing is done: what the others did meanwhile is heard first.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from zlib import crc32

import msgspec

from dahliabend.leases.owner import order

# Periods after the last time: the turns of the owner, of the next, and so on. Between one's turn and the next
# one's claim what was done has to come round, else the claim would outdo it.
TURN = (1.0, 1.5, 1.9, 2.3)
CLAIM = 1 / 5  # of a period: how long before its turn one that does not hold the lease claims it
# Another's claim is not outdone for so long, of a period: where all are overdue at once, two would outdo each
# other for ever, and nobody would do it.
HOLDS = 1 / 2
HEARS = 3 / 10  # of a period: how long the others are heard first, after a pause: longer than a word's way
LATE = 1 / 4  # of a period: a waking later than that is a pause
OWN = 16  # bits of a number that are its taker's own
MOST = 4_096  # duties known at the most
MS = 1_000


class Done(msgspec.Struct, array_like=True, frozen=True):
    """Of one duty. `count` 0: claimed, not done yet. `age` in milliseconds, when this was told. `result` is
    the duty's own."""

    duty: str
    fence: int
    owner: str
    count: int
    age: int
    result: int = 0

    @property
    def sound(self) -> bool:
        return (
            min(self.fence, self.count, self.age) >= 0
            and max(self.fence, self.count, self.age, abs(self.result)) < 1 << 53
            and 0 < len(self.duty) <= 160
            and 0 < len(self.owner) <= 64
        )


@dataclass(slots=True)
class Known:
    fence: int
    owner: str
    count: int
    at: int  # when it was done last, whoever did it, or when its time began
    result: int = 0
    told: int = 0  # when that was heard here


@dataclass(frozen=True, slots=True)
class Turn:
    """To be done now."""

    duty: str
    fence: int


class Duties:
    """`period` in microseconds. Names are of members."""

    def __init__(self, me: str, period: int) -> None:
        self.me, self.period = me, period
        self.zones: dict[str, str] = {}  # by duty
        self.known: dict[str, Known] = {}
        self.members: tuple[tuple[str, str], ...] = ()
        self.places: dict[str, int] = {}  # by duty, this one's in the order
        self.settled = False
        self.last = self.quiet = 0
        self.refused = 0

    # What is told.

    def follow(self, now: int, members: Iterable[tuple[str, str]], settled: bool) -> None:
        """The last settled view, pairs of name and zone, and whether it may be gone by now: not before this
        one has heard anybody since it began or paused."""
        told = tuple(sorted(members))
        if told != self.members:
            self.members = told
            self.places.clear()
        if settled and not self.settled:
            self.hear_first(now)
        self.settled = settled

    def are(self, now: int, duties: Mapping[str, str]) -> None:
        """All that there are, and the zone of each."""
        if duties == self.zones:
            return
        self.zones = dict(duties)
        self.places.clear()
        for duty in [duty for duty in self.known if duty not in duties]:
            del self.known[duty]
        for duty in duties:
            if duty not in self.known and len(self.known) < MOST:
                self.known[duty] = Known(0, "", 0, now)

    def heard(self, now: int, done: Done) -> bool:
        """Is it news? A duty that is not known here is the sender's own matter."""
        known = self.known.get(done.duty)
        if not done.sound:
            self.refused += 1
            return False
        if known is None or done.owner == self.me:
            return False
        if (done.fence, done.owner, done.count) <= (known.fence, known.owner, known.count):
            return False
        known.fence, known.owner, known.count, known.told = done.fence, done.owner, done.count, now
        if done.count:
            # Never later than now, and never back: a clock elsewhere is not asked, ages are.
            known.at, known.result = max(known.at, now - done.age * MS), done.result
        return True

    def after(self, fence: int) -> int:
        """The next number, and no other instance's: two that claim at once must not both work under it."""
        return (fence >> OWN) + 1 << OWN | crc32(self.me.encode()) % (1 << OWN)

    def hear_first(self, now: int) -> None:
        """Stopped with a lease in hand: another may have it by now, its telling unread or still on its way.
        It claims anew, like anybody, and only after a while."""
        self.quiet = max(self.quiet, now + round(HEARS * self.period))
        for known in self.known.values():
            if known.owner == self.me:
                known.owner = ""

    # What is to be done.

    def place(self, duty: str) -> int:
        """0: its owner; -1: not among those counted in."""
        if duty not in self.places:
            names = order(duty, self.members, self.zones.get(duty, ""))
            self.places[duty] = names.index(self.me) if self.me in names else -1
        return self.places[duty]

    def wake(self, now: int) -> list[Turn]:
        """Those whose turn it is; each is to be told of with `worked`."""
        if self.last and now - self.last > LATE * self.period:
            self.hear_first(now)
        self.last = now
        if not self.settled or now < self.quiet:
            return []
        made = []
        for duty, known in self.known.items():
            place = self.place(duty)
            if place < 0:
                continue
            turn = known.at + round(TURN[min(place, len(TURN) - 1)] * self.period)
            if known.owner != self.me:
                claimed = known.owner and not known.count and now - known.told < HOLDS * self.period
                if now >= turn - CLAIM * self.period and not claimed:
                    known.fence, known.owner = self.after(known.fence), self.me
                    known.count, known.told = 0, now
                continue  # not before the claim has been out for a while
            if now >= turn and (known.count or now - known.told >= CLAIM * self.period / 2):
                made.append(Turn(duty, known.fence))
        return made

    def worked(self, now: int, turn: Turn, result: int) -> bool:
        """Done, with what came of it. False: it was outdone meanwhile, and counts for nothing."""
        known = self.known.get(turn.duty)
        if known is None or (known.fence, known.owner) != (turn.fence, self.me):
            return False
        known.count, known.at, known.result = known.count + 1, now, result
        return True

    def tell(self, now: int) -> list[Done]:
        """Of those that this one holds or claims, the newest first."""
        mine = [(duty, known) for duty, known in self.known.items() if known.owner == self.me]
        mine.sort(key=lambda each: (-each[1].at, each[0]))
        return [Done(duty, k.fence, k.owner, k.count, max(0, now - k.at) // MS, k.result) for duty, k in mine]
