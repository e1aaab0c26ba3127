"""Membership datagrams byte for byte: each message type, its authentication, and a member's transcript.

Clusters run two versions at once during a roll-out, and each version must read the datagrams of the other.
"""

import json
from random import Random

import pytest
from golden_files import as_json, read_golden, write_golden

from dahliabend.membership import codec
from dahliabend.membership.authentication import DatagramAuthenticator, parse_key
from dahliabend.membership.messages import (
    Ack,
    MemberStatus,
    Message,
    Nack,
    Packet,
    Ping,
    PingRequest,
    Sync,
    Update,
    UserMessage,
)
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig

KINDS_GOLDEN = "membership_datagrams.json"
TRANSCRIPT_GOLDEN = "membership_transcript.json"
OLD_KEY, NEW_KEY = b"the-old-key-of-all-thirty-two-bytes", b"the-new-key-of-all-thirty-two-bytes"
SECOND = 1_000_000
START = 5 * SECOND
NAME, ADDRESS, SEEDS = "b1", "10.0.0.1:7946", ["10.0.0.1:7946", "10.0.0.2:7946", "10.0.0.3:7946"]

# Arguments are passed by name, so that a field that moves to another place in the encoded array is noticed.
UPDATES = {
    "alive": Update(
        name="b2", generation=7, incarnation=3, status=MemberStatus.ALIVE,
        address="10.0.0.2:7946", zone="zone-a",
        weight=2.5, reported_by="b2", unreachable_peers=("b4", "b5"),
    ),
    "suspected": Update(
        name="b3", generation=1_764_653_000_000_000, incarnation=0, status=MemberStatus.SUSPECT,
        address="10.0.0.3:7946", reported_by="b2",
    ),
    "dead": Update(
        name="b4", generation=0, incarnation=300, status=MemberStatus.DEAD,
        address="10.0.0.4:7946", zone="zone-b",
        weight=120.0, reported_by="b1",
    ),
    "left": Update(
        name="bälter", generation=70_000, incarnation=1, status=MemberStatus.LEFT, address="10.0.0.5:7946",
        zone="zone-b", weight=0.5, reported_by="bälter",
    ),
}  # fmt: skip
BODIES: dict[str, Message] = {
    "ping": Ping(probe_number=4_000_000_000, name="b2"),
    "indirect ping": PingRequest(probe_number=17, name="b3", address="10.0.0.3:7946"),
    "acknowledgement": Ack(probe_number=17),
    "acknowledgement by way of another": Ack(probe_number=17, direct=False),
    "negative acknowledgement": Nack(probe_number=17),
    "table, asking for the other's": Sync(reply_requested=True, member_count=3),
    "table, as an answer": Sync(reply_requested=False, member_count=200),
    "payload of another part": UserMessage(data=b"\x00\x01payload"),
}
GENERATION, SEQUENCE_NUMBER = 1_764_653_000_000_000, 260


def encode(body: Message, updates: list[Update]) -> bytes:
    """Return a datagram that carries all of these updates."""
    data, update_count = codec.encode_packet(
        NAME, GENERATION, SEQUENCE_NUMBER, body, [codec.encode_update(update) for update in updates]
    )
    assert update_count == len(updates)
    return data


def messages() -> dict[str, tuple[Message, list[Update]]]:
    """Return each message without updates, a ping with each update, and one message with all updates."""
    cases: dict[str, tuple[Message, list[Update]]] = {name: (body, []) for name, body in BODIES.items()}
    cases |= {f"ping with one {name}": (BODIES["ping"], [update]) for name, update in UPDATES.items()}
    cases["acknowledgement with all updates"] = (BODIES["acknowledgement"], list(UPDATES.values()))
    return cases


def produce_kinds() -> str:
    """Return each message in hexadecimal, without authentication and signed with the old key."""
    authenticator, datagrams = DatagramAuthenticator([OLD_KEY, NEW_KEY]), {}
    for name, (body, updates) in messages().items():
        data = encode(body, updates)
        datagrams[name] = {"datagram": data.hex(), "sealed": authenticator.sign(data).hex()}
    return as_json(datagrams)


def test_each_message_is_encoded_and_signed_as_in_the_golden_file() -> None:
    assert produce_kinds() == read_golden(KINDS_GOLDEN)


@pytest.mark.parametrize("name", messages())
def test_recorded_datagram_is_verified_and_decoded(name: str) -> None:
    golden = json.loads(read_golden(KINDS_GOLDEN))[name]
    data = DatagramAuthenticator([NEW_KEY, OLD_KEY]).verify(bytes.fromhex(golden["sealed"]))
    assert data is not None
    assert data.hex() == golden["datagram"]
    body, updates = messages()[name]
    assert codec.decode_packet(data) == Packet(
        version=1,
        sender=NAME,
        generation=GENERATION,
        sequence_number=SEQUENCE_NUMBER,
        message=body,
        updates=updates,
    )


def test_member_statuses_keep_their_numbers() -> None:
    states = [MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD, MemberStatus.LEFT]
    assert [int(state) for state in states] == [0, 1, 2, 3]


def test_key_file_is_read_without_surrounding_whitespace() -> None:
    assert parse_key(b"\n " + OLD_KEY + b" \n") == OLD_KEY


def test_datagram_limits_keep_their_values() -> None:
    assert (
        codec.PROTOCOL_VERSION,
        codec.MAX_DATAGRAM_BYTES,
        codec.TAG_BYTES,
        codec.MAX_TEXT_LENGTH,
        codec.MAX_UNREACHABLE_PEERS,
    ) == (1, 1_400, 16, 64, 8)
    encoded_updates = [codec.encode_update(UPDATES["alive"])] * 100
    data, update_count = codec.encode_packet(
        NAME, GENERATION, SEQUENCE_NUMBER, BODIES["ping"], encoded_updates
    )
    assert (len(data), update_count) == (1_347, 28)


# The transcript covers fifty seconds of one member in a cluster of four. For a while b4 was reachable only
# through another member; b3 joined, was killed and came back; b2 left. An input is a time, a name and its
# arguments.


def new_member() -> MembershipProtocol:
    """Return the member whose transcript is pinned, before its start."""
    config = SwimConfig(sync_interval=10, suspicion_multiplier=2.0)
    return MembershipProtocol(NAME, 1_000, ADDRESS, config, Random(11), "zone-a", 2.0)


def apply_input(protocol: MembershipProtocol, at: int, name: str, arguments: list) -> None:
    """Apply one input of the transcript to the member."""
    if name == "start":
        protocol.start(at, arguments)
    elif name == "received":
        protocol.receive_datagram(at, bytes.fromhex(arguments[0]), arguments[1])
    elif name == "timer":
        protocol.timer_fired(at)
    elif name == "weight":
        protocol.update_self(at, weight=arguments[0])
    elif name == "say":
        protocol.send_user_message(arguments[0], bytes.fromhex(arguments[1]))
    elif name == "leave":
        protocol.leave(at)
    else:
        raise ValueError(f"unknown input {name!r} in the transcript")


def take_outputs(protocol: MembershipProtocol) -> dict[str, list]:
    """Take the outputs of one input from the member; return those that are not empty."""
    outputs = {
        "datagrams": [[address, data.hex()] for address, data in protocol.outgoing],
        "events": [[e.at, e.kind, e.name, e.reported_by, e.incarnation] for e in protocol.events],
        "payloads": [data.hex() for data in protocol.user_messages],
    }
    protocol.take_outgoing()
    protocol.take_events()
    protocol.take_user_messages()
    return {name: values for name, values in outputs.items() if values}


def final_state(protocol: MembershipProtocol, at: int) -> dict:
    """Return the state of the member at the end: its view, and what it would hand over."""
    view = protocol.view(at)
    members = [
        [
            m.name,
            m.address,
            m.zone,
            m.weight,
            m.generation,
            m.incarnation,
            m.state,
            m.since,
            m.reported_by,
            list(m.unreachable_peers),
        ]
        for m in view.members
    ]
    return {
        "members": members, "mark": view.checksum, "version": view.version, "stable": view.stable,
        "cut": view.possibly_partitioned,
        "outcast": view.exclusion, "age": view.time_since_contact, "confidence": view.confidence,
        "timer": protocol.timer_due,
        "serial": protocol.sequence_number, "refused": dict(protocol.dropped_datagrams),
    }  # fmt: skip


def replay(golden: dict) -> dict:
    """Apply the inputs of a transcript to a new member; return the transcript with the present outputs."""
    protocol, steps, at = new_member(), [], 0
    for step in golden["steps"]:
        at, name, arguments = step["input"]
        apply_input(protocol, at, name, arguments)
        steps.append({"input": step["input"], **take_outputs(protocol)})
    return {"steps": steps, "end": final_state(protocol, at)}


def test_replayed_inputs_lead_to_the_recorded_datagrams_events_and_state() -> None:
    golden = json.loads(read_golden(TRANSCRIPT_GOLDEN))
    assert replay(golden) == golden


def test_transcript_contains_every_message_type_and_most_events() -> None:
    golden = json.loads(read_golden(TRANSCRIPT_GOLDEN))
    datagrams = [data for step in golden["steps"] for _, data in step.get("datagrams", [])]
    sent = [codec.decode_packet(bytes.fromhex(data)) for data in datagrams]
    assert {type(packet.message) for packet in sent} == {Ping, PingRequest, Ack, Nack, Sync, UserMessage}
    assert {update.status for packet in sent for update in packet.updates} == set(MemberStatus)
    events = {event[1] for step in golden["steps"] for event in step.get("events", [])}
    assert events >= {"joined", "suspected", "refuted", "left", "died", "unreached", "reached", "returned"}


if __name__ == "__main__":
    write_golden(KINDS_GOLDEN, produce_kinds())
    transcript = replay(json.loads(read_golden(TRANSCRIPT_GOLDEN)))  # the same inputs
    text = json.dumps(transcript, separators=(",", ":"))
    write_golden(TRANSCRIPT_GOLDEN, text.replace('{"input"', '\n{"input"') + "\n")
