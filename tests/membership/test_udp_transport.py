"""The socket around the machine, the table of the file, and what a process leaves for the next."""

import asyncio
import json
from random import Random

import msgspec
import pytest

from dahliabend.config.operator_file.schema import MembershipSettings
from dahliabend.config.operator_file.units import Duration
from dahliabend.membership import codec
from dahliabend.membership.authentication import DatagramAuthenticator, parse_key
from dahliabend.membership.failure_detector import MembershipProtocol, SwimConfig
from dahliabend.membership.udp_transport import UdpTransport
from dahliabend.process_tests.processes import free_ports
from dahliabend.routing_rules.comparison import needs_restart
from dahliabend.routing_rules.loaded_file import load_file
from dahliabend.server.clustering import ClusterMember
from dahliabend.simulation.peers.discovery import Agent, Registry
from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

OLD, NEW = b"o" * 32, b"n" * 32
TERMS = SwimConfig(period=100_000)


async def until(check):
    """Its first true value; the bound is far off."""
    for _ in range(3_000):
        if value := check():
            return value
        await asyncio.sleep(0.005)
    raise AssertionError("never came")


async def shell(port, seeds, keys=(OLD,)):
    place = f"127.0.0.1:{port}"
    machine = MembershipProtocol(f"b{port}", 1, place, TERMS, Random(port))
    made = UdpTransport(
        machine, DatagramAuthenticator(list(keys)), TimerQueue(asyncio.get_running_loop()), lambda event: None
    )
    await made.open(("127.0.0.1", port), seeds)
    return made


def names(made):
    return made.machine.view(0).names()


def test_two_meet_on_sockets_and_a_key_is_replaced_without_losing_each_other():
    async def play():
        one_port, other_port = free_ports(2)
        one = await shell(one_port, [])
        other = await shell(other_port, [f"127.0.0.1:{one_port}"])
        await until(lambda: len(names(one)) == len(names(other)) == 2)
        for keys in ([OLD, NEW], [NEW, OLD], [NEW]):
            for each in (one, other):
                each.authenticator = DatagramAuthenticator(keys)
                come = [each.received for each in (one, other)]
                await until(lambda come=come: one.received > come[0] + 2 and other.received > come[1] + 2)
        assert not one.machine.dropped_datagrams["foreign"] and len(names(one)) == len(names(other)) == 2
        one.close()
        other.close()
        assert not one.timers.heap or all(entry[2] is None for entry in one.timers.heap)

    asyncio.run(play())


def test_what_no_member_says_is_counted_by_kind_and_dropped():
    async def play():
        (port,) = free_ports(1)
        made = await shell(port, [])
        ping, _ = codec.encode_packet("x", 1, 1, codec.Ping(1, made.machine.name), [])
        own, other = DatagramAuthenticator([OLD]), DatagramAuthenticator([NEW])
        source = ("127.0.0.1", 9)
        for data in (b"", b"junk", other.sign(ping), ping, own.sign(ping) + b"x"):
            made.datagram_received(data, source)
        made.datagram_received(b"x" * 1_401, source)
        made.datagram_received(own.sign(ping[:1] + b"\x05" + ping[2:]), source)
        made.datagram_received(own.sign(b"\x00"), source)
        for _ in range(3):
            made.datagram_received(own.sign(ping), source)
        counted = made.machine.dropped_datagrams
        assert counted == {"foreign": 5, "oversized": 1, "newer": 1, "unreadable": 1, "replayed": 2}
        made.close()

    asyncio.run(play())


def test_an_address_that_cant_be_had_is_an_error_and_leaves_nothing_open():
    async def play():
        (port,) = free_ports(1)
        first = await shell(port, [])
        with pytest.raises(OSError):
            await shell(port, [])
        first.close()

    asyncio.run(play())


FILE = """
[members]
name = "b1"
address = "127.0.0.1:7946"
key-files = ["key"]
{}
[listeners.callers]
address = "127.0.0.1:8080"
[pools.p]
members = [{{ id = "u", address = "127.0.0.1:9" }}]
[classes.q]
effect = "idempotent"
service-goal = "1s"
hard-limit = "2s"
[[routes]]
name = "r"
class = "q"
pool = "p"
"""


def planned(folder, more="", secret="k" * 32):
    (folder / "key").write_text(secret + "\n")
    path = folder / "file.toml"
    path.write_text(FILE.format(more))
    return load_file(str(path))


def test_a_sound_table_is_taken(tmp_path):
    assert planned(tmp_path, 'weight = 2.0\nperiod = "200ms"\ncut = "40%"').is_usable


@pytest.mark.parametrize(
    ("more", "says"),
    [
        ('seeds = ["nowhere"]', "file.toml:6: members.seeds[0]: 'nowhere' is not an IPv4 address and port"),
        ('advertise = "1.2.3.4"', "file.toml:6: members.advertise: '1.2.3.4' is not"),
        ("weight = 0.0", "file.toml:6: members.weight: 0 is not between"),
        ("weight = nan", "file.toml:6: members.weight: nan is not between"),
        ('period = "1ms"', "file.toml:6: members.period: 1ms is not between 20ms and 60s"),
        ("period = 2", "file.toml:6: members.period: 2 has no unit"),
        ('forget = "5s"', "file.toml:6: members.forget: 5s is less than a hundred periods"),
        ('cut = "100%"', "file.toml:6: members.cut: 100% is not between 0 and 1"),
        ('zone = "' + "z" * 65 + '"', "file.toml:6: members.zone:"),
        ("zones = 3", "file.toml:6: members.zones: is no key here; is 'zone' meant?"),
    ],
)
def test_a_fault_of_the_table_is_told_by_file_line_key_and_reason(tmp_path, more, says):
    (fault,) = planned(tmp_path, more).faults
    assert str(fault).removeprefix(f"{tmp_path}/").startswith(says)


def test_keys_that_are_missing_or_short_are_faults_of_the_file(tmp_path):
    (fault,) = planned(tmp_path, secret="short").faults
    assert "members.key-files[0]: key: 5 bytes; a key has 32 at least" in str(fault)
    (tmp_path / "key").unlink()
    (fault,) = load_file(str(tmp_path / "file.toml")).faults
    assert "members.key-files[0]: key can't be read: No such file" in str(fault)
    with pytest.raises(ValueError, match="31 bytes"):
        parse_key(b"k" * 31)


def test_a_reload_takes_over_seeds_weight_and_keys_and_passes_over_the_rest():
    assert not any(
        needs_restart(f"members.{name}") for name in ("zone", "weight", "seeds[1]", "key-files[0]")
    )
    assert all(needs_restart(f"members.{name}") for name in ("name", "address", "period", "keep"))


def fleet(folder, **more):
    (folder / "key").write_text("k" * 32)
    settings = MembershipSettings(
        address="127.0.0.1:7946", name="b1", key_files=["key"], keep="b1.keep", **more
    )
    lines = []
    loop = asyncio.new_event_loop()
    try:
        made = ClusterMember(settings, str(folder), TimerQueue(loop), DescriptorBudget(64), 1,
                     lambda event, **fields: lines.append((event, fields)))  # fmt: skip
    finally:
        loop.close()
    return made, lines


def test_a_successor_goes_on_from_what_was_kept_if_it_is_soon_and_else_only_asks_those_known(tmp_path):
    before, _ = fleet(tmp_path)
    known = before.failure_detector.self_update.__class__(
        "b2", 1, 0, codec.MemberStatus.ALIVE, "127.0.0.1:7947"
    )
    before.failure_detector.store_update(1, known, "joined")
    before.store(handed=True)
    after, _ = fleet(tmp_path)
    assert after.stored.handed and after.seeds() == ["127.0.0.1:7947"]
    for step in (-3_600_000_000, 3_600_000_000):  # a wall clock that was set by an hour, either way
        kept = json.loads((tmp_path / "b1.keep").read_text())
        kept["at"] = host_info.time_ns() // 1000 + step
        (tmp_path / "b1.keep").write_bytes(msgspec.json.encode(kept))
        later, _ = fleet(tmp_path)
        assert (
            not later.stored.handed and later.failure_detector.generation > before.failure_detector.generation
        )
        assert later.seeds() == ["127.0.0.1:7947"]


@pytest.mark.parametrize("text", ["", "{", '{"name": 7}', "[]", '{"name": "b1"}'])
def test_what_was_kept_and_cant_be_read_is_told_in_a_line_and_started_without(tmp_path, text):
    (tmp_path / "b1.keep").write_text(text)
    made, lines = fleet(tmp_path)
    assert made.stored is None and [event for event, _ in lines] == ["handover.unread"]


def test_what_another_has_kept_is_not_taken(tmp_path):
    before, _ = fleet(tmp_path)
    before.store(handed=True)
    made, lines = fleet(tmp_path, advertise="127.0.0.1:9999")
    assert made.stored is None and "127.0.0.1:7946" in lines[0][1]["why"]


def test_seeds_come_from_the_discovery_list(tmp_path):
    async def play():
        loop = asyncio.get_running_loop()
        registry, (port, own) = Registry(), free_ports(2)
        registry.put({"id": "b7", "addr": "127.0.0.1:7", "state": "up", "zone": "a"})
        agent = Agent(registry, loop, lambda *_: None, Random(1), 1_000)
        await agent.open("127.0.0.1", port)
        (tmp_path / "key").write_text("k" * 32)
        table = MembershipSettings(
            address=f"127.0.0.1:{own}", name="b1", key_files=["key"], seeds_discovery=f"127.0.0.1:{port}"
        )
        made = ClusterMember(
            table, str(tmp_path), TimerQueue(loop), DescriptorBudget(64), 1, lambda *_, **__: None
        )
        await made.open()
        await until(lambda: made.failure_detector.seeds == ["127.0.0.1:7"])
        registry.put({"id": "b7", "addr": "127.0.0.1:7", "state": "removed", "zone": "a"})
        await until(lambda: made.failure_detector.seeds == [])
        made.close()
        for server in agent.servers:
            server.close()

    asyncio.run(play())


def test_seeds_of_a_watched_file_come_and_go(tmp_path):
    made, _ = fleet(tmp_path, seeds=["127.0.0.1:1"], period=Duration(100_000))
    made.seed_list.endpoints_changed([("b7", ("127.0.0.1", 7), 1, 0, 1.0, 0, "a")], full=True)
    assert made.failure_detector.seeds == ["127.0.0.1:1", "127.0.0.1:7"]
    made.seed_list.endpoints_changed([], full=True)
    assert made.failure_detector.seeds == ["127.0.0.1:1"]
