"""One request of a client, from its admission until the last of its attempts has ended."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from dahliabend.http.dispatch import IncomingRequest
from dahliabend.model import Outcome
from dahliabend.policy.records import RequestState
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.transport.handles import NO_HANDLE
from dahliabend.transport.timers import clock


class AttemptRecord(NamedTuple):
    """An attempt that has ended, as it stands in the log."""

    endpoint_name: str
    outcome_name: str
    duration_ms: int


class RequestAttempt(Protocol):
    """What a request needs of its attempts."""

    def cancel_unsent(self) -> None:
        """Give it up unless it has been written completely."""

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting for it."""


class Request:
    """A request that has been admitted: its state in the policy, and its attempts.

    Attributes:
        incoming: The request as it has been read from its client.
        class_index: Index of its class in the settings.
        class_name: Name of its class, as on the wire.
        route_name: Name of the route that it came by; empty without an operator's file.
        head: Its request line.
        client_timeout: How long its client waits (us), less a margin.
        admitted_at: When it was admitted (us).
        number: Its handle among the router's requests; -1 for none.
        is_admitted: Whether the policy has decided on its admission.
        state: Its state in the policy, from then on.
        policy: The policy that decides on it.
        attempts: Its attempts, by their index in the policy.
        attempt_records: Those of them that have ended, in that order.
        answered: Whether it has its response, or its client has gone: nothing more is sent for it.
        on_rejected: Called with its number, in place of an answer, if it is rejected during its admission.
    """

    __slots__ = (
        "admitted_at",
        "answered",
        "attempt_records",
        "attempts",
        "class_index",
        "class_name",
        "client_timeout",
        "head",
        "incoming",
        "is_admitted",
        "number",
        "on_rejected",
        "policy",
        "route_name",
        "state",
    )
    state: RequestState

    def __init__(
        self, incoming: IncomingRequest, class_index: int, client_timeout: int, policy: PolicyPort
    ) -> None:
        self.incoming = incoming
        self.class_index = class_index
        self.class_name = incoming.client.class_name
        self.route_name = ""
        self.head = b"%b %b HTTP/1.1\r\n" % (incoming.method, incoming.target)
        self.client_timeout = client_timeout
        self.admitted_at = clock()
        self.number = NO_HANDLE
        self.is_admitted = False
        self.policy = policy
        self.attempts: list[RequestAttempt] = []
        self.attempt_records: list[AttemptRecord] = []
        self.answered = False
        self.on_rejected: Callable[[int], None] | None = None

    def body_consumed(self) -> None:
        """Handle that a part of the streamed body is gone: no further attempt could send it."""
        self.state.body_consumed()

    def mark_answered(self, responding: RequestAttempt | None = None) -> None:
        """Note that it has its response, or that its client has gone; attempts not sent yet are cancelled.

        Args:
            responding: The attempt whose response is being streamed to the client.
        """
        self.answered = True
        for attempt in tuple(self.attempts):
            if attempt is not responding:
                attempt.cancel_unsent()
