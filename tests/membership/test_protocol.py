"""The protocol on a simulated network: deaths, pauses, loss, partitions, restarts and name conflicts."""

from random import Random

import pytest
from msgspec.structs import replace
from simulated_cluster import SECOND, SimulatedCluster

from dahliabend.membership import codec
from dahliabend.membership.messages import MemberStatus, Ping, Sync
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.swim_config import SwimConfig


@pytest.mark.parametrize("count", [2, 5, 40])
def test_members_that_start_together_find_each_other(count):
    cluster = SimulatedCluster(count).run(15 * SECOND)
    assert cluster.agrees()
    assert not cluster.declared_dead()
    assert all(m.view(cluster.now).stable for m in cluster.machines.values())


def test_a_killed_member_and_no_other_is_removed_from_all_views():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    del cluster.machines["b3"]
    cluster.run(30 * SECOND)
    assert cluster.agrees()
    assert cluster.declared_dead() == {"b3"}


@pytest.mark.parametrize("seed", range(5))
def test_with_30_percent_datagram_loss_no_member_is_declared_dead(seed):
    cluster = SimulatedCluster(5, seed, loss=0.3).run(300 * SECOND)
    assert not cluster.declared_dead()
    assert cluster.agrees()


def test_a_one_way_partition_between_two_members_changes_no_view():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    cluster.blocked_links.add(("b1", "b2"))
    cluster.run(120 * SECOND)
    assert not cluster.declared_dead()
    assert cluster.agrees()


def test_a_member_whose_datagrams_are_all_lost_is_declared_dead_and_returns_afterwards():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    cluster.blocked_links = {("b1", f"b{n}") for n in range(5)}
    cluster.run(60 * SECOND)
    assert all("b1" not in cluster.view_of(f"b{n}") for n in (0, 2, 3, 4))
    cluster.blocked_links = set()
    assert cluster.run(60 * SECOND).agrees()


@pytest.mark.parametrize("duration", [200_000, 4 * SECOND])
def test_a_pause_shorter_than_a_suspicion_causes_no_death(duration):
    cluster = SimulatedCluster(5).run(10 * SECOND)
    cluster.pause("b2", duration)
    cluster.run(60 * SECOND)
    assert not cluster.declared_dead()
    assert cluster.agrees()


def test_a_member_paused_for_a_minute_declares_no_other_dead_and_returns():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    cluster.pause("b2", 60 * SECOND)
    cluster.run(59 * SECOND)
    assert all("b2" not in cluster.view_of(f"b{n}") for n in (0, 1, 3, 4))
    cluster.run(60 * SECOND)
    assert cluster.declared_dead() == {"b2"}
    assert cluster.agrees()
    assert any(event.kind == "paused" for event in cluster.machines["b2"].events)


def test_half_a_cluster_paused_together_does_not_declare_the_other_half_dead():
    cluster = SimulatedCluster(10).run(15 * SECOND)
    paused = {f"b{n}" for n in range(5)}
    for name in paused:
        cluster.pause(name, 30 * SECOND)
    cluster.run(120 * SECOND)
    assert cluster.declared_dead() <= paused
    assert cluster.agrees()


def test_both_sides_of_a_partition_report_it_and_merge_once_it_heals():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    small, large = {"b0", "b1"}, {"b2", "b3", "b4"}
    cluster.blocked_links = {(a, b) for a in small for b in large} | {(b, a) for a in small for b in large}
    cluster.run(25 * SECOND)
    assert cluster.agrees(small)
    assert cluster.agrees(large)
    assert all(m.view(cluster.now).possibly_partitioned for m in cluster.machines.values())
    cluster.blocked_links = set()
    assert cluster.run(60 * SECOND).agrees()
    assert not any(m.view(cluster.now).possibly_partitioned for m in cluster.machines.values())


def test_a_member_that_leaves_departs_at_once_without_being_suspected():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    cluster.machines["b4"].leave(cluster.now)
    cluster.transmit("b4")
    cluster.run(2 * SECOND)
    del cluster.machines["b4"]
    assert cluster.agrees()
    assert not cluster.declared_dead()
    assert not any(e.kind == "suspected" for m in cluster.machines.values() for e in m.events)


def test_a_restarted_member_takes_over_its_name():
    cluster = SimulatedCluster(4).run(10 * SECOND)
    cluster.start_instance("b2", generation=2, seeds=["b0"])
    cluster.run(20 * SECOND)
    assert cluster.agrees()
    assert not cluster.declared_dead()
    assert {m.members["b2"].update.generation for n, m in cluster.machines.items() if n != "b2"} == {2}


def test_two_processes_with_one_name_are_reported_as_a_conflict():
    cluster = SimulatedCluster(3).run(10 * SECOND)
    second_process = MembershipProtocol("b1", 9, "elsewhere", cluster.config, Random(4))
    second_process.start(cluster.now, ["b0"])
    cluster.machines["elsewhere"] = second_process
    cluster.transmit("elsewhere")
    cluster.run(30 * SECOND)
    reporting = [m for n, m in cluster.machines.items() if any(e.kind == "conflict" for e in m.events)]
    assert len(reporting) >= 2
    assert cluster.machines["b0"].members["b1"].update.address == "b1"


def test_a_one_way_partition_is_reported_as_unreachable_once_and_withdrawn_once():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    cluster.blocked_links.add(("b1", "b2"))
    cluster.run(240 * SECOND)
    unreachable = {m.name: m.unreachable_peers for m in cluster.machines["b4"].view(cluster.now).members}
    assert unreachable["b1"] == ("b2",)
    assert unreachable["b2"] == ("b1",)
    assert not cluster.declared_dead()
    assert all(m.view(cluster.now).stable for m in cluster.machines.values())
    cluster.blocked_links.clear()
    cluster.run(120 * SECOND)
    reported = [
        e.kind for m in cluster.machines.values() for e in m.events if e.kind in ("reached", "unreached")
    ]
    assert sorted(reported) == ["reached"] * 2 + ["unreached"] * 2


def test_a_member_that_most_cannot_reach_is_unreachable_in_all_views():
    """It still answers through one member, and must not be declared dead and return again and again."""
    cluster = SimulatedCluster(7).run(10 * SECOND)
    cluster.blocked_links = {(f"b{n}", "b3") for n in range(7) if n != 5}
    cluster.run(240 * SECOND)
    states = {n: {s.name: s.state for s in m.view(cluster.now).members} for n, m in cluster.machines.items()}
    assert all(states[n].get("b3") == "unreached" for n in ("b0", "b1", "b2", "b4", "b6"))
    before = sum(len(protocol.events) for protocol in cluster.machines.values())
    cluster.run(120 * SECOND)
    after = sum(len(protocol.events) for protocol in cluster.machines.values())
    assert after - before < 60  # a member that dies and returns repeatedly causes some 170 events a minute


def test_a_report_that_a_member_is_dead_only_makes_it_suspected():
    """Otherwise, after a partition, reports of one side would remove members that the other can reach."""
    cluster = SimulatedCluster(3).run(10 * SECOND)
    protocol = cluster.machines["b0"]
    dead = replace(protocol.members["b1"].update, status=MemberStatus.DEAD, reported_by="b2")
    protocol.apply_update(cluster.now, dead)
    assert "b1" in cluster.view_of("b0")
    assert not protocol.view(cluster.now).stable
    assert cluster.run(10 * SECOND).agrees()
    assert not cluster.declared_dead()


def test_suspicions_reported_by_a_dead_member_are_ignored():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    protocol = cluster.machines["b0"]
    protocol.store_update(
        cluster.now, replace(protocol.members["b4"].update, status=MemberStatus.DEAD), "died"
    )
    suspicion = replace(protocol.members["b1"].update, status=MemberStatus.SUSPECT, reported_by="b4")
    sender = cluster.machines["b4"]
    data, _ = codec.encode_packet(
        "b4", 1, sender.sequence_number + 1, Sync(False), [codec.encode_update(suspicion)]
    )
    protocol.receive_datagram(cluster.now, data, "b4")
    assert not protocol.suspects


def test_a_process_whose_clock_was_set_back_rejoins_with_a_higher_generation():
    cluster = SimulatedCluster(4).run(10 * SECOND)
    cluster.start_instance("b2", generation=0, seeds=["b0"])
    cluster.run(30 * SECOND)
    assert cluster.agrees()
    assert not cluster.declared_dead()
    assert cluster.machines["b2"].generation == 2


def test_a_late_datagram_of_an_earlier_generation_changes_nothing():
    cluster = SimulatedCluster(3).run(10 * SECOND)
    old, _ = codec.encode_packet(
        "b2", 1, 10_000, Sync(False), [codec.encode_update(cluster.machines["b2"].self_update)]
    )
    cluster.start_instance("b2", generation=2, seeds=["b0"])
    cluster.run(10 * SECOND)
    protocol = cluster.machines["b0"]
    protocol.receive_datagram(cluster.now, old, "b2")
    assert protocol.dropped_datagrams["former"] == 1
    assert protocol.members["b2"].update.generation == 2


def test_a_replayed_datagram_is_dropped():
    protocol = MembershipProtocol("a", 1, "a", SwimConfig(), Random(1))
    protocol.start(0, [])
    data, _ = codec.encode_packet("b", 1, 1, Ping(1, "a"), [])
    for _ in range(3):
        protocol.receive_datagram(1, data, "b")
    assert protocol.dropped_datagrams["replayed"] == 2
    assert len(protocol.outgoing) == 1


def test_a_successor_keeps_its_generation_and_causes_no_event_in_other_members():
    cluster = SimulatedCluster(4).run(20 * SECOND)
    before = cluster.machines["b1"]
    event_count = len(cluster.machines["b0"].events)
    successor = MembershipProtocol("b1", 99, "b1", cluster.config, Random(5))
    successor.restore(cluster.now, before.snapshot())
    cluster.machines["b1"] = successor
    successor.start(cluster.now, [])
    cluster.transmit("b1")
    cluster.run(30 * SECOND)
    assert cluster.agrees()
    assert successor.generation == before.generation
    assert successor.sequence_number > before.sequence_number
    new_events = cluster.machines["b0"].events[event_count:]
    assert not [e for e in new_events if e.kind in ("died", "left", "returned")]


def test_a_resumed_member_suspects_no_other_and_has_no_stable_view_until_it_has_settled():
    cluster = SimulatedCluster(5).run(10 * SECOND)
    cluster.pause("b2", 60 * SECOND)
    cluster.run(59 * SECOND)
    protocol = cluster.machines["b2"]
    protocol.timer_fired(cluster.now + 3 * SECOND)
    assert protocol.events[-1].kind == "paused"
    assert not protocol.view(cluster.now).stable
    protocol.suspect_member(cluster.now, "b0")
    assert not protocol.suspects


def test_the_last_stable_view_is_the_last_one_without_a_suspicion():
    cluster = SimulatedCluster(5).run(20 * SECOND)
    protocol = cluster.machines["b0"]
    stable = protocol.last_stable_view(cluster.now)
    protocol.suspect_member(cluster.now, "b3")
    latest = protocol.view(cluster.now)
    assert not latest.stable
    assert protocol.last_stable_view(cluster.now) is stable
    assert len(stable.members) == 5
    assert latest.confidence < stable.confidence


def test_a_member_that_has_just_started_has_no_stable_view():
    protocol = MembershipProtocol("a", 1, "a", SwimConfig(), Random(1))
    protocol.start(0, ["b"])
    assert protocol.last_stable_view(0) is None
    assert not protocol.view(0).stable


def test_unreadable_datagrams_are_counted_and_dropped():
    protocol = MembershipProtocol("a", 1, "a", SwimConfig(), Random(1))
    protocol.start(0, [])
    valid, _ = codec.encode_packet("b", 1, 1, Ping(1, "a"), [])
    random = Random(2)
    invalid = [b"", b"\x00" * 2_000, valid[:-1], valid.replace(b"\x96\x01", b"\x96\x02", 1)]
    invalid += [bytes(random.randrange(256) for _ in range(random.randrange(60))) for _ in range(2_000)]
    for data in invalid:
        protocol.receive_datagram(0, data, "b")
    assert protocol.dropped_datagrams.total() == len(invalid)
    assert not protocol.members
    assert not protocol.outgoing


def test_datagrams_stay_within_their_maximum_size_in_a_large_cluster():
    cluster = SimulatedCluster(120).run(5 * SECOND)
    for name in cluster.machines:
        cluster.machines[name]._components.anti_entropy.sync_periodically()
        assert all(len(data) <= codec.MAX_DATAGRAM_BYTES for _, data in cluster.machines[name].outgoing)
        cluster.machines[name].outgoing.clear()
