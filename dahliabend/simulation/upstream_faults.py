"""Faults of upstreams: of their processes, responses, reachability and entries in the endpoint list."""

from collections.abc import Callable

from dahliabend.simulation.fault_environment import FaultEnvironment, Undo
from dahliabend.simulation.scenario import MS, RESET_THRESHOLD, Fault
from dahliabend.simulation.upstream_host import UpstreamHost

RESTART_TIME = 200 * MS  # from the end of a process to the start of the next in a planned restart
MAX_CONNECT_DELAY = 1_500 * MS  # multiplied by the fault's size
MAX_SLOWDOWN = 10  # multiplied by the fault's size
MAX_READING_TIME = 8  # seconds for a long body, multiplied by the fault's size
MAX_CONNECTIONS = 4  # limit of an upstream's connections, multiplied by the fault's size
FLAPS = 6  # changes of a list entry within the fault's duration


class UpstreamFaults:
    """The faults of upstreams. Each action returns a function that ends it, or None."""

    def __init__(self, simulation: FaultEnvironment) -> None:
        self.simulation = simulation
        self.actions: dict[str, Callable[[Fault], Undo]] = {
            "hang": self.hang,
            "slow": self.slow,
            "fail": self.fail,
            "garble": self.garble,
            "twice": self.duplicate_responses,
            "limit": self.limit_connections,
            "reset": self.reset_connections,
            "crash": self.crash,
            "drain": self.drain,
            "restart": self.restart,
            "withdraw": self.withdraw,
            "flap": self.flap,
            "refuse": self.refuse_connections,
            "mute": self.ignore_connections,
            "vanish": self.vanish,
            "slow-dial": self.slow_connects,
            "slow-read": self.read_slowly,
        }

    def _host(self, fault: Fault) -> UpstreamHost:
        return self.simulation.upstreams[fault.whom]

    def _set_behavior(self, fault: Fault, name: str, *, value: object) -> Undo:
        """Set an attribute that controls an upstream's behaviour, until the fault ends."""
        upstream = self._host(fault).upstream
        previous_value = getattr(upstream, name)
        setattr(upstream, name, value)
        return lambda: setattr(upstream, name, previous_value)

    def hang(self, fault: Fault) -> Undo:
        """Have the upstream accept requests and answer none."""
        return self._set_behavior(fault, "hung", value=True)

    def slow(self, fault: Fault) -> Undo:
        """Have the upstream's work take longer."""
        return self._set_behavior(fault, "slower", value=1 + MAX_SLOWDOWN * fault.size)

    def read_slowly(self, fault: Fault) -> Undo:
        """Have the upstream read long bodies at a steady, slow pace."""
        rate = self.simulation.scenario.load.long_body_size / (MAX_READING_TIME * fault.size)
        return self._set_behavior(fault, "read_rate", value=rate)

    def fail(self, fault: Fault) -> Undo:
        """Have a share of the upstream's requests fail."""
        return self._set_behavior(fault, "failing", value=fault.size)

    def garble(self, fault: Fault) -> Undo:
        """Have a share of the upstream's responses be invalid."""
        return self._set_behavior(fault, "garbled", value=fault.size)

    def duplicate_responses(self, fault: Fault) -> Undo:
        """Have the upstream send a share of its responses twice."""
        return self._set_behavior(fault, "duplicated_share", value=fault.size)

    def limit_connections(self, fault: Fault) -> Undo:
        """Limit the upstream to few connections."""
        limits = self.simulation.network.connection_limits
        address = self._host(fault).address
        limits[address] = 1 + int(MAX_CONNECTIONS * fault.size)
        return lambda: limits.pop(address, None)

    def reset_connections(self, fault: Fault) -> Undo:
        """Have the upstream reset all its connections."""
        host = self._host(fault)
        host.process.run(host.upstream.reset_all)
        return None

    def crash(self, fault: Fault) -> Undo:
        """Kill the upstream, and start it again when the fault ends; it then has to warm up."""
        host = self._host(fault)
        host.kill()
        return lambda: self._restart_unwarmed(host)

    def _restart_unwarmed(self, host: UpstreamHost) -> None:
        if not host.process.is_alive:
            host.start(needs_warmup=True)
            host.publish("up")

    def drain(self, fault: Fault) -> Undo:
        """Have the upstream drain, and return later."""
        host = self._host(fault)
        simulation = self.simulation
        drain_time = simulation.spec.drain_time
        host.publish("draining")
        upstream = host.upstream
        simulation.call_later(drain_time, upstream.drain)

        def end_drain() -> None:
            """End the drain, and publish the upstream as up if its process is still the same."""
            if simulation.is_stopping:
                return
            upstream.draining = False
            if host.upstream is upstream and host.process.is_alive:
                host.publish("up")

        simulation.call_later(drain_time + 2 * fault.span, end_drain)
        return None

    def restart(self, fault: Fault) -> Undo:
        """Restart the upstream in a planned way: it drains, ends, starts again and has to warm up."""
        host = self._host(fault)
        simulation = self.simulation
        host.publish("draining")

        def end_process() -> None:
            """Remove the upstream from the list, end its process and schedule the next start."""
            if host.process.is_alive:
                host.publish("removed")
                host.kill()
                simulation.call_later(RESTART_TIME, self._restart_unwarmed, host)

        simulation.call_later(simulation.spec.drain_time + fault.span, end_process)
        return None

    def withdraw(self, fault: Fault) -> Undo:
        """Have the upstream drain for good, and answer requests until the end of the run."""
        self._host(fault).publish("draining")
        return None

    def flap(self, fault: Fault) -> Undo:
        """Publish the upstream as draining and as up in turn."""
        host = self._host(fault)
        for number in range(FLAPS):
            state = "up" if number % 2 else "draining"
            self.simulation.call_later(number * fault.span // FLAPS, host.publish, state)
        return lambda: host.publish("up")

    def refuse_connections(self, fault: Fault) -> Undo:
        """Refuse new connections to the upstream."""
        refusing = self.simulation.network.refusing_addresses
        address = self._host(fault).address
        refusing.add(address)
        return lambda: refusing.discard(address)

    def ignore_connections(self, fault: Fault) -> Undo:
        """Leave new connections to the upstream without a reply."""
        unresponsive = self.simulation.network.unresponsive_addresses
        address = self._host(fault).address
        unresponsive.add(address)
        return lambda: unresponsive.discard(address)

    def vanish(self, fault: Fault) -> Undo:
        """Make the upstream's host unreachable; large faults reset the blocked connections at their end."""
        network = self.simulation.network
        host = self._host(fault).spec.host
        network.make_unreachable(host)
        return lambda: network.restore_host(host, resets=fault.size > RESET_THRESHOLD)

    def slow_connects(self, fault: Fault) -> Undo:
        """Delay a share of the new connections to all upstreams."""
        slow_connects = self.simulation.network.slow_connects
        for host in self.simulation.upstreams:
            slow_connects[host.address] = int(MAX_CONNECT_DELAY * fault.size)
        return slow_connects.clear
