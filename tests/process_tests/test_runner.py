"""Real processes with faults between them: the same scripts as in the simulation, and the same results."""

import asyncio
from pathlib import Path

from dahliabend.process_tests.runner import ProcessTestRunner
from dahliabend.simulation.cluster.model import ClusterModel
from dahliabend.simulation.cluster.script import SCRIPT_FILES

SCRIPT = Path(__file__).parent / "scripts" / "members.toml"


def subjects(membership_changes, change):
    return {change.subject for change in membership_changes if change.kind == change}


def test_membership_between_real_processes_behaves_as_simulated():
    cluster_script = SCRIPT_FILES.read(str(SCRIPT))
    model, runner = ClusterModel(cluster_script), ProcessTestRunner(cluster_script, traffic=20)
    assert model.run_script().violations == []
    assert asyncio.run(runner.run_script()).violations == []
    # A busy machine lets others pause too, and a real start takes some periods: more may be told there.
    for change in ("paused", "died"):
        assert subjects(model.membership_changes, change) <= subjects(runner.membership_changes, change)
    assert runner.outcome.counts["tx 200"] > 300


def test_subsets_of_real_processes_add_up_while_balancers_come_and_go():
    runner = ProcessTestRunner(
        SCRIPT_FILES.read(str(SCRIPT.parent / "subsets.toml")), traffic=150, upstreams=24
    )
    assert asyncio.run(runner.run_script()).violations == []
    served, shown = runner.load.observer.executions_by_upstream, runner.subsets
    assert len(served) == 24
    assert all(len(pool.weights) < 24 for pool in shown.values())
    assert {pool.chosen_by for pool in shown.values()} == {"members"}
    # The script's last condition is that what all say that they use adds up, within 5%. What came is bounded
    # by chance: 24 counts of some 100.
    mean = sum(served.values()) / 24
    assert max(served.values()) <= 1.15 * mean + 4 * mean**0.5


def test_health_reports_of_several_are_used_between_real_processes():
    runner = ProcessTestRunner(
        SCRIPT_FILES.read(str(SCRIPT.parent / "signals.toml")), traffic=120, upstreams=24
    )
    assert asyncio.run(runner.run_script()).violations == []
    assert runner.outcome.counts["believed"] >= 1
    assert runner.outcome.counts["tx 200"] > 100


def test_each_upstream_is_checked_about_once_a_period_whoever_is_down():
    runner = ProcessTestRunner(SCRIPT_FILES.read(str(SCRIPT.parent / "turns.toml")), traffic=10, upstreams=8)
    assert asyncio.run(runner.run_script()).violations == []
    counts = runner.outcome.counts
    assert 0.5 * counts["probe periods"] <= counts["probes"] <= 1.5 * counts["probe periods"]


def test_a_shared_rate_limit_holds_between_real_processes():
    runner = ProcessTestRunner(
        SCRIPT_FILES.read(str(SCRIPT.parent / "limits.toml")), traffic=200, upstreams=8
    )
    assert asyncio.run(runner.run_script()).violations == []
    counts = runner.outcome.counts
    assert counts["tx asked"] * 0.4 > 1.5 * counts["limited"], "more is asked than is let in"
    assert counts["limited most"] > 0.6 * 40 * 4, "and what may be let in is"
