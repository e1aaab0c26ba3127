"""A subset over time: never too few, never by leaps, widened by doubt and by what is held back."""

from random import Random

import pytest

from dahliabend.subsetting.controller import SubsetController, SubsetSettings
from dahliabend.subsetting.selection import Participant, assign_subsets

S = 1_000_000


def parties(of, numbers):
    return [Participant(f"{of}{n}") for n in numbers]


def keeper(balancers=20, upstreams=60, now=S, **terms):
    made = SubsetController(Participant("b0"), SubsetSettings(**terms))
    made.update_view(now, parties("b", range(balancers)), trusted=True)
    made.update_upstreams(now, parties("u", range(upstreams)))
    return made


def run(made, now, beats, pinned=frozenset()):
    steps = []
    for beat in range(beats):
        said = made.step(now + beat * S, pinned)
        if said is not None:
            steps.append(said)
    return steps


def wanted(balancers, upstreams):
    return set(assign_subsets(parties("b", balancers), parties("u", upstreams)).subset_of("b0"))


def test_the_first_is_whole_at_once_and_its_weights_are_the_choices():
    made = keeper()
    said = made.step(S)
    assert set(said.weights) == wanted(range(20), range(60)) and said.source == "members"
    assert sum(said.weights.values()) == pytest.approx(len(said.weights)) and made.step(3 * S) is None


def test_moves_are_gentle_and_never_below_the_size():
    made = keeper()
    size = len(made.step(S).weights)
    made.update_view(2 * S, parties("b", [0, *range(100, 119)]), trusted=True)
    made.update_upstreams(2 * S, parties("u", range(10, 75)))  # ten go, fifteen come
    steps = run(made, 3 * S, 60)
    target = wanted([0, *range(100, 119)], range(10, 75))
    assert set(made.active) == target
    for said in steps[1:]:  # the first replaces those that are gone
        assert len(said.added) <= max(2, size // 8 + 1) and len(said.dropped) <= size // 8 + 1
        assert len(said.weights) >= min(size, len(target)) - size // 8 - 1


def test_a_pool_replaced_as_a_whole_is_followed_without_a_moment_of_too_few():
    made = keeper(upstreams=40)
    least = len(made.step(S).weights)
    for second in range(7):
        gone = range(4 * (second + 1))
        made.update_upstreams(
            (2 + second) * S, parties("u", [*range(len(gone), 40), *range(100, 100 + len(gone))])
        )
        said = made.step((2 + second) * S)
        assert said is None or len(said.weights) >= least * 7 // 8
        assert set(made.active) <= set(made.eligible)


def test_a_view_that_may_be_cut_off_narrows_nothing_until_it_has_held():
    made = keeper(balancers=40)
    before = set(made.step(S).weights)
    made.update_view(2 * S, parties("b", range(15)), trusted=False)
    run(made, 3 * S, 30)
    assert before <= set(made.active) and wanted(range(15), range(60)) <= set(made.active)
    made.update_view(40 * S, parties("b", range(40)), trusted=True)
    run(made, 41 * S, 40)
    assert set(made.active) == before
    made.update_view(100 * S, parties("b", range(15)), trusted=False)
    run(made, 101 * S, 120)
    assert set(made.active) == wanted(range(15), range(60)) and made.source == "members"


def test_held_back_it_widens_along_its_own_ranks_and_comes_back():
    made = keeper(balancers=60)
    size = len(made.step(S).weights)
    for beat in range(20):
        made.adjust_width(2)
        made.step((3 + beat) * S)
    assert len(made.active) == 2 * size
    other = SubsetController(Participant("b1"), made.settings)
    other.update_view(S, parties("b", range(60)), trusted=True)
    other.update_upstreams(S, parties("u", range(60)))
    other.step(S)
    for beat in range(20):
        other.adjust_width(2)
        other.step((3 + beat) * S)
    assert len(set(made.active) & set(other.active)) < 1.6 * size  # not all onto the same few
    for beat in range(60):
        made.adjust_width(len(made.active))
        made.step((30 + beat) * S)
    assert set(made.active) == wanted(range(60), range(60))


def test_other_weights_alone_are_told_too():
    """A fleet whose sets had come to rest kept weights of an earlier view: 1.11 of the mean for good."""
    made = keeper()
    before = made.step(S).weights
    made.update_view(
        2 * S, [Participant(f"b{n}", weight=5.0 if n == 3 else 1.0) for n in range(20)], trusted=True
    )
    told = run(made, 3 * S, 40)
    assert told and made.step(60 * S) is None
    target = assign_subsets(list(made.trusted_view), parties("u", range(60))).subset_of("b0")
    last, total = told[-1].weights, sum(told[-1].weights.values())
    assert last != before and all(last[n] / total == pytest.approx(target[n], rel=0.05) for n in target)


def test_without_a_view_it_goes_by_its_name_and_says_so():
    made = SubsetController(Participant("b0"), SubsetSettings(balancers=20))
    made.update_upstreams(S, parties("u", range(60)))
    said = made.step(S)
    assert (
        said.source == "name"
        and 12 <= len(said.weights) < 60
        and set(said.weights) == set(made.own_ranking[: len(said.weights)])
    )


def test_one_that_an_operator_holds_stays_and_an_empty_list_is_followed():
    made = keeper()
    held = frozenset([next(iter(made.step(S).weights))])
    made.update_view(2 * S, parties("b", [0, *range(200, 219)]), trusted=True)
    run(made, 3 * S, 60, held)
    assert held <= set(made.active)
    made.update_upstreams(99 * S, [])
    assert made.step(100 * S).weights == {} and made.step(103 * S) is None
    made.update_upstreams(104 * S, parties("u", range(5)))
    assert len(made.step(105 * S).weights) == 5


def test_a_balancer_that_flaps_moves_little_over_a_minute():
    made, chance = keeper(balancers=40), Random(3)
    made.step(S)
    moved = 0
    for second in range(60):
        there = [n for n in range(40) if n != 7 or chance.random() < 0.5]
        made.update_view((2 + second) * S, parties("b", there), trusted=True)
        said = made.step((2 + second) * S)
        moved += len(said.added) + len(said.dropped) if said else 0
    assert moved <= 2 * len(made.active)
