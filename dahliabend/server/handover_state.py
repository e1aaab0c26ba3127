"""Capturing the state that a process leaves for its successor, and restoring that of a predecessor.

In a hot restart two versions of the program may share this format: its keys and their order must not change.
"""

from typing import Any

from msgspec import convert

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.watch import DiscoveryClient
from dahliabend.proxy.pool_state import DiscoveryEntry
from dahliabend.proxy.router import Router


def capture_state(router: Router, endpoint_list: EndpointList, discovery: DiscoveryClient) -> dict[str, Any]:
    """Return the state of this process, for its successor to restore."""
    endpoints = {
        "version": endpoint_list.version,
        "full": True,
        "servers": router.endpoint_entries(),
    }
    return router.snapshot() | {"list": endpoints, "discovery": discovery.address}


def restore_state(
    state: dict[str, Any], router: Router, endpoint_list: EndpointList, discovery: DiscoveryClient
) -> int:
    """Restore the state of a predecessor, before any request is served; malformed state changes nothing.

    Returns:
        The number of upstreams whose statistics were restored.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: The state is malformed.
    """
    included_at_by_name = dict(state["returned"].items())
    known_ids = list(state["once"])
    address = tuple(state["discovery"])
    message = state["list"]
    convert(message["servers"], list[DiscoveryEntry])  # none of the keys has a default here
    router.check_snapshot(state)
    # With another offset, unchanged start times of upstreams would look changed.
    router.monotonic_offset = state["epoch"]
    for name in known_ids:
        router.table.remember_id(name)
    for name, included_at in included_at_by_name.items():
        router.table.get_or_create(name).included_at = included_at
    endpoint_list.apply(message, first=True)
    restored = router.restore(state)
    discovery.change_address(address)
    discovery.first_attempt_finished = True  # the predecessor has already contacted the discovery service
    return restored
