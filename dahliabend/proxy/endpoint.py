"""An endpoint of a pool: the address and state of an upstream, and the connections to it."""

from bisect import bisect_right
from operator import attrgetter
from typing import NamedTuple

from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.model import EndpointState
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.transport.timers import MICROSECONDS_PER_MILLISECOND, clock


class IdleConnection(NamedTuple):
    """A connection without a request, and the clock time (us) at which it became idle."""

    connection: UpstreamConnection
    idle_since: int


class ReusableConnection(NamedTuple):
    """An idle connection taken for the next request, or None, and how long it had been idle (us)."""

    connection: UpstreamConnection | None
    idle_time: int


_idle_since = attrgetter("idle_since")


class Endpoint:
    """An upstream of a pool and the connections to it; the most recent idle connection is reused first.

    State, start time, weight, cell and zone keep the last values from the endpoint list, because a policy
    with new settings is given them again.

    Attributes:
        resources: Resources shared by the endpoints of a pool.
        index: Index in the pool.
        name: Id in the endpoint list.
        address: Host and port.
        state: State according to the endpoint list.
        started_at: When the upstream process was started (us, monotonic); 0 if unknown.
        included_at: When an operator last included the endpoint again (us), 0 if never; the process may have
            been restarted before that.
        weight: Capacity relative to the other endpoints.
        cell: Cell that the endpoint belongs to, a deduplication scope.
        zone: Zone that the endpoint belongs to.
        enabled: Whether requests may be sent to the endpoint and its idle connections stay open.
        connections: All open connections to the endpoint.
        idle_connections: The idle ones, most recent last. A connection that has been closed stays here until
            it is removed.
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

    def update(self, entry: EndpointListEntry, monotonic_offset: int) -> None:
        """Apply an entry of the endpoint list, except for the state.

        Args:
            entry: The entry.
            monotonic_offset: Monotonic time minus Unix time (us).
        """
        self.weight = entry.weight
        if entry.state is not EndpointState.REMOVED:  # such an entry may leave out cell and zone
            self.cell = entry.cell
            self.zone = entry.zone
        self.started_at = 0
        if entry.started_ms:
            started_at = entry.started_ms * MICROSECONDS_PER_MILLISECOND + monotonic_offset
            self.started_at = started_at or 1  # 0 means unknown
        if entry.state is not EndpointState.REMOVED:
            self.set_address(entry.address)

    def started_ms(self, monotonic_offset: int) -> int:
        """Return when the upstream process was started, in Unix time (ms); 0 if unknown.

        Args:
            monotonic_offset: Monotonic time minus Unix time (us).
        """
        return (self.started_at - monotonic_offset) // MICROSECONDS_PER_MILLISECOND if self.started_at else 0

    def take_idle_connection(self, now: int) -> ReusableConnection:
        """Take an idle connection that can be reused safely, if there is one, and close unusable ones."""
        # A surplus response may arrive some milliseconds late and would be taken for the response to the next
        # request, so connections are reused only after a delay. At high request rates many connections became
        # idle within that delay: the binary search skips them.
        newest_reusable = now - self.resources.reuse_delay
        position = bisect_right(self.idle_connections, newest_reusable, key=_idle_since)
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
        # Unread input would be taken for the start of the next response.
        return (
            not connection.closed
            and idle_time < self.resources.idle_timeout
            and not connection.unprocessed
            and connection.unread_in_kernel() is None
        )

    def return_connection(self, connection: UpstreamConnection) -> None:
        """Keep a connection as idle after its request, or close it if the endpoint is disabled."""
        if not self.enabled:
            connection.abort()
        elif not connection.closed:
            now = clock()
            self.idle_connections.append(IdleConnection(connection, now))
            self.resources.descriptors.mark_idle(connection.handle, now)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        for position, idle in enumerate(self.idle_connections):
            if idle.connection is connection:
                del self.idle_connections[position]
                return

    def close_idle(self, since: int) -> None:
        """Close the connections that became idle at `since` (us) or earlier."""
        while self.idle_connections and self.idle_connections[0].idle_since <= since:
            self.idle_connections.pop(0).connection.abort()

    def disable(self) -> None:
        """Stop sending requests and close idle connections: the endpoint is draining, removed or excluded."""
        self.enabled = False
        self.close_idle(clock())

    def enable(self) -> None:
        """Allow requests to be sent."""
        self.enabled = True

    def set_address(self, address: tuple[str, int]) -> None:
        """Connect to `address` from now on; requests on connections to the previous address are completed."""
        if address != self.address:
            self.address = address
            for connection in self.connections:
                connection.keep_alive = False
            self.close_idle(clock())
