"""Whatever comes in at the datagram's door: no exception, no growth.

A million: `PYTHONPATH=. python tests/membership/test_fuzz.py`.
"""

import sys
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.membership import codec as wire
from dahliabend.membership.codec import Ack, Ask, Nack, Ping, Rumour, Standing, Whole
from dahliabend.membership.encryption import Seal
from dahliabend.membership.failure_detector import PARTS, Machine, Terms

MOST = 40
EACH = 100  # datagrams an example
NAMES = ("a", "b", "c", "d", "e", "é" * 30, "x" * 70, "", "127.0.0.1:1")


def number(chance):
    return chance.choice((0, 1, 2, 5, chance.randrange(10_000), -1, 2**62, chance.getrandbits(63)))


def rumour(chance):
    name = chance.choice(NAMES) if chance.random() < 0.5 else f"n{chance.randrange(200)}"
    cannot = tuple(chance.choice(NAMES) for _ in range(chance.choice((0, 0, 1, 9))))
    weight = chance.choice((1.0, 1.0, 0.0, -1.0, float("nan"), float("inf"), 3.5))
    return Rumour(name, number(chance), number(chance), chance.choice(list(Standing)), chance.choice(NAMES),
                  chance.choice(NAMES), weight, chance.choice(NAMES), cannot)  # fmt: skip


def body(chance):
    name, count = chance.choice(NAMES), number(chance)
    kinds = Ping(count, name), Ask(count, name, chance.choice(NAMES)), Ack(count), Nack(count)
    return chance.choice((*kinds, Whole(chance.random() < 0.5, count)))


def datagram(chance):
    """Sound, with one byte changed, cut short, or of nobody's."""
    kind = chance.randrange(5)
    if kind == 0:
        return chance.randbytes(chance.randrange(200))
    rumours = [rumour(chance) for _ in range(chance.randrange(4))]
    version = chance.choice((1, 1, 1, 2, 0))
    name, life, serial = chance.choice(NAMES), number(chance), number(chance)
    data = wire._encode(wire.Packet(version, name, life, serial, body(chance), rumours))
    if kind == 1:
        at = chance.randrange(len(data))
        data = data[:at] + chance.randbytes(1) + data[at + 1 :]
    elif kind == 2:
        data = data[: chance.randrange(len(data) + 1)]
    return data


class Door:
    """One machine that hears everything; what it holds is looked at after each."""

    def __init__(self):
        self.machine = Machine("a", 5, "a", Terms(most=MOST), Random(1))
        self.machine.start(0, ["b"])
        self.seal, self.now = Seal([b"k" * 32]), 1

    def hear(self, data, source):
        machine = self.machine
        self.now += 1_000
        assert self.seal.open(data) is None
        before = len(machine.out)
        machine.received(self.now, data, source)
        assert len(machine.out) - before <= PARTS + 3
        if self.now >= machine.due:
            machine.wake(self.now)
        assert all(len(sent) <= wire.MOST - wire.SEAL for _, sent in machine.out)
        machine.out.clear()
        machine.events.clear()
        assert len(machine.members) <= MOST
        assert len(machine.relayed) <= 4 * MOST and len(machine.queue) <= 4 * MOST
        assert len(machine.serials.seen) <= 64 + 4 * MOST + 1
        assert len(machine.conflicts) <= MOST + 2 and len(machine.refused) <= 6
        assert len(machine.fresh) + len(machine.told) <= 2 * MOST + 2
        assert {*machine.present} == {*machine.places} and not machine.suspects.keys() - machine.places.keys()
        assert machine.view(self.now).members


def fuzz(examples):
    door = Door()

    @settings(max_examples=examples, database=None, deadline=None, derandomize=True)
    @given(st.integers(0, 2**62))
    def some(seed):
        chance = Random(seed)
        for _ in range(EACH):
            door.hear(datagram(chance), chance.choice(("b", "c", "elsewhere")))

    some()
    return door.machine


def test_whatever_comes_nothing_is_raised_and_nothing_grows():
    machine = fuzz(100)
    assert machine.refused["unreadable"] > 1_000 and len(machine.members) > 5


if __name__ == "__main__":
    print(fuzz((int(sys.argv[1]) if len(sys.argv) > 1 else 1_000_000) // EACH).refused)
