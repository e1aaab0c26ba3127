"""A member as the server runs it: the snapshot stored for a successor process, and the sources of seeds."""

import asyncio
import json
from random import Random

import msgspec
import orjson
import pytest
from polling import wait_until

from dahliabend.config.operator_file.schema import MembershipSettings
from dahliabend.config.operator_file.units import Duration
from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.membership.codec import DropReason
from dahliabend.membership.messages import MemberStatus, Update
from dahliabend.model import EndpointState
from dahliabend.process_tests.processes import free_ports
from dahliabend.server.clustering import ClusterMember
from dahliabend.simulation.peers.discovery import Agent, Registry
from dahliabend.transport import host_info
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue


def cluster_member(directory, **extra_settings):
    """Return a member that has not been opened, and the list to which its log events are appended."""
    (directory / "key").write_text("k" * 32)
    settings = MembershipSettings(
        address="127.0.0.1:7946", name="b1", key_files=["key"], keep="b1.keep", **extra_settings
    )
    lines = []
    loop = asyncio.new_event_loop()
    try:
        member = ClusterMember(settings, str(directory), TimerQueue(loop), DescriptorBudget(64), 1,
                     lambda event, **fields: lines.append((event, fields)))  # fmt: skip
    finally:
        loop.close()
    return member, lines


def test_a_successor_restores_a_recent_snapshot_and_takes_only_seeds_from_an_old_one(tmp_path):
    before, _ = cluster_member(tmp_path)
    peer = Update("b2", 1, 0, MemberStatus.ALIVE, "127.0.0.1:7947")
    before.protocol.store_update(1, peer, "joined")
    before.store(handed_over=True)
    after, _ = cluster_member(tmp_path)
    assert after.stored.handed_over
    assert after.seeds() == ["127.0.0.1:7947"]
    # Microseconds: the wall clock was set back or ahead by an hour.
    for step in (-3_600_000_000, 3_600_000_000):
        snapshot = json.loads((tmp_path / "b1.keep").read_text())
        snapshot["at"] = host_info.time_ns() // 1000 + step
        (tmp_path / "b1.keep").write_bytes(msgspec.json.encode(snapshot))
        later, _ = cluster_member(tmp_path)
        assert not later.stored.handed_over
        assert later.protocol.generation > before.protocol.generation
        assert later.seeds() == ["127.0.0.1:7947"]


@pytest.mark.parametrize("text", ["", "{", '{"name": 7}', "[]", '{"name": "b1"}'])
def test_an_unreadable_snapshot_is_logged_and_ignored(tmp_path, text):
    (tmp_path / "b1.keep").write_text(text)
    member, lines = cluster_member(tmp_path)
    assert member.stored is None
    assert [event for event, _ in lines] == ["hot_restart.read_failed"]


def test_the_snapshot_of_another_member_is_ignored(tmp_path):
    before, _ = cluster_member(tmp_path)
    before.store(handed_over=True)
    member, lines = cluster_member(tmp_path, advertise="127.0.0.1:9999")
    assert member.stored is None
    assert "127.0.0.1:7946" in lines[0][1]["reason"]


def test_seeds_follow_the_discovery_list(tmp_path):
    async def run():
        loop = asyncio.get_running_loop()
        registry, (discovery_port, member_port) = Registry(), free_ports(2)
        registry.put({"id": "b7", "addr": "127.0.0.1:7", "state": "up", "zone": "a"})
        agent = Agent(registry, loop, lambda *_: None, Random(1), 1_000)
        await agent.open("127.0.0.1", discovery_port)
        (tmp_path / "key").write_text("k" * 32)
        settings = MembershipSettings(
            address=f"127.0.0.1:{member_port}",
            name="b1",
            key_files=["key"],
            seeds_discovery=f"127.0.0.1:{discovery_port}",
        )
        member = ClusterMember(
            settings, str(tmp_path), TimerQueue(loop), DescriptorBudget(64), 1, lambda *_, **__: None
        )
        await member.open()
        await wait_until(lambda: member.protocol.seeds == ["127.0.0.1:7"])
        registry.put({"id": "b7", "addr": "127.0.0.1:7", "state": "removed", "zone": "a"})
        await wait_until(lambda: member.protocol.seeds == [])
        member.close()
        for server in agent.servers:
            server.close()

    asyncio.run(run())


def test_seeds_follow_a_watched_file(tmp_path):
    member, _ = cluster_member(tmp_path, seeds=["127.0.0.1:1"], period=Duration(100_000))
    member.seed_list.endpoints_changed(
        [EndpointListEntry("b7", ("127.0.0.1", 7), EndpointState.READY, 0, 1.0, 0, "a")], full=True
    )
    assert member.protocol.seeds == ["127.0.0.1:1", "127.0.0.1:7"]
    member.seed_list.endpoints_changed([], full=True)
    assert member.protocol.seeds == ["127.0.0.1:1"]


def test_metrics_with_dropped_datagrams_can_be_logged(tmp_path):
    """Guards against dictionary keys that the log's encoder rejects, which would fail each later line."""
    member, _ = cluster_member(tmp_path)
    member.protocol.record_dropped(DropReason.REPLAYED)
    metrics = member.metrics()
    line = orjson.dumps(msgspec.structs.asdict(metrics))  # with the field names, as in the log
    assert orjson.loads(line)["datagrams_dropped"] == {"replayed": 1}
    answer = orjson.dumps(msgspec.to_builtins(metrics))  # with the names of the admin call
    assert orjson.loads(answer)["dropped"] == {"replayed": 1}
