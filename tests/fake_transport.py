"""A transport that records what is written, and a dispatcher that has no route for any request."""

from types import SimpleNamespace

from dahliabend.http.dispatch import IncomingRequest

DISPATCHER = SimpleNamespace(
    closing=lambda: False, methods=(b"GET", b"POST"), classify=lambda *_: None, ready=lambda: True,
    connection_closed=lambda *_: None, request_shed=lambda *_: None,
)  # fmt: skip


def incoming_request(client=None, **fields):
    """A request as parsed, from a client that has nothing but a class name."""
    texts = dict.fromkeys(("method", "target", "headers", "body", "trace_id", "tenant", "ordering_key"), b"")
    numbers = {"client_timeout": 0, "received_at": 0, "is_client_retry": False}
    client = client if client is not None else SimpleNamespace(class_name=b"")
    return IncomingRequest(**{**texts, **numbers, "client": client, "fields": {}, "upload": None, **fields})


def ignore(*_, **__): ...


class FakeTransport:
    """A transport that accepts `takes` bytes and then pauses writing."""

    def __init__(self, connection, takes=1 << 30):
        self.connection, self.takes, self.written, self.ended = connection, takes, b"", False
        connection.connection_made(self)

    def set_write_buffer_limits(self, high):
        assert high == 0

    def write(self, view):
        self.written += bytes(view)
        if len(self.written) > self.takes:
            self.connection.pause_writing()

    def is_closing(self):
        return self.ended

    def can_write_eof(self):
        return False

    def abort(self):
        self.ended = True

    close = pause_reading = resume_reading = abort


def feed(connection, data):
    while data:
        buffer = connection.get_buffer(-1)
        count = min(len(buffer), len(data))
        buffer[:count] = data[:count]
        connection.buffer_updated(count)
        data = data[count:]
