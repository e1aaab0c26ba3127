"""Handlers with which a fake upstream responds to a request, called with the connection and the request.

The return value tells whether the upstream keeps the connection open.
"""

from collections.abc import Callable
from socket import socket

from helpers import make_response

Request = tuple[str, dict[str, str], bytes]  # request line, headers and body

NOT_EXECUTED = "X-Never-Ran: 1\r\n"  # response header: the upstream has not executed the request


def disconnect(conn: socket, request: Request) -> bool:
    """Close the connection without a response."""
    return False


def send_truncated(conn: socket, request: Request) -> None:
    """Send a response without its last two bytes, and close the connection."""
    conn.sendall(make_response(b"whole", extra_headers="")[:-2])


def send_unframed(conn: socket, request: Request) -> None:
    """Send a response that is not framed by a length or by chunks, and close the connection."""
    conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nno length, so no end but the connection's")


def respond_with(head: str, extra_headers: str = "", body: bytes = b"") -> Callable[[socket, Request], bool]:
    """Return a handler that sends this response."""
    return lambda conn, request: conn.sendall(make_response(body, head, extra_headers)) is None
