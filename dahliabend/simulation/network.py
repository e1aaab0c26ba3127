"""The simulated network: who listens where, which paths are blocked, and how long bytes take."""

import asyncio
from collections.abc import Callable
from random import Random

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.connections import ConnectionEnd, Tap
from dahliabend.simulation.event_loop import Process, Scheduler
from dahliabend.simulation.network_profile import NetworkProfile
from dahliabend.simulation.sockets import ListenQueue, Socket, TransportFactory

EMFILE = 24
EADDRINUSE = 98
ECONNREFUSED = 111
SYN_RETRY_DELAYS = (1_000_000, 3_000_000)  # microseconds after a lost first packet, as on Linux
CONNECT_TIMEOUT = 20_000_000  # microseconds that a connect without an answer goes on
SLOW_CONNECT_SHARE = 1 / 3  # of the connections to an address where connects are slow
LOCAL_DELAY = 30  # microseconds, inside a machine
FIRST_PORT = 10_000
FIRST_DESCRIPTOR = 10_000


class Network:
    """The network between all processes of a run."""

    def __init__(self, scheduler: Scheduler, profile: NetworkProfile, rng: Random) -> None:
        self.scheduler = scheduler
        self.profile = profile
        self.rng = rng
        self.listeners: dict[Address, ListenQueue] = {}
        self.connections: dict[int, ConnectionEnd] = {}  # by number, the end that dialled
        self.zones: dict[str, str] = {}  # by host
        self._last_port = FIRST_PORT
        self._last_descriptor = FIRST_DESCRIPTOR
        self._last_connection = 0
        # Faults.
        self.unreachable_hosts: set[str] = set()
        self.unresponsive_addresses: set[Address] = set()  # new connections there never come up
        self.refusing_addresses: set[Address] = set()
        self.slow_connects: dict[Address, int] = {}  # at some addresses: the longest delay of new connections
        self.cut_zone_pairs: set[frozenset[str]] = set()
        self.connection_limits: dict[Address, int] = {}  # connections that an address takes at once
        # Set by whoever builds the run.
        self.tap_factory: Callable[[ConnectionEnd], Tap | None] | None = None  # for each new connection
        self.on_event: Callable[..., None] = lambda *_: None
        self.transport_factory: TransportFactory

    # Paths.

    def delay(self, one: str, other: str) -> int:
        """Draw the time that a packet takes from one host to another."""
        if one == other:
            base = LOCAL_DELAY
        elif self.zones.get(one) != self.zones.get(other):
            base = self.profile.cross_zone_delay
        else:
            base = self.profile.delay
        return base + int(base * self.profile.jitter * self.rng.random() * 2)

    def is_blocked(self, one: str, other: str) -> bool:
        """Whether packets between two hosts are lost."""
        if not self.unreachable_hosts and not self.cut_zone_pairs:
            return False
        if one == other:
            return False
        zones = frozenset((self.zones.get(one, ""), self.zones.get(other, "")))
        is_host_lost = one in self.unreachable_hosts or other in self.unreachable_hosts
        return is_host_lost or zones in self.cut_zone_pairs

    def vanish(self, host: str) -> None:
        """Make a host unreachable."""
        self.unreachable_hosts.add(host)

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from all others."""
        for other in self.zones.values():
            if other != zone:
                self.cut_zone_pairs.add(frozenset((zone, other)))

    def restore_host(self, host: str, resets: bool) -> None:
        """Make a host reachable again; `resets` as in `resume_connections`."""
        self.unreachable_hosts.discard(host)
        self.resume_connections(resets)

    def restore_zone(self, zone: str, resets: bool) -> None:
        """Connect a zone with the others again; `resets` as in `resume_connections`."""
        self.cut_zone_pairs = {pair for pair in self.cut_zone_pairs if zone not in pair}
        self.resume_connections(resets)

    def resume_connections(self, resets: bool) -> None:
        """Paths work again: connections that were used meanwhile go on, or are reset."""
        for end in list(self.connections.values()):
            was_used = end.blocked_packets or end.peer.blocked_packets
            if was_used and not self.is_blocked(end.local[0], end.remote[0]):
                if resets:
                    end.reset_both()
                else:
                    end.retransmit_blocked()
                    end.peer.retransmit_blocked()

    # What processes ask for.

    def allocate_descriptor(self, process: Process) -> int:
        """A new descriptor.

        Raises:
            OSError: the process has as many as it may.
        """
        if len(process.sockets) >= process.max_sockets:
            self.on_event("exhausted", process.name, process.max_sockets)
            raise OSError(EMFILE, "too many open files")
        self._last_descriptor += 1
        return self._last_descriptor

    def socket(self, process: Process) -> Socket:
        """A new socket."""
        return Socket(self, process)

    def listen(self, address: Address, backlog: int) -> ListenQueue:
        """A new queue of connections.

        Raises:
            OSError: another socket listens there.
        """
        if address in self.listeners:
            raise OSError(EADDRINUSE, "address in use")
        queue = ListenQueue(self, address, backlog)
        self.listeners[address] = queue
        return queue

    def ephemeral_port(self) -> int:
        """A port that nobody uses."""
        self._last_port += 1
        return self._last_port

    # A new connection, from its first packet on.

    def connect(self, sock: Socket, address: Address, future: asyncio.Future[None]) -> None:
        """Connect a socket; the future tells when that has succeeded or failed."""
        attempt = _ConnectAttempt(self, sock, address, future)
        wait = 0
        if address in self.slow_connects and self.rng.random() < SLOW_CONNECT_SHARE:
            wait = int(self.slow_connects[address] * self.rng.random())
        due = self.scheduler.now + self.delay(sock.process.address, address[0]) + wait
        self.scheduler.call_at(due, None, attempt.syn_arrived, 0)

    def is_at_connection_limit(self, address: Address) -> bool:
        """Whether an address takes no more connections."""
        limit = self.connection_limits.get(address)
        return limit is not None and sum(end.remote == address for end in self.connections.values()) >= limit

    def create_connection(self, process: Process, address: Address) -> tuple[ConnectionEnd, ConnectionEnd]:
        """Both ends of a new connection, the one that dials first."""
        self._last_connection += 1
        number = self._last_connection
        near = ConnectionEnd(self, number, (process.address, self.ephemeral_port()), address, process)
        far = ConnectionEnd(self, number, address, near.local, process)
        near.peer = far
        far.peer = near
        self.connections[number] = near
        near.tap = self.tap_factory(near) if self.tap_factory is not None else None
        # Only on the way to upstreams is there a device that forgets idle connections.
        idle_timeout = self.profile.idle_timeout if near.tap is not None else 0
        near.idle_timeout = idle_timeout
        far.idle_timeout = idle_timeout
        return near, far


class _ConnectAttempt:
    """One connect of a socket, with the retries of its first packet."""

    def __init__(
        self, network: Network, sock: Socket, address: Address, future: asyncio.Future[None]
    ) -> None:
        self.network = network
        self.sock = sock
        self.address = address
        self.future = future
        self.began_at = network.scheduler.now

    def syn_arrived(self, retries: int) -> None:
        """The first packet has come to the address, or is lost on its way."""
        network = self.network
        address = self.address
        host = self.sock.process.address
        if self.future.done() or not self.sock.process.alive:
            return
        if network.is_blocked(host, address[0]) or address in network.unresponsive_addresses:
            self._retry(retries)
            return
        listener = network.listeners.get(address)
        is_refused = address in network.refusing_addresses or network.is_at_connection_limit(address)
        if listener is None or is_refused:
            network.on_event("refused", host, address)
            self._call_back(self._refused)
            return
        if len(listener.queue) >= listener.backlog:
            self._retry(retries)
            return
        near, far = network.create_connection(self.sock.process, address)
        listener.enqueue(far)
        self._call_back(self._established, near)

    def _call_back(self, call: Callable[..., None], *arguments: object) -> None:
        """The answer to the first packet arrives after the way back."""
        network = self.network
        delay = network.delay(self.sock.process.address, self.address[0])
        network.scheduler.call_at(network.scheduler.now + delay, None, call, *arguments)

    def _retry(self, retries: int) -> None:
        wait = SYN_RETRY_DELAYS[min(retries, len(SYN_RETRY_DELAYS) - 1)]
        now = self.network.scheduler.now
        if now + wait < self.began_at + CONNECT_TIMEOUT:
            self.network.scheduler.call_at(now + wait, None, self.syn_arrived, retries + 1)

    def _refused(self) -> None:
        if not self.future.done():
            self.future.set_exception(ConnectionRefusedError(ECONNREFUSED, "connection refused"))

    def _established(self, near: ConnectionEnd) -> None:
        if not self.sock.process.alive:
            near.reset()
        elif self.future.done() or self.sock.closed:
            near.close()
        else:
            self.sock.end = near
            near.sock = self.sock
            self.future.set_result(None)
