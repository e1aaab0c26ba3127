"""Who is there: ends, pauses, losses, cuts one way, a fleet in parts, returns, two by one name."""

from random import Random

import pytest
from msgspec.structs import replace
from simulated_cluster import S, Town

from dahliabend.membership import codec
from dahliabend.membership.failure_detector import MembershipProtocol, SwimConfig


@pytest.mark.parametrize("count", [2, 5, 40])
def test_all_that_start_at_once_find_each_other(count):
    town = Town(count).run(15 * S)
    assert town.agree() and not town.died()
    assert all(m.view(town.now).stable for m in town.machines.values())


def test_one_that_ends_is_out_of_every_view_and_none_else():
    town = Town(5).run(10 * S)
    del town.machines["b3"]
    town.run(30 * S)
    assert town.agree() and town.died() == {"b3"}


@pytest.mark.parametrize("seed", range(5))
def test_with_three_in_ten_datagrams_lost_nobody_is_thought_dead(seed):
    town = Town(5, seed, loss=0.3).run(300 * S)
    assert not town.died() and town.agree()


def test_a_cut_one_way_between_two_changes_nothing():
    town = Town(5).run(10 * S)
    town.cut.add(("b1", "b2"))
    town.run(120 * S)
    assert not town.died() and town.agree()


def test_one_that_hears_and_is_not_heard_by_anybody_is_out_for_all_and_back_after_it():
    town = Town(5).run(10 * S)
    town.cut = {("b1", f"b{n}") for n in range(5)}
    town.run(60 * S)
    assert all("b1" not in town.sees(f"b{n}") for n in (0, 2, 3, 4))
    town.cut = set()
    assert town.run(60 * S).agree()


@pytest.mark.parametrize("span", [200_000, 4 * S])
def test_a_pause_shorter_than_a_suspicion_kills_nobody(span):
    town = Town(5).run(10 * S)
    town.pause("b2", span)
    town.run(60 * S)
    assert not town.died() and town.agree()


def test_one_stopped_for_a_minute_accuses_nobody_when_it_goes_on_and_returns():
    town = Town(5).run(10 * S)
    town.pause("b2", 60 * S)
    town.run(59 * S)
    assert all("b2" not in town.sees(f"b{n}") for n in (0, 1, 3, 4))
    town.run(60 * S)
    assert town.died() == {"b2"} and town.agree()
    assert any(event.kind == "paused" for event in town.machines["b2"].events)


def test_half_a_fleet_stopped_at_once_does_not_bury_the_other_half():
    town = Town(10).run(15 * S)
    half = {f"b{n}" for n in range(5)}
    for name in half:
        town.pause(name, 30 * S)
    town.run(120 * S)
    assert town.died() <= half and town.agree()


def test_parts_of_a_fleet_know_that_they_may_be_cut_off_and_are_one_again_after_it():
    town = Town(5).run(10 * S)
    small, large = {"b0", "b1"}, {"b2", "b3", "b4"}
    town.cut = {(a, b) for a in small for b in large} | {(b, a) for a in small for b in large}
    town.run(25 * S)
    assert town.agree(small) and town.agree(large)
    assert all(m.view(town.now).possibly_partitioned for m in town.machines.values())
    town.cut = set()
    assert town.run(60 * S).agree()
    assert not any(m.view(town.now).possibly_partitioned for m in town.machines.values())


def test_one_that_leaves_is_gone_at_once_and_never_suspected():
    town = Town(5).run(10 * S)
    town.machines["b4"].leave(town.now)
    town.carry("b4")
    town.run(2 * S)
    del town.machines["b4"]
    assert town.agree() and not town.died()
    assert not any(e.kind == "suspected" for m in town.machines.values() for e in m.events)


def test_one_started_again_in_its_place_takes_its_name_over():
    town = Town(4).run(10 * S)
    town.begin("b2", life=2, seeds=["b0"])
    town.run(20 * S)
    assert town.agree() and not town.died()
    assert {m.members["b2"].update.generation for n, m in town.machines.items() if n != "b2"} == {2}


def test_two_at_once_by_one_name_are_told_and_neither_wins_silently():
    town = Town(3).run(10 * S)
    other = MembershipProtocol("b1", 9, "elsewhere", town.terms, Random(4))
    other.start(town.now, ["b0"])
    town.machines["elsewhere"] = other
    town.carry("elsewhere")
    town.run(30 * S)
    told = [m for n, m in town.machines.items() if any(e.kind == "conflict" for e in m.events)]
    assert len(told) >= 2 and town.machines["b0"].members["b1"].update.address == "b1"


def test_a_cut_one_way_between_two_is_told_as_such_once_and_taken_back_once():
    town = Town(5).run(10 * S)
    town.cut.add(("b1", "b2"))
    town.run(240 * S)
    seen = {m.name: m.unreachable_peers for m in town.machines["b4"].view(town.now).members}
    assert seen["b1"] == ("b2",) and seen["b2"] == ("b1",) and not town.died()
    assert all(m.view(town.now).stable for m in town.machines.values())
    town.cut.clear()
    town.run(120 * S)
    told = [e.kind for m in town.machines.values() for e in m.events if e.kind in ("reached", "unreached")]
    assert sorted(told) == ["reached"] * 2 + ["unreached"] * 2


def test_one_that_most_cannot_reach_is_told_as_unreached_to_all():
    """What it says still comes, by the one that reaches it: dead and returned in turns, it would flap."""
    town = Town(7).run(10 * S)
    town.cut = {(f"b{n}", "b3") for n in range(7) if n != 5}
    town.run(240 * S)
    states = {n: {s.name: s.state for s in m.view(town.now).members} for n, m in town.machines.items()}
    assert all(states[n].get("b3") == "unreached" for n in ("b0", "b1", "b2", "b4", "b6"))
    before = sum(len(machine.events) for machine in town.machines.values())
    town.run(120 * S)
    assert sum(len(machine.events) for machine in town.machines.values()) - before < 60  # 170 a minute before


def test_nobody_is_buried_by_hearsay():
    """After a cut the other side's word would kill those who were reachable all along."""
    town = Town(3).run(10 * S)
    told = town.machines["b0"]
    dead = replace(told.members["b1"].update, status=codec.MemberStatus.DEAD, reported_by="b2")
    told.apply_update(town.now, dead)
    assert "b1" in town.sees("b0") and not told.view(town.now).stable
    assert town.run(10 * S).agree() and not town.died()


def test_what_one_thought_dead_says_against_others_is_its_own_trouble():
    town = Town(5).run(10 * S)
    machine = town.machines["b0"]
    machine.store_update(
        town.now, replace(machine.members["b4"].update, status=codec.MemberStatus.DEAD), "died"
    )
    against = replace(machine.members["b1"].update, status=codec.MemberStatus.SUSPECT, reported_by="b4")
    sender = town.machines["b4"]
    data, _ = codec.encode_packet(
        "b4", 1, sender.sequence_number + 1, codec.Sync(False), [codec.encode_update(against)]
    )
    machine.receive_datagram(town.now, data, "b4")
    assert not machine.suspects


def test_a_process_whose_clock_was_set_back_takes_its_place_all_the_same():
    town = Town(4).run(10 * S)
    town.begin("b2", life=0, seeds=["b0"])
    town.run(30 * S)
    assert town.agree() and not town.died() and town.machines["b2"].generation == 2


def test_a_late_datagram_of_a_former_life_changes_nothing():
    town = Town(3).run(10 * S)
    old, _ = codec.encode_packet(
        "b2", 1, 10_000, codec.Sync(False), [codec.encode_update(town.machines["b2"].self_update)]
    )
    town.begin("b2", life=2, seeds=["b0"])
    town.run(10 * S)
    machine = town.machines["b0"]
    machine.receive_datagram(town.now, old, "b2")
    assert machine.dropped_datagrams["former"] == 1 and machine.members["b2"].update.generation == 2


def test_a_datagram_that_comes_again_is_dropped():
    machine = MembershipProtocol("a", 1, "a", SwimConfig(), Random(1))
    machine.start(0, [])
    data, _ = codec.encode_packet("b", 1, 1, codec.Ping(1, "a"), [])
    for _ in range(3):
        machine.receive_datagram(1, data, "b")
    assert machine.dropped_datagrams["replayed"] == 2 and len(machine.outgoing) == 1


def test_a_successor_goes_on_with_life_and_incarnation_and_nobody_sees_a_change():
    town = Town(4).run(20 * S)
    before, told = town.machines["b1"], len(town.machines["b0"].events)
    made = MembershipProtocol("b1", 99, "b1", town.terms, Random(5))
    made.restore(town.now, before.snapshot())
    town.machines["b1"] = made
    made.start(town.now, [])
    town.carry("b1")
    town.run(30 * S)
    assert (
        town.agree()
        and made.generation == before.generation
        and made.sequence_number > before.sequence_number
    )
    assert not [e for e in town.machines["b0"].events[told:] if e.kind in ("died", "left", "returned")]


def test_one_that_wakes_asks_before_it_claims_and_its_view_is_not_stable_until_then():
    town = Town(5).run(10 * S)
    town.pause("b2", 60 * S)
    town.run(59 * S)
    machine = town.machines["b2"]
    machine.timer_fired(town.now + 3 * S)
    assert machine.events[-1].kind == "paused" and not machine.view(town.now).stable
    machine.suspect_member(town.now, "b0")
    assert not machine.suspects


def test_a_settled_view_is_the_last_one_without_a_suspicion():
    town = Town(5).run(20 * S)
    machine = town.machines["b0"]
    settled = machine.last_stable_view(town.now)
    machine.suspect_member(town.now, "b3")
    latest = machine.view(town.now)
    assert not latest.stable and machine.last_stable_view(town.now) is settled and len(settled.members) == 5
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
    town = Town(120).run(5 * S)
    for name in town.machines:
        town.machines[name].sync_periodically()
        assert all(len(data) <= codec.MAX_DATAGRAM_BYTES for _, data in town.machines[name].outgoing)
        town.machines[name].outgoing.clear()
