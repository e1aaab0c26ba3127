"""`dahliabend emulate`: sweeps, replays and shrinking in the modelled world."""

import os
from pathlib import Path

import click
import msgspec
import orjson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from dahliabend.simulation import script, shrink, sweep, timeline
from dahliabend.simulation.world import play

FEW = 20  # violations that a sweep prints in full


def seeds(_, __, text: str) -> range:
    first, dots, last = text.partition("..")
    try:
        made = range(int(first), int(last) + 1) if dots else range(int(first))
    except ValueError:
        raise click.BadParameter(f"{text!r} is neither a number of seeds nor A..B") from None
    if not made:
        raise click.BadParameter(f"{text!r} holds no seed")
    return made


def scenario(text: str) -> script.Scenario:
    """A seed's, or a file's."""
    return script.draw(int(text)) if text.isascii() and text.isdigit() else script.read(text)


def kinds_of(names: tuple[str, ...]) -> tuple[str, ...]:
    for name in names:
        if name not in script.GROUP_OF:
            raise click.BadParameter(f"{name!r} is none of {', '.join(sorted(script.GROUP_OF))}")
    return names


@click.group()
def emulate() -> None:
    """The network code on a virtual clock, against faults from seeds or files."""


@emulate.command("sweep")
@click.option("--seeds", callback=seeds, default="1000", show_default=True, help="How many, or A..B.")
@click.option("--jobs", type=click.IntRange(1), default=os.cpu_count(), show_default=True)
@click.option("--fault", multiple=True, help="Only these kinds of fault; may be given more than once.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def sweep_command(seeds: range, jobs: int, fault: tuple[str, ...], as_json: bool) -> None:
    """Plays many seeds; exits with 1 if a rule was broken."""
    console = Console()
    bar = Progress(
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn(),
        console=Console(stderr=True),
    )  # fmt: skip
    with bar:
        task = bar.add_task("seeds", total=len(seeds))
        summary = sweep.sweep(seeds, jobs, kinds_of(fault), lambda _: bar.advance(task))
    if as_json:
        click.echo(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    else:
        show(console, summary)
    raise click.exceptions.Exit(1 if summary.broken else 0)


def show(console: Console, summary: sweep.Summary) -> None:
    rules = sorted(summary.by_rule)
    table = Table("fault", "runs", *rules, title="runs that broke a rule, by fault")
    for fault, counter in sorted(summary.by_fault.items()):
        table.add_row(fault, str(counter["runs"]), *(str(counter[rule] or "") for rule in rules))
    table.add_row("all", str(summary.runs), *(str(summary.by_rule[rule]) for rule in rules))
    console.print(table)
    for seen in summary.broken[:FEW]:
        for text in seen.rules.values():
            console.print(f"seed {seen.seed} ({', '.join(seen.faults)}): {text}", highlight=False)
    asked = summary.counts["asked"]
    parts = " ".join(f"{name} {count}" for name, count in sorted(summary.counts.items()))
    console.print(
        f"{summary.runs} runs, {asked} transactions ({parts}); {summary.span / 1e6:.0f} virtual seconds, "
        f"{summary.steps} steps; {summary.wall:.1f} s, {summary.cpu:.0f} s of CPU", highlight=False,
    )  # fmt: skip
    console.print(f"{len(summary.broken)} runs broke a rule")


@emulate.command()
@click.argument("what")
@click.option("--about", default="", help="Only what names this transaction, process or upstream.")
@click.option("--quiet", is_flag=True, help="Only the digest and what was broken.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs; without the time line.")
def replay(what: str, about: str, quiet: bool, as_json: bool) -> None:
    """Plays WHAT, a seed or a file, and prints its time line; exits with 1 if a rule was broken."""
    result = play(scenario(what))
    if as_json:
        result.lines.clear()
        click.echo(orjson.dumps(result, option=orjson.OPT_INDENT_2))
        raise click.exceptions.Exit(1 if result.violations else 0)
    if not quiet:
        for line in timeline.lines(result.lines, about):
            click.echo(line)
    for violation in result.violations:
        click.echo(f"BROKEN {violation}")
    counts = " ".join(f"{name}={count}" for name, count in result.counts.items())
    click.echo(f"digest {result.digest} steps {result.steps} {counts} worth {result.worth:.4f}")
    raise click.exceptions.Exit(1 if result.violations else 0)


@emulate.command("shrink")
@click.argument("what")
@click.option("--rule", default="", help="The rule to keep broken; else the first that is.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True)
def shrink_command(what: str, rule: str, out: Path) -> None:
    """Takes WHAT, a seed or a file, down to the least run that still breaks the rule."""
    whole = scenario(what)
    rules = play(whole).rules
    if not rules:
        raise click.ClickException(f"{what} breaks no rule")
    least, runs = shrink.shrink(whole, rule or rules[0])
    out.write_bytes(script.encode(least))
    click.echo(
        f"{out}: breaks {least.breaks!r} with {len(least.faults)} faults, {least.load.requests} "
        f"transactions, {script.Duration(least.length)}; {runs} runs"
    )


@emulate.command("script")
@click.argument("seed", type=int)
@click.option("--requests", type=int, help="As many transactions instead.")
def script_command(seed: int, requests: int | None) -> None:
    """Prints a seed's scenario as a file, to be changed by hand."""
    made = script.draw(seed)
    if requests is not None:
        made = msgspec.structs.replace(made, load=msgspec.structs.replace(made.load, requests=requests))
        script.check(made)
    click.echo(script.encode(made).decode(), nl=False)
