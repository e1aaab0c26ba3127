"""What a member does about each kind of message."""

from dahliabend.membership.events import EventKind
from dahliabend.membership.messages import Ack, Nack, Packet, Ping, PingRequest, Sync, UserMessage
from dahliabend.membership.parts import Parts
from dahliabend.membership.view import Exclusion

MAX_PENDING_USER_MESSAGES = 64  # that wait for the owner


class MessageHandler:
    """Handles the message of a packet, once its updates have been applied.

    Attributes:
        user_messages: Payloads of user messages that the owner has not taken yet.
    """

    __slots__ = ("_parts", "user_messages")

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self.user_messages: list[bytes] = []

    def take_user_messages(self) -> list[bytes]:
        """Return the payloads of user messages since the last call."""
        user_messages = self.user_messages
        self.user_messages = []
        return user_messages

    def handle(self, now: int, packet: Packet, source: str) -> None:
        """Handle a message.

        Args:
            now: Microseconds.
            packet: The packet that it came in.
            source: Address of the sender.
        """
        match packet.message:
            case Ping() as ping:
                self._handle_ping(ping, source)
            case PingRequest() as request:
                self._parts.detector.relay_ping(now, request, source)
            case Ack() as ack:
                self._handle_ack(now, ack)
            case Nack() as nack:
                self._parts.detector.receive_nack(nack)
            case UserMessage() as user_message:
                self._handle_user_message(packet, user_message)
            case Sync() as sync:
                self._handle_sync(packet, sync, source)

    def _handle_ping(self, ping: Ping, source: str) -> None:
        if ping.name == self._parts.local.name:  # else it is meant for a member that had this address
            self._parts.disseminator.send_piggybacked(source, Ack(ping.probe_number))

    def _handle_ack(self, now: int, ack: Ack) -> None:
        parts = self._parts
        probed = parts.detector.receive_ack(ack)
        if probed is None:
            return
        parts.health.improve()
        if parts.local.exclusion is Exclusion.DEAD:
            parts.local.exclusion = Exclusion.NONE
            parts.events.record(now, EventKind.READMITTED, parts.local.name, probed)
        parts.reachability.record_ack(now, probed, direct=ack.direct)

    def _handle_user_message(self, packet: Packet, message: UserMessage) -> None:
        """Keep a payload for the owner; not from a departed member, nor from an earlier generation."""
        member = self._parts.table.members.get(packet.sender)
        if member is None or not member.is_present or member.update.generation != packet.generation:
            return
        if len(self.user_messages) < MAX_PENDING_USER_MESSAGES:
            self.user_messages.append(message.data)

    def _handle_sync(self, packet: Packet, sync: Sync, source: str) -> None:
        anti_entropy = self._parts.anti_entropy
        if sync.reply_requested:
            anti_entropy.answer(source, sync, [update.name for update in packet.updates])
        elif anti_entropy.knows_enough(sync.member_count):
            self._parts.schedule.unsettled_until = 0
