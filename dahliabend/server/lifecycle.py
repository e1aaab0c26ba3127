"""The states of a server and the complete sequence of its graceful shutdown.

SIGTERM and SIGINT call `Server.stop`. A member of a cluster announces to the others that it leaves. (On
SIGUSR2 it stops sending instead, because its successor continues as the same member.) Then `Lifecycle.drain`:

1. DRAINING, at once: the server is no longer ready. Idle client connections are closed, busy ones after their
   next response. Requests without a response `ANSWER_MARGIN` before SIGKILL is due are given up: rejected
   (503) if the client may safely send them again, failed (502) otherwise. New connections are accepted for
   `ACCEPT_PERIOD`; not at all if the listening socket is inherited, because a successor accepts from it.
2. CLOSING: the connections in the listening socket's backlog are accepted (not from an inherited socket) as
   descriptors become free, and the socket is closed. Idle client connections are closed every
   `CLIENT_CHECK_INTERVAL`.
3. STOPPED, once no client connection is left, and at the latest `CLIENT_CLOSE_TIMEOUT` after requests were
   given up: the server releases its resources, logs `server.stopped`, and the process exits with status 0.
"""

import asyncio
import signal
from collections.abc import Sized
from enum import Enum, auto
from typing import Protocol

from dahliabend.server.log import Log
from dahliabend.transport.listener import Listener
from dahliabend.transport.timers import TimerQueue, clock

BLOCKED_SIGNALS = (signal.SIGHUP,)  # from the start of the process until their handlers are installed

# All times are in microseconds. The platform sends SIGKILL after SIGTERM, no sooner than the longest request
# deadline (counted up to MAX_REQUEST_TIME) plus KILL_MARGIN.
MAX_REQUEST_TIME = 3_000_000
KILL_MARGIN = 700_000
ANSWER_MARGIN = 300_000  # the last responses are sent this long before SIGKILL is due
ACCEPT_PERIOD = 500_000  # after SIGTERM; the platform opens new connections for up to 0.4 s
MIN_TIME_FOR_ACCEPTED = 50_000  # before requests are given up; of those accepted later none is read in time
CLIENT_CHECK_INTERVAL = ANSWER_MARGIN // 30  # between two checks whether all clients have disconnected
CLIENT_CLOSE_TIMEOUT = ANSWER_MARGIN // 2  # for clients to read the responses to requests that were given up


class ServerState(Enum):
    """A phase in the life of a server, by its treatment of client connections."""

    STARTING = auto()  # clients are not accepted yet
    SERVING = auto()
    DRAINING = auto()  # connections close after their response, new ones are still accepted
    CLOSING = auto()  # clients are no longer accepted; requests in flight are still answered
    STOPPED = auto()


class TrafficRouter(Protocol):
    """The router, reduced to what a shutdown needs."""

    shutdown_deadline: int

    @property
    def requests(self) -> Sized:
        """The requests in flight."""

    def shut_down_by(self, deadline: int) -> None:
        """Begin to shut down: requests without a response at clock time `deadline` (us) are given up."""


class StoppableServer(Protocol):
    """The server, reduced to what its lifecycle needs."""

    log: Log
    timers: TimerQueue
    listener: Listener
    max_request_time: int

    @property
    def router(self) -> TrafficRouter:
        """The router of client requests."""

    def close_idle_clients(self) -> Sized:
        """Close idle client connections; return all client connections that were open before."""


class Lifecycle:
    """The state of a server, with one method for each transition.

    Attributes:
        state: The server's current state.
        stopped: A future that is done once the server has stopped.
    """

    def __init__(self, server: StoppableServer, loop: asyncio.AbstractEventLoop) -> None:
        self.server = server
        self.state = ServerState.STARTING
        self.stopped: asyncio.Future[None] = loop.create_future()

    def mark_serving(self) -> None:
        """Enter SERVING, unless a shutdown has begun during the start."""
        if self.state is ServerState.STARTING:
            self.state = ServerState.SERVING

    def drain(self) -> None:
        """Begin the graceful shutdown; further calls change nothing.

        Idle client connections are closed, so that their clients connect to other balancers; connections with
        a request in flight are closed after the response. New connections are accepted for `ACCEPT_PERIOD`,
        unless another process accepts from the same listening socket.
        """
        if self.state not in (ServerState.STARTING, ServerState.SERVING):
            return
        self.state = ServerState.DRAINING
        server = self.server
        now = clock()
        server.log("shutdown.started", requests_in_flight=len(server.router.requests))
        request_time = min(server.max_request_time, MAX_REQUEST_TIME)
        server.router.shut_down_by(now + request_time + KILL_MARGIN - ANSWER_MARGIN)
        server.close_idle_clients()
        accept_period = 0 if server.listener.shared else ACCEPT_PERIOD
        server.timers.schedule(now + accept_period, self._close_listener)

    def _close_listener(self) -> None:
        """Stop accepting clients once those that wait have been accepted, as long as they can be served."""
        self.state = ServerState.CLOSING
        server = self.server
        now = clock()
        server.listener.close(force=now >= server.router.shutdown_deadline - MIN_TIME_FOR_ACCEPTED)
        if server.listener.sock is None:
            self._check_clients()
        else:
            server.close_idle_clients()
            server.timers.schedule(now + CLIENT_CHECK_INTERVAL, self._close_listener)

    def _check_clients(self) -> None:
        """Stop if no client is left or the timeout has passed; otherwise check again after an interval."""
        now = clock()
        clients = self.server.close_idle_clients()
        if not clients or now >= self.server.router.shutdown_deadline + CLIENT_CLOSE_TIMEOUT:
            self._stop()
        else:
            self.server.timers.schedule(now + CLIENT_CHECK_INTERVAL, self._check_clients)

    def _stop(self) -> None:
        """Resume `Server.end`, which releases the server's resources."""
        self.state = ServerState.STOPPED
        self.stopped.set_result(None)
