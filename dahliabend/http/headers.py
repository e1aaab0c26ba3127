"""Names on the wire and the headers that a balancer passes on."""

TRACE, EXPIRES, RETRY = b"x-trace-id", b"x-expires-in-ms", b"x-second-try"
TENANT, ORDERING_KEY = b"x-customer", b"x-item"  # item: what a request concerns, its key where order is kept
NOT_EXECUTED, LOAD_REPORT = b"x-never-ran", b"endpoint-load-metrics"
READY, HEALTHY, LOAD_PATH = b"/-/ready", b"/-/healthy", b"/-/load"

MAX_BUFFERED_BYTES = (
    64 * 1024
)  # a body or an answer up to this is kept whole; of a longer one no more waits at a time
MAX_BODY_BYTES = 32 * 1024 * 1024  # longer ones are refused
MAX_HEAD_BYTES = 16 * 1024

# They belong to one connection, or are written anew for each.
_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer upgrade "
    b"transfer-encoding content-length expect x-expires-in-ms x-never-ran endpoint-load-metrics".split()
)

REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
    503: b"Service Unavailable",
}  # fmt: skip


def end_to_end_headers(headers: list[tuple[bytes, bytes]], connection_header: bytes = b"") -> bytes:
    """The end-to-end ones, as lines; `named` is the Connection header, which may name further ones.

    >>> end_to_end_headers([(b"Host", b"a"), (b"TE", b"x"), (b"X-Hop", b"1")], b"close, X-Hop")
    b'Host: a\\r\\n'
    """
    dropped = {name.strip().lower() for name in connection_header.split(b",")} if connection_header else ()
    lines = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name not in _HOP_BY_HOP and lower_name not in dropped:
            lines.append(b"%b: %b\r\n" % (name, value))
    return b"".join(lines)


def requests_close(connection_header: bytes) -> bool:
    return b"close" in connection_header.lower()
