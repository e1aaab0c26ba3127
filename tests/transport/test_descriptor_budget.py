"""Which connections are evicted for others."""

import socket
from contextlib import closing

from fake_endpoint import endpoint_table
from fake_transport import DISPATCHER, FakeTransport
from helpers import S

from dahliabend.http.client_connection import ClientConnection
from dahliabend.transport.descriptor_budget import DescriptorBudget
from dahliabend.transport.timers import clock


def test_idle_clients_are_evicted_but_none_with_an_unread_request():
    budget, near, far = DescriptorBudget(26), *socket.socketpair()
    with closing(near), closing(far):
        near.setblocking(False)
        timers = endpoint_table().resources.timers
        unread, idle, fresh = (ClientConnection(budget, timers, DISPATCHER, S) for _ in range(3))
        unread.sock = near
        far.send(b"G")
        for client in (unread, idle, fresh):
            FakeTransport(client)
        assert budget.is_full_after_eviction()
        assert not fresh.closed  # what it was opened for is on its way
        budget.mark_idle(unread.handle, 1)
        budget.mark_idle(idle.handle, 2)
        assert not budget.is_full_after_eviction()
        assert idle.closed
        assert not unread.closed
        budget.connections.add(None)  # what went has been replaced
        assert budget.is_full_after_eviction(S)
        assert not fresh.closed
        assert budget.is_full_after_eviction(clock())
        assert not fresh.closed
        assert not budget.is_full_after_eviction(clock() + S)  # slow to send by then
        assert fresh.closed
        assert not unread.closed
