"""Names on the wire, limits of messages, and the headers that a balancer passes on."""

TRACE_ID_HEADER = b"x-trace-id"
TIMEOUT_HEADER = b"x-expires-in-ms"
RETRY = b"x-second-try"
TENANT = b"x-customer"
ORDERING_KEY = b"x-item"  # what a request concerns: its key where requests are ordered
NOT_EXECUTED = b"x-never-ran"
LOAD_REPORT = b"endpoint-load-metrics"

READY = b"/-/ready"
HEALTHY_PATH = b"/-/healthy"
LOAD_PATH = b"/-/load"

MAX_BUFFERED_BYTES = 64 * 1024  # a body up to this is buffered whole; of a longer one no more waits at a time
MAX_BODY_BYTES = 32 * 1024 * 1024  # longer ones are rejected
MAX_HEAD_BYTES = 16 * 1024
FIELD_OVERHEAD_BYTES = 4  # of a header line: ": " and the line's end

# Hop-by-hop headers, which belong to one connection, and those that are written anew for each.
_NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer upgrade "
    b"transfer-encoding content-length expect x-expires-in-ms x-never-ran endpoint-load-metrics".split()
)

REASONS = {
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
    r"""The header lines that are passed on.

    >>> end_to_end_headers([(b"Host", b"a"), (b"TE", b"x"), (b"X-Hop", b"1")], b"close, X-Hop")
    b'Host: a\r\n'

    Args:
        headers: Name and value of each, as they came.
        connection_header: The values of Connection, which may name further headers to leave out.
    """
    dropped = {name.strip().lower() for name in connection_header.split(b",")} if connection_header else ()
    lines = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name not in _NOT_FORWARDED and lower_name not in dropped:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def requests_close(connection_header: bytes) -> bool:
    """Whether a Connection header ends the connection with its message."""
    return b"close" in connection_header.lower()
