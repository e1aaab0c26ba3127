"""An endpoint without sockets, and requests to it that record their outcome."""

from types import SimpleNamespace

from fake_port import RecordingPort
from fake_transport import FakeTransport
from helpers import MS, S

from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.proxy.endpoint_resources import EndpointResources
from dahliabend.proxy.endpoint_table import EndpointTable
from dahliabend.proxy.upstream_request import UpstreamRequest
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import TimerQueue

AFTER_REUSE_DELAY = 75 * MS  # longer than the wait for an unexpected second response
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def endpoint_table(loop=None, limit=100):
    timers = TimerQueue(
        loop or SimpleNamespace(call_later=lambda *_: None, call_soon=lambda call, *a: call(*a))
    )
    resources = EndpointResources(timers, DescriptorBudget(limit), 75 * MS, 4 * S, RecordingPort().append)
    return EndpointTable(resources)


class RecordingRequest(UpstreamRequest):
    def on_finished(self, outcome, duration, response):
        self.outcome = outcome


class RecordingBodyRequest(RecordingRequest):
    def on_finished(self, outcome, duration, response):
        self.outcome, self.body = outcome, response and response.body


def age_idle_connections(upstream, by):
    """Make the idle connections of an endpoint idle since an earlier time, by this many microseconds."""
    idle = upstream.idle_connections
    idle[:] = [entry._replace(idle_since=entry.idle_since - by) for entry in idle]
    for entry in idle:
        upstream.resources.descriptors.idle[entry.connection.handle] -= by


def send_request(takes=1 << 30, length=9, request_type=RecordingRequest):
    """Send a request on a connection that accepts `takes` bytes; return the request and the connection."""
    upstream = endpoint_table().get_or_create("s-1")
    upstream.enabled = True
    connection = UpstreamConnection(upstream.resources.descriptors, upstream)
    upstream.connections.add(connection)
    FakeTransport(connection, takes)
    upstream.return_connection(connection)
    age_idle_connections(upstream, upstream.resources.reuse_delay)  # no second response came
    request = request_type(upstream, b"x" * (length // 2), b"y" * (length - length // 2), S)
    request.start()
    return request, connection
