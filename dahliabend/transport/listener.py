"""A listening socket, which accepts connections."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from dahliabend.transport import host_info
from dahliabend.transport.connection import Connection, configure_socket
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

BACKLOG = 1024  # connections that may wait in the kernel's queue
MAX_ACCEPTS_AT_ONCE = 64  # connections accepted before other events are handled
MAX_ACCEPT_TIME = 4_000  # microseconds spent on accepting before other events are handled
# Microseconds by which connections that are slow to send their request are evicted earlier while the listener
# is being closed, and where memory allows few connections: others wait.
EARLIER_EVICTION = 250_000
RETRY_DELAY = 5_000  # microseconds until the next attempt to accept, if no descriptor is left


class Listener:
    """Accepts connections as long as descriptors are available.

    Further connections wait in the kernel's queue: if they were accepted and closed at once, requests that
    their clients have sent already would be lost.

    Attributes:
        sock: The listening socket, while it is open.
        shared: Whether other processes accept on the same socket.
        is_short_of_descriptors: Whether connections may wait because no descriptor was left for them.
        waiting_since: Clock time (us) since which connections may wait to be accepted; 0: none does.
        is_closing: Whether the listener is to be closed once no connection waits.
        accept_tasks: One task for each accepted connection that is not established yet.
    """

    def __init__(
        self, timers: TimerQueue, descriptors: DescriptorBudget, make_connection: Callable[[], Connection]
    ) -> None:
        self.timers = timers
        self.descriptors = descriptors
        self.make_connection = make_connection
        self.sock: socket.socket | None = None
        self.shared = False
        self.is_short_of_descriptors = False
        self.waiting_since = 0
        self.is_closing = False
        self.accept_tasks: set[asyncio.Task[None]] = set()

    def open(self, address: tuple[str, int]) -> None:
        """Listen on an address.

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

    def inherit(self, descriptor: int) -> None:
        """Accept on an inherited descriptor of a listening socket, which other processes hold too.

        Raises:
            OSError: The descriptor is not a listening socket.
        """
        sock = host_info.inherited_socket(descriptor)
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"PROXY_FD: {descriptor} is not a listening socket")
        sock.setblocking(False)
        self.sock = sock
        self.shared = True
        self.start_accepting()

    def start_accepting(self) -> None:
        """Accept whenever a connection waits, unless the listener has been closed."""
        if self.sock is not None:
            self.timers.loop.add_reader(self.sock.fileno(), self.accept_waiting)

    def _pause_accepting(self, sock: socket.socket) -> None:
        self.is_short_of_descriptors = True
        self._note_waiting()
        self.timers.loop.remove_reader(sock.fileno())
        self.timers.schedule(clock() + RETRY_DELAY, self.start_accepting)

    def accept_waiting(self) -> bool:
        """Accept some of the waiting connections.

        Returns:
            Whether more connections may be waiting that descriptors are available for.
        """
        listening = self.sock
        if listening is None:
            return False
        began_at = clock()
        self.is_short_of_descriptors = False
        for _ in range(MAX_ACCEPTS_AT_ONCE):
            # Idle connections are evicted first: waiting clients would otherwise miss their deadlines.
            evicts_early = self.is_closing or self.descriptors.is_limited_by_memory
            now = clock() + (EARLIER_EVICTION if evicts_early else 0)
            if self.descriptors.is_full_after_eviction(now) and self.descriptors.is_exhausted():
                self.descriptors.give_up_incomplete(clock())
                self._pause_accepting(listening)
                return False
            try:
                sock, _ = listening.accept()
            except (InterruptedError, ConnectionAbortedError):
                continue
            except BlockingIOError:
                self.waiting_since = 0
                return False
            except OSError:  # the process or the system has no descriptor left
                self._pause_accepting(listening)
                return False
            self._start_accepted(sock)
            if clock() - began_at > MAX_ACCEPT_TIME:
                break  # the listening socket stays readable
        self._note_waiting()
        return True

    def _note_waiting(self) -> None:
        """Note that connections may wait from now on, unless they do already."""
        self.waiting_since = self.waiting_since or clock()

    def _start_accepted(self, sock: socket.socket) -> None:
        configure_socket(sock)
        connection = self.make_connection()
        connection.waited_since = self.waiting_since
        task = self.timers.loop.create_task(self.start(sock, connection))
        self.accept_tasks.add(task)
        task.add_done_callback(self.accept_tasks.discard)

    async def start(self, sock: socket.socket, connection: Connection) -> None:
        """Connect an accepted socket to its connection object."""
        connection.sock = sock
        try:
            await self.timers.loop.connect_accepted_socket(lambda: connection, sock=sock)
        except OSError:
            if connection.transport is None:
                connection.release()
                with contextlib.suppress(OSError):
                    sock.close()

    def close(self, *, force: bool = True) -> None:
        """Stop accepting.

        Connections that wait in the kernel's queue are still accepted, unless other processes share the
        socket and will accept them. Only this process's descriptor is closed: shutting the socket down would
        end it for all.

        Args:
            force: Whether the socket is closed even if connections wait that no descriptor is left for.
        """
        if self.sock is None:
            return
        self.is_closing = True
        # Closing the socket would lose the requests of clients that still wait in its queue.
        while not self.shared and self.accept_waiting():
            pass
        if self.is_short_of_descriptors and not self.shared and not force:
            return
        self.timers.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        self.sock = None
