"""Who uses whom, and with which weight: a pure function of the view of balancers and the list of upstreams.

Every balancer works out the whole relation for itself; those with the same view and list come to the same
one. Whom each uses are its first by rendezvous (Thaler and Ravishankar, 1998): a pair has a rank drawn from
both names, so that one that comes or goes moves few pairs besides its own. How much each sends whom is then
fitted, so that the sums are even: proportional fitting (Deming and Stephan, 1940) on the pairs chosen.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

import numpy as np

MIN_SUBSET_SIZE = 12  # upstreams that a balancer uses, where there are so many
MIN_BALANCERS_PER_UPSTREAM = (
    12  # balancers that use an upstream, in the mean at the least, where there are so many
)
SURE = 2  # balancers that use an upstream whatever chance says: its own first ranks
BEARS = 11 / 10  # of its part of the capacity: what a zone takes at home before others take any
AT_ONCE = 1 << 16  # pairs ranked at once
FITS = 60  # rounds of fitting at the most
CLOSE = 1e-3  # of its share: how near to even the fitting comes


@dataclass(frozen=True, slots=True)
class Participant:
    """A balancer or an upstream. The weight is a balancer's demand, an upstream's capacity; any unit."""

    name: str
    zone: str = ""
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Assignment:
    """A row a balancer, a column an upstream; a share of all demand each, that sums to 1."""

    balancers: tuple[str, ...]
    upstreams: tuple[str, ...]
    shares: np.ndarray

    def subset_of(self, balancer: str) -> dict[str, float]:
        """Its upstreams, with the part of its own demand that each gets."""
        row = self.shares[self.balancers.index(balancer)]
        total = row.sum() or 1.0
        return {name: float(part / total) for name, part in zip(self.upstreams, row, strict=True) if part > 0}

    def pairs(self) -> set[tuple[str, str]]:
        rows, columns = np.nonzero(self.shares)
        return {(self.balancers[r], self.upstreams[c]) for r, c in zip(rows, columns, strict=True)}


def seeds(names: Sequence[str]) -> np.ndarray:
    """Eight bytes for each name."""
    digests = b"".join(blake2b(name.encode(), digest_size=8).digest() for name in names)
    return np.frombuffer(digests, dtype=np.uint64)


def ranks(balancers: Sequence[str], upstreams: Sequence[str]) -> np.ndarray:
    """A number from 0 to 1 for each pair: splitmix64's mixing (Steele and others, 2014) of both seeds."""
    ours, theirs = seeds(balancers), seeds(upstreams)
    made = np.empty((len(ours), len(theirs)))
    some = max(1, AT_ONCE // max(1, len(theirs)))
    with np.errstate(over="ignore"):
        theirs = theirs * np.uint64(0x9E3779B97F4A7C15)
        for at in range(0, len(ours), some):  # by parts that a processor's cache holds: a quarter of the time
            mixed = ours[at : at + some, None] ^ theirs[None, :]
            for shift, by in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB), (31, 1)):
                mixed ^= mixed >> np.uint64(shift)
                mixed *= np.uint64(by)
            np.multiply(mixed >> np.uint64(11), 1 / (1 << 53), out=made[at : at + some])
    return made


def sizes(names: Sequence[str], demand: np.ndarray, upstreams: int, least: int, degree: int) -> np.ndarray:
    """How many upstreams each balancer uses: the least, and enough that all are used by several; more for one
    with more demand. Parts of one are drawn by name: where the figure moves a little, few change by one."""
    count = len(names)
    each = np.maximum(least, degree * upstreams / count * np.maximum(1.0, demand * count))
    drawn = seeds(names) / 2.0**64
    return np.minimum(upstreams, np.floor(each + drawn)).astype(int)


def first(rank: np.ndarray, size: np.ndarray) -> np.ndarray:
    """The pairs in use: of each row the highest ranks, as many as it uses."""
    places = rank.shape[1] - size
    ordered = np.partition(rank, np.unique(places), axis=1)
    return rank >= ordered[np.arange(len(size)), places][:, None]


def covered(rank: np.ndarray) -> np.ndarray:
    """And of each column the highest: few balancers with small subsets would leave one to nobody."""
    least = rank.max(axis=0)
    for _ in range(min(SURE, rank.shape[0]) - 1):
        least = np.where(rank < least, rank, -1.0).max(axis=0)
    return rank >= least


def fit(start: np.ndarray, demand: np.ndarray, capacity: np.ndarray) -> np.ndarray:
    """Shares on the pairs that have one at the start, whose rows sum to the demands and whose columns to the
    capacities, as near as these pairs allow."""
    rows, columns = np.nonzero(start)
    made = np.zeros(start.shape)
    made[rows, columns] = fit_pairs(rows, columns, start[rows, columns], demand, capacity)
    return made


def fit_pairs(rows, columns, shares: np.ndarray, demand: np.ndarray, capacity: np.ndarray) -> np.ndarray:
    """The same on the pairs alone: the share of each, in their order."""

    def of_rows() -> np.ndarray:
        return demand / np.maximum(np.bincount(rows, shares, len(demand)), 1e-300)

    for _ in range(FITS):
        shares = shares * of_rows()[rows]
        sums = np.bincount(columns, shares, len(capacity))
        if np.abs(sums / capacity - 1).max() <= CLOSE:
            break
        shares *= (capacity / np.maximum(sums, 1e-300))[columns]
    return shares * of_rows()[rows]


def flows(demand: dict[str, float], capacity: dict[str, float]) -> dict[tuple[str, str], float]:
    """What of each zone's demand goes to which zone: at home first, what home can't bear to those that have
    room, by their room. Both sum to 1. A little too much stays at home: one balancer that comes or goes would
    open or close ways between all zones.

    >>> flows({"a": 0.52, "b": 0.48}, {"a": 0.5, "b": 0.5})
    {('a', 'a'): 0.52, ('b', 'b'): 0.48}
    """
    made = {(zone, zone): min(demand[zone], BEARS * capacity.get(zone, 0.0)) for zone in demand}
    rest = {zone: demand[zone] - made[zone, zone] for zone in demand}
    room = {zone: max(0.0, capacity[zone] - made.get((zone, zone), 0.0)) for zone in capacity}
    spare = sum(room.values())
    for source, left in rest.items():
        for target, free in room.items():
            if left > 1e-12 and free > 1e-12 and source != target:
                made[source, target] = left * free / spare
    return {key: part for key, part in made.items() if part > 1e-12}


def assign_subsets(
    balancers: Sequence[Participant],
    upstreams: Sequence[Participant],
    least: int = MIN_SUBSET_SIZE,
    zones: bool = False,
    degree: int = MIN_BALANCERS_PER_UPSTREAM,
) -> Assignment:
    """The whole relation. With `zones` a balancer uses those of its own zone, and others only for what these
    can't bear. Never empty where there is an upstream; names are told apart, order does not matter."""
    balancers = sorted(balancers, key=lambda party: party.name)
    upstreams = sorted(upstreams, key=lambda party: party.name)
    rows, columns = (tuple(party.name for party in each) for each in (balancers, upstreams))
    shares = np.zeros((len(rows), len(columns)))
    if not rows or not columns:
        return Assignment(rows, columns, shares)
    demand, capacity = normalized_weights(balancers), normalized_weights(upstreams)
    if not zones:
        return Assignment(rows, columns, block(rows, columns, demand, capacity, least, degree))
    of_row, of_column = ([party.zone for party in each] for each in (balancers, upstreams))
    asked = sums(of_row, demand)
    ways = flows(asked, sums(of_column, capacity))
    for (source, target), part in ways.items():
        here = np.array([n for n, zone in enumerate(of_row) if zone == source])
        there = np.array([n for n, zone in enumerate(of_column) if zone == target])
        own, theirs = demand[here] / demand[here].sum(), capacity[there] / capacity[there].sum()
        names = [rows[n] for n in here], [columns[n] for n in there]
        # What goes elsewhere is a part of each one's demand, and wants that part of the connections.
        some = 1.0 if source == target else part / asked[source]
        sized = max(1, round(least * some)), max(SURE, round(degree * some))
        shares[np.ix_(here, there)] += part * block(*names, own, theirs, *sized)
    # Once more over all zones: what comes from elsewhere, by few ways, is evened out by those at home.
    into = {target: 0.0 for target in of_column}
    for (_, target), part in ways.items():
        into[target] += part
    room = sums(of_column, capacity)
    targets = np.array([into[zone] * capacity[n] / room[zone] for n, zone in enumerate(of_column)])
    used = targets > 0
    shares[:, used] = fit(shares[:, used], demand, targets[used])
    return Assignment(rows, columns, shares)


def block(rows, columns, demand: np.ndarray, capacity: np.ndarray, least: int, degree: int) -> np.ndarray:
    rank = ranks(rows, columns)
    pairs = np.nonzero(first(rank, sizes(rows, demand, len(columns), least, degree)) | covered(rank))
    made = np.zeros(rank.shape)
    made[pairs] = fit_pairs(*pairs, demand[pairs[0]] * capacity[pairs[1]], demand, capacity)
    return made


def normalized_weights(parties: Sequence[Participant]) -> np.ndarray:
    """Of all weight, each one's."""
    weights = np.array([party.weight if party.weight > 0 else 1.0 for party in parties], dtype=float)
    return weights / weights.sum()


def sums(zones: list[str], weights: np.ndarray) -> dict[str, float]:
    made: dict[str, float] = {}
    for zone, weight in zip(zones, weights, strict=True):
        made[zone] = made.get(zone, 0.0) + float(weight)
    return made
