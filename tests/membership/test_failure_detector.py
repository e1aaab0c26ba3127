"""Who is there: ends, pauses, losses, cuts one way, a fleet in parts, returns, two by one name."""

from random import Random

import pytest
from msgspec.structs import replace
from simulated_cluster import S, SimulatedCluster

from dahliabend.membership import codec
from dahliabend.membership.failure_detector import MembershipProtocol, SwimConfig


@pytest.mark.parametrize("count", [2, 5, 40])
def test_all_that_start_at_once_find_each_other(count):
    cluster = SimulatedCluster(count).run(15 * S)
    assert cluster.agrees() and not cluster.declared_dead()
    assert all(m.view(cluster.now).stable for m in cluster.machines.values())


def test_one_that_ends_is_out_of_every_view_and_none_else():
    cluster = SimulatedCluster(5).run(10 * S)
    del cluster.machines["b3"]
    cluster.run(30 * S)
    assert cluster.agrees() and cluster.declared_dead() == {"b3"}


@pytest.mark.parametrize("seed", range(5))
def test_with_three_in_ten_datagrams_lost_nobody_is_thought_dead(seed):
    cluster = SimulatedCluster(5, seed, loss=0.3).run(300 * S)
    assert not cluster.declared_dead() and cluster.agrees()


def test_a_cut_one_way_between_two_changes_nothing():
    cluster = SimulatedCluster(5).run(10 * S)
    cluster.blocked_links.add(("b1", "b2"))
    cluster.run(120 * S)
    assert not cluster.declared_dead() and cluster.agrees()


def test_one_that_hears_and_is_not_heard_by_anybody_is_out_for_all_and_back_after_it():
    cluster = SimulatedCluster(5).run(10 * S)
    cluster.blocked_links = {("b1", f"b{n}") for n in range(5)}
    cluster.run(60 * S)
    assert all("b1" not in cluster.view_of(f"b{n}") for n in (0, 2, 3, 4))
    cluster.blocked_links = set()
    assert cluster.run(60 * S).agrees()


@pytest.mark.parametrize("span", [200_000, 4 * S])
def test_a_pause_shorter_than_a_suspicion_kills_nobody(span):
    cluster = SimulatedCluster(5).run(10 * S)
    cluster.pause("b2", span)
    cluster.run(60 * S)
    assert not cluster.declared_dead() and cluster.agrees()


def test_one_stopped_for_a_minute_accuses_nobody_when_it_goes_on_and_returns():
    cluster = SimulatedCluster(5).run(10 * S)
    cluster.pause("b2", 60 * S)
    cluster.run(59 * S)
    assert all("b2" not in cluster.view_of(f"b{n}") for n in (0, 1, 3, 4))
    cluster.run(60 * S)
    assert cluster.declared_dead() == {"b2"} and cluster.agrees()
    assert any(event.kind == "paused" for event in cluster.machines["b2"].events)


def test_half_a_fleet_stopped_at_once_does_not_bury_the_other_half():
    cluster = SimulatedCluster(10).run(15 * S)
    half = {f"b{n}" for n in range(5)}
    for name in half:
        cluster.pause(name, 30 * S)
    cluster.run(120 * S)
    assert cluster.declared_dead() <= half and cluster.agrees()


def test_parts_of_a_fleet_know_that_they_may_be_cut_off_and_are_one_again_after_it():
    cluster = SimulatedCluster(5).run(10 * S)
    small, large = {"b0", "b1"}, {"b2", "b3", "b4"}
    cluster.blocked_links = {(a, b) for a in small for b in large} | {(b, a) for a in small for b in large}
    cluster.run(25 * S)
    assert cluster.agrees(small) and cluster.agrees(large)
    assert all(m.view(cluster.now).possibly_partitioned for m in cluster.machines.values())
    cluster.blocked_links = set()
    assert cluster.run(60 * S).agrees()
    assert not any(m.view(cluster.now).possibly_partitioned for m in cluster.machines.values())


def test_one_that_leaves_is_gone_at_once_and_never_suspected():
    cluster = SimulatedCluster(5).run(10 * S)
    cluster.machines["b4"].leave(cluster.now)
    cluster.transmit("b4")
    cluster.run(2 * S)
    del cluster.machines["b4"]
    assert cluster.agrees() and not cluster.declared_dead()
    assert not any(e.kind == "suspected" for m in cluster.machines.values() for e in m.events)


def test_one_started_again_in_its_place_takes_its_name_over():
    cluster = SimulatedCluster(4).run(10 * S)
    cluster.start_instance("b2", generation=2, seeds=["b0"])
    cluster.run(20 * S)
    assert cluster.agrees() and not cluster.declared_dead()
    assert {m.members["b2"].update.generation for n, m in cluster.machines.items() if n != "b2"} == {2}


def test_two_at_once_by_one_name_are_told_and_neither_wins_silently():
    cluster = SimulatedCluster(3).run(10 * S)
    other = MembershipProtocol("b1", 9, "elsewhere", cluster.config, Random(4))
    other.start(cluster.now, ["b0"])
    cluster.machines["elsewhere"] = other
    cluster.transmit("elsewhere")
    cluster.run(30 * S)
    told = [m for n, m in cluster.machines.items() if any(e.kind == "conflict" for e in m.events)]
    assert len(told) >= 2 and cluster.machines["b0"].members["b1"].update.address == "b1"


def test_a_cut_one_way_between_two_is_told_as_such_once_and_taken_back_once():
    cluster = SimulatedCluster(5).run(10 * S)
    cluster.blocked_links.add(("b1", "b2"))
    cluster.run(240 * S)
    seen = {m.name: m.unreachable_peers for m in cluster.machines["b4"].view(cluster.now).members}
    assert seen["b1"] == ("b2",) and seen["b2"] == ("b1",) and not cluster.declared_dead()
    assert all(m.view(cluster.now).stable for m in cluster.machines.values())
    cluster.blocked_links.clear()
    cluster.run(120 * S)
    told = [e.kind for m in cluster.machines.values() for e in m.events if e.kind in ("reached", "unreached")]
    assert sorted(told) == ["reached"] * 2 + ["unreached"] * 2


def test_one_that_most_cannot_reach_is_told_as_unreached_to_all():
    """What it says still comes, by the one that reaches it: dead and returned in turns, it would flap."""
    cluster = SimulatedCluster(7).run(10 * S)
    cluster.blocked_links = {(f"b{n}", "b3") for n in range(7) if n != 5}
    cluster.run(240 * S)
    states = {n: {s.name: s.state for s in m.view(cluster.now).members} for n, m in cluster.machines.items()}
    assert all(states[n].get("b3") == "unreached" for n in ("b0", "b1", "b2", "b4", "b6"))
    before = sum(len(machine.events) for machine in cluster.machines.values())
    cluster.run(120 * S)
    assert (
        sum(len(machine.events) for machine in cluster.machines.values()) - before < 60
    )  # 170 a minute before


def test_nobody_is_buried_by_hearsay():
    """After a cut the other side's word would kill those who were reachable all along."""
    cluster = SimulatedCluster(3).run(10 * S)
    told = cluster.machines["b0"]
    dead = replace(told.members["b1"].update, status=codec.MemberStatus.DEAD, reported_by="b2")
    told.apply_update(cluster.now, dead)
    assert "b1" in cluster.view_of("b0") and not told.view(cluster.now).stable
    assert cluster.run(10 * S).agrees() and not cluster.declared_dead()


def test_what_one_thought_dead_says_against_others_is_its_own_trouble():
    cluster = SimulatedCluster(5).run(10 * S)
    machine = cluster.machines["b0"]
    machine.store_update(
        cluster.now, replace(machine.members["b4"].update, status=codec.MemberStatus.DEAD), "died"
    )
    against = replace(machine.members["b1"].update, status=codec.MemberStatus.SUSPECT, reported_by="b4")
    sender = cluster.machines["b4"]
    data, _ = codec.encode_packet(
        "b4", 1, sender.sequence_number + 1, codec.Sync(False), [codec.encode_update(against)]
    )
    machine.receive_datagram(cluster.now, data, "b4")
    assert not machine.suspects


def test_a_process_whose_clock_was_set_back_takes_its_place_all_the_same():
    cluster = SimulatedCluster(4).run(10 * S)
    cluster.start_instance("b2", generation=0, seeds=["b0"])
    cluster.run(30 * S)
    assert cluster.agrees() and not cluster.declared_dead() and cluster.machines["b2"].generation == 2


def test_a_late_datagram_of_a_former_life_changes_nothing():
    cluster = SimulatedCluster(3).run(10 * S)
    old, _ = codec.encode_packet(
        "b2", 1, 10_000, codec.Sync(False), [codec.encode_update(cluster.machines["b2"].self_update)]
    )
    cluster.start_instance("b2", generation=2, seeds=["b0"])
    cluster.run(10 * S)
    machine = cluster.machines["b0"]
    machine.receive_datagram(cluster.now, old, "b2")
    assert machine.dropped_datagrams["former"] == 1 and machine.members["b2"].update.generation == 2


def test_a_datagram_that_comes_again_is_dropped():
    machine = MembershipProtocol("a", 1, "a", SwimConfig(), Random(1))
    machine.start(0, [])
    data, _ = codec.encode_packet("b", 1, 1, codec.Ping(1, "a"), [])
    for _ in range(3):
        machine.receive_datagram(1, data, "b")
    assert machine.dropped_datagrams["replayed"] == 2 and len(machine.outgoing) == 1


def test_a_successor_goes_on_with_life_and_incarnation_and_nobody_sees_a_change():
    cluster = SimulatedCluster(4).run(20 * S)
    before, told = cluster.machines["b1"], len(cluster.machines["b0"].events)
    made = MembershipProtocol("b1", 99, "b1", cluster.config, Random(5))
    made.restore(cluster.now, before.snapshot())
    cluster.machines["b1"] = made
    made.start(cluster.now, [])
    cluster.transmit("b1")
    cluster.run(30 * S)
    assert (
        cluster.agrees()
        and made.generation == before.generation
        and made.sequence_number > before.sequence_number
    )
    assert not [e for e in cluster.machines["b0"].events[told:] if e.kind in ("died", "left", "returned")]


def test_one_that_wakes_asks_before_it_claims_and_its_view_is_not_stable_until_then():
    cluster = SimulatedCluster(5).run(10 * S)
    cluster.pause("b2", 60 * S)
    cluster.run(59 * S)
    machine = cluster.machines["b2"]
    machine.timer_fired(cluster.now + 3 * S)
    assert machine.events[-1].kind == "paused" and not machine.view(cluster.now).stable
    machine.suspect_member(cluster.now, "b0")
    assert not machine.suspects


def test_a_settled_view_is_the_last_one_without_a_suspicion():
    cluster = SimulatedCluster(5).run(20 * S)
    machine = cluster.machines["b0"]
    settled = machine.last_stable_view(cluster.now)
    machine.suspect_member(cluster.now, "b3")
    latest = machine.view(cluster.now)
    assert (
        not latest.stable and machine.last_stable_view(cluster.now) is settled and len(settled.members) == 5
    )
    assert latest.confidence < settled.confidence


def test_one_just_begun_does_not_take_itself_for_the_fleet():
    machine = MembershipProtocol("a", 1, "a", SwimConfig(), Random(1))
    machine.start(0, ["b"])
    assert machine.last_stable_view(0) is None and not machine.view(0).stable


def test_datagrams_that_cant_be_read_are_counted_and_dropped():
    machine = MembershipProtocol("a", 1, "a", SwimConfig(), Random(1))
    machine.start(0, [])
    good, _ = codec.encode_packet("b", 1, 1, codec.Ping(1, "a"), [])
    chance = Random(2)
    bad = [b"", b"\x00" * 2_000, good[:-1], good.replace(b"\x96\x01", b"\x96\x02", 1)]
    bad += [bytes(chance.randrange(256) for _ in range(chance.randrange(60))) for _ in range(2_000)]
    for data in bad:
        machine.receive_datagram(0, data, "b")
    assert machine.dropped_datagrams.total() == len(bad) and not machine.members and not machine.outgoing


def test_a_datagram_keeps_its_size_whatever_the_fleet():
    cluster = SimulatedCluster(120).run(5 * S)
    for name in cluster.machines:
        cluster.machines[name].sync_periodically()
        assert all(len(data) <= codec.MAX_DATAGRAM_BYTES for _, data in cluster.machines[name].outgoing)
        cluster.machines[name].outgoing.clear()
