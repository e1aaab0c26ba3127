"""Plays every sound file of the corpus in the modelled world, for five virtual minutes with a trouble every
ten seconds; not in CI.

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
RATE = 8.0  # transactions a second, all routes in turn


def play(seed: int, span: int) -> tuple[int, dict, list[str], int]:
    world, rng = OperatorFileSimulation(generate_operator_files(seed).files, seed), Random(seed)

    def act(world: OperatorFileSimulation) -> None:
        world.load(world.load_file().file, RATE, span)
        for at in range(0, span, 10 * S):
            name = rng.choice(sorted(world.upstreams))
            wait = at + rng.randrange(5 * S)
            world.call_later(wait, world.inject_fault, name, rng.choice(FAULT_KINDS), 3 * S)

    world.run(act, span)
    return (
        seed,
        world.invariants.counts,
        [str(violation) for violation in world.invariants.violations],
        world.scheduler.steps,
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--files", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument("--minutes", type=float, default=5.0)
    given = parser.parse_args()
    began, counts, steps, broken = time.perf_counter(), Counter(), 0, 0
    seeds = [seed for seed in range(given.files) if not generate_operator_files(seed).kind]
    with ProcessPoolExecutor(given.jobs) as pool:
        spans = [round(given.minutes * 60 * S)] * len(seeds)
        for seed, seen, violations, taken in pool.map(play, seeds, spans):
            counts.update(seen)
            steps += taken
            if violations:
                broken += 1
                print(f"file {seed}: {violations[0]}", flush=True)
    print(f"{len(seeds)} sound files, {dict(counts)}, {steps} steps, {time.perf_counter() - began:.0f} s")
    print(f"{broken} broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
