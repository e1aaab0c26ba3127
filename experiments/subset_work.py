"""Subsets compared with none, under load: `python experiments/subset_work.py OUT [--seeds 200] [--jobs 4] [--scenarios ...]`.

Writes OUT/subset-work.json and OUT/subset-work.md. The model has 40 balancers, 60 upstreams of two cores, open arrivals
at 55% of the capacity of the upstreams, and the real policy, membership and subset controllers on the simulated
network. Each seed is run with each variant and the same arrivals; the differences are paired, with 95% intervals by
bootstrap over the seeds. Measurements count from the beginning of the fault until 25 s after its end.
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
RATES = {"uneven": 450.0, "most": 120.0}  # requests a second in scenarios with another rate
WARMUP_SECONDS, SETTLE_SECONDS = 20, 25
RUNS_PER_WRITE = 24
REPLACE_CYCLE = 4  # all but one of this many restarts also replace an upstream
BOOTSTRAP_DRAWS = 2_000
CONFIDENCE = (2.5, 97.5)  # percentiles
MESSAGE_DELAY = Duration(2_000)

Row = dict[str, Any]  # the results of one run, as written to the JSON file
Scenario = Callable[[WorkloadModel, Random], None]


class Variant(NamedTuple):
    """How balancers choose their upstreams."""

    subset: SubsetControllerSettings | None
    announces_demand: bool


class Interval(NamedTuple):
    """A mean with its 95% bootstrap interval."""

    mean: float
    low: float
    high: float


VARIANTS = {
    "none": Variant(None, False),
    "subsets": Variant(SubsetControllerSettings(balancers=BALANCERS), False),
    "with demand": Variant(SubsetControllerSettings(balancers=BALANCERS), True),
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


def replace_upstream(model: WorkloadModel, number: int) -> None:
    """Drain an upstream, and start another one in its place."""
    model.drain_upstream(f"u{number}")
    model.start_upstream(f"u{number + UPSTREAMS if number < UPSTREAMS else number - UPSTREAMS}")


def run_without_fault(model: WorkloadModel, _rng: Random) -> None:
    """Run without a fault for 20 s."""
    model.run(20 * S)


def degrade_upstreams(model: WorkloadModel, rng: Random) -> None:
    """Make four upstreams fail eight in ten requests at once, and four work three times slower, for 20 s."""
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


def kill_third_of_balancers(model: WorkloadModel, rng: Random) -> None:
    """Kill a third of the balancers at once, and start them again."""
    third = rng.sample(range(BALANCERS), BALANCERS // 3)
    apply_step(model, "kill", third, wait=12)
    apply_step(model, "start", third)


def restart_all_balancers(model: WorkloadModel, rng: Random) -> None:
    """Restart all balancers in turn, and replace half of the upstreams meanwhile."""
    old = rng.sample(range(UPSTREAMS), UPSTREAMS // 2)
    for number in range(BALANCERS):
        apply_step(model, "restart", [number])
        if old and number % REPLACE_CYCLE != REPLACE_CYCLE - 1:
            replace_upstream(model, old.pop())
        model.run(S // 2)


def lose_zone(model: WorkloadModel, rng: Random) -> None:
    """Stop all balancers and upstreams of one of three zones, and start them again cold."""
    lost = rng.randrange(ZONES)
    upstreams = [
        upstream for upstream in model.upstreams_by_name.values() if int(upstream.name[1:]) % ZONES == lost
    ]
    for upstream in upstreams:
        model.end_upstream(upstream, is_silent=True)
    balancers = list(range(lost, BALANCERS, ZONES))
    apply_step(model, "kill", balancers, wait=12)
    for upstream in upstreams:
        model.start_upstream(upstream.name)
    apply_step(model, "start", balancers)


def split_membership(model: WorkloadModel, rng: Random) -> None:
    """Partition the membership in two for 25 s, and replace a tenth of the upstreams, which both parts reach."""
    balancers = list(range(BALANCERS))
    rng.shuffle(balancers)
    apply_step(model, "split", parts=[balancers[:30], balancers[30:]], span=25)
    for number in rng.sample(range(UPSTREAMS), 6):
        model.run(4 * S)
        replace_upstream(model, number)
    model.run(2 * S)


def replace_most_upstreams(model: WorkloadModel, rng: Random) -> None:
    """Replace six in ten upstreams within 7 s, while three of the others fail six in ten requests."""
    order = rng.sample(range(UPSTREAMS), UPSTREAMS)
    for name in upstream_names(order[-3:]):
        model.upstreams_by_name[name].failure_share = 0.6
    for number in order[: UPSTREAMS * 6 // 10]:
        replace_upstream(model, number)
        model.run(7 * S * 10 // (UPSTREAMS * 6))


def hang_half_of_upstreams(model: WorkloadModel, rng: Random) -> None:
    """Make half of the upstreams hang for 12 s: they accept requests and send no response."""
    hang_upstreams(model, rng.sample(range(UPSTREAMS), UPSTREAMS // 2))


def hang_most_upstreams(model: WorkloadModel, rng: Random) -> None:
    """Make seven in ten upstreams hang for 12 s at a low request rate, so that subsets grow."""
    hang_upstreams(model, rng.sample(range(UPSTREAMS), UPSTREAMS * 7 // 10))


def hang_upstreams(model: WorkloadModel, numbers: Sequence[int]) -> None:
    """Make upstreams hang for 12 s."""
    upstreams = [model.upstreams_by_name[name] for name in upstream_names(numbers)]
    for upstream in upstreams:
        upstream.is_hung = True
    model.run(12 * S)
    for upstream in upstreams:
        upstream.is_hung = False


def flap_upstream(model: WorkloadModel, rng: Random) -> None:
    """Stop and start one upstream repeatedly for a minute, 1 s down in every 3 s."""
    name = f"u{rng.randrange(UPSTREAMS)}"
    for _ in range(20):
        model.end_upstream(model.upstreams_by_name[name])
        model.run(S)
        model.start_upstream(name)
        model.run(2 * S)


def skew_traffic(model: WorkloadModel, _rng: Random) -> None:
    """Send a quarter of all requests to one balancer for 40 s, at 75% of the capacity of all upstreams."""
    model.first_balancer_share = 1 / 4
    model.run(40 * S)
    model.first_balancer_share = 0.0


SCENARIOS: dict[str, Scenario] = {
    "half": hang_half_of_upstreams,
    "most": hang_most_upstreams,
    "flap": flap_upstream,
    "uneven": skew_traffic,
    "calm": run_without_fault,
    "bad": degrade_upstreams,
    "herd": kill_third_of_balancers,
    "rolling": restart_all_balancers,
    "zone": lose_zone,
    "split": split_membership,
    "join": replace_most_upstreams,
}


def run_one(task: tuple[str, str, int]) -> Row:
    """Run a scenario with one variant and seed; return its results."""
    scenario, variant, seed = task
    model = WorkloadModel(
        ClusterScript(seed=seed, instances=BALANCERS, delay=MESSAGE_DELAY),
        UPSTREAMS,
        RATES.get(scenario, RATE),
        VARIANTS[variant].subset,
        zones=ZONES,
        announces_demand=VARIANTS[variant].announces_demand,
    )
    model.start()
    model.run(WARMUP_SECONDS * S)
    model.reset_metrics()
    SCENARIOS[scenario](model, Random(f"{scenario} {seed}"))
    model.run(SETTLE_SECONDS * S)
    model.finish()
    metrics, counts = model.metrics, model.counts
    requests = counts["asked"]
    return {
        "scenario": scenario,
        "way": variant,
        "seed": seed,
        "share": metrics.served_share,
        "p99": float(np.percentile(metrics.latencies, 99)) / 1000,
        "links": float(np.mean(metrics.mean_connections)),
        "most links": metrics.max_connections,
        "shakes": 1000 * counts["shakes"] / requests,
        "probes": 1000 * counts["probes"] / requests,
        "fallen": counts["fallen"],
        "moved": counts["moved"],
        "broken": metrics.violations[:5],
    }


def bootstrap_mean(values: np.ndarray) -> Interval:
    """Return the mean of paired differences, with its 95% bootstrap interval."""
    sample_means = np.random.default_rng(1).choice(values, (BOOTSTRAP_DRAWS, len(values))).mean(axis=1)
    low, high = (float(bound) for bound in np.percentile(sample_means, CONFIDENCE))
    return Interval(float(values.mean()), low, high)


def format_difference(values: Sequence[float], digits: int) -> str:
    """Return the mean and the interval of paired differences as text."""
    mean, low, high = bootstrap_mean(np.array(values))
    return f" ({mean:+.{digits}f}; {low:+.{digits}f} to {high:+.{digits}f})"


def results_page(rows: list[Row], base: str) -> str:
    """Return the results as a Markdown page, with differences to the variant `base`."""
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
    variants = list(dict.fromkeys(row["way"] for row in rows))
    for scenario in SCENARIOS:
        rows_by_variant = {variant: select(rows, scenario=scenario, way=variant) for variant in variants}
        out += [
            table_row(scenario, variant, rows_by_variant, base)
            for variant in variants
            if rows_by_variant[variant]
        ]
    runs_with_violations = sum(bool(row["broken"]) for row in rows)
    note = "Rules checked (one answer each, what may not repeat runs once)"
    return "\n".join([*out, "", f"{note}: {len(rows)} runs, {runs_with_violations} broke one."]) + "\n"


def select(rows: list[Row], **values: object) -> dict[int, Row]:
    """Return the rows with these values, by seed."""
    return {row["seed"]: row for row in rows if all(row[key] == value for key, value in values.items())}


def mean_of(rows: dict[int, Row], key: str) -> float:
    """Return the mean of a column over the seeds."""
    return float(np.mean([row[key] for row in rows.values()]))


def table_row(scenario: str, variant: str, rows_by_variant: dict[str, dict[int, Row]], base: str) -> str:
    """Return one row of the table."""
    rows, base_rows = rows_by_variant[variant], rows_by_variant[base]
    common_seeds = sorted(rows.keys() & base_rows.keys())

    def difference(key: str, scale: float, digits: int) -> str:
        """Return the difference to the base variant as text; "" for the base itself."""
        if variant == base:
            return ""
        return format_difference(
            [scale * (rows[seed][key] - base_rows[seed][key]) for seed in common_seeds], digits
        )

    return (
        f"| {scenario} | {variant} | {len(rows)} | {100 * mean_of(rows, 'share'):.2f}{difference('share', 100, 2)} | "
        f"{mean_of(rows, 'p99'):.0f}{difference('p99', 1, 0)} | {mean_of(rows, 'links'):.1f} | "
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
    """Run all tasks in parallel processes; write the results after every `RUNS_PER_WRITE` runs."""
    started_at, rows = time(), []
    with Pool(jobs) as pool:
        for row in pool.imap_unordered(run, tasks):
            rows.append(row)
            if len(rows) % RUNS_PER_WRITE == 0 or len(rows) == len(tasks):
                out.with_suffix(".md").write_text(make_page(rows))
                out.with_suffix(".json").write_text(json.dumps(rows) + "\n")
    print(f"{time() - started_at:.0f} s")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("out", type=Path)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--ways", nargs="*", default=list(VARIANTS))
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    tasks = [
        (scenario, variant, seed)
        for seed in range(arguments.seeds)
        for scenario in arguments.scenarios
        for variant in arguments.ways
    ]

    def make_page(rows: list[Row]) -> str:
        """Return the page of the rows, sorted in the order of the variants."""
        rows.sort(key=lambda row: (row["scenario"], arguments.ways.index(row["way"]), row["seed"]))
        return results_page(rows, arguments.ways[0])

    run_all(run_one, tasks, arguments.jobs, arguments.out / "subset-work", make_page)


if __name__ == "__main__":
    main()
