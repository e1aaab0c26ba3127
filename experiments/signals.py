"""Health gossip beside none, with liars: `python experiments/signals.py OUT [--seeds 40] [--jobs 4] [--scenarios ...]`.

Writes OUT/signals.json and OUT/signals.md. Scenarios, sizes, measurements and intervals as in `subset_work.py`, with
subsets and without. Besides the scenarios there, `cut`: eight balancers lose contact with a third of the upstreams,
which serve the others as usual. Liars report all as dead, all as well, or their first report for ever.
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


class Way(NamedTuple):
    """What balancers report to each other."""

    has_gossip: bool
    lie_types: dict[int, str]  # by balancer, see `LyingGossip`
    check_period: int  # of leased health checks; 0: none


def cut(model: WorkloadModel, rng: Random) -> None:
    """Eight balancers lose contact with a third of the upstreams, for 20 s."""
    names = upstream_names(rng.sample(range(UPSTREAMS), UPSTREAMS // 3))
    upstreams = [model.upstreams_by_name[name] for name in names]
    for upstream in upstreams:
        upstream.unreachable_from = set(range(0, BALANCERS, 5))
    model.run(20 * S)
    for upstream in upstreams:
        upstream.unreachable_from = set()


SCENARIOS: dict[str, Scenario] = {
    "calm": workload.calm,
    "bad": workload.bad,
    "half": workload.half,
    "zone": workload.zone,
    "join": workload.join,
    "herd": workload.herd,
    "split": workload.split,
    "cut": cut,
}
WAYS = {
    "none": Way(False, {}, 0),
    "signals": Way(True, {}, 0),
    "signals, probing in 4 s": Way(True, {}, 4 * S),
    "1 liar, dead": Way(True, {1: "dead"}, 0),
    "2 liars, dead": Way(True, {1: "dead", 2: "dead"}, 0),
    "2 liars, well and old": Way(True, {1: "well", 2: "old"}, 0),
}
BASE = "none"


def run_one(task: tuple[str, bool, str, int]) -> Row:
    """Run a scenario in one way with one seed, with subsets or without."""
    scenario, has_subsets, way, seed = task
    model = WorkloadModel(
        ClusterScript(seed=seed, instances=BALANCERS, delay=workload.MESSAGE_DELAY),
        UPSTREAMS,
        workload.RATE,
        workload.WAYS["subsets"].subset if has_subsets else None,
        zones=workload.ZONES,
        has_gossip=WAYS[way].has_gossip,
        lie_types=WAYS[way].lie_types,
        check_period=WAYS[way].check_period,
    )
    model.start()
    model.run(workload.WARMUP_SECONDS * S)
    model.reset_metrics()
    begin = model.now
    SCENARIOS[scenario](model, Random(f"{scenario} {seed}"))
    model.run(workload.SETTLE_SECONDS * S)
    seconds = (model.now - begin) / S
    model.finish()
    metrics, counts = model.metrics, model.counts
    return {
        "scenario": scenario,
        "subsets": has_subsets,
        "way": way,
        "seed": seed,
        "share": 100 * metrics.served_share,
        "p99": float(np.percentile(metrics.latencies, 99)) / 1000,
        "probes": 1000 * counts["probes"] / counts["asked"],
        "fallen": counts["fallen"],
        "believed": counts["believed"],
        "bytes": counts["signal bytes"] / BALANCERS / seconds,
        "broken": metrics.violations[:5],
    }


def page(rows: list[Row]) -> str:
    """The results as a page."""
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
            first = workload.select(rows, scenario=scenario, subsets=has_subsets, way=BASE)
            for way in WAYS:
                some = workload.select(rows, scenario=scenario, subsets=has_subsets, way=way)
                if some:
                    out.append(table_row(scenario, has_subsets, way, some, first))
    broken = sum(bool(row["broken"]) for row in rows)
    return "\n".join([*out, "", f"Rules checked: {len(rows)} runs, {broken} broke one."]) + "\n"


def table_row(scenario: str, has_subsets: bool, way: str, rows: dict[int, Row], first: dict[int, Row]) -> str:
    """One row of the page's table; `first`: the rows of the base."""
    both = sorted(rows.keys() & first.keys())
    cells = []
    for key, digits in (("share", 2), ("p99", 0)):
        differences = [rows[seed][key] - first[seed][key] for seed in both]
        beside = workload.format_difference(differences, digits) if way != BASE else ""
        cells.append(f"{workload.mean_of(rows, key):.{digits}f}{beside}")
    probes, believed, size = (workload.mean_of(rows, key) for key in ("probes", "believed", "bytes"))
    fallen = sum(row["fallen"] for row in rows.values())
    return (
        f"| {scenario} | {'yes' if has_subsets else 'no'} | {way} | {len(rows)} | {cells[0]} | {cells[1]} | "
        f"{probes:.1f} | {fallen} | {believed:.0f} | {size:.0f} |"
    )


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("out", type=Path)
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--ways", nargs="*", default=list(WAYS))
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    tasks = [
        (scenario, has_subsets, way, seed)
        for seed in range(given.seeds)
        for scenario in given.scenarios
        for has_subsets in (False, True)
        for way in given.ways
    ]
    workload.run_all(run_one, tasks, given.jobs, given.out / "signals", page)


if __name__ == "__main__":
    main()
