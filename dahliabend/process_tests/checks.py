"""Checks of views, subsets, leased health checks and rate limits, by what instances and upstreams report."""

import asyncio
from collections.abc import Iterable

from dahliabend.leases.shared_limits import OVERCOMMIT_LIMIT
from dahliabend.process_tests.admin_answers import MembershipView, PoolSubset
from dahliabend.routing_rules.limits import MIN_PARTIAL_BURST
from dahliabend.simulation.cluster.invariants import Outcome

S = 1_000_000  # microseconds in a second
OBSERVATION_DELAY = 0.5  # seconds that a busy machine may add until a peer's record
MAX_CHECKS_PER_PERIOD = 2
MAX_GAP_PERIODS = 2
SETTLE_PERIODS = 2  # after the first view in which all agreed
LIMIT_WINDOW = 4.0  # seconds over which requests under a rate limit are counted
MAX_IMBALANCE = 21 / 20  # of the mean: the most that an upstream may be used where subsets add up


def check_health_checks(
    times_by_upstream: dict[str, list[float]], period: int, first_agreement: float, at: int, outcome: Outcome
) -> None:
    """Check that each upstream is checked about once a period.

    That is never more than twice in a period, with no gap over two.

    Args:
        times_by_upstream: when each upstream was checked, in seconds of the loop's clock.
        period: of the health checks, in microseconds.
        first_agreement: when all had one view for the first time, in seconds of the loop's clock.
        at: the time of violations, in microseconds of the run's clock.
        outcome: that violations and counts are added to.
    """
    seconds = period / S
    begin = first_agreement + SETTLE_PERIODS * seconds
    end = asyncio.get_running_loop().time()
    window = seconds - OBSERVATION_DELAY
    for name, recorded in times_by_upstream.items():
        times = [time for time in recorded if time >= begin]
        longest_gap = max(b - a for a, b in zip([begin, *times], [*times, end], strict=True))
        if longest_gap > MAX_GAP_PERIODS * seconds + OBSERVATION_DELAY:
            outcome.report("probes", at, f"{name}: none for {longest_gap:.1f} s")
        max_checks = max((_count_between(times, time, time + window) for time in times), default=0)
        if max_checks > MAX_CHECKS_PER_PERIOD:
            outcome.report("probes", at, f"{name}: {max_checks} in {seconds:g} s")
        outcome.counts["probes"] += len(times)
    outcome.counts["probe periods"] = round(len(times_by_upstream) * (end - begin) / seconds)


def _count_between(times: Iterable[float], begin: float, end: float) -> int:
    return sum(begin <= time < end for time in times)


def check_rate_limit(
    submit_times: list[float], limit: int, instance_count: int, at: int, outcome: Outcome
) -> None:
    """Check that in any window no more is executed than a tenth above a shared limit, and the saved burst.

    Args:
        submit_times: when requests under the limit were executed, in seconds.
        limit: requests a second.
        instance_count: of the cluster.
        at: the time of violations, in microseconds of the run's clock.
        outcome: that violations and counts are added to.
    """
    times = sorted(submit_times)
    max_requests = 0
    first = 0
    for last, time in enumerate(times):
        while times[first] < time - LIMIT_WINDOW:
            first += 1
        max_requests = max(max_requests, last - first + 1)
    burst = MIN_PARTIAL_BURST * instance_count
    allowed = OVERCOMMIT_LIMIT * limit * (LIMIT_WINDOW + OBSERVATION_DELAY) + burst
    outcome.counts.update({"limited": len(times), "limited most": max_requests})
    if max_requests > allowed:
        outcome.report("limit", at, f"{max_requests} in {LIMIT_WINDOW:g} s, {allowed:.0f} allowed")


def are_subsets_even(upstreams: list[str], subsets: dict[str, PoolSubset]) -> bool:
    """Whether the subsets of all instances, which have the same demand, use each upstream alike."""
    load = dict.fromkeys(upstreams, 0.0)
    for subset in subsets.values():
        total = sum(subset.weights.values())
        for name, weight in subset.weights.items():
            load[name] += weight / total
    return max(load.values()) <= MAX_IMBALANCE * sum(load.values()) / len(load)


def are_out(views: dict[str, MembershipView], gone: set[str]) -> bool:
    """Whether none of these is in the view of any other."""
    return all(not gone & view.names() for name, view in views.items() if name not in gone)


def do_agree(views: dict[str, MembershipView], members: set[str]) -> bool:
    """Whether all views are stable, equal, and have exactly these members."""
    are_complete = all(view.stable and view.names() == members for view in views.values())
    return are_complete and len({view.checksum for view in views.values()}) <= 1
