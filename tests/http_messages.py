"""Parts of long HTTP messages: bodies, chunked encoding, and request heads to fill in."""

LONG = bytes(range(256)) * 8192  # 2 MiB


def chunked(body, step=50_000):
    """Return a body in chunked encoding, with a chunk extension and a trailer."""
    parts = (body[at : at + step] for at in range(0, len(body), step))
    return (
        b"".join(b"%X;note=1\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nX-Trailer: t\r\n\r\n"
    )


HEAD = b"POST /submit HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %b\r\nX-Expires-In-Ms: 3000\r\n"
SIZED = HEAD + b"Content-Length: %d\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
