"""The run of one server on its event loop: made, started, waited for."""

import asyncio
import gc
from collections.abc import Callable
from typing import Protocol

from dahliabend.server.log import Log


class RunnableServer(Protocol):
    """A server that can be run until it has stopped."""

    async def start(self) -> None:
        """Start accepting clients."""

    async def end(self) -> None:
        """Wait until it has stopped."""


async def run_server(make_server: Callable[[], RunnableServer], log: Log) -> None:
    """Make a server and run it until it has stopped.

    Args:
        make_server: Called once the event loop and the log are ready.
        log: Where faults of the program itself are logged.
    """
    loop = asyncio.get_running_loop()
    log.attach(loop)
    loop.set_exception_handler(
        lambda _, context: log(
            "exception.unhandled", message=context.get("message"), reason=repr(context.get("exception"))
        )
    )
    server = make_server()
    # What was made by now stays: no later garbage collection need walk it. Done before anything is connected:
    # a pause longer than the connect timeout would have connections given up.
    gc.collect()
    gc.freeze()
    await server.start()
    await server.end()
