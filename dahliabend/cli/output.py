"""Options and output that commands share."""

import json
import sys

import click
from rich.console import Console
from rich.table import Table

json_option = click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")


def print_json(value: object) -> None:
    """Print a value for programs; what JSON has no form for is printed as text."""
    click.echo(json.dumps(value, indent=2, default=str))


def print_table(table: Table, width: int) -> None:
    """Print a table as wide as the terminal, or as this number of characters where there is none."""
    Console(width=None if sys.stdout.isatty() else width).print(table)
