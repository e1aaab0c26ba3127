"""Demand as it is told: growth at once, less only once it lasts, chance never; untold, it is the mean."""

from random import Random

import pytest

from dahliabend.subsetting.controller import fill_unknown_demand
from dahliabend.subsetting.demand import UNKNOWN_DEMAND, DemandEstimator
from dahliabend.subsetting.selection import Participant

S = 1_000_000


def played(rates, seed=1, step=S // 4):
    """What is told as transactions come by chance, at so many a second; pairs of second and weight."""
    made, chance, count, told = DemandEstimator(), Random(seed), 0, []
    for second, rate in enumerate(rates):
        for part in range(4):
            count += sum(chance.random() < rate / 400 for _ in range(100))
            weight = made.update((1 + second) * S + part * step, count)
            if weight is not None:
                told.append((second, weight))
    return told


@pytest.mark.parametrize("seed", range(5))
def test_a_steady_demand_is_told_once(seed):
    told = played([20] * 300, seed)
    assert len(told) <= 2 and told[0][0] >= 9 and told[-1][1] == pytest.approx(20, rel=0.5)


def test_growth_is_told_at_once_and_a_lull_not():
    told = played([10] * 60 + [60] * 20 + [2] * 40 + [60] * 40)
    first = next(second for second, weight in told if weight > 20)
    assert 60 <= first <= 70  # two tellings are ten seconds apart
    assert all(weight > 20 for second, weight in told if second > first)


def test_less_is_told_once_it_has_lasted_and_what_it_was_at_the_most_since():
    told = played([60] * 40 + [8] * 120)
    assert [second for second, weight in told if weight < 40][0] >= 40 + 60
    assert told[-1][1] < 40


def test_one_that_has_told_nothing_counts_as_the_mean():
    fleet = [
        Participant("a", weight=8.0),
        Participant("b", weight=4.0),
        Participant("c", weight=UNKNOWN_DEMAND),
    ]
    assert [party.weight for party in fill_unknown_demand(fleet)] == [8.0, 4.0, 6.0]
    assert [party.weight for party in fill_unknown_demand([Participant("a", weight=UNKNOWN_DEMAND)])] == [1.0]
