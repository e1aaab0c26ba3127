"""One endpoint of a pool: an upstream's address and state, and the connections to it."""

from bisect import bisect_right
from operator import attrgetter
from typing import NamedTuple

from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.model import EndpointState
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, clock


class IdleConnection(NamedTuple):
    """A connection without a request, and the clock time (us) since which it has none."""

    connection: UpstreamConnection
    idle_since: int


class ReusableConnection(NamedTuple):
    """A connection taken for the next request, if there was one, and how long it had been idle (us)."""

    connection: UpstreamConnection | None
    idle_time: int


_idle_since = attrgetter("idle_since")


class Endpoint:
    """The record of one upstream, with its idle connections; the one used last is used next.

    State, start, weight, cell and zone are as the endpoint list said last: a policy with other settings needs
    them again.

    Attributes:
        resources: What it shares with the other endpoints of its pool.
        index: Its number in the pool.
        name: Its id in the endpoint list.
        address: Host and port.
        state: What the endpoint list says of it.
        started_at: When its process was started (us, monotonic); 0 if that is not known.
        included_at: When an operator last put it back, 0 if none has; it may have been restarted before.
        weight: Its part of the load, relative to the others.
        cell: The cell that it stands in.
        zone: The zone that it stands in.
        enabled: Whether requests may be sent to it, and connections to it stay open when idle.
        connections: All open connections to it.
        idle_connections: Those that are idle, the latest last; those closed meanwhile until they are removed.
    """

    def __init__(self, resources: EndpointResources, index: int, name: str) -> None:
        self.resources = resources
        self.index = index
        self.name = name
        self.address = ("", 0)
        self.state = EndpointState.REMOVED
        self.started_at = 0
        self.included_at = 0
        self.weight = 1.0
        self.cell = 0
        self.zone = ""
        self.enabled = False
        self.connections: set[UpstreamConnection] = set()
        self.idle_connections: list[IdleConnection] = []

    def update(self, row: EndpointListEntry, monotonic_offset: int) -> None:
        """Take a row of the endpoint list over, but for the state.

        Args:
            row: The row.
            monotonic_offset: Monotonic time less Unix time (us).
        """
        self.weight = row.weight
        self.cell = row.cell
        self.zone = row.zone
        self.started_at = 0
        if row.started_ms:
            started_at = row.started_ms * MICROSECONDS_PER_MILLISECOND + monotonic_offset
            self.started_at = started_at or 1  # 0 would say that it is not known
        if row.state is not EndpointState.REMOVED:
            self.set_address(row.address)

    def started_ms(self, monotonic_offset: int) -> int:
        """Return when its process was started, in Unix time (ms); 0 if that is not known. See `update`."""
        return (self.started_at - monotonic_offset) // MICROSECONDS_PER_MILLISECOND if self.started_at else 0

    def take_idle_connection(self, now: int) -> ReusableConnection:
        """Take an idle connection that is surely still open at the other end, if there is one."""
        # A surplus response may come some milliseconds late and would be taken for the next request's. Where
        # requests are frequent, many connections became idle after that time: they are not looked at singly.
        idle_long_enough = now - self.resources.reuse_delay
        position = bisect_right(self.idle_connections, idle_long_enough, key=_idle_since)
        while position:
            position -= 1
            connection, idle_since = self.idle_connections.pop(position)
            idle_time = now - idle_since
            if self._is_reusable(connection, idle_time):
                self.resources.descriptors.mark_busy(connection.handle)
                return ReusableConnection(connection, idle_time)
            connection.abort()
        return ReusableConnection(None, 0)

    def _is_reusable(self, connection: UpstreamConnection, idle_time: int) -> bool:
        # Unread bytes would be taken for the start of the next response.
        return (
            not connection.closed
            and idle_time < self.resources.idle_timeout
            and connection.unread_input() is None
        )

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Keep a connection that has no request any more, or close it where nothing more is sent."""
        if not self.enabled:
            connection.abort()
        elif not connection.closed:
            now = clock()
            self.idle_connections.append(IdleConnection(connection, now))
            self.resources.descriptors.mark_idle(connection.handle, now)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has been closed."""
        self.connections.discard(connection)
        for position, idle in enumerate(self.idle_connections):
            if idle.connection is connection:
                del self.idle_connections[position]
                return

    def close_idle(self, since: int) -> None:
        """Close the connections that have been idle since `since` or longer."""
        while self.idle_connections and self.idle_connections[0].idle_since <= since:
            self.idle_connections.pop(0).connection.abort()

    def disable(self) -> None:
        """Send nothing more: it is draining, removed or excluded."""
        self.enabled = False
        self.close_idle(clock())

    def enable(self) -> None:
        """Let requests be sent."""
        self.enabled = True

    def set_address(self, address: tuple[str, int]) -> None:
        """Connect to `address` from now on. Requests on connections to the former address are completed."""
        if address != self.address:
            self.address = address
            for connection in self.connections:
                connection.keep_alive = False
            self.close_idle(clock())
