"""A fake discovery service that accepts connections and never responds."""

from socket import socket

from helpers import Server


class SilentDiscovery(Server):
    """A discovery service that reads requests and sends nothing."""

    def serve(self, conn: socket) -> None:
        """Read until the client closes the connection."""
        while conn.recv(1024):
            pass
