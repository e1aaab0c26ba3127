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


def end_to_end_headers(headers: list[tuple[bytes, bytes]], connection_header: bytes = b"") -> bytes:
    r"""Return the header lines to forward.

    >>> end_to_end_headers([(b"Host", b"a"), (b"TE", b"x"), (b"X-Hop", b"1")], b"close, X-Hop")
    b'Host: a\r\n'

    Args:
        headers: Names and values, as received.
        connection_header: Value of the Connection header, which may name further headers to drop.
    """
    dropped = {name.strip().lower() for name in connection_header.split(b",")} if connection_header else ()
    lines = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name not in _NOT_FORWARDED and lower_name not in dropped:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def requests_close(connection_header: bytes) -> bool:
    """Return whether a Connection header asks to close the connection after its message."""
    return b"close" in connection_header.lower()
