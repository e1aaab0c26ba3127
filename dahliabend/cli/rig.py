"""`dahliabend rig`: a fleet of real processes on loopback, and what befalls it; the same on the model."""

import asyncio

import click
import orjson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.cluster import model, script
from dahliabend.simulation.cluster.invariants import Outcome


def fleet_of(what: str, instances: int, period: str, minutes: float) -> script.Fleet:
    """A seed's, or a file's."""
    if what.isascii() and what.isdigit():
        return script.draw(int(what), instances, Duration.parse(period), minutes)
    return script.read(what)


WHAT = click.argument("what", metavar="FILE|SEED")
INSTANCES = click.option("--instances", type=click.IntRange(2, 64), default=5, show_default=True)
PERIOD = click.option("--period", default="200ms", show_default=True, help="Of a drawn fleet.")
MINUTES = click.option("--minutes", type=float, default=2.0, show_default=True, help="Of a drawn fleet.")
JSON = click.option("--json", "as_json", is_flag=True, help="As JSON, for programs; without the time line.")


@click.group()
def rig() -> None:
    """Real processes of the program on loopback, with faults between them."""


@rig.command()
@WHAT
@INSTANCES
@PERIOD
@MINUTES
@JSON
@click.option("--times", type=click.IntRange(1), default=1, show_default=True, help="One after the other.")
@click.option("--traffic", type=float, default=0.0, help="Transactions a second over the fleet.")
@click.option("--upstreams", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--quiet", is_flag=True, help="Only what came of it.")
def run(what, instances, period, minutes, as_json, times, traffic, upstreams, quiet) -> None:
    """Plays WHAT between real processes; exits with 1 if a rule was broken.

    Bounded by its script; everything stays on 127.0.0.1, and every process that it starts it ends.
    """
    from dahliabend.process_tests.runner import Rig

    fleet = fleet_of(what, instances, period, minutes)
    console, broken, shown = Console(stderr=True), 0, []
    steps = len(fleet.steps) * times
    columns = TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn()
    with Progress(*columns, console=console, disable=quiet or as_json) as bar:
        task = bar.add_task("steps", total=steps)

        def told(line: str) -> None:
            if "STEP" in line:
                bar.advance(task)
            if not quiet and not as_json:
                bar.console.print(line, highlight=False, markup=False)

        for _ in range(times):
            outcome = asyncio.run(Rig(fleet, traffic, upstreams, told).play())
            broken += bool(outcome.violations)
            shown.append(outcome)
            if not as_json:
                report(outcome)
    if as_json:
        click.echo(orjson.dumps([table(outcome) for outcome in shown], option=orjson.OPT_INDENT_2))
    elif times > 1:
        click.echo(f"{times - broken} of {times} without a break")
    raise click.exceptions.Exit(1 if broken else 0)


@rig.command("model")
@WHAT
@INSTANCES
@PERIOD
@MINUTES
@JSON
def model_command(what, instances, period, minutes, as_json) -> None:
    """Plays WHAT on the modelled network and prints its time line; exits with 1 if a rule was broken."""
    outcome = model.play(fleet_of(what, instances, period, minutes))
    if as_json:
        click.echo(orjson.dumps(table(outcome), option=orjson.OPT_INDENT_2))
    else:
        for line in outcome.lines:
            click.echo(line)
        report(outcome)
    raise click.exceptions.Exit(1 if outcome.violations else 0)


@rig.command("script")
@click.argument("seed", type=int)
@INSTANCES
@PERIOD
@MINUTES
def script_command(seed: int, instances: int, period: str, minutes: float) -> None:
    """Prints a seed's script as a file, to be changed by hand."""
    click.echo(
        script.encode(script.draw(seed, instances, Duration.parse(period), minutes)).decode(), nl=False
    )


def table(outcome: Outcome) -> dict:
    return {
        "violations": outcome.violations, "counts": dict(outcome.counts), "hours": outcome.hours,
        "first_ms": [us // 1000 for us in outcome.first], "full_ms": [us // 1000 for us in outcome.full],
    }  # fmt: skip


def report(outcome: Outcome) -> None:
    for text in outcome.violations:
        click.echo(f"BROKEN {text}")
    counts = " ".join(f"{name}={count}" for name, count in sorted(outcome.counts.items()))
    click.echo(f"{len(outcome.violations)} broken, {outcome.hours:.3f} instance-hours; {counts}")
    for name, spans in (("first to know", outcome.first), ("all know", outcome.full)):
        if spans:
            ordered = sorted(spans)
            middle, late = (
                ordered[len(ordered) // 2],
                ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)],
            )
            click.echo(f"an end, {name}: p50 {middle / 1e6:.2f} s, p99 {late / 1e6:.2f} s of {len(ordered)}")
