"""State of a pool: its endpoints, the policies that decide on its requests, and snapshots of both."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol, TypedDict

from msgspec import convert, to_builtins

from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.model import EndpointState, Outcome, Snapshot
from dahliabend.policy.balancer import Balancer
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.transport.timers import clock

NO_INDEX = -1


class EndpointSource(Protocol):
    """Interface of the source of the endpoint list."""

    first_attempt_finished: bool  # whether the first request for the list has ended, successfully or not

    def poll(self) -> None:
        """Request the list."""

    def stop(self) -> None:
        """Stop requesting the list."""


class DiscoveryEntry(TypedDict):
    """An endpoint in the format of the discovery service; `started_ms` is in Unix time."""

    id: str
    addr: str
    zone: str
    cell: int
    weight: float
    state: str
    started_ms: int


class PoolTelemetry(TypedDict):
    """Counts of all endpoints and of those that currently receive no requests, by the names for operators."""

    registry_entries: int
    out_of_rotation: int


class PoolState:
    """The endpoints of a pool, and its policies, which are told of changes by the list or an operator.

    Attributes:
        table: The endpoints.
        monotonic_offset: Monotonic time minus Unix time (us); converts the start times of endpoints.
        excluded: Ids of endpoints that an operator has excluded.
        discovery: Source of the endpoint list; None until it is set.
        class_indices: Indices of the current request classes, by name as bytes.
        policies: Replaced policies that still have open requests, followed by the current policy.
        on_attempt_finished: Called with the endpoint's id and the outcome of each attempt.
        health_check_delegate: Called before a health check with the endpoint and the policy; returns whether
            another balancer checks the endpoint and shares the result.
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
        """The balancer of the current policy, which makes the decisions."""
        return self.policies[-1].balancer

    # Endpoints

    def endpoints_changed(self, entries: Iterable[EndpointListEntry], full: bool) -> None:
        """Apply entries of the endpoint list.

        Args:
            entries: Entries of the list.
            full: Whether the entries are the whole list, so that all other endpoints have been removed;
                otherwise they are only its changes.
        """
        changed: list[tuple[Endpoint, EndpointState]] = []
        for entry in entries:
            if entry.state is EndpointState.REMOVED and entry.name not in self.table.indices:
                continue
            endpoint = self.table.get_or_create(entry.name)
            # With `can_use_removed_endpoints`, a ready endpoint that has been removed from the list keeps
            # receiving requests until it is draining.
            is_removal_applied = (
                not self.balancer.settings.can_use_removed_endpoints
                or endpoint.state is not EndpointState.READY
            )
            if entry.state is not EndpointState.REMOVED or is_removal_applied:
                endpoint.state = entry.state
            endpoint.update(entry, self.monotonic_offset)
            self.update_connection_reuse(endpoint)
            changed.append((endpoint, entry.state))
        for policy in self.policies:  # draining also applies to open requests under replaced policies
            policy.endpoints_changed(changed, full)
        for index in tuple(self.table.endpoints):
            if not any(index in policy.balancer.selection.endpoints for policy in self.policies):
                self.table.remove(index)

    def update_connection_reuse(self, endpoint: Endpoint) -> None:
        """Keep connections to an endpoint open if requests may be sent to it, otherwise close them."""
        if endpoint.state is EndpointState.READY and endpoint.name not in self.excluded:
            endpoint.enable()
        else:
            endpoint.disable()

    def exclude(self, endpoint_id: str, excluded: bool) -> bool:
        """Exclude an endpoint, or include it again, whatever its state in the endpoint list.

        An exclusion is kept until it is taken back, however many there are: each is a call of an operator.

        Returns:
            False if no endpoint with that id is listed or remembered as listed.
        """
        if not (self.table.is_known(endpoint_id) or endpoint_id in self.excluded):
            return False
        if excluded is (endpoint_id in self.excluded):
            return True
        if excluded:
            self.excluded.add(endpoint_id)
        else:
            self.excluded.discard(endpoint_id)
        endpoint = self.table.endpoints.get(self.table.indices.get(endpoint_id, NO_INDEX))
        if endpoint is not None:
            if not excluded:
                # The endpoint may have been restarted meanwhile without the list saying so yet. Treated as
                # warmed up, it would be overloaded by all balancers at once.
                endpoint.included_at = clock()
            self.update_connection_reuse(endpoint)
            for policy in self.policies:
                policy.endpoints_changed([(endpoint, endpoint.state)], full=False)
        return True

    def endpoint_poll_failed(self) -> None:
        """Report to the policies that requesting the endpoint list has failed."""
        for policy in self.policies:
            policy.balancer.endpoint_poll_failed(clock())

    # Methods of `model.Port`, called by policies

    def poll_endpoints(self) -> None:
        """Request the endpoint list."""
        if self.discovery is not None:
            self.discovery.poll()

    def close_idle_connections(self, endpoint_index: int, age: int) -> None:
        """Close the connections to an endpoint that have been idle for at least `age` (us)."""
        self.table.endpoints[endpoint_index].close_idle(clock() - age)

    # Snapshots for a successor process; their keys are an interface between versions of this program

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a successor process, with names in place of indices."""
        endpoints = self.table.endpoints
        state: dict[str, Any] = to_builtins(self.balancer.snapshot(is_final=False))
        state["upstreams"] = {
            endpoints[index].name: endpoint_state for index, endpoint_state in state["upstreams"].items()
        }
        state["epoch"] = self.monotonic_offset
        state["profiles"] = {name.decode("latin-1"): index for name, index in self.class_indices.items()}
        state["returned"] = {
            endpoint.name: endpoint.included_at for endpoint in endpoints.values() if endpoint.included_at
        }
        state["once"] = list(self.table.remembered_ids)
        return state

    def check_snapshot(self, state: dict[str, Any]) -> None:
        """Check that the state of the predecessor process can be restored, without restoring anything.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: The state is malformed.
        """
        dict(state["profiles"].items())
        convert({**state, "upstreams": dict(enumerate(state["upstreams"].values()))}, Snapshot)

    def restore(self, state: dict[str, Any]) -> int:
        """Restore the state of the predecessor process.

        Returns:
            The number of endpoints whose state has been restored.
        """
        indices = self.table.indices
        upstreams = {
            indices[name]: endpoint_state
            for name, endpoint_state in state["upstreams"].items()
            if name in indices
        }
        classes = {name.encode("latin-1"): index for name, index in state["profiles"].items()}
        snapshot = convert({**state, "upstreams": upstreams}, Snapshot)
        return self.balancer.restore(snapshot, self.class_index_pairs(classes))

    def class_index_pairs(self, previous: dict[bytes, int]) -> list[tuple[int, int]]:
        """Return pairs of current and previous index, one for each class that both settings have.

        Args:
            previous: Indices of the previous request classes, by name as bytes.
        """
        return [(index, previous[name]) for name, index in self.class_indices.items() if name in previous]

    # State for operators

    def attempts_in_flight(self) -> int:
        """Return the number of attempts in flight under all policies."""
        return sum(policy.balancer.concurrency.in_flight for policy in self.policies)

    def endpoint_entries(self) -> list[DiscoveryEntry]:
        """Return the current endpoint list in the format of the discovery service."""
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
        """Return the number of endpoints, and of those that currently receive no requests."""
        out_of_rotation = sum(
            endpoint.is_ejected or endpoint.state is not EndpointState.READY
            for endpoint in self.balancer.selection.endpoints.values()
        )
        return {"registry_entries": len(self.table.endpoints), "out_of_rotation": out_of_rotation}
