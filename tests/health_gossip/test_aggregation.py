"""Aggregation of the reports of others: a quorum is needed, and own successes take precedence."""

from collections.abc import Iterable, Mapping

from fake_reports import POOL, SECOND, UPSTREAMS, health_report

from dahliabend.health_gossip.aggregation import QuorumSettings, SuspectedUpstream, aggregate
from dahliabend.health_gossip.gossip import REPORT_WINDOW
from dahliabend.health_gossip.report_table import ReportTable
from dahliabend.health_gossip.reports import HealthReport

NO_COUNTS: Mapping[str, tuple[int, int]] = {}


def suspected(
    reports: Iterable[HealthReport], own_counts: Mapping[str, tuple[int, int]] = NO_COUNTS
) -> dict[str, SuspectedUpstream]:
    table = ReportTable("me", REPORT_WINDOW)
    for report in reports:
        table.merge(SECOND, report)
    suspicions = aggregate(QuorumSettings(), POOL, UPSTREAMS, table.fresh(SECOND), own_counts)
    return {suspicion.upstream: suspicion for suspicion in suspicions}


def test_an_upstream_is_suspected_by_a_quorum_of_origins_and_never_by_one():
    failing = [health_report(f"b{n}", 1, ("u1", 900, 900)) for n in range(3)]
    assert suspected(failing[:1]) == {}
    assert suspected(failing[:2]) == {}
    assert suspected(failing)["u1"].failures == QuorumSettings().evidence_attempts
    assert suspected(failing)["u1"].origins == 3


def test_quorum_grows_with_the_number_of_origins():
    def fleet(failing: int) -> list[HealthReport]:
        return [health_report(f"b{n}", 1, ("u1", 2, 2) if n < failing else ("u2", 2, 0)) for n in range(60)]

    assert suspected(fleet(5)) == {}
    assert "u1" in suspected(fleet(6))


def test_own_successes_take_precedence_over_reports():
    """An upstream that fails only for some instances stays in use by those for which it works."""
    failing = [health_report(f"b{n}", 1, ("u1", 3, 3)) for n in range(5)]
    assert suspected(failing, {"u1": (3, 1)}) == {}
    assert "u1" in suspected(failing, {"u1": (3, 2)})
    assert "u1" in suspected(failing, {"u2": (3, 0)})


def test_false_reports_of_all_upstreams_are_ignored():
    false_reports = [
        health_report(f"l{n}", 1, *((name, 900, 900) for name in sorted(UPSTREAMS))) for n in range(4)
    ]
    assert suspected(false_reports) == {}, "so many suspicions are a fault of the tier, or false reports"


def test_false_reports_of_one_upstream_are_outvoted():
    false_reports = [health_report(f"l{n}", 1, ("u1", 900, 900)) for n in range(3)]
    successful = [health_report(f"b{n}", 1, ("u1", 3, 0)) for n in range(6)]
    assert suspected(false_reports + successful) == {}
