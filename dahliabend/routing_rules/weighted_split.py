"""Weighted choice among pools: by a stable hash if a route splits by a header, otherwise by round robin."""

from bisect import bisect_right
from collections.abc import Sequence
from hashlib import blake2b
from itertools import accumulate

_HASH_BYTES = 8
_HASH_RANGE = 1 << (8 * _HASH_BYTES)
_MAX_SALT_BYTES = 64  # maximum key length of blake2b


class WeightedSplit:
    """Splits requests among pools by weight.

    While the weights stay the same, a key always selects the same pool. When they change, only a part of the
    keys as large as the change moves to another pool.

    >>> split = WeightedSplit(["main", "canary"], [90, 10])
    >>> split.pool_for_key(b"customer-7") == split.pool_for_key(b"customer-7")
    True
    >>> [WeightedSplit(["a", "b"], [0, 1]).next_pool() for _ in range(2)]
    ['b', 'b']
    """

    def __init__(self, names: Sequence[str], weights: Sequence[float], salt: bytes = b"") -> None:
        """Start with no credit for any pool.

        Args:
            names: Names of the pools.
            weights: Weight of each pool; none is negative, and at least one is positive.
            salt: Mixed into the hash, so that another split may select another pool for the same key.

        Raises:
            ValueError: A weight is negative, or none is positive.
        """
        total = sum(weights)
        if total <= 0 or min(weights) < 0:
            raise ValueError(f"weights {list(weights)}: expected no negative weight and a sum above 0")
        self.names = tuple(names)
        self._salt = salt[:_MAX_SALT_BYTES]
        self._shares = [weight / total for weight in weights]
        self._cumulative_shares = [end / total for end in accumulate(weights)]
        self._credits = [0.0] * len(self.names)  # requests that each pool is owed by the round robin

    def pool_for_key(self, key: bytes) -> str:
        """Return the pool that a key selects by its hash."""
        digest = blake2b(key, digest_size=_HASH_BYTES, key=self._salt).digest()
        point = int.from_bytes(digest) / _HASH_RANGE
        index = bisect_right(self._cumulative_shares, point)
        return self.names[min(index, len(self.names) - 1)]

    def next_pool(self) -> str:
        """Return the next pool by smooth weighted round robin.

        Over any sequence of calls, each pool receives its share to within one request.
        """
        for index, share in enumerate(self._shares):
            self._credits[index] += share
        best = max(range(len(self.names)), key=self._credits.__getitem__)
        self._credits[best] -= 1
        return self.names[best]

    def inherit_credits(self, previous: "WeightedSplit") -> None:
        """Continue the round robin of a previous split, if it has the same pools."""
        credit_by_name = dict(zip(previous.names, previous._credits, strict=True))
        if credit_by_name.keys() == set(self.names):
            self._credits = [credit_by_name[name] for name in self.names]
