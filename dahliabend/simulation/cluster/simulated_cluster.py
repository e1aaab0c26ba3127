"""Membership protocol instances on a simulated network with one virtual clock.

The network delays, loses, duplicates and reorders datagrams. Links can be blocked in one direction, and
instances can be paused (as by SIGSTOP) or ended.
"""

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from dahliabend.membership.events import EventKind
from dahliabend.membership.protocol import MembershipProtocol
from dahliabend.membership.snapshot import MembershipSnapshot
from dahliabend.membership.swim_config import SwimConfig

S = 1_000_000  # microseconds in a second
DEFAULT_DELAY = (200, 20_000)  # microseconds of a datagram: minimum, and maximum exclusive
DEFAULT_SEED = 1  # with this seed, instances' generators depend on name and generation only


class Datagram(NamedTuple):
    """A datagram in transit; ordered by arrival."""

    arrives_at: int
    sequence: int
    source: str
    target: str
    payload: bytes


class Timer(NamedTuple):
    """A timer that an instance has set; ordered by due time."""

    due: int
    name: str
    machine: MembershipProtocol


class SimulatedCluster:
    """Protocol instances by name on a simulated network. An instance's name is also its address."""

    def __init__(
        self,
        count: int,
        seed: int = DEFAULT_SEED,
        loss: float = 0.0,
        config: SwimConfig | None = None,
        start_instances: bool = True,
    ) -> None:
        """Create a cluster and start `count` instances.

        Args:
            count: Number of instances; they are named b0, b1, and so on.
            seed: Seed of the network's and the instances' random generators.
            loss: Share of datagrams that is lost.
            config: Settings of the membership protocol.
            start_instances: Whether to start the instances; False leaves the cluster empty.
        """
        self.rng = Random(seed)
        self.now = S
        self.loss = loss
        self.sequence = 0
        self.seed = seed
        self.config = config or SwimConfig(sync_interval=10)
        self.delay = DEFAULT_DELAY
        self.duplication = 0.0  # the share of datagrams that arrive twice
        self.in_transit: list[Datagram] = []
        self.blocked_links: set[tuple[str, str]] = set()  # (sender, receiver): all is lost
        self.paused_until: dict[str, int] = {}
        self.machines: dict[str, MembershipProtocol] = {}
        self.timers: list[Timer] = []
        self.armed: dict[str, int] = {}  # by name: the due time of the instance's valid timer
        self.bytes = 0
        self.datagrams = 0
        self.on_events: Callable[[str, MembershipProtocol], None] | None = None
        for number in range(count if start_instances else 0):
            self.start_instance(f"b{number}", generation=1, seeds=["b0", "b1"])

    def start_instance(
        self,
        name: str,
        generation: int,
        seeds: list[str],
        state: MembershipSnapshot | None = None,
        zone: str = "",
    ) -> MembershipProtocol:
        """Start an instance, from the snapshot of its predecessor if one is given."""
        own_seed = f"{name} {generation}" if self.seed == DEFAULT_SEED else f"{self.seed} {name} {generation}"
        machine = MembershipProtocol(name, generation, name, self.config, Random(own_seed), zone)
        self.machines[name] = machine
        if state is not None:
            machine.restore(self.now, state)
        machine.start(self.now, seeds)
        self.transmit(name)
        return machine

    def end_instance(self, name: str) -> MembershipProtocol | None:
        """End an instance at once and return its protocol; None if there is no instance of that name."""
        self.paused_until.pop(name, None)
        self.armed.pop(name, None)
        return self.machines.pop(name, None)

    def transmit(self, name: str) -> None:
        """Set an instance's timer, report its events and send the datagrams that it produced."""
        machine = self.machines[name]
        if self.armed.get(name) != machine.timer_due:
            self.armed[name] = machine.timer_due
            heappush(self.timers, Timer(machine.timer_due, name, machine))
        if self.on_events is not None and machine.events:
            self.on_events(name, machine)
        for address, payload in machine.take_outgoing():
            self.datagrams += 1
            self.bytes += len(payload)
            if (name, address) in self.blocked_links or (self.loss and self.rng.random() < self.loss):
                continue
            self._send(name, address, payload)
            if self.duplication and self.rng.random() < self.duplication:
                self._send(name, address, payload)

    def _send(self, name: str, address: str, payload: bytes) -> None:
        self.sequence += 1
        arrives_at = self.now + self.rng.randrange(*self.delay)
        heappush(self.in_transit, Datagram(arrives_at, self.sequence, name, address, payload))

    def run(self, span: int) -> "SimulatedCluster":
        """Run for `span` microseconds."""
        end = self.now + span
        timers = self.timers
        in_transit = self.in_transit
        while True:
            next_timer = timers[0].due if timers else end
            next_arrival = in_transit[0].arrives_at if in_transit else end
            if next_timer >= end and next_arrival >= end:
                self.now = end
                return self
            if next_arrival <= next_timer:
                self.now = max(self.now, next_arrival)
                self._deliver(heappop(in_transit))
            else:
                self.now = max(self.now, next_timer)
                self._fire(heappop(timers))

    def _deliver(self, datagram: Datagram) -> None:
        target = datagram.target
        if target not in self.machines:
            return
        paused_until = self.paused_until.get(target, 0)
        if paused_until > self.now:  # delivered once the instance resumes, after its timers
            heappush(self.in_transit, datagram._replace(arrives_at=paused_until + 1))
            return
        self.machines[target].receive_datagram(self.now, datagram.payload, datagram.source)
        self.transmit(target)

    def _fire(self, timer: Timer) -> None:
        name = timer.name
        if self.machines.get(name) is not timer.machine or self.armed.get(name) != timer.due:
            return  # the timer is of an earlier process of this name, or was replaced
        paused_until = self.paused_until.get(name, 0)
        if paused_until > self.now:
            self.armed[name] = paused_until
            heappush(self.timers, timer._replace(due=paused_until))
            return
        self.armed.pop(name)
        timer.machine.timer_fired(self.now)
        self.transmit(name)

    def pause(self, name: str, span: int) -> None:
        """Stop an instance for `span` microseconds; its timers and datagrams wait until it resumes."""
        self.paused_until[name] = self.now + span

    def view_of(self, name: str) -> set[str]:
        """Return the names in an instance's view."""
        return self.machines[name].view(self.now).names()

    def agrees(self, names: Iterable[str] | None = None) -> bool:
        """Return whether each of these instances (default: all) has exactly these in its view."""
        expected = set(names or self.machines)
        return all(self.view_of(name) == expected for name in expected)

    def declared_dead(self) -> set[str]:
        """Return the names that any running instance has declared dead, by its events not yet taken."""
        machines = self.machines.values()
        return {
            event.name for machine in machines for event in machine.events if event.kind is EventKind.DIED
        }
