"""Sockets of simulated processes, and servers: what the network code and asyncio see of connections."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.connections import ECONNRESET, ConnectionEnd
from dahliabend.simulation.event_loop import Process, Scheduler

EAGAIN = 11
ENOTCONN = 107
NO_LINGER = b"\0\0\0\0"  # the first field of the option's value


class SocketTransport(Protocol):
    """A transport as its socket uses it."""

    write_buffer_size: int  # bytes that the system has not accepted

    def on_readable(self) -> None:
        """Bytes, the end or a reset have come."""

    def on_writable(self) -> None:
        """The system has room for more bytes."""


TransportFactory = Callable[
    [asyncio.AbstractEventLoop, "Socket", asyncio.BaseProtocol, "asyncio.Future[None] | None"],
    asyncio.Transport,
]


class SocketNetwork(Protocol):
    """The network as its sockets use it."""

    scheduler: Scheduler
    listeners: dict[Address, "ListenQueue"]
    transport_factory: TransportFactory

    def allocate_descriptor(self, process: Process) -> int:
        """A new descriptor.

        Raises:
            OSError: the process has as many as it may.
        """

    def ephemeral_port(self) -> int:
        """A port that nobody uses."""

    def listen(self, address: Address, backlog: int) -> "ListenQueue":
        """A new queue of connections.

        Raises:
            OSError: another socket listens there.
        """

    def connect(self, sock: "Socket", address: Address, future: asyncio.Future[None]) -> None:
        """Connect a socket; the future is done when that has succeeded or failed."""


class ListenQueue:
    """Connections that wait at an address to be accepted; several sockets may listen there."""

    def __init__(self, network: SocketNetwork, address: Address, backlog: int) -> None:
        self.network = network
        self.address = address
        self.backlog = backlog
        self.queue: deque[ConnectionEnd] = deque()
        self.holders: list[Socket] = []

    def enqueue(self, end: ConnectionEnd) -> None:
        """A connection has come up; whoever waits for one is notified."""
        self.queue.append(end)
        for holder in self.holders:
            if self.queue:
                holder.notify_readable()

    def remove_holder(self, holder: "Socket") -> None:
        """A socket no longer listens; the last one takes the address and the queue with it."""
        self.holders.remove(holder)
        if not self.holders:
            self.network.listeners.pop(self.address, None)
            for end in self.queue:
                end.reset()
            self.queue.clear()


class Socket:
    """A socket, as far as `socket.socket` is used, on a connection or listening at an address."""

    def __init__(
        self,
        network: SocketNetwork,
        process: Process,
        end: ConnectionEnd | None = None,
        listen_queue: ListenQueue | None = None,
    ) -> None:
        self.network = network
        self.process = process
        self.end = end
        self.listen_queue = listen_queue
        self.descriptor = network.allocate_descriptor(process)
        process.sockets[self.descriptor] = self
        process.peak_sockets = max(process.peak_sockets, len(process.sockets))
        self.closed = False
        self.read_scheduled = False
        self.resets_on_close = False
        self.transport: SocketTransport | None = None
        self.address: Address = ("", 0)
        if end is not None:
            end.sock = self
        if listen_queue is not None:
            listen_queue.holders.append(self)

    @property
    def connected_end(self) -> ConnectionEnd:
        """Its end of the connection.

        Raises:
            OSError: it has none.
        """
        if self.end is None:
            raise OSError(ENOTCONN, "not connected")
        return self.end

    # As `socket.socket` has it.

    def setblocking(self, _flag: bool) -> None:
        """Nothing to do: it never blocks."""

    def setsockopt(self, _level: int, option: int, value: Any) -> None:  # noqa: ANN401 -- by option
        """Set an option; only SO_LINGER has an effect."""
        if option == socket.SO_LINGER:
            self.resets_on_close = value[: len(NO_LINGER)] != NO_LINGER

    def getsockopt(self, _level: int, option: int) -> int:
        """Get an option; only SO_ACCEPTCONN is known."""
        return int(option == socket.SO_ACCEPTCONN and self.listen_queue is not None)

    def getsockname(self) -> Address:
        """As `socket.socket`."""
        return self.end.local if self.end is not None else self.address

    def getpeername(self) -> Address:
        """As `socket.socket`."""
        return self.connected_end.remote

    def fileno(self) -> int:
        """As `socket.socket`."""
        return -1 if self.closed else self.descriptor

    def bind(self, address: Address) -> None:
        """As `socket.socket`."""
        host, port = address
        self.address = (host, port or self.network.ephemeral_port())

    def listen(self, backlog: int) -> None:
        """As `socket.socket`."""
        self.listen_queue = self.network.listen(self.address, backlog)
        self.listen_queue.holders.append(self)

    def connect(self, address: Address, future: asyncio.Future[None]) -> None:
        """Connect; the future tells when that has succeeded or failed."""
        self.network.connect(self, address, future)

    def cancel_connect(self) -> None:
        """Nothing to do: the future is done, and a connection that comes up late is closed."""

    def accept(self) -> tuple["Socket", Address]:
        """As `socket.socket`.

        Raises:
            OSError: nothing waits, or the socket does not listen.
        """
        if self.listen_queue is None:
            raise OSError(ENOTCONN, "not listening")
        queue = self.listen_queue.queue
        while queue and queue[0].reset_received:
            queue.popleft()
        if not queue:
            raise BlockingIOError(EAGAIN, "nothing waits")
        sock = Socket(self.network, self.process, queue[0])
        return sock, queue.popleft().remote

    def recv(self, size: int, flags: int = 0) -> bytes:
        """As `socket.socket`; of the flags only MSG_PEEK is known.

        Raises:
            OSError: nothing has come, or the connection has ended.
        """
        end = self.end
        if end is None or self.closed:
            raise OSError(ENOTCONN, "not connected")
        if end.reset_received:
            raise ConnectionResetError(ECONNRESET, "connection reset by peer")
        if end.receive_queue:
            data = bytes(end.receive_queue[:size])
            if not flags & socket.MSG_PEEK:
                del end.receive_queue[:size]
                end.data_consumed()
            return data
        if end.fin_received or end.read_shut:
            return b""
        raise BlockingIOError(EAGAIN, "nothing came")

    def shutdown(self, how: int) -> None:
        """As `socket.socket`.

        Raises:
            OSError: the connection has ended.
        """
        if self.closed or self.end is None or self.end.reset_received:
            raise OSError(ENOTCONN, "not connected")
        if how == socket.SHUT_WR:
            self.end.shutdown_write()
        else:
            self.end.shutdown()

    def close(self) -> None:
        """As `socket.socket`."""
        if self.closed:
            return
        self.closed = True
        self.process.sockets.pop(self.descriptor, None)
        if self.listen_queue is not None:
            self.process.loop.readers.pop(self.descriptor, None)
            self.listen_queue.remove_holder(self)
        elif self.end is not None:
            if self.resets_on_close:
                self.end.reset()
            else:
                self.end.close()

    def create_transport(
        self,
        loop: asyncio.AbstractEventLoop,
        protocol: asyncio.BaseProtocol,
        waiter: asyncio.Future[None] | None,
    ) -> asyncio.Transport:
        """A transport over this connected socket; the waiter is done once the protocol is connected."""
        return self.network.transport_factory(loop, self, protocol, waiter)

    def create_server(
        self, loop: asyncio.AbstractEventLoop, protocol_factory: Callable[[], asyncio.BaseProtocol]
    ) -> "Server":
        """A server that accepts the connections of this listening socket."""
        return Server(loop, self, protocol_factory)

    # What the network and the end of the process notify it of.

    def notify_readable(self) -> None:
        """Have its owner read, if it waits for that."""
        if self.read_scheduled or self.closed:
            return
        if self.transport is not None or self.descriptor in self.process.loop.readers:
            self.read_scheduled = True
            self.network.scheduler.call_soon(self.process, self._read)

    def _read(self) -> None:
        self.read_scheduled = False
        if self.closed:
            return
        if self.transport is not None:
            self.transport.on_readable()
            return
        reader = self.process.loop.readers.get(self.descriptor)
        if reader is not None:
            callback, arguments = reader
            callback(*arguments)
            if not self.closed:
                self.reader_added()

    def reader_added(self) -> None:
        """Its owner waits for connections; some may be there already."""
        if self.listen_queue is not None and self.listen_queue.queue:
            self.notify_readable()

    def notify_writable(self) -> None:
        """Have its owner write, if it waits for that."""
        if self.transport is not None and self.transport.write_buffer_size:
            self.network.scheduler.call_soon(self.process, self.transport.on_writable)

    def abort_on_process_exit(self) -> None:
        """End it as the system does for a dead process: open connections are reset."""
        self.closed = True
        if self.listen_queue is not None:
            self.listen_queue.remove_holder(self)
        elif self.end is not None and not self.end.is_closed:
            if self.end.fin_sent:
                self.end.close()
            else:
                self.end.reset()


class Server:
    """Accepts connections for a peer, as `loop.create_server` promises."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: Socket,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.protocol_factory = protocol_factory
        self.sockets = [sock]
        loop.add_reader(sock.fileno(), self._accept_connections)

    def _accept_connections(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            sock.create_transport(self.loop, self.protocol_factory(), None)

    def close(self) -> None:
        """Accept no more."""
        self.sock.close()

    async def wait_closed(self) -> None:
        """Nothing to wait for."""
