"""Arbitrary datagrams: the protocol raises no exception, and its stored state stays bounded.

To run a million datagrams: `PYTHONPATH=. python tests/membership/test_fuzz.py`.
"""

import sys
from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.membership import codec
from dahliabend.membership.anti_entropy import MAX_SYNC_DATAGRAMS
from dahliabend.membership.authentication import DatagramAuthenticator
from dahliabend.membership.messages import Ack, MemberStatus, Nack, Packet, Ping, PingRequest, Sync, Update
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig

MAX_MEMBERS = 40
DATAGRAMS_PER_EXAMPLE = 100
NAMES = ("a", "b", "c", "d", "e", "é" * 30, "x" * 70, "", "127.0.0.1:1")


def random_number(random):
    return random.choice((0, 1, 2, 5, random.randrange(10_000), -1, 2**62, random.getrandbits(63)))


def random_update(random):
    name = random.choice(NAMES) if random.random() < 0.5 else f"n{random.randrange(200)}"
    unreachable_peers = tuple(random.choice(NAMES) for _ in range(random.choice((0, 0, 1, 9))))
    weight = random.choice((1.0, 1.0, 0.0, -1.0, float("nan"), float("inf"), 3.5))
    return Update(
        name,
        random_number(random),
        random_number(random),
        random.choice(list(MemberStatus)),
        random.choice(NAMES),
        random.choice(NAMES),
        weight,
        random.choice(NAMES),
        unreachable_peers,
    )


def random_message(random):
    name, number = random.choice(NAMES), random_number(random)
    messages = Ping(number, name), PingRequest(number, name, random.choice(NAMES)), Ack(number), Nack(number)
    return random.choice((*messages, Sync(random.random() < 0.5, number)))


def random_datagram(random):
    """A well-formed datagram, one with a changed byte, a truncated one, or random bytes."""
    variant = random.randrange(5)
    if variant == 0:
        return random.randbytes(random.randrange(200))
    updates = [random_update(random) for _ in range(random.randrange(4))]
    version = random.choice((1, 1, 1, 2, 0))
    name, generation, sequence_number = random.choice(NAMES), random_number(random), random_number(random)
    packet = Packet(version, name, generation, sequence_number, random_message(random), updates)
    data = msgspec.msgpack.encode(packet)
    if variant == 1:
        position = random.randrange(len(data))
        data = data[:position] + random.randbytes(1) + data[position + 1 :]
    elif variant == 2:
        data = data[: random.randrange(len(data) + 1)]
    return data


class FuzzedMember:
    """A member that receives the datagrams; the bounds of its state are checked after each one."""

    def __init__(self):
        self.protocol = MembershipProtocol("a", 5, "a", SwimConfig(max_members=MAX_MEMBERS), Random(1))
        self.protocol.start(0, ["b"])
        self.authenticator = DatagramAuthenticator([b"k" * 32])
        self.now = 1

    def receive(self, data, source):
        protocol = self.protocol
        self.now += 1_000
        assert self.authenticator.verify(data) is None
        before = len(protocol.outgoing)
        protocol.receive_datagram(self.now, data, source)
        assert len(protocol.outgoing) - before <= MAX_SYNC_DATAGRAMS + 3
        if self.now >= protocol.timer_due:
            protocol.timer_fired(self.now)
        assert all(len(sent) <= codec.MAX_DATAGRAM_BYTES - codec.TAG_BYTES for _, sent in protocol.outgoing)
        protocol.outgoing.clear()
        protocol.events.clear()
        self.check_bounds()
        assert protocol.view(self.now).members

    def check_bounds(self):
        protocol, components = self.protocol, self.protocol._components
        assert len(protocol.members) <= MAX_MEMBERS
        assert components.detector.relayed_count <= 4 * MAX_MEMBERS
        assert len(components.detector.probe_round.queue) <= 4 * MAX_MEMBERS
        assert len(components.receiver.replay_filter) <= 64 + 4 * MAX_MEMBERS + 1
        assert len(components.conflicts) <= MAX_MEMBERS + 2
        assert len(protocol.dropped_datagrams) <= 6
        assert len(components.disseminator.unsent) + len(components.disseminator.sent) <= 2 * MAX_MEMBERS + 2
        assert {*components.table.present} == {*components.table._positions}
        assert not protocol.suspects.keys() - components.table._positions.keys()


def fuzz(examples):
    member = FuzzedMember()

    @settings(max_examples=examples, database=None, deadline=None, derandomize=True)
    @given(st.integers(0, 2**62))
    def receive_datagrams(seed):
        random = Random(seed)
        for _ in range(DATAGRAMS_PER_EXAMPLE):
            member.receive(random_datagram(random), random.choice(("b", "c", "elsewhere")))

    receive_datagrams()
    return member.protocol


def test_arbitrary_datagrams_raise_no_exception_and_leave_state_bounded():
    protocol = fuzz(100)
    assert protocol.dropped_datagrams["unreadable"] > 1_000
    assert len(protocol.members) > 5


if __name__ == "__main__":
    datagrams = int(sys.argv[1]) if len(sys.argv) > 1 else 1_000_000
    print(fuzz(datagrams // DATAGRAMS_PER_EXAMPLE).dropped_datagrams)
