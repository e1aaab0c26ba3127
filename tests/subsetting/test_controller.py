"""A subset over time: never too small, changed in small steps, widened while much of it is unusable."""

from collections.abc import Iterable
from random import Random

import pytest
from participants import SECOND, participants

from dahliabend.subsetting.controller import ActiveSubset, SubsetController
from dahliabend.subsetting.selection import Participant, assign_subsets
from dahliabend.subsetting.settings import SubsetControllerSettings


def controller_at_start(balancers: int = 20, upstreams: int = 60) -> SubsetController:
    controller = SubsetController(Participant("b0"), SubsetControllerSettings())
    controller.update_view(SECOND, participants("b", range(balancers)), trusted=True)
    controller.update_upstreams(SECOND, participants("u", range(upstreams)))
    return controller


def run(
    controller: SubsetController, now: int, steps: int, pinned: frozenset[str] = frozenset()
) -> list[ActiveSubset]:
    """Step once a second, and return the subsets published."""
    published = []
    for step in range(steps):
        subset = controller.step(now + step * SECOND, pinned)
        if subset is not None:
            published.append(subset)
    return published


def subset_in_view(balancers: Iterable[int], upstreams: Iterable[int]) -> set[str]:
    assignment = assign_subsets(participants("b", balancers), participants("u", upstreams))
    return set(assignment.subset_of("b0"))


def test_first_subset_is_complete_with_the_weights_of_the_assignment():
    controller = controller_at_start()
    subset = controller.step(SECOND)
    assert set(subset.weights) == subset_in_view(range(20), range(60))
    assert subset.source == "members"
    assert sum(subset.weights.values()) == pytest.approx(len(subset.weights))
    assert controller.step(3 * SECOND) is None


def test_changes_are_bounded_and_the_subset_never_falls_below_its_size():
    controller = controller_at_start()
    size = len(controller.step(SECOND).weights)
    controller.update_view(2 * SECOND, participants("b", [0, *range(100, 119)]), trusted=True)
    controller.update_upstreams(2 * SECOND, participants("u", range(10, 75)))  # ten leave, fifteen join
    subsets = run(controller, 3 * SECOND, 60)
    target = subset_in_view([0, *range(100, 119)], range(10, 75))
    assert set(controller.active) == target
    for subset in subsets[1:]:  # the first replaces those that have left
        assert len(subset.added) <= max(2, size // 8 + 1)
        assert len(subset.dropped) <= size // 8 + 1
        assert len(subset.weights) >= min(size, len(target)) - size // 8 - 1


def test_pool_that_is_replaced_leaves_the_subset_large_enough_at_any_time():
    controller = controller_at_start(upstreams=40)
    size = len(controller.step(SECOND).weights)
    for second in range(7):
        replaced = 4 * (second + 1)
        listed = participants("u", [*range(replaced, 40), *range(100, 100 + replaced)])
        controller.update_upstreams((2 + second) * SECOND, listed)
        subset = controller.step((2 + second) * SECOND)
        assert subset is None or len(subset.weights) >= size * 7 // 8
        assert set(controller.active) <= set(controller.eligible)


def test_doubtful_view_narrows_nothing_until_it_has_lasted():
    controller = controller_at_start(balancers=40)
    before = set(controller.step(SECOND).weights)
    controller.update_view(2 * SECOND, participants("b", range(15)), trusted=False)
    run(controller, 3 * SECOND, 30)
    assert before <= set(controller.active)
    assert subset_in_view(range(15), range(60)) <= set(controller.active)
    controller.update_view(40 * SECOND, participants("b", range(40)), trusted=True)
    run(controller, 41 * SECOND, 40)
    assert set(controller.active) == before
    controller.update_view(100 * SECOND, participants("b", range(15)), trusted=False)
    run(controller, 101 * SECOND, 120)
    assert set(controller.active) == subset_in_view(range(15), range(60))
    assert controller.target.source == "members"


def test_subset_with_few_usable_upstreams_widens_along_its_own_ranks_and_narrows_again():
    controller = controller_at_start(balancers=60)
    size = len(controller.step(SECOND).weights)
    for second in range(20):
        controller.adjust_width(2)
        controller.step((3 + second) * SECOND)
    assert len(controller.active) == 2 * size
    other = SubsetController(Participant("b1"), controller.settings)
    other.update_view(SECOND, participants("b", range(60)), trusted=True)
    other.update_upstreams(SECOND, participants("u", range(60)))
    other.step(SECOND)
    for second in range(20):
        other.adjust_width(2)
        other.step((3 + second) * SECOND)
    assert len(set(controller.active) & set(other.active)) < 1.6 * size, "not all along the same ranks"
    for second in range(60):
        controller.adjust_width(len(controller.active))
        controller.step((30 + second) * SECOND)
    assert set(controller.active) == subset_in_view(range(60), range(60))


def test_changed_weights_alone_are_published_too():
    """A fleet at rest would otherwise keep the weights of an earlier view for good."""
    controller = controller_at_start()
    before = controller.step(SECOND).weights
    balancers = [Participant(f"b{n}", weight=5.0 if n == 3 else 1.0) for n in range(20)]
    controller.update_view(2 * SECOND, balancers, trusted=True)
    published = run(controller, 3 * SECOND, 40)
    assert published
    assert controller.step(60 * SECOND) is None
    assignment = assign_subsets(list(controller.view.trusted), participants("u", range(60)))
    target = assignment.subset_of("b0")
    weights = published[-1].weights
    total = sum(weights.values())
    assert weights != before
    assert all(weights[name] / total == pytest.approx(target[name], rel=0.05) for name in target)


def test_without_a_view_the_subset_goes_by_the_own_name():
    controller = SubsetController(Participant("b0"), SubsetControllerSettings(balancers=20))
    controller.update_upstreams(SECOND, participants("u", range(60)))
    subset = controller.step(SECOND)
    assert subset.source == "name"
    assert 12 <= len(subset.weights) < 60
    assert set(subset.weights) == set(controller.target.ranking[: len(subset.weights)])


def test_pinned_upstream_is_not_dropped():
    controller = controller_at_start()
    pinned = frozenset([next(iter(controller.step(SECOND).weights))])
    controller.update_view(2 * SECOND, participants("b", [0, *range(200, 219)]), trusted=True)
    run(controller, 3 * SECOND, 60, pinned)
    assert pinned <= set(controller.active)


def test_empty_list_is_followed():
    controller = controller_at_start()
    pinned = frozenset([next(iter(controller.step(SECOND).weights))])
    controller.update_view(2 * SECOND, participants("b", [0, *range(200, 219)]), trusted=True)
    run(controller, 3 * SECOND, 60, pinned)
    controller.update_upstreams(99 * SECOND, [])
    assert controller.step(100 * SECOND).weights == {}
    assert controller.step(103 * SECOND) is None
    controller.update_upstreams(104 * SECOND, participants("u", range(5)))
    assert len(controller.step(105 * SECOND).weights) == 5


def test_balancer_that_flaps_for_a_minute_moves_little():
    controller, random = controller_at_start(balancers=40), Random(3)
    controller.step(SECOND)
    moved = 0
    for second in range(60):
        present = [n for n in range(40) if n != 7 or random.random() < 0.5]
        controller.update_view((2 + second) * SECOND, participants("b", present), trusted=True)
        subset = controller.step((2 + second) * SECOND)
        moved += len(subset.added) + len(subset.dropped) if subset else 0
    assert moved <= 2 * len(controller.active)
