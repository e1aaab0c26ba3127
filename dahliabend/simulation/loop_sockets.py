"""The interfaces of sockets, servers and networks that simulated processes and their event loops use."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from dahliabend.simulation.addresses import Address

ProcessType = TypeVar("ProcessType", contravariant=True)


class LoopServer(Protocol):
    """The part of `asyncio.Server` that is used."""

    @property
    def sockets(self) -> Sequence["LoopSocket"]:
        """Listening sockets of the server."""

    def close(self) -> None:
        """Stop accepting connections."""

    async def wait_closed(self) -> None:
        """Wait until the server is closed."""


class LoopSocket(Protocol):
    """The interface of a socket to its process and its event loop."""

    def fileno(self) -> int:
        """Implement `socket.socket.fileno`."""

    def bind(self, address: Address) -> None:
        """Implement `socket.socket.bind`."""

    def listen(self, backlog: int) -> None:
        """Implement `socket.socket.listen`."""

    def close(self) -> None:
        """Implement `socket.socket.close`."""

    def connect(self, address: Address, future: asyncio.Future[None]) -> None:
        """Start to connect; the future is done when the connect has succeeded or failed."""

    def cancel_connect(self) -> None:
        """Give up a connect whose caller was cancelled."""

    def reader_added(self) -> None:
        """Note that the owner has added a reader for the descriptor and waits for connections."""

    def abort_on_process_exit(self) -> None:
        """Close or reset the connection as the operating system does for a terminated process."""

    def create_transport(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: asyncio.BaseProtocol,
        waiter: asyncio.Future[None] | None,
    ) -> asyncio.Transport:
        """Create a transport over this connected socket; `waiter` is done once the protocol is connected."""

    def create_server(
        self, loop: asyncio.AbstractEventLoop, protocol_factory: Callable[[], asyncio.BaseProtocol]
    ) -> LoopServer:
        """Create a server that accepts the connections of this listening socket."""


class LoopNetwork(Protocol[ProcessType]):
    """The network from which event loops get their sockets."""

    def socket(self, process: ProcessType) -> LoopSocket:
        """Create a socket that belongs to a process."""
