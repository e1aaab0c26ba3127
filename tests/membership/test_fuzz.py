"""Whatever comes in at the datagram's door: no exception, no growth.

A million: `PYTHONPATH=. python tests/membership/test_fuzz.py`.
"""

import sys
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.membership import codec
from dahliabend.membership.authentication import DatagramAuthenticator
from dahliabend.membership.codec import Ack, MemberStatus, Nack, Ping, PingRequest, Sync, Update
from dahliabend.membership.failure_detector import MAX_SYNC_DATAGRAMS, MembershipProtocol, SwimConfig

MOST = 40
EACH = 100  # datagrams an example
NAMES = ("a", "b", "c", "d", "e", "é" * 30, "x" * 70, "", "127.0.0.1:1")


def number(chance):
    return chance.choice((0, 1, 2, 5, chance.randrange(10_000), -1, 2**62, chance.getrandbits(63)))


def update(chance):
    name = chance.choice(NAMES) if chance.random() < 0.5 else f"n{chance.randrange(200)}"
    cannot = tuple(chance.choice(NAMES) for _ in range(chance.choice((0, 0, 1, 9))))
    weight = chance.choice((1.0, 1.0, 0.0, -1.0, float("nan"), float("inf"), 3.5))
    return Update(name, number(chance), number(chance), chance.choice(list(MemberStatus)),
                  chance.choice(NAMES), chance.choice(NAMES),
                  weight, chance.choice(NAMES), cannot)  # fmt: skip


def body(chance):
    name, count = chance.choice(NAMES), number(chance)
    kinds = Ping(count, name), PingRequest(count, name, chance.choice(NAMES)), Ack(count), Nack(count)
    return chance.choice((*kinds, Sync(chance.random() < 0.5, count)))


def datagram(chance):
    """Sound, with one byte changed, cut short, or of nobody's."""
    kind = chance.randrange(5)
    if kind == 0:
        return chance.randbytes(chance.randrange(200))
    updates = [update(chance) for _ in range(chance.randrange(4))]
    version = chance.choice((1, 1, 1, 2, 0))
    name, life, serial = chance.choice(NAMES), number(chance), number(chance)
    data = codec._encode(codec.Packet(version, name, life, serial, body(chance), updates))
    if kind == 1:
        at = chance.randrange(len(data))
        data = data[:at] + chance.randbytes(1) + data[at + 1 :]
    elif kind == 2:
        data = data[: chance.randrange(len(data) + 1)]
    return data


class Door:
    """One machine that hears everything; what it holds is looked at after each."""

    def __init__(self):
        self.machine = MembershipProtocol("a", 5, "a", SwimConfig(max_members=MOST), Random(1))
        self.machine.start(0, ["b"])
        self.authenticator, self.now = DatagramAuthenticator([b"k" * 32]), 1

    def hear(self, data, source):
        machine = self.machine
        self.now += 1_000
        assert self.authenticator.verify(data) is None
        before = len(machine.outgoing)
        machine.receive_datagram(self.now, data, source)
        assert len(machine.outgoing) - before <= MAX_SYNC_DATAGRAMS + 3
        if self.now >= machine.timer_due:
            machine.timer_fired(self.now)
        assert all(len(sent) <= codec.MAX_DATAGRAM_BYTES - codec.TAG_BYTES for _, sent in machine.outgoing)
        machine.outgoing.clear()
        machine.events.clear()
        assert len(machine.members) <= MOST
        assert len(machine.relayed_probes) <= 4 * MOST and len(machine.probe_queue) <= 4 * MOST
        assert len(machine.replay_filter.windows) <= 64 + 4 * MOST + 1
        assert len(machine.conflicts_reported_at) <= MOST + 2 and len(machine.dropped_datagrams) <= 6
        assert len(machine.unsent_updates) + len(machine.sent_updates) <= 2 * MOST + 2
        assert {*machine.present} == {
            *machine.positions
        } and not machine.suspects.keys() - machine.positions.keys()
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
    assert machine.dropped_datagrams["unreadable"] > 1_000 and len(machine.members) > 5


if __name__ == "__main__":
    print(fuzz((int(sys.argv[1]) if len(sys.argv) > 1 else 1_000_000) // EACH).refused)
