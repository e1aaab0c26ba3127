"""Encoding of responses to clients: heads, and the framing of streamed bodies."""

from enum import Enum

from dahliabend.http.headers import REASON_PHRASES
from dahliabend.http.streaming import LAST_CHUNK, BodySource
from dahliabend.transport.timers import MICROSECONDS_PER_SECOND

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONNECTION_CLOSE = b"Connection: close\r\n"
HTTP_1_1 = "1.1"


def retry_after_header(retry_after: int) -> bytes:
    r"""Return the Retry-After header line for a delay in microseconds; empty for 0.

    >>> retry_after_header(1_500_000), retry_after_header(0)
    (b'Retry-After: 1.500\r\n', b'')
    """
    return b"Retry-After: %.3f\r\n" % (retry_after / MICROSECONDS_PER_SECOND) if retry_after else b""


def response_head(status: int, headers: bytes, connection_line: bytes, body_length: int) -> bytes:
    """Return the head of a response whose body length is known.

    Args:
        status: The status code.
        headers: Further header lines.
        connection_line: The Connection header line, or nothing.
        body_length: Length of the body in bytes.
    """
    start = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (
        status,
        REASON_PHRASES.get(status, b"Other"),
        body_length,
    )
    return start + headers + connection_line + b"\r\n"


class Framing(Enum):
    """How the end of a body is marked."""

    CONTENT_LENGTH = 0
    CHUNKED = 1
    UNTIL_CLOSE = 2  # the connection ends with the body: for clients without support for chunks


class StreamedResponse:
    """The encoding of a response with status 200 whose body is passed on while it is received.

    Attributes:
        source: The connection that the body is read from.
        framing: How the end of the body is marked.
        length: Length of the body in bytes, if known.
    """

    __slots__ = ("framing", "length", "source")

    def __init__(self, source: BodySource, length: int | None, http_version: str) -> None:
        """Choose the framing from the body length and the client's HTTP version.

        Args:
            source: The connection that the body is read from.
            length: Length of the body in bytes, if known.
            http_version: HTTP version of the client's request, such as `1.1`.
        """
        self.source = source
        self.length = length
        if length is not None:
            self.framing = Framing.CONTENT_LENGTH
        elif http_version == HTTP_1_1:
            self.framing = Framing.CHUNKED
        else:
            self.framing = Framing.UNTIL_CLOSE

    def head(self, headers: bytes, connection_line: bytes) -> bytes:
        """Return the response head, with further header lines and the Connection header line."""
        if self.length is not None:
            framing = b"Content-Length: %d\r\n" % self.length
        elif self.framing is Framing.CHUNKED:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing = b""
        return b"HTTP/1.1 200 OK\r\n" + framing + headers + connection_line + b"\r\n"

    def frame(self, data: bytes) -> tuple[bytes, ...]:
        """Return the pieces to write for a part of the body."""
        if self.framing is Framing.CHUNKED:
            return b"%x\r\n" % len(data), data, b"\r\n"
        return (data,)

    def terminator(self) -> bytes:
        """Return the bytes that follow the last part of the body."""
        return LAST_CHUNK if self.framing is Framing.CHUNKED else b""
