"""Where connections come in."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

from dahliabend.transport import host_info as machine
from dahliabend.transport.connection import Connection, tune
from dahliabend.transport.descriptor_budget import Descriptors
from dahliabend.transport.timers import Deadlines, clock

BACKLOG = 1024
AT_ONCE = 64  # accepted in one turn of the loop
PAUSE = 5_000  # how long to wait where no descriptor is left


class Listener:
    """Accepts as long as there are descriptors. What waits longer waits in the system's queue: accepted and
    closed at once, a request already written would be lost."""

    def __init__(
        self, deadlines: Deadlines, descriptors: Descriptors, accepted: Callable[[], Connection]
    ) -> None:
        self.deadlines, self.descriptors, self.accepted = deadlines, descriptors, accepted
        self.sock: socket.socket | None = None
        self.shared = False  # do others hold it too?
        self.starting: set[asyncio.Task] = set()

    def open(self, address: tuple[str, int]) -> None:
        """OSError where the address cannot be had."""
        sock = machine.stream_socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        try:
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.go_on()

    def inherit(self, number: int) -> None:
        """One that others hold too; it listens already. OSError where it is no such thing."""
        sock = machine.inherited_socket(number)
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"PROXY_FD: {number} does not listen")
        sock.setblocking(False)
        self.sock, self.shared = sock, True
        self.go_on()

    def go_on(self) -> None:
        if self.sock is not None:
            self.deadlines.loop.add_reader(self.sock.fileno(), self.come_in)

    def pause(self) -> None:
        self.deadlines.loop.remove_reader(self.sock.fileno())
        self.deadlines.at(clock() + PAUSE, self.go_on)

    def come_in(self) -> bool:
        """Takes some in; may more wait that there is room for?"""
        for _ in range(AT_ONCE):
            # Idle connections that kept others waiting to come in would have these miss their limits.
            if self.descriptors.full(clock()) and self.descriptors.exhausted():
                self.pause()
                return False
            try:
                sock, _ = self.sock.accept()
            except (InterruptedError, ConnectionAbortedError):
                continue
            except BlockingIOError:
                return False
            except OSError:  # the system itself has no descriptor left
                self.pause()
                return False
            tune(sock)
            task = self.deadlines.loop.create_task(self.start(sock, self.accepted()))
            self.starting.add(task)
            task.add_done_callback(self.starting.discard)
        return True

    async def start(self, sock: socket.socket, connection: Connection) -> None:
        connection.sock = sock
        try:
            await self.deadlines.loop.connect_accepted_socket(lambda: connection, sock=sock)
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
            while not self.shared and self.come_in():
                pass
            self.deadlines.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None
