"""Mirrored requests: copies that are sent to a mirror pool and whose responses are dropped."""

from collections.abc import Callable

from dahliabend.http.headers import TRACE_ID_HEADER
from dahliabend.http.streaming import BodySource

TRACE_ID_SUFFIX = b"-m"


class DiscardingClient:
    """The client of a mirrored request: drops the response.

    Args:
        class_name: Name of the request class.
    """

    __slots__ = ("class_name", "closed", "on_request_finished", "unconfirmed_id")

    def __init__(self, class_name: bytes) -> None:
        self.class_name = class_name
        self.closed = False
        self.unconfirmed_id = b""
        self.on_request_finished: Callable[[], object] | None = None

    def has_response(self) -> bool:
        """Return false: nobody has the response."""
        return False

    def peer_has_closed(self) -> bool:
        """Return true: nobody waits for the response."""
        return True

    def send_response(self, status: int, headers: bytes, body: bytes) -> None:
        """Drop the response."""

    def send_error(self, status: int) -> None:
        """Drop the error response."""

    def start_response(self, headers: bytes, length: int | None, source: BodySource) -> None:
        """Drop the head of a streamed response."""

    def send_part(self, part: bytes) -> None:
        """Drop a part of a streamed response."""

    def finish_response(self) -> None:
        """Do nothing."""

    def abort_response(self) -> None:
        """Do nothing."""


def mirror_headers(headers: bytes, trace_id: bytes) -> bytes:
    r"""Return the header lines of a mirrored request, with a trace id of its own.

    With the same trace id, an upstream that is in both pools would take the copy for a repeat.

    >>> mirror_headers(b"Host: a\r\nx-trace-id: 7\r\n", b"7-m")
    b'Host: a\r\nX-Trace-Id: 7-m\r\nX-Mirror: 1\r\n'
    """
    trace_prefix = TRACE_ID_HEADER + b":"
    lines = [line for line in headers.split(b"\r\n") if line and not line.lower().startswith(trace_prefix)]
    lines += [b"X-Trace-Id: " + trace_id, b"X-Mirror: 1"]
    return b"".join(line + b"\r\n" for line in lines)
