"""Authentication of datagrams by a shared key: HMAC-SHA-256 (RFC 2104), truncated to `TAG_BYTES`.

While a key is replaced two keys are valid: the first one signs, both verify. Datagrams are not encrypted:
their content can be read on the network, but only a holder of a key can create them. A tag contains no time;
replayed datagrams are detected by their sequence number.
"""

from collections.abc import Sequence

from cryptography.hazmat.primitives import constant_time, hashes, hmac

from dahliabend.membership.codec import MAX_DATAGRAM_BYTES, TAG_BYTES

MIN_KEY_BYTES = 32
# Fed into the HMAC before the data, so that a tag made with the same key for another purpose is not valid
# here.
DOMAIN_SEPARATOR = b"dahliabend members 1\0"


class DatagramAuthenticator:
    """Signs outgoing datagrams and verifies incoming ones.

    >>> old = DatagramAuthenticator([b"o" * 32])
    >>> new = DatagramAuthenticator([b"n" * 32, b"o" * 32])
    >>> new.verify(old.sign(b"hello")), old.verify(new.sign(b"hello")), new.verify(b"hello" * 9)
    (b'hello', None, None)
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        self._contexts = [hmac.HMAC(key, hashes.SHA256()) for key in keys]
        for context in self._contexts:
            context.update(DOMAIN_SEPARATOR)

    def sign(self, data: bytes) -> bytes:
        """Return the datagram with the tag of the first key appended."""
        return data + _tag(self._contexts[0], data)

    def verify(self, data: bytes) -> bytes | None:
        """Return the datagram without its tag, or None if the tag matches no key.

        The size is checked first, which bounds the cost of an arbitrary datagram.
        """
        if not TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            return None
        payload = data[:-TAG_BYTES]
        tag = data[-TAG_BYTES:]
        for context in self._contexts:
            if constant_time.bytes_eq(_tag(context, payload), tag):
                return payload
        return None


def _tag(context: hmac.HMAC, data: bytes) -> bytes:
    keyed = context.copy()
    keyed.update(data)
    return keyed.finalize()[:TAG_BYTES]


def parse_key(raw: bytes) -> bytes:
    """Return the key in the content of a key file: the content without surrounding white space.

    Raises:
        ValueError: The key is too short.
    """
    key = raw.strip()
    if len(key) < MIN_KEY_BYTES:
        raise ValueError(f"{len(key)} bytes; a key has {MIN_KEY_BYTES} at least")
    return key
