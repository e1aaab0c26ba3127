"""The command line. `python -m dahliabend` without arguments serves and imports nothing of this."""

import sys


def main() -> int:
    try:
        import click
        import rich  # noqa: F401
    except ImportError as error:
        print(f"dahliabend: {error.name} is missing: pip install 'dahliabend[tools]'", file=sys.stderr)
        return 2
    from dahliabend.cli.commands import group

    try:
        group.main(prog_name="dahliabend", standalone_mode=False)
    except click.exceptions.Exit as end:
        return end.exit_code
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 130
    except ValueError as error:
        print(f"dahliabend: {error}", file=sys.stderr)
        return 2
    return 0
