"""A divided limit: fully used without faults, and exceeded by at most a tenth during a partition."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_cluster import QuotaCluster

from dahliabend.leases.shared_limits import (
    MIN_SHARE_FRACTION,
    OVERCOMMIT_LIMIT,
    STEP_INTERVAL,
    QuotaShare,
    divide_limit,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.floats(0, 1), min_size=1, max_size=12), st.floats(0.1, 1), st.floats(0, 0.02))
def test_division_uses_the_whole_budget_and_is_fair(demands, budget, floor):
    by_name = {f"b{n}": demand for n, demand in enumerate(demands)}
    shares = divide_limit(by_name, budget, floor)
    assert sum(shares.values()) == pytest.approx(budget)
    unmet = [name for name in shares if shares[name] < max(by_name[name], floor) - 1e-9]
    assert all(shares[name] >= min(floor, budget / len(shares)) - 1e-9 for name in shares)
    assert len({round(shares[name], 6) for name in unmet}) <= 1, "unmet demands get equal shares"


@pytest.mark.parametrize("count", [2, 4, 8, 16])
def test_without_faults_the_whole_limit_goes_to_the_instances_with_demand(count):
    cluster = QuotaCluster(count, count).run(40)
    assert 0.95 <= cluster.total() <= 1.0 + 1e-9
    cluster.demands = dict.fromkeys(cluster.names, 0.1 / count) | {"b0": 0.8}
    cluster.run(40)
    assert cluster.total() >= 0.95
    assert cluster.highest_total <= 1.0 + 1e-9
    assert cluster.shares["b0"].share >= 0.75
    assert all(quota.share >= 0.9 * MIN_SHARE_FRACTION / count for quota in cluster.shares.values())


def partition_and_heal(cluster: QuotaCluster, random: Random) -> None:
    cluster.demands = {name: random.choice((0.0, 0.1, 0.5, 1.0)) for name in cluster.names}
    cluster.run(random.randrange(10, 60))
    cluster.side = {name: random.randrange(2) for name in cluster.names}
    sides = [[name for name in cluster.names if cluster.side[name] == side] for side in (0, 1)]
    cluster.run(random.randrange(8, 20))  # delay until membership notices the partition
    for side in sides:
        cluster.update_views(side, side, partitioned=len(side) <= cluster.count * 2 / 3)
    cluster.run(random.randrange(10, 60))
    cluster.side = dict.fromkeys(cluster.names, 0)
    cluster.run(random.randrange(0, 8))
    for name in random.sample(cluster.names, cluster.count):
        cluster.update_views([name], cluster.names, partitioned=False)
        cluster.run(random.randrange(0, 2))


def test_in_partitions_of_200_random_fleets_the_sum_of_shares_stays_within_the_overcommit_limit():
    for seed in range(200):
        random = Random(f"cut {seed}")
        cluster = QuotaCluster(random.choice((2, 3, 4, 6, 8, 12)), seed)
        cluster.loss = random.choice((0.0, 0.0, 0.2))
        for _ in range(3):
            partition_and_heal(cluster, random)
        assert cluster.highest_total <= OVERCOMMIT_LIMIT + 1e-9, (seed, cluster.highest_total)


@pytest.mark.parametrize(
    ("left", "min_total"), [((), OVERCOMMIT_LIMIT - 1 / 8 - 0.05), (("b3",), 0.95)], ids=["died", "left"]
)
def test_share_of_a_dead_member_stays_partly_reserved_and_that_of_a_departed_one_is_freed(left, min_total):
    cluster = QuotaCluster(8, 1).run(40)
    del cluster.shares["b3"]
    cluster.run(10)
    members = [name for name in cluster.names if name != "b3"]
    cluster.update_views(cluster.names, members, partitioned=False, left=left)
    cluster.run(40)
    assert cluster.total() >= min_total


def test_twelve_new_instances_unknown_to_the_first_four_stay_within_the_overcommit_limit():
    cluster = QuotaCluster(16, 3)
    cluster.update_views(cluster.names[:4], cluster.names[:4], partitioned=False)
    cluster.run(60)
    assert cluster.highest_total <= OVERCOMMIT_LIMIT
    assert cluster.total() >= 0.9


def test_without_a_view_an_instance_has_an_equal_share_of_the_configured_number():
    assert QuotaShare("b0", 8).step(STEP_INTERVAL, 1.0) == 1 / 8


def test_with_two_limit_values_in_the_fleet_the_sum_stays_within_a_tenth_above_the_larger():
    cluster = QuotaCluster(4, 5).run(40)
    limits = {name: 100 if n % 2 else 200 for n, name in enumerate(cluster.names)}
    used = sum(quota.share * limits[name] for name, quota in cluster.shares.items())
    assert used <= 200 * OVERCOMMIT_LIMIT


@pytest.mark.parametrize(("share", "demand"), [(-1, 0), (2.0, 0), (0.1, -1), (float("nan"), 0)])
def test_announced_values_out_of_range_are_ignored(share, demand):
    quota = QuotaShare("me", 2)
    quota.update_members({"me", "b"}, (), False)
    quota.update_peer(STEP_INTERVAL, "b", share, demand)
    assert not quota.peers
