"""Eviction of connections when descriptors are scarce."""

import socket
from contextlib import closing

from fake_endpoint import endpoint_table
from fake_transport import DISPATCHER, FakeTransport
from helpers import S

from dahliabend.http.client_connection import ClientConnection
from dahliabend.transport.descriptor_budget import (
    GIVE_UP_INTERVAL,
    MIN_CONNECTIONS,
    MIN_RESERVE,
    DescriptorBudget,
)
from dahliabend.transport.memory_budget import MemoryBudget
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


class Receiver:
    """A connection on which a request is being received."""

    def __init__(self, received_bytes, rejected):
        self.received_bytes, self.rejected = received_bytes, rejected

    def reject_incomplete(self):
        self.rejected.append(self)


# Guards against a fault found by the soak of issue 60 (seed 252): clients that send their requests at a pace
# that nothing ends held all descriptors.
def test_the_slowest_request_that_takes_long_to_receive_is_given_up_one_at_a_time():
    budget, rejected = DescriptorBudget(100), []
    slow, fast, recent = Receiver(10, rejected), Receiver(1_000, rejected), Receiver(0, rejected)
    budget.mark_receiving(1, fast, 0, 300)
    budget.mark_receiving(2, slow, 0, 300)
    budget.mark_receiving(3, recent, 0, 5_000)
    budget.give_up_incomplete(299)
    assert rejected == []
    budget.give_up_incomplete(300)
    assert rejected == [slow]
    budget.mark_busy(2)
    budget.give_up_incomplete(301)
    assert rejected == [slow]
    budget.give_up_incomplete(300 + GIVE_UP_INTERVAL)
    assert rejected == [slow, fast]


# Guards against a fault found at 32 MB: 900 silent clients before 64 connections kept others waiting.
def test_the_budget_says_whether_memory_allows_fewer_connections_than_there_are_descriptors():
    assert not DescriptorBudget(1024).is_limited_by_memory
    budget = DescriptorBudget(1024, MemoryBudget(1_000_000))
    assert budget.is_limited_by_memory
    assert budget.limit == MIN_CONNECTIONS


# Guards against a side of review/7: where memory allows few connections, nearly all of them were the reserve.
def test_the_reserve_is_a_part_of_the_connections_that_memory_allows():
    memory = MemoryBudget()
    budget = DescriptorBudget(1024, memory)
    assert budget.limit_before_reserve == budget.limit - 64
    memory.set_capacity(2_000_000)
    budget.apply_limit()
    assert budget.limit == memory.max_connections < 100
    assert budget.limit_before_reserve == budget.limit - MIN_RESERVE
