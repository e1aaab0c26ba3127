"""`dahliabend signals`: what balancers tell each other of upstreams, as one of them holds it."""

import json
import sys

import click
from rich.console import Console
from rich.table import Table

from dahliabend.cli.members import ago, ask


@click.command()
@click.argument("where", metavar="FILE|HOST:PORT")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def signals(where: str, as_json: bool) -> None:
    """What a running balancer tells, what others told it, and what was believed of it."""
    said = ask(where, "/api/signals")
    if as_json:
        return click.echo(json.dumps(said, indent=2))
    table = Table("from", "told", "passed on", "upstream", "hops", "bad")
    own = {"name": f"{said['name']} (this one)", "age_ms": 0, "hops": 0, "rows": said["own"]}
    for origin in [own, *said["origins"]]:
        start = origin["name"], ago(origin["age_ms"]), str(origin["hops"])
        for row in origin["rows"]:
            table.add_row(*start, f"{row['pool']} {row['upstream']}", str(row["tried"]), str(row["bad"]))
        if not origin["rows"]:
            table.add_row(*start, "nothing", "", "")
    Console(width=None if sys.stdout.isatty() else 140).print(table)
    for each in said["believed"]:
        click.echo(f"{ago(each['age_ms'])} ago: {each['pool']} {each['upstream']}, said by {each['origins']}")
    counts = f"{said['unread']} datagrams unread, {said['refused']} reports refused"
    click.echo(f"{said['told']} beliefs told to the decisions; {counts}")
