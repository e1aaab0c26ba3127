"""Checks of views, subsets, leased health checks and rate limits, on reports of instances and upstreams."""

import asyncio
from collections.abc import Iterable

from dahliabend.leases.shared_limits import OVERCOMMIT_LIMIT
from dahliabend.process_tests.admin_responses import MembershipView, PoolSubset
from dahliabend.routing_rules.limits import MIN_PARTIAL_BURST
from dahliabend.simulation.cluster.invariants import Outcome

S = 1_000_000  # microseconds in a second
OBSERVATION_DELAY = 0.5  # seconds by which a busy machine may delay a peer's record of an event
MAX_CHECKS_PER_PERIOD = 2  # of one upstream
MAX_GAP_PERIODS = 2  # between two checks of one upstream
SETTLE_PERIODS = 2  # after the first agreement of all views, before checks are counted
LIMIT_WINDOW = 4.0  # seconds over which requests under a rate limit are counted
MAX_IMBALANCE = 21 / 20  # maximum load of an upstream for even subsets, as a multiple of the mean


def check_health_checks(
    times_by_upstream: dict[str, list[float]], period: int, first_agreement: float, at: int, outcome: Outcome
) -> None:
    """Check that each upstream is health-checked about once a period.

    It may be checked at most twice within a period, with no gap longer than two periods.

    Args:
        times_by_upstream: Times at which each upstream was checked, in seconds of the loop's clock.
        period: Period of the health checks, in microseconds.
        first_agreement: When all instances first had the same view, in seconds of the loop's clock.
        at: Time to report violations with, in microseconds of the run's clock.
        outcome: The outcome to which violations and counts are added.
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
    """Check that a shared rate limit holds in any window of `LIMIT_WINDOW`.

    The executed requests may exceed the limit by a tenth, and by the burst that each instance may save up.

    Args:
        submit_times: When requests under the limit were executed, in seconds.
        limit: Requests per second.
        instance_count: Number of instances in the cluster.
        at: Time to report violations with, in microseconds of the run's clock.
        outcome: The outcome to which violations and counts are added.
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
    """Return whether the subsets load each upstream alike, if all instances have the same demand."""
    load = dict.fromkeys(upstreams, 0.0)
    for subset in subsets.values():
        total = sum(subset.weights.values())
        for name, weight in subset.weights.items():
            load[name] += weight / total
    return max(load.values()) <= MAX_IMBALANCE * sum(load.values()) / len(load)


def are_out_of_views(views: dict[str, MembershipView], absent: set[str]) -> bool:
    """Return whether none of the absent instances is in the view of any other instance."""
    return all(not absent & view.names() for name, view in views.items() if name not in absent)


def do_views_agree(views: dict[str, MembershipView], members: set[str]) -> bool:
    """Return whether all views are stable, equal, and have exactly these members."""
    are_complete = all(view.stable and view.names() == members for view in views.values())
    return are_complete and len({view.checksum for view in views.values()}) <= 1
