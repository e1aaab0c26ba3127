"""A client's request, from its admission until its last attempt has ended."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from dahliabend.http.dispatch import IncomingRequest
from dahliabend.model import DeduplicationScope, Idempotency, Outcome
from dahliabend.policy.records import RequestState
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.transport.handles import NO_HANDLE
from dahliabend.transport.timers import clock

REQUEST_BYTES = 6 * 1024  # of a request with an attempt in flight, beside its headers and its body


class AttemptRecord(NamedTuple):
    """An ended attempt, as it is logged."""

    endpoint_name: str
    outcome_name: str
    duration_ms: int


class RequestAttempt(Protocol):
    """Interface of an attempt, as far as requests and the router use it."""

    def cancel_unsent(self) -> None:
        """Cancel the attempt unless it has been written completely."""

    def give_up(self, outcome: Outcome) -> None:
        """Stop waiting for the attempt and finish it with an outcome."""


class Request:
    """A client's request with its attempts and its state in the policy.

    Attributes:
        incoming: The request as read from the client.
        class_index: Index of the request class in the settings.
        class_name: Name of the request class, as bytes.
        route_name: Name of the route that the request matched; empty without an operator's file.
        request_line: The request line, with its line end.
        reserved_bytes: What the request holds in memory, on the account of the process.
        client_time_limit: How long the client waits (us), minus a margin.
        admitted_at: When the request was created and handed to the policy (us).
        handle: Handle in the router's table of requests; `NO_HANDLE` before it has one.
        is_admission_decided: Whether the policy has admitted, queued or rejected the request.
        state: State of the request in the policy; set as soon as `is_admission_decided` is true.
        policy: The policy that decides on the request.
        attempts: Attempts by index, in the same order as in the policy.
        attempt_records: The attempts that have ended, in order of their end.
        answered: Whether the request needs no further attempt: a response has been sent, or the client has
            disconnected.
        succeeded: Whether its client has been sent the whole response of an upstream.
        on_rejected: Called with the handle, in place of a response, if the request is rejected on admission.
    """

    __slots__ = (
        "admitted_at",
        "answered",
        "attempt_records",
        "attempts",
        "class_index",
        "class_name",
        "client_time_limit",
        "handle",
        "incoming",
        "is_admission_decided",
        "on_rejected",
        "policy",
        "request_line",
        "reserved_bytes",
        "route_name",
        "state",
        "succeeded",
    )
    state: RequestState

    def __init__(
        self, incoming: IncomingRequest, class_index: int, client_time_limit: int, policy: PolicyPort
    ) -> None:
        self.incoming = incoming
        self.class_index = class_index
        self.class_name = incoming.client.class_name
        self.route_name = ""
        self.request_line = b"%b %b HTTP/1.1\r\n" % (incoming.method, incoming.target)
        self.reserved_bytes = REQUEST_BYTES + len(incoming.headers) + len(incoming.body)
        self.client_time_limit = client_time_limit
        self.admitted_at = clock()
        self.handle = NO_HANDLE
        self.is_admission_decided = False
        self.policy = policy
        self.attempts: list[RequestAttempt] = []
        self.attempt_records: list[AttemptRecord] = []
        self.answered = False
        self.succeeded = False
        self.on_rejected: Callable[[int], None] | None = None

    @property
    def runs_once(self) -> bool:
        """Whether the request must not run again at any endpoint once it may have run."""
        request_class = self.policy.request_classes[self.class_index]
        if request_class.effect is Idempotency.DEDUPLICATED:
            return request_class.deduplication_scope is not DeduplicationScope.ALL
        return request_class.effect is Idempotency.NON_IDEMPOTENT

    def body_consumed(self) -> None:
        """Report to the policy that a part of the streamed body is gone, so that no attempt can resend it."""
        self.state.body_consumed()

    def mark_answered(self, responding: RequestAttempt | None = None) -> None:
        """Mark the request as answered, or its client as disconnected, and cancel unsent attempts.

        Args:
            responding: The attempt whose response is being streamed to the client; it is not cancelled.
        """
        self.answered = True
        for attempt in tuple(self.attempts):
            if attempt is not responding:
                attempt.cancel_unsent()
