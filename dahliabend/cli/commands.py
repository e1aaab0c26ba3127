"""The group of all commands; commands that need optional libraries are imported only when they are called."""

import importlib
from typing import NamedTuple

import click

from dahliabend.cli.about import completion, events, version
from dahliabend.cli.serve import serve

MAX_HELP_CHARACTERS = 80


class LazyCommand(NamedTuple):
    """A command that is imported when it is called."""

    module: str  # name of a module in this package
    attribute: str  # name of the command in the module
    help: str


LAZY_COMMANDS = {
    "check": LazyCommand(
        "operator_file", "check", "Report all faults of operators' files, with their lines."
    ),
    "diff": LazyCommand("operator_file", "diff", "Show what a reload from one file to another would change."),
    "explain": LazyCommand(
        "operator_file",
        "explain",
        "Show which route a request takes and why, and which attempts may be made with which timeouts.",
    ),
    "members": LazyCommand(
        "membership", "members", "Show the members of a cluster with their states, as one balancer sees them."
    ),
    "process-test": LazyCommand(
        "process_tests",
        "process_tests",
        "Run a cluster of real processes on loopback, with faults between them.",
    ),
    "show": LazyCommand(
        "operator_file", "show", "Show the settings of an operator's file, with their lines."
    ),
    "signals": LazyCommand(
        "peer_state",
        "signals",
        "Show the health reports that balancers exchange, and the suspected upstreams.",
    ),
    "simulate": LazyCommand(
        "simulation", "simulate", "Run the network code on a virtual clock, with faults from seeds or files."
    ),
    "subset": LazyCommand(
        "subsetting", "subset", "Show which balancers use which upstreams, and what the loss of one changes."
    ),
    "turns": LazyCommand(
        "peer_state",
        "leases",
        "Show the leases of shared health checks: holder, fencing token and last result.",
    ),
}

# Former names of commands: they still work, but the help does not list them.
FORMER_NAMES = {"emulate": "simulate", "rig": "process-test"}


class LazyGroup(click.Group):
    """A group that imports the module of a command only when the command is called."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, without former names."""
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Return the command that the arguments name and its arguments; former names are replaced."""
        name = FORMER_NAMES.get(args[0], args[0])
        return super().resolve_command(ctx, [name, *args[1:]])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command with this name; None if there is none.

        Raises:
            click.ClickException: A library that the command needs is not installed.
        """
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        command_import = LAZY_COMMANDS[cmd_name]
        try:
            module = importlib.import_module(f"dahliabend.cli.{command_import.module}")
        except ModuleNotFoundError as error:
            raise click.ClickException(f"{error.name} is missing: pip install 'dahliabend[tools]'") from None
        command: click.Command = getattr(module, command_import.attribute)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the short help of each command, without importing lazy commands."""
        rows = {name: command_import.help for name, command_import in LAZY_COMMANDS.items()}
        for name in super().list_commands(ctx):
            command = super().get_command(ctx, name)
            if command is not None:
                rows[name] = command.get_short_help_str(MAX_HELP_CHARACTERS)
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows.items()))


@click.group(cls=LazyGroup)
def group() -> None:
    """Run and inspect a load balancer for services that call services.

    Without arguments it serves with the settings of the file at PROXY_CONFIG.
    """


group.add_command(version)
group.add_command(completion)
group.add_command(events)
group.add_command(serve)
