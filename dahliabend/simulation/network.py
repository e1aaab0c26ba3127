"""The modelled network: connections as two queues of bytes, and what can go wrong between them.

What TCP promises holds: bytes come in order or the connection ends. What it does not promise is modelled:
writes that are taken in part, windows that fill, bytes unread when a reset comes, peers that fall silent.
"""

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from dahliabend.simulation.event_loop import Kernel, Process

SYN_AGAIN = (1_000_000, 3_000_000)  # after a lost first packet, as Linux waits
MOST_CONNECT = 20_000_000  # microseconds that a connect without an answer stays open
AGAIN = 200_000  # after a path is whole again, the longest until held bytes come


@dataclass(slots=True)
class Shape:
    """What a network is like when nothing is wrong; microseconds and bytes."""

    delay: int = 250  # one way, inside a zone
    cross: int = 3_000  # and between zones
    jitter: float = 0.3  # of the delay, the mean of what comes on top
    bandwidth: int = 125  # bytes a microsecond of one connection
    sending: int = 256 * 1024  # bytes that the sender's system takes before it says wait
    window: int = 64 * 1024  # and that lie unread at the receiver
    piece: int = 0  # bytes of a segment at the most; 0: as much as there is
    idle_dies: int = 0  # idle connections die unseen after that time; 0: they don't
    idle_resets: bool = False  # what is sent on one that has died is answered by a reset, not by silence


class Network:
    """Who listens where, which ways are cut, and how long bytes take."""

    def __init__(self, kernel: Kernel, shape: Shape, chance: Random) -> None:
        self.kernel, self.shape, self.chance = kernel, shape, chance
        self.listeners: dict[tuple[str, int], Listening] = {}
        self.next_port = self.next_descriptor = 10_000
        self.next_connection = 0
        self.zones: dict[str, str] = {}  # by address
        self.silent: set[str] = set()  # addresses of machines that have vanished
        self.mute: set[tuple[str, int]] = set()  # places where new connections never come up
        self.refusing: set[tuple[str, int]] = set()
        self.late: dict[tuple[str, int], int] = {}  # of new ones there a third comes up that late at most
        self.cut: set[frozenset[str]] = set()  # pairs of zones
        self.limits: dict[tuple[str, int], int] = {}  # connections that a place takes at once
        self.slower: dict[str, int] = {}  # microseconds on top, one way, by address
        self.open: dict[int, End] = {}  # one end of each connection, by number: the one that dialled
        self.tap: Callable[[End], object] | None = None  # who listens in on a new connection
        self.note: Callable[..., None] = lambda *_: None
        self.transports: Callable | None = None  # what carries a protocol over a socket

    # Ways.

    def delay(self, one: str, other: str) -> int:
        zones = self.zones
        if one == other:
            base = 30
        else:
            base = self.shape.cross if zones.get(one) != zones.get(other) else self.shape.delay
        base += self.slower.get(one, 0) + self.slower.get(other, 0)
        return base + int(base * self.shape.jitter * self.chance.random() * 2)

    def blocked(self, one: str, other: str) -> bool:
        if not self.silent and not self.cut:
            return False
        pair = frozenset((self.zones.get(one, ""), self.zones.get(other, "")))
        return one != other and (one in self.silent or other in self.silent or pair in self.cut)

    def vanish(self, address: str) -> None:
        self.silent.add(address)

    def cut_zone(self, zone: str) -> None:
        for other in self.zones.values():
            if other != zone:
                self.cut.add(frozenset((zone, other)))

    def come_back(self, address: str, resets: bool) -> None:
        self.silent.discard(address)
        self.mend(resets)

    def join_zone(self, zone: str, resets: bool) -> None:
        self.cut = {pair for pair in self.cut if zone not in pair}
        self.mend(resets)

    def mend(self, resets: bool) -> None:
        """Ways are whole again. Connections that were used meanwhile are reset, or go on."""
        for end in list(self.open.values()):
            if (end.held or end.peer.held) and not self.blocked(end.local[0], end.remote[0]):
                if resets:
                    end.break_off()
                else:
                    end.send_again()
                    end.peer.send_again()

    # What processes ask for.

    def descriptor(self, process: Process) -> int:
        if len(process.sockets) >= process.most_sockets:
            self.note("exhausted", process.name, process.most_sockets)
            raise OSError(24, "too many open files")
        self.next_descriptor += 1
        return self.next_descriptor

    def socket(self, process: Process) -> "Socket":
        return Socket(self, process)

    def transport(self, loop, sock, protocol, waiter):
        return self.transports(loop, sock, protocol, waiter)

    def serve(self, loop, factory, address, backlog) -> "Server":
        sock = self.socket(loop.process)
        sock.bind((address[0] or loop.process.address, address[1]))
        sock.listen(backlog)
        return Server(loop, sock, factory)

    def listening(self, process: Process, place: tuple[str, int], backlog: int) -> "Listening":
        if place in self.listeners:
            raise OSError(98, "address in use")
        made = self.listeners[place] = Listening(self, place, backlog)
        return made

    def any_port(self) -> int:
        self.next_port += 1
        return self.next_port

    # A new connection, from its first packet on.

    def call(self, sock: "Socket", place: tuple[str, int], future) -> None:
        began = self.kernel.now
        here = sock.process.address

        def arrive(tries: int) -> None:
            if future.done() or not sock.process.alive:
                return
            if self.blocked(here, place[0]) or place in self.mute:
                return again(tries)
            listener = self.listeners.get(place)
            if listener is None or place in self.refusing or self.full(place):
                self.note("refused", here, place)
                return self.kernel.at(self.kernel.now + self.delay(here, place[0]), None, fail)
            if len(listener.queue) >= listener.backlog:
                return again(tries)
            near, far = self.pair(sock.process, here, place)
            listener.come(far)
            self.kernel.at(self.kernel.now + self.delay(here, place[0]), None, come_up, near)

        def again(tries: int) -> None:
            wait = SYN_AGAIN[min(tries, len(SYN_AGAIN) - 1)]
            if self.kernel.now + wait < began + MOST_CONNECT:
                self.kernel.at(self.kernel.now + wait, None, arrive, tries + 1)

        def fail() -> None:
            if not future.done():
                future.set_exception(ConnectionRefusedError(111, "connection refused"))

        def come_up(near: End) -> None:
            if not sock.process.alive:
                return near.reset()
            if future.done() or sock.closed:
                return near.close()
            sock.end = near
            near.sock = sock
            future.set_result(None)

        late = 0
        if place in self.late and self.chance.random() < 1 / 3:
            late = int(self.late[place] * self.chance.random())
        self.kernel.at(self.kernel.now + self.delay(here, place[0]) + late, None, arrive, 0)

    def full(self, place: tuple[str, int]) -> bool:
        limit = self.limits.get(place)
        return limit is not None and sum(end.remote == place for end in self.open.values()) >= limit

    def pair(self, process: Process, here: str, place: tuple[str, int]) -> tuple["End", "End"]:
        self.next_connection += 1
        number = self.next_connection
        near = End(self, number, (here, self.any_port()), place)
        far = End(self, number, place, near.local)
        near.peer, far.peer = far, near
        near.caller = far.caller = process
        self.open[number] = near
        near.tap = self.tap(near) if self.tap is not None else None
        # Only on the way to upstreams is there something in between that forgets.
        near.forgotten = far.forgotten = self.shape.idle_dies if near.tap is not None else 0
        return near, far


class Listening:
    """A place where connections come in; several sockets may hold it."""

    def __init__(self, network: Network, place: tuple[str, int], backlog: int) -> None:
        self.network, self.place, self.backlog = network, place, backlog
        self.queue: deque[End] = deque()
        self.holders: list[Socket] = []

    def come(self, end: "End") -> None:
        self.queue.append(end)
        self.tell()

    def tell(self) -> None:
        """Whoever waits for it is told, again until the queue is empty."""
        for holder in self.holders:
            if self.queue:
                holder.readable()

    def drop(self, holder: "Socket") -> None:
        self.holders.remove(holder)
        if not self.holders:
            self.network.listeners.pop(self.place, None)
            for end in self.queue:
                end.reset()
            self.queue.clear()


class End:
    """One end of a connection."""

    __slots__ = (
        "arrived_last", "busy_until", "caller", "closed_at", "end_came_at", "fin_queued", "fin_seen",
        "fin_sent", "forgotten", "gone", "held", "in_flight", "local", "network", "number", "out", "peer",
        "read_shut", "remote", "reset_seen", "sock", "tap", "unread", "used",
    )  # fmt: skip

    def __init__(self, network: Network, number: int, local, remote) -> None:
        self.network, self.number, self.local, self.remote = network, number, local, remote
        self.peer: End | None = None
        self.sock: Socket | None = None
        self.out: bytearray = bytearray()  # taken from the writer, not sent yet
        self.in_flight = 0  # bytes sent, not come yet
        self.unread: bytearray = bytearray()  # come, not read yet
        self.fin_queued = self.fin_sent = self.fin_seen = self.reset_seen = False
        self.read_shut = self.gone = False
        self.closed_at = 0  # when its owner ended it, or its sending on it
        self.end_came_at = 0  # when the other's end of it came, read or not
        self.busy_until = self.arrived_last = 0
        self.held: list[tuple[Callable, tuple]] = []  # lost on a way that is cut: sent again once it is whole
        self.used = network.kernel.now
        self.forgotten = 0  # microseconds of idleness after which the way no longer knows it
        self.tap = None
        self.caller: Process | None = None

    # What the owner does.

    def send(self, data) -> int:
        """How many of the bytes the system takes. OSError on a connection that has ended."""
        if self.reset_seen or self.gone:
            raise ConnectionResetError(104, "connection reset by peer")
        if self.fin_queued:
            raise BrokenPipeError(32, "broken pipe")
        room = self.network.shape.sending - len(self.out) - self.in_flight
        taken = min(len(data), max(0, room))
        if taken:
            part = bytes(data[:taken])
            if self.tap is not None:
                self.tap.sent(part)
            elif self.peer.tap is not None:
                self.peer.tap.answered(part)
            self.out += part
            self.pump()
        return taken

    def not_read(self) -> int:
        """Bytes of this end that the other has not read yet."""
        return len(self.out) + self.in_flight + len(self.peer.unread)

    def shut_writing(self) -> None:
        if not self.fin_queued and not self.reset_seen:
            self.fin_queued = True
            self.closed_at = self.closed_at or self.network.kernel.now
            self.pump()

    def shut(self) -> None:
        self.read_shut = True
        self.shut_writing()

    def close(self) -> None:
        if self.gone:
            return
        self.gone = True
        self.closed_at = self.closed_at or self.network.kernel.now
        if self.unread and not self.fin_sent:  # what nobody read: the other end is told by a reset
            self.reset()
        elif not self.fin_queued:
            self.fin_queued = True
            self.pump()
        self.unread.clear()
        self.forget()

    def reset(self) -> None:
        """Ends it at once; what is on its way or unread is lost."""
        if not self.gone:
            self.closed_at = self.closed_at or self.network.kernel.now
        self.gone = self.fin_queued = self.fin_sent = True
        self.out.clear()
        self.travel(0, self.peer.see_reset)
        self.forget()

    def forget(self) -> None:
        if self.gone and (self.peer.gone or self.peer.reset_seen):
            self.network.open.pop(self.number, None)

    # On the way.

    def pump(self) -> None:
        network, now = self.network, self.network.kernel.now
        shape = network.shape
        if self.forgotten and now - self.used > self.forgotten and not self.gone:
            return self.died(shape)
        self.used = self.peer.used = now
        while self.out:
            window = shape.window - len(self.peer.unread) - self.in_flight
            size = min(len(self.out), window, shape.piece or 65536)
            if size <= 0:
                return
            part = bytes(self.out[:size])
            del self.out[:size]
            self.in_flight += size
            self.travel(size, self.come, part)
        if self.fin_queued and not self.fin_sent:
            self.fin_sent = True
            self.travel(0, self.peer.see_fin)

    def died(self, shape: Shape) -> None:
        """Something between the two has forgotten this connection."""
        self.out.clear()
        if shape.idle_resets:
            self.travel(0, self.see_reset)
        else:
            self.in_flight = shape.sending  # nothing is ever taken off its hands

    def travel(self, size: int, call: Callable, *arguments) -> None:
        """In order, whatever the jitter."""
        network, now = self.network, self.network.kernel.now
        self.busy_until = max(now, self.busy_until) + size // network.shape.bandwidth
        due = max(self.busy_until + network.delay(self.local[0], self.remote[0]), self.arrived_last)
        self.arrived_last = due
        network.kernel.at(due, None, self.cross, call, arguments)

    def cross(self, call: Callable, arguments: tuple) -> None:
        if self.held or self.network.blocked(self.local[0], self.remote[0]):
            self.held.append((call, arguments))
        else:
            call(*arguments)

    def send_again(self) -> None:
        """What is held comes some time later; what comes meanwhile waits behind it."""
        if self.held:
            wait = int(self.network.chance.random() * AGAIN)
            self.network.kernel.at(self.network.kernel.now + wait, None, self.let_through)

    def let_through(self) -> None:
        if not self.network.blocked(self.local[0], self.remote[0]):
            held, self.held = self.held, []
            for call, arguments in held:
                call(*arguments)

    def lose(self) -> None:
        """From now on nothing on this connection arrives, either way, until ways are mended."""
        for side in (self, self.peer):
            side.held.append((int, ()))

    def break_off(self) -> None:
        """Both ends see a reset, as from something in between."""
        for side in (self, self.peer):
            side.held.clear()
            side.see_reset()

    # What comes in.

    def come(self, part: bytes) -> None:
        """Bytes of this end have come to the other."""
        self.in_flight -= len(part)
        peer = self.peer
        if peer.gone or peer.reset_seen:
            if not self.reset_seen:
                peer.travel(0, self.see_reset)  # nobody is there any more
            return
        if not peer.read_shut:
            peer.unread += part
            if peer.sock is not None:
                peer.sock.readable()
        if self.out:
            self.pump()
        if self.sock is not None:
            self.sock.writable()

    def see_fin(self) -> None:
        if not self.gone and not self.reset_seen:
            self.fin_seen = True
            self.end_came_at = self.end_came_at or self.network.kernel.now
            if self.sock is not None:
                self.sock.readable()

    def see_reset(self) -> None:
        if self.reset_seen:
            return
        self.reset_seen = True
        self.end_came_at = self.end_came_at or self.network.kernel.now
        self.unread.clear()
        self.out.clear()
        if self.sock is not None and not self.gone:
            self.sock.readable()
            self.sock.writable()
        if self.gone or self.peer.gone or self.peer.reset_seen:
            self.network.open.pop(self.number, None)

    def has_read(self) -> None:
        """The owner has taken bytes: there is room again."""
        if self.peer.out:
            self.network.kernel.soon(None, self.peer.pump)


class Socket:
    """What the network code and asyncio see of a connection or of a place where connections come in."""

    def __init__(self, network: Network, process: Process, end: End | None = None, listening=None) -> None:
        self.network, self.process, self.end, self.listening = network, process, end, listening
        self.number = network.descriptor(process)
        process.sockets[self.number] = self
        process.peak = max(process.peak, len(process.sockets))
        self.closed = self.told = self.lingers = False
        self.transport = None
        self.place: tuple[str, int] = ("", 0)
        if end is not None:
            end.sock = self
        if listening is not None:
            listening.holders.append(self)

    # As `socket.socket` has it.

    def setblocking(self, _) -> None: ...

    def setsockopt(self, level, option, value) -> None:
        if option == socket.SO_LINGER:
            self.lingers = value[:4] != b"\0\0\0\0"

    def getsockopt(self, level, option) -> int:
        return int(option == socket.SO_ACCEPTCONN and self.listening is not None)

    def getsockname(self):
        return self.end.local if self.end is not None else self.place

    def getpeername(self):
        return self.end.remote

    def fileno(self) -> int:
        return -1 if self.closed else self.number

    def bind(self, place) -> None:
        host, port = place
        self.place = (host, port or self.network.any_port())

    def listen(self, backlog: int) -> None:
        self.listening = self.network.listening(self.process, self.place, backlog)
        self.listening.holders.append(self)

    def connect(self, place, future) -> None:
        self.network.call(self, place, future)

    def give_up_connecting(self) -> None:
        """The future is done with: what comes up late is closed."""

    def accept(self):
        queue = self.listening.queue
        while queue and queue[0].reset_seen:
            queue.popleft()
        if not queue:
            raise BlockingIOError(11, "nothing waits")
        sock = Socket(self.network, self.process, queue[0])
        return sock, queue.popleft().remote

    def recv(self, size: int, flags: int = 0) -> bytes:
        end = self.end
        if end is None or self.closed:
            raise OSError(107, "not connected")
        if end.reset_seen:
            raise ConnectionResetError(104, "connection reset by peer")
        if end.unread:
            data = bytes(end.unread[:size])
            if not flags & socket.MSG_PEEK:
                del end.unread[:size]
                end.has_read()
            return data
        if end.fin_seen or end.read_shut:
            return b""
        raise BlockingIOError(11, "nothing came")

    def shutdown(self, how: int) -> None:
        if self.closed or self.end is None or self.end.reset_seen:
            raise OSError(107, "not connected")
        if how == socket.SHUT_WR:
            self.end.shut_writing()
        else:
            self.end.shut()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.process.sockets.pop(self.number, None)
        if self.listening is not None:
            self.process.loop.readers.pop(self.number, None)
            self.listening.drop(self)
        elif self.end is not None:
            if self.lingers:
                self.end.reset()
            else:
                self.end.close()

    # What the network and the process's end tell.

    def readable(self) -> None:
        if self.told or self.closed:
            return
        if self.transport is not None or self.number in self.process.loop.readers:
            self.told = True
            self.network.kernel.soon(self.process, self.read)

    def read(self) -> None:
        self.told = False
        if self.closed:
            return
        if self.transport is not None:
            return self.transport.on_readable()
        reader = self.process.loop.readers.get(self.number)
        if reader is not None:
            reader[0](*reader[1])
            if not self.closed and self.listening is not None and self.listening.queue:
                self.readable()

    def watched(self) -> None:
        if self.listening is not None and self.listening.queue:
            self.readable()

    def writable(self) -> None:
        if self.transport is not None and self.transport.buffered:
            self.network.kernel.soon(self.process, self.transport.on_writable)

    def process_ended(self) -> None:
        """As the system ends a dead process's connections: those that are open are reset."""
        self.closed = True
        if self.listening is not None:
            self.listening.drop(self)
        elif self.end is not None and not self.end.gone:
            if self.end.fin_sent:
                self.end.close()
            else:
                self.end.reset()


class Server:
    """Takes connections in for a peer, as `loop.create_server` promises."""

    def __init__(self, loop, sock: Socket, factory: Callable) -> None:
        self.loop, self.sock, self.factory = loop, sock, factory
        self.sockets = [sock]
        loop.add_reader(sock.fileno(), self.come_in)

    def come_in(self) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            network = self.loop.network
            network.transport(self.loop, sock, self.factory(), None)

    def close(self) -> None:
        self.sock.close()

    async def wait_closed(self) -> None: ...
