"""Membership over sizes and bad networks, on the model: `python experiments/fleets.py OUT [--jobs 4] [--small | --large]`.

Writes OUT/members.json, OUT/members.md and charts. Detection: everybody knows everybody, ten calm periods, then one is killed; the
time until the first and until the last of the others has it out of its view; bytes a second an instance in the calm before. False
deaths: nobody ends; datagrams are lost, and in half of the runs one instance is stopped for 3 s of every 20; each death told is
false. Beside it the same machine without local health awareness, and without others asked. `--large` has false deaths alone, at 500 and
2,000 instances, an hour or two of one machine, and writes OUT/members-large.md as the cells come.
"""

import argparse
import json
import sys
from multiprocessing import Pool
from pathlib import Path
from time import time

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dahliabend.membership.failure_detector import SwimConfig  # noqa: E402
from dahliabend.simulation.cluster.model import ClusterModel  # noqa: E402
from dahliabend.simulation.cluster.script import Fleet, S  # noqa: E402
from dahliabend.simulation.cluster.simulated_cluster import SimulatedCluster  # noqa: E402

WAYS = {
    "as it is": {},
    "no health awareness": {"max_health_score": 0},
    "nobody else asked": {"indirect_probes": 0},
}
SIZES = {5: 100, 50: 100, 500: 100, 2000: 20}  # instances: seeds
LOSSES = (0.0, 0.1, 0.2, 0.3, 0.4)
FALSE = {5: (40, 300), 50: (5, 60)}  # instances: seeds, seconds
LARGE = {2000: 40, 500: 40}  # instances: seconds, one seed; at 2,000 the machine as it is, and stops, alone
CALM, LONGEST = 10 * S, 120 * S


def detect(task) -> dict:
    way, count, seed = task
    model = ClusterModel(Fleet(seed=seed, instances=count), SwimConfig(**WAYS[way]), starts_warm=True)
    for number in range(count):
        model.start_instance(number)
    model.assume_full_membership()
    cluster = model.cluster
    cluster.bytes = 0
    cluster.run(CALM)
    rate = cluster.bytes / (CALM / S) / count
    at, lost = cluster.now, cluster.rng.randrange(count)
    model.stop_instance(lost)
    while cluster.now < at + LONGEST:
        cluster.run(S)
        told = {c.observer: c.at for c in model.membership_changes if c.kind == "died" and c.subject == lost}
        if len(told) == count - 1:
            break
    false = sum(c.kind == "died" and c.subject != lost for c in model.membership_changes)
    times = sorted(told.values())
    return {"way": way, "count": count, "seed": seed, "rate": rate, "false": false, "known": len(told),
            "first": (times[0] - at) / S if times else None, "full": (times[-1] - at) / S if times else None}  # fmt: skip


def falsely(task) -> dict:
    way, count, seed, loss, stops, seconds = task
    cluster = SimulatedCluster(count, seed, loss, SwimConfig(sync_interval=10, **WAYS[way]))
    for _ in range(seconds // 20):
        if stops:
            cluster.pause("b2", 3 * S)
        cluster.run(20 * S)
    deaths = sum(e.kind == "died" for m in cluster.machines.values() for e in m.events)
    return {"way": way, "count": count, "seed": seed, "loss": loss, "stops": stops, "deaths": deaths,
            "hours": count * seconds / 3600, "rate": cluster.bytes / (cluster.now / S) / count}  # fmt: skip


def large(out: Path, jobs: int) -> None:
    """The longest first; the page is written anew with each cell that is done, and those done are not run again."""
    kept = out / "members-large.json"
    rows = json.loads(kept.read_text()) if kept.exists() else []
    done = {(row["count"], row["loss"], row["stops"], row["way"]): row for row in rows}
    runs = [(way, n, 0, loss, stops, seconds) for n, seconds in LARGE.items() for loss in reversed(LOSSES) for way in WAYS
            for stops in (False, True) if n <= 500 or way == "as it is" and stops and loss in (0.1, 0.3)]  # fmt: skip
    runs = [run for run in runs if (run[1], run[3], run[4], run[0]) not in done]
    with Pool(jobs) as pool:
        for row in pool.imap_unordered(falsely, runs):
            done[row["count"], row["loss"], row["stops"], row["way"]] = row
            kept.write_text(json.dumps(list(done.values()), indent=1) + "\n")
            text = ["# False deaths in large fleets", "", "Made by `experiments/fleets.py --large` on the modelled network; period 1 s, one seed a cell. All figures simulated.", "",
                    "| instances | datagrams lost | one stops 3 s in 20 | way | instance-hours | false deaths | bytes a second an instance |",
                    "| --- | --- | --- | --- | --- | --- | --- |"]  # fmt: skip
            for (count, loss, stops, way), each in sorted(done.items()):
                text.append(
                    f"| {count} | {loss:.0%} | {'yes' if stops else 'no'} | {way} | {each['hours']:.1f} | {each['deaths']} | {each['rate']:.0f} |"
                )
            (out / "members-large.md").write_text("\n".join(text) + "\n")


def share(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def page(detected: list[dict], false: list[dict]) -> str:
    out = ["# Membership, measured", "", "Made by `experiments/fleets.py` on the modelled network; period 1 s. "
           "All figures simulated; `docs/members.md` says what they mean.", "",
           "## Time until one killed is out of the views", "",
           "| instances | seeds | way | first, p50 / p99 (s) | all, p50 / p99 (s) | bytes a second an instance | false |",
           "| --- | --- | --- | --- | --- | --- | --- |"]  # fmt: skip
    for count in sorted({row["count"] for row in detected}):
        for way in WAYS:
            rows = [row for row in detected if row["count"] == count and row["way"] == way]
            if rows:
                first, full = (
                    [row[key] for row in rows if row[key] is not None] for key in ("first", "full")
                )
                out.append(
                    f"| {count} | {len(rows)} | {way} | {share(first, 0.5):.1f} / {share(first, 0.99):.1f} | "
                    f"{share(full, 0.5):.1f} / {share(full, 0.99):.1f} | "
                    f"{sum(r['rate'] for r in rows) / len(rows):.0f} | {sum(r['false'] for r in rows)} |"
                )
    for count in sorted({row["count"] for row in false}):
        rows = [row for row in false if row["count"] == count]
        hours = sum(row["hours"] for row in rows) / (len(WAYS) * len(LOSSES) * 2)
        out += ["", f"## False deaths, {count} instances, {hours:.1f} instance-hours a cell", "",
                "| datagrams lost | one stops 3 s in 20 | " + " | ".join(WAYS) + " | bytes a second, as it is |",
                "| --- | --- |" + " --- |" * (len(WAYS) + 1)]  # fmt: skip
        for loss in LOSSES:
            for stops in (False, True):
                cell = [r for r in rows if r["loss"] == loss and r["stops"] == stops]
                told = [str(sum(r["deaths"] for r in cell if r["way"] == way)) for way in WAYS]
                own = [r["rate"] for r in cell if r["way"] == "as it is"]
                out.append(f"| {loss:.0%} | {'yes' if stops else 'no'} | {' | '.join(told)} | "
                           f"{sum(own) / max(1, len(own)):.0f} |")  # fmt: skip
    return "\n".join(out) + "\n"


def charts(folder: Path, detected: list[dict], false: list[dict]) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "dahliabend"
    from matplotlib import pyplot as plt

    def done(name: str, x: str, y: str, log=True) -> None:
        plt.xlabel(x)
        plt.ylabel(y)
        if log:
            plt.xscale("log")
        plt.ylim(bottom=0)
        plt.legend()
        plt.savefig(folder / name, metadata={"Date": None})
        plt.close()

    sizes = sorted({row["count"] for row in detected})
    for key, label in (("first", "the first knows"), ("full", "all know")):
        rows = [
            [r[key] for r in detected if r["count"] == n and r["way"] == "as it is" and r[key]] for n in sizes
        ]
        plt.plot(sizes, [share(each, 0.5) for each in rows], marker="o", label=f"{label}, p50")
        plt.plot(
            sizes, [share(each, 0.99) for each in rows], marker="x", linestyle=":", label=f"{label}, p99"
        )
    done("members-detection.svg", "instances", "seconds after the kill")
    rates = [[r["rate"] for r in detected if r["count"] == n and r["way"] == "as it is"] for n in sizes]
    plt.plot(sizes, [sum(each) / len(each) for each in rates], marker="o", label="calm")
    done("members-bytes.svg", "instances", "bytes a second an instance")
    for way in WAYS:
        cells = [[r for r in false if r["way"] == way and r["loss"] == loss] for loss in LOSSES]
        per_hour = [sum(r["deaths"] for r in cell) / sum(r["hours"] for r in cell) for cell in cells]
        plt.plot([100 * loss for loss in LOSSES], per_hour, marker="o", label=way)
    done("members-false.svg", "datagrams lost, %", "false deaths an instance-hour", log=False)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("out", type=Path)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--small", action="store_true", help="A few seeds, up to 50 instances.")
    parser.add_argument("--large", action="store_true", help="False deaths at 500 and 2,000 instances alone.")
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    if given.large:
        return large(given.out, given.jobs)
    sizes = {5: 5, 50: 2} if given.small else SIZES
    detections = [(way, n, seed) for n, seeds in sizes.items() for way in WAYS for seed in range(seeds)
                  if n <= 50 or way == "as it is"]  # fmt: skip
    runs = [(way, n, seed, loss, stops, seconds) for n, (seeds, seconds) in FALSE.items() for way in WAYS
            for loss in LOSSES for stops in (False, True) for seed in range(1 if given.small else seeds)]  # fmt: skip
    began, detected, false = time(), [], []
    with Pool(given.jobs) as pool:
        for row in pool.imap_unordered(detect, reversed(detections)):
            detected.append(row)
        for row in pool.imap_unordered(falsely, runs):
            false.append(row)
    detected.sort(key=lambda r: (r["count"], r["way"], r["seed"]))
    (given.out / "members.json").write_text(json.dumps({"detected": detected, "false": false}) + "\n")
    (given.out / "members.md").write_text(page(detected, false))
    charts(given.out, detected, false)
    print(f"{time() - began:.0f} s")


if __name__ == "__main__":
    main()
