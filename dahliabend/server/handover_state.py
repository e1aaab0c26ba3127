"""Capturing the state that a process leaves for its successor, and restoring that of a predecessor.

In a hot restart two versions of the program may share this format: its keys and their order must not change.
"""

from typing import Any

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.watch import DiscoveryClient
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
    """Restore the state of a predecessor, before any request is served.

    Returns:
        The number of upstreams whose statistics were restored.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: The state is malformed.
    """
    # With another offset, unchanged start times of upstreams would look changed.
    router.monotonic_offset = state["epoch"]
    for name in state["once"]:
        router.table.remember_id(name)
    for name, included_at in state["returned"].items():
        router.table.get_or_create(name).included_at = included_at
    endpoint_list.apply(state["list"], first=True)
    restored = router.restore(state)
    discovery.change_address(tuple(state["discovery"]))
    discovery.first_attempt_finished = True  # the predecessor has already contacted the discovery service
    return restored
