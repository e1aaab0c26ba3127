"""The base class of servers: listeners, client connections, the admin API, signals, start and shutdown."""

import asyncio
import signal
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from dahliabend.discovery.watch_connection import WatchConnection
from dahliabend.http.admin_connection import AdminConnection
from dahliabend.http.client_connection import ClientConnection
from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.proxy.router import Router
from dahliabend.server.admin import AdminApi
from dahliabend.server.lifecycle import ACCEPT_PERIOD, ANSWER_MARGIN, BLOCKED_SIGNALS, Lifecycle
from dahliabend.server.log import Log
from dahliabend.server.memory_guard import MEGABYTE, MemoryGuard
from dahliabend.server.metrics import Metrics
from dahliabend.transport.descriptor_budget import ADMIN_DESCRIPTORS, PROCESS_DESCRIPTORS, DescriptorBudget
from dahliabend.transport.listener import Listener
from dahliabend.transport.loop_budget import LoopBudget
from dahliabend.transport.memory_budget import MemoryBudget
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, TimerQueue, clock

if TYPE_CHECKING:
    from dahliabend.proxy.dispatcher import Dispatcher

Address = tuple[str, int]  # IPv4 address and port
DEFAULT_MEMORY_LIMIT = 1024 * MEGABYTE  # bytes, where the configuration states none

# All times are in microseconds.
CLIENT_IDLE_TIMEOUT = 2_000_000  # client connections that are idle for longer are closed
IDLE_SWEEP_INTERVAL = CLIENT_IDLE_TIMEOUT // 4  # between two sweeps for such connections
EVACUATION_INTERVAL = ANSWER_MARGIN // 3  # between two sweeps that close idle clients during an evacuation
MAX_TIMER_LATENESS = 10_000  # from which on input is read before timers are run
METRICS_INTERVAL = 5_000_000  # between two log lines of metrics


class Server(ABC):
    """A running balancer, independent of the form of its configuration.

    Attributes:
        router: The router of client requests; set by the subclass.
        max_request_time: The longest deadline of any request class so far, in microseconds.
        memory: The account of what the process holds for its peers.
        loop_budget: Divides the event loop's time among the connections.
        memory_guard: Compares the account with the process.
        descriptors: The descriptor budget of client and upstream connections.
        admin_descriptors: The budget of admin connections; separate, so that clients can't use it up.
        admin_api: The admin API.
        lifecycle: The server's state and its transitions.
    """

    router: "Router | Dispatcher"

    def __init__(
        self,
        *,
        listen_address: Address,
        admin_address: Address | None,
        descriptor_limit: int,
        log: Log,
        memory_limit: int = DEFAULT_MEMORY_LIMIT,
    ) -> None:
        """Create a server that does not listen yet; an event loop has to be running.

        Args:
            listen_address: The address that clients connect to.
            admin_address: The address that operators connect to; None for no admin API.
            descriptor_limit: The maximum number of descriptors that the process may have open.
            log: The event log.
            memory_limit: The memory in bytes at which the process is killed.
        """
        loop = asyncio.get_running_loop()
        self.listen_address = listen_address
        self.admin_address = admin_address
        self.log = log
        self.max_request_time = 0
        self.timers = TimerQueue(loop, MAX_TIMER_LATENESS)
        reserved = ADMIN_DESCRIPTORS if admin_address else 0
        self.memory = MemoryBudget()
        self.loop_budget = LoopBudget(loop)
        self.descriptors = DescriptorBudget(descriptor_limit - reserved, self.memory, self.loop_budget)
        self.memory_guard = MemoryGuard(memory_limit, self.memory, self.descriptors, self.timers, log)
        self.metrics = Metrics()
        self.listener = Listener(self.timers, self.descriptors, self.make_client_connection)
        self.admin_descriptors = DescriptorBudget(
            PROCESS_DESCRIPTORS + ADMIN_DESCRIPTORS, self.memory, self.loop_budget
        )
        self.admin_api = AdminApi(self, log)
        self.admin_listener = Listener(self.timers, self.admin_descriptors, self.make_admin_connection)
        self.lifecycle = Lifecycle(self, loop)
        self._evacuation_timer: Any = None

    # Start and shutdown

    async def start(self) -> None:
        """Install the signal handlers, open the listeners, and start accepting clients.

        Raises:
            OSError: The server can't listen on one of its addresses.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # A SIGHUP that arrived during the start is handled now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        if self.admin_address:
            self.admin_listener.open(self.admin_address)
        await self.prepare()
        self.memory_guard.open()
        self.open_listener()
        self.lifecycle.mark_serving()
        address = ":".join(map(str, self.listen_address))
        self.log("server.started", address=address, **self.started_event_fields())
        self.log_metrics_periodically()
        self.close_idle_clients_periodically()

    @abstractmethod
    async def prepare(self) -> None:
        """Start the components that have to run before clients are accepted."""

    def open_listener(self) -> None:
        """Start accepting clients."""
        self.listener.open(self.listen_address)

    @abstractmethod
    def started_event_fields(self) -> dict[str, object]:
        """Return the fields of `server.started` beside the address."""

    def stop(self) -> None:
        """Begin the graceful shutdown."""
        self.lifecycle.drain()

    async def end(self) -> None:
        """Wait until the graceful shutdown is complete, then release the remaining resources."""
        await self.lifecycle.stopped
        self.close()
        self.log("server.stopped", counts=self.router.counts)

    @abstractmethod
    def close(self) -> None:
        """Stop the components that the subclass has started."""

    @abstractmethod
    def reload(self) -> None:
        """Read the configuration file again and apply it."""

    def log_unsupported(self, keys: tuple[str, ...]) -> None:
        """Log the keys of settings that are accepted but have no effect, if there are any."""
        if keys:
            self.log("settings.ignored", settings=keys)

    # Clients

    def make_client_connection(self) -> ClientConnection:
        """Create the connection object for a client that the listener accepts."""
        return ClientConnection(self.descriptors, self.timers, self.router, self.max_request_time)

    def make_admin_connection(self) -> AdminConnection:
        """Create the connection object for an operator that the listener accepts."""
        return AdminConnection(self.admin_descriptors, self.timers, self.admin_api)

    def client_connections(self, connections: Iterable[object]) -> list[ClientConnection]:
        """Return the client connections among these connections."""
        return [connection for connection in connections if isinstance(connection, ClientConnection)]

    def close_idle_clients(self) -> list[ClientConnection]:
        """Close idle client connections; return all client connections that were open before."""
        clients = self.client_connections(self.descriptors.connections)
        for client in clients:
            client.close_if_idle(clock() - ACCEPT_PERIOD)
        return clients

    def close_idle_clients_periodically(self) -> None:
        """Close client connections idle for longer than `CLIENT_IDLE_TIMEOUT`, now and at intervals.

        Many clients send one request and keep the connection open; these would use up all descriptors.
        """
        idle = self.descriptors.idle_since(clock() - CLIENT_IDLE_TIMEOUT)
        for client in self.client_connections(idle):
            client.close_if_idle(1)
        self.timers.schedule(clock() + IDLE_SWEEP_INTERVAL, self.close_idle_clients_periodically)

    # Metrics

    def log_metrics_periodically(self) -> None:
        """Log the metrics that on-call engineers look at first, now and every `METRICS_INTERVAL`."""
        self.log_metrics()
        self.log("resources.reported", **self.resource_metrics())
        self.timers.schedule(clock() + METRICS_INTERVAL, self.log_metrics_periodically)

    def resource_metrics(self) -> dict[str, object]:
        """Return what the process holds in memory, for whom, and the longest turn of its event loop."""
        reserved_by = {
            kind.__name__: sum(
                holder.reserved_bytes for holder in self.memory.holders if isinstance(holder, kind)
            )
            for kind in (ClientConnection, UpstreamConnection, WatchConnection)
        }
        return {
            "resident_bytes": self.memory_guard.resident,
            "reserved_bytes": self.memory.reserved,
            "unaccounted_bytes": self.memory_guard.unaccounted,
            "reserved_by": reserved_by,
            "relieved": self.memory.relieved,
            "longest_iteration_ms": self.loop_budget.take_longest() // MICROSECONDS_PER_MILLISECOND,
            "closed": dict(self.descriptors.closed_by_reason),
        }

    @abstractmethod
    def log_metrics(self) -> None:
        """Log the current metrics as `metrics.reported`."""

    # Admin calls

    def ready(self) -> bool:
        """Return whether the server listens and its router can serve requests."""
        return self.listener.sock is not None and self.router.ready()

    def telemetry(self) -> dict[str, Any]:
        """Return the counters of the admin call `/api/telemetry`."""
        return {**self.metrics.snapshot(), **self.router.telemetry()}

    def membership_status(self) -> dict[str, Any] | None:
        """Return the members of the cluster; None if the server is not a member of one."""
        return None

    def subset_status(self) -> dict[str, Any]:
        """Return, by pool, the subset of upstreams in use; pools without a subset are left out."""
        return {}

    def gossip_status(self) -> dict[str, Any] | None:
        """Return the health reports exchanged with other balancers; None without health gossip."""
        return None

    def lease_status(self) -> dict[str, Any] | None:
        """Return the leases of shared health checks; None if health checks are not shared."""
        return None

    def exclude(self, name: str, excluded: bool) -> bool:
        """Exclude an upstream from all pools or include it again.

        Returns:
            Whether the upstream has ever been in an endpoint list.
        """
        return self.router.exclude(name, excluded)

    def evacuate(self) -> None:
        """Close client connections, so that clients connect to other balancers, until `rejoin` is called.

        Requests in flight are answered first, and clients that still connect are served.
        """
        self.router.evacuated = True
        self._close_clients_while_evacuated()

    def rejoin(self) -> None:
        """End the evacuation: client connections are kept open again."""
        self.router.evacuated = False

    def _close_clients_while_evacuated(self) -> None:
        self.timers.cancel(self._evacuation_timer)  # operators may evacuate repeatedly, or rejoin in between
        if self.router.evacuated:
            self.close_idle_clients()
            self._evacuation_timer = self.timers.schedule(
                clock() + EVACUATION_INTERVAL, self._close_clients_while_evacuated
            )
