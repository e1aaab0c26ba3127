"""Datagrams sealed by a shared key: HMAC-SHA-256 (RFC 2104) of the `cryptography` library, cut to 16 bytes.

Two keys are valid while one is replaced: the first seals, each opens. What is said can be read by who listens
in; it can't be made by who has no key. A seal holds no time: what comes again is dropped by its serial.
"""

from cryptography.hazmat.primitives import constant_time, hashes, hmac

from dahliabend.membership.codec import MOST, SEAL

LEAST = 32  # bytes of a key
ABOUT = b"dahliabend members 1\0"  # a key used elsewhere too seals nothing that is valid here


class Seal:
    """
    >>> old, new = Seal([b"o" * 32]), Seal([b"n" * 32, b"o" * 32])
    >>> new.open(old.close(b"hello")), old.open(new.close(b"hello")), new.open(b"hello" * 9)
    (b'hello', None, None)
    """

    def __init__(self, keys: list[bytes]) -> None:
        self.made = [hmac.HMAC(key, hashes.SHA256()) for key in keys]
        for each in self.made:
            each.update(ABOUT)

    def close(self, data: bytes) -> bytes:
        return data + self.tag(self.made[0], data)

    def open(self, data: bytes) -> bytes | None:
        """None for what no key has sealed; its cost is bounded by its size, which is looked at first."""
        if not SEAL < len(data) <= MOST:
            return None
        payload, tag = data[:-SEAL], data[-SEAL:]
        for each in self.made:
            if constant_time.bytes_eq(self.tag(each, payload), tag):
                return payload
        return None

    @staticmethod
    def tag(made: hmac.HMAC, data: bytes) -> bytes:
        copy = made.copy()
        copy.update(data)
        return copy.finalize()[:SEAL]


def key(raw: bytes) -> bytes:
    """A key as its file has it, without space around it. ValueError for one that is too short."""
    made = raw.strip()
    if len(made) < LEAST:
        raise ValueError(f"{len(made)} bytes; a key has {LEAST} at least")
    return made
