"""Upstreams that flap rest at each return, and none for good."""

from dahliabend.subsetting.controller import Keeper, Terms
from dahliabend.subsetting.flap_damping import Flaps
from dahliabend.subsetting.selection import Party

S = 1_000_000


def parties(of, numbers):
    return [Party(f"{of}{n}") for n in numbers]


def test_one_that_flaps_rests_and_is_back_once_it_has_stayed():
    flaps, names = Flaps(), [f"u{n}" for n in range(16)]
    for turn in range(20):
        flaps.departed(S + 3 * turn * S, ["u3"])
        rest = flaps.rest(S + (3 * turn + 1) * S, names)
        assert rest == (set() if turn < 2 else {"u3"})
    assert flaps.rest(58 * S + 30 * S, names) == {"u3"} and flaps.rest(58 * S + 45 * S, names) == set()


def test_two_restarts_far_apart_cost_nothing_and_a_part_of_the_pool_rests_at_the_most():
    flaps, names = Flaps(), [f"u{n}" for n in range(16)]
    for turn in range(4):
        flaps.departed(S + 60 * turn * S, names)
        assert flaps.rest(2 * S + 60 * turn * S, names) == set()
    for turn in range(6):
        flaps.departed(400 * S + 2 * turn * S, names)
    assert len(flaps.rest(412 * S, names)) == 2
    assert flaps.rest(600 * S, names) == set() and not flaps.penalties


def test_a_flapping_upstream_moves_little_over_a_minute():
    """Else twenty turns would move some forty fair shares of pairs over the fleet."""
    keepers = [Keeper(Party(f"b{n}"), Terms(least=8, degree=8)) for n in range(20)]
    pool, moved = parties("u", range(40)), 0
    for each in keepers:
        each.sees(S, parties("b", range(20)), sure=True)
        each.lists(S, pool)
        each.step(S)
    fair = sum("u5" in each.using for each in keepers)
    for quarter in range(240):
        now = 2 * S + quarter * S // 4
        for each in keepers:
            each.lists(now, [party for party in pool if party.name != "u5" or quarter % 12 >= 4])
            made = each.step(now)
            moved += len(made.added) + len(made.dropped) if made else 0
    assert fair and moved <= 3 * 4 * fair + 20


def test_a_list_of_which_half_is_missing_marks_nobody():
    made = Keeper(Party("b0"), Terms())
    for turn in range(6):
        made.lists((1 + turn) * S, parties("u", range(20 if turn % 2 else 40)))
    assert not made.flaps.penalties and not made.flaps.resting
