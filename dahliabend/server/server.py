"""What all servers share: listeners, clients, the admin API, signals, and the way from start to end."""

import asyncio
import signal
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from dahliabend.http.admin_connection import AdminConnection
from dahliabend.http.client_connection import ClientConnection
from dahliabend.proxy.router import Router
from dahliabend.server.admin import AdminApi
from dahliabend.server.lifecycle import ACCEPT_PERIOD, ANSWER_MARGIN, BLOCKED_SIGNALS, Lifecycle
from dahliabend.server.log import Log
from dahliabend.server.metrics import Metrics
from dahliabend.transport.descriptor_budget import ADMIN_DESCRIPTORS, PROCESS_DESCRIPTORS, DescriptorBudget
from dahliabend.transport.listener import Listener
from dahliabend.transport.timers import TimerQueue, clock

if TYPE_CHECKING:
    from dahliabend.proxy.dispatcher import Dispatcher

Address = tuple[str, int]  # IPv4 address and port

# All in microseconds.
CLIENT_IDLE_TIMEOUT = 2_000_000  # a client connection that is idle for longer is closed
IDLE_SWEEP_INTERVAL = CLIENT_IDLE_TIMEOUT // 4  # between two looks for such connections
EVACUATION_INTERVAL = ANSWER_MARGIN // 3  # between two closings of idle clients while evacuated
METRICS_INTERVAL = 5_000_000  # between two log lines of metrics


class Server(ABC):
    """A balancer on sockets, whatever it is configured by.

    Attributes:
        router: Where requests go; set by the subclass.
        max_request_time: The longest deadline of any request class so far, in microseconds.
        descriptors: Client and upstream connections, within the limit of descriptors.
        admin_descriptors: Connections of operators, which clients can't crowd out.
        admin_api: The admin calls.
        lifecycle: Where the server stands between start and end.
    """

    router: "Router | Dispatcher"

    def __init__(
        self, *, listen_address: Address, admin_address: Address | None, descriptor_limit: int, log: Log
    ) -> None:
        """Make what all servers share; the event loop has to be running.

        Args:
            listen_address: Where clients connect.
            admin_address: Where operators connect; None: nowhere.
            descriptor_limit: Descriptors that the process may have.
            log: The event log.
        """
        loop = asyncio.get_running_loop()
        self.listen_address = listen_address
        self.admin_address = admin_address
        self.log = log
        self.max_request_time = 0
        self.timers = TimerQueue(loop)
        reserved = ADMIN_DESCRIPTORS if admin_address else 0
        self.descriptors = DescriptorBudget(descriptor_limit - reserved)
        self.metrics = Metrics()
        self.listener = Listener(self.timers, self.descriptors, self.accept_client)
        self.admin_descriptors = DescriptorBudget(PROCESS_DESCRIPTORS + ADMIN_DESCRIPTORS)
        self.admin_api = AdminApi(self, log)
        self.admin_listener = Listener(self.timers, self.admin_descriptors, self.accept_operator)
        self.lifecycle = Lifecycle(self, loop)
        self._evacuation_timer: Any = None

    # Start and end.

    async def start(self) -> None:
        """Start everything, until clients are accepted.

        Raises:
            OSError: An address can't be listened on.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # A SIGHUP that came during the start is acted on now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        if self.admin_address:
            self.admin_listener.open(self.admin_address)
        await self.prepare()
        self.open_listener()
        self.lifecycle.serving()
        address = ":".join(map(str, self.listen_address))
        self.log("server.started", address=address, **self.listening_fields())
        self.log_metrics_periodically()
        self.close_idle_clients_periodically()

    @abstractmethod
    async def prepare(self) -> None:
        """Start what has to run before clients are accepted."""

    def open_listener(self) -> None:
        """Accept clients."""
        self.listener.open(self.listen_address)

    @abstractmethod
    def listening_fields(self) -> dict[str, object]:
        """Return what is logged beside the address once clients are accepted."""

    def stop(self) -> None:
        """Begin the graceful shutdown."""
        self.lifecycle.drain()

    async def end(self) -> None:
        """Wait until the graceful shutdown is over, and release what is left."""
        await self.lifecycle.stopped
        self.close()
        self.log("server.stopped", counts=self.router.counts)

    @abstractmethod
    def close(self) -> None:
        """Stop what the subclass has started."""

    @abstractmethod
    def reload(self) -> None:
        """Read the configuration again and apply it."""

    def log_unsupported(self, keys: tuple[str, ...]) -> None:
        """Log the settings that are read and not acted on, if there are any."""
        if keys:
            self.log("settings.ignored", settings=keys)

    # Clients.

    def accept_client(self) -> ClientConnection:
        """Return the protocol of a new client connection."""
        return ClientConnection(self.descriptors, self.timers, self.router, self.max_request_time)

    def accept_operator(self) -> AdminConnection:
        """Return the protocol of a new admin connection."""
        return AdminConnection(self.admin_descriptors, self.timers, self.admin_api)

    def client_connections(self, connections: Iterable[object]) -> list[ClientConnection]:
        """Return those of the connections that are of clients."""
        return [connection for connection in connections if isinstance(connection, ClientConnection)]

    def close_idle_clients(self) -> list[ClientConnection]:
        """Close client connections between two requests; return those that there were before."""
        clients = self.client_connections(self.descriptors.connections)
        for client in clients:
            client.close_if_idle(clock() - ACCEPT_PERIOD)
        return clients

    def close_idle_clients_periodically(self) -> None:
        """Close connections that have been idle for long, now and from now on.

        Many clients send one request and stay: their connections would take all descriptors.
        """
        idle = self.descriptors.idle_since(clock() - CLIENT_IDLE_TIMEOUT)
        for client in self.client_connections(idle):
            client.close_if_idle(1)
        self.timers.schedule(clock() + IDLE_SWEEP_INTERVAL, self.close_idle_clients_periodically)

    # Metrics.

    def log_metrics_periodically(self) -> None:
        """Log the metrics that on-call looks for first, now and from now on."""
        self.log_metrics()
        self.timers.schedule(clock() + METRICS_INTERVAL, self.log_metrics_periodically)

    @abstractmethod
    def log_metrics(self) -> None:
        """Log the metrics."""

    # Admin calls.

    def ready(self) -> bool:
        """Return whether requests can be served."""
        return self.listener.sock is not None and self.router.ready()

    def telemetry(self) -> dict[str, Any]:
        """Return the counts that operators see."""
        return {**self.metrics.snapshot(), **self.router.telemetry()}

    def membership_status(self) -> dict[str, Any] | None:
        """Return the other balancers; None if there is no membership."""
        return None

    def subset_status(self) -> dict[str, Any]:
        """Return, by pool, the upstreams in use, where a pool uses a subset."""
        return {}

    def gossip_status(self) -> dict[str, Any] | None:
        """Return the health reports exchanged with other balancers; None if there are none."""
        return None

    def lease_status(self) -> dict[str, Any] | None:
        """Return the leases of shared health checks; None if they are not shared."""
        return None

    def exclude(self, name: str, excluded: bool) -> bool:
        """Take an upstream out or put it back; False if no list has ever had it."""
        return self.router.exclude(name, excluded)

    def evacuate(self) -> None:
        """Send the clients to other balancers.

        What they have asked for is answered first, and those who still come are served.
        """
        self.router.evacuated = True
        self._close_clients_while_evacuated()

    def rejoin(self) -> None:
        """Keep clients again."""
        self.router.evacuated = False

    def _close_clients_while_evacuated(self) -> None:
        self.timers.cancel(self._evacuation_timer)  # the calls may come in any order, and often
        if self.router.evacuated:
            self.close_idle_clients()
            self._evacuation_timer = self.timers.schedule(
                clock() + EVACUATION_INTERVAL, self._close_clients_while_evacuated
            )
