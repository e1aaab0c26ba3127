"""The form of responses to clients: heads, and the framing of bodies that are passed on while they come."""

from enum import Enum

from dahliabend.http.headers import REASONS
from dahliabend.http.streaming import LAST_CHUNK, BodySource
from dahliabend.transport.timers import MICROSECONDS_PER_SECOND

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONNECTION_CLOSE = b"Connection: close\r\n"
HTTP_1_1 = "1.1"


def retry_after_header(retry_after: int) -> bytes:
    r"""The header line that says when to come back, in microseconds; nothing for 0.

    >>> retry_after_header(1_500_000), retry_after_header(0)
    (b'Retry-After: 1.500\r\n', b'')
    """
    return b"Retry-After: %.3f\r\n" % (retry_after / MICROSECONDS_PER_SECOND) if retry_after else b""


def response_head(status: int, headers: bytes, connection_line: bytes, body_length: int) -> bytes:
    """The head of a response whose body is known.

    Args:
        status: The status code.
        headers: Further header lines.
        connection_line: The Connection header's line, or nothing.
        body_length: Bytes of its body.
    """
    start = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (
        status,
        REASONS.get(status, b"Other"),
        body_length,
    )
    return start + headers + connection_line + b"\r\n"


class Framing(Enum):
    """How the end of a body is marked."""

    CONTENT_LENGTH = 0
    CHUNKED = 1
    UNTIL_CLOSE = 2  # by the end of the connection: for clients that do not understand chunks


class StreamedResponse:
    """A successful response that is passed on while it comes.

    Attributes:
        source: The connection that it comes from.
        framing: How its end is marked.
    """

    __slots__ = ("framing", "length", "source")

    def __init__(self, source: BodySource, length: int | None, http_version: str) -> None:
        """Creates it.

        Args:
            source: The connection that it comes from.
            length: Bytes of its body, if known.
            http_version: The client's, as `1.1`.
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
        """Its head, with further header lines and the Connection header's line."""
        if self.length is not None:
            framing = b"Content-Length: %d\r\n" % self.length
        elif self.framing is Framing.CHUNKED:
            framing = b"Transfer-Encoding: chunked\r\n"
        else:
            framing = b""
        return b"HTTP/1.1 200 OK\r\n" + framing + headers + connection_line + b"\r\n"

    def frame(self, part: bytes) -> tuple[bytes, ...]:
        """The pieces in which a part of the body goes out."""
        if self.framing is Framing.CHUNKED:
            return b"%x\r\n" % len(part), part, b"\r\n"
        return (part,)

    def terminator(self) -> bytes:
        """What follows the last part."""
        return LAST_CHUNK if self.framing is Framing.CHUNKED else b""
