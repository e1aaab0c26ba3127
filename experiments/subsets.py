"""Who uses whom, over a grid of sizes and beside other ways: `python experiments/subsets.py OUT`.

Writes OUT/subsets.md. `uneven`: the most loaded upstream over the mean of its capacity, demand equal. `least`: of upstreams that a
balancer uses. `moves`: pairs that change as one comes or goes, over the fair share of pairs of that one, the worst of twelve events.
`apart`: `uneven` where half of the balancers see one event more than the others, the worst of these.
"""

import sys
from pathlib import Path
from time import perf_counter

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dahliabend.subsetting.baselines import STRATEGIES  # noqa: E402
from dahliabend.subsetting.selection import Participant, assign_subsets, normalized_weights  # noqa: E402

GRID = [
    (1, 500),
    (7, 5),
    (8, 24),
    (40, 60),
    (100, 100),
    (200, 100),
    (500, 3),
    (10, 300),
    (50, 1000),
    (1000, 1000),
    (2000, 1000),
]
EVENTS = 3  # of each kind: a balancer goes, comes, an upstream goes, comes


def party(of: str, number: int, zones: int, weighted: bool) -> Participant:
    return Participant(
        f"{of}{number}", f"z{number % zones}", 1.0 + number * 7 % 4 if weighted and of == "u" else 1.0
    )


def uneven(loads, upstreams) -> float:
    return float((loads / normalized_weights(upstreams)).max())


def measure(way, many: int, pool: int, zones: int = 1, weighted: bool = False) -> list[float]:
    balancers, upstreams = (
        [party(of, n, zones, weighted) for n in range(count)] for of, count in (("b", many), ("u", pool))
    )
    balancers.sort(key=lambda p: p.name)
    upstreams.sort(key=lambda p: p.name)
    began = perf_counter()
    made = way(balancers, upstreams)
    took = perf_counter() - began
    pairs, moves, apart = made.pairs(), [], []
    for event in range(EVENTS if many * pool <= 100_000 else 1):
        for of, parties in (("b", balancers), ("u", upstreams)):
            fair = len(pairs) / len(parties)
            less = parties[:event] + parties[event + 1 :]
            more = sorted([*parties, party(of, len(parties) + event, zones, weighted)], key=lambda p: p.name)
            for changed in (less, more):
                if not changed:
                    continue
                given = (changed, upstreams) if of == "b" else (balancers, changed)
                other = way(*given)
                moves.append(len(pairs ^ other.pairs()) / fair)
                if of == "b":  # every second balancer goes by the other view
                    known = {name: n for n, name in enumerate(other.balancers)}
                    rows = [other.shares[known[name]] / max(1e-12, other.shares[known[name]].sum()) if n % 2 and name in known
                            else made.shares[n] / made.shares[n].sum() for n, name in enumerate(made.balancers)]  # fmt: skip
                    apart.append(uneven(sum(rows) / len(rows), upstreams))
    least = int((made.shares > 0).sum(axis=1).min())
    return [
        uneven(made.shares.sum(axis=0), upstreams),
        least,
        len(pairs) / len(upstreams),
        max(moves, default=0),
        max(apart, default=1),
        1e3 * took,
    ]


def row(name: str, found: list[float]) -> str:
    even, least, links, moves, apart, ms = found
    return f"| {name} | {even:.2f} | {least} | {links:.0f} | {moves:.1f} | {apart:.2f} | {ms:.0f} |"


def main() -> None:
    out = ["# Subsets, measured", "", "Made by `experiments/subsets.py`; the pure function alone, one machine.", "",
           "| balancers x upstreams | uneven | least | balancers an upstream | moves | apart | ms |", "| --- | --- | --- | --- | --- | --- | --- |"]  # fmt: skip
    for many, pool in GRID:
        out.append(row(f"{many} x {pool}", measure(assign_subsets, many, pool)))
    for zones in (2, 4):
        for many, pool in ((40, 60), (200, 100)):
            found = measure(lambda b, u: assign_subsets(b, u, zones=True), many, pool, zones, weighted=True)
            out.append(row(f"{many} x {pool}, {zones} zones, weights 1 to 4", found))
    for many, pool in ((40, 60), (200, 100), (100, 300)):
        out += ["", f"## {many} x {pool}, beside other ways", "", "| way | uneven | least | balancers an upstream | moves | apart | ms |",
                "| --- | --- | --- | --- | --- | --- | --- |", row("**choice**", measure(assign_subsets, many, pool))]  # fmt: skip
        out += [row(name, measure(way, many, pool)) for name, way in STRATEGIES.items()]
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "subsets.md").write_text("\n".join(out) + "\n")


if __name__ == "__main__":
    main()
