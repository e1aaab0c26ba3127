"""Datagrams between members: msgpack by msgspec, a version and a serial in each, 1,400 bytes at most."""

from enum import IntEnum

import msgspec

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1_400  # bytes of a datagram, with its seal
TAG_BYTES = 16  # bytes of it that the seal takes
MAX_TEXT_LENGTH = 64  # bytes of a name, a zone or an address
MAX_UNREACHABLE_PEERS = 8  # names that one can't reach, told


class MemberStatus(IntEnum):
    """Of a member, as told; of one incarnation a later one outdoes an earlier one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, array_like=True, frozen=True):
    """What is said of one member: of which life and incarnation, and by whom. What it says of itself, also
    whom it can't reach, goes with its incarnation."""

    name: str
    generation: int
    incarnation: int
    status: MemberStatus
    address: str
    zone: str = ""
    weight: float = 1.0
    reported_by: str = ""
    unreachable_peers: tuple[str, ...] = ()


class Ping(msgspec.Struct, array_like=True, tag="p", frozen=True):
    probe_number: int
    name: str  # whom it is meant for: another may have its address by now


class PingRequest(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """Ping that one for me."""

    probe_number: int
    name: str
    address: str


class Ack(msgspec.Struct, array_like=True, tag="a", frozen=True):
    probe_number: int
    direct: bool = True  # from the one that was pinged, not by way of another


class Nack(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """I am there, and it has not answered me either."""

    probe_number: int


class Sync(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A part of the table, for those that join and against what gossip lost; `wants`: yours, please. `size`
    is how many are known there."""

    reply_requested: bool
    member_count: int = 0


class UserMessage(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """For what stands on membership; what is in it is that part's to read."""

    data: bytes


Message = Ping | PingRequest | Ack | Nack | Sync | UserMessage


class Packet(msgspec.Struct, array_like=True, frozen=True):
    version: int
    sender: str
    generation: int
    sequence_number: int  # counts the datagrams of a life
    message: Message
    updates: list[Update]


class _EncodedPacket(msgspec.Struct, array_like=True):
    """As `Packet`, with rumours that are encoded already."""

    version: int
    sender: str
    generation: int
    sequence_number: int
    message: Message
    updates: list[msgspec.Raw]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Packet).decode


def encode_update(update: Update) -> bytes:
    """A rumour as it stands in a datagram."""
    return _encode(update)


def encode_packet(sender: str, life: int, serial: int, body: Message, updates) -> tuple[bytes, int]:
    """The datagram, and how many of the packed rumours found room in it; these are the first ones."""
    room = (
        MAX_DATAGRAM_BYTES
        - TAG_BYTES
        - len(_encode(_EncodedPacket(PROTOCOL_VERSION, sender, life, serial, body, [])))
        - 4
    )
    given: list[msgspec.Raw] = []
    for update in updates:
        room -= len(update)
        if room < 0:
            break
        given.append(msgspec.Raw(update))
    return _encode(_EncodedPacket(PROTOCOL_VERSION, sender, life, serial, body, given)), len(given)


class DatagramError(ValueError):
    """A datagram that is dropped; its text is the kind that is counted."""


def decode_packet(data: bytes) -> Packet:
    """Refused for what is oversized, can't be read, or is of another version."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("oversized")
    try:
        packet = _decode(data)
    except (ValueError, RecursionError):  # msgspec's errors are ValueErrors
        raise DatagramError("newer" if _version(data) > PROTOCOL_VERSION else "unreadable") from None
    if packet.version != PROTOCOL_VERSION:
        raise DatagramError("newer" if packet.version > PROTOCOL_VERSION else "unreadable")
    if (
        not all(_is_valid(update) for update in packet.updates)
        or not 0 < len(packet.sender) <= MAX_TEXT_LENGTH
    ):
        raise DatagramError("unreadable")
    return packet


def _version(data: bytes) -> int:
    """The version of a datagram in another form; 0 where none is to be read. A small number is a byte."""
    return data[1] if len(data) > 1 and 0x90 <= data[0] <= 0x9F and data[1] < 0x80 else 0


def _is_valid(update: Update) -> bool:
    texts = (update.name, update.address, update.zone, update.reported_by, *update.unreachable_peers)
    return (
        all(len(text) <= MAX_TEXT_LENGTH for text in texts)
        and bool(update.name)
        and len(update.unreachable_peers) <= MAX_UNREACHABLE_PEERS
        and 0 < update.weight < 1e9
        and min(update.generation, update.incarnation) >= 0
    )
