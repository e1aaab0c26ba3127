"""Upstreams whose connections come up late."""

import socket
from threading import Event, Thread

from helpers import (
    CONF,
    PATIENCE,
    Server,
    Upstream,
    answer,
    until,
)

LONG_PROFILES = [
    {**profile, "service-goal": 60_000.0, "hard-limit": 60_000.0} for profile in CONF["profiles"]
]


def capabilities(**changes):
    return {"caps": {**CONF["caps"], **changes}, "profiles": LONG_PROFILES}


class LateUpstream(Upstream):
    """Its connections come up late: the system's queue is full, so it drops a first packet, and the next one
    comes a second later. `open_up` takes them all in."""

    def __init__(self, play=None):
        self.up = Event()
        self.fillers = []
        super().__init__(play)

    def fill(self):
        self.sock.listen(0)
        for _ in range(4):
            self.fillers.append(socket.socket())
            self.fillers[-1].setblocking(False)
            self.fillers[-1].connect_ex(self.sock.getsockname())

    def accept(self):
        self.fill()
        self.up.set()
        assert Event.wait(self.opened, PATIENCE)
        super().accept()

    @property
    def opened(self):
        return self.__dict__.setdefault("_opened", Event())

    def open_up(self):
        self.opened.set()

    def close(self):
        self.opened.set()
        for filler in self.fillers:
            filler.close()
        super().close()


class LateAfterFirstUpstream(LateUpstream):
    """Its first connection comes up at once, and ends with its first request; those after it come up late."""

    def __init__(self):
        super().__init__(self.first)

    def accept(self):
        conn, _ = self.sock.accept()
        Thread(target=self.guard, args=(conn,), daemon=True).start()
        assert Event.wait(self.opened, PATIENCE)
        Server.accept(self)

    def first(self, conn, request):
        if self.opened.is_set():
            return conn.sendall(answer()) is None
        self.fill()
        return False


def late_upstream(play=None):
    made = LateUpstream(play)
    assert made.up.wait(PATIENCE)
    return made


def wait_until_connecting(up):
    """As the system has it: beside the fillers one more first packet to that place is not answered yet."""
    place = f":{up.sock.getsockname()[1]:04X} 02"

    def more():
        with open("/proc/net/tcp") as file:
            lines = [line.split() for line in file if place in line]
        own = {filler.getsockname()[1] for filler in up.fillers}  # read after: one may just have begun
        return [line for line in lines if int(line[1].partition(":")[2], 16) not in own]

    until(more)
