"""What lies between the instances: each is reached by a place of the relay's, which knows who sends to whom.

A datagram of a for b comes in at b's place; it goes on to b from a's place, so that b answers there. Loss,
delay, doubling and cuts one way are decided here, from one seeded generator.
"""

import asyncio
from collections.abc import Callable
from random import Random

from dahliabend.simulation.cluster.script import S

MOST_WAITING = 20_000  # datagrams on their way at once: more are lost, as in a full queue


class Relay:
    """Owns the places' sockets from `open` until `close`."""

    def __init__(self, chance: Random, host: str = "127.0.0.1") -> None:
        self.chance, self.host = chance, host
        self.places: list[Place] = []
        self.cut: set[tuple[int, int]] = set()
        self.loss = self.twice = 0.0
        self.delay = self.more = 0  # microseconds in the mean, and on top at the most
        self.waiting = self.passed = self.dropped = 0
        self.tap: Callable[[int, int, bytes], None] | None = None

    async def open(self, count: int) -> list[tuple[str, int]]:
        """The place of each instance."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            _, place = await loop.create_datagram_endpoint(
                lambda number=number: Place(self, number), local_addr=(self.host, 0)
            )
            self.places.append(place)
        return [place.transport.get_extra_info("sockname") for place in self.places]

    def stands_at(self, number: int, address: tuple[str, int]) -> None:
        """Where an instance's own socket is."""
        self.places[number].behind = address

    def who(self, address: tuple[str, int]) -> int:
        return next((place.number for place in self.places if place.behind == address), -1)

    def come(self, source: tuple[str, int], to: int, data: bytes) -> None:
        sender = self.who(source)
        if sender < 0 or (sender, to) in self.cut or self.chance.random() < self.loss:
            self.dropped += 1
            return
        if self.tap is not None:
            self.tap(sender, to, data)
        for _ in range(2 if self.chance.random() < self.twice else 1):
            wait = self.delay * (0.5 + self.chance.random()) + self.more * self.chance.random()
            if self.waiting >= MOST_WAITING:
                self.dropped += 1
            elif wait < 200:  # a timer would be later than that
                self.pass_on(sender, to, data)
            else:
                self.waiting += 1
                asyncio.get_running_loop().call_later(wait / S, self.due, sender, to, data)

    def due(self, sender: int, to: int, data: bytes) -> None:
        self.waiting -= 1
        self.pass_on(sender, to, data)

    def pass_on(self, sender: int, to: int, data: bytes) -> None:
        target, behind = self.places[sender], self.places[to].behind
        if behind is not None and not target.transport.is_closing():
            self.passed += 1
            target.transport.sendto(data, behind)

    def throw(self, to: int, data: bytes) -> None:
        """As a stranger would, from a place of nobody's."""
        self.pass_on(to, to, data)

    def close(self) -> None:
        for place in self.places:
            place.transport.close()


class Place(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, number: int) -> None:
        self.relay, self.number = relay, number
        self.behind: tuple[str, int] | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        self.relay.come(source, self.number, data)

    def error_received(self, error: OSError) -> None:
        """Nobody is behind it just now: the datagram is lost."""
