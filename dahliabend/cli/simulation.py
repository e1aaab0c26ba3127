"""`dahliabend simulate`: sweeps, replays and shrinking of scenarios in the simulated network."""

import dataclasses
import os
from pathlib import Path

import click
import msgspec
import orjson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from dahliabend.cli.output import json_option
from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation import scenario_generator, shrink, sweep, timeline
from dahliabend.simulation.scenario import GROUP_OF, SCENARIO_FILES, Scenario, check
from dahliabend.simulation.world import Result, run_scenario

MAX_RUNS_SHOWN = 20  # runs with violations that are printed
MICROSECONDS_PER_SECOND = 1e6


def _parse_seeds(_context: click.Context, _parameter: click.Parameter, text: str) -> range:
    """Parse a number of seeds, which start at 0, or the first and the last seed as `A..B`."""
    first, dots, last = text.partition("..")
    try:
        seeds = range(int(first), int(last) + 1) if dots else range(int(first))
    except ValueError:
        raise click.BadParameter(f"{text!r} is neither a number of seeds nor A..B") from None
    if not seeds:
        raise click.BadParameter(f"{text!r} holds no seed")
    return seeds


def _load_scenario(text: str) -> Scenario:
    """Generate the scenario of a seed, or read that of a file."""
    if text.isascii() and text.isdigit():
        return scenario_generator.draw(int(text))
    return SCENARIO_FILES.read(text)


def _check_kinds(names: tuple[str, ...]) -> tuple[str, ...]:
    for name in names:
        if name not in GROUP_OF:
            raise click.BadParameter(f"{name!r} is none of {', '.join(sorted(GROUP_OF))}")
    return names


@click.group()
def simulate() -> None:
    """Run the network code on a virtual clock, with faults from seeds or files."""


@simulate.command("sweep")
@click.option("--seeds", callback=_parse_seeds, default="1000", show_default=True, help="How many, or A..B.")
@click.option("--jobs", type=click.IntRange(1), default=os.cpu_count(), show_default=True)
@click.option("--fault", multiple=True, help="Only these kinds of fault; may be repeated.")
@json_option
def sweep_command(seeds: range, jobs: int, fault: tuple[str, ...], *, as_json: bool) -> None:
    """Run many seeds; exit with 1 after a violation of an invariant."""
    console = Console()
    progress = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=Console(stderr=True),
    )
    with progress:
        task = progress.add_task("seeds", total=len(seeds))
        summary = sweep.sweep(seeds, jobs, _check_kinds(fault), lambda _: progress.advance(task))
    if as_json:
        click.echo(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    else:
        _print_summary(console, summary)
    raise click.exceptions.Exit(1 if summary.broken else 0)


def _print_summary(console: Console, summary: sweep.Summary) -> None:
    rules = sorted(summary.by_rule)
    table = Table("fault", "runs", *rules, title="runs that broke a rule, by fault")
    for fault, counter in sorted(summary.by_fault.items()):
        table.add_row(fault, str(counter["runs"]), *(str(counter[rule] or "") for rule in rules))
    table.add_row("all", str(summary.runs), *(str(summary.by_rule[rule]) for rule in rules))
    console.print(table)
    for run in summary.broken[:MAX_RUNS_SHOWN]:
        for text in run.rules.values():
            console.print(f"seed {run.seed} ({', '.join(run.faults)}): {text}", highlight=False)
    requests = summary.counts["asked"]
    counts = " ".join(f"{name} {count}" for name, count in sorted(summary.counts.items()))
    virtual_seconds = summary.span / MICROSECONDS_PER_SECOND
    console.print(
        f"{summary.runs} runs, {requests} transactions ({counts}); {virtual_seconds:.0f} virtual seconds, "
        f"{summary.steps} steps; {summary.wall:.1f} s, {summary.cpu:.0f} s of CPU",
        highlight=False,
    )
    console.print(f"{len(summary.broken)} runs broke a rule")


@simulate.command()
@click.argument("what")
@click.option("--about", default="", help="Only lines about this request, process or upstream.")
@click.option("--quiet", is_flag=True, help="Only the digest and the violations.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs; without the time line.")
def replay(what: str, about: str, *, quiet: bool, as_json: bool) -> None:
    """Run WHAT, a seed or a file, and print its time line; exit with 1 after a violation of an invariant."""
    result = run_scenario(_load_scenario(what))
    if as_json:
        result.lines.clear()
        click.echo(orjson.dumps(_result_json(result), option=orjson.OPT_INDENT_2))
        raise click.exceptions.Exit(1 if result.violations else 0)
    if not quiet:
        for line in timeline.lines(result.lines, about):
            click.echo(line)
    for violation in result.violations:
        click.echo(f"BROKEN {violation}")
    counts = " ".join(f"{name}={count}" for name, count in result.counts.items())
    click.echo(f"digest {result.digest} steps {result.steps} {counts} worth {result.served_value:.4f}")
    raise click.exceptions.Exit(1 if result.violations else 0)


def _result_json(result: Result) -> dict[str, object]:
    """Return the result of a run with the keys of the JSON output."""
    names = {field.name: field.name for field in dataclasses.fields(result)} | {"served_value": "worth"}
    return {key: getattr(result, name) for name, key in names.items()}


@simulate.command("shrink")
@click.argument("what")
@click.option("--rule", default="", help="The invariant to keep violated; default: the first one.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True)
def shrink_command(what: str, rule: str, out: Path) -> None:
    """Reduce WHAT, a seed or a file, to the smallest scenario that still violates the invariant."""
    scenario = _load_scenario(what)
    rules = run_scenario(scenario).rules
    if not rules:
        raise click.ClickException(f"{what} breaks no rule")
    smallest, runs = shrink.shrink(scenario, rule or rules[0])
    out.write_bytes(SCENARIO_FILES.encode(smallest))
    click.echo(
        f"{out}: breaks {smallest.breaks!r} with {len(smallest.faults)} faults, {smallest.load.requests} "
        f"transactions, {Duration(smallest.length)}; {runs} runs"
    )


@simulate.command("script")
@click.argument("seed", type=int)
@click.option("--requests", type=int, help="Replace the number of requests.")
def script_command(seed: int, requests: int | None) -> None:
    """Print the scenario of a seed as a file that can be edited."""
    scenario = scenario_generator.draw(seed)
    if requests is not None:
        load = msgspec.structs.replace(scenario.load, requests=requests)
        scenario = msgspec.structs.replace(scenario, load=load)
        check(scenario)
    click.echo(SCENARIO_FILES.encode(scenario).decode(), nl=False)
