"""`dahliabend members`: who balances, as one running balancer sees it; and keys for them."""

import json
import secrets
import sys
from http.client import HTTPConnection, HTTPException

import click
from rich.console import Console
from rich.table import Table

from dahliabend.config.address import parse_address
from dahliabend.routing_rules import loaded_file

PATIENCE = 5.0  # seconds


def door_of(where: str) -> tuple[str, int]:
    """The operators' address: given, or that of an operator's file."""
    try:
        return parse_address(where)
    except ValueError:
        pass
    made = loaded_file.load_file(where)
    if not made.is_usable:
        raise click.ClickException("\n".join(map(str, made.faults)))
    listener = made.file.listeners.get("operators")
    if listener is None:
        raise click.ClickException(f"{where}:1: listeners.operators: is missing: nobody can be asked")
    return parse_address(listener.address)


def ask(where: str, path: str) -> dict:
    """What the balancer at an address, or of a file, answers to a call of the operators."""
    host, port = door_of(where)
    link = HTTPConnection(host, port, timeout=PATIENCE)
    try:
        link.request("GET", path)
        answer = link.getresponse()
        said = json.loads(answer.read())
    except (OSError, HTTPException, ValueError) as error:
        raise click.ClickException(f"{host}:{port}: {error}") from None
    finally:
        link.close()
    if answer.status != 200:
        raise click.ClickException(f"{host}:{port}: {said.get('error', answer.status)}")
    return said


def ago(ms: int | None) -> str:
    if ms is None:
        return "its start"
    return f"{ms / 1000:.1f} s" if ms < 100_000 else f"{ms / 60_000:.0f} min"


@click.command()
@click.argument("where", metavar="FILE|HOST:PORT", required=False)
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
@click.option("--key", is_flag=True, help="Print a new key instead, as `key-files` name them.")
def members(where: str | None, as_json: bool, key: bool) -> None:
    """Who is alive, suspected, gone, by whom and since when: as one balancer sees it.

    Asks the operators' door of that balancer; exits with 1 if its view is not stable, may be cut off, or the
    others don't count it in.
    """
    if key:
        return click.echo(secrets.token_hex(32))
    if where is None:
        raise click.UsageError("FILE or HOST:PORT is missing: whom shall it ask?")
    said = ask(where, "/api/members")
    sound = said["stable"] and not said["cut"] and not said["outcast"]
    if as_json:
        click.echo(json.dumps(said, indent=2))
    else:
        show(said)
    raise click.exceptions.Exit(0 if sound else 1)


def show(said: dict) -> None:
    table = Table("balancer", "state", "for", "by", "zone", "weight", "incarnation", "can't reach", "address")
    for row in [*said["here"], *said["gone"]]:
        weight = row.get("weight")
        table.add_row(
            row["name"], row["state"], ago(row["since_ms"]), row["by"], row["zone"],
            "" if weight is None else f"{weight:g}", str(row["incarnation"]),
            ", ".join(row.get("cannot_reach") or ()), row["address"],
        )  # fmt: skip
    Console(width=None if sys.stdout.isatty() else 160).print(table)
    words = ["stable" if said["stable"] else "not settled"]
    words += ["it may be cut off"] if said["cut"] else []
    words += [f"the others don't count it in: {said['outcast']}"] if said["outcast"] else []
    dropped = ", ".join(f"{count} {kind}" for kind, count in sorted(said["dropped"].items())) or "none"
    click.echo(
        f"{said['name']}: view {said['mark']} version {said['version']}, {'; '.join(words)}; heard "
        f"{said['age_ms'] / 1000:.1f} s ago, confidence {said['confidence']:.2f}; "
        f"datagrams dropped: {dropped}"
    )
