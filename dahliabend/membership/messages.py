"""Messages between members.

All of them are encoded as arrays: a field is identified by its position, so that its name may change but its
position may not.
"""

from enum import IntEnum

import msgspec


class MemberStatus(IntEnum):
    """Status of a member in an update; within one incarnation a higher status overrides a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


PRESENT_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class Update(msgspec.Struct, array_like=True, frozen=True):
    """The status of one member, as reported by that member or by another one.

    Attributes:
        name: Name of the member that the update is about.
        generation: Start time of the member's process, raised above those of earlier ones of the same name.
        incarnation: Number that rises with each of the member's updates about itself in this generation,
            refutations included.
        status: Status of the member.
        address: Host and port that the member listens on.
        zone: Zone that the member runs in.
        weight: The member's share of the work, relative to the other members.
        reported_by: Name of the member whose observation this is.
        unreachable_peers: Names of the members that the member cannot reach directly.
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
        probe_number: Number that the `Ack` repeats.
        name: Name of the pinged member; the address may by now belong to another one.
    """

    probe_number: int
    name: str


class PingRequest(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """Asks a member to ping another one on behalf of the sender: an indirect ping.

    Attributes:
        probe_number: Number that the `Ack` or `Nack` repeats.
        name: Name of the member to ping.
        address: Host and port of that member.
    """

    probe_number: int
    name: str
    address: str


class Ack(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """The answer to a ping.

    Attributes:
        probe_number: Number of the ping or of the ping request.
        direct: Whether it comes from the pinged member itself, not from a member that pinged it on request.
    """

    probe_number: int
    direct: bool = True


class Nack(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """The answer to a ping request whose ping was not answered; it shows that the sender itself is reachable.

    Attributes:
        probe_number: Number of the ping request.
    """

    probe_number: int


class Sync(msgspec.Struct, array_like=True, tag="w", frozen=True):
    """Anti-entropy: marks a packet whose updates are a part of the sender's member table.

    Attributes:
        reply_requested: Whether the receiver is asked to send its table.
        member_count: Number of members that are present according to the sender, itself included.
    """

    reply_requested: bool
    member_count: int = 0


class UserMessage(msgspec.Struct, array_like=True, tag="s", frozen=True):
    """A payload of another component, which membership transports without reading it.

    Attributes:
        data: The payload.
    """

    data: bytes


Message = Ping | PingRequest | Ack | Nack | Sync | UserMessage


class Packet(msgspec.Struct, array_like=True, frozen=True):
    """One datagram: a message and the updates that it carries.

    Attributes:
        version: Version of this format.
        sender: Name of the sender.
        generation: Generation of the sender.
        sequence_number: Number of the datagram within the sender's generation.
        message: The message.
        updates: The updates: those piggybacked on the message, or those chosen for a `Sync`.
    """

    version: int
    sender: str
    generation: int
    sequence_number: int
    message: Message
    updates: list[Update]
