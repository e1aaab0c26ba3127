"""One balancer's subset over time: what it is to be, and by which steps it gets there. Free of I/O.

A view that may be of a part cut off does not narrow anything: for a while the choice by the last sure one is
kept beside it. Moves are gentle: new ones come in at a bounded rate, and old ones go only once as many new
ones have been in use for a while; those that the list has lost go at once and are replaced at once.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from dahliabend.subsetting.demand import UNKNOWN_DEMAND
from dahliabend.subsetting.flap_damping import FlapDamping
from dahliabend.subsetting.selection import (
    MIN_BALANCERS_PER_UPSTREAM,
    MIN_SUBSET_SIZE,
    Participant,
    assign_subsets,
    ranks,
)

FLAPS = 1 / 2  # of the list: more that go at once are no flapping of theirs
SILENT = 3  # upstreams asked in vain since anybody answered: all are taken for silent
CLOSE = 1 / 50  # of a weight: a smaller change of it alone is not worth telling


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """Spans in microseconds."""

    min_size: int = MIN_SUBSET_SIZE
    degree: int = MIN_BALANCERS_PER_UPSTREAM
    by_zone: bool = False
    source: str = "members"  # who tells the view
    balancers: int = 1  # how many there are, where no view tells
    doubt_hold: int = 60_000_000  # how long a doubtful view narrows nothing
    step_interval: int = 1_000_000
    settle_time: int = 2_000_000  # how long new ones are in use before old ones go
    move_fraction: float = 1 / 8  # of the subset: how many may come, and go, in a beat
    max_widening: float = 2.0  # times its size: the most that a subset is widened to
    widen_threshold: float = 1 / 2  # of the subset: fewer that can be sent to, and it widens


@dataclass(slots=True)
class ActiveSubset:
    """In use now: a weight each, that sum to as many as there are."""

    weights: dict[str, float] = field(default_factory=dict)
    added: list[str] = field(default_factory=list)  # by the last step
    dropped: list[str] = field(default_factory=list)
    source: str = "name"  # members (or index), both (doubtful: two views), name (no view)
    balancers: int = 1
    balancers_per_upstream: float = (
        1.0  # balancers that share each of these, in the mean, by this one's part of the demand
    )


def fill_unknown_demand(balancers: Sequence[Participant]) -> Sequence[Participant]:
    """One that has not told its demand yet counts as the others in the mean: at its own start, or the
    fleet's, those that tell first would be taken for the only ones with callers."""
    said = [party.weight for party in balancers if party.weight > UNKNOWN_DEMAND]
    if len(said) == len(balancers):
        return balancers
    mean = sum(said) / len(said) if said else 1.0
    return [party if party.weight > UNKNOWN_DEMAND else replace(party, weight=mean) for party in balancers]


def count_usable(balancer, now: int) -> int:
    """Of those in use, how many can be sent to, as the decisions see them (`decide.Balancer`)."""
    heard = balancer.outliers.last_answer_at
    # Where a hop has ended unanswered since.
    vain = sum(u.last_ended_at > max(heard, u.budget_filled_at) for u in balancer.selection.ready)
    if now - heard >= balancer.throttling.window and vain >= min(SILENT, len(balancer.selection.ready)) > 0:
        # The decisions set nobody aside while all are silent: that is the tier's trouble. But these are only
        # some of it, and the rest may answer.
        return 0
    return sum(not upstream.is_ejected for upstream in balancer.selection.ready)


class SubsetController:
    def __init__(self, me: Participant, terms: SubsetSettings) -> None:
        self.own, self.settings = me, terms
        self.listed: dict[str, Participant] = {}
        self.eligible: dict[str, Participant] = {}  # of these, those that don't rest from flapping
        self.flap_damping = FlapDamping()
        self.trusted_view: tuple[Participant, ...] = ()
        self.doubtful_view: tuple[Participant, ...] = ()
        self.doubtful_since = 0  # since when
        self.active: dict[str, int] = {}  # since when each
        self.target_weights: dict[str, float] = {}  # weights
        self.own_ranking: list[str] = []  # all, by this one's own ranks
        self.extra = 0  # how many more than wanted
        self.published: dict[str, float] = {}  # weights
        self.next_step_at = 0  # when it may step again
        self.target_stale = True
        self.source, self.balancers = "name", terms.balancers
        self.demand_share = 1.0 / terms.balancers  # of all demand, this one's

    # What is told.

    def update_view(self, now: int, balancers: Sequence[Participant], trusted: bool) -> None:
        """The settled view, this one in it. Not sure: it may be that of a part cut off, or old."""
        told = tuple(sorted(fill_unknown_demand(balancers), key=lambda party: party.name))
        if trusted:
            self.target_stale = self.target_stale or told != self.trusted_view or bool(self.doubtful_view)
            self.trusted_view, self.doubtful_view = told, ()
        elif told != self.doubtful_view:
            self.doubtful_since = self.doubtful_since if self.doubtful_view else now
            self.doubtful_view, self.target_stale = told, True

    def follow_membership(self, now: int, settled, latest) -> None:
        """By membership: its settled view, and the latest, which tells whether that is to be doubted."""
        parties = [Participant(m.name, m.zone, m.weight) for m in settled.members if m.state != "unreached"]
        self.update_view(
            now,
            parties,
            trusted=not (settled.possibly_partitioned or latest.possibly_partitioned or latest.exclusion),
        )

    def update_upstreams(self, now: int, upstreams: Sequence[Participant]) -> None:
        """All that can be used, as the list has them."""
        told = {party.name: party for party in upstreams}
        if told == self.listed:
            return
        gone = [name for name in self.listed if name not in told]
        if len(gone) < len(self.listed) * FLAPS:  # else it is the list that has changed, not they
            self.flap_damping.record_departures(now, gone)
        self.listed = told
        self.apply_flap_damping(now)

    def apply_flap_damping(self, now: int) -> None:
        rest = self.flap_damping.suppress(now, self.listed)
        made = {name: party for name, party in self.listed.items() if name not in rest}
        if made != self.eligible:
            self.eligible, self.target_stale = made, True

    def adjust_width(self, usable: int) -> None:
        """How many of those in use can be sent to now. Each widens along its own ranks: not all onto the same
        few. It narrows again once enough of the wanted ones serve."""
        size = max(1, len(self.target_weights))
        most = round(size * (self.settings.max_widening - 1))
        if usable < self.settings.widen_threshold * size and self.extra < most:
            self.extra = min(most, self.extra + max(1, round(size * self.settings.move_fraction)))
        elif self.extra and usable >= size + self.extra - 1:
            self.extra -= 1

    # What comes of it.

    def step(self, now: int, pinned: frozenset[str] = frozenset()) -> ActiveSubset | None:
        """The subset, where it has changed. `pinned` are not dropped: an operator holds them."""
        if self.doubtful_view and now >= self.doubtful_since + self.settings.doubt_hold:
            self.trusted_view, self.doubtful_view, self.target_stale = self.doubtful_view, (), True
        if self.flap_damping.suppressed:
            self.apply_flap_damping(now)
        if self.target_stale:
            self.recompute_target()
        lost = [name for name in self.active if name not in self.eligible]
        wanted = self.widened_targets()
        if (
            not lost
            and now < self.next_step_at
            and len(self.active) >= min(len(wanted), self.settings.min_size)
        ):
            return None
        self.next_step_at = now + self.settings.step_interval
        for name in lost:
            del self.active[name]
        bound = max(1, round(len(wanted) * self.settings.move_fraction))
        missing = [name for name in wanted if name not in self.active]
        lacking = len(wanted) - len(self.active)
        added = missing[: max(bound, lacking)]
        self.active.update(dict.fromkeys(added, now))
        leaving = [name for name in self.active if name not in wanted and name not in pinned]
        fresh = sum(now - since < self.settings.settle_time for since in self.active.values())
        spare = max(0, min(bound, len(self.active) - fresh - (len(wanted) - bound)))
        dropped = leaving[:spare] if not missing or len(self.active) > len(wanted) else []
        for name in dropped:
            del self.active[name]
        made = self.build_subset(added, lost + dropped)
        before, self.published = self.published, made.weights
        if made.weights.keys() == before.keys() and all(
            abs(weight - before[name]) <= CLOSE * weight for name, weight in made.weights.items()
        ):
            self.published = before
            return None
        return made

    def build_subset(self, added: list[str], dropped: list[str]) -> ActiveSubset:
        mean = sum(self.target_weights.values()) / max(1, len(self.target_weights))
        weights = {name: self.target_weights.get(name, mean) for name in self.active}
        scale = len(weights) / (sum(weights.values()) or 1.0)
        made = {name: weight * scale for name, weight in weights.items()}
        sharing = len(made) / max(1e-9, self.demand_share * len(self.eligible))
        return ActiveSubset(made, added, dropped, self.source, self.balancers, sharing)

    def widened_targets(self) -> list[str]:
        """The wanted ones, and the next of its own ranks."""
        more = [name for name in self.own_ranking if name not in self.target_weights][: self.extra]
        return [*self.target_weights, *more]

    def recompute_target(self) -> None:
        self.target_stale = False
        names = sorted(self.eligible)
        own = ranks([self.own.name], names)[0] if names else ()
        self.own_ranking = [name for _, name in sorted(zip(own, names, strict=True), reverse=True)]
        views = [
            view
            for view in (self.trusted_view, self.doubtful_view)
            if any(p.name == self.own.name for p in view)
        ]
        self.source = ("name", self.settings.source, "both")[len(views)]
        self.balancers = max((len(view) for view in views), default=self.settings.balancers)
        # In doubt the smaller part: the larger would let in what the others may still be sending.
        normalized_weights = (
            sum(p.weight for p in view if p.name == self.own.name) / sum(p.weight for p in view)
            for view in views
        )
        self.demand_share = min(normalized_weights, default=1.0 / self.settings.balancers)
        if not views:
            return self.target_without_view()
        made: dict[str, float] = {}
        for view in views:
            terms, pool = self.settings, list(self.eligible.values())
            relation = assign_subsets(view, pool, terms.min_size, terms.by_zone, terms.degree)
            for name, part in relation.subset_of(self.own.name).items():
                made[name] = made.get(name, 0.0) + part / len(views)
        self.target_weights = made

    def target_without_view(self) -> None:
        """By the own name, and how many others there are said to be: as uneven as chance makes it."""
        others = [Participant(f"{self.own.name} {n}") for n in range(1, self.settings.balancers)]
        terms, pool = self.settings, list(self.eligible.values())
        relation = assign_subsets([self.own, *others], pool, terms.min_size, degree=terms.degree)
        chosen = self.own_ranking[: len(relation.subset_of(self.own.name))]
        total = sum(self.eligible[name].weight for name in chosen) or 1.0
        self.target_weights = {name: self.eligible[name].weight / total for name in chosen}
