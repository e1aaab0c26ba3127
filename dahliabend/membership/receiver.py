"""Decoding and checks of incoming datagrams before the protocol processes them."""

from collections import Counter
from collections.abc import Sequence

from dahliabend.errors import DatagramError
from dahliabend.membership.anti_entropy import AntiEntropy
from dahliabend.membership.codec import DropReason, decode_packet
from dahliabend.membership.local_member import LocalMember
from dahliabend.membership.member_table import MemberTable
from dahliabend.membership.messages import MemberStatus, Packet, Update
from dahliabend.membership.replay_window import ReplayFilter

FAILURE_STATUSES = (MemberStatus.SUSPECT, MemberStatus.DEAD)


class PacketReceiver:
    """Decodes datagrams and drops those that are unreadable, replayed or of an earlier generation.

    Attributes:
        dropped: Number of dropped datagrams by reason.
        last_received_at: Time in microseconds at which the last datagram was accepted.
        replay_filter: Windows of received sequence numbers by sender.
    """

    __slots__ = ("_anti_entropy", "_local", "_table", "dropped", "last_received_at", "replay_filter")

    def __init__(
        self, local: LocalMember, table: MemberTable, anti_entropy: AntiEntropy, replay_filter: ReplayFilter
    ) -> None:
        self._local = local
        self._table = table
        self._anti_entropy = anti_entropy
        self.replay_filter = replay_filter
        self.dropped: Counter[str] = Counter()
        self.last_received_at = 0

    def receive(self, now: int, data: bytes, source: str) -> Packet | None:
        """Decode a datagram.

        Args:
            now: Current time in microseconds.
            data: The datagram without its authentication tag.
            source: Address of its sender.

        Returns:
            The packet, or None if the datagram is dropped.
        """
        try:
            packet = decode_packet(data)
            if packet.sender == self._local.name and packet.generation == self._local.generation:
                return None  # a datagram of this member itself, sent back to it
            self._check_freshness(packet, source)
        except DatagramError as error:
            self.dropped[error.reason] += 1
            return None
        self.last_received_at = now
        return packet

    def credible_updates(self, packet: Packet) -> Sequence[Update]:
        """Return the updates of a packet without those that its sender cannot know reliably.

        A sender that has departed, or that most members cannot reach, may itself have lost contact: its
        reports that other members are suspected or dead are ignored.
        """
        sender = self._table.members.get(packet.sender)
        if sender is None or (sender.is_present and not self._table.is_unreachable(packet.sender)):
            return packet.updates
        local_name = self._local.name
        return [
            update
            for update in packet.updates
            if update.name == local_name or update.status not in FAILURE_STATUSES
        ]

    def copy_state(self, original: "PacketReceiver") -> None:
        """Copy the state of another receiver into this one."""
        self.replay_filter.copy_state(original.replay_filter)
        self.dropped = original.dropped.copy()
        self.last_received_at = original.last_received_at

    def _check_freshness(self, packet: Packet, source: str) -> None:
        # A process of the same name elsewhere counts as another sender.
        sender_key = f"{packet.sender} {source}"
        if self.replay_filter.is_stale_generation(sender_key, packet.generation):
            self._send_known_generation(packet.sender, source)
            raise DatagramError(DropReason.STALE_GENERATION)
        if not self.replay_filter.accept(sender_key, packet.generation, packet.sequence_number):
            raise DatagramError(DropReason.REPLAYED)

    def _send_known_generation(self, name: str, source: str) -> None:
        """Send the known update about a member to a sender of an earlier generation of it.

        The sender may be a new process whose generation is too low because its clock was set back.
        """
        member = self._table.members.get(name)
        if member is not None and source == member.address:
            self._anti_entropy.send_updates(source, [member.encoded_update])
