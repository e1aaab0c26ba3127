"""A transport that records what is written, and a dispatcher that knows no request."""

from types import SimpleNamespace

from dahliabend.http.dispatch import IncomingRequest

DISPATCHER = SimpleNamespace(
    closing=lambda: False, methods=(b"GET", b"POST"), classify=lambda *_: None, ready=lambda: True
)


def incoming_request(client=None, **fields):
    """A request as read from a client that is known by its class alone."""
    plain = dict.fromkeys(("method", "target", "headers", "body", "trace_id", "tenant", "ordering_key"), b"")
    numbers = {"client_timeout": 0, "received_at": 0, "is_retry": False}
    client = client if client is not None else SimpleNamespace(class_name=b"")
    return IncomingRequest(**{**plain, **numbers, "client": client, "fields": {}, "upload": None, **fields})


def ignore(*_, **__): ...


class FakeTransport:
    """A transport that takes `takes` bytes before it pauses whoever writes."""

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
        room = connection.get_buffer(-1)
        part = min(len(room), len(data))
        room[:part] = data[:part]
        connection.buffer_updated(part)
        data = data[part:]
