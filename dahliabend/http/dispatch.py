"""The interfaces between client connections and the code that serves their requests."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from dahliabend.http.headers import HeaderFields
from dahliabend.http.streaming import BodySource, StreamingBody

MAX_TRACE_ID_BYTES = 128
MAX_TIMEOUT_DIGITS = 12


class Client(Protocol):
    """The receiver of a response.

    Each request is answered exactly once, in one of three ways: `send_error`; `send_response`; or
    `start_response`, then `send_part` for each part of the body, and at last `finish_response` or
    `abort_response`.

    Attributes:
        closed: Whether the connection is closed, so that nothing can be sent any more.
        class_name: Name of the request's class.
        unconfirmed_id: Trace id of the last request that may not run again and whose response has been sent;
            empty once the client is known to have it.
        on_request_finished: Called once the response has been sent or the client has disconnected.
    """

    closed: bool
    class_name: bytes
    unconfirmed_id: bytes
    on_request_finished: Callable[[], object] | None

    def has_response(self) -> bool:
        """Return whether the client may have the last response: it has not reset the connection."""

    def peer_has_closed(self) -> bool:
        """Return whether the client has closed the connection, even if bytes before that are unread."""

    def send_error(self, status: int) -> None:
        """Send an error response with the status and its reason phrase."""

    def send_response(self, status: int, headers: bytes, body: bytes) -> None:
        """Send a response whose body is complete.

        Args:
            status: The status code.
            headers: Header lines to pass on.
            body: The whole body.
        """

    def start_response(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Start a streamed response with status 200.

        Args:
            headers: Header lines to pass on.
            length: Length of the body in bytes, if known.
            source: The connection that the body is read from.
        """

    def send_part(self, data: bytes) -> None:
        """Send a part of the body of the streamed response."""

    def finish_response(self) -> None:
        """Complete the streamed response."""

    def abort_response(self) -> None:
        """Leave the streamed response incomplete, in a way that the client can detect."""


class IncomingRequest(NamedTuple):
    """A request as received from a client; one object is shared by all code that handles the request.

    Attributes:
        client: Receiver of the response.
        method: The method.
        target: The target, in origin form.
        fields: Header values by name in lower case.
        headers: Header lines to forward.
        body: The body, unless it is streamed.
        upload: A body that is still being received; None if `body` is complete.
        client_timeout: How long the client waits for the response (us).
        received_at: Clock time (us) since which the first byte may have been there.
        trace_id: Trace id of the request.
        tenant: Name of the tenant, as on the wire; empty for none.
        is_client_retry: Whether the client says that it has sent the request before.
        ordering_key: Key within which requests are kept in order; empty for none.
    """

    client: Client
    method: bytes
    target: bytes
    fields: HeaderFields
    headers: bytes
    body: bytes
    upload: StreamingBody | None
    client_timeout: int
    received_at: int
    trace_id: bytes
    tenant: bytes
    is_client_retry: bool
    ordering_key: bytes


class Dispatcher(Protocol):
    """The code that serves requests. It answers each by a method of its `Client`.

    Attributes:
        methods: The HTTP methods that it serves.
    """

    methods: frozenset[bytes]

    def classify(self, method: bytes, path: bytes, fields: HeaderFields) -> tuple[bytes, int] | None:
        """Return name and number of the request's class, or None if it belongs to no known class."""

    def read_trace_id_and_timeout(self, target_number: int, fields: HeaderFields) -> tuple[bytes, bytes]:
        """Return the request's trace id and its client timeout.

        The timeout is in milliseconds, as ASCII digits. Neither value has been validated.
        """

    def dispatch(self, incoming: IncomingRequest, target_number: int) -> int:
        """Take over a request.

        Args:
            incoming: The request.
            target_number: The number that `classify` returned.

        Returns:
            A handle that is valid until the request is answered; `NO_HANDLE` if it has been answered already.
        """

    def client_disconnected(self, handle: int) -> None:
        """Handle the loss of a client whose request has not been answered yet."""

    def response_settled(self, trace_id: bytes, *, has_response: bool) -> None:
        """Handle that a client is known to have a response, or has ended without that being known."""

    def ready(self) -> bool:
        """Return whether requests can be served."""

    def closing(self) -> bool:
        """Return whether clients should close their connections and use another balancer."""

    def request_opened(self) -> None:
        """Count a request of a known class as open."""

    def request_closed(self) -> None:
        """Stop counting a request as open: its response was sent, or its connection closed."""

    def request_shed(self, target: bytes, reserved_bytes: int) -> None:
        """Handle the rejection of a request that was being received, for lack of memory."""

    def connection_closed(self, reason: str, state: str, queued_requests: int, reserved_bytes: int) -> None:
        """Handle that this process has closed the connection of a client that awaits an answer.

        Args:
            reason: Why it was closed.
            state: What the connection was doing.
            queued_requests: Number of requests that were received and not served.
            reserved_bytes: Bytes that the connection held.
        """

    def count_response(self, name: bytes, status: int) -> None:
        """Count a response with this status to a request of the class with this name."""


def is_valid_trace_id_and_timeout(trace_id: bytes, timeout_ms: bytes) -> bool:
    """Return whether a trace id and a timeout from `Dispatcher.read_trace_id_and_timeout` are valid."""
    if not 0 < len(trace_id) <= MAX_TRACE_ID_BYTES:
        return False
    return timeout_ms.isdigit() and len(timeout_ms) <= MAX_TIMEOUT_DIGITS and int(timeout_ms) > 0
