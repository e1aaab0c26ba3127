"""Instances that gossip over a network that delivers datagrams immediately or drops them."""

from collections.abc import Callable
from random import Random

from dahliabend.health_gossip.gossip import GOSSIP_INTERVAL, MAX_PAYLOAD_BYTES, HealthGossip

FRAMING_BYTES = 50  # bytes of a datagram besides its reports


class GossipCluster:
    """Instances by name, all of them members."""

    def __init__(self, count: int) -> None:
        self.instances = {f"b{n}": HealthGossip(f"b{n}", 1, Random(n)) for n in range(count)}
        self.names = set(self.instances)

    def run(
        self, now: int, ticks: int, is_dropped: Callable[[str, str], bool] = lambda source, target: False
    ) -> int:
        """Let all instances tick `ticks` times, and return the number of bytes sent."""
        sent = 0
        for tick in range(ticks):
            at = now + tick * GOSSIP_INTERVAL
            for name, instance in self.instances.items():
                instance.tick(at, self.instances)
                datagrams, instance.outbox = instance.outbox, []
                for target, payload in datagrams:
                    sent += len(payload)
                    assert len(payload) <= MAX_PAYLOAD_BYTES + FRAMING_BYTES
                    if not is_dropped(name, target):
                        self.instances[target].receive(at, payload)
        return sent
