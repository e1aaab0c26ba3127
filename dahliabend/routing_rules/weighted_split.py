"""Which pool of several by weight: by a stable hash where the file names a header, else evenly by turns."""

from bisect import bisect_right
from collections.abc import Sequence
from hashlib import blake2b
from itertools import accumulate

_WHOLE = 1 << 64


class WeightedSplit:
    """Pools by weight. The same key always goes to the same pool; as weights move, only that part of the keys
    changes its pool.

    >>> split = WeightedSplit(["main", "canary"], [90, 10])
    >>> split.pool_for_key(b"customer-7") == split.pool_for_key(b"customer-7")
    True
    >>> [WeightedSplit(["a", "b"], [0, 1]).next_pool() for _ in range(2)]
    ['b', 'b']
    """

    def __init__(self, names: Sequence[str], weights: Sequence[float], salt: bytes = b"") -> None:
        total = sum(weights)
        if total <= 0 or min(weights) < 0:
            raise ValueError("the weights sum to nothing, or one is below 0")
        self.names, self.salt = tuple(names), salt
        self.cumulative_shares = [end / total for end in accumulate(weights)]
        self.credits = [0.0] * len(self.names)
        self.shares = [weight / total for weight in weights]

    def pool_for_key(self, key: bytes) -> str:
        digest = blake2b(key, digest_size=8, key=self.salt[:64]).digest()
        return self._at(int.from_bytes(digest) / _WHOLE)

    def _at(self, point: float) -> str:
        return self.names[min(bisect_right(self.cumulative_shares, point), len(self.names) - 1)]

    def next_pool(self) -> str:
        """Smooth weighted turns: any run of them holds each pool's part, to one."""
        for number, part in enumerate(self.shares):
            self.credits[number] += part
        best = max(range(len(self.names)), key=self.credits.__getitem__)
        self.credits[best] -= 1
        return self.names[best]
