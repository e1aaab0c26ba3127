"""Injects the faults of a scenario, each at a time or at an event of the run."""

from collections.abc import Callable, Mapping
from typing import Any

from dahliabend.simulation.balancer_faults import BalancerFaults
from dahliabend.simulation.client_faults import ClientFaults
from dahliabend.simulation.connections import ConnectionEnd
from dahliabend.simulation.discovery_faults import DiscoveryFaults
from dahliabend.simulation.fault_environment import FaultEnvironment, Undo
from dahliabend.simulation.scenario import RESET_THRESHOLD, Fault
from dahliabend.simulation.upstream_faults import UpstreamFaults

# Events of requests, which a fault may restrict to one request class.
REQUEST_EVENTS = frozenset({"hop.head", "hop.whole", "begun", "made", "answer"})


class FaultInjector:
    """Begins and ends the faults of a simulation. `stop_all` ends those that are still in force."""

    def __init__(self, simulation: FaultEnvironment) -> None:
        self.simulation = simulation
        self.is_stopping = False
        self._event_counts: dict[int, int] = {}  # by fault number: matching events so far
        self._undo_actions: dict[int, Callable[[], object]] = {}  # by fault number
        self._actions: Mapping[str, Callable[[Fault], Undo]] = {
            **UpstreamFaults(simulation).actions,
            **BalancerFaults(simulation).actions,
            **DiscoveryFaults(simulation).actions,
            **ClientFaults(simulation).actions,
            "cut-zone": self._cut_zone,
        }

    def schedule_all(self) -> None:
        """Schedule each fault at its time, or have it wait for its event."""
        simulation = self.simulation
        for number, fault in enumerate(simulation.scenario.faults):
            if fault.at is not None:
                due = simulation.load_start + fault.at + fault.after
                simulation.scheduler.call_at(due, None, self._begin, number, fault)
            else:
                self._wait_for_event(number, fault)

    def _wait_for_event(self, number: int, fault: Fault) -> None:
        """Subscribe a fault to the event at which it begins."""

        def event_recorded(*values: Any) -> None:  # noqa: ANN401 -- by event
            """Count the event if it matches, and begin the fault once the count is reached."""
            count = self._event_counts.get(number, 0)
            if self.is_stopping or count >= fault.nth or not self._matches_event(fault, values):
                return
            self._event_counts[number] = count + 1
            if count + 1 < fault.nth:
                return
            if fault.after:
                self.simulation.call_later(fault.after, self._begin, number, fault, values)
            else:  # not within the call that recorded the event
                self.simulation.scheduler.call_next(self._begin, number, fault, values)

        self.simulation.recorder.subscribe(fault.on, event_recorded)

    def _matches_event(self, fault: Fault, values: tuple[Any, ...]) -> bool:
        """Return whether the fault waits for this event."""
        if self.simulation.scheduler.now < self.simulation.load_start:
            return False
        if fault.on == "told":
            _, _, state = values
            return bool(state != "up")
        if fault.name and fault.on in REQUEST_EVENTS:
            request = self.simulation.invariants.requests.get(values[0])
            return request is not None and request.request_class.name == fault.name
        return True

    def _begin(self, number: int, fault: Fault, values: tuple[Any, ...] = ()) -> None:
        if self.is_stopping:
            return
        self.simulation.recorder("fault", fault.what, fault.whom)
        undo: Undo = None
        if fault.what == "reset-hop":
            if (end := self._connection_of(values)) is not None:
                end.reset_both_ends()
        elif fault.what == "lose-hop":
            if (end := self._connection_of(values)) is not None:
                end.block_packets()
        else:
            undo = self._actions[fault.what](fault)
        if undo is not None:
            self._undo_actions[number] = undo
            self.simulation.call_later(fault.span, self._end, number)

    def _end(self, number: int) -> None:
        undo = self._undo_actions.pop(number, None)
        if undo is not None:
            self.simulation.recorder("fault.over", self.simulation.scenario.faults[number].what)
            undo()

    def stop_all(self) -> None:
        """End all faults in force at the end of the load, and begin no more.

        Connections that a fault has blocked are reset.
        """
        self.is_stopping = True
        for number in sorted(self._undo_actions):
            self._end(number)
        for end in list(self.simulation.network.connections.values()):
            if end.blocked_packets or end.peer.blocked_packets:
                end.reset_both_ends()

    def _connection_of(self, values: tuple[Any, ...]) -> ConnectionEnd | None:
        """Return the connection of the newest attempt of an event's request, None if there is none."""
        request = self.simulation.invariants.requests.get(values[0])
        if request is None or not request.attempts:
            return None
        return self.simulation.invariants.connections.get(request.attempts[-1].connection)

    def _cut_zone(self, fault: Fault) -> Undo:
        """Cut a zone off from the others; large faults reset the blocked connections at their end."""
        network = self.simulation.network
        zone = self.simulation.zone_of(fault.whom)
        network.cut_zone(zone)
        return lambda: network.restore_zone(zone, resets=fault.size > RESET_THRESHOLD)
