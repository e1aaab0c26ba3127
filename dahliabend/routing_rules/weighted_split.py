"""Which pool of several by weight: by a stable hash where the file names a header, else in turn."""

from bisect import bisect_right
from collections.abc import Sequence
from hashlib import blake2b
from itertools import accumulate

_HASH_BYTES = 8
_HASH_RANGE = 1 << (8 * _HASH_BYTES)
_MAX_SALT_BYTES = 64  # of the key that blake2b takes


class WeightedSplit:
    """Pools by weight.

    The same key always goes to the same pool; as weights move, only that part of the keys changes its pool.

    >>> split = WeightedSplit(["main", "canary"], [90, 10])
    >>> split.pool_for_key(b"customer-7") == split.pool_for_key(b"customer-7")
    True
    >>> [WeightedSplit(["a", "b"], [0, 1]).next_pool() for _ in range(2)]
    ['b', 'b']
    """

    def __init__(self, names: Sequence[str], weights: Sequence[float], salt: bytes = b"") -> None:
        """Start with no credit for any pool.

        Args:
            names: Of the pools.
            weights: As many, none below 0 and one above it.
            salt: Mixed into the hash, so that the same key may go elsewhere in another split.

        Raises:
            ValueError: The weights are not so.
        """
        total = sum(weights)
        if total <= 0 or min(weights) < 0:
            raise ValueError("the weights sum to nothing, or one is below 0")
        self.names = tuple(names)
        self._salt = salt[:_MAX_SALT_BYTES]
        self._shares = [weight / total for weight in weights]
        self._cumulative_shares = [end / total for end in accumulate(weights)]
        self._credits = [0.0] * len(self.names)  # what each pool is owed, in turns

    def pool_for_key(self, key: bytes) -> str:
        """The pool of a key, by its hash."""
        digest = blake2b(key, digest_size=_HASH_BYTES, key=self._salt).digest()
        point = int.from_bytes(digest) / _HASH_RANGE
        index = bisect_right(self._cumulative_shares, point)
        return self.names[min(index, len(self.names) - 1)]

    def next_pool(self) -> str:
        """The next pool in turn, by smooth weighted round robin.

        Any run of turns holds each pool's share, to one.
        """
        for index, share in enumerate(self._shares):
            self._credits[index] += share
        best = max(range(len(self.names)), key=self._credits.__getitem__)
        self._credits[best] -= 1
        return self.names[best]

    def inherit_credits(self, before: "WeightedSplit") -> None:
        """Go on with the turns of another split, if it is of the same pools."""
        credit_by_name = dict(zip(before.names, before._credits, strict=True))
        if credit_by_name.keys() == set(self.names):
            self._credits = [credit_by_name[name] for name in self.names]
