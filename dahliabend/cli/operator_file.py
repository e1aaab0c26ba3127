"""`dahliabend check`, `show`, `explain` and `diff`: the operator's file, before it is loaded."""

import click
from rich.table import Table

from dahliabend.cli.output import json_option, print_json, print_table
from dahliabend.routing_rules import comparison, explanation
from dahliabend.routing_rules.explanation import NO_ROUTE_REASON, Explanation
from dahliabend.routing_rules.loaded_file import DEFAULT_PLACE, LoadedFile, load_file, settings

EXIT_FINDINGS = 1
TABLE_WIDTH = 160
DIFF_TABLE_WIDTH = 180


def load_usable_file(path: str) -> LoadedFile:
    """Load a file without faults; else they are printed and the command ends."""
    loaded = load_file(path)
    if not loaded.is_usable:
        for fault in loaded.faults:
            click.echo(str(fault), err=True)
        raise click.exceptions.Exit(EXIT_FINDINGS)
    return loaded


@click.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@json_option
def check(files: tuple[str, ...], *, as_json: bool) -> None:
    """Says all that is wrong with each FILE, by line; exits with 1 if anything is.

    Nothing is loaded, nothing is asked over the network.
    """
    loaded_files = {name: load_file(name) for name in files}
    faults = [fault for loaded in loaded_files.values() for fault in loaded.faults]
    if as_json:
        print_json(
            [
                {"file": each.file, "line": each.line, "key": each.key, "reason": each.reason}
                for each in faults
            ]
        )
    else:
        for fault in faults:
            click.echo(str(fault))
        for name, loaded in loaded_files.items():
            if loaded.is_usable:
                click.echo(f"{name}: fine, {_describe_size(loaded)}")
    raise click.exceptions.Exit(EXIT_FINDINGS if faults else 0)


def _describe_size(loaded: LoadedFile) -> str:
    file = loaded.usable_file
    return f"{len(file.routes)} routes, {len(file.pools)} pools, {len(file.classes)} classes"


@click.command()
@click.argument("file")
@click.option("--all", "with_defaults", is_flag=True, help="Defaults too.")
@json_option
def show(file: str, *, with_defaults: bool, as_json: bool) -> None:
    """Every setting in force, and the line that says it."""
    found = {
        key: setting
        for key, setting in settings(load_usable_file(file)).items()
        if with_defaults or setting.place != DEFAULT_PLACE
    }
    if as_json:
        print_json({key: {"value": setting.value, "from": setting.place} for key, setting in found.items()})
        return
    table = Table("setting", "value", "from")
    for key, setting in found.items():
        table.add_row(key, str(setting.value), setting.place)
    print_table(table, TABLE_WIDTH)


@click.command()
@click.argument("file")
@click.argument("method")
@click.argument("path")
@click.option("-H", "--header", "headers", multiple=True, metavar="'NAME: VALUE'", help="May be repeated.")
@json_option
def explain(file: str, method: str, path: str, headers: tuple[str, ...], *, as_json: bool) -> None:
    """Which route a request takes, why, what will be tried and for how long."""
    fields = _parse_headers(headers)
    found = explanation.explain(load_usable_file(file), method.upper(), path, fields)
    if as_json:
        print_json(_explanation_json(found))
    elif found is None:
        click.echo(NO_ROUTE_REASON)
    else:
        _print_explanation(found)
    raise click.exceptions.Exit(EXIT_FINDINGS if found is None else 0)


def _parse_headers(headers: tuple[str, ...]) -> dict[str, str]:
    fields = {}
    for header in headers:
        name, colon, value = header.partition(":")
        if not colon:
            raise click.BadParameter(f"{header!r} is no 'NAME: VALUE'")
        fields[name.strip()] = value.strip()
    return fields


def _explanation_json(found: Explanation | None) -> dict[str, object]:
    if found is None:
        return {"route": None, "why": NO_ROUTE_REASON}
    return {
        "route": found.route,
        "at": found.place,
        "why": found.reason,
        "class": found.request_class,
        "effect": found.effect,
        "pools": found.pools,
        "split": found.split,
        "fallback": found.fallback,
        "mirror": found.mirror,
        "treatment": {
            name: {"value": explained.value, "from": explained.key}
            for name, explained in found.treatment.items()
        },
        "tried": found.steps,
    }


def _print_explanation(found: Explanation) -> None:
    click.echo(f"route {found.route} ({found.place}): {found.reason}")
    click.echo(f"class {found.request_class}, {found.effect}")
    pools = ", ".join(f"{name} {share}" for name, share in found.pools.items())
    click.echo(f"pool {pools} (split {found.split})")
    if found.fallback:
        click.echo(f"fallback {found.fallback}")
    if found.mirror:
        click.echo(f"mirror {found.mirror}")
    for name, explained in found.treatment.items():
        click.echo(f"  {name} = {explained.value}  ({explained.key})")
    for step in found.steps:
        click.echo(f"  - {step}")


@click.command()
@click.argument("old")
@click.argument("new")
@json_option
def diff(old: str, new: str, *, as_json: bool) -> None:
    """What a reload from OLD to NEW would change; exits with 1 if anything, or if NEW would be refused."""
    before = load_usable_file(old)
    after = load_file(new)
    if not after.is_usable:
        for fault in after.faults:
            click.echo(f"refused: {fault}", err=True)
        raise click.exceptions.Exit(EXIT_FINDINGS)
    changes = comparison.diff(before, after)
    if as_json:
        print_json(changes)
    elif changes:
        table = Table("setting", "how", "old", "new", "what becomes of it")
        for change in changes:
            table.add_row(
                change["key"], change["how"], str(change["old"]), str(change["new"]), change["effect"]
            )
        print_table(table, DIFF_TABLE_WIDTH)
    else:
        click.echo("no difference")
    raise click.exceptions.Exit(EXIT_FINDINGS if changes else 0)
