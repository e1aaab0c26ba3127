"""Eviction of connections when descriptors are scarce."""

import socket
from contextlib import closing

from fake_endpoint import endpoint_table
from fake_transport import DISPATCHER, FakeTransport
from helpers import S

from dahliabend.http.client_connection import ClientConnection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import clock


def test_idle_clients_are_evicted_but_none_with_an_unread_request():
    budget, server_side, client_side = DescriptorBudget(26), *socket.socketpair()
    with closing(server_side), closing(client_side):
        server_side.setblocking(False)
        timers = endpoint_table().resources.timers
        client_with_unread_request, idle_client, new_client = (
            ClientConnection(budget, timers, DISPATCHER, S) for _ in range(3)
        )
        client_with_unread_request.sock = server_side
        client_side.send(b"G")
        for client in (client_with_unread_request, idle_client, new_client):
            FakeTransport(client)
        assert budget.is_full_after_eviction()
        assert not new_client.closed  # the request that it was opened for is on its way
        budget.mark_idle(client_with_unread_request.handle, 1)
        budget.mark_idle(idle_client.handle, 2)
        assert not budget.is_full_after_eviction()
        assert idle_client.closed
        assert not client_with_unread_request.closed
        budget.connections.add(None)  # another connection takes the free slot
        assert budget.is_full_after_eviction(S)
        assert not new_client.closed
        assert budget.is_full_after_eviction(clock())
        assert not new_client.closed
        assert not budget.is_full_after_eviction(clock() + S)  # it counts as slow by then
        assert new_client.closed
        assert not client_with_unread_request.closed
