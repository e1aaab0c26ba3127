"""Signals beside none, with liars: `python experiments/signals.py OUT [--seeds 40] [--jobs 4] [--scenarios ...]`.

Writes OUT/signals.json and OUT/signals.md. Scenarios, sizes, figures and intervals as in `subset_work.py`; with subsets and without. Besides the plays there:
`cut`: eight balancers lose touch with a third of the upstreams, which serve the others as usual. Liars tell all as dead, all as well, or their first report for ever.
"""

import argparse
import sys
from pathlib import Path
from random import Random

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent))

import subset_work as plays  # noqa: E402
from subset_work import AFTER, BEFORE, MANY, POOL, RATE, ZONES, S, interval  # noqa: E402

from dahliabend.config.operator_file.units import Duration  # noqa: E402
from dahliabend.simulation.cluster.script import Fleet  # noqa: E402
from dahliabend.simulation.cluster.workload_model import WorkloadModel  # noqa: E402


def cut(made, rng):
    some = [made.upstreams_by_name[name] for name in plays.upstream_names(rng.sample(range(POOL), POOL // 3))]
    for node in some:
        node.deaf_to = set(range(0, MANY, 5))
    made.run(20 * S)
    for node in some:
        node.deaf_to = set()


SCENARIOS = {
    "calm": plays.calm,
    "bad": plays.bad,
    "half": plays.half,
    "zone": plays.zone,
    "join": plays.join,
    "herd": plays.herd,
    "split": plays.split,
    "cut": cut,
}
WAYS = {"none": (False, {}, 0), "signals": (True, {}, 0), "signals, probing in 4 s": (True, {}, 4 * S), "1 liar, dead": (True, {1: "dead"}, 0),
        "2 liars, dead": (True, {1: "dead", 2: "dead"}, 0), "2 liars, well and old": (True, {1: "well", 2: "old"}, 0)}  # fmt: skip


def play(task) -> dict:
    scenario, subsets, way, seed = task
    signals, liars, probing = WAYS[way]
    terms = plays.WAYS["subsets"][0] if subsets else None
    made = WorkloadModel(
        Fleet(seed=seed, instances=MANY, delay=Duration(2_000)),
        POOL,
        RATE,
        terms,
        zones=ZONES,
        has_gossip=signals,
        lies=liars,
        check_period=probing,
    )
    made.start()
    made.run(BEFORE * S)
    made.reset_metrics()
    begin = made.now
    SCENARIOS[scenario](made, Random(f"{scenario} {seed}"))
    made.run(AFTER * S)
    seconds = (made.now - begin) / S
    made.finish()
    metrics, counts = made.metrics, made.metrics.counts
    return {"scenario": scenario, "subsets": subsets, "way": way, "seed": seed, "share": 100 * metrics.served_share, "p99": float(np.percentile(metrics.latencies, 99)) / 1000,
            "probes": 1000 * counts["probes"] / counts["asked"], "fallen": counts["fallen"], "believed": counts["believed"],
            "bytes": counts["signal bytes"] / MANY / seconds, "broken": metrics.violations[:5]}  # fmt: skip


def page(rows: list[dict]) -> str:
    out = ["# Signals at work", "", "Made by `experiments/signals.py`, simulated: 40 balancers, 60 upstreams. In brackets the difference to `none` on the same seeds, with its 95% interval. "
           "`probes`: a thousand transactions; `believed`: told to decisions, a run; `bytes`: a second an instance.", "",
           "| what | subsets | way | seeds | share served in time, % | p99 of these, ms | probes | fallen | believed | bytes |",
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"]  # fmt: skip
    for scenario in SCENARIOS:
        for subsets in (False, True):
            first = {
                r["seed"]: r
                for r in rows
                if (r["scenario"], r["subsets"], r["way"]) == (scenario, subsets, "none")
            }
            for way in WAYS:
                some = {
                    r["seed"]: r
                    for r in rows
                    if (r["scenario"], r["subsets"], r["way"]) == (scenario, subsets, way)
                }
                if not some:
                    continue
                cells = []
                for key, digits in (("share", 2), ("p99", 0)):
                    beside = ""
                    if way != "none":
                        middle, low, high = interval(
                            np.array(
                                [some[s][key] - first[s][key] for s in sorted(some.keys() & first.keys())]
                            )
                        )
                        beside = f" ({middle:+.{digits}f}; {low:+.{digits}f} to {high:+.{digits}f})"
                    cells.append(f"{np.mean([r[key] for r in some.values()]):.{digits}f}{beside}")
                means = [np.mean([r[key] for r in some.values()]) for key in ("probes", "believed", "bytes")]
                out.append(f"| {scenario} | {'yes' if subsets else 'no'} | {way} | {len(some)} | {cells[0]} | {cells[1]} | {means[0]:.1f} | "
                           f"{sum(r['fallen'] for r in some.values())} | {means[1]:.0f} | {means[2]:.0f} |")  # fmt: skip
    broken = sum(bool(row["broken"]) for row in rows)
    return "\n".join([*out, "", f"Rules checked: {len(rows)} runs, {broken} broke one."]) + "\n"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("out", type=Path)
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--scenarios", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--ways", nargs="*", default=list(WAYS))
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    tasks = [
        (scenario, subsets, way, seed)
        for seed in range(given.seeds)
        for scenario in given.scenarios
        for subsets in (False, True)
        for way in given.ways
    ]
    plays.play_all(play, tasks, given.jobs, given.out / "signals", page)


if __name__ == "__main__":
    main()
