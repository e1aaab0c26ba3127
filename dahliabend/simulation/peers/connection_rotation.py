"""The choice of the balancer for a client's next connection."""

from dahliabend.simulation.addresses import Address


class ConnectionRotation:
    """Distributes connections to the ready balancers in rotation."""

    def __init__(self, addresses: list[Address]) -> None:
        self.addresses = list(addresses)
        self.not_ready: set[Address] = set()
        self._position = 0

    def next_address(self) -> Address | None:
        """Return the address for the next connection, None if no balancer is ready."""
        ready = [address for address in self.addresses if address not in self.not_ready]
        if not ready:
            return None
        self._position += 1
        return ready[self._position % len(ready)]
