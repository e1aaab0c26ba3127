"""`python -m dahliabend`: one balancer on sockets, as the file at PROXY_CONFIG says."""

import os
import signal
import sys


def main() -> int:
    """With arguments it is a command line, and nothing of what serves is imported for it."""
    if len(sys.argv) > 1:
        from dahliabend.cli import main as commands

        return commands()
    return run()


def run() -> int:
    import uvloop

    from dahliabend.config.platform import read_server_settings
    from dahliabend.server.log import Log
    from dahliabend.server.platform_server import BLOCKED_SIGNALS, serve_platform

    # Its default would end the program, and the file may be replaced just after it was read here.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    try:
        node = read_server_settings(os.environ)
    except ValueError as error:  # msgspec's errors are a kind of it
        print(f"dahliabend: {error}", file=sys.stderr)
        return 2
    log = Log(node.name, node.verbose)
    try:
        uvloop.run(serve_platform(node, log))
    except OSError as error:
        log("failed", why=str(error))
        return 1
    finally:
        log.end()
    return 0


if __name__ == "__main__":
    sys.exit(main())
