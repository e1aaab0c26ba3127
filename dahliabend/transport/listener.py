"""Where connections come in."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from dahliabend.transport import host_info
from dahliabend.transport.connection import Connection, configure_socket
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

BACKLOG = 1024
ACCEPTS_PER_TURN = 64  # accepted in one turn of the loop
RETRY_DELAY = 5_000  # how long to wait where no descriptor is left


class Listener:
    """Accepts as long as there are descriptors. What waits longer waits in the system's queue: accepted and
    closed at once, a request already written would be lost."""

    def __init__(
        self, timers: TimerQueue, descriptors: DescriptorBudget, accepted: Callable[[], Connection]
    ) -> None:
        self.timers, self.descriptors, self.make_connection = timers, descriptors, accepted
        self.sock: socket.socket | None = None
        self.shared = False  # do others hold it too?
        self.accept_tasks: set[asyncio.Task] = set()

    def open(self, address: tuple[str, int]) -> None:
        """OSError where the address cannot be had."""
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
        """One that others hold too; it listens already. OSError where it is no such thing."""
        sock = host_info.inherited_socket(number)
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"PROXY_FD: {number} does not listen")
        sock.setblocking(False)
        self.sock, self.shared = sock, True
        self.start_accepting()

    def start_accepting(self) -> None:
        if self.sock is not None:
            self.timers.loop.add_reader(self.sock.fileno(), self.accept_waiting)

    def pause_accepting(self) -> None:
        self.timers.loop.remove_reader(self.sock.fileno())
        self.timers.schedule(clock() + RETRY_DELAY, self.start_accepting)

    def accept_waiting(self) -> bool:
        """Takes some in; may more wait that there is room for?"""
        for _ in range(ACCEPTS_PER_TURN):
            # Idle connections that kept others waiting to come in would have these miss their limits.
            if self.descriptors.is_full(clock()) and self.descriptors.is_exhausted():
                self.pause_accepting()
                return False
            try:
                sock, _ = self.sock.accept()
            except (InterruptedError, ConnectionAbortedError):
                continue
            except BlockingIOError:
                return False
            except OSError:  # the system itself has no descriptor left
                self.pause_accepting()
                return False
            configure_socket(sock)
            task = self.timers.loop.create_task(self.start(sock, self.make_connection()))
            self.accept_tasks.add(task)
            task.add_done_callback(self.accept_tasks.discard)
        return True

    async def start(self, sock: socket.socket, connection: Connection) -> None:
        connection.sock = sock
        try:
            await self.timers.loop.connect_accepted_socket(lambda: connection, sock=sock)
        except OSError:
            if connection.transport is None:
                connection.release()
                with contextlib.suppress(OSError):
                    sock.close()

    def close(self) -> None:
        """Accepts no more. What the system has accepted by now is still taken in, but where others go on
        accepting: it is theirs. Only this copy is closed; shut down, the socket would end for all."""
        if self.sock is not None:
            # Closed with some still in the queue, what these have sent would be lost.
            while not self.shared and self.accept_waiting():
                pass
            self.timers.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None
