"""`python -m dahliabend`: serves as the file at PROXY_CONFIG says; with arguments, the command line."""

import sys


def main() -> int:
    """Run the program and return its exit status.

    What serves and the command line import nothing of each other: only the one that is wanted is loaded.
    """
    if len(sys.argv) > 1:
        from dahliabend.cli import main as run_command

        return run_command()
    from dahliabend.server.startup import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
