"""Subsets beside none, under load: `python experiments/subset_work.py OUT [--seeds 200] [--jobs 4] [--way NAME=...]`.

Writes OUT/subset-work.json and OUT/subset-work.md. 40 balancers, 60 upstreams of two cores, open arrivals at 55% of
what these bear, the real policy, membership and subset controllers on the simulated network. Each seed is run in each
way with the same arrivals; the differences are paired, with 95% intervals by bootstrap over the seeds. Measurements
count from the begin of the fault until 25 s after its end.
"""

import argparse
import json
import sys
from collections.abc import Callable, Iterable, Sequence
from multiprocessing import Pool
from pathlib import Path
from random import Random
from time import time
from typing import Any, NamedTuple

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.cluster.script import ClusterScript, S, Step, StepAction
from dahliabend.simulation.cluster.workload_model import (
    WorkloadModel,
    upstream_names,
)
from dahliabend.subsetting.settings import SubsetControllerSettings

BALANCERS, UPSTREAMS, ZONES = 40, 60, 3
RATE = 330.0  # requests a second
RATES = {"uneven": 450.0, "most": 120.0}  # of scenarios with another one
WARMUP_SECONDS, SETTLE_SECONDS = 20, 25
RUNS_PER_WRITE = 24
REPLACE_CYCLE = 4  # restarts, of which all but one replace an upstream
BOOTSTRAP_DRAWS = 2_000
CONFIDENCE = (2.5, 97.5)  # percentiles
MESSAGE_DELAY = Duration(2_000)

Row = dict[str, Any]  # of the results, as JSON
Scenario = Callable[[WorkloadModel, Random], None]


class Way(NamedTuple):
    """How balancers choose their upstreams."""

    subset: SubsetControllerSettings | None
    announces_demand: bool


class Interval(NamedTuple):
    """A mean, and where 95% of the means of drawn samples lie."""

    mean: float
    low: float
    high: float


WAYS = {
    "none": Way(None, False),
    "subsets": Way(SubsetControllerSettings(balancers=BALANCERS), False),
    "with demand": Way(SubsetControllerSettings(balancers=BALANCERS), True),
}


def apply_step(
    model: WorkloadModel,
    what: StepAction,
    whom: Iterable[int] = (),
    span: int = 0,
    wait: int = 0,
    **more: Any,
) -> None:
    """Apply a fault of the cluster, for `span` seconds, and let `wait` seconds pass."""
    model.apply_step(Step(what, whom=list(whom), span=Duration(span * S), **more))
    model.run(wait * S)


def replace(model: WorkloadModel, number: int) -> None:
    """Replace an upstream by another one."""
    model.drain_upstream(f"u{number}")
    model.start_upstream(f"u{number + UPSTREAMS if number < UPSTREAMS else number - UPSTREAMS}")


def calm(model: WorkloadModel, _rng: Random) -> None:
    """No fault for 20 s."""
    model.run(20 * S)


def bad(model: WorkloadModel, rng: Random) -> None:
    """Four fail eight in ten at once, four work at a third of their pace; for 20 s."""
    names = upstream_names(rng.sample(range(UPSTREAMS), 8))
    upstreams = [model.upstreams_by_name[name] for name in names]
    for upstream in upstreams[:4]:
        upstream.failure_share = 0.8
    for upstream in upstreams[4:]:
        upstream.work_factor = 3.0
    model.run(20 * S)
    for upstream in upstreams:
        upstream.failure_share = 0.0
        upstream.work_factor = 1.0


def herd(model: WorkloadModel, rng: Random) -> None:
    """A third of the balancers dies at once, and returns."""
    third = rng.sample(range(BALANCERS), BALANCERS // 3)
    apply_step(model, "kill", third, wait=12)
    apply_step(model, "start", third)


def rolling(model: WorkloadModel, rng: Random) -> None:
    """All balancers restart in turn, and half of the upstreams is replaced."""
    old = rng.sample(range(UPSTREAMS), UPSTREAMS // 2)
    for number in range(BALANCERS):
        apply_step(model, "restart", [number])
        if old and number % REPLACE_CYCLE != REPLACE_CYCLE - 1:
            replace(model, old.pop())
        model.run(S // 2)


def zone(model: WorkloadModel, rng: Random) -> None:
    """One of three zones is lost, machines and all, and returns cold."""
    lost = rng.randrange(ZONES)
    upstreams = [each for each in model.upstreams_by_name.values() if int(each.name[1:]) % ZONES == lost]
    for upstream in upstreams:
        model.end_upstream(upstream, is_silent=True)
    balancers = list(range(lost, BALANCERS, ZONES))
    apply_step(model, "kill", balancers, wait=12)
    for upstream in upstreams:
        model.start_upstream(upstream.name)
    apply_step(model, "start", balancers)


def split(model: WorkloadModel, rng: Random) -> None:
    """Membership in two parts for 25 s; both see all upstreams, of which a tenth is replaced meanwhile."""
    everyone = list(range(BALANCERS))
    rng.shuffle(everyone)
    apply_step(model, "split", parts=[everyone[:30], everyone[30:]], span=25)
    for number in rng.sample(range(UPSTREAMS), 6):
        model.run(4 * S)
        replace(model, number)
    model.run(2 * S)


def join(model: WorkloadModel, rng: Random) -> None:
    """Six in ten replaced within 7 s; some of the others fail."""
    order = rng.sample(range(UPSTREAMS), UPSTREAMS)
    for name in upstream_names(order[-3:]):
        model.upstreams_by_name[name].failure_share = 0.6
    for number in order[: UPSTREAMS * 6 // 10]:
        replace(model, number)
        model.run(7 * S * 10 // (UPSTREAMS * 6))


def half(model: WorkloadModel, rng: Random) -> None:
    """Half of the upstreams hangs for 12 s: takes all and answers nothing."""
    hang(model, rng.sample(range(UPSTREAMS), UPSTREAMS // 2))


def most(model: WorkloadModel, rng: Random) -> None:
    """Seven in ten hang for 12 s, at a low rate: subsets widen."""
    hang(model, rng.sample(range(UPSTREAMS), UPSTREAMS * 7 // 10))


def hang(model: WorkloadModel, numbers: Sequence[int]) -> None:
    """Have upstreams hang for 12 s."""
    upstreams = [model.upstreams_by_name[name] for name in upstream_names(numbers)]
    for upstream in upstreams:
        upstream.is_hung = True
    model.run(12 * S)
    for upstream in upstreams:
        upstream.is_hung = False


def flap(model: WorkloadModel, rng: Random) -> None:
    """One upstream comes and goes, 1 s out of 3, for a minute."""
    name = f"u{rng.randrange(UPSTREAMS)}"
    for _ in range(20):
        model.end_upstream(model.upstreams_by_name[name])
        model.run(S)
        model.start_upstream(name)
        model.run(2 * S)


def uneven(model: WorkloadModel, _rng: Random) -> None:
    """A quarter of all requests goes to one balancer, for 40 s, with 75% of what all bear in all."""
    model.first_balancer_share = 1 / 4
    model.run(40 * S)
    model.first_balancer_share = 0.0


SCENARIOS: dict[str, Scenario] = {
    "half": half,
    "most": most,
    "flap": flap,
    "uneven": uneven,
    "calm": calm,
    "bad": bad,
    "herd": herd,
    "rolling": rolling,
    "zone": zone,
    "split": split,
    "join": join,
}


def run_one(task: tuple[str, str, int]) -> Row:
    """Run a scenario in one way with one seed."""
    scenario, way, seed = task
    model = WorkloadModel(
        ClusterScript(seed=seed, instances=BALANCERS, delay=MESSAGE_DELAY),
        UPSTREAMS,
        RATES.get(scenario, RATE),
        WAYS[way].subset,
        zones=ZONES,
        announces_demand=WAYS[way].announces_demand,
    )
    model.start()
    model.run(WARMUP_SECONDS * S)
    model.reset_metrics()
    SCENARIOS[scenario](model, Random(f"{scenario} {seed}"))
    model.run(SETTLE_SECONDS * S)
    model.finish()
    metrics, counts = model.metrics, model.counts
    asked = counts["asked"]
    return {
        "scenario": scenario,
        "way": way,
        "seed": seed,
        "share": metrics.served_share,
        "p99": float(np.percentile(metrics.latencies, 99)) / 1000,
        "links": float(np.mean(metrics.mean_connections)),
        "most links": metrics.max_connections,
        "shakes": 1000 * counts["shakes"] / asked,
        "probes": 1000 * counts["probes"] / asked,
        "fallen": counts["fallen"],
        "moved": counts["moved"],
        "broken": metrics.violations[:5],
    }


def bootstrap(values: np.ndarray) -> Interval:
    """The mean of paired differences, with its interval."""
    drawn = np.random.default_rng(1).choice(values, (BOOTSTRAP_DRAWS, len(values))).mean(axis=1)
    low, high = (float(each) for each in np.percentile(drawn, CONFIDENCE))
    return Interval(float(values.mean()), low, high)


def format_difference(values: Sequence[float], digits: int) -> str:
    """Paired differences as text."""
    mean, low, high = bootstrap(np.array(values))
    return f" ({mean:+.{digits}f}; {low:+.{digits}f} to {high:+.{digits}f})"


def page(rows: list[Row], base: str) -> str:
    """The results as a page, with differences to the way `base`."""
    out = [
        "# Subsets at work",
        "",
        "Made by `experiments/subset_work.py`, simulated: the real decisions on modelled upstreams. Means over the "
        f"seeds; in brackets the difference to `{base}`, paired by seed, with its 95% interval. `links`: connections "
        "of an upstream in the mean of the seconds; `most`: of the one that had most, in its worst second; `shakes`, "
        "`probes`: connections opened and probes a thousand transactions; `fallen`: cold upstreams pushed over, in "
        "all runs; `moved`: pairs.",
        "",
        "| what | way | seeds | share served in time, % | p99 of these, ms | links | most | shakes | probes | fallen "
        "| moved |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    ways = list(dict.fromkeys(row["way"] for row in rows))
    for scenario in SCENARIOS:
        by_way = {way: select(rows, scenario=scenario, way=way) for way in ways}
        out += [table_row(scenario, way, by_way, base) for way in ways if by_way[way]]
    broken = sum(bool(row["broken"]) for row in rows)
    note = "Rules checked (one answer each, what may not repeat runs once)"
    return "\n".join([*out, "", f"{note}: {len(rows)} runs, {broken} broke one."]) + "\n"


def select(rows: list[Row], **wanted: object) -> dict[int, Row]:
    """The rows with these values, by seed."""
    return {row["seed"]: row for row in rows if all(row[key] == value for key, value in wanted.items())}


def mean_of(rows: dict[int, Row], key: str) -> float:
    """The mean of a value over the seeds."""
    return float(np.mean([row[key] for row in rows.values()]))


def table_row(scenario: str, way: str, by_way: dict[str, dict[int, Row]], base: str) -> str:
    """One row of the page's table."""
    rows, first = by_way[way], by_way[base]
    both = sorted(rows.keys() & first.keys())

    def beside(key: str, scale: float, digits: int) -> str:
        """The difference to the base, "" for the base itself."""
        if way == base:
            return ""
        return format_difference([scale * (rows[seed][key] - first[seed][key]) for seed in both], digits)

    return (
        f"| {scenario} | {way} | {len(rows)} | {100 * mean_of(rows, 'share'):.2f}{beside('share', 100, 2)} | "
        f"{mean_of(rows, 'p99'):.0f}{beside('p99', 1, 0)} | {mean_of(rows, 'links'):.1f} | "
        f"{mean_of(rows, 'most links'):.0f} | {mean_of(rows, 'shakes'):.0f} | {mean_of(rows, 'probes'):.1f} | "
        f"{sum(row['fallen'] for row in rows.values())} | {mean_of(rows, 'moved'):.0f} |"
    )


def run_all(
    run: Callable[[Any], Row],
    tasks: Sequence[Any],
    jobs: int,
    out: Path,
    make_page: Callable[[list[Row]], str],
) -> None:
    """Run all tasks over processes, and write the results as they come."""
    began, rows = time(), []
    with Pool(jobs) as pool:
        for row in pool.imap_unordered(run, tasks):
            rows.append(row)
            if len(rows) % RUNS_PER_WRITE == 0 or len(rows) == len(tasks):
                out.with_suffix(".md").write_text(make_page(rows))
                out.with_suffix(".json").write_text(json.dumps(rows) + "\n")
    print(f"{time() - began:.0f} s")


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("out", type=Path)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--ways", nargs="*", default=list(WAYS))
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    tasks = [
        (scenario, way, seed)
        for seed in range(given.seeds)
        for scenario in given.scenarios
        for way in given.ways
    ]

    def make_page(rows: list[Row]) -> str:
        """The page of the rows, in the order of the ways."""
        rows.sort(key=lambda row: (row["scenario"], given.ways.index(row["way"]), row["seed"]))
        return page(rows, given.ways[0])

    run_all(run_one, tasks, given.jobs, given.out / "subset-work", make_page)


if __name__ == "__main__":
    main()
