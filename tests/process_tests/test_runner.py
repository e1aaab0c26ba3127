"""Cluster scripts with real processes: no violation, and membership changes as in the simulation."""

import asyncio
from pathlib import Path

from dahliabend.process_tests.runner import ProcessTestRunner
from dahliabend.simulation.cluster.model import ClusterModel
from dahliabend.simulation.cluster.script import SCRIPT_FILES

SCRIPT = Path(__file__).parent / "scripts" / "members.toml"


def subjects(membership_changes, kind):
    return {change.subject for change in membership_changes if change.kind == kind}


def test_real_processes_report_the_membership_changes_of_the_simulation():
    cluster_script = SCRIPT_FILES.read(str(SCRIPT))
    model, runner = ClusterModel(cluster_script), ProcessTestRunner(cluster_script, request_rate=20)
    assert model.run_script().violations == []
    assert asyncio.run(runner.run_script()).violations == []
    # Real processes may report more: a busy machine pauses others too, and a start takes some periods.
    for kind in ("paused", "died"):
        simulated = subjects(model.membership_changes, kind)
        assert simulated
        assert simulated <= subjects(runner.membership_changes, kind)
    assert runner.outcome.counts["tx 200"] > 300


def test_subsets_of_real_processes_are_even_while_balancers_start_and_end():
    runner = ProcessTestRunner(
        SCRIPT_FILES.read(str(SCRIPT.parent / "subsets.toml")), request_rate=150, upstreams=24
    )
    assert asyncio.run(runner.run_script()).violations == []
    served, subsets = runner.load.observer.executions_by_upstream, runner.subsets
    assert len(served) == 24
    assert all(len(subset.weights) < 24 for subset in subsets.values())
    assert {subset.chosen_by for subset in subsets.values()} == {"members"}
    # The script's last condition checks the reported weights to 5%. The executed requests vary randomly: 24
    # counts of about 100 each.
    mean = sum(served.values()) / 24
    assert max(served.values()) <= 1.15 * mean + 4 * mean**0.5


def test_real_processes_use_the_health_reports_of_others():
    runner = ProcessTestRunner(
        SCRIPT_FILES.read(str(SCRIPT.parent / "signals.toml")), request_rate=120, upstreams=24
    )
    assert asyncio.run(runner.run_script()).violations == []
    assert runner.outcome.counts["believed"] >= 1
    assert runner.outcome.counts["tx 200"] > 100


def test_each_upstream_is_checked_about_once_a_period_while_instances_fail():
    runner = ProcessTestRunner(
        SCRIPT_FILES.read(str(SCRIPT.parent / "turns.toml")), request_rate=10, upstreams=8
    )
    assert asyncio.run(runner.run_script()).violations == []
    counts = runner.outcome.counts
    assert 0.5 * counts["probe periods"] <= counts["probes"] <= 1.5 * counts["probe periods"]


def test_a_shared_rate_limit_holds_between_real_processes():
    runner = ProcessTestRunner(
        SCRIPT_FILES.read(str(SCRIPT.parent / "limits.toml")), request_rate=200, upstreams=8
    )
    assert asyncio.run(runner.run_script()).violations == []
    counts = runner.outcome.counts
    assert counts["tx asked"] * 0.4 > 1.5 * counts["limited"], "the load must exceed the limit"
    assert counts["limited most"] > 0.6 * 40 * 4, "most of the limit must be used"
