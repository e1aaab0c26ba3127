"""Clusters under load: the real policy with simulated upstreams, deterministic for a seed, no violation."""

from collections import Counter
from random import Random

import pytest

from dahliabend.config.operator_file.units import Duration
from dahliabend.model import Outcome
from dahliabend.simulation.cluster.script import ClusterScript, S, Step
from dahliabend.simulation.cluster.upstream_model import SimulatedUpstream, UpstreamProfile
from dahliabend.simulation.cluster.workload_model import WorkloadModel
from dahliabend.subsetting.settings import SubsetControllerSettings

BALANCERS = 20
UPSTREAMS = 30
SUBSETS = SubsetControllerSettings(min_size=8, degree=8, balancers=BALANCERS)


def started_model(subset=None, seed=1, warm_up=10, rate=165.0):
    model = WorkloadModel(
        ClusterScript(seed=seed, instances=BALANCERS, delay=Duration(2_000)), UPSTREAMS, rate, subset
    )
    model.start()
    model.run(warm_up * S)
    model.reset_metrics()
    return model


def test_same_seed_gives_the_same_run_and_each_request_one_answer():
    runs = []
    for _ in range(2):
        model = started_model(SUBSETS)
        model.run(5 * S)
        model.finish()
        counts = model.counts
        assert counts["asked"] == sum(
            counts[result] for result in ("served", "late", "rolled back", "abandoned")
        )
        runs.append((counts, model.metrics.latencies))
        assert model.metrics.violations == []
    assert runs[0] == runs[1]


def test_subsets_serve_no_smaller_share_with_fewer_connections():
    shares = Counter()
    for subset in (None, SUBSETS):
        model = started_model(subset)
        model.run(15 * S)
        model.finish()
        shares[subset is not None] = model.metrics.served_share
        assert model.metrics.max_connections <= (BALANCERS if subset is None else 14)
    assert shares[True] >= shares[False] - 0.001


@pytest.mark.parametrize("subset", [None, SUBSETS])
def test_killed_balancers_lose_only_their_pending_requests(subset):
    model = started_model(subset)
    model.apply_step(Step("kill", whom=[0, 1, 2, 3]))
    model.run(3 * S)
    lost = model.counts["lost"]
    assert 0 < lost < 165
    model.run(5 * S)
    model.finish()
    assert model.counts["lost"] == lost
    assert model.metrics.violations == []
    assert model.counts["served"] >= 0.97 * (model.counts["asked"] - lost)


def test_balancer_whose_whole_subset_hangs_widens_it():
    model = started_model(SUBSETS)
    instance = model.balancers[0]
    for name in instance.weights:
        model.upstreams_by_name[name].is_hung = True
    model.run(12 * S)
    # While no upstream responds, none is ejected; the missing responses alone have to widen the subset.
    assert instance.controller.extra_count > 0
    answering = [u for u in instance.balancer.selection.ready if u.answered_at > 0]
    assert sum(not model.upstreams[u.index].is_hung for u in answering) >= 4


def test_announced_demand_widens_the_subset_of_a_loaded_balancer():
    shares = []
    for announces_demand in (False, True):
        model = WorkloadModel(
            ClusterScript(seed=2, instances=BALANCERS, delay=Duration(2_000)),
            UPSTREAMS,
            225.0,
            SUBSETS,
            announces_demand=announces_demand,
        )
        model.first_balancer_share = 1 / 3
        model.start()
        model.run(30 * S)
        model.reset_metrics()
        model.run(15 * S)
        model.finish()
        shares.append(model.metrics.served_share)
        size = len(model.balancers[0].weights)
        assert size > 20 if announces_demand else size < 16
    assert shares[1] > shares[0]


def test_replaced_upstreams_leave_the_subsets_and_none_is_overloaded_in_its_warmup():
    model = started_model(SUBSETS)
    for number in range(18):
        model.drain_upstream(f"u{number}")
        model.start_upstream(f"u{number + UPSTREAMS}")
        model.run(S // 3)
    model.run(20 * S)
    model.finish()
    assert model.counts["fallen"] == 0
    assert model.metrics.served_share >= 0.97
    assert all(
        set(balancer.weights) <= model.upstreams_by_name.keys() for balancer in model.balancers.values()
    )


def test_upstream_overloaded_in_its_warmup_hangs_forever():
    upstream = SimulatedUpstream(
        0, "u0", "z0", UpstreamProfile(cores=1, overload_multiple=2.0), 5 * S, Random(1)
    )
    outcomes = [upstream.request_arrived(5 * S)[0] for _ in range(30)]
    assert outcomes[0] is Outcome.SUCCEEDED
    assert outcomes[-1] is None
    assert upstream.is_overloaded
    assert upstream.request_arrived(60 * S) == (None, 60 * S)
