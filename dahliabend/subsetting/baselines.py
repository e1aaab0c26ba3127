"""Other ways to choose, to be measured beside `choice`. Weights are equal unless a way says otherwise."""

from collections.abc import Callable, Sequence
from random import Random

import numpy as np

from dahliabend.subsetting.selection import (
    MIN_BALANCERS_PER_UPSTREAM,
    MIN_SUBSET_SIZE,
    Assignment,
    Participant,
    first,
    normalized_weights,
    ranks,
)

Way = Callable[[Sequence[Participant], Sequence[Participant]], Assignment]


def size_of(balancers: int, upstreams: int) -> int:
    return min(upstreams, max(MIN_SUBSET_SIZE, -(-MIN_BALANCERS_PER_UPSTREAM * upstreams // balancers)))


def made(balancers, upstreams, taken: np.ndarray) -> Assignment:
    """Each row's demand in equal parts over whom it uses."""
    demand = normalized_weights(balancers)
    shares = taken * (demand / np.maximum(taken.sum(axis=1), 1))[:, None]
    names = tuple(party.name for party in balancers), tuple(party.name for party in upstreams)
    return Assignment(*names, shares)


def random(balancers, upstreams) -> Assignment:
    """Each draws for itself, from its own name and the list as it is: a list that changes draws anew."""
    size = size_of(len(balancers), len(upstreams))
    taken = np.zeros((len(balancers), len(upstreams)), dtype=bool)
    for row, party in enumerate(balancers):
        taken[row, Random(f"{party.name} {len(upstreams)}").sample(range(len(upstreams)), size)] = True
    return made(balancers, upstreams, taken)


def rendezvous(balancers, upstreams) -> Assignment:
    """The first ranks, equal weights."""
    size = np.full(len(balancers), size_of(len(balancers), len(upstreams)))
    rank = ranks([party.name for party in balancers], [party.name for party in upstreams])
    return made(balancers, upstreams, first(rank, size))


def rounds(balancers, upstreams) -> Assignment:
    """Deterministic subsetting: balancers in rounds, each round shuffles the list and deals it out."""
    size = size_of(len(balancers), len(upstreams))
    per_round = max(1, len(upstreams) // size)
    taken = np.zeros((len(balancers), len(upstreams)), dtype=bool)
    for row in range(len(balancers)):
        dealt, place = divmod(row, per_round)
        order = list(range(len(upstreams)))
        Random(f"round {dealt}").shuffle(order)
        taken[row, order[place * size : (place + 1) * size]] = True
    return made(balancers, upstreams, taken)


def aperture(balancers, upstreams) -> Assignment:
    """Deterministic aperture: balancers and upstreams on a ring in order of their names, arcs with fractional
    ends that lie end to end, a whole number of times round."""
    count, width = len(balancers), len(upstreams)
    laps = max(1, -(-size_of(count, width) * count // width))
    demand, capacity = normalized_weights(balancers), normalized_weights(upstreams)
    ends = np.concatenate(([0.0], np.cumsum(capacity)))
    shares = np.zeros((count, width))
    at = 0.0
    for row, part in enumerate(demand):
        arc = min(1.0, part * laps)
        for lap in (0.0, 1.0):
            low, high = np.maximum(ends[:-1] + lap, at % 1.0), np.minimum(ends[1:] + lap, at % 1.0 + arc)
            shares[row] += np.maximum(0.0, high - low) * part / arc
        at += arc
    names = tuple(party.name for party in balancers), tuple(party.name for party in upstreams)
    return Assignment(*names, shares)


def everyone(balancers, upstreams) -> Assignment:
    """No subsets."""
    return made(balancers, upstreams, np.ones((len(balancers), len(upstreams)), dtype=bool))


STRATEGIES: dict[str, Way] = {
    "random": random, "rendezvous": rendezvous, "rounds": rounds, "aperture": aperture, "everyone": everyone,
}  # fmt: skip
