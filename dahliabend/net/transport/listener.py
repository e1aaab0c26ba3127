"""Where connections come in."""

import asyncio
from collections.abc import Callable

BACKLOG = 1024


class Listener:
    def __init__(self) -> None:
        self.server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int], accept: Callable[[], asyncio.BaseProtocol]) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(accept, *address, backlog=BACKLOG, reuse_address=True)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
