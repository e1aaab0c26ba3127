"""`python -m dahliabend`: serves with the file at PROXY_CONFIG; with arguments, runs the command line."""

import sys


def main() -> int:
    """Run the program and return its exit status.

    The server and the command line don't import each other, so that only the one in use is loaded.
    """
    if len(sys.argv) > 1:
        from dahliabend.cli import main as run_command

        return run_command()
    from dahliabend.server.startup import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
