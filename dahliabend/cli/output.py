"""The options and output functions that commands share."""

import json
import sys

import click
from rich.console import Console
from rich.table import Table

json_option = click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")


def print_json(value: object) -> None:
    """Print a value as JSON; values without a JSON form are printed as strings."""
    click.echo(json.dumps(value, indent=2, default=str))


def print_table(table: Table, width: int) -> None:
    """Print a table with the width of the terminal, or with this width in characters without a terminal."""
    Console(width=None if sys.stdout.isatty() else width).print(table)
