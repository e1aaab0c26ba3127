"""Discovery: the endpoint list, and the agent on each balancer's machine that serves watches of it."""

import asyncio
import json
from collections.abc import Iterable
from random import Random
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict, cast

import httptools

from dahliabend.simulation.peers import RecordEvent

if TYPE_CHECKING:
    from dahliabend.simulation.transports import Transport

KEEPALIVE_INTERVAL = 2.0  # seconds between empty lines on a watch
MICROSECONDS_PER_SECOND = 1e6
FULL_LIST = -1  # the version after which a watch asks for changes, where it asks for the list


class EndpointEntry(TypedDict):
    """An endpoint of the list, with the keys of the wire."""

    id: str
    addr: str
    zone: str
    cell: int
    state: str
    weight: NotRequired[float]
    started_ms: int  # of Unix time; 0: long ago


class EndpointListMessage(TypedDict):
    """The list, or a change of it, with the keys of the wire."""

    version: int
    full: bool
    servers: list[EndpointEntry]


class Registry:
    """The true endpoint list."""

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, EndpointEntry] = {}
        self.agents: list[Agent] = []

    def put(self, entry: EndpointEntry) -> None:
        """Add or change an entry; the state `removed` takes it out."""
        self.version += 1
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        for agent in self.agents:
            agent.schedule_change(self.version, entry)


class Agent:
    """What one balancer is told of the endpoint list, and when."""

    def __init__(
        self,
        registry: Registry,
        loop: asyncio.AbstractEventLoop,
        recorder: RecordEvent,
        rng: Random,
        mean_delay: int,
    ) -> None:
        """Create an agent that knows the list as it is now.

        Args:
            registry: of the endpoint list.
            loop: that it runs on.
            recorder: of events.
            rng: of its delays.
            mean_delay: microseconds until it learns of a change.
        """
        self.registry = registry
        self.loop = loop
        self.recorder = recorder
        self.rng = rng
        self.mean_delay = mean_delay
        self.name = ""  # of the balancer that it serves
        self.version = registry.version
        self.version_offset = 0  # of the registry's versions, once its own began anew
        self.entries = dict(registry.entries)
        self.announced_ids = set(registry.entries)
        self.changes: list[tuple[int, EndpointEntry]] = []  # those learned, by version
        self.watches: list[Watch] = []
        self.servers: list[Any] = []
        self._next_due = 0.0
        # Faults.
        self.extra_delay = 0  # microseconds
        self.silent = False
        self.sends_full_lists = False
        self._withheld_states: dict[str, str] = {}  # learned while silent
        registry.agents.append(self)

    async def open(self, host: str, port: int) -> None:
        """Serve watches at an address."""
        self.servers.append(await self.loop.create_server(lambda: Watch(self), host, port))

    def schedule_change(self, version: int, entry: EndpointEntry) -> None:
        """Learn of a change after a while, in order."""
        wait = self.mean_delay * (0.5 + self.rng.random()) + self.extra_delay
        self._next_due = max(self._next_due, self.loop.time() + wait / MICROSECONDS_PER_SECOND)
        self.loop.call_at(self._next_due, self.apply_change, version, entry)

    def apply_change(self, version: int, entry: EndpointEntry) -> None:
        """Learn of a change now."""
        name = entry["id"]
        state = entry["state"]
        version -= self.version_offset
        self.version = version
        self.changes.append((version, entry))
        if self.silent and state != "up":
            self._withheld_states[name] = state
        else:  # that one is up again may be in the configuration from which a process starts meanwhile
            self._withheld_states.pop(name, None)
            self.recorder("had", self.name, name, state)
        if state == "removed":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
            self.announced_ids.add(name)
        if self.sends_full_lists and state != "up":
            self.close_watches()
        elif not self.silent:
            for watch in list(self.watches):
                watch.send_update(version, [entry], is_full=False)

    def full_list(self) -> EndpointListMessage:
        """The list as this agent knows it, as JSON."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    # Faults.

    def end_silence(self) -> None:
        """Send what was missed on the watches that are still there."""
        self.silent = False
        for name, state in self._withheld_states.items():
            self.recorder("had", self.name, name, state)
        self._withheld_states.clear()
        for watch in list(self.watches):
            watch.catch_up()

    def restart_versions(self) -> None:
        """Begin the versions anew, and end all watches."""
        self.version_offset += self.version
        self.version = 0
        self.changes = []
        self.close_watches()

    def close_watches(self) -> None:
        """End all watches."""
        for watch in list(self.watches):
            watch.transport.abort()

    def send_invalid_update(self, kind: int) -> None:
        """Send an old update, invalid entries or a truncated object on all watches."""
        messages = (
            b'{"version":1,"full":false,"servers":[{"id":"s-0","state":"removed"}]}\n',
            b'{"version":%d,"full":true,"servers":[{"id":7},{"state":"up"},"x"]}\n' % self.version,
            b'{"version": \n',
        )
        for watch in list(self.watches):
            watch.write_line(messages[kind % len(messages)])


class Watch(asyncio.Protocol):
    """One watch, from its request on."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.after = FULL_LIST  # the version that its client has
        self.is_open = False
        self.is_muted = False
        self.keepalive_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """As asyncio."""
        self.transport = cast(asyncio.Transport, transport)
        self.peer = transport.get_extra_info("caller", "")

    def data_received(self, data: bytes) -> None:
        """As asyncio."""
        if self.parser is not None:
            self.parser.feed_data(data)

    def on_url(self, part: bytes) -> None:
        """As httptools."""
        self.target += part

    def on_message_complete(self) -> None:
        """As httptools."""
        _, found, after = self.target.partition(b"after=")
        self.after = int(after) if found else FULL_LIST
        self.agent.watches.append(self)
        if not self.agent.silent:
            self._begin()

    def _begin(self) -> None:
        """Answer the request: with the list, or with the changes since the client's version."""
        agent = self.agent
        self.is_open = True
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        oldest = agent.changes[0][0] if agent.changes else None
        if agent.sends_full_lists:
            up = [entry for entry in agent.entries.values() if entry["state"] == "up"]
            self.send_update(agent.version, up, is_full=True)
        elif agent.version_offset and self.after > agent.version:
            self.send_update(agent.version, [], is_full=False)
        elif self.after < 0 or oldest is None or oldest > self.after + 1:
            self.send_update(agent.version, list(agent.entries.values()), is_full=True)
        else:
            self.send_update(agent.version, self._missed_entries(), is_full=False)
        self.keepalive_timer = agent.loop.call_later(KEEPALIVE_INTERVAL, self._send_keepalive)

    def _missed_entries(self) -> list[EndpointEntry]:
        return [entry for version, entry in self.agent.changes if version > self.after]

    def catch_up(self) -> None:
        """Send what was missed while the agent was silent."""
        if not self.is_open:
            self._begin()
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
        """Send entries; a full list announces by omission that others are removed."""
        self.after = version
        if self.is_muted:
            return
        message = EndpointListMessage(version=version, full=is_full, servers=entries)
        self.write_line(json.dumps(message).encode() + b"\n")
        for entry in entries:
            self.agent.recorder("told", self.peer, entry["id"], entry["state"])
        if is_full:
            self._record_removals({entry["id"] for entry in entries})

    def _record_removals(self, listed: Iterable[str]) -> None:
        for name in sorted(self.agent.announced_ids.difference(listed)):
            self.agent.recorder("told", self.peer, name, "removed")

    def write_line(self, text: bytes) -> None:
        """Write one line as a chunk."""
        if not self.transport.is_closing() and self.is_open and not self.is_muted:
            self.transport.write(b"%x\r\n%b\r\n" % (len(text), text))

    def mute(self) -> None:
        """Let nothing come through any more; what is sent is not recorded as announced."""
        self.is_muted = True
        cast("Transport", self.transport).end.drop_packets()

    def connection_lost(self, _error: Exception | None) -> None:
        """As asyncio."""
        self.parser = None
        if self in self.agent.watches:
            self.agent.watches.remove(self)
        if self.keepalive_timer is not None:
            self.keepalive_timer.cancel()
