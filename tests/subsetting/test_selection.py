"""Who uses whom: even, never few, moved by little, the same for all that see the same."""

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dahliabend.subsetting.selection import MIN_SUBSET_SIZE, Participant, assign_subsets, normalized_weights


def fleet(count, of="b", zones=1, weight=lambda n: 1.0):
    return [Participant(f"{of}{n}", f"z{n % zones}", weight(n)) for n in range(count)]


def spread(relation, upstreams):
    """The load of each upstream over its capacity."""
    return relation.shares.sum(axis=0) / normalized_weights(sorted(upstreams, key=lambda party: party.name))


@pytest.mark.parametrize(("many", "pool"), [(1, 500), (500, 3), (200, 100), (7, 5), (100, 100), (40, 60)])
def test_equal_demand_loads_all_the_same(many, pool):
    upstreams = fleet(pool, "u")
    made = assign_subsets(fleet(many), upstreams)
    assert spread(made, upstreams).max() <= 1.05
    assert (made.shares > 0).sum(axis=1).min() >= min(MIN_SUBSET_SIZE, pool)
    assert made.shares.sum() == pytest.approx(1)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(
    st.integers(1, 60), st.integers(1, 60), st.integers(1, 4), st.integers(0, 2**32), st.booleans(),
)  # fmt: skip
def test_whatever_the_fleet_nobody_is_left_without_and_all_is_spread(many, pool, zones, seed, by_zone):
    chance = np.random.default_rng(seed)
    upstreams = fleet(pool, "u", zones, lambda n: float(chance.uniform(1, 4)))
    balancers = fleet(many, "b", zones, lambda n: float(chance.uniform(1, 5)))
    made = assign_subsets(balancers, upstreams, zones=by_zone)
    rows, load = (made.shares > 0).sum(axis=1), spread(made, upstreams)
    assert rows.min() >= 1 and np.isfinite(made.shares).all() and made.shares.min() >= 0
    assert made.shares.sum(axis=1) == pytest.approx(
        normalized_weights(sorted(balancers, key=lambda b: b.name))
    )
    if not by_zone:
        assert load.max() <= 1.15 and rows.min() >= min(MIN_SUBSET_SIZE, pool)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(2, 80), st.integers(2, 80), st.randoms(use_true_random=False))
def test_order_does_not_matter_and_an_event_moves_about_two_fair_shares(many, pool, chance):
    balancers, upstreams = fleet(many), fleet(pool, "u")
    pairs = assign_subsets(balancers, upstreams).pairs()
    chance.shuffle(balancers)
    chance.shuffle(upstreams)
    assert assign_subsets(balancers, upstreams).pairs() == pairs
    for one, other, count in ((balancers[1:], upstreams, many), (balancers, upstreams[1:], pool)):
        moved = len(pairs ^ assign_subsets(one, other).pairs())
        assert moved <= 2 * len(pairs) / count + 4 * (len(pairs) / count) ** 0.5 + 2


def test_own_zone_first_and_others_only_for_what_it_cannot_bear():
    upstreams = fleet(40, "u", 4)
    made = assign_subsets(fleet(40, "b", 4), upstreams, zones=True)
    assert all(a[1:].isdigit() and int(a[1:]) % 4 == int(b[1:]) % 4 for a, b in made.pairs())
    crowded = [Participant(f"b{n}", "z0") for n in range(20)]
    load = spread(assign_subsets(crowded, upstreams, zones=True), upstreams)
    assert load.max() <= 1.15 and load.min() >= 0.9


def test_one_that_comes_or_goes_opens_no_ways_between_zones():
    """A zone with one balancer less has some demand less: told on exactly, all would use other zones' too."""
    balancers, upstreams = fleet(40, "b", 2), fleet(60, "u", 2)
    pairs = assign_subsets(balancers, upstreams, zones=True).pairs()
    for one, other in ((balancers[1:], upstreams), (balancers, upstreams[1:])):
        assert len(pairs ^ assign_subsets(one, other, zones=True).pairs()) <= 4 * len(pairs) / 40


def test_two_views_one_event_apart_still_add_up():
    """Half of the balancers know of one more that came or went, or of an upstream."""
    balancers, upstreams = fleet(60), fleet(40, "u")
    for other_b, other_u in ((balancers[1:], upstreams), (balancers, upstreams[1:])):
        one, other = assign_subsets(balancers, upstreams), assign_subsets(other_b, other_u)
        load = dict.fromkeys((party.name for party in upstreams), 0.0)
        for number, party in enumerate(other_b):
            made = one if number % 2 else other
            for name, part in made.subset_of(party.name).items():
                load[name] += part / len(other_b)
        seen_by_all = [part for name, part in load.items() if name in {p.name for p in other_u}]
        assert max(seen_by_all) / (sum(seen_by_all) / len(seen_by_all)) <= 1.25


def test_names_that_sort_badly_or_weigh_nothing_do_no_harm():
    upstreams = [
        Participant(name, weight=w) for name, w in (("", 1), ("10", 0), ("9", -1), ("é", 2), ("a" * 500, 1))
    ]
    made = assign_subsets([Participant("b")], upstreams)
    assert (made.shares > 0).all() and made.shares.sum() == pytest.approx(1)
    assert (
        assign_subsets([], upstreams).shares.shape == (0, 5)
        and assign_subsets([Participant("b")], []).subset_of("b") == {}
    )
