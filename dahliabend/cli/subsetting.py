"""`dahliabend subset`: the upstreams that each balancer uses, and what the loss of one would change."""

import functools
import importlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import click
from rich.table import Table

from dahliabend.cli.admin_client import fetch
from dahliabend.cli.output import json_option, print_json, print_table
from dahliabend.subsetting.selection import (
    MIN_BALANCERS_PER_UPSTREAM,
    MIN_SUBSET_SIZE,
    Assignment,
    Participant,
    assign_subsets,
    normalized_weights,
)

MAX_PARTICIPANTS = 2_000  # balancers, and upstreams
MAX_ZONES = 64
TABLE_WIDTH = 140
POOL_TABLE_WIDTH = 160
RANGE_KEYS = ("load", "upstreams a balancer", "balancers an upstream")  # printed as "minimum to maximum"


@dataclass(frozen=True, slots=True)
class HypotheticalFleet:
    """A hypothetical set of balancers and upstreams, and the parameters of subset selection.

    Attributes:
        balancers: All balancers.
        upstreams: All upstreams.
        least: The minimum number of upstreams that each balancer uses.
        degree: The mean number of balancers that use each upstream.
        has_zones: Whether upstreams of the same zone are preferred.
    """

    balancers: list[Participant]
    upstreams: list[Participant]
    least: int
    degree: int
    has_zones: bool

    def assign(self) -> Assignment:
        """Select the subsets of all balancers."""
        return assign_subsets(self.balancers, self.upstreams, self.least, self.has_zones, self.degree)

    def has(self, name: str) -> bool:
        """Return whether a balancer or an upstream has this name."""
        return any(each.name == name for each in (*self.balancers, *self.upstreams))

    def without(self, name: str) -> "HypotheticalFleet":
        """Return a copy without the balancer or upstream of this name."""
        return replace(
            self,
            balancers=[each for each in self.balancers if each.name != name],
            upstreams=[each for each in self.upstreams if each.name != name],
        )


def _with_hypothetical_fleet(command: Callable[..., None]) -> Callable[..., None]:
    """Decorate a command so that it gets the hypothetical fleet that its options describe."""

    @click.option(
        "--balancers",
        type=click.IntRange(1, MAX_PARTICIPANTS),
        help="Number of hypothetical balancers: b0, b1, ...",
    )
    @click.option(
        "--upstreams",
        type=click.IntRange(1, MAX_PARTICIPANTS),
        help="Number of hypothetical upstreams: u0, u1, ...",
    )
    @click.option(
        "--zones", type=click.IntRange(1, MAX_ZONES), default=1, show_default=True, help="Assigned in turn."
    )
    @click.option("--least", type=click.IntRange(1), default=MIN_SUBSET_SIZE, show_default=True)
    @click.option("--degree", type=click.IntRange(1), default=MIN_BALANCERS_PER_UPSTREAM, show_default=True)
    @functools.wraps(command)
    def call_with_fleet(
        *,
        balancers: int | None,
        upstreams: int | None,
        zones: int,
        least: int,
        degree: int,
        **options: object,
    ) -> None:
        """Create the hypothetical fleet if both numbers are given, and call the command with it."""
        fleet = None
        if balancers is not None and upstreams is not None:
            fleet = HypotheticalFleet(
                balancers=[Participant(f"b{number}", f"z{number % zones}") for number in range(balancers)],
                upstreams=[Participant(f"u{number}", f"z{number % zones}") for number in range(upstreams)],
                least=least,
                degree=degree,
                has_zones=zones > 1,
            )
        command(fleet=fleet, **options)

    return call_with_fleet


@click.command()
@click.argument("where", metavar="[FILE|HOST:PORT]", required=False)
@_with_hypothetical_fleet
@click.option(
    "--lose", "lost_names", multiple=True, help="Show what the loss of this one changes; may be repeated."
)
@click.option(
    "--chart", type=click.Path(dir_okay=False, path_type=Path), help="Write an SVG chart to this file."
)
@json_option
def subset(
    where: str | None,
    *,
    fleet: HypotheticalFleet | None,
    lost_names: tuple[str, ...],
    chart: Path | None,
    as_json: bool,
) -> None:
    """Show the subsets of a running balancer's pools, or those of a hypothetical cluster of a given size.

    Loads are relative to the mean load per capacity. Moves are pairs of a balancer and an upstream that
    change, also as a multiple of the pairs of the lost balancer or upstream.
    """
    if where is not None:
        _show_pools(where, as_json=as_json)
        return
    if fleet is None:
        raise click.UsageError("either FILE or HOST:PORT, or --balancers and --upstreams")
    assignment = fleet.assign()
    summary = _summarize(fleet, assignment)
    for name in lost_names:
        if not fleet.has(name):
            raise click.BadParameter(f"{name!r} is no balancer and no upstream", param_hint="--lose")
        summary[f"without {name}"] = _summarize_loss(fleet, assignment, name)
    if chart is not None:
        _write_chart(assignment, chart)
    if as_json:
        relation = {name: assignment.subset_of(name) for name in assignment.balancers}
        print_json(summary | {"relation": relation})
    else:
        _print_summary(summary)


def _summarize(fleet: HypotheticalFleet, assignment: Assignment) -> dict[str, Any]:
    upstreams = sorted(fleet.upstreams, key=lambda each: each.name)
    load = assignment.shares.sum(axis=0) / normalized_weights(upstreams)
    is_used = assignment.shares > 0
    upstream_counts = is_used.sum(axis=1)
    balancer_counts = is_used.sum(axis=0)
    return {
        "pairs": int(upstream_counts.sum()),
        "load": [round(float(load.min()), 3), round(float(load.max()), 3)],
        "upstreams a balancer": [int(upstream_counts.min()), int(upstream_counts.max())],
        "balancers an upstream": [int(balancer_counts.min()), int(balancer_counts.max())],
    }


def _summarize_loss(fleet: HypotheticalFleet, before: Assignment, name: str) -> dict[str, Any]:
    remaining = fleet.without(name)
    after = remaining.assign()
    pairs = before.pairs()
    own_pairs = sum(name in pair for pair in pairs)
    moved = len(pairs ^ after.pairs())
    return {
        "moved": moved,
        "fair shares": round(moved / max(1, own_pairs), 2),
        **_summarize(remaining, after),
    }


def _print_summary(summary: dict[str, Any]) -> None:
    table = Table(
        "", "pairs", "load, least and most", "upstreams a balancer", "balancers an upstream", "moved"
    )
    rows = {"now": summary}
    rows |= {name: each for name, each in summary.items() if name.startswith("without")}
    for name, row in rows.items():
        ranges = [f"{row[key][0]} to {row[key][1]}" for key in RANGE_KEYS]
        moved = f"{row['moved']}, {row['fair shares']} of its own" if "moved" in row else ""
        table.add_row(name, str(row["pairs"]), *ranges, moved)
    print_table(table, TABLE_WIDTH)


def _show_pools(where: str, *, as_json: bool) -> None:
    """Print the subsets of a running balancer's pools."""
    pools = fetch(where, "/api/subsets")["pools"]
    if as_json:
        print_json(pools)
        return
    table = Table("pool", "uses", "of", "by", "balancers", "widened by", "upstreams")
    for name, pool in pools.items():
        counts = [str(pool[key]) for key in ("size", "of", "by", "balancers", "wider")]
        weights = ", ".join(f"{upstream} {weight:g}" for upstream, weight in pool["weights"].items())
        table.add_row(name, *counts, weights)
    print_table(table, POOL_TABLE_WIDTH)


def _write_chart(assignment: Assignment, path: Path) -> None:
    """Write the shares as a chart with a row for each balancer and a column for each upstream."""
    try:
        matplotlib = importlib.import_module("matplotlib")
    except ModuleNotFoundError:
        raise click.ClickException("matplotlib is missing: pip install 'dahliabend[lab]'") from None
    matplotlib.use("svg")
    pyplot = importlib.import_module("matplotlib.pyplot")
    intensities = assignment.shares / assignment.shares.max()
    pyplot.imshow(intensities, aspect="auto", interpolation="nearest", cmap="Greys")
    pyplot.xlabel("upstreams")
    pyplot.ylabel("balancers")
    pyplot.savefig(path, metadata={"Date": None})
    pyplot.close()
