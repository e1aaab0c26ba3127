"""A listening socket and the connections that come in on it."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from dahliabend.transport import host_info
from dahliabend.transport.connection import Connection, configure_socket
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

BACKLOG = 1024  # connections that wait in the system's queue
MAX_ACCEPTS_AT_ONCE = 64  # before other events are handled
RETRY_DELAY = 5_000  # microseconds, if no descriptor is left


class Listener:
    """Accepts as long as there are descriptors.

    What has to wait longer waits in the system's queue: accepted and closed at once, a request already
    written would be lost.

    Attributes:
        sock: The listening socket, while it accepts.
        shared: Other processes accept on the same socket.
        accept_tasks: One a connection that is accepted and not up yet.
    """

    def __init__(
        self, timers: TimerQueue, descriptors: DescriptorBudget, make_connection: Callable[[], Connection]
    ) -> None:
        self.timers = timers
        self.descriptors = descriptors
        self.make_connection = make_connection
        self.sock: socket.socket | None = None
        self.shared = False
        self.accept_tasks: set[asyncio.Task[None]] = set()

    def open(self, address: tuple[str, int]) -> None:
        """Listens on an address.

        Raises:
            OSError: The address cannot be bound.
        """
        sock = host_info.stream_socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.start_accepting()

    def inherit(self, number: int) -> None:
        """Accepts on an inherited descriptor that other processes hold too; it listens already.

        Raises:
            OSError: The descriptor is not a listening socket.
        """
        sock = host_info.inherited_socket(number)
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"PROXY_FD: {number} does not listen")
        sock.setblocking(False)
        self.sock = sock
        self.shared = True
        self.start_accepting()

    def start_accepting(self) -> None:
        """Accepts whenever a connection waits, unless it was closed."""
        if self.sock is not None:
            self.timers.loop.add_reader(self.sock.fileno(), self.accept_waiting)

    def _pause_accepting(self, sock: socket.socket) -> None:
        self.timers.loop.remove_reader(sock.fileno())
        self.timers.schedule(clock() + RETRY_DELAY, self.start_accepting)

    def accept_waiting(self) -> bool:
        """Accepts some of the connections that wait; whether more may wait that there are descriptors for."""
        listening = self.sock
        if listening is None:
            return False
        for _ in range(MAX_ACCEPTS_AT_ONCE):
            # Idle connections that kept others waiting to be accepted would have these miss their deadlines.
            if self.descriptors.is_full_after_eviction(clock()) and self.descriptors.is_exhausted():
                self._pause_accepting(listening)
                return False
            try:
                sock, _ = listening.accept()
            except (InterruptedError, ConnectionAbortedError):
                continue
            except BlockingIOError:
                return False
            except OSError:  # the system itself has no descriptor left
                self._pause_accepting(listening)
                return False
            self._accepted(sock)
        return True

    def _accepted(self, sock: socket.socket) -> None:
        configure_socket(sock)
        task = self.timers.loop.create_task(self.start(sock, self.make_connection()))
        self.accept_tasks.add(task)
        task.add_done_callback(self.accept_tasks.discard)

    async def start(self, sock: socket.socket, connection: Connection) -> None:
        """Connects an accepted socket with its protocol."""
        connection.sock = sock
        try:
            await self.timers.loop.connect_accepted_socket(lambda: connection, sock=sock)
        except OSError:
            if connection.transport is None:
                connection.release()
                with contextlib.suppress(OSError):
                    sock.close()

    def close(self) -> None:
        """Accepts no more.

        What the system has accepted by now is still taken in, unless others go on accepting: it is theirs.
        Only this copy is closed; shut down, the socket would end for all.
        """
        if self.sock is None:
            return
        # Closed with some still in the queue, what these have sent would be lost.
        while not self.shared and self.accept_waiting():
            pass
        self.timers.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        self.sock = None
