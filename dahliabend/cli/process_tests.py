"""`dahliabend process-test`: runs a script of a cluster with faults, in real processes or simulated."""

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
MAX_SOAK_ACTIONS = 100
MAX_SOAK_JOBS = 8
MAX_SHOWN_VIOLATIONS = 6  # of a run
MICROSECONDS_PER_MILLISECOND = 1000
MICROSECONDS_PER_SECOND = 1e6
STEP_MARK = "STEP"  # in the lines of the time line at which a step of the script begins

instances_option = click.option(
    "--instances", type=click.IntRange(2, MAX_INSTANCES), default=5, show_default=True
)
period_option = click.option("--period", default="200ms", show_default=True, help="Of a generated cluster.")
minutes_option = click.option(
    "--minutes", type=float, default=2.0, show_default=True, help="Of a generated cluster."
)
json_option = click.option(
    "--json", "as_json", is_flag=True, help="As JSON, for programs; without the time line."
)


def _with_script(command: Callable[..., None]) -> Callable[..., None]:
    """Decorate a command so that it gets the script that its argument and options select."""

    @click.argument("file_or_seed", metavar="FILE|SEED")
    @instances_option
    @period_option
    @minutes_option
    @functools.wraps(command)
    def call_with_script(
        *, file_or_seed: str, instances: int, period: str, minutes: float, **options: object
    ) -> None:
        """Generate the script or read it from its file, and call the command with it."""
        command(_load_script(file_or_seed, instances, period, minutes), **options)

    return call_with_script


def _load_script(file_or_seed: str, instances: int, period: str, minutes: float) -> script.ClusterScript:
    """Generate the script of a seed, or read it from a file."""
    if file_or_seed.isascii() and file_or_seed.isdigit():
        return script.draw(int(file_or_seed), instances, Duration.parse(period), minutes)
    return script.SCRIPT_FILES.read(file_or_seed)


@click.group("process-test")
def process_tests() -> None:
    """Run a cluster of real processes on loopback, with faults between them."""


@process_tests.command()
@_with_script
@json_option
@click.option(
    "--times", type=click.IntRange(1), default=1, show_default=True, help="Runs, one after the other."
)
@click.option("--traffic", type=float, default=0.0, help="Requests per second to the whole cluster.")
@click.option("--upstreams", type=click.IntRange(1, MAX_UPSTREAMS), default=4, show_default=True)
@click.option("--quiet", is_flag=True, help="Only the results.")
def run(
    cluster_script: script.ClusterScript,
    *,
    as_json: bool,
    times: int,
    traffic: float,
    upstreams: int,
    quiet: bool,
) -> None:
    """Run a cluster of real processes; exit with 1 after a violation of an invariant.

    The length of the run is bounded by its script. All traffic stays on 127.0.0.1, and all processes that the
    run starts are ended by it.
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
        task = progress.add_task("steps", total=len(cluster_script.steps) * times)

        def print_line(line: str) -> None:
            """Print a line of the time line, and advance the progress bar at a new step."""
            if STEP_MARK in line:
                progress.advance(task)
            if prints_progress:
                progress.console.print(line, highlight=False, markup=False)

        for _ in range(times):
            outcome = _run_processes(cluster_script, traffic, upstreams, print_line)
            outcomes.append(outcome)
            if not as_json:
                _print_outcome(outcome)
    broken_runs = sum(bool(outcome.violations) for outcome in outcomes)
    if as_json:
        rows = list(map(_outcome_json, outcomes))
        click.echo(orjson.dumps(rows, option=orjson.OPT_INDENT_2))
    elif times > 1:
        click.echo(f"{times - broken_runs} of {times} without a break")
    raise click.exceptions.Exit(1 if broken_runs else 0)


def _run_processes(
    cluster_script: script.ClusterScript, traffic: float, upstreams: int, print_line: Callable[[str], None]
) -> Outcome:
    from dahliabend.process_tests.runner import ProcessTestRunner

    return asyncio.run(ProcessTestRunner(cluster_script, traffic, upstreams, print_line).run_script())


@process_tests.command("soak")
@click.option("--seeds", default="0..50", show_default=True, help="First..last, the last one not run.")
@click.option("--actions", type=click.IntRange(1, MAX_SOAK_ACTIONS), default=4, show_default=True)
@click.option("--jobs", type=click.IntRange(1, MAX_SOAK_JOBS), default=3, show_default=True)
def soak_command(*, seeds: str, actions: int, jobs: int) -> None:
    """Run one balancer under its limits with signals, kills and rude clients; exit with 1 after a violation.

    Each run is drawn from its seed. All traffic stays on 127.0.0.1.
    """
    from dahliabend.process_tests.soak import SoakResult, run_seeds

    first, _, last = seeds.partition("..")
    if not (first.isdigit() and last.isdigit()):
        raise click.BadParameter("a range of seeds is FIRST..LAST", param_hint="--seeds")

    def report(result: SoakResult) -> None:
        click.echo(result.line())
        for violation in result.violations[:MAX_SHOWN_VIOLATIONS]:
            click.echo(f"  BROKEN {violation.strip()}")

    selected = range(int(first), int(last))
    broken = asyncio.run(run_seeds(selected, actions, jobs, report))
    click.echo(f"{len(selected) - broken} of {len(selected)} without a break")
    raise click.exceptions.Exit(1 if broken else 0)


@process_tests.command("model")
@_with_script
@json_option
def model_command(cluster_script: script.ClusterScript, *, as_json: bool) -> None:
    """Run a cluster on a simulated network and print its time line; exit with 1 after a violation."""
    outcome = model.run_script(cluster_script)
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
    """Print the script of a seed as a file that can be edited."""
    cluster_script = script.draw(seed, instances, Duration.parse(period), minutes)
    click.echo(script.SCRIPT_FILES.encode(cluster_script).decode(), nl=False)


def _outcome_json(outcome: Outcome) -> dict[str, Any]:
    return {
        "violations": outcome.violations,
        "counts": dict(outcome.counts),
        "hours": outcome.hours,
        "first_ms": [duration // MICROSECONDS_PER_MILLISECOND for duration in outcome.first],
        "full_ms": [duration // MICROSECONDS_PER_MILLISECOND for duration in outcome.full],
    }


def _print_outcome(outcome: Outcome) -> None:
    for text in outcome.violations:
        click.echo(f"BROKEN {text}")
    counts = " ".join(f"{name}={count}" for name, count in sorted(outcome.counts.items()))
    click.echo(f"{len(outcome.violations)} broken, {outcome.hours:.3f} instance-hours; {counts}")
    for name, durations in (("first to know", outcome.first), ("all know", outcome.full)):
        if durations:
            p50 = _quantile(durations, 50) / MICROSECONDS_PER_SECOND
            p99 = _quantile(durations, 99) / MICROSECONDS_PER_SECOND
            click.echo(f"an end, {name}: p50 {p50:.2f} s, p99 {p99:.2f} s of {len(durations)}")


def _quantile(durations: list[int], percent: int) -> int:
    ordered = sorted(durations)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]
