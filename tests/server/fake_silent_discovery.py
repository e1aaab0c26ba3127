"""A discovery service that accepts connections and never answers."""

from socket import socket

from helpers import Server


class SilentDiscovery(Server):
    """Reads what is sent to it, and sends nothing."""

    def serve(self, conn: socket) -> None:
        """Read until the connection ends."""
        while conn.recv(1024):
            pass
