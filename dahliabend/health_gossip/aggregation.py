"""Aggregation of the reports of other balancers: which upstreams are suspected. The module does no I/O.

A report is an observation, never a command. Only a few attempts of each origin count, so that a single origin
has little influence whatever it reports. If a quorum of origins reports an upstream as failing, and is not
outvoted, this counts like failures seen by this balancer. Recent successes of this balancer take precedence:
an upstream that fails only for some balancers stays in use by those for which it works.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from dahliabend.health_gossip.local_observations import OutcomeCounts
from dahliabend.health_gossip.report_table import ReceivedReport

NO_OUTCOMES = OutcomeCounts(attempts=0, failures=0)


@dataclass(frozen=True, slots=True)
class QuorumSettings:
    """Thresholds for suspecting an upstream.

    Attributes:
        min_origins: Minimum number of origins that report the upstream as failing.
        min_origin_fraction: Minimum number of these origins as a fraction of those that report on the pool.
        max_attempts_per_origin: Maximum number of attempts that count for one origin.
        failure_threshold: Minimum fraction of failures among the counted attempts.
        evidence_attempts: A suspicion counts like this number of attempts of this balancer.
        max_upstream_fraction: If more than this fraction of a pool would be suspected, no upstream is.
    """

    min_origins: int = 3
    min_origin_fraction: float = 1 / 10
    max_attempts_per_origin: int = 3
    failure_threshold: float = 2 / 5
    evidence_attempts: int = 5
    max_upstream_fraction: float = 1 / 3


class SuspectedUpstream(NamedTuple):
    """An upstream that other balancers report as failing.

    Attributes:
        upstream: Name of the upstream.
        attempts: The suspicion counts like this number of attempts of this balancer.
        failures: Number of these attempts that count as failed.
        origins: Number of origins that report the upstream as failing.
    """

    upstream: str
    attempts: int
    failures: int
    origins: int


@dataclass(slots=True)
class _Tally:
    """Weighted sum of the reports on one upstream."""

    attempts: float = 0.0
    failures: float = 0.0
    failing_origins: int = 0


def aggregate(
    settings: QuorumSettings,
    pool: str,
    upstreams: set[str],
    reports: Mapping[str, ReceivedReport],
    own_counts: Mapping[str, OutcomeCounts],
) -> list[SuspectedUpstream]:
    """Return the upstreams of a pool that others report as failing, those with most evidence first.

    Args:
        settings: Thresholds for suspecting an upstream.
        pool: Name of the pool.
        upstreams: Names of the upstreams in use.
        reports: Latest report of each origin whose reports count.
        own_counts: Attempts and failures of this balancer by upstream; an upstream at which most of them
            succeeded is not suspected.
    """
    reporting_origins = sum(
        1
        for received in reports.values()
        if any(reported_pool == pool for reported_pool, _ in received.counts)
    )
    quorum = max(settings.min_origins, round(reporting_origins * settings.min_origin_fraction))
    suspected = []
    for upstream, tally in _tally(settings, pool, upstreams, reports.values()).items():
        own_attempts, own_failures = own_counts.get(upstream, NO_OUTCOMES)
        has_quorum = tally.failing_origins >= quorum
        is_failing = tally.failures >= settings.failure_threshold * tally.attempts
        works_here = 2 * own_failures < own_attempts
        if has_quorum and is_failing and not works_here:
            failures = round(settings.evidence_attempts * tally.failures / tally.attempts)
            suspected.append(
                SuspectedUpstream(upstream, settings.evidence_attempts, failures, tally.failing_origins)
            )
    suspected.sort(key=lambda suspicion: (-suspicion.failures, -suspicion.origins, suspicion.upstream))
    # If more upstreams are suspected at once, the whole tier has a fault or the reports are false; only this
    # balancer's own observations count then.
    return suspected if len(suspected) <= settings.max_upstream_fraction * len(upstreams) else []


def _tally(
    settings: QuorumSettings, pool: str, upstreams: set[str], reports: Iterable[ReceivedReport]
) -> dict[str, _Tally]:
    tallies: dict[str, _Tally] = {}
    for received in reports:
        for (reported_pool, upstream), entry in received.counts.items():
            if reported_pool != pool or upstream not in upstreams:
                continue
            tally = tallies.get(upstream)
            if tally is None:
                tally = _Tally()
                tallies[upstream] = tally
            attempts = entry.attempts
            failures = entry.failures
            weight = min(attempts, settings.max_attempts_per_origin)
            tally.attempts += weight
            tally.failures += weight * failures / attempts
            tally.failing_origins += 2 * failures >= attempts
    return tallies
