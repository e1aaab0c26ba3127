"""All commands, each of a module of its own, imported when it is called."""

import importlib

import click

PLACES = {
    "emulate": "dahliabend.cli.emulate:emulate",
    "check": "dahliabend.cli.routes:check",
    "show": "dahliabend.cli.routes:show",
    "explain": "dahliabend.cli.routes:explain",
    "diff": "dahliabend.cli.routes:diff",
    "members": "dahliabend.cli.members:members",
    "rig": "dahliabend.cli.rig:rig",
    "subset": "dahliabend.cli.subset:subset",
    "signals": "dahliabend.cli.signals:signals",
    "turns": "dahliabend.cli.turns:turns",
}
HELP = {
    "emulate": "The network code on a virtual clock, against faults from seeds or files.",
    "check": "Says all that is wrong with an operator's file, by line.",
    "show": "Every setting in force, and the line that says it.",
    "explain": "Which route a request takes, why, what will be tried and for how long.",
    "diff": "What a reload from one file to another would change.",
    "members": "Who else balances: alive, suspected, gone, by whom and since when.",
    "rig": "Real processes of the program on loopback, with faults between them.",
    "signals": "What balancers tell each other of upstreams, and what is believed.",
    "turns": "What balancers do in turn: who does it, under which number, when last.",
    "subset": "Who of many balancers uses which upstreams, and what an event moves.",
}


class Lazy(click.Group):
    """One command's libraries are not loaded for another."""

    def list_commands(self, context) -> list[str]:
        return sorted([*super().list_commands(context), *PLACES])

    def get_command(self, context, name: str):
        if name not in PLACES:
            return super().get_command(context, name)
        module, _, attribute = PLACES[name].partition(":")
        try:
            return getattr(importlib.import_module(module), attribute)
        except ModuleNotFoundError as error:
            raise click.ClickException(f"{error.name} is missing: pip install 'dahliabend[tools]'") from None

    def format_commands(self, context, formatter) -> None:
        own = [
            (name, super(Lazy, self).get_command(context, name)) for name in super().list_commands(context)
        ]
        rows = {name: command.get_short_help_str(80) for name, command in own} | HELP
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows.items()))


@click.group(cls=Lazy)
def group() -> None:
    """A load balancer for services that call services.

    Without arguments it serves, as the file at PROXY_CONFIG says.
    """


@group.command()
@click.option("--json", "as_json", is_flag=True)
def version(as_json: bool) -> None:
    """The version of this program."""
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    import dahliabend

    try:
        number = installed("dahliabend")
    except PackageNotFoundError:  # run from a checkout
        number = dahliabend.__version__
    click.echo(f'{{"version": "{number}"}}' if as_json else f"dahliabend {number}")


@group.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """What SHELL has to read for completion: `source <(dahliabend completion bash)`."""
    from click.shell_completion import get_completion_class

    made = get_completion_class(shell)(group, {}, "dahliabend", "_DAHLIABEND_COMPLETE")
    click.echo(made.source())


@group.command()
@click.option("--json", "as_json", is_flag=True)
def events(as_json: bool) -> None:
    """Every event that a balancer logs, as docs/events.md has them."""
    import json

    from dahliabend.server.log_events import EVENTS, page

    if as_json:
        rows = {name: {"level": e.level, "when": e.when, "fields": e.fields} for name, e in EVENTS.items()}
        click.echo(json.dumps(rows, indent=2))
    else:
        click.echo(page(), nl=False)


@group.command()
@click.argument("file", required=False)
def serve(file: str | None) -> None:
    """Serves: by an operator's FILE, or without one as PROXY_CONFIG says."""
    from dahliabend.server.startup import run

    if file is None:
        raise click.exceptions.Exit(run())
    import signal

    import uvloop

    from dahliabend.server.lifecycle import BLOCKED_SIGNALS
    from dahliabend.server.operator_file_loading import InvalidOperatorFileError
    from dahliabend.server.operator_file_server import serve_operator_file
    from dahliabend.server.structured_log import StructuredLog

    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    log = StructuredLog("dahliabend")
    try:
        uvloop.run(serve_operator_file(file, log))
    except InvalidOperatorFileError as error:
        for fault in error.faults:
            click.echo(str(fault), err=True)
        raise click.exceptions.Exit(2) from None
    except OSError as error:
        log("failed", why=str(error))
        raise click.exceptions.Exit(1) from None
    finally:
        log.end()
