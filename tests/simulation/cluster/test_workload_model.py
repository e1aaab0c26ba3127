"""Fleets at work: the real decisions on modelled upstreams, one seed the same run, no rule broken."""

from collections import Counter
from random import Random

import pytest

from dahliabend.config.operator_file.units import Duration
from dahliabend.model import Outcome
from dahliabend.simulation.cluster.script import Fleet, S, Step
from dahliabend.simulation.cluster.upstream_model import SimulatedUpstream, UpstreamProfile
from dahliabend.simulation.cluster.workload_model import WorkloadModel
from dahliabend.subsetting.controller import SubsetSettings

MANY, POOL = 20, 30
SUBSETS = SubsetSettings(min_size=8, degree=8, balancers=MANY)


def fleet(subset=None, seed=1, warm=10, rate=165.0):
    made = WorkloadModel(Fleet(seed=seed, instances=MANY, delay=Duration(2_000)), POOL, rate, subset)
    made.start()
    made.run(warm * S)
    made.reset_metrics()
    return made


def test_one_seed_gives_one_run_and_all_are_answered_once():
    runs = []
    for _ in range(2):
        made = fleet(SUBSETS)
        made.run(5 * S)
        made.finish()
        counts = made.counts
        assert counts["asked"] == sum(counts[how] for how in ("served", "late", "rolled back", "abandoned"))
        runs.append((counts, made.metrics.latencies))
        assert made.metrics.violations == []
    assert runs[0] == runs[1]


def test_a_subset_turns_no_more_callers_back_than_using_all():
    shares = Counter()
    for way in (None, SUBSETS):
        made = fleet(way)
        made.run(15 * S)
        made.finish()
        shares[way is not None] = made.metrics.served_share
        assert made.metrics.max_connections <= (MANY if way is None else 14)
    assert shares[True] >= shares[False] - 0.001


@pytest.mark.parametrize("subset", [None, SUBSETS])
def test_killed_balancers_lose_what_they_had_and_the_others_go_on(subset):
    made = fleet(subset)
    made.apply_step(Step("kill", whom=[0, 1, 2, 3]))
    made.run(3 * S)
    lost = made.counts["lost"]
    assert 0 < lost < 165
    made.run(5 * S)
    made.finish()
    assert made.counts["lost"] == lost
    assert made.metrics.violations == []
    assert made.counts["served"] >= 0.97 * (made.counts["asked"] - lost)


def test_a_balancer_whose_whole_subset_hangs_widens_and_serves_again():
    made = fleet(SUBSETS)
    mine = made.balancers[0]
    for name in mine.weights:
        made.upstreams_by_name[name].hung = True
    made.run(12 * S)
    # While all that it knows is silent nobody is set aside: without another sign it would never widen.
    assert mine.controller.extra > 0
    assert sum(not made.upstreams[u.index].hung and u.answered > 0 for u in mine.balancer.ready) >= 4


def test_demand_told_makes_room_for_one_that_many_come_to():
    shares = []
    for demand in (False, True):
        made = WorkloadModel(
            Fleet(seed=2, instances=MANY, delay=Duration(2_000)),
            POOL,
            225.0,
            SUBSETS,
            announces_demand=demand,
        )
        made.skewed_share = 1 / 3
        made.start()
        made.run(30 * S)
        made.reset_metrics()
        made.run(15 * S)
        made.finish()
        shares.append(made.metrics.served_share)
        size = len(made.balancers[0].weights)
        assert size > 20 if demand else size < 16
    assert shares[1] > shares[0]


def test_a_replaced_pool_is_followed_and_no_cold_upstream_falls():
    made = fleet(SUBSETS)
    for number in range(18):
        made.drain_upstream(f"u{number}")
        made.start_upstream(f"u{number + POOL}")
        made.run(S // 3)
    made.run(20 * S)
    made.finish()
    assert made.counts["fallen"] == 0
    assert made.metrics.served_share >= 0.97
    assert all(set(balancer.weights) <= made.upstreams_by_name.keys() for balancer in made.balancers.values())


def test_a_cold_upstream_sent_too_much_falls_over_and_stays():
    upstream = SimulatedUpstream(
        0, "u0", "z0", UpstreamProfile(cores=1, overload_multiple=2.0), 5 * S, Random(1)
    )
    outcomes = [upstream.request_arrived(5 * S)[0] for _ in range(30)]
    assert outcomes[0] is Outcome.SUCCEEDED
    assert outcomes[-1] is None
    assert upstream.is_overloaded
    assert upstream.request_arrived(60 * S) == (None, 60 * S)
