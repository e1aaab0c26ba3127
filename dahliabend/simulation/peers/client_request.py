"""A request of a simulated client and its encoding as HTTP/1.1."""

from collections.abc import Callable
from dataclasses import dataclass

MICROSECONDS_PER_MILLISECOND = 1_000


@dataclass(slots=True)
class ClientRequest:
    """A request and the behaviour of its client. All times are in microseconds."""

    trace_id: str
    class_name: str
    timeout: int  # announced in the deadline header; the client disconnects some time after it
    deadline: int = 0  # time within which a response is due; the client itself does not use it
    body: bytes = b""
    query_string: bytes = b""
    path: str = ""  # empty: a slash and the class name
    method: str = ""  # empty: GET for the class "query", POST for others
    headers: tuple[tuple[str, str], ...] = ()
    key: str = ""  # ordering key
    retry_count: int = 0
    max_attempts: int = 1
    disconnect_after: int = 0  # time after which the client disconnects; 0: never
    piece_interval: int = 0  # time between the pieces of the request; 0: it is sent at once
    needs_new_connection: bool = False
    honours_retry_after: bool = True
    was_resent: bool = False  # on another connection, because the first was closed before reading it
    on_finished: Callable[[int], None] | None = None  # called with the final status; 0: no response

    def message(self) -> bytes:
        """Return the request in the wire format of HTTP/1.1."""
        method = self.method.encode() or (b"GET" if self.class_name == "query" else b"POST")
        path = self.path.encode() or b"/" + self.class_name.encode()
        head = b"%b %b%b HTTP/1.1\r\nHost: api\r\nX-Trace-Id: %b\r\nX-Expires-In-Ms: %d\r\n" % (
            method,
            path,
            self.query_string,
            self.trace_id.encode(),
            self.timeout // MICROSECONDS_PER_MILLISECOND,
        )
        for name, value in self.headers:
            head += f"{name}: {value}\r\n".encode()
        if self.key:
            head += f"X-Item: {self.key}\r\n".encode()
        if self.retry_count:
            head += b"X-Second-Try: 1\r\n"
        if self.body or method == b"POST":
            head += b"Content-Length: %d\r\n" % len(self.body)
        return head + b"\r\n" + self.body
