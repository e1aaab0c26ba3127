"""Runs many seeds over many processes, and counts the results by fault and by rule."""

import gc
import importlib
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field

from dahliabend.simulation.scenario import Scenario
from dahliabend.simulation.scenario_generator import draw
from dahliabend.simulation.world import run_scenario

SEEDS_PER_TASK = 20  # that a process takes at a time
SIMULATION_ERROR_RULE = "emulator"  # the rule under which a fault of the simulation itself is counted


@dataclass(slots=True)
class SeedResult:
    """What a sweep keeps of one run. The field names appear in JSON output."""

    seed: int
    faults: list[str]
    rules: dict[str, str]  # each violated rule, and its first violation
    counts: dict[str, int]
    digest: str
    steps: int
    span: int  # virtual microseconds
    cpu: float  # seconds


@dataclass(slots=True)
class Summary:
    """The results of all runs. The field names appear in JSON output."""

    runs: int = 0
    steps: int = 0
    span: int = 0  # virtual microseconds, all runs together
    cpu: float = 0.0  # seconds
    wall: float = 0.0  # seconds
    counts: Counter[str] = field(default_factory=Counter)
    by_fault: dict[str, Counter[str]] = field(default_factory=dict)  # runs, and runs that violated each rule
    by_rule: Counter[str] = field(default_factory=Counter)
    broken: list[SeedResult] = field(default_factory=list)

    def add(self, result: SeedResult) -> None:
        """Count one run."""
        self.runs += 1
        self.steps += result.steps
        self.span += result.span
        self.cpu += result.cpu
        self.counts.update(result.counts)
        for fault in set(result.faults) or {"none"}:
            counter = self.by_fault.setdefault(fault, Counter())
            counter["runs"] += 1
            counter.update(result.rules.keys())
        self.by_rule.update(result.rules.keys())
        if result.rules:
            self.broken.append(result)


def run_seed(scenario: Scenario) -> SeedResult:
    """Run a scenario and keep its summary; a fault of the simulation itself counts as a violated rule."""
    began = time.process_time()
    faults: list[str] = [fault.what for fault in scenario.faults]
    try:
        result = run_scenario(scenario)
    except Exception as error:  # whatever it is, the sweep goes on and reports it
        cpu = time.process_time() - began
        return SeedResult(scenario.seed, faults, {SIMULATION_ERROR_RULE: repr(error)}, {}, "", 0, 0, cpu)
    rules: dict[str, str] = {}
    for violation in result.violations:
        rules.setdefault(violation.rule, str(violation))
    return SeedResult(
        scenario.seed,
        faults,
        rules,
        result.counts,
        result.digest,
        result.steps,
        result.span,
        time.process_time() - began,
    )


def _run_seeds(seeds: range, kinds: tuple[str, ...], prepare: str) -> list[SeedResult]:
    """Run in a process of the pool; `prepare` as in `sweep`."""
    if prepare:
        module, _, name = prepare.partition(":")
        getattr(importlib.import_module(module), name)()
    results = [run_seed(draw(seed, kinds)) for seed in seeds]
    gc.collect()
    return results


def sweep(
    seeds: range,
    jobs: int,
    kinds: tuple[str, ...] = (),
    on_result: Callable[[SeedResult], None] | None = None,
    prepare: str = "",
) -> Summary:
    """Run all seeds.

    Args:
        seeds: to run.
        jobs: processes.
        kinds: of faults; empty: all.
        on_result: called with each result as it comes; the summary is in the order of the seeds.
        prepare: `module:function`, called first in each process.
    """
    summary = Summary()
    began = time.perf_counter()
    results: list[SeedResult] = []
    with ProcessPoolExecutor(jobs) as pool:
        tasks = [
            pool.submit(_run_seeds, seeds[at : at + SEEDS_PER_TASK], kinds, prepare)
            for at in range(0, len(seeds), SEEDS_PER_TASK)
        ]
        for task in as_completed(tasks):
            for result in task.result():
                results.append(result)
                if on_result is not None:
                    on_result(result)
    for result in sorted(results, key=lambda result: result.seed):
        summary.add(result)
    summary.wall = time.perf_counter() - began
    return summary


def matching_runs(
    accepts: Callable[[SeedResult], bool], seeds: range, kinds: tuple[str, ...] = ()
) -> Iterator[SeedResult]:
    """The results that are accepted, one by one, run in this process."""
    for seed in seeds:
        result = run_seed(draw(seed, kinds))
        if accepts(result):
            yield result
