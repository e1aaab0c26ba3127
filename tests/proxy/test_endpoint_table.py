"""Endpoints, their connections, and what the list and operators do to them."""

from types import SimpleNamespace

from fake_endpoint import (
    AFTER_REUSE_DELAY,
    RecordingRequest,
    age_idle_connections,
    endpoint_table,
    send_request,
)
from fake_port import RecordingPort
from fake_transport import feed
from helpers import S

from dahliabend.discovery.endpoint_list import EndpointListEntry
from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.model import EndpointState, Outcome
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.proxy.router import Router
from dahliabend.transport.connection import Connection
from dahliabend.transport.timers import clock


def test_a_reused_slot_receives_no_event_of_its_last_occupant():
    request, connection = send_request()
    old = connection.handle
    feed(connection, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    request.endpoint.close_idle(clock())
    connection.connection_lost(None)
    table = request.endpoint.resources.descriptors
    new = UpstreamConnection(table, request.endpoint)
    table.release(old)
    assert table.connections.get(new.handle) is new
    assert new.handle != old


def test_an_idle_connection_near_its_idle_timeout_is_not_reused():
    upstream = endpoint_table().get_or_create("s-1")
    upstream.enabled = True
    for age, used in ((3 * S, True), (5 * S, False)):
        connection = UpstreamConnection(upstream.resources.descriptors, upstream)
        upstream.connections.add(connection)
        upstream.return_connection(connection)
        assert (upstream.take_idle_connection(clock() + age)[0] is connection) == used


def test_only_connections_idle_for_longer_are_closed():
    upstream = endpoint_table().get_or_create("s-1")
    upstream.enabled = True
    old, new = (UpstreamConnection(upstream.resources.descriptors, upstream) for _ in range(2))
    upstream.return_connection(old)
    age_idle_connections(upstream, S)
    upstream.return_connection(new)
    upstream.close_idle(clock() - S // 2)
    assert old.closed
    assert not new.closed
    assert 0 <= upstream.take_idle_connection(clock() + AFTER_REUSE_DELAY)[1] < S


def test_a_new_address_closes_idle_connections_to_the_old_one():
    upstream = endpoint_table().get_or_create("s-1")
    upstream.enable()
    upstream.set_address(("127.0.0.1", 1))
    connection, busy = (UpstreamConnection(upstream.resources.descriptors, upstream) for _ in range(2))
    upstream.connections |= {connection, busy}
    upstream.return_connection(connection)
    age_idle_connections(upstream, upstream.resources.reuse_delay)  # no second answer came
    upstream.set_address(("127.0.0.1", 2))
    assert connection.closed
    assert not busy.closed
    assert not busy.keep_alive


def test_a_removed_endpoint_releases_its_index_and_its_connections():
    class RecordingPolicyPort(RecordingPort):
        balancer = SimpleNamespace(
            settings=SimpleNamespace(can_use_removed_endpoints=False), selection=SimpleNamespace()
        )

        def endpoints_changed(self, rows, full):
            self[:] = [(u.index, u.name) for u, _ in rows]
            self.balancer.selection.endpoints = {
                u.index for u, state in rows if state is not EndpointState.REMOVED
            }

    notified, table = RecordingPolicyPort(), endpoint_table()
    dispatcher = SimpleNamespace(
        table=table, monotonic_offset=0, policies=[notified], excluded=set(), balancer=notified.balancer
    )
    dispatcher.update_connection_reuse = lambda upstream: Router.update_connection_reuse(dispatcher, upstream)
    row = EndpointListEntry("s-1", ("127.0.0.1", 1), EndpointState.READY, 0, 1.0, 0, "a")
    Router.endpoints_changed(dispatcher, [row], True)
    upstream = table.get_or_create("s-1")
    busy, idle = (UpstreamConnection(table.resources.descriptors, upstream) for _ in range(2))
    upstream.return_connection(idle)
    Router.endpoints_changed(dispatcher, [row._replace(address=("", 0), state=EndpointState.REMOVED)], False)
    upstream.return_connection(busy)  # its answer came later
    assert idle.closed
    assert busy.closed
    assert not table.endpoints
    assert not table.indices
    Router.endpoints_changed(dispatcher, [row._replace(name="s-2")], True)  # a new one at the same address
    new = table.get_or_create("s-2")
    assert notified == [(new.index, "s-2")]
    assert new.index != upstream.index
    assert not new.idle_connections
    Router.endpoints_changed(dispatcher, [row], True)
    assert list(table.indices) == ["s-1"]
    assert table.get_or_create("s-1") is not upstream


def test_without_a_descriptor_a_request_is_not_sent_and_the_endpoint_is_not_blamed():
    upstream = endpoint_table(limit=26).get_or_create("s-1")
    for _ in range(10):
        Connection(upstream.resources.descriptors)
    request = RecordingRequest(upstream, b"x", b"", S)
    request.start()
    assert request.outcome is Outcome.NOT_SENT


def test_an_included_endpoint_counts_as_just_started_until_the_list_has_a_later_start():
    notified, table = [], endpoint_table()
    policy = SimpleNamespace(
        zones={},
        balancer=SimpleNamespace(
            update_endpoints=lambda now, rows, full: notified.append(rows[0]),
            selection=SimpleNamespace(endpoints=table.endpoints),
            settings=SimpleNamespace(can_use_removed_endpoints=False),
        ),
    )
    dispatcher = SimpleNamespace(
        table=table, monotonic_offset=0, policies=[policy], excluded=set(), balancer=policy.balancer
    )
    policy.owner, policy.endpoints_changed = (
        dispatcher,
        lambda rows, full: PolicyPort.endpoints_changed(policy, rows, full),
    )
    dispatcher.update_connection_reuse = lambda upstream: Router.update_connection_reuse(dispatcher, upstream)
    row = EndpointListEntry("s-1", ("127.0.0.1", 1), EndpointState.READY, 5, 1.0, 0, "a")
    Router.endpoints_changed(dispatcher, [row], True)
    assert Router.exclude(dispatcher, "s-1", True)
    assert not Router.exclude(dispatcher, "s-2", True)
    assert [u[1] for u in notified] == [
        EndpointState.READY,
        EndpointState.EXCLUDED,
    ]
    assert not table.get_or_create("s-1").enabled
    back = clock()
    assert Router.exclude(dispatcher, "s-1", False)
    assert table.get_or_create("s-1").enabled
    Router.endpoints_changed(dispatcher, [row], False)  # the list has not heard of a restart
    assert [u[1] for u in notified[2:]] == [EndpointState.READY] * 2
    assert notified[2][2] == notified[3][2] >= back
    row = row._replace(started_ms=(clock() + S) // 1000)
    Router.endpoints_changed(dispatcher, [row], False)
    assert notified[4][2] == row.started_ms * 1000
