"""A connection whose endpoint has moved to another address while it was being opened."""

import asyncio

from fake_endpoint import RecordingRequest, endpoint_table

from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.model import Outcome
from dahliabend.proxy import upstream_request
from dahliabend.proxy.endpoint import Endpoint
from dahliabend.proxy.upstream_request import Phase


# Guards against issue 60 (e): a new process at the address of one that had gone got what was meant for that.
def test_a_connection_to_an_address_that_its_endpoint_has_left_is_not_used(monkeypatch):
    endpoint = Endpoint(endpoint_table().resources, 0, "s-0")
    endpoint.set_address(("127.0.0.1", 1))
    endpoint.enable()

    async def dial(loop, address, connection):
        endpoint.set_address(("127.0.0.1", 2))

    monkeypatch.setattr(upstream_request, "dial", dial)
    request = RecordingRequest(endpoint, b"GET / HTTP/1.1\r\n\r\n", b"", 1_000_000)
    request.phase = Phase.CONNECTING
    connection = UpstreamConnection(endpoint.resources.descriptors, endpoint)
    asyncio.run(request.connect(connection))
    assert request.outcome is Outcome.UNREACHABLE
    assert connection.closed
    assert not endpoint.idle_connections
