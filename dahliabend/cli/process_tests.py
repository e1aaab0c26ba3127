"""`dahliabend process-test`: a cluster with faults between its members, as real processes or as a model."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import click
import orjson
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from dahliabend.config.operator_file.units import Duration
from dahliabend.simulation.cluster import model, script
from dahliabend.simulation.cluster.invariants import Outcome

MAX_INSTANCES = 64
MAX_UPSTREAMS = 64
MICROSECONDS_PER_MILLISECOND = 1000
MICROSECONDS_PER_SECOND = 1e6
STEP_MARK = "STEP"  # in each line of the time line at which a step of the script begins

instances_option = click.option(
    "--instances", type=click.IntRange(2, MAX_INSTANCES), default=5, show_default=True
)
period_option = click.option("--period", default="200ms", show_default=True, help="Of a drawn fleet.")
minutes_option = click.option(
    "--minutes", type=float, default=2.0, show_default=True, help="Of a drawn fleet."
)
json_option = click.option(
    "--json", "as_json", is_flag=True, help="As JSON, for programs; without the time line."
)


def _with_cluster(command: Callable[..., None]) -> Callable[..., None]:
    """Call a command with the cluster that an argument and options name, in place of these."""

    @click.argument("what", metavar="FILE|SEED")
    @instances_option
    @period_option
    @minutes_option
    @functools.wraps(command)
    def call_with_cluster(
        *, what: str, instances: int, period: str, minutes: float, **options: object
    ) -> None:
        """Draw the cluster or read its file."""
        command(_load_cluster(what, instances, period, minutes), **options)

    return call_with_cluster


def _load_cluster(what: str, instances: int, period: str, minutes: float) -> script.ClusterScript:
    """A seed's, or a file's."""
    if what.isascii() and what.isdigit():
        return script.draw(int(what), instances, Duration.parse(period), minutes)
    return script.SCRIPT_FILES.read(what)


@click.group("process-test")
def process_tests() -> None:
    """Real processes of the program on loopback, with faults between them."""


@process_tests.command()
@_with_cluster
@json_option
@click.option("--times", type=click.IntRange(1), default=1, show_default=True, help="One after the other.")
@click.option("--traffic", type=float, default=0.0, help="Transactions a second over the fleet.")
@click.option("--upstreams", type=click.IntRange(1, MAX_UPSTREAMS), default=4, show_default=True)
@click.option("--quiet", is_flag=True, help="Only what came of it.")
def run(
    cluster: script.ClusterScript, *, as_json: bool, times: int, traffic: float, upstreams: int, quiet: bool
) -> None:
    """Runs WHAT between real processes; exits with 1 if a rule was broken.

    Bounded by its script; everything stays on 127.0.0.1, and every process that it starts it ends.
    """
    prints_progress = not quiet and not as_json
    progress = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=Console(stderr=True),
        disable=not prints_progress,
    )
    outcomes = []
    with progress:
        task = progress.add_task("steps", total=len(cluster.steps) * times)

        def print_line(line: str) -> None:
            """Show one line of the time line."""
            if STEP_MARK in line:
                progress.advance(task)
            if prints_progress:
                progress.console.print(line, highlight=False, markup=False)

        for _ in range(times):
            outcome = _run_processes(cluster, traffic, upstreams, print_line)
            outcomes.append(outcome)
            if not as_json:
                _print_outcome(outcome)
    broken = sum(bool(outcome.violations) for outcome in outcomes)
    if as_json:
        rows = list(map(_outcome_json, outcomes))
        click.echo(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    elif times > 1:
        click.echo(f"{times - broken} of {times} without a break")
    raise click.exceptions.Exit(1 if broken else 0)


def _run_processes(
    cluster: script.ClusterScript, traffic: float, upstreams: int, print_line: Callable[[str], None]
) -> Outcome:
    from dahliabend.process_tests.runner import ProcessTestRunner

    return asyncio.run(ProcessTestRunner(cluster, traffic, upstreams, print_line).run_script())


@process_tests.command("model")
@_with_cluster
@json_option
def model_command(cluster: script.ClusterScript, *, as_json: bool) -> None:
    """Runs WHAT on the modelled network and prints its time line; exits with 1 if a rule was broken."""
    outcome = model.run_script(cluster)
    if as_json:
        click.echo(orjson.dumps(_outcome_json(outcome), option=orjson.OPT_INDENT_2))
    else:
        for line in outcome.lines:
            click.echo(line)
        _print_outcome(outcome)
    raise click.exceptions.Exit(1 if outcome.violations else 0)


@process_tests.command("script")
@click.argument("seed", type=int)
@instances_option
@period_option
@minutes_option
def script_command(seed: int, instances: int, period: str, minutes: float) -> None:
    """Prints a seed's script as a file, to be changed by hand."""
    cluster = script.draw(seed, instances, Duration.parse(period), minutes)
    click.echo(script.SCRIPT_FILES.encode(cluster).decode(), nl=False)


def _outcome_json(outcome: Outcome) -> dict[str, Any]:
    return {
        "violations": outcome.violations,
        "counts": dict(outcome.counts),
        "hours": outcome.hours,
        "first_ms": [span // MICROSECONDS_PER_MILLISECOND for span in outcome.first],
        "full_ms": [span // MICROSECONDS_PER_MILLISECOND for span in outcome.full],
    }


def _print_outcome(outcome: Outcome) -> None:
    for text in outcome.violations:
        click.echo(f"BROKEN {text}")
    counts = " ".join(f"{name}={count}" for name, count in sorted(outcome.counts.items()))
    click.echo(f"{len(outcome.violations)} broken, {outcome.hours:.3f} instance-hours; {counts}")
    for name, spans in (("first to know", outcome.first), ("all know", outcome.full)):
        if spans:
            median = _quantile(spans, 50) / MICROSECONDS_PER_SECOND
            late = _quantile(spans, 99) / MICROSECONDS_PER_SECOND
            click.echo(f"an end, {name}: p50 {median:.2f} s, p99 {late:.2f} s of {len(spans)}")


def _quantile(spans: list[int], percent: int) -> int:
    ordered = sorted(spans)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]
