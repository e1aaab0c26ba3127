"""The port of a policy: carries out the decisions of the policy's `Balancer` and passes events to it."""

from collections.abc import Callable, Iterable
from typing import Protocol

from dahliabend.config.server_settings import ServerSettings
from dahliabend.model import EndpointState, EndpointUpdate, Outcome
from dahliabend.policy.balancer import Balancer
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.health_checks import HealthCheck
from dahliabend.transport.timers import TimerQueue, clock


class PolicyOwner(Protocol):
    """Interface of the router that a policy acts through; the methods are those of `model.Port`.

    Attributes:
        timers: Timers of the process.
        table: The endpoints.
        excluded: Ids of endpoints that an operator has excluded.
        policies: Replaced policies that still have open requests, followed by the current policy.
        health_check_delegate: Called before a health check with the endpoint and the policy; returns whether
            another balancer checks the endpoint and shares the result.
    """

    timers: TimerQueue
    table: EndpointTable
    excluded: set[str]
    policies: list["PolicyPort"]
    health_check_delegate: Callable[[Endpoint, "PolicyPort"], bool] | None

    def send(self, request_id: int, endpoint_index: int, timeout: int) -> None:
        """Start an attempt of a request at an endpoint, with a timeout (us)."""

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer 503: the client may send the request again, after `retry_after` (us; 0: not specified)."""

    def fail(self, request_id: int) -> None:
        """Answer 502: the request has failed and may have been executed."""

    def cancel(self, request_id: int, attempt_index: int) -> None:
        """Cancel an attempt."""

    def poll_endpoints(self) -> None:
        """Request the endpoint list."""

    def close_idle_connections(self, endpoint_index: int, age: int) -> None:
        """Close the connections to an endpoint that have been idle for at least `age` (us)."""


class PolicyPort:
    """A policy of a router, as a `Balancer` (`dahliabend.policy`) and the port that this acts through.

    A reload replaces the policy. The replaced policy stays until its last request has ended.

    Attributes:
        owner: The router that the policy decides for.
        open_requests: Number of open requests under this policy.
        request_classes: Request classes by index.
        zones: Zone indices by name. A zone that the settings don't name is added with a negative index of its
            own, because upstreams of two zones do not drop each other's repeats.
        balancer: Makes the decisions of the policy.
    """

    def __init__(self, owner: PolicyOwner, settings: ServerSettings) -> None:
        self.owner = owner
        self.open_requests = 0
        self.request_classes = settings.settings.request_classes
        self.zones = dict(settings.zone_indices)
        self.health_check_timeout = settings.health_check_timeout
        self.report_fields = settings.report_fields
        # Methods that the router implements in the same way for all its policies, bound directly to save a
        # call.
        self.send = owner.send
        self.reject = owner.reject
        self.fail = owner.fail
        self.cancel = owner.cancel
        self.poll_endpoints = owner.poll_endpoints
        self.close_idle_connections = owner.close_idle_connections
        self.balancer = Balancer(settings.settings, self, settings.seed)

    def endpoints_changed(self, endpoints: Iterable[tuple[Endpoint, EndpointState]], full: bool) -> None:
        """Pass endpoints and their states to the balancer.

        Args:
            endpoints: Endpoints, each with its state in the endpoint list.
            full: Whether these are all endpoints; otherwise only those that changed.
        """
        excluded = self.owner.excluded
        updates = [_endpoint_update(endpoint, state, excluded, self.zones) for endpoint, state in endpoints]
        self.balancer.update_endpoints(clock(), updates, full)

    # Health checks

    def check_health(self, endpoint_index: int) -> None:
        """Check an endpoint's health, unless another balancer does so and shares the result."""
        endpoint = self.owner.table.endpoints[endpoint_index]
        delegate = self.owner.health_check_delegate
        if delegate is None or not delegate(endpoint, self):
            self.start_health_check(endpoint, self.health_check_finished)

    def start_health_check(self, endpoint: Endpoint, on_result: Callable[[int, Outcome], None]) -> None:
        """Start a health check of an endpoint; `on_result` is called with its index and the outcome."""
        HealthCheck(endpoint, self.report_fields, self.health_check_timeout, on_result).start()

    def health_check_finished(self, endpoint_index: int, outcome: Outcome) -> None:
        """Report the outcome of a health check to the balancer."""
        self.balancer.health_check_finished(clock(), endpoint_index, outcome)

    # Timers and peers

    def set_timer(self, at: int, token: int) -> None:
        """Schedule a call of the balancer's `timer_fired` at a time (us), with `token`."""
        self.owner.timers.schedule(at, self.timer_fired, token)

    def timer_fired(self, token: int) -> None:
        """Report a timer to the balancer, unless the router has dropped this policy."""
        if self in self.owner.policies:
            self.balancer.timer_fired(clock(), token)

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        """Do nothing: the proxy has no channel to other balancers."""


def _endpoint_update(
    endpoint: Endpoint, state: EndpointState, excluded: set[str], zones: dict[str, int]
) -> EndpointUpdate:
    if endpoint.name in excluded and state is not EndpointState.REMOVED:
        state = EndpointState.EXCLUDED
    return EndpointUpdate(
        endpoint.index,
        state,
        max(endpoint.started_at, endpoint.included_at),
        endpoint.weight,
        endpoint.cell,
        zones.setdefault(endpoint.zone, -1 - len(zones)),
        endpoint.name.encode(),
    )
