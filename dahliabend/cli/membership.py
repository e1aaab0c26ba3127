"""`dahliabend members`: the members of a cluster as one running balancer sees them, and keys for new ones."""

import secrets
from typing import Any

import click
from rich.table import Table

from dahliabend.cli.admin_client import fetch, format_age
from dahliabend.cli.output import json_option, print_json, print_table

KEY_BYTES = 32
TABLE_WIDTH = 160


@click.command()
@click.argument("where", metavar="FILE|HOST:PORT", required=False)
@json_option
@click.option("--key", is_flag=True, help="Print a new key instead, as `key-files` name them.")
def members(where: str | None, *, as_json: bool, key: bool) -> None:
    """Show the members of a cluster as one balancer sees them: their state, its reporter and its age.

    Queries the admin API of that balancer. Exits with 1 if its view is not stable, if a partition may
    separate it from others, or if the others have excluded it.
    """
    if key:
        click.echo(secrets.token_hex(KEY_BYTES))
        return
    if where is None:
        raise click.UsageError("FILE or HOST:PORT of the balancer to query is missing")
    view = fetch(where, "/api/members")
    is_reliable = view["stable"] and not view["cut"] and not view["outcast"]
    if as_json:
        print_json(view)
    else:
        _print_view(view)
    raise click.exceptions.Exit(0 if is_reliable else 1)


def _print_view(view: dict[str, Any]) -> None:
    table = Table("balancer", "state", "for", "by", "zone", "weight", "incarnation", "can't reach", "address")
    for row in [*view["here"], *view["gone"]]:
        weight = row.get("weight")
        table.add_row(
            row["name"],
            row["state"],
            format_age(row["since_ms"]),
            row["by"],
            row["zone"],
            "" if weight is None else f"{weight:g}",
            str(row["incarnation"]),
            ", ".join(row.get("cannot_reach") or ()),
            row["address"],
        )
    print_table(table, TABLE_WIDTH)
    click.echo(
        f"{view['name']}: view {view['mark']} version {view['version']}, {_describe_state(view)}; heard "
        f"{view['age_ms'] / 1000:.1f} s ago, confidence {view['confidence']:.2f}; "
        f"datagrams dropped: {_describe_dropped(view['dropped'])}"
    )


def _describe_state(view: dict[str, Any]) -> str:
    parts = ["stable" if view["stable"] else "not settled"]
    if view["cut"]:
        parts.append("it may be cut off")
    if view["outcast"]:
        parts.append(f"the others don't count it in: {view['outcast']}")
    return "; ".join(parts)


def _describe_dropped(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {kind}" for kind, count in sorted(counts.items())) or "none"
