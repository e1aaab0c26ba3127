"""Membership datagrams byte for byte: each kind of message, its seal, and what a state machine sends.

Fleets run two versions side by side during a roll-out: each has to read what the other sends.
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

# Values go by name: one that changes its place in the encoded array shows.
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
    """A datagram of one sender that carries all of these updates."""
    data, carried = codec.encode_packet(
        NAME, GENERATION, SEQUENCE_NUMBER, body, [codec.encode_update(each) for each in updates]
    )
    assert carried == len(updates)
    return data


def messages() -> dict[str, tuple[Message, list[Update]]]:
    """Each kind of body without updates, and each kind of update behind a ping."""
    made: dict[str, tuple[Message, list[Update]]] = {name: (body, []) for name, body in BODIES.items()}
    made |= {f"ping with one {name}": (BODIES["ping"], [update]) for name, update in UPDATES.items()}
    made["acknowledgement with all updates"] = (BODIES["acknowledgement"], list(UPDATES.values()))
    return made


def produce_kinds() -> str:
    """Each message in hexadecimal, plain and sealed with the old key."""
    authenticator, made = DatagramAuthenticator([OLD_KEY, NEW_KEY]), {}
    for name, (body, updates) in messages().items():
        data = encode(body, updates)
        made[name] = {"datagram": data.hex(), "sealed": authenticator.sign(data).hex()}
    return as_json(made)


def test_each_kind_of_message_is_encoded_and_sealed_as_before() -> None:
    assert produce_kinds() == read_golden(KINDS_GOLDEN)


@pytest.mark.parametrize("name", messages())
def test_a_datagram_of_the_version_before_is_opened_and_read(name: str) -> None:
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


def test_the_numbers_of_a_members_states_stay() -> None:
    states = [MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.DEAD, MemberStatus.LEFT]
    assert [int(state) for state in states] == [0, 1, 2, 3]


def test_a_key_file_is_read_without_the_space_around_it() -> None:
    assert parse_key(b"\n " + OLD_KEY + b" \n") == OLD_KEY


def test_the_bounds_of_a_datagram_stay() -> None:
    assert (
        codec.PROTOCOL_VERSION,
        codec.MAX_DATAGRAM_BYTES,
        codec.TAG_BYTES,
        codec.MAX_TEXT_LENGTH,
        codec.MAX_UNREACHABLE_PEERS,
    ) == (1, 1_400, 16, 64, 8)
    many = [codec.encode_update(UPDATES["alive"])] * 100
    data, carried = codec.encode_packet(NAME, GENERATION, SEQUENCE_NUMBER, BODIES["ping"], many)
    assert (len(data), carried) == (1_347, 28)


# The transcript is of one member of four over fifty seconds: b4 was reached only by way of another for a
# while, b3 joined, was killed and came back, b2 left. Each input is a time, what came, and what goes with it.


def new_member() -> MembershipProtocol:
    """The member whose transcript is pinned, not started yet."""
    terms = SwimConfig(sync_interval=10, suspicion_multiplier=2.0)
    return MembershipProtocol(NAME, 1_000, ADDRESS, terms, Random(11), "zone-a", 2.0)


def feed(machine: MembershipProtocol, at: int, what: str, arguments: list) -> None:
    """One input of the transcript."""
    if what == "start":
        machine.start(at, arguments)
    elif what == "received":
        machine.receive_datagram(at, bytes.fromhex(arguments[0]), arguments[1])
    elif what == "timer":
        machine.timer_fired(at)
    elif what == "weight":
        machine.update_self(at, weight=arguments[0])
    elif what == "say":
        machine.send_user_message(arguments[0], bytes.fromhex(arguments[1]))
    elif what == "leave":
        machine.leave(at)
    else:
        raise ValueError(what)


def outputs(machine: MembershipProtocol) -> dict[str, list]:
    """What one input led to, and takes it from the machine; only what there is."""
    found = {
        "datagrams": [[address, data.hex()] for address, data in machine.outgoing],
        "events": [[e.at, e.kind, e.name, e.reported_by, e.incarnation] for e in machine.events],
        "payloads": [data.hex() for data in machine.user_messages],
    }
    machine.take_outgoing()
    machine.take_events()
    machine.take_user_messages()
    return {name: values for name, values in found.items() if values}


def final_state(machine: MembershipProtocol, at: int) -> dict:
    """What the member knows at the end: its view, and what it would hand over."""
    view = machine.view(at)
    rows = [
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
        "members": rows, "mark": view.checksum, "version": view.version, "stable": view.stable,
        "cut": view.possibly_partitioned,
        "outcast": view.exclusion, "age": view.time_since_contact, "confidence": view.confidence,
        "timer": machine.timer_due,
        "serial": machine.sequence_number, "refused": dict(machine.dropped_datagrams),
    }  # fmt: skip


def replay(golden: dict) -> dict:
    """The same inputs again, with what comes of them now."""
    machine, steps, at = new_member(), [], 0
    for step in golden["steps"]:
        at, what, arguments = step["input"]
        feed(machine, at, what, arguments)
        steps.append({"input": step["input"], **outputs(machine)})
    return {"steps": steps, "end": final_state(machine, at)}


def test_the_state_machine_gives_the_same_datagrams_and_events_for_the_same_inputs() -> None:
    golden = json.loads(read_golden(TRANSCRIPT_GOLDEN))
    assert replay(golden) == golden


def test_the_transcript_holds_every_kind_of_message_and_most_events() -> None:
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
