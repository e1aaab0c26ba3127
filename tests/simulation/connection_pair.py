"""Two simulated machines with a connection between them."""

import asyncio
from random import Random

from dahliabend.simulation.event_loop import Process, Scheduler
from dahliabend.simulation.network import Network
from dahliabend.simulation.network_profile import NetworkProfile
from dahliabend.simulation.transports import Transport

ADDRESS = ("10.0.0.2", 80)


class Peer(asyncio.Protocol):
    """Keeps what it was told."""

    def __init__(self):
        self.received, self.paused, self.ended, self.error = b"", 0, False, None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def pause_writing(self):
        self.paused += 1

    def resume_writing(self):
        self.paused -= 1

    def eof_received(self):
        self.ended = True
        return True

    def connection_lost(self, error):
        self.error = error or True


class ConnectionPair:
    """Two machines, and one connection between them."""

    def __init__(self, listens=True, **profile):
        self.scheduler = Scheduler(100_000)
        self.network = Network(self.scheduler, NetworkProfile(jitter=0.0, **profile), Random(1))
        self.network.transport_factory = Transport
        self.network.zones = {"10.0.0.1": "a", "10.0.0.2": "b"}
        self.one, self.two = (
            Process(self.scheduler, n, a) for n, a in (("one", "10.0.0.1"), ("two", ADDRESS[0]))
        )
        self.one.loop.network = self.two.loop.network = self.network
        self.servers, self.near = [], Peer()
        self.failed = None
        if listens:
            self.spawn(self.two, self.two.loop.create_server(self.accepted, *ADDRESS))
        self.go(0)
        self.far = None

    def accepted(self):
        self.far = Peer()
        return self.far

    def spawn(self, process, coroutine):
        process.run(process.loop.create_task, coroutine)

    def dial(self):
        async def connect():
            try:
                await self.one.loop.create_connection(lambda: self.near, *ADDRESS)
            except OSError as error:
                self.failed = error

        self.spawn(self.one, connect())
        return self

    def up(self):
        self.dial()
        self.go(50_000)
        return self

    def go(self, span):
        self.scheduler.run_until(self.scheduler.now + span)
