"""The subset selection over a grid of sizes, and beside other strategies: `python experiments/subsets.py OUT`.

Writes OUT/subsets.md. `uneven`: the most loaded upstream over the mean of its capacity, with equal demand. `least`: the
smallest subset. `moves`: pairs that change as one participant comes or goes, over its fair share of pairs, the worst of
twelve events. `apart`: `uneven` where half of the balancers see one event more than the others, the worst of these.
"""

import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from time import perf_counter
from typing import NamedTuple

import numpy as np

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from dahliabend.subsetting.baselines import STRATEGIES
from dahliabend.subsetting.selection import Assignment, Participant, assign_subsets, normalized_weights

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
ZONED_SIZES = ((40, 60), (200, 100))
COMPARED_SIZES = ((40, 60), (200, 100), (100, 300))
EVENTS = 3  # of each kind: a balancer goes, comes, an upstream goes, comes
MAX_PAIRS = 100_000  # beyond, there is one event of each kind
TINY = 1e-12
BALANCER, UPSTREAM = "b", "u"

Strategy = Callable[[Sequence[Participant], Sequence[Participant]], Assignment]


class Measurement(NamedTuple):
    """The columns of the tables."""

    imbalance: float
    min_subset: int
    balancers_per_upstream: float
    moves: float
    imbalance_apart: float
    milliseconds: float


def participant(kind: str, number: int, zones: int, is_weighted: bool) -> Participant:
    """A balancer or an upstream; weighted upstreams have capacities from 1 to 4."""
    weight = 1.0 + number * 7 % 4 if is_weighted and kind == UPSTREAM else 1.0
    return Participant(f"{kind}{number}", f"z{number % zones}", weight)


def participants(kind: str, count: int, zones: int, is_weighted: bool) -> list[Participant]:
    """All of one kind, by name."""
    return sorted((participant(kind, n, zones, is_weighted) for n in range(count)), key=lambda p: p.name)


def imbalance(loads: np.ndarray, upstreams: Sequence[Participant]) -> float:
    """The most loaded upstream over the mean of its capacity."""
    return float((loads / normalized_weights(upstreams)).max())


def imbalance_apart(one: Assignment, other: Assignment, upstreams: Sequence[Participant]) -> float:
    """The imbalance where every second balancer goes by the other view."""
    known = {name: number for number, name in enumerate(other.balancers)}
    rows = []
    for number, name in enumerate(one.balancers):
        if number % 2 and name in known:
            shares = other.shares[known[name]]
            rows.append(shares / max(TINY, shares.sum()))
        else:
            rows.append(one.shares[number] / one.shares[number].sum())
    return imbalance(sum(rows) / len(rows), upstreams)


def measure(
    strategy: Strategy, balancer_count: int, upstream_count: int, zones: int = 1, *, is_weighted: bool = False
) -> Measurement:
    """Measure a strategy at one size."""
    members = {
        BALANCER: participants(BALANCER, balancer_count, zones, is_weighted),
        UPSTREAM: participants(UPSTREAM, upstream_count, zones, is_weighted),
    }
    upstreams = members[UPSTREAM]
    began = perf_counter()
    assignment = strategy(members[BALANCER], upstreams)
    took = perf_counter() - began
    pairs = assignment.pairs()
    moves, apart = [], []
    for event in range(EVENTS if balancer_count * upstream_count <= MAX_PAIRS else 1):
        for kind, unchanged in members.items():
            fair = len(pairs) / len(unchanged)
            less = unchanged[:event] + unchanged[event + 1 :]
            newcomer = participant(kind, len(unchanged) + event, zones, is_weighted)
            more = sorted([*unchanged, newcomer], key=lambda p: p.name)
            for changed in filter(None, (less, more)):
                after = {**members, kind: changed}
                other = strategy(after[BALANCER], after[UPSTREAM])
                moves.append(len(pairs ^ other.pairs()) / fair)
                if kind == BALANCER:
                    apart.append(imbalance_apart(assignment, other, upstreams))
    return Measurement(
        imbalance(assignment.shares.sum(axis=0), upstreams),
        int((assignment.shares > 0).sum(axis=1).min()),
        len(pairs) / len(upstreams),
        max(moves, default=0),
        max(apart, default=1),
        1e3 * took,
    )


def table_row(name: str, found: Measurement) -> str:
    """One row of a table."""
    return (
        f"| {name} | {found.imbalance:.2f} | {found.min_subset} | {found.balancers_per_upstream:.0f} | "
        f"{found.moves:.1f} | {found.imbalance_apart:.2f} | {found.milliseconds:.0f} |"
    )


def assign_zoned_subsets(balancers: Sequence[Participant], upstreams: Sequence[Participant]) -> Assignment:
    """The selection that prefers upstreams of the same zone."""
    return assign_subsets(balancers, upstreams, zones=True)


def main() -> None:
    """The command line."""
    columns = "uneven | least | balancers an upstream | moves | apart | ms |"
    ruler = "| --- | --- | --- | --- | --- | --- | --- |"
    out = [
        "# Subsets, measured",
        "",
        "Made by `experiments/subsets.py`; the pure function alone, one machine.",
        "",
    ]
    out += [f"| balancers x upstreams | {columns}", ruler]
    for balancers, upstreams in GRID:
        out.append(table_row(f"{balancers} x {upstreams}", measure(assign_subsets, balancers, upstreams)))
    for zones in (2, 4):
        for balancers, upstreams in ZONED_SIZES:
            found = measure(assign_zoned_subsets, balancers, upstreams, zones, is_weighted=True)
            out.append(table_row(f"{balancers} x {upstreams}, {zones} zones, weights 1 to 4", found))
    for balancers, upstreams in COMPARED_SIZES:
        out += ["", f"## {balancers} x {upstreams}, beside other ways", "", f"| way | {columns}", ruler]
        out.append(table_row("**choice**", measure(assign_subsets, balancers, upstreams)))
        out += [table_row(name, measure(way, balancers, upstreams)) for name, way in STRATEGIES.items()]
    directory = Path(sys.argv[1])
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "subsets.md").write_text("\n".join(out) + "\n")


if __name__ == "__main__":
    main()
