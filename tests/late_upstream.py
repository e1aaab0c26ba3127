"""Upstreams to which connections are established late."""

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
    """An upstream to which connecting takes at least a second.

    Its accept queue is full, so the kernel drops the first SYN packet, and the client retransmits it one
    second later. `accept_all` makes it accept all connections.
    """

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
    """A late upstream that accepts its first connection at once and closes it at the first request."""

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
    """Return a late upstream whose accept queue is full."""
    upstream = LateUpstream(respond)
    assert upstream.listening.wait(PATIENCE)
    return upstream


def wait_until_connecting(upstream):
    """Wait until a connection attempt other than those of the fillers is in state SYN_SENT in the kernel."""
    remote_port_and_state = f":{upstream.sock.getsockname()[1]:04X} 02"

    def other_attempts():
        with open("/proc/net/tcp") as file:
            lines = [line.split() for line in file if remote_port_and_state in line]
        # Read after the file, which may already list a filler that has just started to connect.
        filler_ports = {filler.getsockname()[1] for filler in upstream.fillers}
        return [line for line in lines if int(line[1].partition(":")[2], 16) not in filler_ports]

    wait_until(other_attempts)
