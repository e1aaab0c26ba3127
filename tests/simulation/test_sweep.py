"""Seeds, defects and kept violations, played. What a sweep of 10,000 shows stands in docs/emulator.md."""

import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import msgspec
import pytest
from defects import DEFECTS, SHOWN, caught

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.scenario import SCENARIO_FILES, Fault, LoadSpec, Scenario, WorldSpec
from dahliabend.simulation.scenario_generator import draw
from dahliabend.simulation.shrink import shrink
from dahliabend.simulation.sweep import run_seed, sweep
from dahliabend.simulation.world import Simulation, run_scenario
from dahliabend.transport import host_info

HERE = Path(__file__).parent
MS, S = 1_000, 1_000_000
KEPT = sorted((HERE / "regressions").glob("*"))
NEAR = 40  # seeds from a defect's own on in which it has to be found


def test_a_fixed_set_of_seeds_violates_no_invariant():
    summary = sweep(range(120), min(4, os.cpu_count() or 1))
    assert summary.runs == 120
    assert summary.counts["asked"] >= 12_000
    assert not summary.broken, [list(seen.rules.values()) for seen in summary.broken]


@pytest.mark.parametrize("path", KEPT, ids=lambda path: path.stem)
def test_a_fixed_violation_does_not_return(path):
    result = run_scenario(SCENARIO_FILES.read(str(path)))
    assert not result.violations, [str(violation) for violation in result.violations]


@pytest.mark.parametrize("script", SHOWN)
def test_a_regression_script_violates_its_rule_again_without_the_fix(script):
    kept = SCENARIO_FILES.read(str(HERE / "regressions" / f"{script}.json"))
    with DEFECTS[SHOWN[script]].plant():
        assert kept.breaks in run_scenario(kept).rules


def _find(name):
    return caught(name, range(DEFECTS[name].seed, DEFECTS[name].seed + NEAR))


def test_each_planted_defect_is_found():
    with ProcessPoolExecutor(min(4, os.cpu_count() or 1)) as pool:
        found = dict(zip(DEFECTS, pool.map(_find, DEFECTS), strict=True))
    assert len(found) >= 15
    assert not [name for name, seen in found.items() if seen is None]


def test_a_defect_is_gone_once_it_is_removed():
    with DEFECTS["answer twice"].plant():
        assert run_seed(draw(0)).rules
    assert not run_seed(draw(0)).rules


SHOW = """
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
    """Fifty seeds with a planted defect, twice."""

    def start(seed):
        return subprocess.Popen(
            [sys.executable, "-c", SHOW, str(HERE)], stdout=subprocess.PIPE, text=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        )  # fmt: skip

    one, other = (process.communicate()[0] for process in (start("1"), start("77")))
    lines = one.splitlines()
    assert one == other
    assert sum("whole answer" in line for line in lines) >= 50


def test_the_host_functions_are_restored_after_a_run():
    before = {
        name: getattr(host_info, name) for name in ("monotonic_ns", "stream_socket", "runtime_directory")
    }
    run_scenario(draw(3))
    assert before == {name: getattr(host_info, name) for name in before}


def test_a_violation_is_shrunk_to_the_fault_that_shows_it():
    def breaks(scenario, rule):
        return any(fault.what == "hang" for fault in scenario.faults) and scenario.load.requests >= 7

    faults = [Fault("slow", at=Duration(S)), Fault("hang", at=Duration(S)), Fault("kill", at=Duration(2 * S))]
    least, runs = shrink(Scenario(faults=faults), "one answer", breaks)
    assert [fault.what for fault in least.faults] == ["hang"]
    assert least.load.requests == 7
    assert least.world.upstreams == 1
    assert least.breaks == "one answer"
    assert runs < 100
    with pytest.raises(ValueError, match="does not break"):
        shrink(Scenario(), "one answer", breaks)


def scenario(*faults, world=None, load=None, **more):
    return Scenario(
        world=msgspec.structs.replace(WorldSpec(mean_work=Duration(30 * MS)), **(world or {})),
        load=msgspec.structs.replace(LoadSpec(), **(load or {})), faults=list(faults), **more,
    )  # fmt: skip


@pytest.mark.parametrize("edge", [-1, 0, 1])
@pytest.mark.parametrize("what", ["stall", "end-watch", "crash", "hang", "kill"])
def test_a_fault_exactly_as_the_grace_of_a_drain_ends(what, edge):
    simulation = Simulation(
        scenario(
            Fault("drain", at=Duration(S)),
            Fault(what, on="told", after=Duration(1_500 * MS + edge), size=1.0, span=Duration(300 * MS)),
        )
    )
    result = simulation.run()
    at = [line[0] for line in result.lines if line[1] == "fault"]
    told = next(line[0] for line in result.lines if line[1] == "told" and line[4] == "draining")
    assert at[1] == told + 1_500 * MS + edge
    assert not result.violations


@pytest.mark.parametrize(("name", "status"), [("query", {200}), ("submit", {502}), ("mark", {200, 502, 503})])
@pytest.mark.parametrize("on", ["hop.whole", "begun", "made"])
def test_a_reset_between_a_requests_last_byte_and_its_answers_first(on, name, status):
    fault = Fault("reset-hop", on=on, name=name, nth=5)
    result = run_scenario(scenario(fault, load={"deduplicated_share": 0.2, "retries": 0}))
    at = next(line[0] for line in result.lines if line[1] == "fault")
    trace = next(line[2] for line in result.lines if line[0] == at and line[1] == on)
    answered = {line[3] for line in result.lines if line[1] == "answer" and line[2] == trace}
    runs = sum(line[1] == "effect" and line[2] == trace for line in result.lines)
    assert not result.violations
    assert answered <= status
    assert answered
    assert runs <= 1 or name != "submit"


@pytest.mark.parametrize("after", [0, 1, 300])
@pytest.mark.parametrize("on", ["hop.head", "hop.whole", "begun", "made", "answer"])
@pytest.mark.parametrize("name", ["query", "submit"])
def test_sigterm_at_every_step_of_a_request(on, name, after):
    """Both balancers, at the same step of different requests, with clients that ask behind the end."""
    terms = [Fault("term", whom=n, on=on, name=name, nth=9 + 8 * n, after=Duration(after)) for n in (0, 1)]
    behind = Fault("behind", at=Duration(200 * MS), size=1.0)
    result = run_scenario(scenario(behind, *terms, load={"new_connection_share": 0.3, "chunked_share": 0.1}))
    ended = [line[0] for line in result.lines if line[1] == "ended" and line[2] in ("b0/1", "b1/1")]
    assert not result.violations, [str(violation) for violation in result.violations]
    assert len(ended) == 2
    assert result.counts["served"] > 50


def test_a_balancer_killed_and_started_again_under_load():
    result = run_scenario(scenario(Fault("kill", at=Duration(1_500 * MS)), load={"requests": 300}))
    assert not result.violations
    assert ("starts", "b0/2") in {line[1:3] for line in result.lines}
    assert result.counts["served"] > 250


def test_an_upgrade_with_one_excluded_and_another_warming_up():
    result = run_scenario(
        scenario(
            Fault("exclude", at=Duration(300 * MS), span=Duration(3_500 * MS), size=0.02),
            Fault("crash", whom=2, at=Duration(400 * MS), span=Duration(300 * MS)),
            Fault("upgrade", at=Duration(900 * MS)),
            world={"shares_listener": True}, load={"requests": 300},
        )
    )  # fmt: skip
    lines = result.lines
    banned = next(line[4] for line in lines if line[1] == "yes" and line[3] == "exclude")
    ended = next(line[0] for line in lines if line[1] == "ended" and line[2] == "b0/1")
    by_new = {
        line[4] for line in lines if line[1] == "hop.head" and line[3] == "b0/2" and line[0] < 4_000_000
    }
    assert not result.violations
    assert ended > 900_000
    assert by_new
    assert banned not in by_new


def test_settings_that_drop_a_class_with_its_requests_open():
    result = run_scenario(
        scenario(Fault("drop-class", on="begun", name="mark", nth=3), load={"deduplicated_share": 0.4})
    )
    at = next(line[0] for line in result.lines if line[1] == "fault")
    trace = next(line[2] for line in reversed(result.lines) if line[1] == "begun" and line[0] <= at)
    assert ("answer", trace, 200) in {line[1:4] for line in result.lines}
    assert not result.violations
    assert 404 in {line[3] for line in result.lines if line[1] == "answer"}  # what came later


def test_a_watch_that_dies_twice_in_a_row_while_one_drains():
    result = run_scenario(
        scenario(Fault("end-watch", at=Duration(S), size=1.0), Fault("drain", at=Duration(1_030 * MS)))
    )
    ends = sum(line[1:4] == ("log", "b0/1", "watch.ended") for line in result.lines)
    assert ends >= 2
    assert not result.violations


def test_long_bodies_while_descriptors_run_out():
    result = run_scenario(
        scenario(
            Fault("rude", at=Duration(S), size=1.0, span=Duration(2 * S)),
            Fault("crowd", at=Duration(1_200 * MS), size=2.0),
            world={"max_descriptors": 72}, load={"long_bodies": 0.3, "submit_share": 0.7},
        )
    )  # fmt: skip
    assert not result.violations
    assert result.counts["served"] > 50


def test_a_balancers_memory_does_not_grow_with_time():
    """A minute with a fault every second, weighed every ten; the first two tenths fill its tables."""
    kinds = ("drain", "reset", "fail", "end-watch", "reset", "limit", "slow", "flap", "garble", "wrong")
    faults = [
        Fault(kinds[n % 10], whom=0 if "w" in kinds[n % 10] else n % 4, at=Duration(n * S), size=0.5)
        for n in range(56)
    ]
    faults = [f for f in faults if f.what not in ("end-watch", "wrong") or f.whom < 2]
    simulation = Simulation(
        scenario(*faults, length=Duration(60 * S), load={"requests": 1_500, "send_time": Duration(60 * S)}),
        10 * S,
    )
    result = simulation.run()
    weights = [sum(sum(kinds.values()) for kinds in each) for each in simulation.object_counts]
    assert not result.violations
    assert result.counts["asked"] >= 1_500
    assert max(weights[3:]) < 1.1 * max(weights[1:3]) + 200, weights
