"""Membership datagrams byte for byte: each kind of message, its seal, and what a state machine sends.

Fleets run two versions side by side during a roll-out: each has to read what the other sends.
"""

import json
from random import Random

import pytest
from golden_files import as_json, read_golden, write_golden

from dahliabend.membership import codec as wire
from dahliabend.membership.codec import Ack, Ask, Body, Nack, Packet, Ping, Rumour, Said, Standing, Whole
from dahliabend.membership.encryption import Seal, key
from dahliabend.membership.failure_detector import Machine, Terms

KINDS_GOLDEN = "membership_datagrams.json"
TRANSCRIPT_GOLDEN = "membership_transcript.json"
OLD_KEY, NEW_KEY = b"the-old-key-of-all-thirty-two-bytes", b"the-new-key-of-all-thirty-two-bytes"
SECOND = 1_000_000
START = 5 * SECOND
NAME, ADDRESS, SEEDS = "b1", "10.0.0.1:7946", ["10.0.0.1:7946", "10.0.0.2:7946", "10.0.0.3:7946"]

# Values go by name: one that changes its place in the encoded array shows.
UPDATES = {
    "alive": Rumour(
        name="b2", life=7, incarnation=3, standing=Standing.ALIVE, address="10.0.0.2:7946", zone="zone-a",
        weight=2.5, by="b2", cannot=("b4", "b5"),
    ),
    "suspected": Rumour(
        name="b3", life=1_764_653_000_000_000, incarnation=0, standing=Standing.SUSPECT,
        address="10.0.0.3:7946", by="b2",
    ),
    "dead": Rumour(
        name="b4", life=0, incarnation=300, standing=Standing.DEAD, address="10.0.0.4:7946", zone="zone-b",
        weight=120.0, by="b1",
    ),
    "left": Rumour(
        name="bälter", life=70_000, incarnation=1, standing=Standing.LEFT, address="10.0.0.5:7946",
        zone="zone-b", weight=0.5, by="bälter",
    ),
}  # fmt: skip
BODIES: dict[str, Body] = {
    "ping": Ping(number=4_000_000_000, name="b2"),
    "indirect ping": Ask(number=17, name="b3", address="10.0.0.3:7946"),
    "acknowledgement": Ack(number=17),
    "acknowledgement by way of another": Ack(number=17, straight=False),
    "negative acknowledgement": Nack(number=17),
    "table, asking for the other's": Whole(wants=True, size=3),
    "table, as an answer": Whole(wants=False, size=200),
    "payload of another part": Said(data=b"\x00\x01payload"),
}
LIFE, SERIAL = 1_764_653_000_000_000, 260


def encode(body: Body, updates: list[Rumour]) -> bytes:
    """A datagram of one sender that carries all of these updates."""
    data, carried = wire.encode(NAME, LIFE, SERIAL, body, [wire.pack(each) for each in updates])
    assert carried == len(updates)
    return data


def messages() -> dict[str, tuple[Body, list[Rumour]]]:
    """Each kind of body without updates, and each kind of update behind a ping."""
    made: dict[str, tuple[Body, list[Rumour]]] = {name: (body, []) for name, body in BODIES.items()}
    made |= {f"ping with one {name}": (BODIES["ping"], [update]) for name, update in UPDATES.items()}
    made["acknowledgement with all updates"] = (BODIES["acknowledgement"], list(UPDATES.values()))
    return made


def produce_kinds() -> str:
    """Each message in hexadecimal, plain and sealed with the old key."""
    seal, made = Seal([OLD_KEY, NEW_KEY]), {}
    for name, (body, updates) in messages().items():
        data = encode(body, updates)
        made[name] = {"datagram": data.hex(), "sealed": seal.close(data).hex()}
    return as_json(made)


def test_each_kind_of_message_is_encoded_and_sealed_as_before() -> None:
    assert produce_kinds() == read_golden(KINDS_GOLDEN)


@pytest.mark.parametrize("name", messages())
def test_a_datagram_of_the_version_before_is_opened_and_read(name: str) -> None:
    golden = json.loads(read_golden(KINDS_GOLDEN))[name]
    data = Seal([NEW_KEY, OLD_KEY]).open(bytes.fromhex(golden["sealed"]))
    assert data is not None and data.hex() == golden["datagram"]
    body, updates = messages()[name]
    assert wire.decode(data) == Packet(
        version=1, sender=NAME, life=LIFE, serial=SERIAL, body=body, rumours=updates
    )


def test_the_numbers_of_a_members_states_stay() -> None:
    states = [Standing.ALIVE, Standing.SUSPECT, Standing.DEAD, Standing.LEFT]
    assert [int(state) for state in states] == [0, 1, 2, 3]


def test_a_key_file_is_read_without_the_space_around_it() -> None:
    assert key(b"\n " + OLD_KEY + b" \n") == OLD_KEY


def test_the_bounds_of_a_datagram_stay() -> None:
    assert (wire.VERSION, wire.MOST, wire.SEAL, wire.LONGEST, wire.MOST_CANNOT) == (1, 1_400, 16, 64, 8)
    many = [wire.pack(UPDATES["alive"])] * 100
    data, carried = wire.encode(NAME, LIFE, SERIAL, BODIES["ping"], many)
    assert (len(data), carried) == (1_347, 28)


# The transcript is of one member of four over fifty seconds: b4 was reached only by way of another for a
# while, b3 joined, was killed and came back, b2 left. Each input is a time, what came, and what goes with it.


def new_member() -> Machine:
    """The member whose transcript is pinned, not started yet."""
    terms = Terms(whole=10, least=2.0)
    return Machine(NAME, 1_000, ADDRESS, terms, Random(11), "zone-a", 2.0)


def feed(machine: Machine, at: int, what: str, arguments: list) -> None:
    """One input of the transcript."""
    if what == "start":
        machine.start(at, arguments)
    elif what == "received":
        machine.received(at, bytes.fromhex(arguments[0]), arguments[1])
    elif what == "timer":
        machine.wake(at)
    elif what == "weight":
        machine.change(at, weight=arguments[0])
    elif what == "say":
        machine.say(arguments[0], bytes.fromhex(arguments[1]))
    elif what == "leave":
        machine.leave(at)
    else:
        raise ValueError(what)


def outputs(machine: Machine) -> dict[str, list]:
    """What one input led to, and takes it from the machine; only what there is."""
    found = {
        "datagrams": [[address, data.hex()] for address, data in machine.out],
        "events": [[e.at, e.what, e.name, e.by, e.incarnation] for e in machine.events],
        "payloads": [data.hex() for data in machine.said],
    }
    machine.out, machine.events, machine.said = [], [], []
    return {name: values for name, values in found.items() if values}


def final_state(machine: Machine, at: int) -> dict:
    """What the member knows at the end: its view, and what it would hand over."""
    view = machine.view(at)
    rows = [
        [m.name, m.address, m.zone, m.weight, m.life, m.incarnation, m.state, m.since, m.by, list(m.cannot)]
        for m in view.members
    ]
    return {
        "members": rows, "mark": view.mark, "version": view.version, "stable": view.stable, "cut": view.cut,
        "outcast": view.outcast, "age": view.age, "confidence": view.confidence, "timer": machine.due,
        "serial": machine.serial, "refused": dict(machine.refused),
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
    sent = [wire.decode(bytes.fromhex(data)) for data in datagrams]
    assert {type(packet.body) for packet in sent} == {Ping, Ask, Ack, Nack, Whole, Said}
    assert {rumour.standing for packet in sent for rumour in packet.rumours} == set(Standing)
    events = {event[1] for step in golden["steps"] for event in step.get("events", [])}
    assert events >= {"joined", "suspected", "refuted", "left", "died", "unreached", "reached", "returned"}


if __name__ == "__main__":
    write_golden(KINDS_GOLDEN, produce_kinds())
    transcript = replay(json.loads(read_golden(TRANSCRIPT_GOLDEN)))  # the same inputs
    text = json.dumps(transcript, separators=(",", ":"))
    write_golden(TRANSCRIPT_GOLDEN, text.replace('{"input"', '\n{"input"') + "\n")
