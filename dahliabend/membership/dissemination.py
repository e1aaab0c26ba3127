"""Dissemination of updates: each is piggybacked on a bounded number of datagrams, the least sent first."""

from collections.abc import Sequence
from math import ceil, log10

from dahliabend.membership.codec import encode_packet, encode_update
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import Message, Update
from dahliabend.membership.swim_config import SwimConfig

Datagram = tuple[str, bytes]  # address of the receiver, datagram without its authentication tag


class Disseminator:
    """Encodes outgoing datagrams and chooses the updates that are piggybacked on them.

    Attributes:
        sequence_number: Number of the last datagram.
        outgoing: Datagrams that the owner has not taken yet.
        unsent: Encoded updates that have not been sent yet, by name of the member.
        sent: Encoded updates that are to be sent again, by name of the member, the least sent ones first.
    """

    __slots__ = (
        "_config",
        "_local",
        "_table",
        "_transmissions",
        "outgoing",
        "sent",
        "sequence_number",
        "unsent",
    )

    def __init__(self, config: SwimConfig, local: LocalMember, table: MemberTable) -> None:
        self._config = config
        self._local = local
        self._table = table
        self.sequence_number = 0
        self.outgoing: list[Datagram] = []
        self.unsent: dict[str, bytes] = {}
        self.sent: dict[str, bytes] = {}
        self._transmissions: dict[str, int] = {}  # how often each update of `sent` was sent

    def enqueue(self, update: Update, encoded: bytes = b"") -> None:
        """Start to disseminate an update; it replaces an earlier one about the same member.

        Args:
            update: The update.
            encoded: The encoded update, if the caller has it.
        """
        self.sent.pop(update.name, None)
        self._transmissions.pop(update.name, None)
        self.unsent[update.name] = encoded or encode_update(update)

    def clear_unsent(self) -> None:
        """Discard the updates that have not been sent yet."""
        self.unsent.clear()

    def send(self, address: str, message: Message, updates: Sequence[bytes]) -> int:
        """Send a message with updates that the caller has chosen.

        Args:
            address: Host and port of the receiver.
            message: The message.
            updates: Encoded updates, the most important first.

        Returns:
            How many of the updates fit into the datagram.
        """
        local = self._local.update
        self.sequence_number += 1
        data, carried = encode_packet(local.name, local.generation, self.sequence_number, message, updates)
        self.outgoing.append((address, data))
        return carried

    def send_piggybacked(self, address: str, message: Message) -> None:
        """Send a message with the updates that are being disseminated, as many as fit.

        Args:
            address: Host and port of the receiver.
            message: The message.
        """
        names = [*self.unsent, *self.sent]
        updates = [*self.unsent.values(), *self.sent.values()]
        carried = self.send(address, message, updates)
        self._count_transmissions(names[:carried], updates)

    def take_outgoing(self) -> list[Datagram]:
        """Return the datagrams queued since the last call."""
        outgoing = self.outgoing
        self.outgoing = []
        return outgoing

    def copy_state(self, original: "Disseminator") -> None:
        """Copy the state of another disseminator into this one."""
        self.sequence_number = original.sequence_number
        self.outgoing = original.outgoing.copy()
        self.unsent = original.unsent.copy()
        self.sent = original.sent.copy()
        self._transmissions = original._transmissions.copy()

    def state_key(self) -> tuple[object, ...]:
        """Return everything that later behaviour depends on, as a hashable value."""
        return (
            self.sequence_number,
            tuple(self.unsent.items()),
            tuple(self.sent.items()),
            tuple(self._transmissions.items()),
        )

    def _count_transmissions(self, names: Sequence[str], encoded: Sequence[bytes]) -> None:
        limit = self._transmission_limit()
        for name, update in zip(names, encoded, strict=False):
            transmissions = self._transmissions.pop(name, 0) + 1
            if transmissions == 1:
                del self.unsent[name]
            else:
                del self.sent[name]
            if transmissions < limit:
                self.sent[name] = update
                self._transmissions[name] = transmissions

    def _transmission_limit(self) -> int:
        # The other known members and this one; one more keeps the logarithm above 0 if there are no others.
        known_members = len(self._table) + 2
        return ceil(self._config.retransmit_multiplier * log10(known_members)) + 1
