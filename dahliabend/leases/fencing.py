"""Fencing tokens: numbers that rise with each claim of a lease.

The upper bits count the claims. The lower bits are a hash of the holder's name, so that two members that
claim a lease at the same time do so with different tokens, unless the hashes of their names collide.
"""

from zlib import crc32

TOKEN_SUFFIX_BITS = 16


def next_fencing_token(current: int, balancer_name: str) -> int:
    """Return the token with which a balancer claims a lease.

    Args:
        current: The current token of the lease.
        balancer_name: Name of the balancer that claims the lease.

    >>> next_fencing_token(0, "a") >> TOKEN_SUFFIX_BITS
    1
    """
    claim_count = (current >> TOKEN_SUFFIX_BITS) + 1
    suffix = crc32(balancer_name.encode()) % (1 << TOKEN_SUFFIX_BITS)
    return claim_count << TOKEN_SUFFIX_BITS | suffix
