"""Two simulated hosts with a connection between them."""

import asyncio
from random import Random

from dahliabend.simulation.event_loop import Process, Scheduler
from dahliabend.simulation.network import Network
from dahliabend.simulation.network_profile import NetworkProfile
from dahliabend.simulation.transports import Transport

ADDRESS = ("10.0.0.2", 80)


class Peer(asyncio.Protocol):
    """Records the calls of its transport."""

    def __init__(self):
        self.received, self.paused, self.has_eof, self.error = b"", 0, False, None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def pause_writing(self):
        self.paused += 1

    def resume_writing(self):
        self.paused -= 1

    def eof_received(self):
        self.has_eof = True
        return True

    def connection_lost(self, error):
        self.error = error or True


class ConnectionPair:
    """Two simulated processes on separate hosts, and one connection between them."""

    def __init__(self, listens=True, **profile):
        self.scheduler = Scheduler(100_000)
        self.network = Network(self.scheduler, NetworkProfile(jitter=0.0, **profile), Random(1))
        self.network.transport_factory = Transport
        self.network.zones = {"10.0.0.1": "a", "10.0.0.2": "b"}
        self.client_process, self.server_process = (
            Process(self.scheduler, n, a) for n, a in (("one", "10.0.0.1"), ("two", ADDRESS[0]))
        )
        self.client_process.loop.network = self.server_process.loop.network = self.network
        self.servers, self.client = [], Peer()
        self.connect_error = None
        if listens:
            self.spawn(
                self.server_process, self.server_process.loop.create_server(self.server_accepted, *ADDRESS)
            )
        self.advance(0)
        self.server = None

    def server_accepted(self):
        self.server = Peer()
        return self.server

    def spawn(self, process, coroutine):
        process.run(process.loop.create_task, coroutine)

    def connect(self):
        async def open_connection():
            try:
                await self.client_process.loop.create_connection(lambda: self.client, *ADDRESS)
            except OSError as error:
                self.connect_error = error

        self.spawn(self.client_process, open_connection())
        return self

    def connect_and_wait(self):
        self.connect()
        self.advance(50_000)
        return self

    def advance(self, duration):
        self.scheduler.run_until(self.scheduler.now + duration)
