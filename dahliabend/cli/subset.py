"""`dahliabend subset`: who would use whom, and what an event would move."""

import json
import sys
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from dahliabend.cli.members import ask
from dahliabend.subsetting.selection import (
    MIN_BALANCERS_PER_UPSTREAM,
    MIN_SUBSET_SIZE,
    Assignment,
    Participant,
    assign_subsets,
    normalized_weights,
)

MOST = 2_000  # of each


@click.command()
@click.argument("where", metavar="[FILE|HOST:PORT]", required=False)
@click.option("--balancers", type=click.IntRange(1, MOST), help="So many instead, named b0 and on.")
@click.option("--upstreams", type=click.IntRange(1, MOST), help="So many instead, named u0 and on.")
@click.option("--zones", type=click.IntRange(1, 64), default=1, show_default=True, help="Dealt in turn.")
@click.option("--least", type=click.IntRange(1), default=MIN_SUBSET_SIZE, show_default=True)
@click.option("--degree", type=click.IntRange(1), default=MIN_BALANCERS_PER_UPSTREAM, show_default=True)
@click.option("--lose", "lost", multiple=True, help="What it moves if this one goes; may be repeated.")
@click.option("--chart", type=click.Path(dir_okay=False, path_type=Path), help="An SVG of the relation.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def subset(where, balancers, upstreams, zones, least, degree, lost, chart, as_json) -> None:
    """Who uses whom: of a running balancer (the pools' subsets, by its operators' door), or of made-up sizes.

    Loads are over the mean of the capacity; moves are pairs that change, and how often the fair share of the
    one that goes.
    """
    if where is not None:
        said = ask(where, "/api/subsets")["pools"]
        return click.echo(json.dumps(said, indent=2)) if as_json else running(said)
    if balancers is None or upstreams is None:
        raise click.UsageError("either FILE or HOST:PORT, or --balancers and --upstreams")
    fleet = [Participant(f"b{n}", f"z{n % zones}") for n in range(balancers)]
    pool = [Participant(f"u{n}", f"z{n % zones}") for n in range(upstreams)]
    made = assign_subsets(fleet, pool, least, zones > 1, degree)
    figures = summary(made, pool)
    names = {party.name for party in (*fleet, *pool)}
    for name in lost:
        if name not in names:
            raise click.BadParameter(f"{name!r} is none of them", param_hint="--lose")
        rest = [[party for party in parties if party.name != name] for parties in (fleet, pool)]
        after = assign_subsets(*rest, least, zones > 1, degree)
        pairs = made.pairs()
        own = sum(name in pair for pair in pairs)
        moved = len(pairs ^ after.pairs())
        figures[f"without {name}"] = {"moved": moved, "fair shares": round(moved / max(1, own), 2),
                                      **summary(after, rest[1])}  # fmt: skip
    if chart is not None:
        draw(made, chart)
    if as_json:
        shown = {name: made.subset_of(name) for name in made.balancers}
        return click.echo(json.dumps(figures | {"relation": shown}, indent=2))
    show(figures)


def summary(made: Assignment, pool: list[Participant]) -> dict:
    load = made.shares.sum(axis=0) / normalized_weights(sorted(pool, key=lambda party: party.name))
    rows, columns = (made.shares > 0).sum(axis=1), (made.shares > 0).sum(axis=0)
    return {
        "pairs": int(rows.sum()), "load": [round(float(load.min()), 3), round(float(load.max()), 3)],
        "upstreams a balancer": [int(rows.min()), int(rows.max())],
        "balancers an upstream": [int(columns.min()), int(columns.max())],
    }  # fmt: skip


def show(figures: dict) -> None:
    table = Table(
        "", "pairs", "load, least and most", "upstreams a balancer", "balancers an upstream", "moved"
    )
    rows = {"now": figures} | {name: each for name, each in figures.items() if name.startswith("without")}
    for name, each in rows.items():
        spans = [f"{each[key][0]} to {each[key][1]}"
                 for key in ("load", "upstreams a balancer", "balancers an upstream")]  # fmt: skip
        moved = f"{each['moved']}, {each['fair shares']} of its own" if "moved" in each else ""
        table.add_row(name, str(each["pairs"]), *spans, moved)
    Console(width=None if sys.stdout.isatty() else 140).print(table)


def running(said: dict) -> None:
    table = Table("pool", "uses", "of", "by", "balancers", "widened by", "upstreams")
    for name, pool in said.items():
        weights = ", ".join(f"{each} {weight:g}" for each, weight in pool["weights"].items())
        row = [str(pool[key]) for key in ("size", "of", "by", "balancers", "wider")]
        table.add_row(name, *row, weights)
    Console(width=None if sys.stdout.isatty() else 160).print(table)


def draw(made: Assignment, path: Path) -> None:
    try:
        import matplotlib
    except ModuleNotFoundError:
        raise click.ClickException("matplotlib is missing: pip install 'dahliabend[lab]'") from None
    matplotlib.use("svg")
    from matplotlib import pyplot as plt

    plt.imshow(made.shares / made.shares.max(), aspect="auto", interpolation="nearest", cmap="Greys")
    plt.xlabel("upstreams")
    plt.ylabel("balancers")
    plt.savefig(path, metadata={"Date": None})
    plt.close()
