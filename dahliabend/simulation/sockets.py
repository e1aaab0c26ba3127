"""The sockets, listen queues and servers through which simulated processes use connections."""

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
NO_LINGER = b"\0\0\0\0"  # the field l_onoff of the value of SO_LINGER, when it is off


class SocketTransport(Protocol):
    """The interface of a transport to its socket."""

    write_buffer_size: int  # bytes that are not in the send buffer yet

    def on_readable(self) -> None:
        """Handle data, a FIN or a reset that has arrived."""

    def on_writable(self) -> None:
        """Continue writing: the send buffer has room."""


TransportFactory = Callable[
    [asyncio.AbstractEventLoop, "Socket", asyncio.BaseProtocol, "asyncio.Future[None] | None"],
    asyncio.Transport,
]


class SocketNetwork(Protocol):
    """The interface of the network to its sockets."""

    scheduler: Scheduler
    listeners: dict[Address, "ListenQueue"]
    transport_factory: TransportFactory

    def allocate_descriptor(self, process: Process) -> int:
        """Return a new descriptor number for a process.

        Raises:
            OSError: the process is at its limit of open sockets.
        """

    def ephemeral_port(self) -> int:
        """Return an unused port."""

    def listen(self, address: Address, backlog: int) -> "ListenQueue":
        """Create the listen queue of an address.

        Raises:
            OSError: another socket already listens at the address.
        """

    def connect(self, sock: "Socket", address: Address, future: asyncio.Future[None]) -> None:
        """Start to connect a socket; the future is done when the connect has succeeded or failed."""


class ListenQueue:
    """The connections to an address that are waiting to be accepted; several sockets may share the queue."""

    def __init__(self, network: SocketNetwork, address: Address, backlog: int) -> None:
        self.network = network
        self.address = address
        self.backlog = backlog
        self.queue: deque[ConnectionEnd] = deque()
        self.sockets: list[Socket] = []

    def enqueue(self, end: ConnectionEnd) -> None:
        """Add an established connection and notify the listening sockets."""
        self.queue.append(end)
        for sock in self.sockets:
            if self.queue:
                sock.notify_readable()

    def remove_socket(self, sock: "Socket") -> None:
        """Remove a socket; the last one to go frees the address and resets the queued connections."""
        self.sockets.remove(sock)
        if not self.sockets:
            self.network.listeners.pop(self.address, None)
            for end in self.queue:
                end.reset()
            self.queue.clear()


class Socket:
    """A connected or listening socket, with the part of the interface of `socket.socket` that is used."""

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
        self.is_read_scheduled = False
        self.resets_on_close = False
        self.transport: SocketTransport | None = None
        self.address: Address = ("", 0)
        if end is not None:
            end.sock = self
        if listen_queue is not None:
            listen_queue.sockets.append(self)

    @property
    def connected_end(self) -> ConnectionEnd:
        """The socket's end of its connection.

        Raises:
            OSError: the socket is not connected.
        """
        if self.end is None:
            raise OSError(ENOTCONN, "not connected")
        return self.end

    # The interface of `socket.socket`

    def setblocking(self, _flag: bool) -> None:
        """Do nothing: simulated sockets never block."""

    def setsockopt(self, _level: int, option: int, value: Any) -> None:  # noqa: ANN401 -- by option
        """Set a socket option; only SO_LINGER has an effect."""
        if option == socket.SO_LINGER:
            self.resets_on_close = value[: len(NO_LINGER)] != NO_LINGER

    def getsockopt(self, _level: int, option: int) -> int:
        """Return a socket option; all but SO_ACCEPTCONN are 0."""
        return int(option == socket.SO_ACCEPTCONN and self.listen_queue is not None)

    def getsockname(self) -> Address:
        """Implement `socket.socket.getsockname`."""
        return self.end.local if self.end is not None else self.address

    def getpeername(self) -> Address:
        """Implement `socket.socket.getpeername`."""
        return self.connected_end.remote

    def fileno(self) -> int:
        """Implement `socket.socket.fileno`."""
        return -1 if self.closed else self.descriptor

    def bind(self, address: Address) -> None:
        """Implement `socket.socket.bind`."""
        host, port = address
        self.address = (host, port or self.network.ephemeral_port())

    def listen(self, backlog: int) -> None:
        """Implement `socket.socket.listen`."""
        self.listen_queue = self.network.listen(self.address, backlog)
        self.listen_queue.sockets.append(self)

    def connect(self, address: Address, future: asyncio.Future[None]) -> None:
        """Start to connect; the future is done when the connect has succeeded or failed."""
        self.network.connect(self, address, future)

    def cancel_connect(self) -> None:
        """Do nothing: the future is cancelled, and a connection that is established later is closed."""

    def accept(self) -> tuple["Socket", Address]:
        """Implement `socket.socket.accept`.

        Raises:
            OSError: no connection is waiting, or the socket does not listen.
        """
        if self.listen_queue is None:
            raise OSError(ENOTCONN, "not listening")
        queue = self.listen_queue.queue
        while queue and queue[0].reset_received:
            queue.popleft()
        if not queue:
            raise BlockingIOError(EAGAIN, "no connection is waiting")
        sock = Socket(self.network, self.process, queue[0])
        return sock, queue.popleft().remote

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Implement `socket.socket.recv`; the only supported flag is MSG_PEEK.

        Raises:
            OSError: no data is available, the socket is not connected, or the connection was reset.
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
        raise BlockingIOError(EAGAIN, "no data is available")

    def shutdown(self, how: int) -> None:
        """Implement `socket.socket.shutdown`.

        Raises:
            OSError: the socket is not connected, or the connection was reset.
        """
        if self.closed or self.end is None or self.end.reset_received:
            raise OSError(ENOTCONN, "not connected")
        if how == socket.SHUT_WR:
            self.end.shutdown_write()
        else:
            self.end.shutdown()

    def close(self) -> None:
        """Implement `socket.socket.close`."""
        if self.closed:
            return
        self.closed = True
        self.process.sockets.pop(self.descriptor, None)
        if self.listen_queue is not None:
            self.process.loop.readers.pop(self.descriptor, None)
            self.listen_queue.remove_socket(self)
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
        """Create a transport over this connected socket; `waiter` is done once the protocol is connected."""
        return self.network.transport_factory(loop, self, protocol, waiter)

    def create_server(
        self, loop: asyncio.AbstractEventLoop, protocol_factory: Callable[[], asyncio.BaseProtocol]
    ) -> "Server":
        """Create a server that accepts the connections of this listening socket."""
        return Server(loop, self, protocol_factory)

    # Notifications of the network and of the process

    def notify_readable(self) -> None:
        """Schedule the owner's read callback, if the owner waits for readability."""
        if self.is_read_scheduled or self.closed:
            return
        if self.transport is not None or self.descriptor in self.process.loop.readers:
            self.is_read_scheduled = True
            self.network.scheduler.call_soon(self.process, self._read)

    def _read(self) -> None:
        self.is_read_scheduled = False
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
        """Notify the owner, which now waits for connections, if some are already queued."""
        if self.listen_queue is not None and self.listen_queue.queue:
            self.notify_readable()

    def notify_writable(self) -> None:
        """Schedule the transport's write callback, if it has unsent bytes."""
        if self.transport is not None and self.transport.write_buffer_size:
            self.network.scheduler.call_soon(self.process, self.transport.on_writable)

    def abort_on_process_exit(self) -> None:
        """Close the socket as the operating system does for a terminated process; reset open connections."""
        self.closed = True
        if self.listen_queue is not None:
            self.listen_queue.remove_socket(self)
        elif self.end is not None and not self.end.is_closed:
            if self.end.fin_sent:
                self.end.close()
            else:
                self.end.reset()


class Server:
    """A server as `loop.create_server` returns it: accepts connections for a protocol factory."""

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
        """Stop accepting connections."""
        self.sock.close()

    async def wait_closed(self) -> None:
        """Return at once: closing takes no time."""
