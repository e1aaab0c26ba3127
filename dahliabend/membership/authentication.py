"""Datagrams sealed by a shared key: HMAC-SHA-256 (RFC 2104) of the `cryptography` library, cut to 16 bytes.

Two keys are valid while one is replaced: the first seals, each opens. What is said can be read by who listens
in; it can't be made by who has no key. A seal holds no time: what comes again is dropped by its serial.
"""

from cryptography.hazmat.primitives import constant_time, hashes, hmac

from dahliabend.membership.codec import MAX_DATAGRAM_BYTES, TAG_BYTES

MIN_KEY_BYTES = 32  # bytes of a key
DOMAIN_SEPARATOR = b"dahliabend members 1\0"  # a key used elsewhere too seals nothing that is valid here


class DatagramAuthenticator:
    """
    >>> old = DatagramAuthenticator([b"o" * 32])
    >>> new = DatagramAuthenticator([b"n" * 32, b"o" * 32])
    >>> new.verify(old.sign(b"hello")), old.verify(new.sign(b"hello")), new.verify(b"hello" * 9)
    (b'hello', None, None)
    """

    def __init__(self, keys: list[bytes]) -> None:
        self.made = [hmac.HMAC(key, hashes.SHA256()) for key in keys]
        for each in self.made:
            each.update(DOMAIN_SEPARATOR)

    def sign(self, data: bytes) -> bytes:
        return data + self.tag(self.made[0], data)

    def verify(self, data: bytes) -> bytes | None:
        """None for what no key has sealed; its cost is bounded by its size, which is looked at first."""
        if not TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            return None
        payload, tag = data[:-TAG_BYTES], data[-TAG_BYTES:]
        for each in self.made:
            if constant_time.bytes_eq(self.tag(each, payload), tag):
                return payload
        return None

    @staticmethod
    def tag(made: hmac.HMAC, data: bytes) -> bytes:
        copy = made.copy()
        copy.update(data)
        return copy.finalize()[:TAG_BYTES]


def parse_key(raw: bytes) -> bytes:
    """A key as its file has it, without space around it. ValueError for one that is too short."""
    made = raw.strip()
    if len(made) < MIN_KEY_BYTES:
        raise ValueError(f"{len(made)} bytes; a key has {MIN_KEY_BYTES} at least")
    return made
