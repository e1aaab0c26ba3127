"""Clusters under load: the real policy on simulated upstreams, one seed the same run, no violation."""

from collections import Counter
from random import Random

import pytest

from dahliabend.config.operator_file.units import Duration
from dahliabend.model import Outcome
from dahliabend.simulation.cluster.script import Fleet, S, Step
from dahliabend.simulation.cluster.upstream_model import SimulatedUpstream, UpstreamProfile
from dahliabend.simulation.cluster.workload_model import WorkloadModel
from dahliabend.subsetting.settings import SubsetControllerSettings

MANY, POOL = 20, 30
SUBSETS = SubsetControllerSettings(min_size=8, degree=8, balancers=MANY)


def started_model(subset=None, seed=1, warm=10, rate=165.0):
    model = WorkloadModel(Fleet(seed=seed, instances=MANY, delay=Duration(2_000)), POOL, rate, subset)
    model.start()
    model.run(warm * S)
    model.reset_metrics()
    return model


def test_one_seed_gives_one_run_and_all_are_answered_once():
    runs = []
    for _ in range(2):
        model = started_model(SUBSETS)
        model.run(5 * S)
        model.finish()
        counts = model.counts
        assert counts["asked"] == sum(counts[how] for how in ("served", "late", "rolled back", "abandoned"))
        runs.append((counts, model.metrics.latencies))
        assert model.metrics.violations == []
    assert runs[0] == runs[1]


def test_a_subset_rejects_no_more_requests_than_using_all():
    shares = Counter()
    for way in (None, SUBSETS):
        model = started_model(way)
        model.run(15 * S)
        model.finish()
        shares[way is not None] = model.metrics.served_share
        assert model.metrics.max_connections <= (MANY if way is None else 14)
    assert shares[True] >= shares[False] - 0.001


@pytest.mark.parametrize("subset", [None, SUBSETS])
def test_killed_balancers_lose_their_requests_and_the_others_go_on(subset):
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


def test_a_balancer_whose_whole_subset_hangs_widens_and_serves_again():
    model = started_model(SUBSETS)
    mine = model.balancers[0]
    for name in mine.weights:
        model.upstreams_by_name[name].hung = True
    model.run(12 * S)
    # While all that it knows is silent nobody is set aside: without another sign it would never widen.
    assert mine.controller.extra_count > 0
    assert (
        sum(not model.upstreams[u.index].hung and u.answered_at > 0 for u in mine.balancer.selection.ready)
        >= 4
    )


def test_announced_demand_widens_the_subset_of_a_busy_balancer():
    shares = []
    for demand in (False, True):
        model = WorkloadModel(
            Fleet(seed=2, instances=MANY, delay=Duration(2_000)),
            POOL,
            225.0,
            SUBSETS,
            announces_demand=demand,
        )
        model.skewed_share = 1 / 3
        model.start()
        model.run(30 * S)
        model.reset_metrics()
        model.run(15 * S)
        model.finish()
        shares.append(model.metrics.served_share)
        size = len(model.balancers[0].weights)
        assert size > 20 if demand else size < 16
    assert shares[1] > shares[0]


def test_a_replaced_pool_is_followed_and_no_warming_upstream_is_overloaded():
    model = started_model(SUBSETS)
    for number in range(18):
        model.drain_upstream(f"u{number}")
        model.start_upstream(f"u{number + POOL}")
        model.run(S // 3)
    model.run(20 * S)
    model.finish()
    assert model.counts["fallen"] == 0
    assert model.metrics.served_share >= 0.97
    assert all(
        set(balancer.weights) <= model.upstreams_by_name.keys() for balancer in model.balancers.values()
    )


def test_an_overloaded_warming_upstream_fails_for_good():
    upstream = SimulatedUpstream(
        0, "u0", "z0", UpstreamProfile(cores=1, overload_multiple=2.0), 5 * S, Random(1)
    )
    outcomes = [upstream.request_arrived(5 * S)[0] for _ in range(30)]
    assert outcomes[0] is Outcome.SUCCEEDED
    assert outcomes[-1] is None
    assert upstream.is_overloaded
    assert upstream.request_arrived(60 * S) == (None, 60 * S)
