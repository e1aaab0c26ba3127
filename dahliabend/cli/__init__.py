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
        status = group.main(prog_name="dahliabend", standalone_mode=False)
        return status if isinstance(status, int) else 0
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 130
    except ValueError as error:
        print(f"dahliabend: {error}", file=sys.stderr)
        return 2
