"""Several processes of one balancer that accept clients from one listening socket, as on the platform."""

import json
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack, closing, contextmanager
from subprocess import Popen
from tempfile import TemporaryDirectory

from helpers import DiscoveryAgent, Upstream, call_admin, server_entry, start_balancer


@contextmanager
def start_processes(*upstreams: Upstream) -> Iterator[Callable[..., tuple[str, Popen, DiscoveryAgent]]]:
    """Yield a function that starts a process and returns its address, the process and its discovery service.

    All processes use the same listening socket, runtime directory and discovery service.
    """
    agent = DiscoveryAgent(
        *(server_entry(f"s-{number}", upstream) for number, upstream in enumerate(upstreams))
    )
    with ExitStack() as stack:
        for server in (agent, *upstreams):
            stack.enter_context(closing(server))
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=512))
        directory = stack.enter_context(TemporaryDirectory())

        def start(**options: object) -> tuple[str, Popen, DiscoveryAgent]:
            return stack.enter_context(
                start_balancer(*upstreams, agent=agent, inherited=(listener, directory), **options)
            )

        yield start


def set_excluded(process: Popen, excluded: bool, target: str = "s-0") -> int:
    """Make the admin call that excludes or includes an upstream; return its HTTP status."""
    path = "/api/exclude" if excluded else "/api/include"
    return call_admin(process.admin, path, "PUT", json.dumps({"target": target}).encode())[0]


def telemetry_value(process: Popen, name: str) -> object:
    """Return one counter of a process's telemetry."""
    return call_admin(process.admin, "/api/telemetry")[1][name]
