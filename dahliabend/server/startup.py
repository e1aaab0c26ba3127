"""Entry point of a server that the platform's file configures; PROXY_CONFIG holds the path of that file."""

import os
import signal
import sys

import uvloop

from dahliabend.config.platform import read_server_settings
from dahliabend.server.lifecycle import BLOCKED_SIGNALS
from dahliabend.server.log import Log
from dahliabend.server.platform_server import serve_platform

EXIT_OK = 0
EXIT_FAILED = 1  # the server can't listen on an address, or another error of the operating system
EXIT_INVALID_CONFIGURATION = 2


def run() -> int:
    """Serve until a signal stops the process; return its exit status."""
    # SIGHUP ends the process by default, and a reload may be requested as soon as the file has been read.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    try:
        settings = read_server_settings(os.environ)
    except ValueError as error:  # the base class of msgspec's errors, too
        print(f"dahliabend: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    log = Log(settings.name, settings.verbose)
    try:
        uvloop.run(serve_platform(settings, log))
    except OSError as error:
        log.detach()
        log("server.start_failed", reason=str(error))
        return EXIT_FAILED
    finally:
        log.close()
    return EXIT_OK
