"""Faults of discovery: late, missing, invalid and misleading updates, and agents that change address."""

import signal
from collections.abc import Callable

from dahliabend.simulation.balancer_host import BalancerHost
from dahliabend.simulation.fault_environment import FaultEnvironment, Undo
from dahliabend.simulation.scenario import MS, Fault

MAX_EXTRA_DELAY = 400 * MS  # multiplied by the fault's size
OLD_ADDRESS_LIFETIME = 500 * MS  # for which an agent also listens at its old address
REPEAT_THRESHOLD = 0.4  # watches are closed repeatedly if the fault's size is larger
REPEAT_DELAYS = (60, 130, 300)  # milliseconds after the first close
INVALID_UPDATE_RANGE = 100  # the update's number is below this, in proportion to the fault's size


class DiscoveryFaults:
    """The faults of discovery agents. Each action returns a function that ends it, or None."""

    def __init__(self, simulation: FaultEnvironment) -> None:
        self.simulation = simulation
        self.actions: dict[str, Callable[[Fault], Undo]] = {
            "late": self.delay_updates,
            "silent": self.silence,
            "away": self.silence,
            "end-watch": self.close_watches,
            "deaf": self.block_watches,
            "whole": self.send_full_lists,
            "anew": self.restart_versions,
            "wrong": self.send_invalid_update,
            "move": self.move,
        }

    def _balancer(self, fault: Fault) -> BalancerHost:
        return self.simulation.balancers[fault.whom]

    def delay_updates(self, fault: Fault) -> Undo:
        """Delay the agent's updates."""
        agent = self._balancer(fault).agent
        agent.extra_delay = int(MAX_EXTRA_DELAY * fault.size)

        def undo() -> None:
            """Remove the delay."""
            agent.extra_delay = 0

        return undo

    def silence(self, fault: Fault) -> Undo:
        """Have the agent send nothing, and send the missed changes when the fault ends."""
        balancer = self._balancer(fault)
        agent = balancer.agent
        process = balancer.agent_process
        agent.silent = True
        return lambda: process.run(agent.end_silence)

    def close_watches(self, fault: Fault) -> Undo:
        """Close all watches; large faults close them repeatedly, soon after they are open again."""
        balancer = self._balancer(fault)
        process = balancer.agent_process
        agent = balancer.agent
        process.run(agent.close_watches)
        if fault.size > REPEAT_THRESHOLD:
            for delay in REPEAT_DELAYS:
                self.simulation.call_later(delay * MS, process.run, agent.close_watches)
        return None

    def block_watches(self, fault: Fault) -> Undo:
        """Block the connections of the open watches without closing them; new watches work."""
        for watch in list(self._balancer(fault).agent.watches):
            watch.block()
        return None

    def send_full_lists(self, fault: Fault) -> Undo:
        """Have watches send only full lists from now on.

        A watch begins with the full list, without the draining endpoints, and ends at each drain.
        """
        balancer = self._balancer(fault)
        balancer.agent.sends_full_lists = True
        balancer.agent_process.run(balancer.agent.close_watches)
        return None

    def restart_versions(self, fault: Fault) -> Undo:
        """Have the agent restart its versions.

        For a version from before the restart, the agent then reports no changes.
        """
        balancer = self._balancer(fault)
        balancer.agent_process.run(balancer.agent.restart_versions)
        return None

    def send_invalid_update(self, fault: Fault) -> Undo:
        """Have the agent send an invalid update."""
        balancer = self._balancer(fault)
        update_number = int(fault.size * INVALID_UPDATE_RANGE)
        balancer.agent_process.run(balancer.agent.send_invalid_update, update_number)
        return None

    def move(self, fault: Fault) -> Undo:
        """Move the agent to another address, which the balancer learns from a reloaded configuration."""
        balancer = self._balancer(fault)
        simulation = self.simulation
        old_servers = list(balancer.agent.servers)
        balancer.agent_port += 1
        opening = balancer.agent.open(balancer.host, balancer.agent_port)
        simulation.spawn(balancer.agent_process, opening)
        balancer.write_config()
        if balancer.is_alive:
            balancer.signal(signal.SIGHUP)
        for server in old_servers:
            simulation.call_later(OLD_ADDRESS_LIFETIME, server.close)
        return None
