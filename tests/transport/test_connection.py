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


# Guards against review/7: output that was added while the kernel took none was on no account.
def test_output_that_is_added_while_writing_is_paused_is_on_the_account():
    connection = UpstreamConnection(DescriptorBudget(100), None)
    FakeTransport(connection, 100)
    connection.write(b"x" * 8000)
    assert connection.write_paused
    connection.write(b"x" * 8000)
    connection.write(b"x" * 20_000, b"x" * 1000)
    assert connection.reserved_bytes == connection.unsent_bytes == 37_000
    while not connection.is_flushed:
        connection.resume_writing()
    assert connection.reserved_bytes == 0
