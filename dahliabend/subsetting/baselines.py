"""Other strategies of subsetting, for comparison with `selection`.

Unless stated otherwise, a balancer divides its demand evenly among the upstreams that it uses.
"""

from collections.abc import Callable, Sequence
from random import Random

import numpy as np

from dahliabend.subsetting.rendezvous import BoolArray, pair_ranks, top_ranked
from dahliabend.subsetting.selection import (
    MIN_BALANCERS_PER_UPSTREAM,
    MIN_SUBSET_SIZE,
    Assignment,
    Participant,
    normalized_weights,
)

Strategy = Callable[[Sequence[Participant], Sequence[Participant]], Assignment]


def subset_size(balancers: int, upstreams: int) -> int:
    """Return the size of every subset, given the number of balancers and of upstreams."""
    size_for_degree = -(-MIN_BALANCERS_PER_UPSTREAM * upstreams // balancers)  # rounded up
    return min(upstreams, max(MIN_SUBSET_SIZE, size_for_degree))


def assign_equally(
    balancers: Sequence[Participant], upstreams: Sequence[Participant], used: BoolArray
) -> Assignment:
    """Divide each balancer's demand evenly among the upstreams that it uses."""
    demand = normalized_weights(balancers)
    shares = used * (demand / np.maximum(used.sum(axis=1), 1))[:, None]
    return Assignment(_names(balancers), _names(upstreams), shares)


def random_subsets(balancers: Sequence[Participant], upstreams: Sequence[Participant]) -> Assignment:
    """Let every balancer choose its subset at random, and a new one when the number of upstreams changes."""
    size = subset_size(len(balancers), len(upstreams))
    used = np.zeros((len(balancers), len(upstreams)), dtype=bool)
    for row, balancer in enumerate(balancers):
        generator = Random(f"{balancer.name} {len(upstreams)}")
        used[row, generator.sample(range(len(upstreams)), size)] = True
    return assign_equally(balancers, upstreams, used)


def rendezvous_subsets(balancers: Sequence[Participant], upstreams: Sequence[Participant]) -> Assignment:
    """Let every balancer use the upstreams with the highest ranks by rendezvous hashing."""
    sizes = np.full(len(balancers), subset_size(len(balancers), len(upstreams)))
    ranks = pair_ranks(_names(balancers), _names(upstreams))
    return assign_equally(balancers, upstreams, top_ranked(ranks, sizes))


def shuffled_round_subsets(balancers: Sequence[Participant], upstreams: Sequence[Participant]) -> Assignment:
    """Apply deterministic subsetting: each round of balancers divides one shuffled list into subsets."""
    size = subset_size(len(balancers), len(upstreams))
    balancers_per_round = max(1, len(upstreams) // size)
    used = np.zeros((len(balancers), len(upstreams)), dtype=bool)
    for row in range(len(balancers)):
        round_number, position = divmod(row, balancers_per_round)
        shuffled = list(range(len(upstreams)))
        Random(f"round {round_number}").shuffle(shuffled)
        used[row, shuffled[position * size : (position + 1) * size]] = True
    return assign_equally(balancers, upstreams, used)


def aperture_subsets(balancers: Sequence[Participant], upstreams: Sequence[Participant]) -> Assignment:
    """Apply deterministic aperture: each balancer uses an arc of a ring of upstreams.

    Upstreams are placed on the ring in the given order, and balancers take consecutive arcs with lengths in
    proportion to their demand. Together the arcs cover the ring an integer number of times. At the ends of an
    arc a balancer uses a fraction of an upstream.
    """
    count = len(balancers)
    laps = max(1, -(-subset_size(count, len(upstreams)) * count // len(upstreams)))
    ends = np.concatenate(([0.0], np.cumsum(normalized_weights(upstreams))))
    shares = np.zeros((count, len(upstreams)))
    position = 0.0
    for row, demand in enumerate(normalized_weights(balancers)):
        arc = min(1.0, demand * laps)
        start = position % 1.0
        for lap in (0.0, 1.0):  # an arc may extend past the end of the ring
            low = np.maximum(ends[:-1] + lap, start)
            high = np.minimum(ends[1:] + lap, start + arc)
            shares[row] += np.maximum(0.0, high - low) * demand / arc
        position += arc
    return Assignment(_names(balancers), _names(upstreams), shares)


def full_subsets(balancers: Sequence[Participant], upstreams: Sequence[Participant]) -> Assignment:
    """Let every balancer use all upstreams."""
    used = np.ones((len(balancers), len(upstreams)), dtype=bool)
    return assign_equally(balancers, upstreams, used)


def _names(participants: Sequence[Participant]) -> tuple[str, ...]:
    return tuple(participant.name for participant in participants)


STRATEGIES: dict[str, Strategy] = {
    "random": random_subsets,
    "rendezvous": rendezvous_subsets,
    "rounds": shuffled_round_subsets,
    "aperture": aperture_subsets,
    "everyone": full_subsets,
}
