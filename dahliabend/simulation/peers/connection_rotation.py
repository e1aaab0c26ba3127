"""Which balancer a client's next connection goes to."""

from dahliabend.simulation.addresses import Address


class ConnectionRotation:
    """Deals out connections among the balancers that are ready, in rotation."""

    def __init__(self, addresses: list[Address]) -> None:
        self.addresses = list(addresses)
        self.not_ready: set[Address] = set()
        self._position = 0

    def next_address(self) -> Address | None:
        """Where the next connection goes, None if no balancer is ready."""
        ready = [address for address in self.addresses if address not in self.not_ready]
        if not ready:
            return None
        self._position += 1
        return ready[self._position % len(ready)]
