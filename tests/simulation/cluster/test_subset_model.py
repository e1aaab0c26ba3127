"""Subsets of a whole fleet on the modelled network: even again after troubles, never few, moves bounded."""

import pytest

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.cluster.script import Fleet, S, Step
from dahliabend.simulation.cluster.subset_model import SubsetModel
from dahliabend.subsetting.controller import SubsetSettings


def fleet(seed=0, many=30, pool=24):
    made = SubsetModel(
        Fleet(seed=seed, instances=many, delay=Duration(2_000)), pool, SubsetSettings(min_size=8, degree=8)
    )
    for number in range(many):
        made.start_instance(number)
    made.assume_full_membership()
    made.run(20 * S)
    assert made.history.samples[-1].imbalance <= 1.02
    return made


def act(made, what, whom, wait, span=0, **more):
    made.apply_step(Step(what, whom=list(whom), span=Duration(span * S), **more))
    made.run(wait * S)


@pytest.mark.parametrize("seed", range(3))
def test_a_third_dies_at_once_and_returns(seed):
    made = fleet(seed)
    act(made, "kill", range(0, 30, 3), 45)
    assert made.history.samples[-1].imbalance <= 1.02
    assert made.history.samples[-1].running == 20
    act(made, "start", range(0, 30, 3), 60)
    uneven, least, _ = made.history.worst(20 * S)
    assert made.history.samples[-1].imbalance <= 1.02
    assert uneven <= 1.6
    assert least >= 7


def test_the_smaller_part_of_a_split_keeps_what_it_used():
    made = fleet()
    size = len(made.weights[29])
    parts = [list(range(22)), list(range(22, 30))]
    act(made, "split", (), 45, span=40, parts=parts)
    assert all(len(made.weights[n]) >= size - 1 for n in parts[1])
    made.run(90 * S)
    assert made.history.samples[-1].imbalance <= 1.02


def test_one_that_wakes_after_a_minute_with_an_old_view_follows_what_came_meanwhile():
    made = fleet()
    act(made, "stop", [4], 10, span=60)
    made.replace_upstreams(8)
    made.run(55 * S)
    made.run(60 * S)
    assert made.history.samples[-1].imbalance <= 1.02
    assert set(made.weights[4]) <= {party.name for party in made.pool}


def test_a_balancer_that_flaps_moves_little_over_a_minute():
    made = fleet()
    begin = made.now
    for _ in range(15):
        act(made, "kill", [7], 4, span=2)
    fair = len(made.weights[0])
    assert made.history.worst(begin)[2] <= 2 * 15 * 2 * fair
    assert made.history.worst(begin)[1] >= 7
