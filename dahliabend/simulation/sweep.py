"""Runs many seeds in parallel processes, and counts the results by fault and by rule."""

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

SEEDS_PER_TASK = 20  # run by a worker process in one task
SIMULATION_ERROR_RULE = "emulator"  # rule under which errors of the simulation itself are counted


@dataclass(slots=True)
class SeedResult:
    """The summary of one run. The field names appear in JSON output."""

    seed: int
    faults: list[str]
    rules: dict[str, str]  # the first violation of each violated rule
    counts: dict[str, int]
    digest: str
    steps: int
    span: int  # virtual microseconds
    cpu: float  # seconds


@dataclass(slots=True)
class Summary:
    """The summary of all runs. The field names appear in JSON output."""

    runs: int = 0
    steps: int = 0
    span: int = 0  # virtual microseconds of all runs together
    cpu: float = 0.0  # seconds
    wall: float = 0.0  # seconds
    counts: Counter[str] = field(default_factory=Counter)
    by_fault: dict[str, Counter[str]] = field(default_factory=dict)  # runs, and runs that violated each rule
    by_rule: Counter[str] = field(default_factory=Counter)
    broken: list[SeedResult] = field(default_factory=list)

    def add(self, result: SeedResult) -> None:
        """Add the result of one run."""
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
    """Run a scenario and return its summary; an error of the simulation itself counts as a violated rule."""
    started_at = time.process_time()
    faults: list[str] = [fault.what for fault in scenario.faults]
    try:
        result = run_scenario(scenario)
    except Exception as error:  # the sweep reports any error and continues
        cpu = time.process_time() - started_at
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
        time.process_time() - started_at,
    )


def _run_seeds(seeds: range, kinds: tuple[str, ...], prepare: str) -> list[SeedResult]:
    """Run seeds in a worker process; `prepare` is that of `sweep`."""
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
    """Run the scenarios of all seeds in worker processes, and summarise the results in order of seeds.

    Args:
        seeds: the seeds to run.
        jobs: the number of worker processes.
        kinds: the faults to draw from; empty: all.
        on_result: called with each result as soon as it is available, in any order.
        prepare: `module:function`, called at the start of each task in its worker process.
    """
    summary = Summary()
    started_at = time.perf_counter()
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
    summary.wall = time.perf_counter() - started_at
    return summary


def matching_runs(
    accepts: Callable[[SeedResult], bool], seeds: range, kinds: tuple[str, ...] = ()
) -> Iterator[SeedResult]:
    """Run seeds one by one in this process, and yield the accepted results."""
    for seed in seeds:
        result = run_seed(draw(seed, kinds))
        if accepts(result):
            yield result
