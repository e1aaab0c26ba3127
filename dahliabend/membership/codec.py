"""Datagrams between members: msgpack by msgspec, a version and a serial in each, 1,400 bytes at most."""

from enum import IntEnum

import msgspec

VERSION = 1
MOST = 1_400  # bytes of a datagram, with its seal
SEAL = 16  # bytes of it that the seal takes
LONGEST = 64  # bytes of a name, a zone or an address
MOST_CANNOT = 8  # names that one can't reach, told


class Standing(IntEnum):
    """Of a member, as told; of one incarnation a later one outdoes an earlier one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumour(msgspec.Struct, array_like=True, frozen=True):
    """What is said of one member: of which life and incarnation, and by whom. What it says of itself, also
    whom it can't reach, goes with its incarnation."""

    name: str
    life: int
    incarnation: int
    standing: Standing
    address: str
    zone: str = ""
    weight: float = 1.0
    by: str = ""
    cannot: tuple[str, ...] = ()


class Ping(msgspec.Struct, array_like=True, tag="p", frozen=True):
    number: int
    name: str  # whom it is meant for: another may have its address by now


class Ask(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """Ping that one for me."""

    number: int
    name: str
    address: str


class Ack(msgspec.Struct, array_like=True, tag="a", frozen=True):
    number: int
    straight: bool = True  # from the one that was pinged, not by way of another


class Nack(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """I am there, and it has not answered me either."""

    number: int


class Whole(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A part of the table, for those that join and against what gossip lost; `wants`: yours, please. `size`
    is how many are known there."""

    wants: bool
    size: int = 0


class Said(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """For what stands on membership; what is in it is that part's to read."""

    data: bytes


Body = Ping | Ask | Ack | Nack | Whole | Said


class Packet(msgspec.Struct, array_like=True, frozen=True):
    version: int
    sender: str
    life: int
    serial: int  # counts the datagrams of a life
    body: Body
    rumours: list[Rumour]


class _Outgoing(msgspec.Struct, array_like=True):
    """As `Packet`, with rumours that are encoded already."""

    version: int
    sender: str
    life: int
    serial: int
    body: Body
    rumours: list[msgspec.Raw]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Packet).decode


def pack(rumour: Rumour) -> bytes:
    """A rumour as it stands in a datagram."""
    return _encode(rumour)


def encode(sender: str, life: int, serial: int, body: Body, rumours) -> tuple[bytes, int]:
    """The datagram, and how many of the packed rumours found room in it; these are the first ones."""
    room = MOST - SEAL - len(_encode(_Outgoing(VERSION, sender, life, serial, body, []))) - 4
    given: list[msgspec.Raw] = []
    for rumour in rumours:
        room -= len(rumour)
        if room < 0:
            break
        given.append(msgspec.Raw(rumour))
    return _encode(_Outgoing(VERSION, sender, life, serial, body, given)), len(given)


class Refused(ValueError):
    """A datagram that is dropped; its text is the kind that is counted."""


def decode(data: bytes) -> Packet:
    """Refused for what is oversized, can't be read, or is of another version."""
    if len(data) > MOST:
        raise Refused("oversized")
    try:
        packet = _decode(data)
    except (ValueError, RecursionError):  # msgspec's errors are ValueErrors
        raise Refused("newer" if _version(data) > VERSION else "unreadable") from None
    if packet.version != VERSION:
        raise Refused("newer" if packet.version > VERSION else "unreadable")
    if not all(_sound(rumour) for rumour in packet.rumours) or not 0 < len(packet.sender) <= LONGEST:
        raise Refused("unreadable")
    return packet


def _version(data: bytes) -> int:
    """The version of a datagram in another form; 0 where none is to be read. A small number is a byte."""
    return data[1] if len(data) > 1 and 0x90 <= data[0] <= 0x9F and data[1] < 0x80 else 0


def _sound(rumour: Rumour) -> bool:
    texts = (rumour.name, rumour.address, rumour.zone, rumour.by, *rumour.cannot)
    return (
        all(len(text) <= LONGEST for text in texts)
        and bool(rumour.name)
        and len(rumour.cannot) <= MOST_CANNOT
        and 0 < rumour.weight < 1e9
        and min(rumour.life, rumour.incarnation) >= 0
    )
