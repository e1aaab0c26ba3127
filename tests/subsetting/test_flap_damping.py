"""Upstreams that flap rest at each return, and none for good."""

from dahliabend.subsetting.controller import SubsetController, SubsetSettings
from dahliabend.subsetting.flap_damping import FlapDamping
from dahliabend.subsetting.selection import Participant

S = 1_000_000


def parties(of, numbers):
    return [Participant(f"{of}{n}") for n in numbers]


def test_one_that_flaps_rests_and_is_back_once_it_has_stayed():
    flaps, names = FlapDamping(), [f"u{n}" for n in range(16)]
    for turn in range(20):
        flaps.record_departures(S + 3 * turn * S, ["u3"])
        rest = flaps.suppress(S + (3 * turn + 1) * S, names)
        assert rest == (set() if turn < 2 else {"u3"})
    assert (
        flaps.suppress(58 * S + 30 * S, names) == {"u3"} and flaps.suppress(58 * S + 45 * S, names) == set()
    )


def test_two_restarts_far_apart_cost_nothing_and_a_part_of_the_pool_rests_at_the_most():
    flaps, names = FlapDamping(), [f"u{n}" for n in range(16)]
    for turn in range(4):
        flaps.record_departures(S + 60 * turn * S, names)
        assert flaps.suppress(2 * S + 60 * turn * S, names) == set()
    for turn in range(6):
        flaps.record_departures(400 * S + 2 * turn * S, names)
    assert len(flaps.suppress(412 * S, names)) == 2
    assert flaps.suppress(600 * S, names) == set() and not flaps.penalties


def test_a_flapping_upstream_moves_little_over_a_minute():
    """Else twenty turns would move some forty fair shares of pairs over the fleet."""
    keepers = [
        SubsetController(Participant(f"b{n}"), SubsetSettings(min_size=8, degree=8)) for n in range(20)
    ]
    pool, moved = parties("u", range(40)), 0
    for each in keepers:
        each.update_view(S, parties("b", range(20)), trusted=True)
        each.update_upstreams(S, pool)
        each.step(S)
    fair = sum("u5" in each.active for each in keepers)
    for quarter in range(240):
        now = 2 * S + quarter * S // 4
        for each in keepers:
            each.update_upstreams(now, [party for party in pool if party.name != "u5" or quarter % 12 >= 4])
            made = each.step(now)
            moved += len(made.added) + len(made.dropped) if made else 0
    assert fair and moved <= 3 * 4 * fair + 20


def test_a_list_of_which_half_is_missing_marks_nobody():
    made = SubsetController(Participant("b0"), SubsetSettings())
    for turn in range(6):
        made.update_upstreams((1 + turn) * S, parties("u", range(20 if turn % 2 else 40)))
    assert not made.flap_damping.penalties and not made.flap_damping.suppressed
