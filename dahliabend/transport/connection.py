"""One socket with a ring each way."""

import asyncio
import contextlib
import socket
from collections import deque

from dahliabend.transport import host_info as machine
from dahliabend.transport.descriptor_budget import Descriptors
from dahliabend.transport.ring_buffer import Ring

RING = 8192
# The system's own buffer grows to megabytes otherwise: what lies there counts as written, and a peer that
# reads slowly would seem to stand still while it is emptied.
SENDING = 256 * 1024


class Connection(asyncio.BufferedProtocol):
    """Bytes in and out, with backpressure. What they mean is a subclass's: `received`, `flushed`, `lost`.

    Its descriptor belongs to the table of `Descriptors`, from here until `release`.
    """

    def __init__(self, descriptors: Descriptors) -> None:
        self.descriptors = descriptors
        self.number = descriptors.take(self)
        self.incoming, self.outgoing = Ring(RING), Ring(RING)
        self.pending: deque[bytes] = deque()  # what the outgoing ring has no room for yet
        self.at = 0  # how much of the first pending piece is in the ring
        self.lent = 0  # bytes of the ring that the transport still reads
        self.queued = 0  # bytes of the pending pieces that are not in the ring yet
        self.blocked = self.holding = self.halted = self.paused = self.closed = self.broken = False
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None

    # What a subclass fills in.

    def received(self, view: memoryview) -> None: ...
    def flushed(self) -> None: ...
    def lost(self) -> None: ...
    def reading_paused(self) -> None: ...

    # Reading.

    def connection_made(self, transport) -> None:
        self.transport = transport
        # At 0 a write goes to the socket at once, and `pause_writing` tells if it did not go whole.
        transport.set_write_buffer_limits(high=0)
        if self.closed:
            transport.abort()

    def get_buffer(self, hint: int) -> memoryview:
        return self.incoming.room()

    def buffer_updated(self, count: int) -> None:
        self.incoming.commit(count)
        self.drain()

    def drain(self) -> None:
        """Hands on what has come, unless it is to wait; a full ring holds the peer back."""
        ring = self.incoming
        while ring.count and not self.holding and not self.halted and not self.closed:
            view = ring.filled()
            self.received(view)
            ring.consume(len(view))
        full = ring.count == ring.size or self.halted
        if not full and self.paused and self.transport is not None and not self.closed:
            self.paused = False
            self.transport.resume_reading()
        elif full:
            self.pause()

    def pause(self) -> None:
        if not self.paused and self.transport is not None and not self.closed:
            self.paused = True
            self.transport.pause_reading()
            self.reading_paused()

    def halt(self) -> None:
        """Nothing more is read for now: whoever gets it is slower. An end is not seen before the bytes ahead
        of it have been handed on."""
        self.halted = True
        self.pause()

    def proceed(self) -> None:
        if self.halted:
            self.halted = False
            self.drain()

    # Writing.

    @property
    def backlog(self) -> int:
        """Bytes that the system has not taken yet."""
        return self.queued + self.outgoing.count

    @property
    def whole(self) -> bool:
        """Has the system taken all that was written?"""
        return not (self.blocked or self.pending or self.outgoing.count or self.broken)

    def write(self, *pieces: bytes) -> None:
        """Sends the pieces as one; none is copied as a whole, as many callers may wait with long bodies."""
        self.pending.extend(pieces)
        self.queued += sum(map(len, pieces))
        self.pump()

    def pump(self) -> None:
        ring = self.outgoing
        while not self.blocked and not self.closed and self.transport is not None:
            while self.pending and ring.count < ring.size:
                moved = ring.put(self.pending[0], self.at)
                self.at += moved
                self.queued -= moved
                if self.at == len(self.pending[0]):
                    self.pending.popleft()
                    self.at = 0
            if not ring.count:
                return self.flushed()
            view = ring.filled()
            self.transport.write(view)
            if self.transport.is_closing():
                self.broken = True  # the system refused it
                return
            if self.blocked:
                self.lent = len(view)
                return
            ring.consume(len(view))

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False
        self.outgoing.consume(self.lent)
        self.lent = 0
        self.pump()

    # Ending.

    def eof_received(self) -> bool:
        return False

    def may_go(self) -> bool:
        """May it be closed, being idle?"""
        return True

    def waiting(self) -> bool | None:
        """Is something still to be read? None: nothing; False: only that the peer has ended it."""
        if self.incoming.count:
            return True
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK)) if self.sock is not None else None
        except BlockingIOError:
            return None
        except OSError:  # nothing to come any more
            return False

    def hung_up(self) -> bool:
        """Has the peer ended it, also where that stands behind bytes not read yet?"""
        return self.sock is not None and machine.hung_up(self.sock)

    def shut(self) -> None:
        """Ends it at once; the peer is told before this returns."""
        if self.closed:
            return
        self.closed = True
        self.descriptors.busy(self.number)
        if self.sock is not None and self.transport is not None:
            with contextlib.suppress(OSError):  # it may have ended already
                self.sock.shutdown(socket.SHUT_RDWR)
        if self.transport is not None:
            self.transport.abort()

    def finish(self) -> None:
        """Closes it in order; all written has been flushed."""
        if not self.closed:
            self.closed = True
            self.descriptors.busy(self.number)
            if self.transport is not None:
                self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self.release()
        if self.sock is not None:
            with contextlib.suppress(OSError):  # closed for good before anyone acts on it
                self.sock.shutdown(socket.SHUT_RDWR)
        self.lost()
        self.transport = self.sock = None

    def release(self) -> None:
        self.descriptors.give_back(self.number)

    def never_came_up(self) -> None:
        """Given up before the dialling began: nothing else gives its place back."""
        if self.transport is None and not self.closed:
            self.closed = True
            self.release()


def tune(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SENDING)


async def dial(loop: asyncio.AbstractEventLoop, address: tuple[str, int], connection: Connection) -> None:
    """Connects; OSError if that fails. Cancelled, it leaves nothing open."""
    sock = machine.stream_socket()
    try:
        tune(sock)
        await loop.sock_connect(sock, address)
        connection.sock = sock
        await loop.create_connection(lambda: connection, sock=sock)
    except BaseException:
        if connection.transport is None:
            sock.close()
            connection.closed = True
            connection.release()
        else:
            connection.transport.abort()
        raise
