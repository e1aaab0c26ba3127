"""One balancer of the simulation: records become calls of the policy, and its calls become actions."""

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
    """One balancer and the port through which it acts.

    The simulator names endpoints by their address, the policy by an index.

    Attributes:
        number: The simulator's number of this instance.
        requests: What is in flight, by the simulator's number of the request.
        balancer: The decisions.
    """

    def __init__(self, number: int, seed: int, settings: bytes, encoded_actions: list[bytes]) -> None:
        """Start a balancer.

        Args:
            number: The simulator's number of this instance.
            seed: Of its random numbers.
            settings: JSON, as `config.policy_settings.read_policy_settings` takes it.
            encoded_actions: Where the actions of this instance are added.

        Raises:
            SimulatorProtocolError: The settings cannot be used.
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

    # The port: what the policy does.

    def send(self, request_id: int, endpoint: int, timeout: int) -> None:
        """Send an attempt of a request to an endpoint."""
        timeout_ms = timeout / MICROSECONDS_PER_MILLISECOND
        self._actions.append(
            actions.send_attempt(self.number, request_id, self._addresses[endpoint], timeout_ms)
        )

    def reject(self, request_id: int, retry_after: int) -> None:
        """Answer that a request did not run; it is forgotten here if it had been waiting for its turn."""
        self._actions.append(
            actions.reject(self.number, request_id, retry_after / MICROSECONDS_PER_MILLISECOND)
        )
        if request_id in self.requests and self.requests[request_id].is_finished:
            del self.requests[request_id]

    def fail(self, request_id: int) -> None:
        """Answer that a request may have run."""
        self._actions.append(actions.fail(self.number, request_id))

    def cancel(self, request_id: int, attempt: int) -> None:
        """Cancel an attempt."""
        self._actions.append(actions.cancel(self.number, request_id, attempt))

    def check_health(self, endpoint: int) -> None:
        """Check the health of an endpoint."""
        self._actions.append(actions.check_health(self.number, self._addresses[endpoint]))

    def close_idle_connections(self, endpoint: int, age: int) -> None:  # noqa: ARG002 - the port has it
        """Close the idle connections to an endpoint: the simulator closes all, whatever their age."""
        self._actions.append(actions.close_idle_connections(self.number, self._addresses[endpoint]))

    def set_timer(self, at: int, token: int) -> None:
        """Fire a timer at a time in microseconds."""
        self._actions.append(actions.set_timer(self.number, token, at / MICROSECONDS_PER_MILLISECOND))

    def poll_endpoints(self) -> None:
        """Ask discovery for the endpoint list."""
        self._actions.append(actions.poll_endpoints(self.number))

    def send_to_peer(self, peer: int, payload: bytes) -> None:
        """Send a message to another instance."""
        self._actions.append(actions.send_to_peer(self.number, peer, payload))

    # What happens to the instance.

    def handle(self, now: int, record: InstanceRecord, endpoint_lists: Mapping[int, bytes]) -> None:
        """Pass a record on to the policy.

        Args:
            now: The batch's clock, in microseconds.
            record: What happened; its values are within the wire's tables.
            endpoint_lists: The encoded entries of each list that was sent, by its number.
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
                if index is not None:  # else it is in no list of this instance, which never checked it
                    self.balancer.health_check_finished(now, index, Outcome(record.outcome))
            case DiscoveryUpdate():
                self._update_endpoints(now, record, endpoint_lists)
            case PeerMessage():
                pass  # nothing is sent to peers here, so nothing of theirs is read

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
        """Pass an event of a request on to it; the simulator may still name one that is finished."""
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
        rows = [
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
        self.balancer.update_endpoints(now, rows, full=record.scope != UpdateScope.DELTA)

    def _index_of(self, address: bytes) -> int:
        index = self._indices.get(address)
        if index is None:
            index = len(self._addresses)
            self._indices[address] = index
            self._addresses.append(address)
        return index
