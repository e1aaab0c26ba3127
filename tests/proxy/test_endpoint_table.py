"""Endpoints and their connections, and changes of them by the endpoint list and by operators."""

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

from dahliabend.discovery.endpoint_list import EndpointListEntry, parse_endpoint
from dahliabend.http.upstream_connection import UpstreamConnection
from dahliabend.model import EndpointState, Outcome
from dahliabend.proxy.endpoint_table import MAX_REMEMBERED_IDS
from dahliabend.proxy.policy_port import PolicyPort
from dahliabend.proxy.pool_state import PoolState
from dahliabend.proxy.router import Router
from dahliabend.transport.connection import Connection
from dahliabend.transport.timers import clock


def test_releasing_the_handle_of_a_lost_connection_does_not_affect_a_new_connection():
    request, lost_connection = send_request()
    stale_handle = lost_connection.handle
    feed(lost_connection, b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    request.endpoint.close_idle(clock())
    lost_connection.connection_lost(None)
    descriptors = request.endpoint.resources.descriptors
    new_connection = UpstreamConnection(descriptors, request.endpoint)
    descriptors.release(stale_handle)
    assert descriptors.connections.get(new_connection.handle) is new_connection
    assert new_connection.handle != stale_handle


def test_an_idle_connection_near_its_idle_timeout_is_not_reused():
    upstream = endpoint_table().get_or_create("s-1")
    upstream.enabled = True
    for age, is_reused in ((3 * S, True), (5 * S, False)):
        connection = UpstreamConnection(upstream.resources.descriptors, upstream)
        upstream.connections.add(connection)
        upstream.return_connection(connection)
        assert (upstream.take_idle_connection(clock() + age)[0] is connection) == is_reused


def test_close_idle_closes_only_connections_idle_since_that_time_or_longer():
    upstream = endpoint_table().get_or_create("s-1")
    upstream.enabled = True
    idle_for_1s, just_idle = (UpstreamConnection(upstream.resources.descriptors, upstream) for _ in range(2))
    upstream.return_connection(idle_for_1s)
    age_idle_connections(upstream, S)
    upstream.return_connection(just_idle)
    upstream.close_idle(clock() - S // 2)
    assert idle_for_1s.closed
    assert not just_idle.closed
    assert 0 <= upstream.take_idle_connection(clock() + AFTER_REUSE_DELAY)[1] < S


def test_a_new_address_closes_idle_connections_and_lets_busy_ones_finish_without_keep_alive():
    upstream = endpoint_table().get_or_create("s-1")
    upstream.enable()
    upstream.set_address(("127.0.0.1", 1))
    idle, busy = (UpstreamConnection(upstream.resources.descriptors, upstream) for _ in range(2))
    upstream.connections |= {idle, busy}
    upstream.return_connection(idle)
    age_idle_connections(upstream, upstream.resources.reuse_delay)  # no surplus response has arrived
    upstream.set_address(("127.0.0.1", 2))
    assert idle.closed
    assert not busy.closed
    assert not busy.keep_alive


def test_a_removed_endpoint_loses_its_connections_and_its_index_is_not_reused():
    class RecordingPolicyPort(RecordingPort):
        balancer = SimpleNamespace(
            settings=SimpleNamespace(can_use_removed_endpoints=False), selection=SimpleNamespace()
        )

        def endpoints_changed(self, endpoints, full):
            self[:] = [(endpoint.index, endpoint.name) for endpoint, _ in endpoints]
            self.balancer.selection.endpoints = {
                endpoint.index for endpoint, state in endpoints if state is not EndpointState.REMOVED
            }

    policy = RecordingPolicyPort()
    table = endpoint_table()
    router = SimpleNamespace(
        table=table, monotonic_offset=0, policies=[policy], excluded=set(), balancer=policy.balancer
    )
    router.update_connection_reuse = lambda upstream: Router.update_connection_reuse(router, upstream)
    entry = EndpointListEntry("s-1", ("127.0.0.1", 1), EndpointState.READY, 0, 1.0, 0, "a")
    Router.endpoints_changed(router, [entry], True)
    upstream = table.get_or_create("s-1")
    busy, idle = (UpstreamConnection(table.resources.descriptors, upstream) for _ in range(2))
    upstream.return_connection(idle)
    Router.endpoints_changed(router, [entry._replace(address=("", 0), state=EndpointState.REMOVED)], False)
    upstream.return_connection(busy)  # its response is complete only after the removal
    assert idle.closed
    assert busy.closed
    assert not table.endpoints
    assert not table.indices
    Router.endpoints_changed(router, [entry._replace(name="s-2")], True)  # a new endpoint at the same address
    new = table.get_or_create("s-2")
    assert policy == [(new.index, "s-2")]
    assert new.index != upstream.index
    assert not new.idle_connections
    Router.endpoints_changed(router, [entry], True)
    assert list(table.indices) == ["s-1"]
    assert table.get_or_create("s-1") is not upstream


def test_a_request_without_a_free_descriptor_ends_as_not_sent_rather_than_as_unreachable():
    upstream = endpoint_table(limit=26).get_or_create("s-1")
    for _ in range(10):
        Connection(upstream.resources.descriptors)
    request = RecordingRequest(upstream, b"x", b"", S)
    request.start()
    assert request.outcome is Outcome.NOT_SENT


def test_an_included_endpoint_counts_as_just_started_until_the_list_has_a_later_start():
    updates = []
    table = endpoint_table()
    policy = SimpleNamespace(
        zones={},
        balancer=SimpleNamespace(
            update_endpoints=lambda now, endpoint_updates, full: updates.append(endpoint_updates[0]),
            selection=SimpleNamespace(endpoints=table.endpoints),
            settings=SimpleNamespace(can_use_removed_endpoints=False),
        ),
    )
    router = SimpleNamespace(
        table=table, monotonic_offset=0, policies=[policy], excluded=set(), balancer=policy.balancer
    )
    policy.owner = router
    policy.endpoints_changed = lambda endpoints, full: PolicyPort.endpoints_changed(policy, endpoints, full)
    router.update_connection_reuse = lambda upstream: Router.update_connection_reuse(router, upstream)
    entry = EndpointListEntry("s-1", ("127.0.0.1", 1), EndpointState.READY, 5, 1.0, 0, "a")
    Router.endpoints_changed(router, [entry], True)
    assert Router.exclude(router, "s-1", True)
    assert not Router.exclude(router, "s-2", True)
    assert [update[1] for update in updates] == [EndpointState.READY, EndpointState.EXCLUDED]
    assert not table.get_or_create("s-1").enabled
    before_inclusion = clock()
    assert Router.exclude(router, "s-1", False)
    assert table.get_or_create("s-1").enabled
    Router.endpoints_changed(router, [entry], False)  # the list does not report a restart yet
    assert [update[1] for update in updates[2:]] == [EndpointState.READY] * 2
    assert updates[2][2] == updates[3][2] >= before_inclusion
    entry = entry._replace(started_ms=(clock() + S) // 1000)
    Router.endpoints_changed(router, [entry], False)
    assert updates[4][2] == entry.started_ms * 1000


# Guards against a default in place of a key: a removed endpoint that is still used keeps its scopes.
def test_an_entry_of_a_removed_endpoint_leaves_its_cell_and_zone_as_they_were():
    endpoint = endpoint_table().get_or_create("s-1")
    entry = {"id": "s-1", "addr": "127.0.0.1:80", "state": "up", "zone": "b", "cell": 3}
    endpoint.update(parse_endpoint(entry), 0)
    endpoint.update(parse_endpoint({"id": "s-1", "state": "removed"}), 0)
    assert (endpoint.cell, endpoint.zone) == (3, "b")


# Guards against repeats outside the deduplication scope: all zones that the settings don't name were one.
def test_zones_that_the_settings_do_not_name_are_different_zones():
    updates = []
    policy = SimpleNamespace(
        owner=SimpleNamespace(excluded=set()),
        zones={"a": 0},
        balancer=SimpleNamespace(update_endpoints=lambda _now, endpoints, _full: updates.extend(endpoints)),
    )
    table = endpoint_table()
    changed = []
    for number, zone in enumerate(("a", "b", "c", "b", "")):
        endpoint = table.get_or_create(f"s-{number}")
        endpoint.zone = zone
        changed.append((endpoint, EndpointState.READY))
    PolicyPort.endpoints_changed(policy, changed, full=True)
    indices = [update.zone for update in updates]
    assert indices[0] == 0
    assert indices[1] == indices[3]
    assert len(set(indices)) == 4
    assert all(index < 0 for index in indices[1:])


def pool(table):
    """A pool whose only policy has the endpoints that are listed."""
    selection = SimpleNamespace(endpoints=set())

    def update(endpoints, full):
        changed = {endpoint.index: state for endpoint, state in endpoints}
        kept = set() if full else selection.endpoints
        gone = {index for index, state in changed.items() if state is EndpointState.REMOVED}
        selection.endpoints = (kept | changed.keys()) - gone

    settings = SimpleNamespace(can_use_removed_endpoints=False)
    balancer = SimpleNamespace(settings=settings, selection=selection)
    state = PoolState(table, 0)
    state.policies = [SimpleNamespace(balancer=balancer, endpoints_changed=update)]
    return state


def listed_entry(name, state=EndpointState.READY):
    return EndpointListEntry(name, ("127.0.0.1", 1), state, 0, 1.0, 0, "a")


def replace_one_by_one(router, count):
    """List and remove this many further endpoints."""
    for number in range(count):
        name = f"other-{number}"
        router.endpoints_changed([listed_entry(name)], full=False)
        router.endpoints_changed([listed_entry(name, EndpointState.REMOVED)], full=False)


# Guards against review/8: a listed endpoint could not be excluded after 4,096 other ids.
def test_a_listed_endpoint_can_be_excluded_however_many_others_were_listed_since():
    router = pool(endpoint_table())
    router.endpoints_changed([listed_entry("s-1"), listed_entry("s-2")], full=True)
    replace_one_by_one(router, 2 * MAX_REMEMBERED_IDS)
    assert router.exclude("s-1", excluded=True)
    assert not router.table.endpoints[router.table.indices["s-1"]].enabled
    assert len(router.table.remembered_ids) == MAX_REMEMBERED_IDS


# Guards against review/8: what has just gone was forgotten first, as it had been listed long ago.
def test_an_endpoint_that_has_just_gone_can_be_excluded_before_it_comes_back():
    router = pool(endpoint_table())
    router.endpoints_changed([listed_entry("s-1")], full=True)
    replace_one_by_one(router, 2 * MAX_REMEMBERED_IDS)
    router.endpoints_changed([listed_entry("s-1", EndpointState.REMOVED)], full=False)
    assert router.exclude("s-1", excluded=True)


# Guards against review/8: with 4,096 exclusions, of which none may be forgotten, a further one was refused.
def test_no_number_of_exclusions_keeps_a_listed_endpoint_from_being_excluded():
    router = pool(endpoint_table())
    for number in range(MAX_REMEMBERED_IDS + 1):
        router.endpoints_changed([listed_entry(f"s-{number}")], full=True)
        assert router.exclude(f"s-{number}", excluded=True)
    router.endpoints_changed([listed_entry("s-0")], full=True)
    assert not router.table.endpoints[router.table.indices["s-0"]].enabled
    assert router.exclude("s-0", excluded=False)


def test_an_id_that_was_never_listed_is_unknown_after_many_others():
    router = pool(endpoint_table())
    replace_one_by_one(router, 100_000)
    assert not router.exclude("never", excluded=True)
    assert not router.exclude("never", excluded=False)
