"""Subsets of a whole cluster on the simulated network: even after faults, never small, moves bounded."""

import pytest

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.cluster.script import ClusterScript, S, Step
from dahliabend.simulation.cluster.subset_model import SubsetModel
from dahliabend.subsetting.settings import SubsetControllerSettings


def started_model(seed=0, many=30, pool=24):
    model = SubsetModel(
        ClusterScript(seed=seed, instances=many, delay=Duration(2_000)),
        pool,
        SubsetControllerSettings(min_size=8, degree=8),
    )
    for number in range(many):
        model.start_instance(number)
    model.assume_full_membership()
    model.run(20 * S)
    assert model.history.samples[-1].imbalance <= 1.02
    return model


def act(model, what, whom, wait, span=0, **more):
    model.apply_step(Step(what, whom=list(whom), span=Duration(span * S), **more))
    model.run(wait * S)


@pytest.mark.parametrize("seed", range(3))
def test_a_third_dies_at_once_and_returns(seed):
    model = started_model(seed)
    act(model, "kill", range(0, 30, 3), 45)
    assert model.history.samples[-1].imbalance <= 1.02
    assert model.history.samples[-1].running == 20
    act(model, "start", range(0, 30, 3), 60)
    imbalance, min_subset, _ = model.history.worst(20 * S)
    assert model.history.samples[-1].imbalance <= 1.02
    assert imbalance <= 1.6
    assert min_subset >= 7


def test_the_smaller_part_of_a_split_keeps_its_subset():
    model = started_model()
    size = len(model.weights[29])
    parts = [list(range(22)), list(range(22, 30))]
    act(model, "split", (), 45, span=40, parts=parts)
    assert all(len(model.weights[n]) >= size - 1 for n in parts[1])
    model.run(90 * S)
    assert model.history.samples[-1].imbalance <= 1.02


def test_an_instance_that_resumes_with_an_old_view_catches_up():
    model = started_model()
    act(model, "stop", [4], 10, span=60)
    model.replace_upstreams(8)
    model.run(55 * S)
    model.run(60 * S)
    assert model.history.samples[-1].imbalance <= 1.02
    assert set(model.weights[4]) <= {upstream.name for upstream in model.pool}


def test_a_balancer_that_flaps_moves_little_over_a_minute():
    model = started_model()
    begin = model.now
    for _ in range(15):
        act(model, "kill", [7], 4, span=2)
    fair = len(model.weights[0])
    assert model.history.worst(begin)[2] <= 2 * 15 * 2 * fair
    assert model.history.worst(begin)[1] >= 7
