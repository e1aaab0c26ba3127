"""Subsets of a whole fleet while troubles befall it: `python experiments/subset_days.py OUT [--seeds 5]`.

Writes OUT/subset-days.md. 60 balancers and 40 upstreams (200 and 100 for the split 150/50), period 1 s, degree 12, least 12, `hold` 60 s. Each
second what all use is summed: the most loaded upstream over the mean, the least subset, pairs moved. Before, during (until 30 s after
its end), and the last 30 s.
"""

import sys
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dahliabend.config.operator_file.units import Duration  # noqa: E402
from dahliabend.simulation.cluster.script import Fleet, S, Step  # noqa: E402
from dahliabend.simulation.cluster.subset_model import SubsetModel  # noqa: E402
from dahliabend.subsetting.controller import SubsetSettings  # noqa: E402

CALM, AFTER, LAST = 40, 60, 30  # seconds


def play(seed: int, act, many=60, pool=40):
    made = SubsetModel(Fleet(seed=seed, instances=many, delay=Duration(2_000)), pool, SubsetSettings())
    for number in range(many):
        made.start_instance(number)
    made.assume_full_membership()
    made.run(CALM * S)
    begin = made.now
    act(made, Random(seed))
    end = made.now
    made.run(AFTER * S)
    made.run(LAST * S)
    worst = made.history.worst
    return (
        worst(begin - 20 * S, begin),
        worst(begin, end + AFTER * S // 2),
        worst(made.now - LAST * S),
        len(made.weights[0]),
    )


def step(made, what, whom=(), span=0, wait=0, **more):
    made.apply_step(Step(what, whom=list(whom), span=Duration(span * S), **more))
    made.run(wait * S)


def herd(made, rng):
    third = rng.sample(range(60), 20)
    step(made, "kill", third, wait=45)
    step(made, "start", third, wait=15)


def rolling(made, rng):
    for number in range(60):
        step(made, "restart", [number], wait=1)
        if number % 3 == 0:
            made.replace_upstreams(1)


def replaced(made, rng):
    for _ in range(7):
        made.replace_upstreams(3 + rng.randrange(2))
        made.run(S)


def split(made, rng):
    parts = [list(range(150)), list(range(150, 200))]
    step(made, "split", parts=parts, span=90, wait=95)


def short_split(made, rng):
    step(made, "split", parts=[list(range(45)), list(range(45, 60))], span=40, wait=45)


def paused(made, rng):
    step(made, "stop", [rng.randrange(60)], span=60, wait=10)
    made.replace_upstreams(10)
    made.run(55 * S)


def flaps(made, rng):
    for _ in range(15):
        step(made, "kill", [7], span=2, wait=4)


def flapping_pool(made, rng):
    for _ in range(20):
        gone = made.pool.pop(rng.randrange(len(made.pool)))
        made.run(S)
        made.pool.append(gone)
        made.run(2 * S)


def lost(made, rng):
    step(made, "lose", size=0.3, span=60, wait=65)


SCENARIOS = {
    "a third dies at once and returns": (herd, 60, 40), "all restarted in turn, half of the pool replaced": (rolling, 60, 40),
    "six in ten upstreams replaced in 7 s": (replaced, 60, 40), "parts of 150 and 50, 90 s": (split, 200, 100),
    "parts of 45 and 15, 40 s": (short_split, 60, 40), "one stopped for a minute, a quarter replaced meanwhile": (paused, 60, 40),
    "one flaps, 2 s down in 4": (flaps, 60, 40), "upstreams flap, one out in turn": (flapping_pool, 60, 40),
    "three in ten datagrams lost": (lost, 60, 40),
}  # fmt: skip


def main() -> None:
    folder, seeds = Path(sys.argv[1]), int(sys.argv[3]) if "--seeds" in sys.argv else 5
    out = ["# Subsets over a fleet's days", "", "Made by `experiments/subset_days.py`, simulated; worst of its seeds. `moved`: pairs, over the fleet, in fair shares of one "
           "balancer.", "", "| what | seeds | uneven before, during, after | least subset before, during, after | moved during |", "| --- | --- | --- | --- | --- |"]  # fmt: skip
    for name, (act, many, pool) in SCENARIOS.items():
        rows = [play(seed, act, many, pool) for seed in range(seeds if many < 100 else 1)]
        uneven = [max(row[at][0] for row in rows) for at in range(3)]
        least = [min(row[at][1] for row in rows) for at in range(3)]
        moved = max(row[1][2] / row[3] for row in rows)
        out.append(
            f"| {name} | {len(rows)} | {', '.join(f'{u:.2f}' for u in uneven)} | {', '.join(map(str, least))} | {moved:.0f} |"
        )
        print(out[-1], flush=True)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "subset-days.md").write_text("\n".join(out) + "\n")


if __name__ == "__main__":
    main()
