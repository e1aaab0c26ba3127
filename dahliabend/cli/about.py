"""`dahliabend version`, `completion` and `events`: information about the program itself."""

from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed_version

import click

import dahliabend
from dahliabend.cli.output import print_json


@click.command()
@click.option("--json", "as_json", is_flag=True)
def version(*, as_json: bool) -> None:
    """Print the version of this program."""
    try:
        number = installed_version("dahliabend")
    except PackageNotFoundError:  # run from a checkout
        number = dahliabend.__version__
    click.echo(f'{{"version": "{number}"}}' if as_json else f"dahliabend {number}")


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print a completion script for SHELL: `source <(dahliabend completion bash)`."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.ClickException(f"no completion for {shell}")
    root = context.find_root().command
    click.echo(completion_class(root, {}, "dahliabend", "_DAHLIABEND_COMPLETE").source())


@click.command()
@click.option("--json", "as_json", is_flag=True)
def events(*, as_json: bool) -> None:
    """Print every event that a balancer logs, as in docs/events.md."""
    from dahliabend.server.log_events import EVENTS, page

    if as_json:
        rows = {
            name: {"level": event.level, "when": event.when, "fields": event.fields}
            for name, event in EVENTS.items()
        }
        print_json(rows)
    else:
        click.echo(page(), nl=False)
