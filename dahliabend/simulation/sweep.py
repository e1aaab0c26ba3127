"""Many seeds over many processes, and what came of them by fault and by rule."""

import gc
import importlib
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field

from dahliabend.simulation.script import Scenario, draw
from dahliabend.simulation.world import Result, play

CHUNK = 20  # seeds that a process takes at a time
CRASHED = "emulator"  # the rule under which a fault of the emulator itself is counted


@dataclass(slots=True)
class Seen:
    """What a sweep keeps of one run."""

    seed: int
    faults: list[str]
    rules: dict[str, str]  # each rule broken, and its first violation
    counts: dict[str, int]
    digest: str
    steps: int
    span: int
    cpu: float


@dataclass(slots=True)
class Summary:
    runs: int = 0
    steps: int = 0
    span: int = 0  # virtual microseconds, all runs together
    cpu: float = 0.0
    wall: float = 0.0
    counts: Counter = field(default_factory=Counter)
    by_fault: dict[str, Counter] = field(default_factory=dict)  # runs, and runs that broke each rule
    by_rule: Counter = field(default_factory=Counter)
    broken: list[Seen] = field(default_factory=list)

    def add(self, seen: Seen) -> None:
        self.runs += 1
        self.steps += seen.steps
        self.span += seen.span
        self.cpu += seen.cpu
        self.counts.update(seen.counts)
        for fault in set(seen.faults) or {"none"}:
            counter = self.by_fault.setdefault(fault, Counter())
            counter["runs"] += 1
            counter.update(seen.rules.keys())
        self.by_rule.update(seen.rules.keys())
        if seen.rules:
            self.broken.append(seen)


def look(scenario: Scenario) -> Seen:
    """Plays one and keeps the short of it. A fault of the emulator itself counts as a broken rule."""
    began = time.process_time()
    faults = [fault.what for fault in scenario.faults]
    try:
        result: Result = play(scenario)
    except Exception as error:
        return Seen(scenario.seed, faults, {CRASHED: repr(error)}, {}, "", 0, 0, time.process_time() - began)
    rules: dict[str, str] = {}
    for violation in result.violations:
        rules.setdefault(violation.rule, str(violation))
    return Seen(
        scenario.seed, faults, rules, result.counts, result.digest, result.steps, result.span,
        time.process_time() - began,
    )  # fmt: skip


def chunk(seeds: range, kinds: tuple[str, ...], prepare: str) -> list[Seen]:
    """In a process of the pool. `prepare`, `module:function`, is called there first."""
    if prepare:
        module, _, name = prepare.partition(":")
        getattr(importlib.import_module(module), name)()
    seen = [look(draw(seed, kinds)) for seed in seeds]
    gc.collect()
    return seen


def sweep(
    seeds: range, jobs: int, kinds: tuple[str, ...] = (), tell: Callable[[Seen], None] | None = None,
    prepare: str = "",
) -> Summary:  # fmt: skip
    """Plays all; `tell` hears of each as it ends. What is kept is in the order of the seeds."""
    summary, began, found = Summary(), time.perf_counter(), []
    with ProcessPoolExecutor(jobs) as pool:
        parts = [
            pool.submit(chunk, seeds[at : at + CHUNK], kinds, prepare) for at in range(0, len(seeds), CHUNK)
        ]
        for part in as_completed(parts):
            for seen in part.result():
                found.append(seen)
                if tell is not None:
                    tell(seen)
    for seen in sorted(found, key=lambda seen: seen.seed):
        summary.add(seen)
    summary.wall = time.perf_counter() - began
    return summary


def first(rules: Callable[[Seen], bool], seeds: range, kinds: tuple[str, ...] = ()) -> Iterator[Seen]:
    """Those that fit, one by one, in this process."""
    for seed in seeds:
        seen = look(draw(seed, kinds))
        if rules(seen):
            yield seen
