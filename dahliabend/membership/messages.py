"""Messages between members, as types.

All of them are encoded as arrays: a field is told by its position, so its name may change and its place may
not.
"""

from enum import IntEnum

import msgspec


class MemberStatus(IntEnum):
    """Status of a member in an update; of one incarnation, a higher status overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


PRESENT_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class Update(msgspec.Struct, array_like=True, frozen=True):
    """The status of one member, as one member reported it.

    Attributes:
        name: The member it is about.
        generation: Tells the processes of one name apart; a later process has a higher one.
        incarnation: Counts what the member has said of itself, refutations included.
        status: Its status.
        address: Host and port that it listens on.
        zone: Zone that it runs in.
        weight: Its share of the work, relative to the other members.
        reported_by: The member whose observation this is.
        unreachable_peers: Members that it cannot reach itself, by name.
    """

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
    """Asks a member for an `Ack`.

    Attributes:
        probe_number: Number that the answer repeats.
        name: The member that is meant; another may have its address by now.
    """

    probe_number: int
    name: str


class PingRequest(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """Asks a member to ping another one on behalf of the sender: an indirect ping.

    Attributes:
        probe_number: Number that the answer repeats.
        name: The member to ping.
        address: Its host and port.
    """

    probe_number: int
    name: str
    address: str


class Ack(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """The answer to a ping.

    Attributes:
        probe_number: Number of the ping or of the ping request.
        direct: Sent by the member that was pinged, not by one that pinged it on request.
    """

    probe_number: int
    direct: bool = True


class Nack(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """The answer to a ping request whose ping had no answer: the sender itself is reachable.

    Attributes:
        probe_number: Number of the ping request.
    """

    probe_number: int


class Sync(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """A part of the member table as updates: anti-entropy, and what a joining member begins with.

    Attributes:
        reply_requested: The receiver is asked for its table.
        member_count: Members that the sender knows to be present, itself included.
    """

    reply_requested: bool
    member_count: int = 0


class UserMessage(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """A payload of another component; membership carries it and does not read it.

    Attributes:
        data: The payload.
    """

    data: bytes


Message = Ping | PingRequest | Ack | Nack | Sync | UserMessage


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """One datagram: a message and the updates that are piggybacked on it.

    Attributes:
        version: Version of this format.
        sender: Name of the sender.
        generation: Generation of the sender.
        sequence_number: Counts the datagrams of one generation of the sender.
        message: The message.
        updates: Updates that travel with it.
    """

    version: int
    sender: str
    generation: int
    sequence_number: int
    message: Message
    updates: list[Update]
