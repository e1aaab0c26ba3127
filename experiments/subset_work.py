"""Subsets beside none, with transactions: `python experiments/subset_work.py OUT [--seeds 200] [--jobs 4] [--way NAME=...]`.

Writes OUT/subset-work.json and OUT/subset-work.md. 40 balancers, 60 upstreams of two cores, open arrivals at 55% of what these bear, the real
decisions, membership and keepers on the modelled network. One seed is played by each way with the same arrivals; the differences are paired, with
95% intervals by bootstrap over the seeds. Figures count from the trouble's begin until 25 s after its end.
"""

import argparse
import json
import sys
from multiprocessing import Pool
from pathlib import Path
from random import Random
from time import time

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dahliabend.config.operator_file.units import Duration  # noqa: E402
from dahliabend.simulation.cluster.script import Fleet, S, Step  # noqa: E402
from dahliabend.simulation.cluster.workload_model import WorkloadModel, upstream_names  # noqa: E402
from dahliabend.subsetting.controller import SubsetSettings  # noqa: E402

MANY, POOL, RATE, ZONES = 40, 60, 330.0, 3
REJECTED = {"uneven": 450.0, "most": 120.0}  # another rate
BEFORE, AFTER = 20, 25  # seconds
EACH = 24  # runs between two writings
DRAWS = 2_000  # of a bootstrap
WAYS = {
    "none": (None, False),
    "subsets": (SubsetSettings(balancers=MANY), False),
    "with demand": (SubsetSettings(balancers=MANY), True),
}


def act(made, what, whom=(), span=0, wait=0, **more):
    made.apply_step(Step(what, whom=list(whom), span=Duration(span * S), **more))
    made.run(wait * S)


def calm(made, rng):
    made.run(20 * S)


def bad(made, rng):
    """Four fail eight in ten at once, four work at a third of their pace; for 20 s."""
    some = [made.upstreams_by_name[name] for name in upstream_names(rng.sample(range(POOL), 8))]
    for node in some[:4]:
        node.failing = 0.8
    for node in some[4:]:
        node.slower = 3.0
    made.run(20 * S)
    for node in some:
        node.failing, node.slower = 0.0, 1.0


def herd(made, rng):
    third = rng.sample(range(MANY), MANY // 3)
    act(made, "kill", third, wait=12)
    act(made, "start", third)


def rolling(made, rng):
    old = rng.sample(range(POOL), POOL // 2)
    for number in range(MANY):
        act(made, "restart", [number])
        if old and number % 4 != 3:
            replace(made, old.pop())
        made.run(S // 2)


def replace(made, number):
    made.drain_upstream(f"u{number}")
    made.start_upstream(f"u{number + POOL if number < POOL else number - POOL}")


def zone(made, rng):
    """One of three zones is lost, machines and all, and returns cold."""
    lost = rng.randrange(ZONES)
    there = [node for node in made.upstreams_by_name.values() if int(node.name[1:]) % ZONES == lost]
    for node in there:
        made.stop_upstream(node, is_silent=True)
    balancers = list(range(lost, MANY, ZONES))
    act(made, "kill", balancers, wait=12)
    for node in there:
        made.start_upstream(node.name)
    act(made, "start", balancers)


def split(made, rng):
    """Membership in two parts for 25 s; both see all upstreams, of which a tenth is replaced meanwhile."""
    everyone = list(range(MANY))
    rng.shuffle(everyone)
    act(made, "split", parts=[everyone[:30], everyone[30:]], span=25)
    for number in rng.sample(range(POOL), 6):
        made.run(4 * S)
        replace(made, number)
    made.run(2 * S)


def join(made, rng):
    """Six in ten replaced within 7 s; some of the others are bad."""
    order = rng.sample(range(POOL), POOL)
    for node in (made.upstreams_by_name[name] for name in upstream_names(order[-3:])):
        node.failing = 0.6
    for number in order[: POOL * 6 // 10]:
        replace(made, number)
        made.run(7 * S * 10 // (POOL * 6))


def half(made, rng):
    """Half of the pool hangs for 12 s: takes all and answers nothing."""
    some = [made.upstreams_by_name[name] for name in upstream_names(rng.sample(range(POOL), POOL // 2))]
    for node in some:
        node.hung = True
    made.run(12 * S)
    for node in some:
        node.hung = False


def most(made, rng):
    """Seven in ten hang for 12 s, with few callers: subsets widen."""
    some = [made.upstreams_by_name[name] for name in upstream_names(rng.sample(range(POOL), POOL * 7 // 10))]
    for node in some:
        node.hung = True
    made.run(12 * S)
    for node in some:
        node.hung = False


def flap(made, rng):
    """One upstream comes and goes, 1 s out of 3, for a minute."""
    name = f"u{rng.randrange(POOL)}"
    for _ in range(20):
        made.stop_upstream(made.upstreams_by_name[name])
        made.run(S)
        made.start_upstream(name)
        made.run(2 * S)


def uneven(made, rng):
    """A quarter of all callers come to one balancer, for 40 s, with 75% of what all bear in all."""
    made.skewed_share = 1 / 4
    made.run(40 * S)
    made.skewed_share = 0.0


SCENARIOS = {
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
FIGURES = ("share", "p99", "links", "most links", "shakes", "probes", "fallen", "moved")


def play(task) -> dict:
    scenario, way, seed = task
    made = WorkloadModel(
        Fleet(seed=seed, instances=MANY, delay=Duration(2_000)),
        POOL,
        REJECTED.get(scenario, RATE),
        WAYS[way][0],
        zones=ZONES,
        announces_demand=WAYS[way][1],
    )
    made.start()
    made.run(BEFORE * S)
    made.reset_metrics()
    SCENARIOS[scenario](made, Random(f"{scenario} {seed}"))
    made.run(AFTER * S)
    made.finish()
    metrics, counts = made.metrics, made.metrics.counts
    asked = counts["asked"]
    return {"scenario": scenario, "way": way, "seed": seed, "share": metrics.served_share, "p99": float(np.percentile(metrics.latencies, 99)) / 1000,
            "links": float(np.mean(metrics.mean_connections)), "most links": metrics.max_connections, "shakes": 1000 * counts["shakes"] / asked,
            "probes": 1000 * counts["probes"] / asked, "fallen": counts["fallen"], "moved": counts["moved"], "broken": metrics.violations[:5]}  # fmt: skip


def interval(values: np.ndarray) -> tuple[float, float, float]:
    """The mean, and where 95% of the means of drawn samples lie."""
    drawn = np.random.default_rng(1).choice(values, (DRAWS, len(values))).mean(axis=1)
    return float(values.mean()), *(float(each) for each in np.percentile(drawn, (2.5, 97.5)))


def page(rows: list[dict], base: str) -> str:
    out = ["# Subsets at work", "", "Made by `experiments/subset_work.py`, simulated: the real decisions on modelled upstreams. Means over the seeds; in brackets the difference "
           f"to `{base}`, paired by seed, with its 95% interval. `links`: connections of an upstream in the mean of the seconds; `most`: of the one that had most, in its worst second; "
           "`shakes`, `probes`: connections opened and probes a thousand transactions; `fallen`: cold upstreams pushed over, in all runs; `moved`: pairs.", "",
           "| what | way | seeds | share served in time, % | p99 of these, ms | links | most | shakes | probes | fallen | moved |",
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"]  # fmt: skip
    ways = list(dict.fromkeys(row["way"] for row in rows))
    for scenario in SCENARIOS:
        first = {row["seed"]: row for row in rows if row["scenario"] == scenario and row["way"] == base}
        for way in ways:
            some = {row["seed"]: row for row in rows if row["scenario"] == scenario and row["way"] == way}
            if not some:
                continue

            def mean(key, some=some):
                return np.mean([row[key] for row in some.values()])

            def beside(key, scale, digits, some=some, way=way, first=first):
                if way == base:
                    return ""
                both = sorted(some.keys() & first.keys())
                middle, low, high = interval(
                    scale * np.array([some[seed][key] - first[seed][key] for seed in both])
                )
                return f" ({middle:+.{digits}f}; {low:+.{digits}f} to {high:+.{digits}f})"

            out.append(
                f"| {scenario} | {way} | {len(some)} | {100 * mean('share'):.2f}{beside('share', 100, 2)} | {mean('p99'):.0f}{beside('p99', 1, 0)} | "
                f"{mean('links'):.1f} | {mean('most links'):.0f} | {mean('shakes'):.0f} | {mean('probes'):.1f} | "
                f"{sum(row['fallen'] for row in some.values())} | {mean('moved'):.0f} |"
            )
    broken = [row for row in rows if row["broken"]]
    out += [
        "",
        f"Rules checked (one answer each, what may not repeat runs once): {len(rows)} runs, {len(broken)} broke one.",
    ]
    return "\n".join(out) + "\n"


def play_all(play, tasks: list, jobs: int, out: Path, text) -> None:
    """All of it over processes, written as it goes: cut short, it has said what it found so far."""
    began, rows = time(), []
    with Pool(jobs) as pool:
        for row in pool.imap_unordered(play, tasks):
            rows.append(row)
            if len(rows) % EACH == 0 or len(rows) == len(tasks):
                out.with_suffix(".md").write_text(text(rows))
                out.with_suffix(".json").write_text(json.dumps(rows) + "\n")
    print(f"{time() - began:.0f} s")


def main() -> None:
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

    def text(rows: list[dict]) -> str:
        rows.sort(key=lambda row: (row["scenario"], given.ways.index(row["way"]), row["seed"]))
        return page(rows, given.ways[0])

    play_all(play, tasks, given.jobs, given.out / "subset-work", text)


if __name__ == "__main__":
    main()
