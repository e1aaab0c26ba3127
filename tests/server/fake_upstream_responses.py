"""Ways in which a fake upstream answers a request; each is called with the connection and the request.

What they return says whether the connection goes on.
"""

from collections.abc import Callable
from socket import socket

from helpers import answer

Request = tuple[str, dict[str, str], bytes]  # first line, headers and body

NOT_EXECUTED = "X-Never-Ran: 1\r\n"  # header of a response that says that the request was not executed


def disconnect(conn: socket, request: Request) -> bool:
    """Close the connection without an answer."""
    return False


def send_truncated(conn: socket, request: Request) -> None:
    """Send a response without its last two bytes, and close the connection."""
    conn.sendall(answer(b"whole", extra="")[:-2])


def send_unframed(conn: socket, request: Request) -> None:
    """Send a response without a length, and close the connection."""
    conn.sendall(b"HTTP/1.1 200 OK\r\n\r\nno length, so no end but the connection's")


def respond_with(head: str, extra: str = "", body: bytes = b"") -> Callable[[socket, Request], bool]:
    """Return a way that sends this response."""
    return lambda conn, request: conn.sendall(answer(body, head, extra)) is None
