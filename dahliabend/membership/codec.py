"""Encoding of datagrams: msgpack with a version and a sequence number, at most `MAX_DATAGRAM_BYTES` each."""

from collections.abc import Sequence
from enum import StrEnum

import msgspec

from dahliabend.errors import DatagramError
from dahliabend.membership.messages import Message, Packet, Update

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1_400  # authentication tag included
TAG_BYTES = 16  # authentication tag at the end of a datagram
MAX_TEXT_LENGTH = 64  # characters of a name, a zone or an address
MAX_UNREACHABLE_PEERS = 8  # names in one update
MAX_WEIGHT = 1e9
ARRAY_HEADER_GROWTH = 4  # bytes by which the msgpack header of the array of updates grows with its length

# A packet of another version cannot be decoded, but its version can be read: msgpack encodes the header of an
# array of up to 15 items as one byte from 0x90 to 0x9F, and an integer below 128 as one byte of that value.
FIXARRAY_MIN = 0x90
FIXARRAY_MAX = 0x9F
FIXINT_LIMIT = 0x80
VERSION_PREFIX_BYTES = 2  # array header and version


class DropReason(StrEnum):
    """Why a datagram is dropped; the values are the keys of the drop counters shown to operators."""

    OVERSIZED = "oversized"
    UNREADABLE = "unreadable"
    NEWER_VERSION = "newer"
    NOT_AUTHENTICATED = "foreign"
    STALE_GENERATION = "former"
    REPLAYED = "replayed"


class _EncodedPacket(msgspec.Struct, array_like=True):
    """A `Packet` with its updates already encoded."""

    version: int
    sender: str
    generation: int
    sequence_number: int
    message: Message
    updates: list[msgspec.Raw]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Packet).decode


def encode_update(update: Update) -> bytes:
    """Encode an update as a datagram contains it."""
    return _encode(update)


def encode_packet(
    sender: str, generation: int, sequence_number: int, message: Message, updates: Sequence[bytes]
) -> tuple[bytes, int]:
    """Encode a datagram with as many of the updates as fit, in their order.

    Args:
        sender: Name of the sender.
        generation: Generation of the sender.
        sequence_number: Number of this datagram.
        message: The message.
        updates: Updates encoded by `encode_update`.

    Returns:
        The datagram without its authentication tag, and how many updates it carries.
    """
    packet = _EncodedPacket(PROTOCOL_VERSION, sender, generation, sequence_number, message, [])
    available = MAX_DATAGRAM_BYTES - TAG_BYTES - len(_encode(packet)) - ARRAY_HEADER_GROWTH
    for update in updates:
        available -= len(update)
        if available < 0:
            break
        packet.updates.append(msgspec.Raw(update))
    return _encode(packet), len(packet.updates)


def decode_packet(data: bytes) -> Packet:
    """Decode and validate a datagram.

    Args:
        data: The datagram without its authentication tag.

    Returns:
        The packet; all lengths and numbers in it are within their bounds.

    Raises:
        DatagramError: The datagram is oversized, unreadable, or of a newer protocol version.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError(DropReason.OVERSIZED)
    try:
        packet = _decode(data)
    except (ValueError, RecursionError):  # msgspec's errors are ValueErrors
        raise _version_error(_read_version(data)) from None
    if packet.version != PROTOCOL_VERSION:
        raise _version_error(packet.version)
    if not 0 < len(packet.sender) <= MAX_TEXT_LENGTH or not all(map(_is_valid, packet.updates)):
        raise DatagramError(DropReason.UNREADABLE)
    return packet


def _version_error(version: int) -> DatagramError:
    return DatagramError(DropReason.NEWER_VERSION if version > PROTOCOL_VERSION else DropReason.UNREADABLE)


def _read_version(data: bytes) -> int:
    """Return the protocol version of a datagram that cannot be decoded, or 0 if it has none."""
    if len(data) < VERSION_PREFIX_BYTES:
        return 0
    header = data[0]
    version = data[1]
    return version if FIXARRAY_MIN <= header <= FIXARRAY_MAX and version < FIXINT_LIMIT else 0


def _is_valid(update: Update) -> bool:
    texts = (update.name, update.address, update.zone, update.reported_by, *update.unreachable_peers)
    return (
        all(len(text) <= MAX_TEXT_LENGTH for text in texts)
        and bool(update.name)
        and len(update.unreachable_peers) <= MAX_UNREACHABLE_PEERS
        and 0 < update.weight < MAX_WEIGHT
        and min(update.generation, update.incarnation) >= 0
    )
