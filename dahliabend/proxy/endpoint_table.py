"""The endpoints of one pool, by id and by index."""

from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.transport.timers import clock

MAX_REMEMBERED_IDS = 4096  # an operator may exclude an endpoint that is not listed now
SWEEPS_PER_IDLE_TIMEOUT = 8


class EndpointTable:
    """The endpoints by id and by index.

    An index is never used again: a late event of a removed endpoint finds nothing, and a new endpoint
    inherits nothing.

    Attributes:
        resources: What the endpoints share.
        endpoints: The endpoints by index.
        indices: Their indices by id.
        known_ids: Ids that have been listed, the latest last, as keys.
    """

    def __init__(self, resources: EndpointResources) -> None:
        self.resources = resources
        self.endpoints: dict[int, Endpoint] = {}
        self.indices: dict[str, int] = {}
        self.known_ids: dict[str, None] = {}
        self.next_index = 0

    def get_or_create(self, name: str) -> Endpoint:
        """Return the endpoint with that id; a new one if there is none."""
        index = self.indices.get(name)
        if index is None:
            index = self.next_index
            self.next_index += 1
            self.indices[name] = index
            self.endpoints[index] = Endpoint(self.resources, index, name)
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
        idle_timeout = self.resources.idle_timeout
        for connection in self.resources.descriptors.idle_since(clock() - idle_timeout):
            if isinstance(connection, UpstreamConnection):
                connection.abort()
        next_sweep = clock() + idle_timeout // SWEEPS_PER_IDLE_TIMEOUT
        self.resources.timers.schedule(next_sweep, self.close_expired_connections)
