"""Datagrams between members: msgpack by msgspec, a version in each, 1,400 bytes at most."""

from enum import IntEnum

import msgspec

VERSION = 1
MOST = 1_400  # bytes of a datagram


class Standing(IntEnum):
    """Of a member, as told; of one incarnation a later one outdoes an earlier one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumour(msgspec.Struct, array_like=True, frozen=True):
    """What is said of one member: of which life and incarnation, and by whom."""

    name: str
    life: int
    incarnation: int
    standing: Standing
    address: str
    zone: str = ""
    weight: float = 1.0
    by: str = ""


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


class Nack(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """I am there, and it has not answered me either."""

    number: int


class Whole(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A part of the table, for those that join and against what gossip lost; `wants`: yours, please."""

    wants: bool


Body = Ping | Ask | Ack | Nack | Whole


class Packet(msgspec.Struct, array_like=True, frozen=True):
    version: int
    sender: str
    life: int
    body: Body
    rumours: list[Rumour]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Packet).decode


def encode(sender: str, life: int, body: Body, rumours: list[Rumour]) -> tuple[bytes, int]:
    """The datagram, and how many of the rumours found room in it; these are the first ones."""
    data = _encode(Packet(VERSION, sender, life, body, []))
    room, count = MOST - len(data) - 4, 0
    for rumour in rumours:
        room -= len(_encode(rumour))
        if room < 0:
            break
        count += 1
    return (_encode(Packet(VERSION, sender, life, body, rumours[:count])) if count else data), count


def decode(data: bytes) -> Packet:
    """ValueError (msgspec's errors are such) for what is oversized, foreign or of another version."""
    if len(data) > MOST:
        raise ValueError(f"{len(data)} bytes, {MOST} at most")
    packet = _decode(data)
    if packet.version != VERSION:
        raise ValueError(f"version {packet.version}, not {VERSION}")
    return packet
