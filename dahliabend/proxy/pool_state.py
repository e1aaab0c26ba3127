"""What a router knows of its pool: the endpoints, and the policies that decide on its requests."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol, TypedDict

from msgspec import convert, to_builtins

from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.model import EndpointState, Outcome, Snapshot
from dahliabend.policy.balancer import Balancer
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.endpoint_table import MAX_REMEMBERED_IDS, EndpointTable
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.transport.timers import clock

NO_INDEX = -1


class EndpointSource(Protocol):
    """Where the endpoint list comes from."""

    first_attempt_finished: bool  # whether it has been asked for, with or without success

    def poll(self) -> None:
        """Ask for the list."""

    def stop(self) -> None:
        """Ask for nothing more."""


class EndpointEntry(TypedDict):
    """An endpoint in the form of the discovery service; `started_ms` is Unix time."""

    id: str
    addr: str
    zone: str
    cell: int
    weight: float
    state: str
    started_ms: int


class PoolTelemetry(TypedDict):
    """Counts of endpoints, by the operators' names: all of them, and those that nothing is sent to now."""

    registry_entries: int
    out_of_rotation: int


class PoolState:
    """The endpoints of a pool, as the endpoint list and operators change them, and the policies told of them.

    Attributes:
        table: The endpoints.
        monotonic_offset: Monotonic time less Unix time (us), by which starts of endpoints are converted.
        excluded: Ids of endpoints that an operator has excluded.
        discovery: Where the endpoint list comes from; None until that is known.
        class_indices: Indices of the request classes in force, by name as on the wire.
        policies: The policy in force, last, and those before it that still have requests.
        on_attempt_finished: Called with the endpoint's id and the outcome of each attempt.
        health_check_delegate: Asked whether another balancer checks an endpoint for that policy.
    """

    def __init__(self, table: EndpointTable, monotonic_offset: int) -> None:
        self.table = table
        self.monotonic_offset = monotonic_offset
        self.excluded: set[str] = set()
        self.discovery: EndpointSource | None = None
        self.class_indices: dict[bytes, int] = {}
        self.policies: list[PolicyPort] = []
        self.on_attempt_finished: Callable[[str, Outcome], None] | None = None
        self.health_check_delegate: Callable[[Endpoint, PolicyPort], bool] | None = None

    @property
    def balancer(self) -> Balancer:
        """The decisions in force."""
        return self.policies[-1].balancer

    # Endpoints.

    def endpoints_changed(self, rows: Iterable[EndpointListEntry], full: bool) -> None:
        """Take rows of the endpoint list over.

        Args:
            rows: Endpoints.
            full: What is not among them has been removed.
        """
        changed: list[tuple[Endpoint, EndpointState]] = []
        for row in rows:
            if row.state is EndpointState.REMOVED and row.name not in self.table.indices:
                continue
            endpoint = self.table.get_or_create(row.name)
            # Where only draining binds, an endpoint that the list has lost is still sent to.
            removal_binds = (
                not self.balancer.settings.can_use_removed_endpoints
                or endpoint.state is not EndpointState.READY
            )
            if row.state is not EndpointState.REMOVED or removal_binds:
                endpoint.state = row.state
            endpoint.update(row, self.monotonic_offset)
            self.update_connection_reuse(endpoint)
            changed.append((endpoint, row.state))
        for policy in self.policies:  # a drain holds for the requests of replaced policies too
            policy.endpoints_changed(changed, full)
        for index in tuple(self.table.endpoints):
            if not any(index in policy.balancer.selection.endpoints for policy in self.policies):
                self.table.remove(index)

    def update_connection_reuse(self, endpoint: Endpoint) -> None:
        """Let connections to an endpoint stay open if requests may be sent to it, else close them."""
        if endpoint.state is EndpointState.READY and endpoint.name not in self.excluded:
            endpoint.enable()
        else:
            endpoint.disable()

    def exclude(self, name: str, excluded: bool) -> bool:
        """Exclude an endpoint, or include it again, whatever the endpoint list says.

        Returns:
            False if an endpoint with that id has never been listed, or if too many are excluded already.
        """
        if name not in self.table.known_ids and name not in self.excluded:
            return False
        if excluded is (name in self.excluded):
            return True
        if excluded:
            if len(self.excluded) >= MAX_REMEMBERED_IDS:
                return False  # the limit bounds memory
            self.excluded.add(name)
        else:
            self.excluded.discard(name)
        endpoint = self.table.endpoints.get(self.table.indices.get(name, NO_INDEX))
        if endpoint is not None:
            if not excluded:
                # It may have been restarted without the list knowing yet. Taken for warmed up, it would be
                # overloaded by all balancers at once.
                endpoint.included_at = clock()
            self.update_connection_reuse(endpoint)
            for policy in self.policies:
                policy.endpoints_changed([(endpoint, endpoint.state)], full=False)
        return True

    def endpoint_poll_failed(self) -> None:
        """Tell the policies that the endpoint list could not be had."""
        for policy in self.policies:
            policy.balancer.endpoint_poll_failed(clock())

    # What policies ask for; see `model.Port`.

    def poll_endpoints(self) -> None:
        """Ask for the endpoint list."""
        if self.discovery is not None:
            self.discovery.poll()

    def close_idle_connections(self, endpoint_index: int, age: int) -> None:
        """Close the connections to an endpoint that have been idle for `age` (us) or longer."""
        self.table.endpoints[endpoint_index].close_idle(clock() - age)

    # State for a successor. Its keys are an interface between versions of this program.

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a successor in another process, with names in place of indices."""
        endpoints = self.table.endpoints
        state: dict[str, Any] = to_builtins(self.balancer.snapshot(ends=False))
        state["upstreams"] = {endpoints[index].name: known for index, known in state["upstreams"].items()}
        state["epoch"] = self.monotonic_offset
        state["profiles"] = {name.decode("latin-1"): index for name, index in self.class_indices.items()}
        state["returned"] = {each.name: each.included_at for each in endpoints.values() if each.included_at}
        state["once"] = list(self.table.known_ids)
        return state

    def restore(self, state: dict[str, Any]) -> int:
        """Go on from a predecessor's state.

        Returns:
            Of how many endpoints anything is known by it.
        """
        indices = self.table.indices
        upstreams = {indices[name]: known for name, known in state["upstreams"].items() if name in indices}
        classes = {name.encode("latin-1"): index for name, index in state["profiles"].items()}
        known = convert({**state, "upstreams": upstreams}, Snapshot)
        return self.balancer.restore(known, self.class_index_pairs(classes))

    def class_index_pairs(self, before: dict[bytes, int]) -> list[tuple[int, int]]:
        """Return the index now and the index before, for each class that both settings have."""
        return [(index, before[name]) for name, index in self.class_indices.items() if name in before]

    # What operators see.

    def attempts_in_flight(self) -> int:
        """Return the number of attempts in flight, under all policies."""
        return sum(policy.balancer.concurrency.in_flight for policy in self.policies)

    def endpoint_entries(self) -> list[EndpointEntry]:
        """Return the endpoint list as it stands, in the form of the discovery service."""
        return [
            {
                "id": endpoint.name,
                "addr": f"{endpoint.address[0]}:{endpoint.address[1]}",
                "zone": endpoint.zone,
                "cell": endpoint.cell,
                "weight": endpoint.weight,
                "state": "up" if endpoint.state is EndpointState.READY else "draining",
                "started_ms": endpoint.started_ms(self.monotonic_offset),
            }
            for endpoint in self.table.endpoints.values()
        ]

    def telemetry(self) -> PoolTelemetry:
        """Return how many endpoints there are, and to how many of them nothing is sent now."""
        ejected = sum(
            known.is_ejected or known.state is not EndpointState.READY
            for known in self.balancer.selection.endpoints.values()
        )
        return {"registry_entries": len(self.table.endpoints), "out_of_rotation": ejected}
