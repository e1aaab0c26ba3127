"""What others' reports of an upstream are worth here. Free of I/O.

A report is an observation with a weight of its own, never a command. Of each origin so few hops count that
one alone says little whatever it claims; several that agree, and are not outvoted, count as own evidence
does. Own hops that were answered of late go before all of it: an upstream that is bad for some balancers only
stays in for those that it serves.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from dahliabend.health_gossip.report_table import ReceivedReport


@dataclass(frozen=True, slots=True)
class QuorumSettings:
    min_origins: int = 3  # origins that have to say so, whatever one says
    min_origin_fraction: float = 1 / 10  # of those that tell anything: where more balance, more have to
    max_attempts_per_origin: int = 3  # hops of one origin that count
    failure_threshold: float = 2 / 5  # of the hops counted: from there on it is believed
    evidence_attempts: int = 5  # own hops that such a belief counts for, once in a window
    max_upstream_fraction: float = 1 / 3  # of a pool's upstreams: more than that are not believed bad at once


@dataclass(frozen=True, slots=True)
class SuspectedUpstream:
    upstream: str
    attempts: int
    failures: int
    origins: int  # that say so


def aggregate(
    terms: QuorumSettings,
    pool: str,
    names: set[str],
    held: Mapping[str, ReceivedReport],
    own: Mapping[str, tuple[int, int]],
) -> list[SuspectedUpstream]:
    """Of the upstreams in use in that pool, those that others find bad, the surest first. `own`: tried and
    bad hops of this one; an upstream with more good than bad ones is left out."""
    telling = sum(1 for each in held.values() if any(key[0] == pool for key in each.counts))
    needed = max(terms.min_origins, round(telling * terms.min_origin_fraction))
    counts: dict[str, list[float]] = {}  # tried, bad, origins that say bad
    for each in held.values():
        for (of, name), (attempts, bad) in each.counts.items():
            if of != pool or name not in names:
                continue
            found = counts.setdefault(name, [0.0, 0.0, 0])
            weight = min(attempts, terms.max_attempts_per_origin)
            found[0] += weight
            found[1] += weight * bad / attempts
            found[2] += 2 * bad >= attempts
    made = []
    for name, (attempts, bad, origins) in counts.items():
        mine = own.get(name, (0, 0))
        if origins >= needed and bad >= terms.failure_threshold * attempts and not 2 * mine[1] < mine[0]:
            made.append(
                SuspectedUpstream(
                    name, terms.evidence_attempts, round(terms.evidence_attempts * bad / attempts), origins
                )
            )
    made.sort(key=lambda each: (-each.failures, -each.origins, each.upstream))
    # So many at once are the tier's trouble, or a lie told by many: left to what each sees itself.
    return made if len(made) <= terms.max_upstream_fraction * len(names) else []
