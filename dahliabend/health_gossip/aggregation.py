"""Which upstreams are suspected on the word of other instances. Free of I/O.

A report is an observation, never a command. Of each origin only a few attempts count, so that one alone says
little whatever it claims. A quorum of origins that agree, and are not outvoted, counts as evidence of one's
own does. Own attempts that succeeded of late take precedence: an upstream that fails for some instances only
stays in use at those that it serves.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from dahliabend.health_gossip.local_observations import OutcomeCounts
from dahliabend.health_gossip.report_table import ReceivedReport

NO_OUTCOMES = OutcomeCounts(attempts=0, failures=0)


@dataclass(frozen=True, slots=True)
class QuorumSettings:
    """When an upstream is suspected.

    Attributes:
        min_origins: Least number of origins that have to report it as failing.
        min_origin_fraction: The same as a fraction of the origins that report on the pool.
        max_attempts_per_origin: Attempts of one origin that count.
        failure_threshold: Fraction of the counted attempts that have to have failed.
        evidence_attempts: Own attempts that a suspicion counts for.
        max_upstream_fraction: With more than this fraction of a pool suspected none is.
    """

    min_origins: int = 3
    min_origin_fraction: float = 1 / 10
    max_attempts_per_origin: int = 3
    failure_threshold: float = 2 / 5
    evidence_attempts: int = 5
    max_upstream_fraction: float = 1 / 3


class SuspectedUpstream(NamedTuple):
    """An upstream that other instances find failing.

    Attributes:
        upstream: Its name.
        attempts: Own attempts that the suspicion counts for.
        failures: Failed attempts, out of these.
        origins: Number of origins that report it as failing.
    """

    upstream: str
    attempts: int
    failures: int
    origins: int


@dataclass(slots=True)
class _Tally:
    """Reports on one upstream, weighted."""

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
    """Return the upstreams of a pool that others find failing, the surest first.

    Args:
        settings: What makes a quorum.
        pool: Name of the pool.
        upstreams: Names of the upstreams in use.
        reports: Latest report of each origin that counts.
        own_counts: Attempts and failures of this instance by upstream; one that mostly succeeded here is not
            suspected.
    """
    reporting = sum(
        1 for received in reports.values() if any(of_pool == pool for of_pool, _ in received.counts)
    )
    quorum = max(settings.min_origins, round(reporting * settings.min_origin_fraction))
    suspected = []
    for upstream, tally in _tally(settings, pool, upstreams, reports.values()).items():
        own_attempts, own_failures = own_counts.get(upstream, NO_OUTCOMES)
        agreed = tally.failing_origins >= quorum
        not_outvoted = tally.failures >= settings.failure_threshold * tally.attempts
        serves_here = 2 * own_failures < own_attempts
        if agreed and not_outvoted and not serves_here:
            failures = round(settings.evidence_attempts * tally.failures / tally.attempts)
            suspected.append(
                SuspectedUpstream(upstream, settings.evidence_attempts, failures, tally.failing_origins)
            )
    suspected.sort(key=lambda each: (-each.failures, -each.origins, each.upstream))
    # So many at once are a fault of the whole tier, or a false report of many: left to own observations.
    return suspected if len(suspected) <= settings.max_upstream_fraction * len(upstreams) else []


def _tally(
    settings: QuorumSettings, pool: str, upstreams: set[str], reports: Iterable[ReceivedReport]
) -> dict[str, _Tally]:
    tallies: dict[str, _Tally] = {}
    for received in reports:
        for (of_pool, upstream), row in received.counts.items():
            if of_pool != pool or upstream not in upstreams:
                continue
            tally = tallies.get(upstream)
            if tally is None:
                tally = _Tally()
                tallies[upstream] = tally
            attempts = row.attempts
            failures = row.failures
            weight = min(attempts, settings.max_attempts_per_origin)
            tally.attempts += weight
            tally.failures += weight * failures / attempts
            tally.failing_origins += 2 * failures >= attempts
    return tallies
