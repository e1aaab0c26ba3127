"""The simulated network: its listeners, connections, packet delays and faults."""

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
SYN_RETRY_DELAYS = (1_000_000, 3_000_000)  # microseconds, as on Linux; the last value repeats
CONNECT_TIMEOUT = 20_000_000  # microseconds after which a SYN is no longer retried
SLOW_CONNECT_SHARE = 1 / 3  # share of the new connections to a slow address that are delayed
LOCAL_DELAY = 30  # microseconds, one way, between processes on the same host
FIRST_PORT = 10_000
FIRST_DESCRIPTOR = 10_000


class Network:
    """The network that connects all processes of a run. All times are in microseconds."""

    def __init__(self, scheduler: Scheduler, profile: NetworkProfile, rng: Random) -> None:
        self.scheduler = scheduler
        self.profile = profile
        self.rng = rng
        self.listeners: dict[Address, ListenQueue] = {}
        self.connections: dict[int, ConnectionEnd] = {}  # by connection number; the opening end
        self.zones: dict[str, str] = {}  # by host
        self._last_port = FIRST_PORT
        self._last_descriptor = FIRST_DESCRIPTOR
        self._last_connection = 0
        # Faults
        self.unreachable_hosts: set[str] = set()
        self.unresponsive_addresses: set[Address] = set()  # new connections are never answered
        self.refusing_addresses: set[Address] = set()
        self.slow_connects: dict[Address, int] = {}  # longest extra connect delay, by address
        self.cut_zone_pairs: set[frozenset[str]] = set()
        self.connection_limits: dict[Address, int] = {}  # maximum number of open connections of an address
        # Set by the code that builds the run
        self.tap_factory: Callable[[ConnectionEnd], Tap | None] | None = None  # per new connection
        self.on_event: Callable[..., None] = lambda *_: None
        self.transport_factory: TransportFactory

    # Paths

    def delay(self, source: str, destination: str) -> int:
        """Draw the delay of a packet between two hosts, in microseconds."""
        if source == destination:
            base = LOCAL_DELAY
        elif self.zones.get(source) != self.zones.get(destination):
            base = self.profile.cross_zone_delay
        else:
            base = self.profile.delay
        return base + int(base * self.profile.jitter * self.rng.random() * 2)

    def is_blocked(self, source: str, destination: str) -> bool:
        """Return whether packets between two hosts are lost."""
        if not self.unreachable_hosts and not self.cut_zone_pairs:
            return False
        if source == destination:
            return False
        zones = frozenset((self.zones.get(source, ""), self.zones.get(destination, "")))
        is_host_unreachable = source in self.unreachable_hosts or destination in self.unreachable_hosts
        return is_host_unreachable or zones in self.cut_zone_pairs

    def make_unreachable(self, host: str) -> None:
        """Lose all packets between this host and others."""
        self.unreachable_hosts.add(host)

    def cut_zone(self, zone: str) -> None:
        """Lose all packets between a zone and all others."""
        for other_zone in self.zones.values():
            if other_zone != zone:
                self.cut_zone_pairs.add(frozenset((zone, other_zone)))

    def restore_host(self, host: str, resets: bool) -> None:
        """Make a host reachable again; for `resets` see `resume_connections`."""
        self.unreachable_hosts.discard(host)
        self.resume_connections(resets)

    def restore_zone(self, zone: str, resets: bool) -> None:
        """Reconnect a zone with all others; for `resets` see `resume_connections`."""
        self.cut_zone_pairs = {pair for pair in self.cut_zone_pairs if zone not in pair}
        self.resume_connections(resets)

    def resume_connections(self, resets: bool) -> None:
        """Resume the connections that have blocked packets and a working path; with `resets`, reset them."""
        for end in list(self.connections.values()):
            has_blocked_packets = end.blocked_packets or end.peer.blocked_packets
            if has_blocked_packets and not self.is_blocked(end.local[0], end.remote[0]):
                if resets:
                    end.reset_both_ends()
                else:
                    end.retransmit_blocked()
                    end.peer.retransmit_blocked()

    # Sockets, listen queues and ports

    def allocate_descriptor(self, process: Process) -> int:
        """Return a new descriptor number for a process.

        Raises:
            OSError: the process is at its limit of open sockets.
        """
        if len(process.sockets) >= process.max_sockets:
            self.on_event("exhausted", process.name, process.max_sockets)
            raise OSError(EMFILE, "too many open files")
        self._last_descriptor += 1
        return self._last_descriptor

    def socket(self, process: Process) -> Socket:
        """Create a socket that belongs to a process."""
        return Socket(self, process)

    def listen(self, address: Address, backlog: int) -> ListenQueue:
        """Create the listen queue of an address.

        Raises:
            OSError: another socket already listens at the address.
        """
        if address in self.listeners:
            raise OSError(EADDRINUSE, "address in use")
        queue = ListenQueue(self, address, backlog)
        self.listeners[address] = queue
        return queue

    def ephemeral_port(self) -> int:
        """Return an unused port."""
        self._last_port += 1
        return self._last_port

    # Connection establishment

    def connect(self, sock: Socket, address: Address, future: asyncio.Future[None]) -> None:
        """Start to connect a socket; the future is done when the connect has succeeded or failed."""
        attempt = _ConnectAttempt(self, sock, address, future)
        wait = 0
        if address in self.slow_connects and self.rng.random() < SLOW_CONNECT_SHARE:
            wait = int(self.slow_connects[address] * self.rng.random())
        due = self.scheduler.now + self.delay(sock.process.address, address[0]) + wait
        self.scheduler.call_at(due, None, attempt.syn_arrived, 0)

    def is_at_connection_limit(self, address: Address) -> bool:
        """Return whether an address has reached its maximum number of open connections."""
        limit = self.connection_limits.get(address)
        return limit is not None and sum(end.remote == address for end in self.connections.values()) >= limit

    def create_connection(self, process: Process, address: Address) -> tuple[ConnectionEnd, ConnectionEnd]:
        """Create the two ends of a new connection and return them, the opening end first."""
        self._last_connection += 1
        number = self._last_connection
        opening_end = ConnectionEnd(self, number, (process.address, self.ephemeral_port()), address, process)
        accepting_end = ConnectionEnd(self, number, address, opening_end.local, process)
        opening_end.peer = accepting_end
        accepting_end.peer = opening_end
        self.connections[number] = opening_end
        opening_end.tap = self.tap_factory(opening_end) if self.tap_factory is not None else None
        # Only the paths to upstreams, whose connections have a tap, drop idle connections.
        path_idle_timeout = self.profile.path_idle_timeout if opening_end.tap is not None else 0
        opening_end.path_idle_timeout = path_idle_timeout
        accepting_end.path_idle_timeout = path_idle_timeout
        return opening_end, accepting_end


class _ConnectAttempt:
    """One connect of a socket, with the retries of its SYN."""

    def __init__(
        self, network: Network, sock: Socket, address: Address, future: asyncio.Future[None]
    ) -> None:
        self.network = network
        self.sock = sock
        self.address = address
        self.future = future
        self.started_at = network.scheduler.now

    def syn_arrived(self, retries: int) -> None:
        """Handle a SYN at its destination: lose it, refuse it, or establish the connection."""
        network = self.network
        address = self.address
        host = self.sock.process.address
        if self.future.done() or not self.sock.process.is_alive:
            return
        if network.is_blocked(host, address[0]) or address in network.unresponsive_addresses:
            self._retry(retries)
            return
        listener = network.listeners.get(address)
        is_refused = address in network.refusing_addresses or network.is_at_connection_limit(address)
        if listener is None or is_refused:
            network.on_event("refused", host, address)
            self._schedule_answer(self._refused)
            return
        if len(listener.queue) >= listener.backlog:
            self._retry(retries)
            return
        opening_end, accepting_end = network.create_connection(self.sock.process, address)
        listener.enqueue(accepting_end)
        self._schedule_answer(self._established, opening_end)

    def _schedule_answer(self, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule the arrival of the answer to the SYN."""
        network = self.network
        delay = network.delay(self.sock.process.address, self.address[0])
        network.scheduler.call_at(network.scheduler.now + delay, None, callback, *arguments)

    def _retry(self, retries: int) -> None:
        wait = SYN_RETRY_DELAYS[min(retries, len(SYN_RETRY_DELAYS) - 1)]
        now = self.network.scheduler.now
        if now + wait < self.started_at + CONNECT_TIMEOUT:
            self.network.scheduler.call_at(now + wait, None, self.syn_arrived, retries + 1)

    def _refused(self) -> None:
        if not self.future.done():
            self.future.set_exception(ConnectionRefusedError(ECONNREFUSED, "connection refused"))

    def _established(self, opening_end: ConnectionEnd) -> None:
        if not self.sock.process.is_alive:
            opening_end.reset()
        elif self.future.done() or self.sock.closed:
            opening_end.close()
        else:
            self.sock.end = opening_end
            opening_end.sock = self.sock
            self.future.set_result(None)
