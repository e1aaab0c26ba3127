"""Health gossip compared with none, also with false reports: `python experiments/signals.py OUT [--seeds 40] [--jobs 4]`.

Writes OUT/signals.json and OUT/signals.md. Scenarios, sizes, measurements and intervals are those of `subset_work.py`,
with subsets and without. In one more scenario, `cut`, eight balancers lose contact with a third of the upstreams, which
serve the other balancers as usual. Lying balancers report all upstreams as dead, all as well, or repeat their first
report for ever.
"""

import argparse
import sys
from pathlib import Path
from random import Random
from typing import NamedTuple

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent))

import subset_work as workload
from subset_work import BALANCERS, UPSTREAMS, Row, S, Scenario

from dahliabend.simulation.cluster.script import ClusterScript
from dahliabend.simulation.cluster.workload_model import (
    WorkloadModel,
    upstream_names,
)


class Variant(NamedTuple):
    """How balancers report the health of upstreams to each other."""

    has_gossip: bool
    lie_types: dict[int, str]  # kind of lie by number of the balancer, see `LyingGossip`
    check_period: int  # period of leased health checks in microseconds; 0 disables them


def lose_contact(model: WorkloadModel, rng: Random) -> None:
    """Cut eight balancers off from a third of the upstreams for 20 s."""
    names = upstream_names(rng.sample(range(UPSTREAMS), UPSTREAMS // 3))
    upstreams = [model.upstreams_by_name[name] for name in names]
    for upstream in upstreams:
        upstream.unreachable_from = set(range(0, BALANCERS, 5))
    model.run(20 * S)
    for upstream in upstreams:
        upstream.unreachable_from = set()


SCENARIOS: dict[str, Scenario] = {
    "calm": workload.run_without_fault,
    "bad": workload.degrade_upstreams,
    "half": workload.hang_half_of_upstreams,
    "zone": workload.lose_zone,
    "join": workload.replace_most_upstreams,
    "herd": workload.kill_third_of_balancers,
    "split": workload.split_membership,
    "cut": lose_contact,
}
VARIANTS = {
    "none": Variant(False, {}, 0),
    "signals": Variant(True, {}, 0),
    "signals, probing in 4 s": Variant(True, {}, 4 * S),
    "1 liar, dead": Variant(True, {1: "dead"}, 0),
    "2 liars, dead": Variant(True, {1: "dead", 2: "dead"}, 0),
    "2 liars, well and old": Variant(True, {1: "well", 2: "old"}, 0),
}
BASE = "none"


def run_one(task: tuple[str, bool, str, int]) -> Row:
    """Run a scenario with one variant and seed, with subsets or without; return its results."""
    scenario, has_subsets, variant, seed = task
    model = WorkloadModel(
        ClusterScript(seed=seed, instances=BALANCERS, delay=workload.MESSAGE_DELAY),
        UPSTREAMS,
        workload.RATE,
        workload.VARIANTS["subsets"].subset if has_subsets else None,
        zones=workload.ZONES,
        has_gossip=VARIANTS[variant].has_gossip,
        lie_types=VARIANTS[variant].lie_types,
        check_period=VARIANTS[variant].check_period,
    )
    model.start()
    model.run(workload.WARMUP_SECONDS * S)
    model.reset_metrics()
    start = model.now
    SCENARIOS[scenario](model, Random(f"{scenario} {seed}"))
    model.run(workload.SETTLE_SECONDS * S)
    seconds = (model.now - start) / S
    model.finish()
    metrics, counts = model.metrics, model.counts
    return {
        "scenario": scenario,
        "subsets": has_subsets,
        "way": variant,
        "seed": seed,
        "share": 100 * metrics.served_share,
        "p99": float(np.percentile(metrics.latencies, 99)) / 1000,
        "probes": 1000 * counts["probes"] / counts["asked"],
        "fallen": counts["fallen"],
        "believed": counts["believed"],
        "bytes": counts["signal bytes"] / BALANCERS / seconds,
        "broken": metrics.violations[:5],
    }


def results_page(rows: list[Row]) -> str:
    """Return the results as a Markdown page."""
    out = [
        "# Signals at work",
        "",
        "Made by `experiments/signals.py`, simulated: 40 balancers, 60 upstreams. In brackets the difference to `none` "
        "on the same seeds, with its 95% interval. `probes`: a thousand transactions; `believed`: told to decisions, a "
        "run; `bytes`: a second an instance.",
        "",
        "| what | subsets | way | seeds | share served in time, % | p99 of these, ms | probes | fallen | believed "
        "| bytes |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for scenario in SCENARIOS:
        for has_subsets in (False, True):
            base_rows = workload.select(rows, scenario=scenario, subsets=has_subsets, way=BASE)
            for variant in VARIANTS:
                variant_rows = workload.select(rows, scenario=scenario, subsets=has_subsets, way=variant)
                if variant_rows:
                    out.append(table_row(scenario, has_subsets, variant, variant_rows, base_rows))
    runs_with_violations = sum(bool(row["broken"]) for row in rows)
    return "\n".join([*out, "", f"Rules checked: {len(rows)} runs, {runs_with_violations} broke one."]) + "\n"


def table_row(
    scenario: str, has_subsets: bool, variant: str, rows: dict[int, Row], base_rows: dict[int, Row]
) -> str:
    """Return one row of the table, with differences to the results of the base variant by seed."""
    common_seeds = sorted(rows.keys() & base_rows.keys())
    cells = []
    for key, digits in (("share", 2), ("p99", 0)):
        differences = [rows[seed][key] - base_rows[seed][key] for seed in common_seeds]
        difference = workload.format_difference(differences, digits) if variant != BASE else ""
        cells.append(f"{workload.mean_of(rows, key):.{digits}f}{difference}")
    probes, believed, size = (workload.mean_of(rows, key) for key in ("probes", "believed", "bytes"))
    fallen = sum(row["fallen"] for row in rows.values())
    return (
        f"| {scenario} | {'yes' if has_subsets else 'no'} | {variant} | {len(rows)} | {cells[0]} | {cells[1]} | "
        f"{probes:.1f} | {fallen} | {believed:.0f} | {size:.0f} |"
    )


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("out", type=Path)
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--ways", nargs="*", default=list(VARIANTS))
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    tasks = [
        (scenario, has_subsets, variant, seed)
        for seed in range(arguments.seeds)
        for scenario in arguments.scenarios
        for has_subsets in (False, True)
        for variant in arguments.ways
    ]
    workload.run_all(run_one, tasks, arguments.jobs, arguments.out / "signals", results_page)


if __name__ == "__main__":
    main()
