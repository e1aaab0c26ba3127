"""Subset selection over a grid of sizes, and compared with other strategies: `python experiments/subsets.py OUT`.

Writes OUT/subsets.md. Its columns, all with equal demand of the balancers:

uneven: load of the most loaded upstream over the mean load for its capacity.
least: size of the smallest subset.
moves: pairs that change when one participant joins or leaves, over its fair share of pairs; the worst of twelve events.
apart: `uneven` while half of the balancers have seen one event more than the others; the worst of these events.
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
EVENTS = 3  # of each of four kinds: a balancer leaves, one joins, an upstream leaves, one joins
MAX_PAIRS = 100_000  # larger sizes have one event of each kind
TINY = 1e-12  # avoids a division by zero
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


def participant(role: str, number: int, zones: int, is_weighted: bool) -> Participant:
    """Return a balancer or an upstream; weighted upstreams have capacities from 1 to 4."""
    weight = 1.0 + number * 7 % 4 if is_weighted and role == UPSTREAM else 1.0
    return Participant(f"{role}{number}", f"z{number % zones}", weight)


def participants(role: str, count: int, zones: int, is_weighted: bool) -> list[Participant]:
    """Return all participants of a role, sorted by name."""
    return sorted((participant(role, n, zones, is_weighted) for n in range(count)), key=lambda p: p.name)


def imbalance(loads: np.ndarray, upstreams: Sequence[Participant]) -> float:
    """Return the load of the most loaded upstream over the mean load for its capacity."""
    return float((loads / normalized_weights(upstreams)).max())


def imbalance_apart(first: Assignment, other: Assignment, upstreams: Sequence[Participant]) -> float:
    """Return the imbalance if every second balancer uses the other assignment."""
    other_indices = {name: number for number, name in enumerate(other.balancers)}
    rows = []
    for number, name in enumerate(first.balancers):
        if number % 2 and name in other_indices:
            shares = other.shares[other_indices[name]]
            rows.append(shares / max(TINY, shares.sum()))
        else:
            rows.append(first.shares[number] / first.shares[number].sum())
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
    started_at = perf_counter()
    assignment = strategy(members[BALANCER], upstreams)
    duration = perf_counter() - started_at
    pairs = assignment.pairs()
    moves, imbalances_apart = [], []
    for event in range(EVENTS if balancer_count * upstream_count <= MAX_PAIRS else 1):
        for role, unchanged in members.items():
            fair_share = len(pairs) / len(unchanged)
            without_one = unchanged[:event] + unchanged[event + 1 :]
            newcomer = participant(role, len(unchanged) + event, zones, is_weighted)
            with_newcomer = sorted([*unchanged, newcomer], key=lambda p: p.name)
            for changed_participants in filter(None, (without_one, with_newcomer)):
                after = {**members, role: changed_participants}
                other = strategy(after[BALANCER], after[UPSTREAM])
                moves.append(len(pairs ^ other.pairs()) / fair_share)
                if role == BALANCER:
                    imbalances_apart.append(imbalance_apart(assignment, other, upstreams))
    return Measurement(
        imbalance(assignment.shares.sum(axis=0), upstreams),
        int((assignment.shares > 0).sum(axis=1).min()),
        len(pairs) / len(upstreams),
        max(moves, default=0),
        max(imbalances_apart, default=1),
        1e3 * duration,
    )


def table_row(name: str, measurement: Measurement) -> str:
    """Return one row of a table."""
    return (
        f"| {name} | {measurement.imbalance:.2f} | {measurement.min_subset} | {measurement.balancers_per_upstream:.0f} | "
        f"{measurement.moves:.1f} | {measurement.imbalance_apart:.2f} | {measurement.milliseconds:.0f} |"
    )


def assign_zoned_subsets(balancers: Sequence[Participant], upstreams: Sequence[Participant]) -> Assignment:
    """Return the selection that prefers upstreams of the same zone."""
    return assign_subsets(balancers, upstreams, zones=True)


def main() -> None:
    """Run the command line."""
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
            measurement = measure(assign_zoned_subsets, balancers, upstreams, zones, is_weighted=True)
            out.append(table_row(f"{balancers} x {upstreams}, {zones} zones, weights 1 to 4", measurement))
    for balancers, upstreams in COMPARED_SIZES:
        out += ["", f"## {balancers} x {upstreams}, beside other ways", "", f"| way | {columns}", ruler]
        out.append(table_row("**choice**", measure(assign_subsets, balancers, upstreams)))
        out += [table_row(name, measure(way, balancers, upstreams)) for name, way in STRATEGIES.items()]
    directory = Path(sys.argv[1])
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "subsets.md").write_text("\n".join(out) + "\n")


if __name__ == "__main__":
    main()
