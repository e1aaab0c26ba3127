"""The group of all commands; those that need libraries of their own are imported when they are called."""

import importlib
from typing import NamedTuple

import click

from dahliabend.cli.about import completion, events, version
from dahliabend.cli.serve import serve

MAX_HELP_CHARACTERS = 80


class LazyCommand(NamedTuple):
    """A command that is imported when it is called."""

    module: str  # below this package
    attribute: str  # of the module
    help: str


LAZY_COMMANDS = {
    "check": LazyCommand(
        "operator_file", "check", "Says all that is wrong with an operator's file, by line."
    ),
    "diff": LazyCommand("operator_file", "diff", "What a reload from one file to another would change."),
    "explain": LazyCommand(
        "operator_file",
        "explain",
        "Which route a request takes, why, what will be tried and for how long.",
    ),
    "members": LazyCommand(
        "membership", "members", "Who else balances: alive, suspected, gone, by whom and since when."
    ),
    "process-test": LazyCommand(
        "process_tests",
        "process_tests",
        "Real processes of the program on loopback, with faults between them.",
    ),
    "show": LazyCommand("operator_file", "show", "Every setting in force, and the line that says it."),
    "signals": LazyCommand(
        "peer_state", "signals", "What balancers tell each other of upstreams, and what is believed."
    ),
    "simulate": LazyCommand(
        "simulation", "simulate", "The network code on a virtual clock, against faults from seeds or files."
    ),
    "subset": LazyCommand(
        "subsetting", "subset", "Who of many balancers uses which upstreams, and what an event moves."
    ),
    "turns": LazyCommand(
        "peer_state",
        "leases",
        "What balancers do in turn: who does it, under which number, when last.",
    ),
}

# Names that commands had before; they keep working, and no help shows them.
FORMER_NAMES = {"emulate": "simulate", "rig": "process-test"}


class LazyGroup(click.Group):
    """A group in which one command's libraries are not loaded for another."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """The names of all commands, without those that they had before."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """The command that the arguments name, and its arguments; a former name stands for today's."""
        name = FORMER_NAMES.get(args[0], args[0])
        return super().resolve_command(ctx, [name, *args[1:]])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """The command of a name; None if there is none.

        Raises:
            click.ClickException: A library that it needs is not installed.
        """
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        lazy = LAZY_COMMANDS[cmd_name]
        try:
            module = importlib.import_module(f"dahliabend.cli.{lazy.module}")
        except ModuleNotFoundError as error:
            raise click.ClickException(f"{error.name} is missing: pip install 'dahliabend[tools]'") from None
        command: click.Command = getattr(module, lazy.attribute)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write each command's short help, without importing it."""
        rows = {name: lazy.help for name, lazy in LAZY_COMMANDS.items()}
        for name in super().list_commands(ctx):
            command = super().get_command(ctx, name)
            if command is not None:
                rows[name] = command.get_short_help_str(MAX_HELP_CHARACTERS)
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows.items()))


@click.group(cls=LazyGroup)
def group() -> None:
    """A load balancer for services that call services.

    Without arguments it serves, as the file at PROXY_CONFIG says.
    """


group.add_command(version)
group.add_command(completion)
group.add_command(events)
group.add_command(serve)
