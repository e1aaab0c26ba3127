"""A simulated balancer instance, which passes records to the policy and encodes the policy's actions."""

from collections.abc import Mapping

from dahliabend.config.policy_settings import read_policy_settings, to_microseconds
from dahliabend.errors import SimulatorProtocolError
from dahliabend.model import EndpointState, EndpointUpdate, Outcome
from dahliabend.policy.balancer import Balancer
from dahliabend.policy.records import RequestState
from dahliabend.simulator_adapter import actions
from dahliabend.simulator_adapter.wire_format import (
    ENDPOINT_ENTRY,
    IS_REPEATED,
    AttemptFinished,
    ClientDisconnected,
    DiscoveryUpdate,
    HealthCheckFinished,
    InstanceRecord,
    PeerMessage,
    RequestReceived,
    ResponseStarted,
    TimerFired,
    UpdateScope,
)

MICROSECONDS_PER_MILLISECOND = 1000


class Instance:
    """A balancer and the policy port through which it acts.

    The simulator identifies endpoints by address, the policy by index.

    Attributes:
        number: The number that the simulator gave this instance.
        requests: Requests in flight, by the simulator's request number.
        balancer: The policy of this instance.
    """

    def __init__(self, number: int, seed: int, settings: bytes, encoded_actions: list[bytes]) -> None:
        """Start a balancer.

        Args:
            number: The number that the simulator gave this instance.
            seed: The seed of the policy's random numbers.
            settings: JSON in the format of `config.policy_settings.read_policy_settings`.
            encoded_actions: The list to which the instance appends its encoded actions.

        Raises:
            SimulatorProtocolError: The settings are invalid.
        """
        self.number = number
        self.requests: dict[int, RequestState] = {}
        self._actions = encoded_actions
        self._addresses: list[bytes] = []  # by endpoint index
        self._indices: dict[bytes, int] = {}
        try:
            policy_settings = read_policy_settings(settings)
        except ValueError as error:
            raise SimulatorProtocolError(f"settings of instance {number}: {error}") from None
        self.balancer = Balancer(policy_settings, self, seed)

    # Policy port

    def send(self, request_id: int, endpoint: int, timeout: int) -> None:
        """Send an attempt of a request to an endpoint."""
        timeout_ms = timeout / MICROSECONDS_PER_MILLISECOND
        self._actions.append(
            actions.send_attempt(self.number, request_id, self._addresses[endpoint], timeout_ms)
        )

    def reject(self, request_id: int, retry_after: int) -> None:
        """Respond that a request was not executed, and drop its state if it is finished.

        It is finished here if it was rejected while it waited for an earlier request of its ordering key.
        """
        self._actions.append(
            actions.reject(self.number, request_id, retry_after / MICROSECONDS_PER_MILLISECOND)
        )
        if request_id in self.requests and self.requests[request_id].is_finished:
            del self.requests[request_id]

    def fail(self, request_id: int) -> None:
        """Respond that a request failed and may have been executed."""
        self._actions.append(actions.fail(self.number, request_id))

    def cancel(self, request_id: int, attempt: int) -> None:
        """Cancel an attempt."""
        self._actions.append(actions.cancel(self.number, request_id, attempt))

    def check_health(self, endpoint: int) -> None:
        """Start a health check of an endpoint."""
        self._actions.append(actions.check_health(self.number, self._addresses[endpoint]))

    def close_idle_connections(self, endpoint: int, age: int) -> None:  # noqa: ARG002 - required by the port
        """Close all idle connections to an endpoint; the simulator's action takes no age."""
        self._actions.append(actions.close_idle_connections(self.number, self._addresses[endpoint]))

    def set_timer(self, at: int, token: int) -> None:
        """Set a timer to fire at a time in microseconds."""
        self._actions.append(actions.set_timer(self.number, token, at / MICROSECONDS_PER_MILLISECOND))

    def poll_endpoints(self) -> None:
        """Request the endpoint list from discovery."""
        self._actions.append(actions.poll_endpoints(self.number))

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        """Send a message to another instance."""
        self._actions.append(actions.send_to_peer(self.number, peer, payload))

    # Records

    def handle(self, now: int, record: InstanceRecord, endpoint_lists: Mapping[int, bytes]) -> None:
        """Pass a record to the policy.

        Args:
            now: The clock of the batch, in microseconds.
            record: The record, with codes that have been checked against the protocol.
            endpoint_lists: The encoded entries of all endpoint lists received so far, by list number.
        """
        match record:
            case RequestReceived():
                self._receive_request(now, record)
            case AttemptFinished() | ResponseStarted() | ClientDisconnected():
                self._advance_request(now, record)
            case TimerFired():
                self.balancer.timer_fired(now, record.token)
            case HealthCheckFinished():
                index = self._indices.get(record.address)
                # This instance never checks an address that was in none of its lists.
                if index is not None:
                    self.balancer.health_check_finished(now, index, Outcome(record.outcome))
            case DiscoveryUpdate():
                self._update_endpoints(now, record, endpoint_lists)
            case PeerMessage():
                pass  # simulated instances send no messages to peers, so received ones are ignored

    def _receive_request(self, now: int, record: RequestReceived) -> None:
        request = self.balancer.admit(
            now,
            record.request,
            record.request_class,
            record.tenant,
            to_microseconds(record.deadline),
            bool(record.options & IS_REPEATED),
            key=record.key,
        )
        if not request.is_finished:
            self.requests[record.request] = request

    def _advance_request(
        self, now: int, record: AttemptFinished | ResponseStarted | ClientDisconnected
    ) -> None:
        """Pass an event to its request. Events of requests that are already finished are ignored."""
        request = self.requests.get(record.request)
        if request is None:
            return
        match record:
            case AttemptFinished():
                duration = to_microseconds(record.duration)
                is_complete = bool(record.is_complete)
                request.attempt_finished(now, record.attempt, Outcome(record.outcome), duration, is_complete)
            case ClientDisconnected():
                request.client_disconnected(now)
            case ResponseStarted():
                request.response_started(now, record.attempt)
        if request.is_finished:
            self.requests.pop(record.request, None)

    def _update_endpoints(
        self, now: int, record: DiscoveryUpdate, endpoint_lists: Mapping[int, bytes]
    ) -> None:
        if record.scope == UpdateScope.FAILED:
            self.balancer.endpoint_poll_failed(now)
            return
        entries = endpoint_lists.get(record.list_number, b"")
        updates = [
            EndpointUpdate(
                self._index_of(address),
                EndpointState(state),
                to_microseconds(started_at),
                weight,
                cell,
                zone,
                address,
            )
            for started_at, weight, cell, zone, address, state, _ in ENDPOINT_ENTRY.iter_unpack(entries)
        ]
        self.balancer.update_endpoints(now, updates, full=record.scope != UpdateScope.DELTA)

    def _index_of(self, address: bytes) -> int:
        index = self._indices.get(address)
        if index is None:
            index = len(self._addresses)
            self._indices[address] = index
            self._addresses.append(address)
        return index
