"""One balancer's subset over time: what it is to be, and by which steps it gets there. Free of I/O.

A view that may be of a part cut off does not narrow anything: for a while the choice by the last sure one is
kept beside it. Moves are gentle: new ones come in at a bounded rate, and old ones go only once as many new
ones have been in use for a while; those that the list has lost go at once and are replaced at once.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from dahliabend.subsetting.demand import UNTOLD
from dahliabend.subsetting.flap_damping import Flaps
from dahliabend.subsetting.selection import DEGREE, LEAST, Party, choose, ranks

FLAPS = 1 / 2  # of the list: more that go at once are no flapping of theirs
SILENT = 3  # upstreams asked in vain since anybody answered: all are taken for silent
CLOSE = 1 / 50  # of a weight: a smaller change of it alone is not worth telling


@dataclass(frozen=True, slots=True)
class Terms:
    """Spans in microseconds."""

    least: int = LEAST
    degree: int = DEGREE
    zones: bool = False
    by: str = "members"  # who tells the view
    balancers: int = 1  # how many there are, where no view tells
    hold: int = 60_000_000  # how long a doubtful view narrows nothing
    beat: int = 1_000_000
    settle: int = 2_000_000  # how long new ones are in use before old ones go
    pace: float = 1 / 8  # of the subset: how many may come, and go, in a beat
    wide: float = 2.0  # times its size: the most that a subset is widened to
    held: float = 1 / 2  # of the subset: fewer that can be sent to, and it widens


@dataclass(slots=True)
class Subset:
    """In use now: a weight each, that sum to as many as there are."""

    weights: dict[str, float] = field(default_factory=dict)
    added: list[str] = field(default_factory=list)  # by the last step
    dropped: list[str] = field(default_factory=list)
    by: str = "name"  # members (or index), both (doubtful: two views), name (no view)
    balancers: int = 1
    sharing: float = 1.0  # balancers that share each of these, in the mean, by this one's part of the demand


def counted(balancers: Sequence[Party]) -> Sequence[Party]:
    """One that has not told its demand yet counts as the others in the mean: at its own start, or the
    fleet's, those that tell first would be taken for the only ones with callers."""
    said = [party.weight for party in balancers if party.weight > UNTOLD]
    if len(said) == len(balancers):
        return balancers
    mean = sum(said) / len(said) if said else 1.0
    return [party if party.weight > UNTOLD else replace(party, weight=mean) for party in balancers]


def answering(balancer, now: int) -> int:
    """Of those in use, how many can be sent to, as the decisions see them (`decide.Balancer`)."""
    heard = balancer.last_heard
    # Where a hop has ended unanswered since.
    vain = sum(u.ended > max(heard, u.filled) for u in balancer.ready)
    if now - heard >= balancer.window and vain >= min(SILENT, len(balancer.ready)) > 0:
        # The decisions set nobody aside while all are silent: that is the tier's trouble. But these are only
        # some of it, and the rest may answer.
        return 0
    return sum(not upstream.ejected for upstream in balancer.ready)


class Keeper:
    def __init__(self, me: Party, terms: Terms) -> None:
        self.me, self.terms = me, terms
        self.listed: dict[str, Party] = {}
        self.upstreams: dict[str, Party] = {}  # of these, those that don't rest from flapping
        self.flaps = Flaps()
        self.sure: tuple[Party, ...] = ()
        self.doubtful: tuple[Party, ...] = ()
        self.doubted = 0  # since when
        self.using: dict[str, int] = {}  # since when each
        self.wanted: dict[str, float] = {}  # weights
        self.order: list[str] = []  # all, by this one's own ranks
        self.wider = 0  # how many more than wanted
        self.told: dict[str, float] = {}  # weights
        self.next = 0  # when it may step again
        self.stale = True
        self.by, self.balancers = "name", terms.balancers
        self.part = 1.0 / terms.balancers  # of all demand, this one's

    # What is told.

    def sees(self, now: int, balancers: Sequence[Party], sure: bool) -> None:
        """The settled view, this one in it. Not sure: it may be that of a part cut off, or old."""
        told = tuple(sorted(counted(balancers), key=lambda party: party.name))
        if sure:
            self.stale = self.stale or told != self.sure or bool(self.doubtful)
            self.sure, self.doubtful = told, ()
        elif told != self.doubtful:
            self.doubted = self.doubted if self.doubtful else now
            self.doubtful, self.stale = told, True

    def follows(self, now: int, settled, latest) -> None:
        """By membership: its settled view, and the latest, which tells whether that is to be doubted."""
        parties = [Party(m.name, m.zone, m.weight) for m in settled.members if m.state != "unreached"]
        self.sees(
            now,
            parties,
            sure=not (settled.possibly_partitioned or latest.possibly_partitioned or latest.exclusion),
        )

    def lists(self, now: int, upstreams: Sequence[Party]) -> None:
        """All that can be used, as the list has them."""
        told = {party.name: party for party in upstreams}
        if told == self.listed:
            return
        gone = [name for name in self.listed if name not in told]
        if len(gone) < len(self.listed) * FLAPS:  # else it is the list that has changed, not they
            self.flaps.departed(now, gone)
        self.listed = told
        self.rested(now)

    def rested(self, now: int) -> None:
        rest = self.flaps.rest(now, self.listed)
        made = {name: party for name, party in self.listed.items() if name not in rest}
        if made != self.upstreams:
            self.upstreams, self.stale = made, True

    def held_back(self, usable: int) -> None:
        """How many of those in use can be sent to now. Each widens along its own ranks: not all onto the same
        few. It narrows again once enough of the wanted ones serve."""
        size = max(1, len(self.wanted))
        most = round(size * (self.terms.wide - 1))
        if usable < self.terms.held * size and self.wider < most:
            self.wider = min(most, self.wider + max(1, round(size * self.terms.pace)))
        elif self.wider and usable >= size + self.wider - 1:
            self.wider -= 1

    # What comes of it.

    def step(self, now: int, pinned: frozenset[str] = frozenset()) -> Subset | None:
        """The subset, where it has changed. `pinned` are not dropped: an operator holds them."""
        if self.doubtful and now >= self.doubted + self.terms.hold:
            self.sure, self.doubtful, self.stale = self.doubtful, (), True
        if self.flaps.resting:
            self.rested(now)
        if self.stale:
            self.target()
        lost = [name for name in self.using if name not in self.upstreams]
        wanted = self.widened()
        if not lost and now < self.next and len(self.using) >= min(len(wanted), self.terms.least):
            return None
        self.next = now + self.terms.beat
        for name in lost:
            del self.using[name]
        bound = max(1, round(len(wanted) * self.terms.pace))
        missing = [name for name in wanted if name not in self.using]
        lacking = len(wanted) - len(self.using)
        added = missing[: max(bound, lacking)]
        self.using.update(dict.fromkeys(added, now))
        leaving = [name for name in self.using if name not in wanted and name not in pinned]
        fresh = sum(now - since < self.terms.settle for since in self.using.values())
        spare = max(0, min(bound, len(self.using) - fresh - (len(wanted) - bound)))
        dropped = leaving[:spare] if not missing or len(self.using) > len(wanted) else []
        for name in dropped:
            del self.using[name]
        made = self.subset(added, lost + dropped)
        before, self.told = self.told, made.weights
        if made.weights.keys() == before.keys() and all(
            abs(weight - before[name]) <= CLOSE * weight for name, weight in made.weights.items()
        ):
            self.told = before
            return None
        return made

    def subset(self, added: list[str], dropped: list[str]) -> Subset:
        mean = sum(self.wanted.values()) / max(1, len(self.wanted))
        weights = {name: self.wanted.get(name, mean) for name in self.using}
        scale = len(weights) / (sum(weights.values()) or 1.0)
        made = {name: weight * scale for name, weight in weights.items()}
        sharing = len(made) / max(1e-9, self.part * len(self.upstreams))
        return Subset(made, added, dropped, self.by, self.balancers, sharing)

    def widened(self) -> list[str]:
        """The wanted ones, and the next of its own ranks."""
        more = [name for name in self.order if name not in self.wanted][: self.wider]
        return [*self.wanted, *more]

    def target(self) -> None:
        self.stale = False
        names = sorted(self.upstreams)
        own = ranks([self.me.name], names)[0] if names else ()
        self.order = [name for _, name in sorted(zip(own, names, strict=True), reverse=True)]
        views = [view for view in (self.sure, self.doubtful) if any(p.name == self.me.name for p in view)]
        self.by = ("name", self.terms.by, "both")[len(views)]
        self.balancers = max((len(view) for view in views), default=self.terms.balancers)
        # In doubt the smaller part: the larger would let in what the others may still be sending.
        parts = (sum(p.weight for p in view if p.name == self.me.name) / sum(p.weight for p in view)
                 for view in views)  # fmt: skip
        self.part = min(parts, default=1.0 / self.terms.balancers)
        if not views:
            return self.alone()
        made: dict[str, float] = {}
        for view in views:
            terms, pool = self.terms, list(self.upstreams.values())
            relation = choose(view, pool, terms.least, terms.zones, terms.degree)
            for name, part in relation.of(self.me.name).items():
                made[name] = made.get(name, 0.0) + part / len(views)
        self.wanted = made

    def alone(self) -> None:
        """By the own name, and how many others there are said to be: as uneven as chance makes it."""
        others = [Party(f"{self.me.name} {n}") for n in range(1, self.terms.balancers)]
        terms, pool = self.terms, list(self.upstreams.values())
        relation = choose([self.me, *others], pool, terms.least, degree=terms.degree)
        chosen = self.order[: len(relation.of(self.me.name))]
        total = sum(self.upstreams[name].weight for name in chosen) or 1.0
        self.wanted = {name: self.upstreams[name].weight / total for name in chosen}
