"""The interface between clients' connections and whatever serves their requests."""

from collections.abc import Callable
from typing import Protocol

from dahliabend.http.streaming import BodySource, StreamingBody

MAX_TRACE_ID_BYTES = 128
MAX_TIMEOUT_DIGITS = 12


class Client(Protocol):
    """Whoever waits for a response. A request is answered once, in one of three ways.

    These are `send_error`; `send_response`; `start_response`, `send_part` for each part, and then
    `finish_response` or `abort_response`.

    Attributes:
        closed: It has gone: nothing is sent any more.
        profile: Name of the request's profile.
        on_request_finished: Called once the response is sent or the client has gone.
    """

    closed: bool
    profile: bytes
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


class Dispatcher(Protocol):
    """Where requests go. It answers each by a method of its `Client`.

    Attributes:
        methods: The HTTP methods that it serves.
    """

    methods: frozenset[bytes]

    def classify(self, method: bytes, path: bytes, fields: dict[bytes, bytes]) -> tuple[bytes, int] | None:
        """Name and number of the profile that a request is of; None if of no known one."""

    def identify(self, profile: int, fields: dict[bytes, bytes]) -> tuple[bytes, bytes]:
        """A request's trace id, and how many milliseconds its client waits, as digits."""

    def dispatch(  # noqa: PLR0913 - the parts of a request, all but the first few by keyword
        self,
        client: Client,
        profile: int,
        method: bytes,
        target: bytes,
        headers: bytes,
        body: bytes,
        *,
        client_timeout: int,
        received_at: int,
        tenant: bytes,
        is_retry: bool,
        trace_id: bytes,
        upload: StreamingBody | None,
        key: bytes,
    ) -> int:
        """Takes a request.

        Args:
            client: Whoever waits for the response.
            profile: Number of the request's profile.
            method: The HTTP method.
            target: The target, in origin form.
            headers: The header lines to pass on.
            body: The whole body; empty if that still comes.
            client_timeout: Microseconds that the client waits.
            received_at: Clock time of the request's first byte.
            tenant: Name of the tenant, if any.
            is_retry: The client has sent it before.
            trace_id: The request's id.
            upload: The body, if that still comes.
            key: Its ordering key, if any.

        Returns:
            A handle that names the request until it is answered; `NO_HANDLE` if it has been already.
        """

    def client_disconnected(self, number: int) -> None:
        """The client of a request that is not answered has gone."""

    def ready(self) -> bool:
        """Whether requests can be served."""

    def closing(self) -> bool:
        """Whether clients are to go elsewhere."""

    def request_opened(self) -> None:
        """A request of a known profile is being served."""

    def request_closed(self) -> None:
        """Its response has been sent, or its connection is closed."""

    def count_response(self, name: bytes, status: int) -> None:
        """A request of that profile is answered with that status."""


def is_valid_identity(trace_id: bytes, timeout_ms: bytes) -> bool:
    """Whether a request's trace id and timeout, as `Dispatcher.identify` found them, can be used."""
    if not 0 < len(trace_id) <= MAX_TRACE_ID_BYTES:
        return False
    return timeout_ms.isdigit() and len(timeout_ms) <= MAX_TIMEOUT_DIGITS and int(timeout_ms) > 0
