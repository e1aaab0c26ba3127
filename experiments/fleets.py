"""Simulated membership by cluster size and datagram loss: `python experiments/fleets.py OUT [--jobs 4] [--small | --large]`.

Writes OUT/members.json, OUT/members.md and charts. Two quantities are measured.

Detection: all instances know each other, and after ten periods without faults one is killed. Measured are the times
until the first and the last of the others removes it from its view, and the bytes per second and instance before.

False deaths: no instance ends, datagrams are lost, and in half of the runs one instance is stopped for 3 s of every 20,
so each reported death is false. The protocol is compared with variants without local health awareness and without
indirect probes.

`--large` measures only false deaths, at 500 and 2,000 instances. It takes an hour or two on one machine, and updates
OUT/members-large.md after each run.
"""

import argparse
import json
import sys
from collections.abc import Iterator
from itertools import product
from multiprocessing import Pool
from pathlib import Path
from time import time
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dahliabend.membership.swim_config import SwimConfig
from dahliabend.simulation.cluster.model import ClusterModel
from dahliabend.simulation.cluster.script import ClusterScript, S
from dahliabend.simulation.cluster.simulated_cluster import SimulatedCluster

VARIANTS: dict[str, dict[str, int]] = {
    "as it is": {},
    "no health awareness": {"max_health_score": 0},
    "nobody else asked": {"indirect_probes": 0},
}
DEFAULT_VARIANT = "as it is"
SIZES = {5: 100, 50: 100, 500: 100, 2000: 20}  # instances: seeds
SMALL_SIZES = {5: 5, 50: 2}
MAX_COMPARED_SIZE = 50  # instances up to which all variants are measured
LOSSES = (0.0, 0.1, 0.2, 0.3, 0.4)
FALSE_DEATH_RUNS = {5: (40, 300), 50: (5, 60)}  # instances: seeds, seconds
LARGE_RUNS = {2000: 40, 500: 40}  # instances: seconds, one seed
MAX_LARGE_COMPARED_SIZE = 500  # larger clusters run only the default variant, with stops, at `LARGE_LOSSES`
LARGE_LOSSES = (0.1, 0.3)
CALM_TIME, MAX_DETECTION_TIME = 10 * S, 120 * S
STOP_PERIOD_SECONDS, STOP_SECONDS = 20, 3
HOUR_SECONDS = 3600

Row = dict[str, Any]  # the results of one run, as written to the JSON file


class DetectionTask(NamedTuple):
    """A run in which one instance is killed."""

    variant: str
    count: int
    seed: int


class FalseDeathTask(NamedTuple):
    """A run in which no instance ends."""

    variant: str
    count: int
    seed: int
    loss: float
    has_stops: bool
    seconds: int

    @property
    def key(self) -> tuple[int, float, bool, str]:
        """The cell of the results table that the run fills."""
        return self.count, self.loss, self.has_stops, self.variant


def detect(task: DetectionTask) -> Row:
    """Kill one instance, and measure when the others notice."""
    variant, count, seed = task
    model = ClusterModel(
        ClusterScript(seed=seed, instances=count),
        SwimConfig(**VARIANTS[variant]),
        starts_with_full_membership=True,
    )
    for number in range(count):
        model.start_instance(number)
    model.assume_full_membership()
    cluster = model.cluster
    cluster.bytes = 0
    cluster.run(CALM_TIME)
    rate = cluster.bytes / (CALM_TIME / S) / count
    killed_at, killed = cluster.now, cluster.rng.randrange(count)
    model.end_instance(killed)
    removal_times: dict[int, int] = {}
    while cluster.now < killed_at + MAX_DETECTION_TIME and len(removal_times) < count - 1:
        cluster.run(S)
        deaths = [change for change in model.membership_changes if change.kind == "died"]
        removal_times = {change.observer: change.at for change in deaths if change.subject == killed}
    false_deaths = sum(
        change.kind == "died" and change.subject != killed for change in model.membership_changes
    )
    times = sorted(removal_times.values())
    return {
        "way": variant,
        "count": count,
        "seed": seed,
        "rate": rate,
        "false": false_deaths,
        "known": len(removal_times),
        "first": (times[0] - killed_at) / S if times else None,
        "full": (times[-1] - killed_at) / S if times else None,
    }


def count_false_deaths(task: FalseDeathTask) -> Row:
    """Run a cluster in which no instance ends, and count the reported deaths."""
    config = SwimConfig(sync_interval=10, **VARIANTS[task.variant])
    cluster = SimulatedCluster(task.count, task.seed, task.loss, config)
    for _ in range(task.seconds // STOP_PERIOD_SECONDS):
        if task.has_stops:
            cluster.pause("b2", STOP_SECONDS * S)
        cluster.run(STOP_PERIOD_SECONDS * S)
    machines = cluster.machines.values()
    return {
        "way": task.variant,
        "count": task.count,
        "seed": task.seed,
        "loss": task.loss,
        "stops": task.has_stops,
        "deaths": sum(event.kind == "died" for machine in machines for event in machine.events),
        "hours": task.count * task.seconds / HOUR_SECONDS,
        "rate": cluster.bytes / (cluster.now / S) / task.count,
    }


def large_tasks() -> Iterator[FalseDeathTask]:
    """Yield the runs of large clusters, longest first."""
    for count, seconds in LARGE_RUNS.items():
        for loss, variant, has_stops in product(reversed(LOSSES), VARIANTS, (False, True)):
            is_needed = variant == DEFAULT_VARIANT and has_stops and loss in LARGE_LOSSES
            if count <= MAX_LARGE_COMPARED_SIZE or is_needed:
                yield FalseDeathTask(variant, count, 0, loss, has_stops, seconds)


def run_large(out: Path, jobs: int) -> None:
    """Measure large clusters; write the results after each run, and skip runs whose results are already there."""
    results = out / "members-large.json"
    rows: list[Row] = json.loads(results.read_text()) if results.exists() else []
    done = {(row["count"], row["loss"], row["stops"], row["way"]): row for row in rows}
    tasks = [task for task in large_tasks() if task.key not in done]
    with Pool(jobs) as pool:
        for row in pool.imap_unordered(count_false_deaths, tasks):
            done[row["count"], row["loss"], row["stops"], row["way"]] = row
            results.write_text(json.dumps(list(done.values()), indent=1) + "\n")
            (out / "members-large.md").write_text(large_page([row for _, row in sorted(done.items())]))


def large_page(rows: list[Row]) -> str:
    """Return the results of large clusters as a Markdown page."""
    text = [
        "# False deaths in large fleets",
        "",
        "Made by `experiments/fleets.py --large` on the modelled network; period 1 s, one seed a cell. All figures "
        "simulated.",
        "",
        "| instances | datagrams lost | one stops 3 s in 20 | way | instance-hours | false deaths | bytes a second an "
        "instance |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    text += [
        f"| {row['count']} | {row['loss']:.0%} | {yes_or_no(row['stops'])} | {row['way']} | {row['hours']:.1f} | "
        f"{row['deaths']} | {row['rate']:.0f} |"
        for row in rows
    ]
    return "\n".join(text) + "\n"


def yes_or_no(value: bool) -> str:
    """Return a flag as text."""
    return "yes" if value else "no"


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of the values; `share` is from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def times_of(rows: list[Row], key: str) -> list[float]:
    """Return the times in a column, without those of runs in which the event did not occur."""
    return [row[key] for row in rows if row[key] is not None]


def results_page(detections: list[Row], false_deaths: list[Row]) -> str:
    """Return the results as a Markdown page."""
    out = [
        "# Membership, measured",
        "",
        "Made by `experiments/fleets.py` on the modelled network; period 1 s. All figures simulated; "
        "`docs/members.md` says what they mean.",
        "",
        "## Time until one killed is out of the views",
        "",
        "| instances | seeds | way | first, p50 / p99 (s) | all, p50 / p99 (s) | bytes a second an instance | false |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for count in sorted({row["count"] for row in detections}):
        for variant in VARIANTS:
            rows = [row for row in detections if row["count"] == count and row["way"] == variant]
            if rows:
                out.append(detection_row(count, variant, rows))
    for count in sorted({row["count"] for row in false_deaths}):
        out += false_death_table(count, [row for row in false_deaths if row["count"] == count])
    return "\n".join(out) + "\n"


def detection_row(count: int, variant: str, rows: list[Row]) -> str:
    """Return one row of the table of detections."""
    first, full = times_of(rows, "first"), times_of(rows, "full")
    return (
        f"| {count} | {len(rows)} | {variant} | {percentile(first, 0.5):.1f} / {percentile(first, 0.99):.1f} | "
        f"{percentile(full, 0.5):.1f} / {percentile(full, 0.99):.1f} | "
        f"{sum(row['rate'] for row in rows) / len(rows):.0f} | {sum(row['false'] for row in rows)} |"
    )


def false_death_table(count: int, rows: list[Row]) -> list[str]:
    """Return the lines of the table of false deaths in clusters of one size."""
    hours = sum(row["hours"] for row in rows) / (len(VARIANTS) * len(LOSSES) * 2)
    out = [
        "",
        f"## False deaths, {count} instances, {hours:.1f} instance-hours a cell",
        "",
        "| datagrams lost | one stops 3 s in 20 | " + " | ".join(VARIANTS) + " | bytes a second, as it is |",
        "| --- | --- |" + " --- |" * (len(VARIANTS) + 1),
    ]
    for loss, has_stops in product(LOSSES, (False, True)):
        cell = [row for row in rows if row["loss"] == loss and row["stops"] == has_stops]
        deaths = [str(sum(row["deaths"] for row in cell if row["way"] == variant)) for variant in VARIANTS]
        rates = [row["rate"] for row in cell if row["way"] == DEFAULT_VARIANT]
        rate = sum(rates) / max(1, len(rates))
        out.append(f"| {loss:.0%} | {yes_or_no(has_stops)} | {' | '.join(deaths)} | {rate:.0f} |")
    return out


def write_charts(directory: Path, detections: list[Row], false_deaths: list[Row]) -> None:
    """Write the charts of the results."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "dahliabend"
    from matplotlib import pyplot

    def finish(name: str, x_label: str, y_label: str, *, is_logarithmic: bool = True) -> None:
        """Label and save the current chart."""
        pyplot.xlabel(x_label)
        pyplot.ylabel(y_label)
        if is_logarithmic:
            pyplot.xscale("log")
        pyplot.ylim(bottom=0)
        pyplot.legend()
        pyplot.savefig(directory / name, metadata={"Date": None})
        pyplot.close()

    sizes = sorted({row["count"] for row in detections})
    default = [row for row in detections if row["way"] == DEFAULT_VARIANT]
    by_size = [[row for row in default if row["count"] == size] for size in sizes]
    for key, label in (("first", "the first knows"), ("full", "all know")):
        times = [[row[key] for row in rows if row[key]] for rows in by_size]
        pyplot.plot(
            sizes, [percentile(size_times, 0.5) for size_times in times], marker="o", label=f"{label}, p50"
        )
        late = [percentile(size_times, 0.99) for size_times in times]
        pyplot.plot(sizes, late, marker="x", linestyle=":", label=f"{label}, p99")
    finish("members-detection.svg", "instances", "seconds after the kill")
    rates = [sum(row["rate"] for row in rows) / len(rows) for rows in by_size]
    pyplot.plot(sizes, rates, marker="o", label="calm")
    finish("members-bytes.svg", "instances", "bytes a second an instance")
    for variant in VARIANTS:
        cells = [
            [row for row in false_deaths if row["way"] == variant and row["loss"] == loss] for loss in LOSSES
        ]
        per_hour = [sum(r["deaths"] for r in cell) / sum(r["hours"] for r in cell) for cell in cells]
        pyplot.plot([100 * loss for loss in LOSSES], per_hour, marker="o", label=variant)
    finish("members-false.svg", "datagrams lost, %", "false deaths an instance-hour", is_logarithmic=False)


def run_default(out: Path, jobs: int, *, is_small: bool) -> None:
    """Measure detections and false deaths of small and medium clusters."""
    detection_tasks = [
        DetectionTask(variant, count, seed)
        for count, seeds in (SMALL_SIZES if is_small else SIZES).items()
        for variant in VARIANTS
        for seed in range(seeds)
        if count <= MAX_COMPARED_SIZE or variant == DEFAULT_VARIANT
    ]
    runs = [
        FalseDeathTask(variant, count, seed, loss, has_stops, seconds)
        for count, (seeds, seconds) in FALSE_DEATH_RUNS.items()
        for variant in VARIANTS
        for loss in LOSSES
        for has_stops in (False, True)
        for seed in range(1 if is_small else seeds)
    ]
    with Pool(jobs) as pool:
        detections = list(pool.imap_unordered(detect, reversed(detection_tasks)))
        false_deaths = list(pool.imap_unordered(count_false_deaths, runs))
    detections.sort(key=lambda row: (row["count"], row["way"], row["seed"]))
    (out / "members.json").write_text(json.dumps({"detected": detections, "false": false_deaths}) + "\n")
    (out / "members.md").write_text(results_page(detections, false_deaths))
    write_charts(out, detections, false_deaths)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("out", type=Path)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--small", action="store_true", help="A few seeds, up to 50 instances.")
    parser.add_argument("--large", action="store_true", help="False deaths at 500 and 2,000 instances alone.")
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    if arguments.large:
        run_large(arguments.out, arguments.jobs)
        return
    started_at = time()
    run_default(arguments.out, arguments.jobs, is_small=arguments.small)
    print(f"{time() - started_at:.0f} s")


if __name__ == "__main__":
    main()
