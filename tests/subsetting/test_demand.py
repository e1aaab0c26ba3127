"""Demand is announced: growth at once, a decrease once it lasts, chance never; unknown demand is the mean."""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import pytest
from participants import SECOND

from dahliabend.subsetting.demand import UNKNOWN_DEMAND_WEIGHT, DemandEstimator
from dahliabend.subsetting.fleet_view import fill_unknown_demand
from dahliabend.subsetting.selection import Participant


class Announcement(NamedTuple):
    second: int
    weight: float


def announcements(rates: Iterable[int], seed: int = 1) -> list[Announcement]:
    """What is announced as requests arrive at random, at one rate in each second."""
    estimator, random = DemandEstimator(), Random(seed)
    count = 0
    announced = []
    for second, rate in enumerate(rates):
        for quarter in range(4):
            count += sum(random.random() < rate / 400 for _ in range(100))
            weight = estimator.update((1 + second) * SECOND + quarter * SECOND // 4, count)
            if weight is not None:
                announced.append(Announcement(second, weight))
    return announced


@pytest.mark.parametrize("seed", range(5))
def test_steady_demand_is_announced_once(seed):
    announced = announcements([20] * 300, seed)
    assert len(announced) <= 2
    assert announced[0].second >= 9
    assert announced[-1].weight == pytest.approx(20, rel=0.5)


def test_growth_is_announced_at_once_and_a_lull_is_not():
    announced = announcements([10] * 60 + [60] * 20 + [2] * 40 + [60] * 40)
    growth = next(each.second for each in announced if each.weight > 20)
    assert 60 <= growth <= 70, "two announcements are ten seconds apart"
    assert all(each.weight > 20 for each in announced if each.second > growth)


def test_decrease_is_announced_once_it_has_lasted_with_the_peak_since():
    announced = announcements([60] * 40 + [8] * 120)
    assert next(each.second for each in announced if each.weight < 40) >= 40 + 60
    assert announced[-1].weight < 40


def test_unknown_demand_counts_as_the_mean_of_the_others():
    balancers = [Participant("a", weight=8.0), Participant("b", weight=4.0)]
    unknown = Participant("c", weight=UNKNOWN_DEMAND_WEIGHT)
    assert [each.weight for each in fill_unknown_demand([*balancers, unknown])] == [8.0, 4.0, 6.0]
    assert [each.weight for each in fill_unknown_demand([unknown])] == [1.0]
