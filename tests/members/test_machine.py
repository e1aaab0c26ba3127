"""Who is there: ends, pauses, losses, cuts one way, a fleet in parts, returns, two by one name."""

from random import Random

import pytest
from town import S, Town

from dahliabend.members import wire
from dahliabend.members.machine import Machine, Terms


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
    assert any(event.what == "paused" for event in town.machines["b2"].events)


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
    assert all(m.view(town.now).cut for m in town.machines.values())
    town.cut = set()
    assert town.run(60 * S).agree()
    assert not any(m.view(town.now).cut for m in town.machines.values())


def test_one_that_leaves_is_gone_at_once_and_never_suspected():
    town = Town(5).run(10 * S)
    town.machines["b4"].leave(town.now)
    town.carry("b4")
    town.run(2 * S)
    del town.machines["b4"]
    assert town.agree() and not town.died()
    assert not any(e.what == "suspected" for m in town.machines.values() for e in m.events)


def test_one_started_again_in_its_place_takes_its_name_over():
    town = Town(4).run(10 * S)
    town.begin("b2", life=2, seeds=["b0"])
    town.run(20 * S)
    assert town.agree() and not town.died()
    assert {m.members["b2"].rumour.life for n, m in town.machines.items() if n != "b2"} == {2}


def test_two_at_once_by_one_name_are_told_and_neither_wins_silently():
    town = Town(3).run(10 * S)
    other = Machine("b1", 9, "elsewhere", town.terms, Random(4))
    other.start(town.now, ["b0"])
    town.machines["elsewhere"] = other
    town.carry("elsewhere")
    town.run(30 * S)
    told = [m for n, m in town.machines.items() if any(e.what == "conflict" for e in m.events)]
    assert len(told) >= 2 and town.machines["b0"].members["b1"].rumour.address == "b1"


def test_datagrams_that_cant_be_read_are_counted_and_dropped():
    machine = Machine("a", 1, "a", Terms(), Random(1))
    machine.start(0, [])
    good, _ = wire.encode("b", 1, wire.Ping(1, "a"), [])
    chance = Random(2)
    bad = [b"", b"\x00" * 2_000, good[:-1], good.replace(b"\x95\x01", b"\x95\x02", 1)]
    bad += [bytes(chance.randrange(256) for _ in range(chance.randrange(60))) for _ in range(2_000)]
    for data in bad:
        machine.received(0, data, "b")
    assert machine.refused == len(bad) and not machine.members and not machine.out


def test_a_datagram_keeps_its_size_whatever_the_fleet():
    town = Town(120).run(5 * S)
    for name in town.machines:
        town.machines[name].exchange()
        assert all(len(data) <= wire.MOST for _, data in town.machines[name].out)
        town.machines[name].out.clear()
