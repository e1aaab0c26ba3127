"""Discovery: the registry of endpoints, and the agent on each balancer's host that serves watches of it."""

import asyncio
import json
from collections.abc import Iterable
from random import Random
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict, cast

import httptools

from dahliabend.simulation.peers import RecordEvent

if TYPE_CHECKING:
    from dahliabend.simulation.transports import Transport

KEEPALIVE_INTERVAL = 2.0  # seconds between the empty lines that keep a watch alive
MICROSECONDS_PER_SECOND = 1e6
FULL_LIST = -1  # last known version of a watch that asks for the full list


class EndpointEntry(TypedDict):
    """An entry of the endpoint list, with the keys of the wire format."""

    id: str
    addr: str
    zone: str
    cell: int
    state: str
    weight: NotRequired[float]
    started_ms: int  # milliseconds of Unix time; 0: long ago


class EndpointListMessage(TypedDict):
    """The full endpoint list or a change of it, with the keys of the wire format."""

    version: int
    full: bool
    servers: list[EndpointEntry]


class Registry:
    """The authoritative endpoint list. Agents learn of its changes with a delay."""

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, EndpointEntry] = {}
        self.agents: list[Agent] = []

    def put(self, entry: EndpointEntry) -> None:
        """Add or replace an entry; the state `removed` removes it."""
        self.version += 1
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        for agent in self.agents:
            agent.schedule_change(self.version, entry)


class Agent:
    """The discovery agent of one balancer, with its delayed copy of the endpoint list."""

    def __init__(
        self,
        registry: Registry,
        loop: asyncio.AbstractEventLoop,
        recorder: RecordEvent,
        rng: Random,
        mean_delay: int,
    ) -> None:
        """Create an agent with the current endpoint list.

        Args:
            registry: the authoritative endpoint list.
            loop: the event loop of the agent.
            recorder: called with each event.
            rng: the random generator of the delays.
            mean_delay: mean time until the agent learns of a change, in microseconds.
        """
        self.registry = registry
        self.loop = loop
        self.recorder = recorder
        self.rng = rng
        self.mean_delay = mean_delay
        self.name = ""  # name of the balancer that the agent serves
        self.version = registry.version
        self.version_offset = 0  # registry version minus own version, after a restart of the versions
        self.entries = dict(registry.entries)
        self.announced_ids = set(registry.entries)
        self.changes: list[tuple[int, EndpointEntry]] = []  # changes that were learned, with their versions
        self.watches: list[Watch] = []
        self.servers: list[Any] = []
        self._next_due = 0.0  # earliest time of the next change, so that changes stay in order
        # Faults
        self.extra_delay = 0  # microseconds
        self.silent = False  # sends nothing on watches
        self.sends_full_lists = False  # announces drains and removals by full lists that omit the endpoints
        self._withheld_states: dict[str, str] = {}  # states learned while silent, by endpoint id
        registry.agents.append(self)

    async def open(self, host: str, port: int) -> None:
        """Start to serve watches at an address."""
        self.servers.append(await self.loop.create_server(lambda: Watch(self), host, port))

    def schedule_change(self, version: int, entry: EndpointEntry) -> None:
        """Learn of a change after a random delay, in the order of the changes."""
        wait = self.mean_delay * (0.5 + self.rng.random()) + self.extra_delay
        self._next_due = max(self._next_due, self.loop.time() + wait / MICROSECONDS_PER_SECOND)
        self.loop.call_at(self._next_due, self.apply_change, version, entry)

    def apply_change(self, version: int, entry: EndpointEntry) -> None:
        """Apply a change to the copy of the list and announce it on all watches."""
        endpoint_id = entry["id"]
        state = entry["state"]
        version -= self.version_offset
        self.version = version
        self.changes.append((version, entry))
        if self.silent and state != "up":
            self._withheld_states[endpoint_id] = state
        else:  # a process started meanwhile may already read from its configuration that the endpoint is up
            self._withheld_states.pop(endpoint_id, None)
            self.recorder("had", self.name, endpoint_id, state)
        if state == "removed":
            self.entries.pop(endpoint_id, None)
        else:
            self.entries[endpoint_id] = entry
            self.announced_ids.add(endpoint_id)
        if self.sends_full_lists and state != "up":
            self.close_watches()
        elif not self.silent:
            for watch in list(self.watches):
                watch.send_update(version, [entry], is_full=False)

    def full_list(self) -> EndpointListMessage:
        """Return the agent's copy of the list as the object to be encoded as JSON."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    # Faults

    def end_silence(self) -> None:
        """End the silence, send the missed changes on all watches and start those requested meanwhile."""
        self.silent = False
        for endpoint_id, state in self._withheld_states.items():
            self.recorder("had", self.name, endpoint_id, state)
        self._withheld_states.clear()
        for watch in list(self.watches):
            watch.catch_up()

    def restart_versions(self) -> None:
        """Restart the versions at 0 and close all watches."""
        self.version_offset += self.version
        self.version = 0
        self.changes = []
        self.close_watches()

    def close_watches(self) -> None:
        """Abort the connections of all watches."""
        for watch in list(self.watches):
            watch.transport.abort()

    def send_invalid_update(self, variant: int) -> None:
        """Send an outdated update, invalid entries or truncated JSON on all watches, by `variant`."""
        messages = (
            b'{"version":1,"full":false,"servers":[{"id":"s-0","state":"removed"}]}\n',
            b'{"version":%d,"full":true,"servers":[{"id":7},{"state":"up"},"x"]}\n' % self.version,
            b'{"version": \n',
        )
        for watch in list(self.watches):
            watch.write_line(messages[variant % len(messages)])


class Watch(asyncio.Protocol):
    """The connection of one watch of the endpoint list."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.balancer_version = FULL_LIST  # last version that the balancer has
        self.is_open = False
        self.is_blocked = False
        self.keepalive_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement `asyncio.Protocol.connection_made`."""
        self.transport = cast(asyncio.Transport, transport)
        self.peer_name = transport.get_extra_info("initiator", "")

    def data_received(self, data: bytes) -> None:
        """Implement `asyncio.Protocol.data_received`."""
        if self.parser is not None:
            self.parser.feed_data(data)

    def on_url(self, data: bytes) -> None:
        """Handle a part of the request target, parsed by httptools."""
        self.target += data

    def on_message_complete(self) -> None:
        """Start the watch once httptools has parsed its request."""
        _, has_version, version = self.target.partition(b"after=")
        self.balancer_version = int(version) if has_version else FULL_LIST
        self.agent.watches.append(self)
        if not self.agent.silent:
            self._start_response()

    def _start_response(self) -> None:
        """Start the response with the full list or with the changes after the balancer's version."""
        agent = self.agent
        self.is_open = True
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        oldest = agent.changes[0][0] if agent.changes else None
        if agent.sends_full_lists:
            up = [entry for entry in agent.entries.values() if entry["state"] == "up"]
            self.send_update(agent.version, up, is_full=True)
        elif agent.version_offset and self.balancer_version > agent.version:
            self.send_update(agent.version, [], is_full=False)
        elif self.balancer_version < 0 or oldest is None or oldest > self.balancer_version + 1:
            self.send_update(agent.version, list(agent.entries.values()), is_full=True)
        else:
            self.send_update(agent.version, self._missed_entries(), is_full=False)
        self.keepalive_timer = agent.loop.call_later(KEEPALIVE_INTERVAL, self._send_keepalive)

    def _missed_entries(self) -> list[EndpointEntry]:
        return [entry for version, entry in self.agent.changes if version > self.balancer_version]

    def catch_up(self) -> None:
        """Send the changes that were withheld while the agent was silent."""
        if not self.is_open:
            self._start_response()
            return
        missed = self._missed_entries()
        if missed:
            self.send_update(self.agent.version, missed, is_full=False)

    def _send_keepalive(self) -> None:
        if not self.transport.is_closing():
            if not self.agent.silent:
                self.write_line(b"\n")
            self.keepalive_timer = self.agent.loop.call_later(KEEPALIVE_INTERVAL, self._send_keepalive)

    def send_update(self, version: int, entries: list[EndpointEntry], *, is_full: bool) -> None:
        """Send entries; a full list announces the removal of all endpoints that it omits."""
        self.balancer_version = version
        if self.is_blocked:
            return
        message = EndpointListMessage(version=version, full=is_full, servers=entries)
        self.write_line(json.dumps(message).encode() + b"\n")
        for entry in entries:
            self.agent.recorder("told", self.peer_name, entry["id"], entry["state"])
        if is_full:
            self._record_removals({entry["id"] for entry in entries})

    def _record_removals(self, listed_ids: Iterable[str]) -> None:
        for endpoint_id in sorted(self.agent.announced_ids.difference(listed_ids)):
            self.agent.recorder("told", self.peer_name, endpoint_id, "removed")

    def write_line(self, text: bytes) -> None:
        """Write one line as an HTTP chunk."""
        if not self.transport.is_closing() and self.is_open and not self.is_blocked:
            self.transport.write(b"%x\r\n%b\r\n" % (len(text), text))

    def block(self) -> None:
        """Block the connection; later updates are not recorded as announced."""
        self.is_blocked = True
        cast("Transport", self.transport).end.block_packets()

    def connection_lost(self, _error: Exception | None) -> None:
        """Implement `asyncio.Protocol.connection_lost`."""
        self.parser = None
        if self in self.agent.watches:
            self.agent.watches.remove(self)
        if self.keepalive_timer is not None:
            self.keepalive_timer.cancel()
