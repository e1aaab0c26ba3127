"""Discovery: the list of upstreams, and the agent on each balancer's machine that tells of its changes."""

import asyncio
import json
from collections.abc import Callable
from random import Random

import httptools

BEAT = 2.0  # seconds between empty lines


class Registry:
    """The true list."""

    def __init__(self) -> None:
        self.version = 0
        self.entries: dict[str, dict] = {}
        self.agents: list[Agent] = []

    def put(self, entry: dict) -> None:
        """A new or changed entry; `removed` takes it out."""
        self.version += 1
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        for agent in self.agents:
            agent.hear(self.version, entry)

    def whole(self) -> dict:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}


class Agent:
    """What one balancer is told, and when."""

    def __init__(self, registry: Registry, loop, witness: Callable, chance: Random, notice: int) -> None:
        self.registry, self.loop, self.witness, self.chance = registry, loop, witness, chance
        self.notice = notice  # microseconds in the mean until it hears of a change
        self.late = 0  # on top
        self.silent = self.whole = False  # `whole`: see `faults`
        self.name = ""  # of the balancer that it stands beside
        self.before = 0  # where its count began anew
        self.unsaid: dict[str, str] = {}  # states heard of while silent
        self.version = registry.version
        self.entries = dict(registry.entries)
        self.ever = set(registry.entries)  # ids that it has told of
        self.log: list[tuple[int, dict]] = []  # the changes it has heard of
        self.watches: list[Watch] = []
        self.due = 0.0
        self.servers: list = []
        registry.agents.append(self)

    async def open(self, host: str, port: int) -> None:
        self.servers.append(await self.loop.create_server(lambda: Watch(self), host, port))

    def hear(self, version: int, entry: dict) -> None:
        wait = self.notice * (0.5 + self.chance.random()) + self.late
        self.due = max(self.due, self.loop.time() + wait / 1e6)  # in order
        self.loop.call_at(self.due, self.know, version, entry)

    def know(self, version: int, entry: dict) -> None:
        version -= self.before
        self.version = version
        self.log.append((version, entry))
        if self.silent and entry["state"] != "up":
            self.unsaid[entry["id"]] = entry["state"]
        else:  # that one is well again may stand in the file from which a process starts meanwhile
            self.unsaid.pop(entry["id"], None)
            self.witness("had", self.name, entry["id"], entry["state"])
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
            self.ever.add(entry["id"])
        if self.whole and entry["state"] != "up":
            self.end_watches()
        elif not self.silent:
            for watch in list(self.watches):
                watch.tell(version, False, [entry])

    def known(self) -> dict:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def speak(self) -> None:
        """After a silence: what was missed, on the watches that are still there."""
        self.silent = False
        for name, state in self.unsaid.items():
            self.witness("had", self.name, name, state)
        self.unsaid.clear()
        for watch in list(self.watches):
            watch.catch_up()

    def begin_anew(self) -> None:
        self.before += self.version
        self.version, self.log = 0, []
        self.end_watches()

    def end_watches(self) -> None:
        for watch in list(self.watches):
            watch.transport.abort()

    def mislead(self, kind: int) -> None:
        """What a list service should not say: old news, entries that can't be read, half an object."""
        said = (
            b'{"version":1,"full":false,"servers":[{"id":"s-0","state":"removed"}]}\n',
            b'{"version":%d,"full":true,"servers":[{"id":7},{"state":"up"},"x"]}\n' % self.version,
            b'{"version": \n',
        )
        for watch in list(self.watches):
            watch.line(said[kind % len(said)])


class Watch(asyncio.Protocol):
    """One watch, from its request on."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.parser = httptools.HttpRequestParser(self)
        self.target, self.after, self.open, self.beat = b"", -1, False, None
        self.deaf = False  # nothing comes through any more: what it says is not told

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.peer = transport.get_extra_info("caller", "")

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_message_complete(self) -> None:
        _, found, after = self.target.partition(b"after=")
        self.after = int(after) if found else -1
        self.agent.watches.append(self)
        if not self.agent.silent:
            self.begin()

    def begin(self) -> None:
        self.open = True
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        agent = self.agent
        missed = [entry for version, entry in agent.log if version > self.after]
        if agent.whole:
            self.tell(agent.version, True, [e for e in agent.entries.values() if e["state"] == "up"])
        elif agent.before and self.after > agent.version:
            self.tell(agent.version, False, [])
        elif self.after < 0 or not agent.log or agent.log[0][0] > self.after + 1:
            self.tell(agent.version, True, list(agent.entries.values()))
        else:
            self.tell(agent.version, False, missed)
        self.beat = agent.loop.call_later(BEAT, self.pulse)

    def catch_up(self) -> None:
        if not self.open:
            return self.begin()
        missed = [entry for version, entry in self.agent.log if version > self.after]
        if missed:
            self.tell(self.agent.version, False, missed)

    def pulse(self) -> None:
        if not self.transport.is_closing():
            if not self.agent.silent:
                self.line(b"\n")
            self.beat = self.agent.loop.call_later(BEAT, self.pulse)

    def tell(self, version: int, full: bool, entries: list[dict]) -> None:
        self.after = version
        if self.deaf:
            return
        self.line(json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n")
        for entry in entries:
            self.agent.witness("told", self.peer, entry["id"], entry["state"])
        named = {entry["id"] for entry in entries}
        for name in sorted(self.agent.ever - named) if full else ():
            self.agent.witness("told", self.peer, name, "removed")  # a whole list says so by leaving it out

    def line(self, text: bytes) -> None:
        if not self.transport.is_closing() and self.open and not self.deaf:
            self.transport.write(b"%x\r\n%b\r\n" % (len(text), text))

    def connection_lost(self, error) -> None:
        self.parser = None
        if self in self.agent.watches:
            self.agent.watches.remove(self)
        if self.beat is not None:
            self.beat.cancel()
