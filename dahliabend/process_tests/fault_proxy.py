"""A proxy for datagrams between instances that loses, delays, duplicates and blocks them.

The proxy has a socket for each instance, whose address the instance advertises. A datagram from a to b
arrives at b's proxy socket and is forwarded to b from a's, so that b replies to that one. All faults are
drawn from one seeded generator.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import cast

from dahliabend.simulation.addresses import Address
from dahliabend.simulation.cluster.actual_history import Link
from dahliabend.simulation.cluster.script import S

MAX_IN_TRANSIT = 20_000  # datagrams; further ones are dropped, as by a full queue
MIN_TIMER_DELAY = 200  # microseconds; timers are too late for shorter delays
UNKNOWN_SENDER = -1
LOOPBACK = "127.0.0.1"

DatagramTap = Callable[[int, int, bytes], None]  # sender, receiver, payload


class FaultProxy:
    """The proxy. It owns its sockets from `open` until `close`."""

    def __init__(self, rng: Random, host: str = LOOPBACK) -> None:
        self.rng = rng
        self.host = host
        self.sockets: list[ProxySocket] = []
        self.blocked_links: set[Link] = set()
        self.loss = 0.0  # share of datagrams that is lost
        self.duplication = 0.0  # share of datagrams that arrives twice
        self.mean_delay = 0  # microseconds
        self.max_extra_delay = 0  # microseconds
        self.in_transit = 0  # datagrams that wait for their delay
        self.forwarded = 0
        self.dropped = 0
        self.tap: DatagramTap | None = None

    async def open(self, count: int) -> list[Address]:
        """Open a socket for each of `count` instances, and return the addresses."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            _, proxy_socket = await loop.create_datagram_endpoint(
                partial(ProxySocket, self, number), local_addr=(self.host, 0)
            )
            self.sockets.append(proxy_socket)
        return [proxy_socket.transport.get_extra_info("sockname") for proxy_socket in self.sockets]

    def set_target(self, number: int, address: Address) -> None:
        """Set the address of an instance's own socket."""
        self.sockets[number].target = address

    def _sender_at(self, address: Address) -> int:
        senders = (proxy_socket.number for proxy_socket in self.sockets if proxy_socket.target == address)
        return next(senders, UNKNOWN_SENDER)

    def datagram_arrived(self, source: Address, receiver: int, payload: bytes) -> None:
        """Drop a datagram that arrived at an instance's proxy socket, or forward it after its delay."""
        sender = self._sender_at(source)
        is_lost = sender == UNKNOWN_SENDER or (sender, receiver) in self.blocked_links
        if is_lost or self.rng.random() < self.loss:
            self.dropped += 1
            return
        if self.tap is not None:
            self.tap(sender, receiver, payload)
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            jittered = self.mean_delay * (0.5 + self.rng.random())
            self._forward_after(
                jittered + self.max_extra_delay * self.rng.random(), sender, receiver, payload
            )

    def _forward_after(self, delay: float, sender: int, receiver: int, payload: bytes) -> None:
        if self.in_transit >= MAX_IN_TRANSIT:
            self.dropped += 1
        elif delay < MIN_TIMER_DELAY:
            self.forward(sender, receiver, payload)
        else:
            self.in_transit += 1
            loop = asyncio.get_running_loop()
            loop.call_later(delay / S, self._timer_fired, sender, receiver, payload)

    def _timer_fired(self, sender: int, receiver: int, payload: bytes) -> None:
        self.in_transit -= 1
        self.forward(sender, receiver, payload)

    def forward(self, sender: int, receiver: int, payload: bytes) -> None:
        """Send a datagram to its receiver from the sender's proxy socket."""
        transport = self.sockets[sender].transport
        target = self.sockets[receiver].target
        if target is not None and not transport.is_closing():
            self.forwarded += 1
            transport.sendto(payload, target)

    def inject(self, receiver: int, payload: bytes) -> None:
        """Send a foreign datagram to an instance, from that instance's own socket of the proxy."""
        self.forward(receiver, receiver, payload)

    def close(self) -> None:
        """Close all sockets."""
        for proxy_socket in self.sockets:
            proxy_socket.transport.close()


class ProxySocket(asyncio.DatagramProtocol):
    """The proxy's socket for one instance."""

    def __init__(self, proxy: FaultProxy, number: int) -> None:
        self.proxy = proxy
        self.number = number
        self.target: Address | None = None  # the instance's own socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a datagram to the proxy."""
        self.proxy.datagram_arrived(addr, self.number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: no process listens at the target now, and the datagram is lost."""
