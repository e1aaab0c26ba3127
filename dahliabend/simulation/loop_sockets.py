"""What a simulated process and its event loop need of sockets, whichever network these belong to."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from dahliabend.simulation.addresses import Address

ProcessType = TypeVar("ProcessType", contravariant=True)


class LoopServer(Protocol):
    """What `loop.create_server` returns, as far as it is used."""

    @property
    def sockets(self) -> Sequence["LoopSocket"]:
        """The listening sockets."""

    def close(self) -> None:
        """Accept no more."""

    async def wait_closed(self) -> None:
        """Wait until it is closed."""


class LoopSocket(Protocol):
    """A socket as its process and its event loop use it."""

    def fileno(self) -> int:
        """As `socket.socket`."""

    def bind(self, address: Address) -> None:
        """As `socket.socket`."""

    def listen(self, backlog: int) -> None:
        """As `socket.socket`."""

    def close(self) -> None:
        """As `socket.socket`."""

    def connect(self, address: Address, future: asyncio.Future[None]) -> None:
        """Connect; the future is done when that has succeeded or failed."""

    def cancel_connect(self) -> None:
        """Nobody waits for the connection any more."""

    def reader_added(self) -> None:
        """Its owner waits for connections."""

    def abort_on_process_exit(self) -> None:
        """End it as the system does for a dead process."""

    def create_transport(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: asyncio.BaseProtocol,
        waiter: asyncio.Future[None] | None,
    ) -> asyncio.Transport:
        """A transport over this connected socket; the waiter is done once the protocol is connected."""

    def create_server(
        self, loop: asyncio.AbstractEventLoop, protocol_factory: Callable[[], asyncio.BaseProtocol]
    ) -> LoopServer:
        """A server that accepts the connections of this listening socket."""


class LoopNetwork(Protocol[ProcessType]):
    """Where event loops have their sockets from."""

    def socket(self, process: ProcessType) -> LoopSocket:
        """A new socket of a process."""
