"""The state that a process writes for its successor, and goes on from when it is the successor.

Its form is shared by two versions of the program during an upgrade: keys and their order stay as they are.
"""

from typing import Any

from dahliabend.discovery.endpoint_list import EndpointList
from dahliabend.discovery.watch import DiscoveryClient
from dahliabend.proxy.router import Router


def capture_state(router: Router, endpoint_list: EndpointList, discovery: DiscoveryClient) -> dict[str, Any]:
    """Return the state that a successor goes on from."""
    endpoints = {
        "version": endpoint_list.version,
        "full": True,
        "servers": router.endpoint_entries(),
    }
    return router.snapshot() | {"list": endpoints, "discovery": discovery.address}


def restore_state(
    state: dict[str, Any], router: Router, endpoint_list: EndpointList, discovery: DiscoveryClient
) -> int:
    """Go on from the state of a predecessor, before anything is served.

    Returns:
        The number of upstreams whose statistics go on.

    Raises:
        KeyError, TypeError, ValueError, AttributeError: The state can't be read.
    """
    router.monotonic_offset = state["epoch"]  # else the same start of an upstream would look like another one
    for name in state["once"]:
        router.table.remember_id(name)
    for name, included_at in state["returned"].items():
        router.table.get_or_create(name).included_at = included_at
    endpoint_list.apply(state["list"], first=True)
    restored = router.restore(state)
    discovery.change_address(tuple(state["discovery"]))
    discovery.first_attempt_finished = True  # the predecessor has asked it already
    return restored
