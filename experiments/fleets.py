"""Membership over sizes and bad networks, simulated: `python experiments/fleets.py OUT [--jobs 4] [--small | --large]`.

Writes OUT/members.json, OUT/members.md and charts. Detection: all instances know each other, ten calm periods, then
one is killed; the time until the first and until the last of the others has it out of its view; bytes a second an
instance in the calm before. False deaths: no instance ends; datagrams are lost, and in half of the runs one instance is
stopped for 3 s of every 20; each reported death is false. Beside it the same protocol without local health awareness,
and without indirect probes. `--large` has false deaths alone, at 500 and 2,000 instances, which takes an hour or two of
one machine, and writes OUT/members-large.md as the cells come.
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

WAYS: dict[str, dict[str, int]] = {
    "as it is": {},
    "no health awareness": {"max_health_score": 0},
    "nobody else asked": {"indirect_probes": 0},
}
DEFAULT_WAY = "as it is"
SIZES = {5: 100, 50: 100, 500: 100, 2000: 20}  # instances: seeds
SMALL_SIZES = {5: 5, 50: 2}
MAX_COMPARED_SIZE = 50  # instances up to which all ways are measured
LOSSES = (0.0, 0.1, 0.2, 0.3, 0.4)
FALSE_DEATH_RUNS = {5: (40, 300), 50: (5, 60)}  # instances: seeds, seconds
LARGE_RUNS = {2000: 40, 500: 40}  # instances: seconds, one seed
MAX_LARGE_COMPARED_SIZE = 500  # beyond, the protocol as it is, stops and two losses alone
LARGE_LOSSES = (0.1, 0.3)
CALM, LONGEST = 10 * S, 120 * S
STOP_PERIOD_SECONDS, STOP_SECONDS = 20, 3
HOUR_SECONDS = 3600

Row = dict[str, Any]  # of the results, as JSON


class DetectionTask(NamedTuple):
    """One kill."""

    way: str
    count: int
    seed: int


class FalseDeathTask(NamedTuple):
    """One run in which no instance ends."""

    way: str
    count: int
    seed: int
    loss: float
    has_stops: bool
    seconds: int

    @property
    def key(self) -> tuple[int, float, bool, str]:
        """Its cell of the page's table."""
        return self.count, self.loss, self.has_stops, self.way


def detect(task: DetectionTask) -> Row:
    """Kill one instance, and measure when the others notice."""
    way, count, seed = task
    model = ClusterModel(
        ClusterScript(seed=seed, instances=count), SwimConfig(**WAYS[way]), starts_with_full_membership=True
    )
    for number in range(count):
        model.start_instance(number)
    model.assume_full_membership()
    cluster = model.cluster
    cluster.bytes = 0
    cluster.run(CALM)
    rate = cluster.bytes / (CALM / S) / count
    killed_at, killed = cluster.now, cluster.rng.randrange(count)
    model.end_instance(killed)
    noticed: dict[int, int] = {}
    while cluster.now < killed_at + LONGEST and len(noticed) < count - 1:
        cluster.run(S)
        deaths = [change for change in model.membership_changes if change.kind == "died"]
        noticed = {change.observer: change.at for change in deaths if change.subject == killed}
    false = sum(change.kind == "died" and change.subject != killed for change in model.membership_changes)
    times = sorted(noticed.values())
    return {
        "way": way,
        "count": count,
        "seed": seed,
        "rate": rate,
        "false": false,
        "known": len(noticed),
        "first": (times[0] - killed_at) / S if times else None,
        "full": (times[-1] - killed_at) / S if times else None,
    }


def count_false_deaths(task: FalseDeathTask) -> Row:
    """Run without an end of any instance, and count the reported deaths."""
    config = SwimConfig(sync_interval=10, **WAYS[task.way])
    cluster = SimulatedCluster(task.count, task.seed, task.loss, config)
    for _ in range(task.seconds // STOP_PERIOD_SECONDS):
        if task.has_stops:
            cluster.pause("b2", STOP_SECONDS * S)
        cluster.run(STOP_PERIOD_SECONDS * S)
    machines = cluster.machines.values()
    return {
        "way": task.way,
        "count": task.count,
        "seed": task.seed,
        "loss": task.loss,
        "stops": task.has_stops,
        "deaths": sum(event.kind == "died" for machine in machines for event in machine.events),
        "hours": task.count * task.seconds / HOUR_SECONDS,
        "rate": cluster.bytes / (cluster.now / S) / task.count,
    }


def large_tasks() -> Iterator[FalseDeathTask]:
    """The runs of large clusters, the longest first."""
    for count, seconds in LARGE_RUNS.items():
        for loss, way, has_stops in product(reversed(LOSSES), WAYS, (False, True)):
            is_needed = way == DEFAULT_WAY and has_stops and loss in LARGE_LOSSES
            if count <= MAX_LARGE_COMPARED_SIZE or is_needed:
                yield FalseDeathTask(way, count, 0, loss, has_stops, seconds)


def run_large(out: Path, jobs: int) -> None:
    """Measure large clusters. Results are kept as they come, and cells that are done are not run again."""
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
    """The results of large clusters as a page."""
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
    """A flag as text."""
    return "yes" if value else "no"


def percentile(values: list[float], share: float) -> float:
    """The value that a share of the others is below."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def times_of(rows: list[Row], key: str) -> list[float]:
    """The times of a key, without those that never came."""
    return [row[key] for row in rows if row[key] is not None]


def page(detected: list[Row], false: list[Row]) -> str:
    """The results as a page."""
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
    for count in sorted({row["count"] for row in detected}):
        for way in WAYS:
            rows = [row for row in detected if row["count"] == count and row["way"] == way]
            if rows:
                out.append(detection_row(count, way, rows))
    for count in sorted({row["count"] for row in false}):
        out += false_death_table(count, [row for row in false if row["count"] == count])
    return "\n".join(out) + "\n"


def detection_row(count: int, way: str, rows: list[Row]) -> str:
    """One row of the table of detections."""
    first, full = times_of(rows, "first"), times_of(rows, "full")
    return (
        f"| {count} | {len(rows)} | {way} | {percentile(first, 0.5):.1f} / {percentile(first, 0.99):.1f} | "
        f"{percentile(full, 0.5):.1f} / {percentile(full, 0.99):.1f} | "
        f"{sum(row['rate'] for row in rows) / len(rows):.0f} | {sum(row['false'] for row in rows)} |"
    )


def false_death_table(count: int, rows: list[Row]) -> list[str]:
    """The table of false deaths in clusters of one size."""
    hours = sum(row["hours"] for row in rows) / (len(WAYS) * len(LOSSES) * 2)
    out = [
        "",
        f"## False deaths, {count} instances, {hours:.1f} instance-hours a cell",
        "",
        "| datagrams lost | one stops 3 s in 20 | " + " | ".join(WAYS) + " | bytes a second, as it is |",
        "| --- | --- |" + " --- |" * (len(WAYS) + 1),
    ]
    for loss, has_stops in product(LOSSES, (False, True)):
        cell = [row for row in rows if row["loss"] == loss and row["stops"] == has_stops]
        deaths = [str(sum(row["deaths"] for row in cell if row["way"] == way)) for way in WAYS]
        rates = [row["rate"] for row in cell if row["way"] == DEFAULT_WAY]
        rate = sum(rates) / max(1, len(rates))
        out.append(f"| {loss:.0%} | {yes_or_no(has_stops)} | {' | '.join(deaths)} | {rate:.0f} |")
    return out


def write_charts(directory: Path, detected: list[Row], false: list[Row]) -> None:
    """Draw the results."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "dahliabend"
    from matplotlib import pyplot

    def finish(name: str, x_label: str, y_label: str, *, is_logarithmic: bool = True) -> None:
        """Save the chart."""
        pyplot.xlabel(x_label)
        pyplot.ylabel(y_label)
        if is_logarithmic:
            pyplot.xscale("log")
        pyplot.ylim(bottom=0)
        pyplot.legend()
        pyplot.savefig(directory / name, metadata={"Date": None})
        pyplot.close()

    sizes = sorted({row["count"] for row in detected})
    default = [row for row in detected if row["way"] == DEFAULT_WAY]
    by_size = [[row for row in default if row["count"] == size] for size in sizes]
    for key, label in (("first", "the first knows"), ("full", "all know")):
        times = [[row[key] for row in rows if row[key]] for rows in by_size]
        pyplot.plot(sizes, [percentile(each, 0.5) for each in times], marker="o", label=f"{label}, p50")
        late = [percentile(each, 0.99) for each in times]
        pyplot.plot(sizes, late, marker="x", linestyle=":", label=f"{label}, p99")
    finish("members-detection.svg", "instances", "seconds after the kill")
    rates = [sum(row["rate"] for row in rows) / len(rows) for rows in by_size]
    pyplot.plot(sizes, rates, marker="o", label="calm")
    finish("members-bytes.svg", "instances", "bytes a second an instance")
    for way in WAYS:
        cells = [[row for row in false if row["way"] == way and row["loss"] == loss] for loss in LOSSES]
        per_hour = [sum(r["deaths"] for r in cell) / sum(r["hours"] for r in cell) for cell in cells]
        pyplot.plot([100 * loss for loss in LOSSES], per_hour, marker="o", label=way)
    finish("members-false.svg", "datagrams lost, %", "false deaths an instance-hour", is_logarithmic=False)


def run_default(out: Path, jobs: int, *, is_small: bool) -> None:
    """Measure detections and false deaths of small and medium clusters."""
    detections = [
        DetectionTask(way, count, seed)
        for count, seeds in (SMALL_SIZES if is_small else SIZES).items()
        for way in WAYS
        for seed in range(seeds)
        if count <= MAX_COMPARED_SIZE or way == DEFAULT_WAY
    ]
    runs = [
        FalseDeathTask(way, count, seed, loss, has_stops, seconds)
        for count, (seeds, seconds) in FALSE_DEATH_RUNS.items()
        for way in WAYS
        for loss in LOSSES
        for has_stops in (False, True)
        for seed in range(1 if is_small else seeds)
    ]
    with Pool(jobs) as pool:
        detected = list(pool.imap_unordered(detect, reversed(detections)))
        false = list(pool.imap_unordered(count_false_deaths, runs))
    detected.sort(key=lambda row: (row["count"], row["way"], row["seed"]))
    (out / "members.json").write_text(json.dumps({"detected": detected, "false": false}) + "\n")
    (out / "members.md").write_text(page(detected, false))
    write_charts(out, detected, false)


def main() -> None:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("out", type=Path)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--small", action="store_true", help="A few seeds, up to 50 instances.")
    parser.add_argument("--large", action="store_true", help="False deaths at 500 and 2,000 instances alone.")
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    if given.large:
        run_large(given.out, given.jobs)
        return
    began = time()
    run_default(given.out, given.jobs, is_small=given.small)
    print(f"{time() - began:.0f} s")


if __name__ == "__main__":
    main()
