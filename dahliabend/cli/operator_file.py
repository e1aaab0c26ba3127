"""`dahliabend check`, `show`, `explain` and `diff`: operators' files before a balancer loads them."""

import click
from rich.table import Table

from dahliabend.cli.output import json_option, print_json, print_table
from dahliabend.routing_rules import comparison, explanation
from dahliabend.routing_rules.explanation import NO_ROUTE_REASON, Explanation
from dahliabend.routing_rules.loaded_file import DEFAULT_PLACE, LoadedFile, collect_settings, load_file

EXIT_FINDINGS = 1
TABLE_WIDTH = 160
DIFF_TABLE_WIDTH = 180


def load_file_or_exit(path: str) -> LoadedFile:
    """Load a file; if it has faults, print them and exit."""
    loaded = load_file(path)
    if not loaded.has_no_faults:
        for fault in loaded.faults:
            click.echo(str(fault), err=True)
        raise click.exceptions.Exit(EXIT_FINDINGS)
    return loaded


@click.command()
@click.argument("files", nargs=-1, required=True, metavar="FILE...")
@json_option
def check(files: tuple[str, ...], *, as_json: bool) -> None:
    """Report all faults of each FILE, with their lines; exit with 1 if there are any.

    No balancer is changed, and nothing is sent over the network.
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
            if loaded.has_no_faults:
                click.echo(f"{name}: fine, {_describe_size(loaded)}")
    raise click.exceptions.Exit(EXIT_FINDINGS if faults else 0)


def _describe_size(loaded: LoadedFile) -> str:
    file = loaded.decoded_file
    return f"{len(file.routes)} routes, {len(file.pools)} pools, {len(file.classes)} classes"


@click.command()
@click.argument("file")
@click.option("--all", "with_defaults", is_flag=True, help="Defaults too.")
@json_option
def show(file: str, *, with_defaults: bool, as_json: bool) -> None:
    """Show the settings of FILE, and the line that sets each of them."""
    shown = {
        key: setting
        for key, setting in collect_settings(load_file_or_exit(file)).items()
        if with_defaults or setting.place != DEFAULT_PLACE
    }
    if as_json:
        print_json({key: {"value": setting.value, "from": setting.place} for key, setting in shown.items()})
        return
    table = Table("setting", "value", "from")
    for key, setting in shown.items():
        table.add_row(key, str(setting.value), setting.place)
    print_table(table, TABLE_WIDTH)


@click.command()
@click.argument("file")
@click.argument("method")
@click.argument("path")
@click.option("-H", "--header", "headers", multiple=True, metavar="'NAME: VALUE'", help="May be repeated.")
@json_option
def explain(file: str, method: str, path: str, headers: tuple[str, ...], *, as_json: bool) -> None:
    """Show which route a request takes and why, and which attempts may be made with which timeouts."""
    fields = _parse_headers(headers)
    route_explanation = explanation.explain(load_file_or_exit(file), method.upper(), path, fields)
    if as_json:
        print_json(_explanation_json(route_explanation))
    elif route_explanation is None:
        click.echo(NO_ROUTE_REASON)
    else:
        _print_explanation(route_explanation)
    raise click.exceptions.Exit(EXIT_FINDINGS if route_explanation is None else 0)


def _parse_headers(headers: tuple[str, ...]) -> dict[str, str]:
    fields = {}
    for header in headers:
        name, colon, value = header.partition(":")
        if not colon:
            raise click.BadParameter(f"{header!r} is no 'NAME: VALUE'")
        fields[name.strip()] = value.strip()
    return fields


def _explanation_json(route_explanation: Explanation | None) -> dict[str, object]:
    if route_explanation is None:
        return {"route": None, "why": NO_ROUTE_REASON}
    return {
        "route": route_explanation.route,
        "at": route_explanation.place,
        "why": route_explanation.reason,
        "class": route_explanation.request_class,
        "effect": route_explanation.effect,
        "pools": route_explanation.pools,
        "split": route_explanation.split,
        "fallback": route_explanation.fallback,
        "mirror": route_explanation.mirror,
        "treatment": {
            name: {"value": explained.value, "from": explained.key}
            for name, explained in route_explanation.treatment.items()
        },
        "tried": route_explanation.steps,
    }


def _print_explanation(route_explanation: Explanation) -> None:
    click.echo(f"route {route_explanation.route} ({route_explanation.place}): {route_explanation.reason}")
    click.echo(f"class {route_explanation.request_class}, {route_explanation.effect}")
    pools = ", ".join(f"{name} {share}" for name, share in route_explanation.pools.items())
    click.echo(f"pool {pools} (split {route_explanation.split})")
    if route_explanation.fallback:
        click.echo(f"fallback {route_explanation.fallback}")
    if route_explanation.mirror:
        click.echo(f"mirror {route_explanation.mirror}")
    for name, explained in route_explanation.treatment.items():
        click.echo(f"  {name} = {explained.value}  ({explained.key})")
    for step in route_explanation.steps:
        click.echo(f"  - {step}")


@click.command()
@click.argument("old")
@click.argument("new")
@json_option
def diff(old: str, new: str, *, as_json: bool) -> None:
    """Show what a reload from OLD to NEW would change; exit with 1 if anything or if NEW has faults."""
    before = load_file_or_exit(old)
    after = load_file(new)
    if not after.has_no_faults:
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
