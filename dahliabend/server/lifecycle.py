"""From start to end of a server; what happens at SIGTERM stands here whole.

SIGTERM and SIGINT call `Server.stop`. A member of a cluster tells the others that it leaves (at SIGUSR2 it
falls silent instead, for a successor that goes on as this member). Then `Lifecycle.drain`:

1. DRAINING, at once: the server is not ready any more. Connections of idle clients are closed, others behind
   their next response. What is not answered `ANSWER_MARGIN` before SIGKILL is due is given up: rejected
   (503) where the client may safely send it again, failed (502) otherwise. New connections are accepted for
   `ACCEPT_PERIOD`; not at all if the listening socket is inherited, because a successor accepts from it.
2. CLOSING: the connections that wait in the system's queue are accepted (not from an inherited socket), then
   the listening socket is closed. Idle clients' connections are closed every `CLIENT_CHECK_INTERVAL`.
3. STOPPED, once no client connection is left, and at the latest `CLIENT_CLOSE_TIMEOUT` after requests were
   given up: the server releases what it has started, logs `server.stopped`, and the process ends (status 0).
"""

import asyncio
import signal
from collections.abc import Sized
from enum import Enum, auto
from typing import Protocol

from dahliabend.server.log import Log
from dahliabend.transport.listener import Listener
from dahliabend.transport.timers import TimerQueue, clock

BLOCKED_SIGNALS = (signal.SIGHUP,)  # from the start of the process until they can be acted on

# All in microseconds. The platform sends SIGKILL after SIGTERM, no sooner than the longest deadline of a
# request, counted up to MAX_REQUEST_TIME, and KILL_MARGIN.
MAX_REQUEST_TIME = 3_000_000
KILL_MARGIN = 700_000
ANSWER_MARGIN = 300_000  # before SIGKILL is due: by then the last responses go out
ACCEPT_PERIOD = 500_000  # after SIGTERM; the platform sends new connections for up to 0.4 s
CLIENT_CHECK_INTERVAL = ANSWER_MARGIN // 30  # between two looks whether all clients have gone
CLIENT_CLOSE_TIMEOUT = ANSWER_MARGIN // 2  # after requests were given up, for their responses to be read


class ServerState(Enum):
    """What a server does with clients."""

    STARTING = auto()  # no client is accepted yet
    SERVING = auto()
    DRAINING = auto()  # it was told to stop: clients are answered and sent away, late ones still accepted
    CLOSING = auto()  # no more clients are accepted; those with a request are still answered
    STOPPED = auto()


class TrafficRouter(Protocol):
    """Where requests go, as far as shutting down is concerned."""

    shutdown_deadline: int

    @property
    def requests(self) -> Sized:
        """Return the requests in flight."""

    def shut_down_by(self, when: int) -> None:
        """Give up at that time what has not been answered by then."""


class StoppableServer(Protocol):
    """The server as its lifecycle sees it."""

    log: Log
    timers: TimerQueue
    listener: Listener
    max_request_time: int

    @property
    def router(self) -> TrafficRouter:
        """Return where requests go."""

    def close_idle_clients(self) -> Sized:
        """Close connections between two requests; return the client connections that there were."""


class Lifecycle:
    """The state of a server, with one method for each transition.

    Attributes:
        state: What the server does with clients.
        stopped: Done when the server has stopped.
    """

    def __init__(self, server: StoppableServer, loop: asyncio.AbstractEventLoop) -> None:
        self.server = server
        self.state = ServerState.STARTING
        self.stopped: asyncio.Future[None] = loop.create_future()

    def mark_serving(self) -> None:
        """Clients are accepted, unless the server was told to stop while it started."""
        if self.state is ServerState.STARTING:
            self.state = ServerState.SERVING

    def drain(self) -> None:
        """Begin the graceful shutdown; told again, nothing changes.

        Connections of idle clients are closed, so that they go to other balancers; those with a request are
        answered first. New connections are accepted for a while, unless another process accepts them.
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
        """Accept no more clients."""
        self.state = ServerState.CLOSING
        self.server.listener.close()
        self._check_clients()

    def _check_clients(self) -> None:
        """Stop if no client is left or the time is over; else look again after a while."""
        now = clock()
        clients = self.server.close_idle_clients()
        if not clients or now >= self.server.router.shutdown_deadline + CLIENT_CLOSE_TIMEOUT:
            self._stop()
        else:
            self.server.timers.schedule(now + CLIENT_CHECK_INTERVAL, self._check_clients)

    def _stop(self) -> None:
        """Have `Server.end` release everything."""
        self.state = ServerState.STOPPED
        self.stopped.set_result(None)
