"""The endpoints of one pool, by id and by index."""

from collections.abc import Container

from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.transport.timers import clock

MAX_REMEMBERED_IDS = (
    4096  # beside those that are listed, as an operator may exclude an endpoint that has gone
)
SWEEPS_PER_IDLE_TIMEOUT = 8


class EndpointTable:
    """The endpoints of a pool by id and by index.

    An index is never reused: a late event of a removed endpoint finds no endpoint, and a new endpoint
    inherits no state.

    Attributes:
        resources: Resources shared by the endpoints.
        endpoints: Endpoints by index.
        indices: Indices by id.
        listed_ids: Ids of the whole endpoint list, where the table has only a part of it.
        remembered_ids: Ids that have been listed or excluded, as keys, the most recent last; at most
            `MAX_REMEMBERED_IDS`. An id that is listed is known without them.
    """

    def __init__(self, resources: EndpointResources) -> None:
        self.resources = resources
        self.endpoints: dict[int, Endpoint] = {}
        self.indices: dict[str, int] = {}
        self.listed_ids: Container[str] = ()
        self.remembered_ids: dict[str, None] = {}
        self.next_index = 0

    def get_or_create(self, endpoint_id: str) -> Endpoint:
        """Return the endpoint with an id, creating it if there is none."""
        index = self.indices.get(endpoint_id)
        if index is None:
            index = self.next_index
            self.next_index += 1
            self.indices[endpoint_id] = index
            self.endpoints[index] = Endpoint(self.resources, index, endpoint_id)
            self.remember_id(endpoint_id)
        return self.endpoints[index]

    def is_known(self, endpoint_id: str) -> bool:
        """Return whether an id is listed, or has been listed or excluded as far as that is remembered."""
        return (
            endpoint_id in self.indices
            or endpoint_id in self.listed_ids
            or endpoint_id in self.remembered_ids
        )

    def remember_id(self, endpoint_id: str) -> None:
        """Record that an id has been listed or excluded; the oldest record over the limit is dropped."""
        self.remembered_ids.pop(endpoint_id, None)
        self.remembered_ids[endpoint_id] = None
        if len(self.remembered_ids) > MAX_REMEMBERED_IDS:
            del self.remembered_ids[next(iter(self.remembered_ids))]

    def remove(self, index: int) -> None:
        """Remove an endpoint; requests in flight keep a reference to it until they end."""
        endpoint = self.endpoints.pop(index)
        del self.indices[endpoint.name]
        self.remember_id(endpoint.name)  # it may have been listed long ago
        endpoint.disable()

    def close_expired_connections(self) -> None:
        """Close expired idle connections, and schedule the next sweep.

        The upstream is about to close them; a request written to one of them would be lost.
        """
        idle_timeout = self.resources.idle_timeout
        for connection in self.resources.descriptors.idle_since(clock() - idle_timeout):
            if isinstance(connection, UpstreamConnection):
                connection.abort()
        next_sweep = clock() + idle_timeout // SWEEPS_PER_IDLE_TIMEOUT
        self.resources.timers.schedule(next_sweep, self.close_expired_connections)
