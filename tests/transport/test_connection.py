"""Writing to a transport that pauses the writer."""

from fake_transport import FakeTransport

from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.transport.descriptor_budget import DescriptorBudget


def test_a_blocked_write_resumes_where_it_stopped():
    connection = UpstreamConnection(DescriptorBudget(100), None)
    transport = FakeTransport(connection, 100)
    data = bytes(range(256)) * 100
    connection.write(data)
    while not connection.is_flushed:
        connection.resume_writing()
    assert transport.written == data
