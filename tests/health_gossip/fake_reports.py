"""Health reports of other instances."""

from dahliabend.health_gossip.reports import HealthReport, UpstreamCounts

POOL = "main"
SECOND = 1_000_000
UPSTREAMS = {f"u{n}" for n in range(12)}


def health_report(
    origin: str, sequence: int, *counts: tuple[str, int, int], generation: int = 1, age_ms: int = 0
) -> HealthReport:
    """A report with counts given as upstream, attempts and failures."""
    entries = [UpstreamCounts(POOL, upstream, attempts, failures) for upstream, attempts, failures in counts]
    return HealthReport(origin, generation, sequence, age_ms, 0, entries)
