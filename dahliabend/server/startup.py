"""Start of the process that serves as the file at PROXY_CONFIG says."""

import os
import signal
import sys

import uvloop

from dahliabend.config.platform import read_server_settings
from dahliabend.server.lifecycle import BLOCKED_SIGNALS
from dahliabend.server.log import Log
from dahliabend.server.platform_server import serve_platform

EXIT_OK = 0
EXIT_FAILED = 1  # an address can't be listened on, or another failure of the system
EXIT_INVALID_CONFIGURATION = 2


def run() -> int:
    """Serve until the process is told to stop; return its exit status."""
    # By default the signal would end the process, and the file may be replaced just after it was read here.
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
    try:
        settings = read_server_settings(os.environ)
    except ValueError as error:  # msgspec's errors are a kind of it
        print(f"dahliabend: {error}", file=sys.stderr)
        return EXIT_INVALID_CONFIGURATION
    log = Log(settings.name, settings.verbose)
    try:
        uvloop.run(serve_platform(settings, log))
    except OSError as error:
        log("server.start_failed", reason=str(error))
        return EXIT_FAILED
    finally:
        log.close()
    return EXIT_OK
