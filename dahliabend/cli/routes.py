"""`dahliabend check`, `show`, `explain` and `diff`: the operator's file, before it is loaded."""

import json
import sys

import click
from rich.console import Console
from rich.table import Table

from dahliabend.routing_rules import loaded_file

JSON = click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
FINDINGS = 1


def give(value) -> None:
    click.echo(json.dumps(value, indent=2, default=str))


def usable_file(path: str) -> loaded_file.LoadedFile:
    """A file without faults; else they are printed and the command ends with 1."""
    made = loaded_file.load_file(path)
    if not made.is_usable:
        for fault in made.faults:
            click.echo(str(fault), err=True)
        raise click.exceptions.Exit(FINDINGS)
    return made


@click.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@JSON
def check(files: tuple[str, ...], as_json: bool) -> None:
    """Says all that is wrong with each FILE, by line; exits with 1 if anything is.

    Nothing is loaded, nothing is asked over the network.
    """
    found = {name: loaded_file.load_file(name) for name in files}
    faults = [fault for made in found.values() for fault in made.faults]
    if as_json:
        give([{"file": f.file, "line": f.line, "key": f.key, "reason": f.reason} for f in faults])
    else:
        for fault in faults:
            click.echo(str(fault))
        for name, made in found.items():
            if made.is_usable:
                counts = made.file
                click.echo(
                    f"{name}: fine, {len(counts.routes)} routes, {len(counts.pools)} pools, "
                    f"{len(counts.classes)} classes"
                )
    raise click.exceptions.Exit(FINDINGS if faults else 0)


@click.command()
@click.argument("file")
@click.option("--all", "whole", is_flag=True, help="Defaults too.")
@JSON
def show(file: str, whole: bool, as_json: bool) -> None:
    """Every setting in force, and the line that says it."""
    found = {
        key: (value, place)
        for key, (value, place) in loaded_file.settings(usable_file(file)).items()
        if whole or place != "default"
    }
    if as_json:
        return give({key: {"value": value, "from": place} for key, (value, place) in found.items()})
    table = Table("setting", "value", "from")
    for key, (value, place) in found.items():
        table.add_row(key, str(value), place)
    Console(width=None if sys.stdout.isatty() else 160).print(table)


@click.command()
@click.argument("file")
@click.argument("method")
@click.argument("path")
@click.option("-H", "--header", "headers", multiple=True, metavar="'NAME: VALUE'", help="May be repeated.")
@JSON
def explain(file: str, method: str, path: str, headers: tuple[str, ...], as_json: bool) -> None:
    """Which route a request takes, why, what will be tried and for how long."""
    pairs = {}
    for header in headers:
        name, colon, value = header.partition(":")
        if not colon:
            raise click.BadParameter(f"{header!r} is no 'NAME: VALUE'")
        pairs[name.strip()] = value.strip()
    made = loaded_file.explain(usable_file(file), method.upper(), path, pairs)
    if as_json:
        give(made)
    elif made["route"] is None:
        click.echo(made["why"])
    else:
        click.echo(f"route {made['route']} ({made['at']}): {made['why']}")
        click.echo(f"class {made['class']}, {made['effect']}")
        pools = ", ".join(f"{name} {share}" for name, share in made["pools"].items())
        click.echo(f"pool {pools} (split {made['split']})")
        if made["fallback"]:
            click.echo(f"fallback {made['fallback']}")
        if made["mirror"]:
            click.echo(f"mirror {made['mirror']}")
        for name, said in made["treatment"].items():
            click.echo(f"  {name} = {said['value']}  ({said['from']})")
        for step in made["tried"]:
            click.echo(f"  - {step}")
    raise click.exceptions.Exit(0 if made["route"] else FINDINGS)


@click.command()
@click.argument("old")
@click.argument("new")
@JSON
def diff(old: str, new: str, as_json: bool) -> None:
    """What a reload from OLD to NEW would change; exits with 1 if anything, or if NEW would be refused."""
    before, made = usable_file(old), loaded_file.load_file(new)
    if not made.is_usable:
        for fault in made.faults:
            click.echo(f"refused: {fault}", err=True)
        raise click.exceptions.Exit(FINDINGS)
    found = loaded_file.diff(before, made)
    if as_json:
        give(found)
    elif found:
        table = Table("setting", "how", "old", "new", "what becomes of it")
        for entry in found:
            table.add_row(*(str(entry[name]) for name in ("key", "how", "old", "new", "effect")))
        Console(width=None if sys.stdout.isatty() else 180).print(table)
    else:
        click.echo("no difference")
    raise click.exceptions.Exit(FINDINGS if found else 0)
