"""Subsets of a cluster with faults: load becomes even again, sizes stay large, changes are bounded."""

import pytest

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.cluster.script import ClusterScript, S, Step
from dahliabend.simulation.cluster.subset_model import SubsetModel
from dahliabend.subsetting.settings import SubsetControllerSettings


def started_model(seed=0, instances=30, upstreams=24):
    model = SubsetModel(
        ClusterScript(seed=seed, instances=instances, delay=Duration(2_000)),
        upstreams,
        SubsetControllerSettings(min_size=8, degree=8),
    )
    for number in range(instances):
        model.start_instance(number)
    model.assume_full_membership()
    model.run(20 * S)
    assert model.history.samples[-1].imbalance <= 1.02
    return model


def apply_step(model, what, whom, wait, span=0, **fields):
    model.apply_step(Step(what, whom=list(whom), span=Duration(span * S), **fields))
    model.run(wait * S)


@pytest.mark.parametrize("seed", range(3))
def test_load_is_even_after_a_third_of_the_balancers_ends_and_after_it_returns(seed):
    model = started_model(seed)
    apply_step(model, "kill", range(0, 30, 3), 45)
    assert model.history.samples[-1].imbalance <= 1.02
    assert model.history.samples[-1].awake == 20
    apply_step(model, "start", range(0, 30, 3), 60)
    imbalance, min_subset, _ = model.history.worst(20 * S)
    assert model.history.samples[-1].imbalance <= 1.02
    assert imbalance <= 1.6
    assert min_subset >= 7


def test_smaller_part_of_a_split_keeps_its_subset_sizes():
    model = started_model()
    size = len(model.weights[29])
    parts = [list(range(22)), list(range(22, 30))]
    apply_step(model, "split", (), 45, span=40, parts=parts)
    assert all(len(model.weights[n]) >= size - 1 for n in parts[1])
    model.run(90 * S)
    assert model.history.samples[-1].imbalance <= 1.02


def test_instance_resumed_with_an_old_view_takes_the_current_upstreams():
    model = started_model()
    apply_step(model, "stop", [4], 10, span=60)
    model.replace_upstreams(8)
    model.run(55 * S)
    model.run(60 * S)
    assert model.history.samples[-1].imbalance <= 1.02
    assert set(model.weights[4]) <= {upstream.name for upstream in model.pool}


def test_flapping_balancer_changes_a_bounded_number_of_pairs():
    model = started_model()
    begin = model.now
    for _ in range(15):
        apply_step(model, "kill", [7], 4, span=2)
    subset_size = len(model.weights[0])
    assert model.history.worst(begin)[2] <= 2 * 15 * 2 * subset_size
    assert model.history.worst(begin)[1] >= 7
