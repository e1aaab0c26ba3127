"""Rendezvous hashing (Thaler and Ravishankar, 1998): which pairs of balancer and upstream are used.

The rank of a pair is a hash of both names, so that a balancer or an upstream that joins or leaves changes few
pairs besides its own.
"""

from collections.abc import Sequence
from hashlib import blake2b

import numpy as np
from numpy.typing import NDArray

HASH_BYTES = 8
GUARANTEED_BALANCERS = 2  # per upstream: the balancers with its highest ranks always use it
PAIRS_PER_BLOCK = 1 << 16  # pairs ranked at a time, so that a block fits into a processor's cache

# Constants of splitmix64 (Steele and others, 2014).
GOLDEN_GAMMA = 0x9E3779B97F4A7C15
MIX_STEPS = ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB), (31, 1))  # shift, multiplier
MANTISSA_SHIFT = 11
MANTISSA_BITS = 53
UINT64_RANGE = 2.0**64

FloatArray = NDArray[np.float64]
BoolArray = NDArray[np.bool_]
IntArray = NDArray[np.int_]


def name_hashes(names: Sequence[str]) -> NDArray[np.uint64]:
    """Return a 64-bit hash of each name."""
    digests = b"".join(blake2b(name.encode(), digest_size=HASH_BYTES).digest() for name in names)
    return np.frombuffer(digests, dtype=np.uint64)


def pair_ranks(balancers: Sequence[str], upstreams: Sequence[str]) -> FloatArray:
    """Return the ranks of all pairs, from 0 to 1: a row for each balancer, a column for each upstream."""
    row_hashes = name_hashes(balancers)
    ranks = np.empty((len(balancers), len(upstreams)))
    rows_per_block = max(1, PAIRS_PER_BLOCK // max(1, len(upstreams)))
    with np.errstate(over="ignore"):
        column_hashes = name_hashes(upstreams) * np.uint64(GOLDEN_GAMMA)
        for start in range(0, len(row_hashes), rows_per_block):
            block = slice(start, start + rows_per_block)
            mixed = row_hashes[block, None] ^ column_hashes[None, :]
            for shift, multiplier in MIX_STEPS:
                mixed ^= mixed >> np.uint64(shift)
                mixed *= np.uint64(multiplier)
            np.multiply(mixed >> np.uint64(MANTISSA_SHIFT), 1 / (1 << MANTISSA_BITS), out=ranks[block])
    return ranks


def subset_sizes(
    names: Sequence[str], demand: FloatArray, upstreams: int, min_size: int, degree: int
) -> IntArray:
    """Return how many upstreams each balancer uses.

    Whether a fractional size is rounded up or down depends on a hash of the balancer's name. If the sizes
    change a little, only few balancers therefore change theirs by one.

    Args:
        names: Names of the balancers.
        demand: Demand of each balancer as a fraction of the whole; a balancer with more than the average
            uses more upstreams.
        upstreams: Number of upstreams.
        min_size: Minimum number of upstreams per balancer.
        degree: Average number of balancers per upstream.
    """
    count = len(names)
    sizes = np.maximum(min_size, degree * upstreams / count * np.maximum(1.0, demand * count))
    rounding = name_hashes(names) / UINT64_RANGE
    return np.minimum(upstreams, np.floor(sizes + rounding)).astype(int)


def top_ranked(ranks: FloatArray, sizes: IntArray) -> BoolArray:
    """Return a mask of the highest ranks of each row, as many as the size of the row."""
    first_used = ranks.shape[1] - sizes
    ordered = np.partition(ranks, np.unique(first_used), axis=1)
    thresholds = ordered[np.arange(len(sizes)), first_used]
    used: BoolArray = ranks >= thresholds[:, None]
    return used


def guaranteed_pairs(ranks: FloatArray) -> BoolArray:
    """Return a mask of the `GUARANTEED_BALANCERS` highest ranks of each column.

    Without these pairs, a small number of balancers with small subsets could leave some upstreams unused.
    """
    thresholds = ranks.max(axis=0)
    for _ in range(min(GUARANTEED_BALANCERS, ranks.shape[0]) - 1):
        thresholds = np.where(ranks < thresholds, ranks, -1.0).max(axis=0)
    used: BoolArray = ranks >= thresholds
    return used
