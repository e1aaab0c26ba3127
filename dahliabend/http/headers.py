"""Header names and paths used on the wire, message size limits, and the selection of forwarded headers."""

TRACE_ID_HEADER = b"x-trace-id"
TIMEOUT_HEADER = b"x-expires-in-ms"
RETRY_HEADER = b"x-second-try"
TENANT_HEADER = b"x-customer"
ORDERING_KEY_HEADER = b"x-item"  # requests with the same key are kept in order
NOT_EXECUTED_HEADER = b"x-never-ran"
LOAD_REPORT_HEADER = b"endpoint-load-metrics"

READY_PATH = b"/-/ready"
HEALTHY_PATH = b"/-/healthy"
LOAD_PATH = b"/-/load"

MAX_BUFFERED_BYTES = 64 * 1024  # of a body; longer ones are streamed, with at most this much waiting
MAX_BODY_BYTES = 32 * 1024 * 1024  # longer bodies are rejected
MAX_HEAD_BYTES = 16 * 1024
HEADER_OVERHEAD_BYTES = 4  # ": " and CRLF in each header line

# Hop-by-hop headers, and headers whose value the balancer sets itself for each connection.
_NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer upgrade "
    b"transfer-encoding content-length expect x-expires-in-ms x-never-ran endpoint-load-metrics".split()
)

# Headers that the balancer reads itself, beside those that it does not forward.
_READ = frozenset((TRACE_ID_HEADER, RETRY_HEADER, TENANT_HEADER, ORDERING_KEY_HEADER))
_CONNECTION_OPTIONS = frozenset((b"", b"close", b"keep-alive"))  # they name no header
FIELD_BYTES = 256  # that a header stored by name needs beside the bytes of the head

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


class HeaderFields(dict[bytes, bytes]):
    r"""Header values by name in lower case; if a name occurs more than once, the last value.

    Only the headers that the balancer itself reads are stored by name. `find` looks others up in the lines:
    a head may have thousands of them, and an object for each would need many times their bytes.

    >>> fields = HeaderFields({b"x-item": b"7"})
    >>> fields.lines = b"X-Item: 7\r\nX-Plan: a\r\nx-plan: b\r\n"
    >>> fields.find(b"x-item"), fields.find(b"x-plan"), fields.find(b"plan")
    (b'7', b'b', b'')

    Attributes:
        lines: The header lines that are not stored by name.
    """

    lines = b""

    def find(self, name: bytes) -> bytes:
        """Return the value of a header, given its name in lower case; empty if there is none."""
        value = self.get(name)
        if value is not None:
            return value
        prefix = name + b": "
        for line in reversed(self.lines.split(b"\r\n")):
            if line[: len(prefix)].lower() == prefix:
                return line[len(prefix) :]
        return b""


class HeaderCollector:
    r"""Collects the headers of one message: those that the balancer reads, and the lines to forward.

    >>> collector = HeaderCollector()
    >>> for name, value in ((b"Host", b"a"), (b"TE", b"x"), (b"X-Hop", b"1"), (b"Connection", b"X-Hop")):
    ...     collector.add(name, name.lower(), value)
    >>> collector.forwarded_lines(), collector.fields[b"te"], collector.connection_header
    (b'Host: a\r\n', b'x', b',X-Hop')

    Attributes:
        fields: Values of the headers that the balancer reads or does not forward, by name in lower case.
        lines: All header lines but those that are never forwarded.
        connection_header: Values of the Connection headers, each preceded by a comma.
    """

    __slots__ = ("connection_header", "fields", "lines")

    def __init__(self) -> None:
        self.fields = HeaderFields()
        self.lines = bytearray()
        self.connection_header = b""

    def add(self, name: bytes, lower_name: bytes, value: bytes) -> None:
        """Add a header."""
        if lower_name not in _NOT_FORWARDED:
            self.lines += b"%b: %b\r\n" % (name, value)
            if lower_name in _READ:
                self.fields[lower_name] = value
            return
        self.fields[lower_name] = value
        if lower_name == b"connection":
            self.connection_header += b"," + value

    def forwarded_lines(self) -> bytes:
        """Return the header lines to forward: without those that the Connection header names."""
        lines = bytes(self.lines)
        if not self.connection_header:
            return lines
        dropped = {name.strip().lower() for name in self.connection_header.split(b",")}
        if dropped <= _CONNECTION_OPTIONS:
            return lines
        kept = (line for line in lines.split(b"\r\n") if line.partition(b":")[0].lower() not in dropped)
        return b"".join(line + b"\r\n" for line in kept if line)

    def buffered_bytes(self) -> int:
        """Return how many bytes are held."""
        return len(self.lines) + len(self.connection_header) + FIELD_BYTES * len(self.fields)


NO_HEADERS = HeaderCollector()  # of a message that is over; nothing is added to it


def requests_close(connection_header: bytes) -> bool:
    """Return whether a Connection header asks to close the connection after its message."""
    return b"close" in connection_header.lower()
