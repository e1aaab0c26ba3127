"""`dahliabend turns`: what balancers do in turn, as one of them knows it."""

import json
import sys

import click
from rich.console import Console
from rich.table import Table

from dahliabend.cli.members import ago, ask
from dahliabend.leases.fencing import TOKEN_SUFFIX_BITS


@click.command()
@click.argument("where", metavar="FILE|HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def turns(where: str, as_json: bool) -> None:
    """Who does what for all, under which fencing number, and what came of it last."""
    said = ask(where, "/api/turns")
    if as_json:
        return click.echo(json.dumps(said, indent=2))
    table = Table("duty", "done by", "number", "last", "result", "this one's place")
    for row in said["duties"]:
        last = "" if row["age_ms"] is None else f"{ago(row['age_ms'])} ago"
        place = "none" if row["place"] < 0 else str(row["place"])
        table.add_row(
            row["duty"], row["owner"], str(row["fence"] >> TOKEN_SUFFIX_BITS), last, row["result"], place
        )
    Console(width=None if sys.stdout.isatty() else 140).print(table)
    click.echo(f"period {said['period_ms'] / 1000:g} s; {'settled' if said['settled'] else 'not settled'}; "
               f"{said['probes']} probes by this one; {said['refused']} refused")  # fmt: skip
