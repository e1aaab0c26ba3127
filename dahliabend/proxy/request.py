"""One request of a client, from its admission until the last of its attempts has ended."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from dahliabend.http.dispatch import Client
from dahliabend.http.streaming import StreamingBody
from dahliabend.model import Outcome
from dahliabend.policy.retries import RequestState
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.transport.timers import clock

MARGIN_DIVISOR = 8  # the margin for the way back to the client is at most this part of its timeout


class IncomingRequest(NamedTuple):
    """A request as it has been read from a client.

    Attributes:
        client: Who waits for the response.
        method: The method.
        target: The request target.
        headers: Header lines that are forwarded.
        body: The body, unless it is streamed.
        client_timeout: How long the client waits (us).
        received_at: When its first byte came (us).
        tenant: Name of the tenant, as on the wire.
        is_retry: Whether the client says that it has sent the request before.
        trace_id: Its id.
        upload: A body that is still being received; None if `body` is complete.
        key: What it concerns, where order is kept; empty for nothing.
    """

    client: Client
    method: bytes
    target: bytes
    headers: bytes
    body: bytes
    client_timeout: int
    received_at: int
    tenant: bytes
    is_retry: bool
    trace_id: bytes
    upload: StreamingBody | None
    key: bytes


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
    """A request that has been admitted: its client, its state in the policy, and its attempts.

    Attributes:
        client: Who waits for the response.
        class_index: Index of its class in the settings.
        class_name: Name of its class, as on the wire.
        route_name: Name of the route that it came by; empty without an operator's file.
        head: Its request line.
        headers: Header lines that are forwarded.
        body: Its body, unless it is streamed.
        upload: Its body, if that is streamed.
        trace_id: Its id.
        client_timeout: How long its client waits (us), less a margin.
        admitted_at: When it was admitted (us).
        number: Its handle among the router's requests; -1 for none.
        state: Its state in the policy; None until the policy has decided on its admission.
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
        "body",
        "class_index",
        "class_name",
        "client",
        "client_timeout",
        "head",
        "headers",
        "number",
        "on_rejected",
        "policy",
        "route_name",
        "state",
        "trace_id",
        "upload",
    )

    def __init__(
        self, client: Client, class_index: int, head: bytes, headers: bytes, body: bytes, trace_id: bytes
    ) -> None:
        self.client = client
        self.class_index = class_index
        self.class_name = b""
        self.route_name = ""
        self.head = head
        self.headers = headers
        self.body = body
        self.upload: StreamingBody | None = None
        self.trace_id = trace_id
        self.client_timeout = 0
        self.admitted_at = clock()
        self.number = -1
        # Set during the admission; no event of an attempt needs them earlier.
        self.state: RequestState = None  # type: ignore[assignment] # see above
        self.policy: PolicyPort = None  # type: ignore[assignment] # see above
        self.attempts: list[RequestAttempt] = []
        self.attempt_records: list[AttemptRecord] = []
        self.answered = False
        self.on_rejected: Callable[[int], None] | None = None

    def set_client_timeout(self, timeout: int, margin: int) -> None:
        """Set how long there is for a response, with a margin for its way back to the client.

        On a busy machine the request's bytes have lain unread for a while, and so will those of the response:
        one that is sent at the very limit comes too late.
        """
        self.client_timeout = timeout - min(margin, timeout // MARGIN_DIVISOR)

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
