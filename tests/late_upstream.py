"""Upstreams whose connections come up late."""

import socket
from threading import Event, Thread

from helpers import (
    CONF,
    PATIENCE,
    Server,
    Upstream,
    make_response,
    wait_until,
)

LONG_PROFILES = [
    {**profile, "service-goal": 60_000.0, "hard-limit": 60_000.0} for profile in CONF["profiles"]
]


def settings_with_capabilities(**changes):
    return {"caps": {**CONF["caps"], **changes}, "profiles": LONG_PROFILES}


class LateUpstream(Upstream):
    """Its connections come up late: the system's queue is full, so it drops a first packet, and the next one
    comes a second later. `open_up` takes them all in."""

    def __init__(self, respond=None):
        self.listening = Event()
        self.fillers = []
        super().__init__(respond)

    def fill_accept_queue(self):
        self.sock.listen(0)
        for _ in range(4):
            self.fillers.append(socket.socket())
            self.fillers[-1].setblocking(False)
            self.fillers[-1].connect_ex(self.sock.getsockname())

    def accept_connections(self):
        self.fill_accept_queue()
        self.listening.set()
        assert Event.wait(self.accept_event, PATIENCE)
        super().accept_connections()

    @property
    def accept_event(self):
        return self.__dict__.setdefault("_accept_event", Event())

    def accept_all(self):
        self.accept_event.set()

    def close(self):
        self.accept_event.set()
        for filler in self.fillers:
            filler.close()
        super().close()


class LateAfterFirstUpstream(LateUpstream):
    """Its first connection comes up at once, and ends with its first request; those after it come up late."""

    def __init__(self):
        super().__init__(self.respond_to_first)

    def accept_connections(self):
        conn, _ = self.sock.accept()
        Thread(target=self.handle_connection, args=(conn,), daemon=True).start()
        assert Event.wait(self.accept_event, PATIENCE)
        Server.accept_connections(self)

    def respond_to_first(self, conn, request):
        if self.accept_event.is_set():
            return conn.sendall(make_response()) is None
        self.fill_accept_queue()
        return False


def late_upstream(respond=None):
    upstream = LateUpstream(respond)
    assert upstream.listening.wait(PATIENCE)
    return upstream


def wait_until_connecting(up):
    """As the system has it: beside the fillers one more first packet to that place is not answered yet."""
    place = f":{up.sock.getsockname()[1]:04X} 02"

    def more():
        with open("/proc/net/tcp") as file:
            lines = [line.split() for line in file if place in line]
        own = {filler.getsockname()[1] for filler in up.fillers}  # read after: one may just have begun
        return [line for line in lines if int(line[1].partition(":")[2], 16) not in own]

    wait_until(more)
