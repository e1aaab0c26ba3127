"""Simulates every file of the corpus that has no faults, for five virtual minutes with an upstream fault
every ten seconds; not part of CI.

    python tests/routing_rules/play.py --files 500 --jobs 8 --minutes 5
"""

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parents[1] / "config"))

from corpus import generate_operator_files

from dahliabend.simulation.operator_file_simulation import FAULT_KINDS, OperatorFileSimulation

S = 1_000_000
RATE = 8.0  # requests per second, over all routes in rotation
FAULT_INTERVAL = 10 * S
FAULT_DURATION = 3 * S


def simulate(seed: int, duration: int) -> tuple[int, dict, list[str], int]:
    """Simulate the file of a seed for a duration (us).

    Returns the seed, the counts of requests, the violations and the number of steps of the scheduler.
    """
    simulation = OperatorFileSimulation(generate_operator_files(seed).files, seed)
    rng = Random(seed)

    def start(simulation: OperatorFileSimulation) -> None:
        simulation.load(simulation.load_file().file, RATE, duration)
        for interval_start in range(0, duration, FAULT_INTERVAL):
            name = rng.choice(sorted(simulation.upstreams))
            delay = interval_start + rng.randrange(5 * S)
            simulation.call_later(
                delay, simulation.inject_fault, name, rng.choice(FAULT_KINDS), FAULT_DURATION
            )

    simulation.run(start, duration)
    return (
        seed,
        simulation.invariants.counts,
        [str(violation) for violation in simulation.invariants.violations],
        simulation.scheduler.steps,
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--files", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--minutes", type=float, default=5.0)
    options = parser.parse_args()
    started_at = time.perf_counter()
    total_counts = Counter()
    total_steps = 0
    failed_files = 0
    seeds = [seed for seed in range(options.files) if not generate_operator_files(seed).kind]
    with ProcessPoolExecutor(options.jobs) as pool:
        durations = [round(options.minutes * 60 * S)] * len(seeds)
        for seed, counts, violations, steps in pool.map(simulate, seeds, durations):
            total_counts.update(counts)
            total_steps += steps
            if violations:
                failed_files += 1
                print(f"file {seed}: {violations[0]}", flush=True)
    elapsed = time.perf_counter() - started_at
    print(f"{len(seeds)} files without faults, {dict(total_counts)}, {total_steps} steps, {elapsed:.0f} s")
    print(f"{failed_files} files with violated invariants")
    return 1 if failed_files else 0


if __name__ == "__main__":
    sys.exit(main())
