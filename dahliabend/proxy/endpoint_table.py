"""The endpoints of one pool, and what their connections share."""

from collections.abc import Callable

from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue, clock

MAX_REMEMBERED_IDS = 4096  # an operator may exclude an endpoint that is not listed now
REUSE_DELAY_DIVISOR = 8  # of the connect timeout
SWEEPS_PER_IDLE_TIMEOUT = 8


class EndpointTable:
    """The endpoints by id and by index.

    An index is never used again: a late event of a removed endpoint finds nothing, and a new endpoint
    inherits nothing.

    Attributes:
        timers: Timers of the process.
        descriptors: The budget of descriptors that connections are counted against.
        connect_timeout: How long a connection may take to open (us).
        idle_timeout: How long an idle connection is used again (us), beginning with `reuse_delay`.
        log: Writes a line to the log at level debug.
        endpoints: The endpoints by index.
        indices: Their indices by id.
        known_ids: Ids that have been listed, the latest last, as keys.
    """

    def __init__(
        self,
        timers: TimerQueue,
        descriptors: DescriptorBudget,
        connect_timeout: int,
        idle_timeout: int,
        log: Callable[..., None],
    ) -> None:
        self.timers = timers
        self.descriptors = descriptors
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.log = log
        self.endpoints: dict[int, Endpoint] = {}
        self.indices: dict[str, int] = {}
        self.known_ids: dict[str, None] = {}
        self.next_index = 0

    @property
    def reuse_delay(self) -> int:
        """How long after a response its connection isn't used again (us): a surplus one may still come."""
        return self.connect_timeout // REUSE_DELAY_DIVISOR

    def get_or_create(self, name: str) -> Endpoint:
        """Return the endpoint with that id; a new one if there is none."""
        index = self.indices.get(name)
        if index is None:
            index = self.next_index
            self.next_index += 1
            self.indices[name] = index
            self.endpoints[index] = Endpoint(self, index, name)
            self.remember_id(name)
        return self.endpoints[index]

    def remember_id(self, name: str) -> None:
        """Note that an endpoint with that id has been listed."""
        self.known_ids.pop(name, None)
        self.known_ids[name] = None
        if len(self.known_ids) > MAX_REMEMBERED_IDS:
            del self.known_ids[next(iter(self.known_ids))]

    def remove(self, index: int) -> None:
        """Remove an endpoint. Requests that are out keep its record until they end."""
        endpoint = self.endpoints.pop(index)
        del self.indices[endpoint.name]
        endpoint.disable()

    def close_expired_connections(self) -> None:
        """Close, now and regularly, idle connections that the other end is about to close.

        A request written to such a connection would be lost.
        """
        for connection in self.descriptors.idle_since(clock() - self.idle_timeout):
            if isinstance(connection, UpstreamConnection):
                connection.abort()
        next_sweep = clock() + self.idle_timeout // SWEEPS_PER_IDLE_TIMEOUT
        self.timers.schedule(next_sweep, self.close_expired_connections)
