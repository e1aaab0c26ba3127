"""Runs seeds, planted defects and regression scenarios. docs/emulator.md has the results of 10,000 seeds."""

import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import pytest
from defects import DEFECT_BY_SCRIPT, DEFECTS, first_detection

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.scenario import SCENARIO_FILES, Fault, LoadSpec, Scenario, WorldSpec
from dahliabend.simulation.scenario_generator import draw
from dahliabend.simulation.shrink import shrink
from dahliabend.simulation.sweep import run_seed, sweep
from dahliabend.simulation.world import Simulation, run_scenario
from dahliabend.transport import host_info

HERE = Path(__file__).parent
MS, S = 1_000, 1_000_000
REGRESSION_FILES = sorted((HERE / "regressions").glob("*"))
SEEDS_PER_DEFECT = 40  # run from a defect's first seed on, at least one of which has to detect it


def test_a_fixed_set_of_seeds_violates_no_invariant():
    summary = sweep(range(120), min(4, os.cpu_count() or 1))
    assert summary.runs == 120
    assert summary.counts["asked"] >= 12_000
    assert not summary.broken, [list(detection.rules.values()) for detection in summary.broken]


@pytest.mark.parametrize("path", REGRESSION_FILES, ids=lambda path: path.stem)
def test_a_fixed_violation_does_not_return(path):
    result = run_scenario(SCENARIO_FILES.read(str(path)))
    assert not result.violations, [str(violation) for violation in result.violations]


@pytest.mark.parametrize("script", DEFECT_BY_SCRIPT)
def test_a_regression_violates_its_rule_without_the_fix(script):
    regression = SCENARIO_FILES.read(str(HERE / "regressions" / f"{script}.json"))
    with DEFECTS[DEFECT_BY_SCRIPT[script]].plant():
        assert regression.breaks in run_scenario(regression).rules


def _find_defect(name):
    return first_detection(name, range(DEFECTS[name].seed, DEFECTS[name].seed + SEEDS_PER_DEFECT))


def test_each_planted_defect_is_detected():
    with ProcessPoolExecutor(min(4, os.cpu_count() or 1)) as pool:
        detections = dict(zip(DEFECTS, pool.map(_find_defect, DEFECTS), strict=True))
    assert len(detections) >= 15
    assert not [name for name, detection in detections.items() if detection is None]


def test_a_planted_defect_is_removed_afterwards():
    with DEFECTS["answer twice"].plant():
        assert run_seed(draw(0)).rules
    assert not run_seed(draw(0)).rules


RUN_SEEDS_WITH_DEFECT = """
import sys
sys.path.insert(0, sys.argv[1])
from defects import DEFECTS
from dahliabend.simulation.scenario_generator import draw
from dahliabend.simulation.sweep import run_seed
with DEFECTS["bytes mixed between answers"].plant():
    for seed in range(52):
        seen = run_seed(draw(seed))
        print(seed, seen.digest, sorted(seen.rules.items()))
"""


def test_a_run_is_the_same_in_another_process_with_another_hash_seed():
    """Run 52 seeds with a planted defect in two processes and compare digests and violations."""

    def start(seed):
        return subprocess.Popen(
            [sys.executable, "-c", RUN_SEEDS_WITH_DEFECT, str(HERE)], stdout=subprocess.PIPE, text=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        )  # fmt: skip

    output, second_output = (process.communicate()[0] for process in (start("1"), start("77")))
    lines = output.splitlines()
    assert output == second_output
    assert sum("whole answer" in line for line in lines) >= 50


def test_the_host_functions_are_restored_after_a_run():
    before = {
        name: getattr(host_info, name) for name in ("monotonic_ns", "stream_socket", "runtime_directory")
    }
    run_scenario(draw(3))
    assert before == {name: getattr(host_info, name) for name in before}


def test_a_violation_is_shrunk_to_the_fault_that_causes_it():
    def violates_with_hang(scenario, rule):
        return any(fault.what == "hang" for fault in scenario.faults) and scenario.load.requests >= 7

    faults = [Fault("slow", at=Duration(S)), Fault("hang", at=Duration(S)), Fault("kill", at=Duration(2 * S))]
    smallest, runs = shrink(Scenario(faults=faults), "one answer", violates_with_hang)
    assert [fault.what for fault in smallest.faults] == ["hang"]
    assert smallest.load.requests == 7
    assert smallest.world.upstreams == 1
    assert smallest.breaks == "one answer"
    assert runs < 100
    with pytest.raises(ValueError, match="does not break"):
        shrink(Scenario(), "one answer", violates_with_hang)


def build_scenario(*faults, world=None, load=None, **fields):
    return Scenario(
        world=msgspec.structs.replace(WorldSpec(mean_work=Duration(30 * MS)), **(world or {})),
        load=msgspec.structs.replace(LoadSpec(), **(load or {})), faults=list(faults), **fields,
    )  # fmt: skip


@pytest.mark.parametrize("offset", [-1, 0, 1])
@pytest.mark.parametrize("what", ["stall", "end-watch", "crash", "hang", "kill"])
def test_a_fault_at_the_end_of_a_drain_violates_nothing(what, offset):
    simulation = Simulation(
        build_scenario(
            Fault("drain", at=Duration(S)),
            Fault(what, on="told", after=Duration(1_500 * MS + offset), size=1.0, span=Duration(300 * MS)),
        )
    )
    result = simulation.run()
    fault_times = [line[0] for line in result.lines if line[1] == "fault"]
    drained_at = next(line[0] for line in result.lines if line[1] == "told" and line[4] == "draining")
    assert fault_times[1] == drained_at + 1_500 * MS + offset
    assert not result.violations


@pytest.mark.parametrize(("name", "status"), [("query", {200}), ("submit", {502}), ("mark", {200, 502, 503})])
@pytest.mark.parametrize("on", ["hop.whole", "begun", "made"])
def test_a_reset_before_the_answer_is_retried_only_where_that_is_safe(on, name, status):
    fault = Fault("reset-hop", on=on, name=name, nth=5)
    result = run_scenario(build_scenario(fault, load={"deduplicated_share": 0.2, "retries": 0}))
    at = next(line[0] for line in result.lines if line[1] == "fault")
    trace_id = next(line[2] for line in result.lines if line[0] == at and line[1] == on)
    answered = {line[3] for line in result.lines if line[1] == "answer" and line[2] == trace_id}
    executions = sum(line[1] == "effect" and line[2] == trace_id for line in result.lines)
    assert not result.violations
    assert answered <= status
    assert answered
    assert executions <= 1 or name != "submit"


@pytest.mark.parametrize("after", [0, 1, 300])
@pytest.mark.parametrize("on", ["hop.head", "hop.whole", "begun", "made", "answer"])
@pytest.mark.parametrize("name", ["query", "submit"])
def test_sigterm_at_any_step_of_a_request_violates_nothing(on, name, after):
    """Terminate both balancers at the same step of different requests.

    Meanwhile clients send requests on connections that a balancer has half-closed.
    """
    terminations = [
        Fault("term", whom=n, on=on, name=name, nth=9 + 8 * n, after=Duration(after)) for n in (0, 1)
    ]
    half_close = Fault("behind", at=Duration(200 * MS), size=1.0)
    result = run_scenario(
        build_scenario(half_close, *terminations, load={"new_connection_share": 0.3, "chunked_share": 0.1})
    )
    ended = [line[0] for line in result.lines if line[1] == "ended" and line[2] in ("b0/1", "b1/1")]
    assert not result.violations, [str(violation) for violation in result.violations]
    assert len(ended) == 2
    assert result.counts["served"] > 50


def test_a_balancer_killed_under_load_starts_again_and_serves():
    result = run_scenario(build_scenario(Fault("kill", at=Duration(1_500 * MS)), load={"requests": 300}))
    assert not result.violations
    assert ("starts", "b0/2") in {line[1:3] for line in result.lines}
    assert result.counts["served"] > 250


def test_an_upgrade_keeps_an_exclusion_while_another_upstream_warms_up():
    result = run_scenario(
        build_scenario(
            Fault("exclude", at=Duration(300 * MS), span=Duration(3_500 * MS), size=0.02),
            Fault("crash", whom=2, at=Duration(400 * MS), span=Duration(300 * MS)),
            Fault("upgrade", at=Duration(900 * MS)),
            world={"shares_listener": True}, load={"requests": 300},
        )
    )  # fmt: skip
    lines = result.lines
    excluded_upstream = next(line[4] for line in lines if line[1] == "yes" and line[3] == "exclude")
    ended = next(line[0] for line in lines if line[1] == "ended" and line[2] == "b0/1")
    upstreams_of_successor = {
        line[4] for line in lines if line[1] == "hop.head" and line[3] == "b0/2" and line[0] < 4_000_000
    }
    assert not result.violations
    assert ended > 900_000
    assert upstreams_of_successor
    assert excluded_upstream not in upstreams_of_successor


def test_open_requests_of_a_removed_class_are_answered():
    result = run_scenario(
        build_scenario(Fault("drop-class", on="begun", name="mark", nth=3), load={"deduplicated_share": 0.4})
    )
    at = next(line[0] for line in result.lines if line[1] == "fault")
    trace_id = next(line[2] for line in reversed(result.lines) if line[1] == "begun" and line[0] <= at)
    assert ("answer", trace_id, 200) in {line[1:4] for line in result.lines}
    assert not result.violations
    # Requests that came after the class was removed.
    assert 404 in {line[3] for line in result.lines if line[1] == "answer"}


def test_a_watch_closed_repeatedly_during_a_drain_violates_nothing():
    result = run_scenario(
        build_scenario(Fault("end-watch", at=Duration(S), size=1.0), Fault("drain", at=Duration(1_030 * MS)))
    )
    watch_ends = sum(line[1:4] == ("log", "b0/1", "watch.ended") for line in result.lines)
    assert watch_ends >= 2
    assert not result.violations


def test_long_bodies_with_few_descriptors_violate_nothing():
    result = run_scenario(
        build_scenario(
            Fault("rude", at=Duration(S), size=1.0, span=Duration(2 * S)),
            Fault("crowd", at=Duration(1_200 * MS), size=2.0),
            world={"max_descriptors": 72}, load={"long_bodies": 0.3, "submit_share": 0.7},
        )
    )  # fmt: skip
    assert not result.violations
    assert result.counts["served"] > 50


def test_a_balancers_memory_does_not_grow_with_time():
    """Count objects every ten seconds of a minute with a fault about every second.

    The first twenty seconds fill the tables, so the later counts are compared with theirs.
    """
    kinds = ("drain", "reset", "fail", "end-watch", "reset", "limit", "slow", "flap", "garble", "wrong")
    faults = [
        Fault(kinds[n % 10], whom=0 if "w" in kinds[n % 10] else n % 4, at=Duration(n * S), size=0.5)
        for n in range(56)
    ]
    faults = [f for f in faults if f.what not in ("end-watch", "wrong") or f.whom < 2]
    simulation = Simulation(
        build_scenario(
            *faults, length=Duration(60 * S), load={"requests": 1_500, "send_time": Duration(60 * S)}
        ),
        10 * S,
    )
    result = simulation.run()
    object_totals = [sum(sum(kinds.values()) for kinds in each) for each in simulation.object_counts]
    assert not result.violations
    assert result.counts["asked"] >= 1_500
    assert max(object_totals[3:]) < 1.1 * max(object_totals[1:3]) + 200, object_totals
