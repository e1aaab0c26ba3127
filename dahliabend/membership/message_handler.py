"""Handling of received messages by their type."""

from dahliabend.membership.components import ProtocolComponents
from dahliabend.membership.events import EventKind
from dahliabend.membership.messages import Ack, Nack, Packet, Ping, PingRequest, Sync, UserMessage
from dahliabend.membership.view import Exclusion

MAX_PENDING_USER_MESSAGES = 64  # further ones are dropped until the owner takes them


class MessageHandler:
    """Handles the message of a packet, once its updates have been applied.

    Attributes:
        user_messages: Payloads of user messages that the owner has not taken yet.
    """

    __slots__ = ("_components", "user_messages")

    def __init__(self, components: ProtocolComponents) -> None:
        self._components = components
        self.user_messages: list[bytes] = []

    def take_user_messages(self) -> list[bytes]:
        """Return the payloads of user messages received since the last call."""
        user_messages = self.user_messages
        self.user_messages = []
        return user_messages

    def handle(self, now: int, packet: Packet, source: str) -> None:
        """Handle a message.

        Args:
            now: Microseconds.
            packet: The packet that contains it.
            source: Address of the sender.
        """
        match packet.message:
            case Ping() as ping:
                self._handle_ping(ping, source)
            case PingRequest() as request:
                self._components.detector.relay_ping(now, request, source)
            case Ack() as ack:
                self._handle_ack(now, ack)
            case Nack() as nack:
                self._components.detector.receive_nack(nack)
            case UserMessage() as user_message:
                self._handle_user_message(packet, user_message)
            case Sync() as sync:
                self._handle_sync(packet, sync, source)

    def _handle_ping(self, ping: Ping, source: str) -> None:
        # A ping with another name is meant for an earlier member at this address.
        if ping.name == self._components.local.name:
            self._components.disseminator.send_piggybacked(source, Ack(ping.probe_number))

    def _handle_ack(self, now: int, ack: Ack) -> None:
        components = self._components
        probed = components.detector.receive_ack(ack)
        if probed is None:
            return
        components.health.improve()
        if components.local.exclusion is Exclusion.DEAD:
            components.local.exclusion = Exclusion.NONE
            components.events.record(now, EventKind.READMITTED, components.local.name, probed)
        components.reachability.record_ack(now, probed, direct=ack.direct)

    def _handle_user_message(self, packet: Packet, message: UserMessage) -> None:
        """Store a payload for the owner, unless the sender has departed or is of another generation."""
        member = self._components.table.members.get(packet.sender)
        if member is None or not member.is_present or member.update.generation != packet.generation:
            return
        if len(self.user_messages) < MAX_PENDING_USER_MESSAGES:
            self.user_messages.append(message.data)

    def _handle_sync(self, packet: Packet, sync: Sync, source: str) -> None:
        anti_entropy = self._components.anti_entropy
        if sync.reply_requested:
            anti_entropy.reply(source, sync, [update.name for update in packet.updates])
        elif anti_entropy.has_sufficient_table(sync.member_count):
            self._components.schedule.unsettled_until = 0
