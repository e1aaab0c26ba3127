"""The command line. `python -m dahliabend` without arguments serves and imports nothing from this package."""

import sys

EXIT_USAGE = 2
EXIT_ABORTED = 130  # the exit status that a shell reports for an interrupt


def main() -> int:
    """Run the command that the arguments name.

    Returns:
        The exit status.
    """
    try:
        import click
        import rich  # noqa: F401 - only to check that it is installed
    except ImportError as error:
        print(f"dahliabend: {error.name} is missing: pip install 'dahliabend[tools]'", file=sys.stderr)
        return EXIT_USAGE
    from dahliabend.cli.commands import group

    try:
        status = group.main(prog_name="dahliabend", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return EXIT_ABORTED
    except ValueError as error:
        print(f"dahliabend: {error}", file=sys.stderr)
        return EXIT_USAGE
    return status if isinstance(status, int) else 0
