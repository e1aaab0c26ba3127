"""Datagrams that an instance has to reject: random bytes, another key, another version, replays."""

from random import Random

from dahliabend.membership.authentication import DatagramAuthenticator
from dahliabend.membership.codec import encode_packet
from dahliabend.membership.messages import Ping

KEY_BYTES = 32
RANDOM_DATAGRAMS = 20
RANDOM_SIZES = (1, 40, 1_400, 9_000)  # bytes
MAX_REPLAYED = 20  # for each instance
NEWER_VERSION = b"\x07"  # of the datagram format


def foreign_datagrams(rng: Random, key: str, replayed: list[bytes]) -> list[bytes]:
    """Return foreign datagrams to send to one instance.

    Args:
        rng: Generator of the random datagrams.
        key: Key of the cluster.
        replayed: Datagrams that members sent before.
    """
    random_datagrams = [rng.randbytes(rng.choice(RANDOM_SIZES)) for _ in range(RANDOM_DATAGRAMS)]
    valid, _ = encode_packet("b0", 1, 1, Ping(1, "b1"), [])
    other_key = DatagramAuthenticator([b"x" * KEY_BYTES]).sign(valid)
    newer = DatagramAuthenticator([key.encode()]).sign(valid[:1] + NEWER_VERSION + valid[2:])
    return [*random_datagrams, other_key, newer, *replayed[:MAX_REPLAYED]]
