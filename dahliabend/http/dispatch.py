"""The interface between clients' connections and whatever serves their requests."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from dahliabend.http.streaming import BodySource, StreamingBody

MAX_TRACE_ID_BYTES = 128
MAX_TIMEOUT_DIGITS = 12


class Client(Protocol):
    """Whoever waits for a response. A request is answered once, in one of three ways.

    These are `send_error`; `send_response`; `start_response`, `send_part` for each part, and then
    `finish_response` or `abort_response`.

    Attributes:
        closed: It has gone: nothing is sent any more.
        class_name: Name of the request's class.
        on_request_finished: Called once the response is sent or the client has gone.
    """

    closed: bool
    class_name: bytes
    on_request_finished: Callable[[], object] | None

    def send_error(self, status: int) -> None:
        """Answers with an error and its reason."""

    def send_response(self, status: int, headers: bytes, body: bytes) -> None:
        """Answers with a response that is known whole.

        Args:
            status: The status code.
            headers: Header lines to pass on.
            body: The whole body.
        """

    def start_response(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Begins a successful response that is passed on while it comes.

        Args:
            headers: Header lines to pass on.
            length: Bytes of its body, if known.
            source: The connection that it comes from.
        """

    def send_part(self, part: bytes) -> None:
        """Passes on a part of its body."""

    def finish_response(self) -> None:
        """It is complete."""

    def abort_response(self) -> None:
        """It stays incomplete, and the client has to see that."""


class IncomingRequest(NamedTuple):
    """A request as it has been read from a client: one object for all who handle it.

    Attributes:
        client: Who waits for the response.
        method: The method.
        target: The target, in origin form.
        fields: Values of its headers by name in lower case.
        headers: Header lines that are forwarded.
        body: The body, unless it is streamed.
        upload: A body that is still being received; None if `body` is complete.
        client_timeout: How long the client waits (us).
        received_at: Clock time (us) of its first byte.
        trace_id: Its id.
        tenant: Name of the tenant, as on the wire; empty for none.
        is_retry: Whether the client says that it has sent the request before.
        ordering_key: What it concerns, where order is kept; empty for nothing.
    """

    client: Client
    method: bytes
    target: bytes
    fields: dict[bytes, bytes]
    headers: bytes
    body: bytes
    upload: StreamingBody | None
    client_timeout: int
    received_at: int
    trace_id: bytes
    tenant: bytes
    is_retry: bool
    ordering_key: bytes


class Dispatcher(Protocol):
    """Where requests go. It answers each by a method of its `Client`.

    Attributes:
        methods: The HTTP methods that it serves.
    """

    methods: frozenset[bytes]

    def classify(self, method: bytes, path: bytes, fields: dict[bytes, bytes]) -> tuple[bytes, int] | None:
        """Name and number of a request's class; None if it is of no known one."""

    def read_trace_id_and_timeout(self, class_number: int, fields: dict[bytes, bytes]) -> tuple[bytes, bytes]:
        """A request's trace id, and how many milliseconds its client waits, as digits."""

    def dispatch(self, incoming: IncomingRequest, class_number: int) -> int:
        """Takes a request.

        Args:
            incoming: The request.
            class_number: What `classify` said of it.

        Returns:
            A handle that names the request until it is answered; `NO_HANDLE` if it has been already.
        """

    def client_disconnected(self, handle: int) -> None:
        """The client of a request that is not answered has gone."""

    def ready(self) -> bool:
        """Whether requests can be served."""

    def closing(self) -> bool:
        """Whether clients are to go elsewhere."""

    def request_opened(self) -> None:
        """A request of a known class is being served."""

    def request_closed(self) -> None:
        """Its response has been sent, or its connection is closed."""

    def count_response(self, name: bytes, status: int) -> None:
        """A request of that class is answered with that status."""


def is_valid_identity(trace_id: bytes, timeout_ms: bytes) -> bool:
    """Whether the trace id and timeout that `Dispatcher.read_trace_id_and_timeout` found can be used."""
    if not 0 < len(trace_id) <= MAX_TRACE_ID_BYTES:
        return False
    return timeout_ms.isdigit() and len(timeout_ms) <= MAX_TIMEOUT_DIGITS and int(timeout_ms) > 0
