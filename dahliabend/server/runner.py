"""Running one server on its event loop, from its creation to the end of its shutdown."""

import asyncio
import gc
import signal
from collections.abc import Callable
from typing import Protocol

from dahliabend.server.log import Log

TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class RunnableServer(Protocol):
    """A server that can be run until it has stopped."""

    async def start(self) -> None:
        """Start accepting clients."""

    async def end(self) -> None:
        """Wait until the server has stopped."""


async def run_server(make_server: Callable[[], RunnableServer], log: Log) -> None:
    """Create a server and run it until it has stopped.

    Args:
        make_server: Creates the server; called once the event loop and the log are ready.
        log: The event log, which also gets unhandled exceptions.
    """
    loop = asyncio.get_running_loop()
    log.attach(loop)
    loop.set_exception_handler(
        lambda _, context: log(
            "exception.unhandled", message=context.get("message"), reason=repr(context.get("exception"))
        )
    )
    server = make_server()
    # The objects created so far live as long as the process, so garbage collections need not traverse them.
    # Collected before anything connects: a pause longer than the connect timeout would fail connections.
    gc.collect()
    gc.freeze()
    await server.start()
    await server.end()
    # The event loop removes its signal handlers when it ends: a late signal would then end the process with a
    # status other than 0.
    signal.pthread_sigmask(signal.SIG_BLOCK, TERMINATION_SIGNALS)
