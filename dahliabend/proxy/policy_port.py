"""The port of one policy: what its decisions act through, and the settings that they go by."""

from collections.abc import Callable, Iterable
from typing import Protocol

from dahliabend.config.server_settings import ServerSettings
from dahliabend.model import EndpointState, EndpointUpdate, Outcome
from dahliabend.policy.balancer import Balancer
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.health_checks import HealthCheck
from dahliabend.transport.timers import TimerQueue, clock

UNKNOWN_ZONE = -1


class PolicyOwner(Protocol):
    """What a policy acts through; the methods are those of `model.Port`.

    Attributes:
        timers: Timers of the process.
        table: The endpoints.
        excluded: Ids of endpoints that an operator has excluded.
        policies: The policy in force, last, and those before it that still have requests.
        health_check_delegate: Asked whether another balancer checks an endpoint for that policy.
    """

    timers: TimerQueue
    table: EndpointTable
    excluded: set[str]
    policies: list["PolicyPort"]
    health_check_delegate: Callable[[Endpoint, "PolicyPort"], bool] | None

    def send(self, request_id: int, endpoint_index: int, timeout: int) -> None:
        """Start an attempt of a request, with a timeout (us)."""

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer 503: the client may send the request again, after `retry_after` (us; 0 for no advice)."""

    def fail(self, request_id: int) -> None:
        """Answer 502: the request failed, and may have been executed."""

    def cancel(self, request_id: int, attempt_index: int) -> None:
        """Give up an attempt."""

    def poll_endpoints(self) -> None:
        """Ask for the endpoint list."""

    def close_idle_connections(self, endpoint_index: int, age: int) -> None:
        """Close the connections to an endpoint that have been idle for `age` (us) or longer."""


class PolicyPort:
    """One policy of a router, and the port that it acts through.

    A reload replaces the policy. One that has been replaced goes on until its last request has ended.

    Attributes:
        owner: The router that it decides for.
        open_requests: How many requests it decides on.
        request_classes: The request classes, by index.
        zones: Index of each zone, by name.
        balancer: The decisions.
    """

    def __init__(self, owner: PolicyOwner, settings: ServerSettings) -> None:
        self.owner = owner
        self.open_requests = 0
        self.request_classes = settings.settings.request_classes
        self.zones = settings.zone_indices
        self.health_check_timeout = settings.health_check_timeout
        self.report_fields = settings.report_fields
        # What the router does for each of its policies in the same way, without a call in between.
        self.send = owner.send
        self.reject = owner.reject
        self.fail = owner.fail
        self.cancel = owner.cancel
        self.poll_endpoints = owner.poll_endpoints
        self.close_idle_connections = owner.close_idle_connections
        self.balancer = Balancer(settings.settings, self, settings.seed)

    def endpoints_changed(self, endpoints: Iterable[tuple[Endpoint, EndpointState]], full: bool) -> None:
        """Pass endpoints and their states on to the decisions; `full`: there are no others."""
        excluded = self.owner.excluded
        rows = [_endpoint_row(endpoint, state, excluded, self.zones) for endpoint, state in endpoints]
        self.balancer.update_endpoints(clock(), rows, full)

    # Health checks.

    def check_health(self, endpoint_index: int) -> None:
        """Check an endpoint's health, unless another balancer does it and shares its result."""
        endpoint = self.owner.table.endpoints[endpoint_index]
        delegate = self.owner.health_check_delegate
        if delegate is None or not delegate(endpoint, self):
            self.start_health_check(endpoint, self.health_check_finished)

    def start_health_check(self, endpoint: Endpoint, on_result: Callable[[int, Outcome], None]) -> None:
        """Check an endpoint's health; `on_result` gets its index and the outcome."""
        HealthCheck(endpoint, self.report_fields, self.health_check_timeout, on_result).start()

    def health_check_finished(self, endpoint_index: int, outcome: Outcome) -> None:
        """Pass the outcome of a health check on to the decisions."""
        self.balancer.health_check_finished(clock(), endpoint_index, outcome)

    # Timers and peers.

    def set_timer(self, at: int, token: int) -> None:
        """Call the decisions back at a time (us), with `token`."""
        self.owner.timers.schedule(at, self.timer_fired, token)

    def timer_fired(self, token: int) -> None:
        """Call the decisions back, unless the policy is not in force any more."""
        if self in self.owner.policies:
            self.balancer.timer_fired(clock(), token)

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        """Do nothing: balancers have no channel to each other here."""


def _endpoint_row(
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
        zones.get(endpoint.zone, UNKNOWN_ZONE),
        endpoint.name.encode(),
    )
