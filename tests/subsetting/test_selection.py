"""The assignment: even, never too small, changed little by one event, and the same for equal views."""

from collections.abc import Callable

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.subsetting.rendezvous import FloatArray
from dahliabend.subsetting.selection import (
    MIN_SUBSET_SIZE,
    Assignment,
    Participant,
    assign_subsets,
    normalized_weights,
)


def fleet(
    count: int, prefix: str = "b", zones: int = 1, weight: Callable[[int], float] = lambda n: 1.0
) -> list[Participant]:
    return [Participant(f"{prefix}{n}", f"z{n % zones}", weight(n)) for n in range(count)]


def by_name(participants: list[Participant]) -> list[Participant]:
    return sorted(participants, key=lambda participant: participant.name)


def relative_load(assignment: Assignment, upstreams: list[Participant]) -> FloatArray:
    """The load of each upstream divided by its capacity."""
    return assignment.shares.sum(axis=0) / normalized_weights(by_name(upstreams))


@pytest.mark.parametrize(
    ("balancers", "pool"), [(1, 500), (500, 3), (200, 100), (7, 5), (100, 100), (40, 60)]
)
def test_equal_demand_loads_all_upstreams_equally(balancers, pool):
    upstreams = fleet(pool, "u")
    assignment = assign_subsets(fleet(balancers), upstreams)
    assert relative_load(assignment, upstreams).max() <= 1.05
    assert (assignment.shares > 0).sum(axis=1).min() >= min(MIN_SUBSET_SIZE, pool)
    assert assignment.shares.sum() == pytest.approx(1)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(st.integers(1, 60), st.integers(1, 60), st.integers(1, 4), st.integers(0, 2**32), st.booleans())
def test_in_any_fleet_every_balancer_has_an_upstream_and_all_demand_is_assigned(
    count, pool, zones, seed, by_zone
):
    random = np.random.default_rng(seed)
    upstreams = fleet(pool, "u", zones, lambda n: float(random.uniform(1, 4)))
    balancers = fleet(count, "b", zones, lambda n: float(random.uniform(1, 5)))
    assignment = assign_subsets(balancers, upstreams, zones=by_zone)
    sizes = (assignment.shares > 0).sum(axis=1)
    assert sizes.min() >= 1
    assert np.isfinite(assignment.shares).all()
    assert assignment.shares.min() >= 0
    assert assignment.shares.sum(axis=1) == pytest.approx(normalized_weights(by_name(balancers)))
    if not by_zone:
        assert relative_load(assignment, upstreams).max() <= 1.15
        assert sizes.min() >= min(MIN_SUBSET_SIZE, pool)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(2, 80), st.integers(2, 80), st.randoms(use_true_random=False))
def test_order_does_not_matter_and_one_event_changes_about_two_fair_shares(count, pool, random):
    balancers, upstreams = fleet(count), fleet(pool, "u")
    pairs = assign_subsets(balancers, upstreams).pairs()
    random.shuffle(balancers)
    random.shuffle(upstreams)
    assert assign_subsets(balancers, upstreams).pairs() == pairs
    for fewer_balancers, fewer_upstreams, number in (
        (balancers[1:], upstreams, count),
        (balancers, upstreams[1:], pool),
    ):
        moved = len(pairs ^ assign_subsets(fewer_balancers, fewer_upstreams).pairs())
        fair_share = len(pairs) / number
        assert moved <= 2 * fair_share + 4 * fair_share**0.5 + 2


def test_demand_goes_to_other_zones_only_beyond_the_capacity_of_its_own():
    upstreams = fleet(40, "u", 4)
    assignment = assign_subsets(fleet(40, "b", 4), upstreams, zones=True)
    assert all(
        balancer[1:].isdigit() and int(balancer[1:]) % 4 == int(upstream[1:]) % 4
        for balancer, upstream in assignment.pairs()
    )
    all_in_one_zone = [Participant(f"b{n}", "z0") for n in range(20)]
    load = relative_load(assign_subsets(all_in_one_zone, upstreams, zones=True), upstreams)
    assert load.max() <= 1.15
    assert load.min() >= 0.9


def test_one_event_opens_no_flows_between_zones():
    """Without `HOME_OVERLOAD`, one balancer less would make zones use upstreams of all other zones."""
    balancers, upstreams = fleet(40, "b", 2), fleet(60, "u", 2)
    pairs = assign_subsets(balancers, upstreams, zones=True).pairs()
    for fewer_balancers, fewer_upstreams in ((balancers[1:], upstreams), (balancers, upstreams[1:])):
        after = assign_subsets(fewer_balancers, fewer_upstreams, zones=True).pairs()
        assert len(pairs ^ after) <= 4 * len(pairs) / 40


def test_load_stays_even_while_only_half_of_the_balancers_know_of_an_event():
    balancers, upstreams = fleet(60), fleet(40, "u")
    for remaining_balancers, remaining_upstreams in ((balancers[1:], upstreams), (balancers, upstreams[1:])):
        before = assign_subsets(balancers, upstreams)
        after = assign_subsets(remaining_balancers, remaining_upstreams)
        load = dict.fromkeys((upstream.name for upstream in upstreams), 0.0)
        for number, balancer in enumerate(remaining_balancers):
            assignment = before if number % 2 else after
            for name, share in assignment.subset_of(balancer.name).items():
                load[name] += share / len(remaining_balancers)
        remaining_names = {upstream.name for upstream in remaining_upstreams}
        loads = [share for name, share in load.items() if name in remaining_names]
        assert max(loads) / (sum(loads) / len(loads)) <= 1.25


def test_unusual_names_and_weights_are_accepted():
    upstreams = [
        Participant("", weight=1),
        Participant("10", weight=0),
        Participant("9", weight=-1),
        Participant("é", weight=2),
        Participant("a" * 500, weight=1),
    ]
    assignment = assign_subsets([Participant("b")], upstreams)
    assert (assignment.shares > 0).all()
    assert assignment.shares.sum() == pytest.approx(1)


def test_no_balancers_or_no_upstreams_give_an_empty_assignment():
    upstreams = fleet(5, "u")
    assert assign_subsets([], upstreams).shares.shape == (0, 5)
    assert assign_subsets([Participant("b")], []).subset_of("b") == {}
